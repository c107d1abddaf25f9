package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a sound replica of a plain service.
type replica struct {
	site     *site
	id, zone string
	address  string
	born     int64

	mu   sync.Mutex
	runs map[string]int
}

// addReplica starts a replica and registers it.
func (s *site) addReplica(id, zone string) (*replica, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", s.host, 100+len(s.replicas)))
	if err != nil {
		return nil, err
	}
	r := &replica{site: s, id: id, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), runs: make(map[string]int)}
	server := &http.Server{Handler: r}
	go func() { _ = server.Serve(listener) }()
	s.replicas = append(s.replicas, r)
	if err := r.beat(1); err != nil {
		return nil, err
	}
	return r, nil
}

// keepBeating has all replicas ping together.
func (s *site) keepBeating() {
	for sequence := 2; ; sequence++ {
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeat):
			for _, r := range s.replicas {
				_ = r.beat(sequence)
			}
			s.beatAt.Store(time.Since(s.started).Milliseconds())
		}
	}
}

// beat writes the replica's entry in the store.
func (r *replica) beat(sequence int) error {
	return r.site.write("servers/"+r.id, map[string]any{
		"service": "bootshaus", "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldLeftMs": 0, "sequence": sequence, "born": r.born,
	})
}

// ServeHTTP runs a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Lentilstand-Request-Id")
	w.Header().Set("Lentilstand-Request-Id", id)
	if request.Header.Get("Lentilstand-Expect-Replica") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.site.logf("replica %s runs %s for tenant %s", r.id, id, request.Header.Get("Lentilstand-Tenant"))
	w.Header().Set("Lentilstand-Response-Seal", "seal-"+id)
	w.Header().Set("Lentilstand-Replica-Load", "1,0,6")
	_, _ = io.WriteString(w, "reserved "+id)
}

// ran returns how often the replicas have run a request.
func (s *site) ran(id string) int {
	count := 0
	for _, r := range s.replicas {
		r.mu.Lock()
		count += r.runs[id]
		r.mu.Unlock()
	}
	return count
}
