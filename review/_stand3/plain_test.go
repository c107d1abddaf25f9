package stand3

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// plainServer is a sound replica of a plain service. It answers each request after its work.
type plainServer struct {
	id     string
	work   time.Duration
	record *record

	mu   sync.Mutex
	runs []serverRun
}

// serverRun is a request that a replica has run.
type serverRun struct {
	id string
	at time.Time
}

func (p *plainServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("Lentilstand-Request-Id")
	w.Header().Set("Lentilstand-Request-Id", id)
	if request.Header.Get("Lentilstand-Expect-Replica") != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.mu.Lock()
	p.runs = append(p.runs, serverRun{id: id, at: time.Now()})
	p.mu.Unlock()
	p.record.addf("replica %s: runs %s", p.id, id)
	time.Sleep(p.work)
	w.Header().Set("Lentilstand-Response-Seal", "seal-"+id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, "done "+id)
}

// ran reports whether the replica has run a request.
func (p *plainServer) ran(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, run := range p.runs {
		if run.id == id {
			return true
		}
	}
	return false
}

// plainEntry is the record of a replica of a plain service in the store.
func (s *site) plainEntry(address string) map[string]any {
	return map[string]any{
		"service": "bootshaus", "address": address, "zone": "gmunden", "version": "1", "slots": 6, "state": "ready",
		"coldLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
}

// call sends a request to an entry and returns the status of the answer, 0 if there is none.
func (s *site) call(client *http.Client, entry int, method, path, key, id string, limit time.Duration) int {
	request, err := http.NewRequest(method, "http://"+s.frontAddress(entry)+path, nil)
	if err != nil {
		cannotRun("no request: %v", err)
	}
	request.Host = "ficu95.example"
	request.Header.Set("Lentilstand-Request-Id", id)
	request.Header.Set("Lentilstand-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+key)
	s.record.addf("caller: sends %s with %s to entry %d", id, key, entry+1)
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
