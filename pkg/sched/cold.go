package sched

import (
	"math"
	"slices"
	"time"
)

// overshootExponent bounds the probability that entries which send at random moments
// exceed a cold endpoint's MaxRate in a given second: it is at most
// e^-overshootExponent, one in a hundred million.
const overshootExponent = 18.4

// ColdLimit limits the request rate of a cold endpoint, over all entries.
type ColdLimit struct {
	// Rate is the number of requests per second that the endpoint sustains; zero means
	// no limit.
	Rate float64
	// MaxRate is the number of requests that must not be exceeded in any second.
	MaxRate float64
	// Entries is the number of entries that may send to the endpoint.
	Entries int

	// period is the interval between two requests of an entry whose share of Rate is
	// less than one request per second.
	period time.Duration
}

// perEntry returns the number of requests per second that each entry may send.
func (c ColdLimit) perEntry() float64 { return c.Rate / float64(max(1, c.Entries)) }

// withPeriod returns the limit with its period set, if an entry's share is less than
// one request per second. The entries together then send Rate requests per second,
// or fewer if requests sent at random moments could exceed MaxRate.
func (c ColdLimit) withPeriod() ColdLimit {
	if c.Rate <= 0 || c.perEntry() >= 1 {
		return c
	}
	rate := c.Rate
	if float64(c.Entries) > c.MaxRate && !c.staysBelowMax(rate) {
		low, high := 0.0, rate
		for high-low > minColdRate {
			if middle := (low + high) / 2; c.staysBelowMax(middle) {
				low = middle
			} else {
				high = middle
			}
		}
		rate = max(low, minColdRate)
	}
	c.period = time.Duration(float64(c.Entries) / rate * float64(time.Second))
	return c
}

// minColdRate is the lowest rate that withPeriod allows all entries together, in
// requests per second, and the precision of its search.
const minColdRate = 0.1

// staysBelowMax reports whether entries that together send rate requests per second,
// each at a random moment, exceed MaxRate with a probability of at most
// e^-overshootExponent, by the Chernoff bound.
func (c ColdLimit) staysBelowMax(rate float64) bool {
	entries := float64(c.Entries)
	maxShare, mean := c.MaxRate/entries, rate/entries
	divergence := maxShare*math.Log(maxShare/mean) + (1-maxShare)*math.Log((1-maxShare)/(1-mean))
	return entries*divergence >= overshootExponent
}

// currentColdLimit returns the limit for cold endpoints, or the zero ColdLimit while
// no endpoint is cold. The number of entries is the larger of those members that may use
// an endpoint and of the entries that the agents report to: after all hosts lost power,
// entries send before any of them is a member again. While no agent's report is fresh, the
// number of entries is unknown, and this entry sends one request per second to each cold
// model replica. The caller must hold s.mu.
func (s *Service) currentColdLimit(now time.Time, anyFreshReport bool) ColdLimit {
	if !slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.isCold(now) }) {
		return ColdLimit{}
	}
	limit := s.coldLimit()
	limit.Entries = s.maxEntriesPerEndpoint(limit.Entries)
	for _, e := range s.endpoints {
		if e.hasFreshReport(now) {
			limit.Entries = max(limit.Entries, e.entries)
		}
	}
	if s.isModelService && !anyFreshReport {
		limit.Entries = max(limit.Entries, int(limit.Rate))
	}
	return limit.withPeriod()
}

// isThrottled reports whether this entry has used up its share of a cold endpoint's
// limit. If the share is less than one request per second, the entry sends one request
// per period. It starts at a random moment within the first period, so that the entries
// don't start together.
func (e *endpoint) isThrottled(now time.Time, limit ColdLimit, randomBelow func(time.Duration) time.Duration) bool {
	if perEntry := limit.perEntry(); perEntry >= 1 {
		return e.coldSendsWithin(now, time.Second)+1 > perEntry
	}
	period := limit.period
	if e.coldSendAfter.IsZero() {
		e.coldSendAfter = now.Add(randomBelow(period))
	}
	return now.Before(e.coldSendAfter) || e.coldSendsWithin(now, period) > 0
}

// coldSendsWithin returns the number of requests sent within the last span while the
// endpoint was cold, and discards older ones.
func (e *endpoint) coldSendsWithin(now time.Time, span time.Duration) float64 {
	first := 0
	for first < len(e.coldSends) && now.Sub(e.coldSends[first]) > span {
		first++
	}
	e.coldSends = e.coldSends[first:]
	return float64(len(e.coldSends))
}
