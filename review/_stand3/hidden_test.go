package stand3

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// lateWrites leaves the first registration of some machines without an answer and carries it
// out late.
type lateWrites struct {
	record *record
	delay  time.Duration

	mu           sync.Mutex
	clients      map[string]bool
	writes, late int
}

// intercept carries out a write late, and reports whether it does.
func (l *lateWrites) intercept(store http.Handler, r *http.Request) bool {
	if r.Method == http.MethodGet || strings.Contains(r.URL.Path, "kv-keep") {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes++
	if r.URL.Path != "/lentilstand/kv-txn" || !l.clients[r.UserAgent()] {
		return false
	}
	delete(l.clients, r.UserAgent())
	l.late++
	body, _ := io.ReadAll(r.Body)
	name := r.UserAgent()
	l.record.addf("store: leaves a write of %s without an answer", name)
	time.AfterFunc(l.delay, func() {
		late, _ := http.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
		answer := discard{header: make(http.Header)}
		store.ServeHTTP(&answer, late)
		l.record.addf("store: carries out the late write of %s: %d", name, max(answer.status, http.StatusOK))
	})
	return true
}

// discard is an http.ResponseWriter that keeps only the status.
type discard struct {
	header http.Header
	status int
}

func (d *discard) Header() http.Header            { return d.header }
func (d *discard) Write(data []byte) (int, error) { return len(data), nil }
func (d *discard) WriteHeader(status int)         { d.status = status }

// playHidden plays case 13: entries whose registration was carried out late don't hear of a
// request that crashes replicas.
func playHidden(s *site, trouble bool) verdict {
	const contact = 3 * time.Second
	var mu sync.Mutex
	var crashes []time.Time
	var cut []string
	for i := range 5 {
		s.startCrashingServer(i, 1500*time.Millisecond, func(id string, others []string) {
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			cut = append(cut, others...)
		})
	}
	s.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "book", "host": "ficu95.example", "prefix": "/book/", "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 300,
			"priority": 2, "service": "bootshaus", "maxAttempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": "bootshaus", "healthPath": "/healthz", "maxConns": 96, "coldStartS": 0, "coldPerS": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "rowers", "apiKeys": []string{"key1"}}},
	})

	// Entries 1 and 2 run. The disturbance of the store is over before the rest of the case.
	late := &lateWrites{record: s.record, delay: 2200 * time.Millisecond, clients: map[string]bool{}}
	s.intercept = late.intercept
	s.startEntry(0)
	s.startEntry(1)
	s.waitReady(0)
	s.waitReady(1)
	time.Sleep(2 * time.Second)
	late.mu.Lock()
	late.writes = 0
	if trouble {
		late.clients = map[string]bool{"edge-3": true, "edge-4": true}
	}
	late.mu.Unlock()
	s.startEntry(2)
	s.startEntry(3)
	s.waitReady(2)
	s.waitReady(3)
	time.Sleep(5 * time.Second)
	late.mu.Lock()
	writes, lost := late.writes, late.late
	late.mu.Unlock()
	if trouble && 100*lost > 35*writes {
		cannotRun("%d of %d writes were late", lost, writes)
	}
	time.Sleep(contact + 2*time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	served := 0
	for caller := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if s.post(client, caller%4, "sound", fmt.Sprintf("s-%02d-%03d", caller, n)) == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		}()
	}
	time.Sleep(time.Second)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(crashes)
	}
	// The request comes at the first entry until it is refused.
	for n := 0; n < 6 && count() < 3; n++ {
		s.post(client, 0, "deadly", fmt.Sprintf("x-1-%d", n))
		time.Sleep(2 * time.Second)
	}
	if count() != 3 {
		cannotRun("the request has crashed %d replicas before it came to other entries", count())
	}
	time.Sleep(contact + time.Second)
	mu.Lock()
	cut = nil
	mu.Unlock()
	// It comes again, at any machine.
	for n := range 5 {
		for _, entry := range []int{1, 2, 3} {
			s.post(client, entry, "deadly", fmt.Sprintf("x-%d-%d", entry+1, n))
			time.Sleep(time.Second)
		}
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	retries := len(crashes) - 3
	summary := fmt.Sprintf("%d of %d writes were carried out late; a request that had crashed three replicas reached %d more, later than %v after the third crash; these cut off %d sound requests; %d sound requests were served",
		lost, writes, retries, contact, len(cut), served)
	return verdict{broken: retries > 3, summary: summary}
}

// post sends a request with a body and returns the status of the answer, 0 if there is none.
func (s *site) post(client *http.Client, entry int, body, id string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.frontAddress(entry)+"/book/2f", strings.NewReader(body))
	if err != nil {
		cannotRun("no request: %v", err)
	}
	if body == "sound" {
		request.Body = io.NopCloser(strings.NewReader(body + id))
		request.ContentLength = int64(len(body + id))
	}
	request.Host = "ficu95.example"
	request.Header.Set("Lentilstand-Request-Id", id)
	request.Header.Set("Lentilstand-Deadline-Ms", "1500")
	request.Header.Set("Authorization", "Bearer key1")
	s.record.addf("caller: sends %s (%s) to entry %d", id, body, entry+1)
	response, err := client.Do(request)
	if err != nil {
		s.record.addf("caller: %s has no answer: %v", id, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	s.record.addf("caller: %s got %d", id, response.StatusCode)
	return response.StatusCode
}
