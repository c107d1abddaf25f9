package sched

import (
	"math"
	"slices"
	"time"
)

// coldChance bounds how likely a cold endpoint is to get more in a second than it may
// at most, where entries send at random moments, as a power of e: one in a hundred
// million.
const coldChance = 18.4

// ColdLimit is what a cold endpoint may be sent in a second.
type ColdLimit struct {
	// Rate is what it bears, zero for no bound.
	Rate float64
	// MaxRate is what must never be exceeded.
	MaxRate float64
	// Entries is how many entries may send to it.
	Entries int

	// period is the time between two requests of an entry whose share is below one.
	period time.Duration
}

// share returns how many requests each entry may send in a second.
func (c ColdLimit) share() float64 { return c.Rate / float64(max(1, c.Entries)) }

// planned returns the same with the period: all entries together send what the
// endpoint bears, or less if that many random moments could meet in one second.
func (c ColdLimit) planned() ColdLimit {
	if c.Rate <= 0 || c.share() >= 1 {
		return c
	}
	rate := c.Rate
	if float64(c.Entries) > c.MaxRate && !c.isSafe(rate) {
		low, high := 0.0, rate
		for high-low > coldStep {
			if middle := (low + high) / 2; c.isSafe(middle) {
				low = middle
			} else {
				high = middle
			}
		}
		rate = max(low, coldStep)
	}
	c.period = time.Duration(float64(c.Entries) / rate * float64(time.Second))
	return c
}

// coldStep is how exactly the rate of a large fleet is found, and its least, in
// requests a second of all entries.
const coldStep = 0.1

// isSafe reports whether entries that each send at a random moment, rate of them in a
// second, exceed the most so seldom as coldChance says: Chernoff's bound.
func (c ColdLimit) isSafe(rate float64) bool {
	entries := float64(c.Entries)
	most, mean := c.MaxRate/entries, rate/entries
	divergence := most*math.Log(most/mean) + (1-most)*math.Log((1-most)/(1-mean))
	return entries*divergence >= coldChance
}

// coldNow returns what a cold endpoint may be sent, by as many entries as its agents
// report to if that is more than are members: after a loss of power of all hosts
// entries send before any is a member again. Until an agent is heard, an entry sends
// one request a second to each cold model replica. It is the zero Cold while no
// endpoint is cold. The caller holds the lock.
func (s *Service) coldNow(now time.Time, heard bool) ColdLimit {
	if !slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.isCold(now) }) {
		return ColdLimit{}
	}
	cold := s.cold()
	for _, e := range s.endpoints {
		if e.isHeard(now) {
			cold.Entries = max(cold.Entries, e.entries)
		}
	}
	if s.engine && !heard {
		cold.Entries = max(cold.Entries, int(cold.Rate))
	}
	return cold.planned()
}

// isSpent reports whether a cold endpoint has had what this entry may send it. Of a
// large fleet each entry sends one request in several seconds, and begins at a
// random moment of these, so that they don't all begin together.
func (e *endpoint) isSpent(now time.Time, cold ColdLimit, draw func(time.Duration) time.Duration) bool {
	if share := cold.share(); share >= 1 {
		return e.sentWithin(now, time.Second)+1 > share
	}
	period := cold.period
	if e.coldTurn.IsZero() {
		e.coldTurn = now.Add(draw(period))
	}
	return now.Before(e.coldTurn) || e.sentWithin(now, period) > 0
}

// sentWithin returns how many requests were sent in the last span.
func (e *endpoint) sentWithin(now time.Time, span time.Duration) float64 {
	first := 0
	for first < len(e.sent) && now.Sub(e.sent[first]) > span {
		first++
	}
	e.sent = e.sent[first:]
	return float64(len(e.sent))
}
