package review

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the sheet.
const (
	rankSlots = 12
	sets      = 4
	experts   = 72
	stall     = 1500 * time.Millisecond
	formTime  = 600 * time.Millisecond
	// rankDownFor is how long a rank that has crashed is down.
	rankDownFor = 2 * time.Second
)

// modelGroup is a group of model replicas. All of them stall while one is down. The work of
// the others is cut off after stall, and requests that haven't begun are turned away. The
// group opens formTime after the last rank is back, in a new epoch. Its ranks count no
// choices of experts, so that no map is changed.
type modelGroup struct {
	site *site
	// events and pause are the number of events of a stream and the pause before each.
	events int
	pause  time.Duration
	// deadlyPath and deadlyPart are the start of the path and the part of the prompt of
	// requests that crash each rank which begins to run them, empty for none.
	deadlyPath, deadlyPart string

	mu    sync.Mutex
	ranks []*rank
	epoch int
	// pass is the last pass that was begun.
	pass int
	// brokenAt is when the group broke, zero while it is open.
	brokenAt time.Time
	runs     map[string]*run
	crashes  []crash
}

// run is a request that a rank or another replica has begun to work on.
type run struct {
	replica string
	began   time.Time
	// broken is set if the replica broke off.
	broken bool
}

// crash is the crash of a rank.
type crash struct {
	request string
	at      time.Time
}

// rank is a replica of a group.
type rank struct {
	group    *modelGroup
	number   int
	id       string
	address  string
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	down     bool
}

// startGroup starts the ranks of a group, each with an agent on its machine.
func (s *site) startGroup(g *modelGroup, size int) *modelGroup {
	g.site, g.epoch, g.runs = s, 1, make(map[string]*run)
	for number := range size {
		r := &rank{group: g, number: number, id: fmt.Sprintf("r-%d", number+1), address: fmt.Sprintf("%s.%d:%d", s.network, firstRankHost+number, s.port)}
		listener, err := net.Listen("tcp", r.address)
		must(err)
		g.ranks = append(g.ranks, r)
		r.serve(listener)
	}
	for number := range size {
		s.startAgent(number)
	}
	go g.runPasses()
	return g
}

// runPasses begins a pass for each event of the streams, while there are any.
func (g *modelGroup) runPasses() {
	for {
		time.Sleep(g.pause)
		g.mu.Lock()
		running := 0
		for _, r := range g.ranks {
			running += r.running
		}
		if running > 0 && g.brokenAt.IsZero() {
			g.pass++
		}
		g.mu.Unlock()
	}
}

// serve starts the rank and registers it in the store.
func (r *rank) serve(listener net.Listener) {
	g := r.group
	g.mu.Lock()
	r.listener, r.conns, r.down, r.running, r.born = listener, make(map[net.Conn]bool), false, 0, time.Now().UnixMilli()
	g.mu.Unlock()
	g.site.put("servers/"+r.id, map[string]any{
		"service": "skiff-lm", "address": r.address, "zone": "gmunden", "version": "v1", "slots": rankSlots, "state": "ready",
		"coldLeftMs": 0, "sequence": 0, "born": r.born,
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			g.mu.Lock()
			r.conns[conn] = true
			g.mu.Unlock()
			go r.serveConn(conn)
		}
	}()
}

func (r *rank) serveConn(conn net.Conn) {
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
		switch {
		case strings.HasPrefix(request.URL.Path, "/lentilstand/"):
			err = r.describe(conn, request)
		case request.Header.Get("Lentilstand-Expect-Replica") != r.id:
			_, err = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nLentilstand-Request-Id: %s\r\nLentilstand-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.id)
		default:
			err = r.run(conn, id, request)
		}
		if err != nil {
			return
		}
	}
}

// describe answers the calls of agents. The rank refuses all orders.
func (r *rank) describe(conn net.Conn, request *http.Request) error {
	g := r.group
	g.mu.Lock()
	state := "open"
	if !g.brokenAt.IsZero() {
		state = "broken"
	}
	placed := make([][]int, sets)
	for set := range placed {
		for expert := r.number; expert < experts; expert += len(g.ranks) {
			placed[set] = append(placed[set], expert)
		}
	}
	var answer any
	switch request.URL.Path {
	case "/lentilstand/report":
		answer = map[string]any{
			"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
			"queued": 0, "running": r.running, "kvUsed": 840 * r.running, "kvTotal": 372000, "handles": 0, "pace": 1.0, "born": r.born,
			"group": map[string]any{"name": "g", "epoch": g.epoch, "rank": r.number, "state": state}, "size": len(g.ranks),
			"step": g.pass, "map": 0, "prepared": nil, "armed": nil, "held": nil,
		}
	case "/lentilstand/picked":
		answer = map[string]any{"step": g.pass, "epoch": g.epoch, "counts": make([]int, sets*experts), "map": map[string]any{"version": 0, "experts": placed}}
	}
	g.mu.Unlock()
	if answer == nil {
		_, err := io.WriteString(conn, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
		return err
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}

var errBrokenOff = errors.New("the replica has broken off")

// run runs a request for a stream. A deadly one crashes the rank as it begins.
func (r *rank) run(conn net.Conn, id string, request *http.Request) error {
	g := r.group
	deadly := g.deadlyPath != "" && strings.HasPrefix(request.URL.Path, g.deadlyPath) ||
		g.deadlyPart != "" && strings.Contains(request.Header.Get("Lentilstand-Prompt-Prefix"), g.deadlyPart+":")
	g.mu.Lock()
	if !g.brokenAt.IsZero() || r.running >= 2*rankSlots {
		g.mu.Unlock()
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nLentilstand-Request-Id: %s\r\nLentilstand-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err
	}
	r.running++
	load, work := r.running, &run{replica: r.id, began: time.Now()}
	g.runs[id] = work
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		r.running--
		g.mu.Unlock()
	}()
	breakOff := func() error {
		g.mu.Lock()
		work.broken = true
		g.mu.Unlock()
		_ = conn.(*net.TCPConn).SetLinger(0)
		return errBrokenOff
	}
	if deadly {
		time.Sleep(20 * time.Millisecond)
		g.crash(r, id)
		return breakOff()
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nLentilstand-Request-Id: %s\r\nLentilstand-Response-Seal: seal-%s\r\nLentilstand-Replica-Load: %d,0,%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id, load, rankSlots); err != nil {
		return err
	}
	for event := 1; event <= g.events; event++ {
		time.Sleep(g.pause)
		g.mu.Lock()
		brokenAt := g.brokenAt
		g.mu.Unlock()
		if !brokenAt.IsZero() {
			time.Sleep(time.Until(brokenAt.Add(stall)))
			return breakOff()
		}
		text := fmt.Sprintf("id: %d\ndata: token %d\n\n", event, event)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return err
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// crash ends a rank's process: its port refuses connections, and its channels are reset. It
// starts again after rankDownFor, and the group forms again.
func (g *modelGroup) crash(r *rank, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.down {
		return
	}
	g.crashes = append(g.crashes, crash{request: id, at: time.Now()})
	g.site.log("crash %d: rank %s crashes on %s", len(g.crashes), r.id, id)
	r.down = true
	if g.brokenAt.IsZero() {
		g.brokenAt = time.Now()
	}
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	time.AfterFunc(rankDownFor, func() {
		listener, err := net.Listen("tcp", r.address)
		if err != nil {
			g.site.log("rank %s can't start again: %v", r.id, err)
			return
		}
		r.serve(listener)
		time.AfterFunc(formTime, g.form)
	})
}

// form opens the group if all ranks are up.
func (g *modelGroup) form() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if r.down {
			return
		}
	}
	if !g.brokenAt.IsZero() {
		g.brokenAt = time.Time{}
		g.epoch++
		g.pass = 0
		g.site.log("the group is open again")
	}
}

// find returns the run of a request, nil if no rank has run it.
func (g *modelGroup) find(id string) *run {
	g.mu.Lock()
	defer g.mu.Unlock()
	if found := g.runs[id]; found != nil {
		copied := *found
		return &copied
	}
	return nil
}
