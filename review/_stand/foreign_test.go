package review

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Bounds of the sheet.
const (
	// recoverAfter is recoverS.
	recoverAfter = 12 * time.Second
	// downFor is how long the processes are down after the final fault.
	downFor = 1500 * time.Millisecond
)

// runForeign kills all entries, as the final fault of a day does, and starts them again.
// Meanwhile another writer puts entries into the store that name a service which no
// configuration has, at the addresses of the replicas. RECOVER is broken if less than a
// quarter of the requests is served later than recoverS after the entries are back, though a
// quarter or more was before.
func runForeign(s *site) int {
	s.startStore()
	s.configure(route{name: "r-book", prefix: "/book/", kind: "non_idempotent", service: "bootshaus", timeoutMS: 800, aimMS: 300, attempts: 1})
	var replicas []*replica
	for i := range 3 {
		replicas = append(replicas, s.startReplica(&replica{id: fmt.Sprintf("b-%d", i+1), service: "bootshaus", work: 60 * time.Millisecond}))
	}
	entries := []*process{s.startEntry(1), s.startEntry(2)}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var calls []*call
	var running sync.WaitGroup
	send := func(span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, entry := range entries {
				running.Go(func() {
					sentAt := time.Now()
					c := &call{sentAt: sentAt, id: "-"}
					if conn, err := dial(entry.front); err == nil {
						c = s.send(conn, "POST", "/book/1", "key-1", "", bytes.Repeat([]byte("b"), 600), 1500*time.Millisecond)
						_ = conn.Close()
					} else {
						c.err = err
					}
					mu.Lock()
					defer mu.Unlock()
					c.sentAt = sentAt
					calls = append(calls, c)
				})
			}
		}
	}
	send(5 * time.Second)
	fault := time.Now()
	s.log("final fault: all entries are killed")
	for _, entry := range entries {
		entry.signal(syscall.SIGKILL)
	}
	if trouble {
		for i, r := range replicas {
			s.put(fmt.Sprintf("servers/x-%d", i+1), map[string]any{
				"service": "archive", "address": r.address, "zone": "gmunden", "version": "v1", "slots": 12, "state": "ready",
				"coldLeftMs": 0, "sequence": 0, "born": time.Now().UnixMilli(),
			})
		}
		s.log("another writer adds entries of a service that no configuration names: x-1, x-2, x-3")
	}
	time.Sleep(time.Until(fault.Add(downFor)))
	for _, entry := range entries {
		entry.kill()
		entry.start()
	}
	back := time.Now()
	for _, entry := range entries {
		entry.waitReady()
	}
	send(recoverAfter + 8*time.Second)
	running.Wait()
	served, all, servedBefore, allBefore := 0, 0, 0, 0
	for _, c := range calls {
		ok := c.complete && c.status == 200
		s.log("request %s sent at %.3f s: %s", c.id, c.sentAt.Sub(s.began).Seconds(), c.outcome())
		switch {
		case c.sentAt.Before(fault.Add(-2 * time.Second)):
			allBefore++
			if ok {
				servedBefore++
			}
		case c.sentAt.After(back.Add(recoverAfter)):
			all++
			if ok {
				served++
			}
		}
	}
	s.log("served before the final fault: %d of %d; later than recoverS after the entries are back: %d of %d", servedBefore, allBefore, served, all)
	if 4*servedBefore < allBefore || all == 0 {
		return couldNot
	}
	if 4*served < all {
		return broken
	}
	return held
}
