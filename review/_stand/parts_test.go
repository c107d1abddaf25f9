package review

import (
	"fmt"
	"sync"
	"time"
)

// Times of the case, from the start of the traffic.
const (
	// newPromptAt is when the first request with the new prompt is sent.
	newPromptAt = 8 * time.Second
	// deadlyUntil is when the last request with the deadly part is sent.
	deadlyUntil = 34 * time.Second
	// referenceFrom and trafficEnd limit the time with which the disruption is compared.
	referenceFrom = 55 * time.Second
	trafficEnd    = 70 * time.Second
	// contact is contactMs.
	contact = 3 * time.Second
)

// promptCall is a request with a prompt.
type promptCall struct {
	*call
	sound, newPrompt bool
	at               time.Duration
}

// runParts has a second tenant start to send requests, all of which begin with a part of
// their prompt that is new. Some of them also have a part that crashes replicas. LOST is
// broken if its sound requests begin less than half as often, from 2 x contactMs after the
// last crash and while the others still come, as after the disruption.
func runParts(s *site) int {
	s.startStore()
	s.configure(route{name: "r-draft", prefix: "/draft/", kind: "streaming", service: "skiff-lm", timeoutMS: 8000, aimMS: 400, attempts: 2})
	g := s.startGroup(&modelGroup{events: 20, pause: 50 * time.Millisecond, deadlyPart: "dead01"}, 4)
	entries := []*process{s.startEntry(1), s.startEntry(2)}
	time.Sleep(3 * time.Second)
	begin := time.Now()
	var mu sync.Mutex
	var calls []promptCall
	var running sync.WaitGroup
	send := func(number int, key, parts string, sound, newPrompt bool) {
		running.Go(func() {
			at := time.Since(begin)
			conn, err := dial(entries[number%len(entries)].front)
			if err != nil {
				return
			}
			defer conn.Close()
			c := s.send(conn, "POST", "/draft/1", key, fmt.Sprintf("Lentilstand-Model: m\r\nLentilstand-Token-Counts: 700,100\r\nLentilstand-Prompt-Prefix: %s%s:560\r\n", parts, s.newID()), nil, 8*time.Second)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, promptCall{call: c, sound: sound, newPrompt: newPrompt, at: at})
		})
	}
	for tick := 0; time.Since(begin) < trafficEnd; tick++ {
		time.Sleep(time.Until(begin.Add(time.Duration(tick) * 125 * time.Millisecond)))
		at := time.Since(begin)
		send(tick, "key-1", "a0:40,", true, false)
		if at < newPromptAt {
			continue
		}
		// The first requests with the new prompt have the deadly part.
		if deadly := (at-newPromptAt)%time.Second < 125*time.Millisecond; deadly && at < deadlyUntil && trouble {
			send(tick/2, "key-2", "b0:40,dead01:100,", false, true)
		} else if at > newPromptAt+time.Second/4 {
			send(tick, "key-2", "b0:40,", true, true)
		}
	}
	running.Wait()
	return s.judgeParts(begin, g, calls)
}

// judgeParts compares how often the sound requests with the new prompt began.
func (s *site) judgeParts(begin time.Time, g *modelGroup, calls []promptCall) int {
	crashes, last := 0, newPromptAt
	for _, c := range g.crashes {
		crashes++
		last = max(last, c.at.Sub(begin))
	}
	for _, c := range calls {
		s.log("request %s at %.3f s, sound %v, new prompt %v: %s", c.id, c.at.Seconds(), c.sound, c.newPrompt, c.outcome())
	}
	share := func(from, to time.Duration) (begun, all int) {
		for _, c := range calls {
			if c.sound && c.newPrompt && c.at >= from && c.at < to {
				all++
				if c.status == 200 {
					begun++
				}
			}
		}
		return begun, all
	}
	during, allDuring := share(last+2*contact, deadlyUntil)
	after, allAfter := share(referenceFrom, trafficEnd)
	s.log("crashes: %d, the last at %.3f s", crashes, last.Seconds())
	s.log("sound requests with the new prompt that began at the first attempt: %d of %d from %.1f s to %.1f s, %d of %d from %.1f s on",
		during, allDuring, (last + 2*contact).Seconds(), deadlyUntil.Seconds(), after, allAfter, referenceFrom.Seconds())
	if allDuring < 20 || allAfter < 20 {
		s.log("too few requests to judge")
		return couldNot
	}
	if 2*during*allAfter < after*allDuring {
		return broken
	}
	return held
}
