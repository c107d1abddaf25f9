package sched

import (
	"math"
	"time"

	"github.com/lentilstand/lentilstand/pkg/pick"
)

// Parameters of the time after an outage, from a simulation of 39 entries and 63 ranks whose
// passes take 2.8 times as long as on a balanced map at first.
const (
	// initialPassFactor is the factor by which passes take longer than on a balanced map,
	// until agents report passes: the skew of an initial map.
	initialPassFactor = 2.8
	// passFactorHalfLife is the half-life in which the factor falls to one that is reported.
	// Agents measure passes over 200 ms.
	passFactorHalfLife = 200 * time.Millisecond
	// minLateFill is the number of requests for each endpoint up to which late ones begin
	// even if passes are too long. At 1 more late requests were lost, and at 3 fewer new ones
	// were on time.
	minLateFill = 2
	// lateTargetShare is the share of the longest gap between events at which a stream is on
	// time that passes may take for late requests to begin. At 0.75 more of them were lost, and
	// at 1 fewer new ones were on time.
	lateTargetShare = 0.85
)

// passFactor is the factor by which a group's passes take longer than they would on a
// balanced map, as learned since an outage.
type passFactor struct {
	factor    float64
	updatedAt time.Time
}

// update returns the factor after an interval between passes was reported that is measured
// times as long as on a balanced map, 0 if none was. It rises at once, and falls within
// passFactorHalfLife.
func (f *passFactor) update(measured float64, outageEnd, now time.Time) float64 {
	switch {
	case f.updatedAt.Before(outageEnd):
		f.factor = initialPassFactor
	case measured > 0:
		remaining := math.Exp2(-now.Sub(f.updatedAt).Seconds() / passFactorHalfLife.Seconds())
		f.factor = max(measured, measured+(f.factor-measured)*remaining)
	}
	f.updatedAt = now
	return f.factor
}

// canPredictPasses reports whether the length of passes can be predicted. The caller must hold
// s.mu.
func (s *Service) canPredictPasses(load groupState) bool {
	return load.endpoints > 0 && s.engine != nil && s.engine.Stride > 0 && s.engine.PerSequence > 0 && s.passTarget > 0
}

// bearable returns how many requests each endpoint may have for passes to take lateTargetShare
// of the gap target, at least minLateFill. Load is that of the group now. The caller must hold s.mu.
func (s *Service) bearable(load groupState, now time.Time) float64 {
	stride, step, perSequence := float64(s.engine.Stride), s.engine.Step.Seconds(), s.engine.PerSequence.Seconds()
	measured := load.interval.Seconds() / (stride * (step + perSequence*load.running/load.endpoints))
	factor := s.passFactor.update(measured, s.outageEnd, now)
	target := lateTargetShare / passTargetShare * s.passTarget.Seconds()
	return max(minLateFill, (target/(factor*stride)-step)/perSequence)
}

// limitLate limits the slots in loads to those that a late request may take during the
// recovery from an outage. It returns false if the request may not begin now: if the group
// has as many requests as it can bear (see bearable). Since its last report, each
// other entry is assumed to have sent as many as this one. Without reports, and for a stream
// that resumes, whose caller disconnects soon, only lateSlotShare counts. The caller must hold s.mu.
func (s *Service) limitLate(req Request, loads []pick.Load, now time.Time) bool {
	bound := math.Inf(1)
	if load := s.groupState(now); !req.Resuming && s.canPredictPasses(load) {
		bearable := s.bearable(load, now)
		bound = math.Ceil(bearable)
		if load.held+load.sent*float64(s.otherEntries()) >= bearable*load.endpoints {
			return false
		}
	}
	for i := range loads {
		loads[i].Slots = int(math.Ceil(lateSlotShare * min(bound, float64(loads[i].Slots))))
	}
	return true
}
