package sched

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/pkg/pick"
)

// Parameters of the exclusion of slow ranks. The pace of a rank is relative to the slowest
// rank that can't be excluded, as a pass lasts at least as long as that one's part.
const (
	// maxExcludedShare is the largest share of a group's ranks that gets no requests because
	// it is slow. If more ranks are slow, passes remain slow without those, and false reports
	// of many agents can't take most of a group out of use.
	maxExcludedShare = 0.2
	// excludePace is the relative pace above which a rank gets no requests. Even with
	// maxExcludedShare of the ranks excluded, shorter passes then outweigh their slots:
	// 1.3 x 0.8 is over 1.
	excludePace = 1.3
	// readmitMargin is how far below the pace at which it is excluded a rank is used again,
	// so that a pace that varies around one value doesn't change its state.
	readmitMargin = 0.15
	// readmitAfter is how long a rank must report a pace below that. These are three reports.
	readmitAfter = 300 * time.Millisecond
	// readmitStep is the time in which a readmitted rank gets one more request, from all
	// entries. It is the interval of reports, so each step has shown its effect on the pace
	// before the next one.
	readmitStep = 100 * time.Millisecond
)

// exclusion is what an entry knows of the slowness of a rank. The zero value is that of a
// rank that isn't slow.
type exclusion struct {
	excluded bool
	// fastSince is the time since which an excluded rank has reported a pace at which it can
	// be used again, zero if its last report is slower.
	fastSince time.Time
	// readmittedAt is when the rank was last readmitted, zero once it gets requests like
	// other ranks, and runningThen is the number of its requests at that time.
	readmittedAt time.Time
	runningThen  int
}

// update sets whether a rank with a relative pace is excluded, above a threshold. Running is
// the number of its requests.
func (x *exclusion) update(pace, threshold float64, running int, now time.Time) {
	switch {
	case pace > threshold:
		*x = exclusion{excluded: true}
	case !x.excluded:
	case pace >= threshold-readmitMargin:
		x.fastSince = time.Time{}
	case x.fastSince.IsZero():
		x.fastSince = now
	case now.Sub(x.fastSince) >= readmitAfter:
		x.readmit(running, now)
	}
}

// readmit lets an excluded rank get requests again.
func (x *exclusion) readmit(running int, now time.Time) {
	*x = exclusion{readmittedAt: now, runningThen: running}
}

// limit returns the largest number of requests that a rank with the given slots may have as it
// was readmitted lately, or -1 if it wasn't.
func (x *exclusion) limit(slots int, now time.Time) int {
	if x.readmittedAt.IsZero() {
		return -1
	}
	limit := x.runningThen + 1 + int(now.Sub(x.readmittedAt)/readmitStep)
	if limit >= slots {
		x.readmittedAt = time.Time{}
		return -1
	}
	return limit
}

// maxExcluded returns how many of a group's usable ranks can be excluded: one if there are
// at least two.
func maxExcluded(usable int) int {
	return min(usable-1, max(1, int(maxExcludedShare*float64(usable))))
}

// excludeThreshold returns the relative pace above which a rank is excluded. In a small group
// it is so high that shorter passes outweigh the slots of the excluded rank.
func excludeThreshold(usable int) float64 {
	return max(excludePace, float64(usable)/float64(max(1, usable-maxExcluded(usable))))
}

// referencePace returns the pace of the slowest rank that can't be excluded, of the given number
// of usable ranks. Paces holds those over 1; the function sorts it.
func referencePace(paces []float64, usable int) float64 {
	excludable := max(0, maxExcluded(usable))
	if len(paces) <= excludable {
		return 1
	}
	slices.Sort(paces)
	return paces[len(paces)-1-excludable]
}

// excludeSlowRanks decides which ranks of a group get no requests, and updates their
// exclusions and the paces and throttling in the loads. An excluded rank gets requests only
// while the slots of the others are taken, if the pass is expected to stay within maxPass,
// zero for no bound, at the current interval between passes.
func excludeSlowRanks(loads []pick.Load, exclusions []*exclusion, pass, maxPass time.Duration, now time.Time) {
	usable := 0
	var slower []float64
	for i := range loads {
		if load := &loads[i]; !load.Unavailable && !load.Ejected {
			usable++
			if load.Pace > 1 {
				slower = append(slower, load.Pace)
			}
		}
	}
	reference, threshold := referencePace(slower, usable), excludeThreshold(usable)
	excluded, free := 0, false
	for i := range loads {
		load, x := &loads[i], exclusions[i]
		load.Pace = max(1, load.Pace/reference)
		running := load.InFlight()
		if load.Unavailable || load.Ejected {
			// What was known of the rank may no longer hold when it is available again.
			*x = exclusion{}
			continue
		}
		if x.update(load.Pace, threshold, running, now); x.excluded {
			excluded++
			continue
		}
		if limit := x.limit(load.Slots, now); limit >= 0 && (running >= limit || load.Own > load.OwnAtReport) {
			load.Throttled = true
		}
		free = free || !load.Throttled && !load.Tried && (load.Slots <= 0 || running < load.Slots)
	}
	if excluded > maxExcluded(usable) {
		readmitFast(loads, exclusions, now)
	}
	for i, x := range exclusions {
		if x.excluded && (free || maxPass > 0 && time.Duration(loads[i].Pace*float64(pass)) > maxPass) {
			loads[i].Throttled = true
		}
	}
}

// readmitFast readmits the excluded ranks that only wait for readmitAfter. The others are
// at most maxExcluded, since only these are slower than the reference.
func readmitFast(loads []pick.Load, exclusions []*exclusion, now time.Time) {
	for i, x := range exclusions {
		if x.excluded && !x.fastSince.IsZero() {
			x.readmit(loads[i].InFlight(), now)
		}
	}
}

// limitSlowRanks applies excludeSlowRanks to the service's ranks, and logs what has changed. The
// caller must hold s.mu.
func (s *Service) limitSlowRanks(loads []pick.Load, now time.Time) {
	if !s.isModelService {
		return
	}
	exclusions, before := s.scratch.exclusions[:0], s.scratch.excluded[:0]
	for _, e := range s.endpoints {
		exclusions, before = append(exclusions, &e.exclusion), append(before, e.exclusion.excluded)
	}
	s.scratch.exclusions, s.scratch.excluded = exclusions, before
	excludeSlowRanks(loads, exclusions, s.longestPass(now), s.passTarget, now)
	s.anySlow = false
	for i, e := range s.endpoints {
		s.anySlow = s.anySlow || e.exclusion != exclusion{}
		switch {
		case e.exclusion.excluded && !before[i]:
			event.RankExcluded.Log(s.logger, zap.String("endpoint", e.spec.ID()), zap.Float64("pace", e.pace),
				zap.Float64("relative_pace", loads[i].Pace), zap.Int("running", loads[i].InFlight()))
		case !e.exclusion.excluded && before[i]:
			event.RankReadmitted.Log(s.logger, zap.String("endpoint", e.spec.ID()), zap.Float64("pace", e.pace),
				zap.Bool("available", !loads[i].Unavailable))
		}
	}
}

// currentPace returns the pace by which the endpoint is used: that in its agent's last report,
// or 1 once the report is older than agentTimeout.
func (e *endpoint) currentPace(now time.Time) float64 {
	if e.hasAgentTimedOut(now) {
		return 1
	}
	return e.pace
}
