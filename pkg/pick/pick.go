// Package pick chooses the endpoint of a service that a request is sent to.
//
// Several entries share the endpoints and learn their load from reports that arrive
// with a delay. They must neither all send to the endpoint that was reported as idle
// last, nor queue requests at endpoints that can't start them in time. All functions
// are pure.
package pick

import "time"

// maxReportAge is the age beyond which a load report is ignored, and only the entry's
// own requests at the endpoint are counted.
const maxReportAge = 1500 * time.Millisecond

// Weights of an endpoint's score, in requests.
const (
	// localBonus makes the entry prefer its own data centre at similar load. Traffic
	// between data centres costs more than an imbalance of a fraction of a request.
	localBonus = 0.4
	// jitter randomizes the scores, as entries that see the same reports would otherwise
	// choose the same endpoint.
	jitter = 0.9
	// failureWeight is what one recent failure adds to an endpoint's score.
	failureWeight = 3
)

// usualSlotShare is the share of the slots that is usually taken.
const usualSlotShare = 0.5

// Load is an entry's knowledge of an endpoint's load and availability.
type Load struct {
	// Slots is the number of requests that the endpoint runs concurrently, or zero for
	// no limit.
	Slots int
	// Own is the number of this entry's requests at the endpoint.
	Own int
	// Reported is the number of requests of all entries in the last report, and
	// OwnAtReport the value of Own when the report arrived.
	Reported, OwnAtReport int
	// Age is the age of the report, negative if there is none.
	Age time.Duration
	// Others is the number of other entries that send requests to the endpoint.
	Others float64
	// RunTime is the usual time of a request at an endpoint whose load is known only from its
	// responses, zero if it is unknown or there are other reports.
	RunTime time.Duration
	// Expected is the estimated number of requests that other entries have sent to the
	// endpoint since the report. EstimateArrivals sets it.
	Expected float64
	// Failures is the exponentially decayed count of the endpoint's failures.
	Failures float64
	// Pace is how many times slower the endpoint is than its peers; at most 1 if it
	// isn't slower.
	Pace float64
	// Slowness is how many times longer requests take at the endpoint than at the fastest
	// one, though they slow no other endpoint; 1 or less if they don't.
	Slowness float64
	// Local is set if the endpoint is in the entry's data centre.
	Local bool
	// Unavailable endpoints get no requests: they are draining, evacuated or unable to
	// run.
	Unavailable bool
	// Throttled endpoints are cold, and the entry has used up its share of their limit.
	Throttled bool
	// Ejected endpoints have failed often and get requests only if no other endpoint
	// is available.
	Ejected bool
	// Tried is set if this request was sent to the endpoint before.
	Tried bool
}

// InFlight estimates the number of requests at the endpoint: those in the last report,
// corrected by the entry's own requests that have started and completed since.
func (l *Load) InFlight() int {
	if !l.hasReport() {
		return l.Own
	}
	return max(l.Own, l.Reported+l.Own-l.OwnAtReport)
}

// EstimateArrivals sets Expected for the endpoints with a report that is still used.
// It assumes that each of the other entries sends as much as this one, which is
// perSecond requests per second, and that an entry's requests are spread evenly over
// those of its endpoints that have room, with extra requests beyond their slots. Without
// the estimate, all entries that see the same report of one free slot would send a
// request there.
//
// Reports of endpoints with a RunTime may be old. Requests that began more than RunTime ago
// have ended, and the other entries' requests are no more than one over the mean of those
// in the reports, so that an entry with most of the requests doesn't expect as many from each.
func EstimateArrivals(loads []Load, extra int, perSecond float64) {
	available, reported, ofOthers := 0, 0, 0
	for i := range loads {
		load := &loads[i]
		if !load.Unavailable && !load.Ejected && !load.isFull(load.InFlight(), extra) {
			available++
		}
		if load.hasReport() {
			reported++
			ofOthers += max(0, load.Reported-load.OwnAtReport)
		}
	}
	if available == 0 {
		return
	}
	for i := range loads {
		load := &loads[i]
		switch {
		case !load.hasReport():
		case load.RunTime > 0:
			expected := load.Others * perSecond * min(load.Age, load.RunTime).Seconds() / float64(available)
			load.Expected = min(expected, 1+float64(ofOthers)/float64(reported))
		default:
			load.Expected = load.Others * perSecond * load.Age.Seconds() / float64(available)
		}
	}
}

// hasReport reports whether there is a report that is still used.
func (l *Load) hasReport() bool { return l.Age >= 0 && l.Age <= maxReportAge }

// Verdict is the result of Choose.
type Verdict int

// The results of Choose.
const (
	// Chosen means that an endpoint was chosen.
	Chosen Verdict = iota
	// Full means that endpoints are available, but each of them is throttled or has no
	// room now.
	Full
	// NoneAvailable means that every endpoint is unavailable or was tried before.
	NoneAvailable
)

// sampleSize is the number of endpoints with room that Choose draws at random, to take
// the one with the lowest score. If every entry took the lowest score of all endpoints,
// the requests that arrive within the age of a report would go to the same endpoint: at
// 235 requests per second and 100 ms, 23 of them to one of 63 endpoints. With a sample
// of three, an endpoint gets at most three times its share.
const sampleSize = 3

// Choose returns the index of the endpoint to send a request to, or -1. An endpoint has
// room for extra requests beyond its slots. The random number draws the sample of
// endpoints and the jitter of their scores.
func Choose(loads []Load, extra int, random uint64) (int, Verdict) {
	best, verdict := choose(loads, extra, random, false)
	if best < 0 && verdict == NoneAvailable {
		// Ejected endpoints are used only if no other endpoint is available.
		return choose(loads, extra, random, true)
	}
	return best, verdict
}

// choose is Choose restricted to endpoints that are ejected, or to those that aren't.
// Its sample consists of the endpoints with the smallest random keys.
func choose(loads []Load, extra int, random uint64, ejected bool) (int, Verdict) {
	var sample [sampleSize]int
	var randomKeys [sampleSize]float64
	count, verdict := 0, NoneAvailable
	for i := range loads {
		load := &loads[i]
		switch {
		case load.Unavailable || load.Tried || load.Ejected != ejected:
			continue
		case load.Throttled || load.isFull(load.InFlight(), extra):
			verdict = Full
			continue
		}
		randomKey := uniform(^random, i)
		at := count
		if count < sampleSize {
			count++
		} else if at--; randomKey >= randomKeys[at] {
			continue
		}
		for ; at > 0 && randomKeys[at-1] > randomKey; at-- {
			randomKeys[at], sample[at] = randomKeys[at-1], sample[at-1]
		}
		randomKeys[at], sample[at] = randomKey, i
	}
	best, bestScore := -1, 0.0
	for _, i := range sample[:count] {
		if score := loads[i].score(loads[i].InFlight()) + uniform(random, i)*jitter; best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best >= 0 {
		return best, Chosen
	}
	return -1, verdict
}

// isFull reports whether an endpoint with inFlight requests has no room for another one.
// The room of a slow endpoint is divided by its Pace, as requests there hold up all ranks
// of its group. An endpoint with a Slowness has all of its slots, but fewer of its extra
// requests begin in time.
func (l *Load) isFull(inFlight, extra int) bool {
	if l.Slots <= 0 {
		return false
	}
	room := float64(l.Slots) + float64(extra)/max(1, l.Slowness)
	if l.Pace > 1 {
		room = max(1, room/l.Pace)
	}
	return float64(inFlight)+l.Expected >= room
}

// score returns the cost of sending one more request to an endpoint with inFlight
// requests. It is measured in requests; lower is better.
func (l *Load) score(inFlight int) float64 {
	score := float64(inFlight) + l.Expected + failureWeight*l.Failures
	if l.Pace > 1 {
		// One more request takes Pace times as long as at another endpoint.
		score = (score+1)*l.Pace - 1
	}
	if l.Slowness > 1 {
		// While slots are free, requests wait for no others, so the time of one more counts
		// like the requests that usually run.
		usual := max(1, usualSlotShare*float64(l.Slots))
		score = (score+usual)*l.Slowness - usual
	}
	if l.Local {
		score -= localBonus
	}
	return score
}

// uniform returns a number in [0, 1), derived from random and i by SplitMix64.
func uniform(random uint64, i int) float64 {
	x := random + uint64(i+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return float64((x^(x>>31))>>11) / (1 << 53)
}
