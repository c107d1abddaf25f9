package stand3

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lentilstand/lentilstand/platform/fakes"
)

// relayEntries is the number of entries of case 12. Six of them are less than 35 in 100.
const relayEntries = 18

// playRelay plays case 12: the store serves some entries no more, and a key is taken away.
func playRelay(s *site, trouble bool) verdict {
	const apply = 3 * time.Second
	var servers []*plainServer
	for i := range 3 {
		server := &plainServer{id: fmt.Sprintf("i-plain%d", i), work: 5 * time.Millisecond, record: s.record}
		s.serve(s.replicaAddress(i), server)
		s.put("servers/"+server.id, s.plainEntry(s.replicaAddress(i)))
		servers = append(servers, server)
	}
	configure := func(version int, keys ...string) time.Time {
		s.put("op/config", map[string]any{
			"version": version,
			"routes": []any{map[string]any{
				"name": "rack", "host": "ficu95.example", "prefix": "/rack/", "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 300,
				"priority": 2, "service": "bootshaus", "maxAttempts": 2, "public": false,
			}},
			"services": []any{map[string]any{"name": "bootshaus", "healthPath": "/healthz", "maxConns": 430, "coldStartS": 0, "coldPerS": 0}},
			"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
			"tenants": []any{
				map[string]any{"name": "rowers", "apiKeys": []string{"key-kept"}}, map[string]any{"name": "leavers", "apiKeys": keys},
			},
		})
		return time.Now()
	}
	configure(7, "key-dropped")

	// The store knows which machines wait for changes.
	var mu sync.Mutex
	watched := make(map[string]time.Time)
	s.observe = func(r *http.Request) {
		if r.URL.Path == "/lentilstand/kv-watch" {
			mu.Lock()
			defer mu.Unlock()
			watched[r.UserAgent()] = time.Now()
		}
	}
	for i := range relayEntries {
		s.startEntry(i)
	}
	for i := range relayEntries {
		s.waitReady(i)
	}
	time.Sleep(12 * time.Second)
	configure(9, "key-dropped")
	time.Sleep(500 * time.Millisecond)

	mu.Lock()
	var cut []string
	for name, at := range watched {
		if time.Since(at) < 5*time.Second {
			cut = append(cut, name)
		}
	}
	mu.Unlock()
	slices.Sort(cut)
	if trouble {
		if 100*len(cut) > 35*relayEntries {
			cannotRun("%d of %d entries wait for changes of the store", len(cut), relayEntries)
		}
		s.record.addf("store: answers nothing more to %v", cut)
		s.store.SetFaults(fakes.StoreFaults{Unresponsive: true, HangWatches: true, Only: cut})
	}
	time.Sleep(100 * time.Millisecond)
	ackedAt := configure(13)
	s.record.addf("operator: version 13 without key-dropped is acknowledged")

	var wg sync.WaitGroup
	var late []string
	served := 0
	for i := range relayEntries {
		if slices.Contains(cut, fmt.Sprintf("edge-%d", i+1)) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			for n := 0; time.Since(ackedAt) < 9*time.Second; n++ {
				id, sentAt := fmt.Sprintf("d-%02d-%03d", i+1, n), time.Now()
				s.call(client, i, http.MethodGet, "/rack/2f", "key-dropped", id, 1500*time.Millisecond)
				ok := s.call(client, i, http.MethodGet, "/rack/2f", "key-kept", fmt.Sprintf("k-%02d-%03d", i+1, n), 1500*time.Millisecond) == http.StatusOK
				mu.Lock()
				if ok {
					served++
				}
				if after := sentAt.Sub(ackedAt); after > apply && slices.ContainsFunc(servers, func(p *plainServer) bool { return p.ran(id) }) {
					late = append(late, fmt.Sprintf("%s at entry %d, %.2f s after the ack", id, i+1, after.Seconds()))
					s.record.addf("CONFIG: %s was sent %.2f s after the ack and has run", id, after.Seconds())
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.AfterFunc(9*time.Second, func() { s.store.SetFaults(fakes.StoreFaults{}) })
	wg.Wait()
	if served == 0 {
		cannotRun("no request was served")
	}
	summary := fmt.Sprintf("%d of %d entries were cut from the store; %d requests with a dropped key ran that were sent over %v after the ack", len(cut), relayEntries, len(late), apply)
	if !trouble {
		summary = fmt.Sprintf("no entry was cut from the store; %d requests with a dropped key ran that were sent over %v after the ack", len(late), apply)
	}
	if len(late) > 0 {
		summary += ", the last: " + late[len(late)-1]
	}
	return verdict{broken: len(late) > 0, summary: summary}
}
