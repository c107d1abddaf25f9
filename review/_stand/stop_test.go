package review

import (
	"slices"
	"sync"
	"syscall"
	"time"
)

// Bounds of the sheet and of the rule.
const (
	// grace is graceS.
	grace = 8 * time.Second
	// lastSixth is the last sixth of graceS.
	lastSixth = grace * 5 / 6
	// excusedSend is how long after the SIGTERM a request may be sent so that its replica's
	// work in the last sixth of graceS excuses the end.
	excusedSend = 3 * time.Second
)

// runStop stops one of two entries while consumers that have its address from the directory
// open channels and send streams of five to seven seconds. LOST is broken by a request whose
// channel ends without a complete answer after it has been passed on.
func runStop(s *site) int {
	s.startStore()
	s.configure(route{name: "r-draft", prefix: "/draft/", kind: "streaming", service: "skiff-lm", timeoutMS: 8000, aimMS: 400, attempts: 2})
	g := s.startGroup(&modelGroup{events: 55, pause: 110 * time.Millisecond}, 4)
	stopped := s.startEntry(1)
	other := s.startEntry(2)
	time.Sleep(3 * time.Second)
	addresses, ttl := other.resolve()
	s.log("the directory names %v for %v", addresses, ttl)
	if !slices.Contains(addresses, stopped.front) || len(addresses) != 2 {
		s.log("the directory doesn't name both entries")
		return couldNot
	}
	term := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
		s.log("%s gets SIGTERM", stopped.name)
	}
	var mu sync.Mutex
	var calls []*call
	var running sync.WaitGroup
	// The consumers keep the directory's answer for its ttl or, as some do, three times as
	// long. They send one request each on a new channel.
	for at := 500 * time.Millisecond; at <= min(3*ttl, 4*time.Second); at += 20 * time.Millisecond {
		if at < 2900*time.Millisecond && at%(500*time.Millisecond) != 0 {
			continue
		}
		time.Sleep(time.Until(term.Add(at)))
		running.Go(func() {
			conn, err := dial(stopped.front)
			if err != nil {
				return
			}
			defer conn.Close()
			c := s.send(conn, "POST", "/draft/1", "key-1", "Lentilstand-Model: m\r\nLentilstand-Token-Counts: 700,275\r\nLentilstand-Prompt-Prefix: a0:40,"+s.newID()+":660\r\n", nil, 8*time.Second)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, c)
		})
	}
	running.Wait()
	lost := 0
	for _, c := range calls {
		found := g.find(c.id)
		if c.sentAt.IsZero() || found == nil {
			continue
		}
		sent, ended := c.sentAt.Sub(term), c.endedAt.Sub(term)
		note := ""
		if !c.complete && !found.broken && ended < sent+7900*time.Millisecond && ended < grace+time.Second {
			if excused := sent <= excusedSend && ended >= lastSixth; excused {
				note = " (excused: sent within 3 s of the SIGTERM, at work in the last sixth of graceS)"
			} else {
				lost++
				note = " LOST"
			}
		}
		s.log("request %s sent %.3f s after the SIGTERM, run by %s from %.3f s, ended at %.3f s: %s%s",
			c.id, sent.Seconds(), found.replica, found.began.Sub(term).Seconds(), ended.Seconds(), c.outcome(), note)
	}
	s.log("requests that were passed on and lost: %d", lost)
	if lost > 0 {
		return broken
	}
	return held
}
