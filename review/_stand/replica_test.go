package review

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a sound replica: it runs each request that names it, and says so in its
// answers. It drops a request when its channel closes.
type replica struct {
	site        *site
	id, service string
	address     string
	// work is how long a request takes.
	work time.Duration

	mu   sync.Mutex
	runs map[string]*run
}

func (s *site) startReplica(r *replica) *replica {
	r.site, r.runs = s, make(map[string]*run)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serveConn(conn)
		}
	}()
	s.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": "gmunden", "version": "v1", "slots": 6, "state": "ready",
		"coldLeftMs": 0, "sequence": 0, "born": time.Now().UnixMilli(),
	})
	return r
}

func (r *replica) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Lentilstand-Request-Id")
		if request.Header.Get("Lentilstand-Expect-Replica") != r.id {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nLentilstand-Request-Id: %s\r\nLentilstand-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.id); err != nil {
				return
			}
			continue
		}
		r.mu.Lock()
		r.runs[id] = &run{replica: r.id, began: time.Now()}
		r.mu.Unlock()
		time.Sleep(r.work)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nLentilstand-Request-Id: %s\r\nLentilstand-Response-Seal: seal-%s\r\nLentilstand-Replica-Load: 1,0,6\r\nContent-Length: 4\r\n\r\ndone", id, id); err != nil {
			return
		}
	}
}

// find returns the run of a request, nil if the replica hasn't run it.
func (r *replica) find(id string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// findRun returns the run of a request at one of the replicas, nil if there is none.
func findRun(replicas []*replica, id string) *run {
	for _, r := range replicas {
		if found := r.find(id); found != nil {
			return found
		}
	}
	return nil
}
