package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// turnAwaySpan is how long the store turns the machine away: the longest dose of
// platform_down with nodes in the site file.
const turnAwaySpan = 9 * time.Second

// turnedAway has the store turn one of three entries away, without a response, while it
// serves the others and the operator. Meanwhile the operator withdraws keys.
func turnedAway(s *site) (int, error) {
	keys, booking, err := s.startThree()
	if err != nil {
		return couldNot, err
	}
	away := s.entries[0]
	var began time.Time
	if troubled() {
		began = s.turnAwayAtRenewal(away)
		s.logf("the store no longer responds to %s", away.name)
		time.AfterFunc(time.Until(began.Add(turnAwaySpan)), func() {
			away.gate.silent.Store(false)
			s.logf("the store responds to %s again", away.name)
		})
		if !s.waitMember(away, false, 4*time.Second) {
			return couldNot, errors.New("the lease of the entry did not end")
		}
		s.logf("the lease of %s has ended", away.name)
	} else {
		began = time.Now()
		time.Sleep(2 * time.Second)
	}
	return s.withdrawKeys(keys, booking, began)
}

// startThree starts three entries in three zones, and a replica in each, and waits until the
// machines have been calm for contactMs.
func (s *site) startThree() (keys []string, booking route, err error) {
	keys = []string{"key-kept", "key-1", "key-2", "key-3", "key-4"}
	booking = route{prefix: "/book/", kind: "non_idempotent", timeoutMS: 1500}
	if _, err = s.configure(keys, booking); err != nil {
		return nil, route{}, err
	}
	for i, zone := range []string{"gmunden", "ebensee", "altmuenster"} {
		if _, err := s.addReplica(fmt.Sprintf("i-%d", i+1), zone); err != nil {
			return nil, route{}, err
		}
		e, err := s.addEntry(fmt.Sprintf("edge-%s-1", zone), zone)
		if err != nil {
			return nil, route{}, err
		}
		if err := s.start(e); err != nil {
			return nil, route{}, err
		}
	}
	go s.keepBeating()
	for _, e := range s.entries {
		if !s.waitMember(e, true, 10*time.Second) {
			return nil, route{}, errors.New(e.name + " did not become a member")
		}
	}
	time.Sleep(contact + time.Second)
	return keys, booking, nil
}

// withdrawKeys has the operator withdraw all keys but the first, one after the other, while
// clients use them at all entries, until 3 s after turnAwaySpan. It tells whether requests with
// a withdrawn key that were sent later than the bound still ran.
func (s *site) withdrawKeys(keys []string, booking route, began time.Time) (int, error) {
	// One key is withdrawn after the other.
	withdrawn := make(map[string]time.Time)
	for i := 1; i < len(keys); i++ {
		time.Sleep(60 * time.Millisecond)
		left := append([]string{keys[0]}, keys[i+1:]...)
		acked, err := s.configure(left, booking)
		if err != nil {
			return couldNot, err
		}
		withdrawn[keys[i]] = acked
		time.Sleep(200 * time.Millisecond)
	}
	violations := 0
	var mu sync.Mutex
	var clients sync.WaitGroup
	for _, e := range s.entries {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := s.newClient(e)
			for n := 0; time.Since(began) < turnAwaySpan+3*time.Second; n++ {
				key := keys[n%len(keys)]
				id := fmt.Sprintf("%s-%d", strings.TrimSuffix(e.name, "-1"), n)
				got := c.book(id, key, "/book/4")
				acked, isWithdrawn := withdrawn[key]
				late := isWithdrawn && got.sent.Sub(acked) > configApply+maxSkew
				if late && got.status == http.StatusOK && s.ran(id) > 0 {
					mu.Lock()
					violations++
					mu.Unlock()
					s.logf("CONFIG: %s ran with %s, sent %.3f s after its withdrawal was accepted", id, key, got.sent.Sub(acked).Seconds())
				}
				if key == keys[0] && got.status != http.StatusOK {
					s.logf("note: %s with the kept key got %d", id, got.status)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	s.logf("%d requests with withdrawn keys ran later than %v after the acknowledgement", violations, configApply+maxSkew)
	fmt.Printf("%d requests broke CONFIG\n", violations)
	if violations > 0 {
		return broken, nil
	}
	return held, nil
}

// turnAwayAtRenewal makes the store silent for a machine from a renewal of its lease on, which
// is not carried out, and returns when. The renewal is one that comes 300 to 500 ms after the
// replicas' pings, so that it depends less on chance when the entry's calls of the store time out.
func (s *site) turnAwayAtRenewal(e *entry) time.Time {
	began := make(chan time.Time, 1)
	var once sync.Once
	e.gate.onRenewal(func() {
		if since := time.Since(s.started).Milliseconds() - s.beatAt.Load(); since < 300 || since >= 500 {
			return
		}
		once.Do(func() {
			e.gate.silent.Store(true)
			began <- time.Now()
		})
	})
	return <-began
}

// turnedAwayAtStart restarts one of three entries as planned work, and has the store turn it
// away with status 503 once it is ready again. Then the operator withdraws keys.
func turnedAwayAtStart(s *site) (int, error) {
	keys, booking, err := s.startThree()
	if err != nil {
		return couldNot, err
	}
	away := s.entries[0]
	if err := s.restart(away); err != nil {
		return couldNot, err
	}
	if !s.waitReady(away, 10*time.Second) {
		return couldNot, errors.New("the entry did not become ready again")
	}
	s.logf("%s is ready again", away.name)
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	if troubled() {
		away.gate.busy.Store(true)
		s.logf("the store answers %s with 503", away.name)
		time.AfterFunc(turnAwaySpan, func() {
			away.gate.busy.Store(false)
			s.logf("the store serves %s again", away.name)
		})
	}
	time.Sleep(200 * time.Millisecond)
	return s.withdrawKeys(keys, booking, began)
}
