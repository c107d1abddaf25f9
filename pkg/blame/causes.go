package blame

import (
	"cmp"
	"slices"
	"time"
)

// causes holds what may have caused crashes, as of the records of a tracker.
type causes struct {
	// candidates holds the suspect parts of each crash that were never answered, and
	// culprits those that have been at more crashes than the other candidates of one.
	candidates map[uint64][]Part
	culprits   map[Part]bool
}

// findCauses returns the causes for the current records. The caller holds t.mu.
func (t *Tracker) findCauses() *causes {
	if t.causes != nil {
		return t.causes
	}
	found := &causes{candidates: make(map[uint64][]Part), culprits: make(map[Part]bool)}
	for part, s := range t.suspects {
		if _, proven := t.answers.last(part); proven {
			continue
		}
		for incarnation := range s.crashes {
			found.candidates[incarnation] = append(found.candidates[incarnation], part)
		}
	}
	for _, parts := range found.candidates {
		byCrashes := func(a, b Part) int { return cmp.Compare(len(t.suspects[a].crashes), len(t.suspects[b].crashes)) }
		most := slices.MaxFunc(parts, byCrashes)
		if !slices.ContainsFunc(parts, func(part Part) bool { return part != most && byCrashes(part, most) == 0 }) {
			found.culprits[most] = true
		}
	}
	t.causes = found
	return found
}

// isTest reports whether a request with the parts tells whether a part crashes endpoints
// that is blocked without having been answered: each crash on it may be due to another part
// of the request that it was in, which this request doesn't have. Parts of other requests at
// the endpoint don't count, since most of these crashed nothing, and a test of the one that
// did would crash another endpoint. The caller holds t.mu.
func (t *Tracker) isTest(part Part, parts []Part) bool {
	if _, proven := t.answers.last(part); proven || t.isCulprit(part) {
		return false
	}
	for incarnation, crash := range t.suspects[part].crashes {
		candidates := t.findCauses().candidates[incarnation]
		if !slices.ContainsFunc(crash.companions, func(other Part) bool {
			return slices.Contains(candidates, other) && !slices.Contains(parts, other)
		}) {
			return false
		}
	}
	return true
}

// isCulprit reports whether a part that was never answered is the likeliest cause of a crash:
// all other candidates have been at fewer crashes. The caller holds t.mu.
func (t *Tracker) isCulprit(part Part) bool { return t.findCauses().culprits[part] }

// otherCandidates returns the parts, besides the given one, that may have caused the crash
// of an endpoint incarnation. The caller holds t.mu.
func (t *Tracker) otherCandidates(part Part, incarnation uint64) []Part {
	var others []Part
	for _, other := range t.findCauses().candidates[incarnation] {
		if other != part {
			others = append(others, other)
		}
	}
	return others
}

const (
	// maxExplained limits the crashes that are put down to requests.
	maxExplained = 256
	// explainDelay is how long after it became known a request explains crashes. By then all
	// entries have told at which crashes the parts were: they repeat news for newsTTL.
	explainDelay = newsTTL
)

// explanation is what is known of the request that is the likeliest cause of a crash.
type explanation struct {
	// crashes is the number of crashes at which the request was.
	crashes int
	since   time.Time
}

// ExplainCrashes records that one request was at all of the crashes of the given endpoint
// incarnations, and hadn't been answered at any. It is their likeliest cause, so that parts of other
// requests, which were at fewer of them, aren't blocked by these crashes.
func (t *Tracker) ExplainCrashes(incarnations []uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.explained == nil || len(t.explained)+len(incarnations) > maxExplained {
		// Parts that were beside older ones are blocked again until they are probed.
		t.explained = make(map[uint64]explanation)
	}
	for _, incarnation := range incarnations {
		if len(incarnations) > t.explained[incarnation].crashes {
			t.explained[incarnation] = explanation{crashes: len(incarnations), since: now}
		}
	}
}

// RetractCrashes undoes ExplainCrashes for crashes of a request that has run to completion since.
func (t *Tracker) RetractCrashes(incarnations []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, incarnation := range incarnations {
		delete(t.explained, incarnation)
	}
}

// withoutCulprit returns the times of a part's crashes for which neither another part nor a whole
// request that was at more crashes is the culprit. The part was never answered. The caller holds t.mu.
func (t *Tracker) withoutCulprit(part Part, now time.Time) []time.Time {
	var times []time.Time
	for incarnation, crash := range t.suspects[part].crashes {
		request, explained := t.explained[incarnation]
		byRequest := explained && now.Sub(request.since) >= explainDelay && request.crashes > len(t.suspects[part].crashes)
		if !byRequest && !slices.ContainsFunc(t.otherCandidates(part, incarnation), t.isCulprit) {
			times = append(times, crash.at)
		}
	}
	return times
}
