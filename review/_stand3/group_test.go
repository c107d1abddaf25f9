package stand3

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"time"
)

// groupShape is the shape of a model group and of its passes.
type groupShape struct {
	ranks, sets, experts, places, spare int
	expertMB, linkMbps                  float64
	stride                              int
	stepMS, perSeqMS                    float64
}

// group is a stand-in of a model group's ranks. An idle group makes no passes.
type group struct {
	shape  groupShape
	record *record
	// late reports whether an order is left unanswered and carried out late. It is called with
	// the group's lock, as are the other functions.
	late func(rank int, order wireOrder) bool
	// held is called when a rank holds a pass.
	held func()

	mu     sync.Mutex
	epoch  uint64
	pass   uint64
	ranks  []*rankState
	wake   chan struct{}
	broken []string
	orders int
	lates  int
	// waiting has the late orders to release a pass, which are carried out at the worst
	// moment from leastLate to mostLate.
	waiting []*lateOrder
	reading bool
	random  *rand.Rand
}

// An order without an answer is carried out 2 to 12 s later.
const (
	leastLate = 2 * time.Second
	mostLate  = 12 * time.Second
)

// lateOrder is an order that will be carried out.
type lateOrder struct {
	rank  int
	order wireOrder
	at    time.Time
}

// rankState is the state of a rank.
type rankState struct {
	index    int
	experts  [][]int
	version  uint64
	highest  uint64
	copying  uint64
	prepared uint64
	plan     [][]int
	whole    [][][]int
	inUse    [][][]int
	armed    uint64
	armedAt  uint64
	isHeld   bool
	held     uint64
	counts   []uint64
	streams  map[*stream]bool
	boots    int64
}

// stream is a request that a rank runs.
type stream struct {
	events chan int
	left   int
	next   int
	// unread is the number of passes until the prompt is read.
	unread int
}

type wireOrder struct {
	Op      string    `json:"op"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Epoch   *uint64   `json:"epoch"`
	Map     [][][]int `json:"map"`
}

func newGroup(shape groupShape, rec *record) *group {
	g := &group{shape: shape, record: rec, epoch: 1, wake: make(chan struct{}, 1), random: rand.New(rand.NewPCG(1, 11))}
	initial := make([][][]int, shape.sets)
	for set := range initial {
		initial[set] = make([][]int, shape.ranks)
		for expert := range shape.experts {
			initial[set][expert%shape.ranks] = append(initial[set][expert%shape.ranks], expert)
		}
	}
	for i := range shape.ranks {
		g.ranks = append(g.ranks, &rankState{
			index: i, inUse: initial, counts: make([]uint64, shape.sets*shape.experts), streams: make(map[*stream]bool),
			boots: time.Now().UnixMilli(),
		})
	}
	go g.run()
	return g
}

// run makes passes while there is work.
func (g *group) run() {
	for {
		g.mu.Lock()
		running := 0
		g.reading = true
		for _, r := range g.ranks {
			running += len(r.streams)
			for s := range r.streams {
				g.reading = g.reading && s.unread > 0
			}
		}
		begun := running > 0 && g.begin()
		g.mu.Unlock()
		if !begun {
			select {
			case <-g.wake:
			case <-time.After(2 * time.Millisecond):
			}
			continue
		}
		time.Sleep(g.passTime(running))
		g.mu.Lock()
		g.end()
		g.mu.Unlock()
	}
}

// passTime returns how long a pass takes with some requests in progress.
func (g *group) passTime(running int) time.Duration {
	perRank := float64(running) / float64(g.shape.ranks)
	// A pass in which no request writes yet has one step, and reads a part of a prompt.
	if g.reading {
		return time.Duration((g.shape.stepMS + 512/61.2) * float64(time.Millisecond))
	}
	return time.Duration(float64(g.shape.stride) * (g.shape.stepMS + perRank*g.shape.perSeqMS) * float64(time.Millisecond))
}

// carryOutRelease carries out a late order to release a pass at which the group waits, if some
// of the ranks, but not all, are armed for it. The caller holds the lock.
func (g *group) carryOutRelease(pass uint64) bool {
	armed := 0
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedAt == pass {
			armed++
		}
	}
	if armed == 0 || armed == len(g.ranks) {
		return false
	}
	for i, waiting := range g.waiting {
		r := g.ranks[waiting.rank]
		if age := time.Since(waiting.at); age >= leastLate && age <= mostLate && r.isHeld && r.held == pass && waiting.order.Step == pass {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			status := g.applyTo(r, waiting.order)
			g.record.addf("rank %d: late go pass %d is carried out after %.1f s: %d; %d of %d ranks are armed",
				waiting.rank, pass, age.Seconds(), status, armed, len(g.ranks))
			return !r.isHeld
		}
	}
	return false
}

// begin begins the next pass unless it is held. The caller holds the lock.
func (g *group) begin() bool {
	next := g.pass + 1
	for _, r := range g.ranks {
		if r.isHeld && r.held == next {
			if !g.carryOutRelease(next) {
				return false
			}
		}
	}
	g.pass = next
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedAt == next {
			g.record.addf("rank %d: uses map %d from pass %d", r.index, r.armed, next)
			r.version, r.inUse = r.armed, r.whole
			r.armed, r.armedAt, r.prepared = 0, 0, 0
		}
	}
	for _, r := range g.ranks {
		if r.version != g.ranks[0].version || !reflect.DeepEqual(r.inUse, g.ranks[0].inUse) {
			text := fmt.Sprintf("pass %d begins with map %d at rank %d and map %d at rank 0", next, r.version, r.index, g.ranks[0].version)
			if len(g.broken) < 50 {
				g.broken = append(g.broken, text)
				g.record.addf("MAP: %s", text)
			}
		}
	}
	return true
}

// end ends a pass: each request gets an event. The caller holds the lock.
func (g *group) end() {
	for _, r := range g.ranks {
		for s := range r.streams {
			if s.unread > 0 {
				s.unread--
				continue
			}
			s.next++
			select {
			case s.events <- s.next:
			default:
			}
			for set := range g.shape.sets {
				for pick := range 40 * g.shape.stride {
					// Two thirds of the choices are of the first experts.
					expert := (pick * 7) % g.shape.experts
					if pick%3 != 0 {
						expert = (pick * 5) % 6
					}
					r.counts[set*g.shape.experts+expert]++
				}
			}
			if s.left--; s.left <= 0 {
				close(s.events)
				delete(r.streams, s)
			}
		}
	}
}

func (g *group) handler(index int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lentilstand/report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.report(index)) })
	mux.HandleFunc("GET /lentilstand/picked", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, g.picked(index, r)) })
	mux.HandleFunc("POST /lentilstand/order", func(w http.ResponseWriter, r *http.Request) { g.handleOrder(index, w, r) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Lentilstand-Replica-Id", replicaID(index))
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { g.generate(index, w, r) })
	return mux
}

func replicaID(index int) string { return fmt.Sprintf("i-rank%02d", index) }

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (g *group) report(index int) map[string]any {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[index]
	report := map[string]any{
		"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": r.copying != 0,
		"group": map[string]any{"name": "g", "epoch": g.epoch, "rank": index, "state": "open"}, "size": len(g.ranks), "born": r.boots,
		"sequence": 0, "queued": 0, "running": len(r.streams), "kvUsed": 1, "kvTotal": 372000, "handles": 0, "pace": 1.0,
		"step": g.pass, "map": r.version, "prepared": nil, "armed": nil, "held": nil,
	}
	if r.prepared != 0 {
		report["prepared"] = r.prepared
	}
	if r.armed != 0 {
		report["armed"] = map[string]uint64{"version": r.armed, "step": r.armedAt}
	}
	if r.isHeld {
		report["held"] = r.held
	}
	return report
}

func (g *group) picked(index int, request *http.Request) map[string]any {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[index]
	if strings.Contains(request.URL.RawQuery, "lists") {
		lists := [][]int{}
		for set := range g.shape.sets {
			lists = append(lists, r.inUse[set][index])
		}
		return map[string]any{"epoch": g.epoch, "map": map[string]any{"version": r.version, "experts": lists}}
	}
	return map[string]any{"step": g.pass, "epoch": g.epoch, "counts": append([]uint64{}, r.counts...)}
}

func (g *group) handleOrder(index int, w http.ResponseWriter, request *http.Request) {
	var order wireOrder
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	g.orders++
	if g.late != nil && g.late(index, order) {
		g.lates++
		g.record.addf("rank %d: %s version %d pass %d gets no answer and is carried out later", index, order.Op, order.Version, order.Step)
		delay := leastLate + time.Duration(g.random.Int64N(int64(mostLate-leastLate)))
		if order.Op == "go" {
			g.waiting = append(g.waiting, &lateOrder{rank: index, order: order, at: time.Now()})
			delay = mostLate
		}
		g.mu.Unlock()
		time.AfterFunc(delay, func() { g.carryOut(index, order) })
		<-request.Context().Done()
		return
	}
	status := g.apply(index, order)
	g.record.addf("rank %d: %s version %d pass %d: %d", index, order.Op, order.Version, order.Step, status)
	g.mu.Unlock()
	w.WriteHeader(status)
}

// carryOut carries out a late order.
func (g *group) carryOut(index int, order wireOrder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	status := g.apply(index, order)
	g.record.addf("rank %d: late %s version %d pass %d is carried out: %d", index, order.Op, order.Version, order.Step, status)
}

// apply carries out an order and returns the status of the answer. The caller holds the lock.
func (g *group) apply(index int, order wireOrder) int {
	r := g.ranks[index]
	if order.Epoch != nil && *order.Epoch != g.epoch {
		return http.StatusConflict
	}
	status := g.applyTo(r, order)
	if status < 300 && order.Op == "hold" && g.held != nil {
		g.held()
	}
	select {
	case g.wake <- struct{}{}:
	default:
	}
	return status
}

func (g *group) applyTo(r *rankState, order wireOrder) int {
	switch order.Op {
	case "prepare":
		return g.prepare(r, order)
	case "arm":
		if r.armed == order.Version && r.armedAt == order.Step {
			return http.StatusOK
		}
		if r.prepared != order.Version || order.Step <= g.pass {
			return http.StatusConflict
		}
		r.armed, r.armedAt = order.Version, order.Step
	case "disarm":
		if r.version == order.Version {
			return http.StatusConflict
		}
		if r.armed == order.Version {
			r.armed, r.armedAt = 0, 0
		}
	case "hold":
		if r.isHeld && r.held == order.Step {
			return http.StatusOK
		}
		if order.Step <= g.pass || r.isHeld {
			return http.StatusConflict
		}
		r.isHeld, r.held = true, order.Step
	case "go":
		if r.isHeld && r.held == order.Step {
			r.isHeld, r.held = false, 0
		}
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

func (g *group) prepare(r *rankState, order wireOrder) int {
	if r.prepared == order.Version || r.copying == order.Version {
		return http.StatusOK
	}
	if order.Version <= r.highest || r.armed != 0 || len(order.Map) != g.shape.sets {
		return http.StatusConflict
	}
	added := 0
	for set := range order.Map {
		if len(order.Map[set]) != len(g.ranks) || len(order.Map[set][r.index]) > g.shape.places {
			return http.StatusBadRequest
		}
		inSet := 0
		for _, expert := range order.Map[set][r.index] {
			if !contains(r.inUse[set][r.index], expert) {
				inSet++
			}
		}
		if inSet > g.shape.spare {
			return http.StatusConflict
		}
		added += inSet
	}
	r.highest, r.copying, r.prepared = order.Version, order.Version, 0
	copyTime := time.Duration(float64(added) * g.shape.expertMB * 8 / g.shape.linkMbps * float64(time.Second))
	finish := func() {
		if r.copying == order.Version {
			r.copying, r.prepared, r.whole = 0, order.Version, order.Map
		}
	}
	if copyTime == 0 {
		finish()
	} else {
		time.AfterFunc(copyTime, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			finish()
		})
	}
	return http.StatusAccepted
}

func contains(list []int, wanted int) bool {
	for _, one := range list {
		if one == wanted {
			return true
		}
	}
	return false
}

// generate runs a request: one event a pass.
func (g *group) generate(index int, w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("Lentilstand-Request-Id")
	if expected := request.Header.Get("Lentilstand-Expect-Replica"); expected != "" && expected != replicaID(index) {
		w.Header().Set("Lentilstand-Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s := &stream{events: make(chan int, 1000), left: 20, unread: 2}
	g.mu.Lock()
	g.ranks[index].streams[s] = true
	g.record.addf("rank %d: runs request %s", index, id)
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.ranks[index].streams, s)
		g.mu.Unlock()
	}()
	started := false
	for {
		select {
		case number, open := <-s.events:
			if !open {
				return
			}
			if !started {
				started = true
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Lentilstand-Request-Id", id)
				w.Header().Set("Lentilstand-Response-Seal", "seal-"+id)
			}
			fmt.Fprintf(w, "id: %d\ndata: token\n\n", number)
			w.(http.Flusher).Flush()
		case <-request.Context().Done():
			return
		}
	}
}
