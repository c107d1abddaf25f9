package stand3

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lentilstand/lentilstand/pkg/demand"
	"github.com/lentilstand/lentilstand/platform"
)

// smallShape is the group of the Traunsee site.
var smallShape = groupShape{
	ranks: 12, sets: 4, experts: 72, places: 8, spare: 3, expertMB: 780, linkMbps: 180000, stride: 5, stepMS: 5.85, perSeqMS: 0.355,
}

// modelService is the service of a group in the configuration.
func modelService(shape groupShape) map[string]any {
	return map[string]any{
		"name": "skiff-lm", "healthPath": "/healthz", "maxConns": 278, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 36.0,
		"engine": map[string]any{
			"slots": 12, "kvCapacity": 372000, "kvTokenBytes": 96256.0, "linkMbps": shape.linkMbps, "stride": shape.stride,
			"models": []any{map[string]any{"name": "m"}}, "step_ms": shape.stepMS, "per_seq_ms": shape.perSeqMS, "context_per_k": 0.036,
			"read_per_s": 61200.0, "pairs_per_m": 0.325, "chunk": 512, "report_lag_ms": 200.0,
			"usual": map[string]any{"prompt": 835, "answer": 139}, "sets": shape.sets, "experts": shape.experts, "places": shape.places,
			"spare": shape.spare, "expertMb": shape.expertMB, "expertShare": 0.85, "form_ms": 600.0,
		},
	}
}

// storedDemand is the record that the system has written on an earlier day.
func storedDemand(shape groupShape) (key string, value []byte) {
	weights := make([]byte, shape.sets*shape.experts)
	for i := range weights {
		weights[i] = 20
		if i%shape.experts < 6 {
			weights[i] = 255
		}
	}
	d, err := demand.New(shape.sets, shape.experts, weights)
	if err != nil {
		cannotRun("no demand: %v", err)
	}
	return platform.DemandPair(demand.NewStored("skiff-lm", d))
}

// playMaps plays case 11: a group without requests switches to another map while orders are
// carried out late and an agent is down.
func playMaps(s *site, trouble bool) verdict {
	g := newGroup(smallShape, s.record)
	for i := range smallShape.ranks {
		s.serve(s.replicaAddress(i), g.handler(i))
	}
	s.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "lineup", "host": "ficu95.example", "prefix": "/lineup/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 400,
			"priority": 1, "service": "skiff-lm", "maxAttempts": 2, "public": false, "sessionAffinity": true, "streamResume": true, "gapAimMs": 120,
		}},
		"services": []any{modelService(smallShape)},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "rowers", "apiKeys": []string{"key1"}}},
	})
	key, value := storedDemand(smallShape)
	s.putBytes(key, value)
	for i := range smallShape.ranks {
		s.put("servers/"+replicaID(i), map[string]any{
			"service": "skiff-lm", "address": s.replicaAddress(i), "zone": "gmunden", "version": "1", "slots": 12, "state": "ready",
			"coldLeftMs": 0, "sequence": 1, "born": g.ranks[i].boots,
		})
	}

	// For 5.5 s two ranks leave orders without an answer, at most 35 in 100 of all: rank 1 the first
	// one to release each pass that it holds, and rank 7 those to arm a map.
	var troubleAt, backAt time.Time
	var released uint64
	began, called := make(chan struct{}, 1), make(chan struct{}, 1)
	g.late = func(rank int, order wireOrder) bool {
		if troubleAt.IsZero() {
			troubleAt = time.Now()
			began <- struct{}{}
		}
		if order.Op == "hold" {
			released = 0
		}
		if !trouble || time.Since(troubleAt) > 5500*time.Millisecond || 100*(g.lates+1) > 35*g.orders {
			return false
		}
		if order.Op == "go" && released != order.Step {
			released = order.Step
			return true
		}
		return order.Op == "arm" && rank == 7
	}
	// The first caller comes while the group waits for a switch, once all agents are back.
	g.held = func() {
		if !backAt.IsZero() && time.Since(backAt) > 300*time.Millisecond {
			select {
			case called <- struct{}{}:
			default:
			}
		}
	}
	for i := range 2 {
		s.startEntry(i)
	}
	var agents []*process
	for i := range smallShape.ranks {
		agents = append(agents, s.startAgent(i))
	}
	for i := range 2 {
		s.waitReady(i)
	}
	select {
	case <-began:
	case <-time.After(15 * time.Second):
		cannotRun("no switch of maps has begun")
	}
	if trouble {
		agents[5].kill()
		time.Sleep(3500 * time.Millisecond)
		agents[5].restart()
	}
	g.mu.Lock()
	backAt = time.Now()
	g.mu.Unlock()
	select {
	case <-called:
	case <-time.After(3 * time.Second):
	}
	s.record.addf("callers begin")
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.stream(i%2, fmt.Sprintf("r-%04d", i))
		}()
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	g.mu.Lock()
	defer g.mu.Unlock()
	summary := fmt.Sprintf("%d passes, %d orders of which %d were carried out late; as a pass began, a rank had another map than rank 0 %d times or more: %s",
		g.pass, g.orders, g.lates, len(g.broken), strings.Join(g.broken[:min(3, len(g.broken))], "; "))
	return verdict{broken: len(g.broken) > 0, summary: summary}
}

// stream sends a request and reads its answer.
func (s *site) stream(entry int, id string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.frontAddress(entry)+"/lineup/2f", strings.NewReader(`{"prompt":"`+id+`"}`))
	if err != nil {
		cannotRun("no request: %v", err)
	}
	request.Host = "ficu95.example"
	for name, value := range map[string]string{
		"Lentilstand-Request-Id": id, "Lentilstand-Model": "m", "Lentilstand-Token-Counts": "714,140",
		"Lentilstand-Prompt-Prefix": "5c1e07a2:40,e4402b7d:674", "Lentilstand-Deadline-Ms": "8000", "Authorization": "Bearer key1",
	} {
		request.Header.Set(name, value)
	}
	s.record.addf("caller: sends %s to entry %d", id, entry+1)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.record.addf("caller: %s failed: %v", id, err)
		return
	}
	defer response.Body.Close()
	buffer := make([]byte, 1<<20)
	total := 0
	for {
		n, err := response.Body.Read(buffer)
		total += n
		if err != nil {
			s.record.addf("caller: %s got status %d, %d bytes, %v", id, response.StatusCode, total, err)
			return
		}
	}
}
