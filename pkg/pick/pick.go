// Package pick decides which endpoint of a service takes a request, or that none
// can.
//
// The load it answers: several entries share the same endpoints, see their load
// by reports that lag, and must neither pile onto the endpoint that looked idle
// last nor queue behind endpoints that can't begin in time. All functions are
// pure.
package pick

import "time"

// reportUse is how long a report of an endpoint's load counts; after that only
// the entry's own requests are known.
const reportUse = 1500 * time.Millisecond

// Weights of a choice, in requests.
const (
	// localBonus prefers the entry's own data centre between equals: bytes that
	// cross data centres cost more than an imbalance of a fraction of a request.
	localBonus = 0.4
	// jitter spreads the choices of entries that see the same reports.
	jitter = 0.9
	// failureWeight is what one recent failure of an endpoint counts.
	failureWeight = 3
)

// Load is what an entry knows of an endpoint.
type Load struct {
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// Own is how many requests of this entry are at the endpoint.
	Own int
	// Reported is how many requests of all entries were there by the last report, and
	// OwnAtReport how many of this entry as it came.
	Reported, OwnAtReport int
	// Age is how old the report is, negative if there is none.
	Age time.Duration
	// Expected is how many requests other entries are thought to have sent since the
	// report.
	Expected float64
	// Failures is the decayed count of the endpoint's recent failures.
	Failures float64
	// Pace over 1 means that the endpoint is slower than its kind.
	Pace float64
	// Local endpoints stand in the entry's data centre.
	Local bool
	// Unavailable endpoints take nothing: they leave, are evacuated, or can't run.
	Unavailable bool
	// Throttled endpoints are cold and have had their share of this second.
	Throttled bool
	// Ejected endpoints failed often and get a request only as a trial.
	Ejected bool
	// Tried endpoints had an attempt of this request before.
	Tried bool
}

// InFlight estimates how many requests are at the endpoint now: those reported, with
// what this entry has sent and finished since.
func (l Load) InFlight() int {
	if l.Age < 0 || l.Age > reportUse {
		return l.Own
	}
	return max(l.Own, l.Reported+l.Own-l.OwnAtReport)
}

// EstimateArrivals estimates what other entries have sent since the reports: as much as this
// one sends, perSecond, to the endpoints that have room. Entries that see the same
// report of the last place that came free would all send there.
func EstimateArrivals(loads []Load, extra, others int, perSecond float64) {
	open := 0
	for i := range loads {
		if load := &loads[i]; !load.Unavailable && !load.Ejected && !load.isFull(load.InFlight(), extra) {
			open++
		}
	}
	for i := range loads {
		if load := &loads[i]; load.Age >= 0 && load.Age <= reportUse && open > 0 {
			load.Expected = float64(others) * perSecond * load.Age.Seconds() / float64(open)
		}
	}
}

// Verdict is what a choice has found.
type Verdict int

// The verdicts.
const (
	// Chosen says that an endpoint takes the request.
	Chosen Verdict = iota
	// Full says that endpoints run, but have no room now.
	Full
	// NoneAvailable says that no endpoint can take the request, and not soon.
	NoneAvailable
)

// candidates is how many endpoints a choice looks at, drawn at random among those
// with room. If every entry sent to the least loaded of all, the requests of a
// whole report's age would meet there: 235 requests a second and 100 ms make 23 of
// them at one of 63 endpoints. Among three, it gets three times its share.
const candidates = 3

// Choose returns the index of the endpoint that takes a request, with room for
// extra requests beyond an endpoint's slots. Random is any number; it draws the
// endpoints that are looked at and spreads equal choices.
func Choose(loads []Load, extra int, random uint64) (int, Verdict) {
	best, verdict := choose(loads, extra, random, false)
	if best < 0 && verdict == NoneAvailable {
		// Endpoints that failed are used when no other runs at all.
		return choose(loads, extra, random, true)
	}
	return best, verdict
}

func choose(loads []Load, extra int, random uint64, shunned bool) (int, Verdict) {
	var drawn [candidates]int
	var lots [candidates]float64
	count, verdict := 0, NoneAvailable
	for i := range loads {
		load := &loads[i]
		switch {
		case load.Unavailable || load.Tried || load.Ejected != shunned:
			continue
		case load.Throttled || load.isFull(load.InFlight(), extra):
			verdict = Full
			continue
		}
		lot := spread(^random, i)
		at := count
		if count < candidates {
			count++
		} else if at--; lot >= lots[at] {
			continue
		}
		for ; at > 0 && lots[at-1] > lot; at-- {
			lots[at], drawn[at] = lots[at-1], drawn[at-1]
		}
		lots[at], drawn[at] = lot, i
	}
	best, least := -1, 0.0
	for _, i := range drawn[:count] {
		if score := loads[i].score(loads[i].InFlight()) + spread(random, i)*jitter; best < 0 || score < least {
			best, least = i, score
		}
	}
	if best >= 0 {
		return best, Chosen
	}
	return -1, verdict
}

// isFull reports whether the endpoint has no room. A slow one runs as many
// requests as it gets done in the time of others: what stands there keeps all
// ranks of its group waiting.
func (l *Load) isFull(busy, extra int) bool {
	if l.Slots <= 0 {
		return false
	}
	room := float64(l.Slots + extra)
	if l.Pace > 1 {
		room = max(1, room/l.Pace)
	}
	return float64(busy)+l.Expected >= room
}

func (l *Load) score(busy int) float64 {
	score := float64(busy) + l.Expected + failureWeight*l.Failures
	if l.Pace > 1 {
		// One more request takes as long there as on one that is busier.
		score = (score+1)*l.Pace - 1
	}
	if l.Local {
		score -= localBonus
	}
	return score
}

// spread returns a number from 0 to 1 that depends on random and i.
func spread(random uint64, i int) float64 {
	x := random + uint64(i+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return float64((x^(x>>31))>>11) / (1 << 53)
}
