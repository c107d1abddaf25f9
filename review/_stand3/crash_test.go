package stand3

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// crashingServer is a replica that a request with the body "deadly" crashes as it begins to run
// it. The replica is back after a while, as another boot with another id.
type crashingServer struct {
	site    *site
	index   int
	address string
	away    time.Duration
	// crashed is called with each crash, with the lock.
	crashed func(id string, cut []string)

	mu      sync.Mutex
	boot    int
	server  *http.Server
	running map[string]bool
}

func (s *site) startCrashingServer(index int, away time.Duration, crashed func(id string, cut []string)) *crashingServer {
	c := &crashingServer{site: s, index: index, address: s.replicaAddress(index), away: away, crashed: crashed}
	c.start()
	return c
}

func (c *crashingServer) id() string { return fmt.Sprintf("i-book%d-%d", c.index, c.boot) }

// start begins a boot.
func (c *crashingServer) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.boot++
	c.running = make(map[string]bool)
	c.server = c.site.serve(c.address, c)
	c.site.put("servers/"+c.id(), c.site.plainEntry(c.address))
}

func (c *crashingServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	id := request.Header.Get("Lentilstand-Request-Id")
	w.Header().Set("Lentilstand-Request-Id", id)
	c.mu.Lock()
	own, boot := c.id(), c.boot
	if request.Header.Get("Lentilstand-Expect-Replica") != own {
		c.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	c.site.record.addf("replica %s: runs %s", own, id)
	if strings.Contains(string(body), "deadly") {
		c.crash(id)
		c.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	c.running[id] = true
	c.mu.Unlock()
	time.Sleep(60 * time.Millisecond)
	c.mu.Lock()
	alive := c.boot == boot && c.running != nil
	if alive {
		delete(c.running, id)
	}
	c.mu.Unlock()
	if !alive {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Lentilstand-Response-Seal", "seal-"+id)
	_, _ = io.WriteString(w, "done "+id)
}

// crash ends the boot with all that it runs. The caller holds the lock.
func (c *crashingServer) crash(by string) {
	var cut []string
	for id := range c.running {
		cut = append(cut, id)
	}
	c.running = nil
	c.site.record.addf("replica %s: crashes on %s and cuts off %v", c.id(), by, cut)
	c.crashed(by, cut)
	old, server := "servers/"+c.id(), c.server
	go func() {
		_ = server.Close()
		time.Sleep(c.away)
		c.site.remove(old)
		c.start()
	}()
}
