package review

import (
	"fmt"
	"sync"
	"time"
)

// deadlyEvery is how many usual requests are sent for each deadly one: two seconds' worth.
const deadlyEvery = 120

// runKiller sends a request that crashes each replica which begins to run it, again and
// again, among the usual streams. BUDGET is broken if it reaches replicas in more than three
// retries later than contactMs after it has crashed the third.
func runKiller(s *site) int {
	s.startStore()
	s.configure(
		route{name: "r-draft", prefix: "/draft/", kind: "streaming", service: "skiff-lm", timeoutMS: 8000, aimMS: 400, attempts: 2},
	)
	g := s.startGroup(&modelGroup{events: 28, pause: 75 * time.Millisecond, deadlyPath: "/draft/deadly/"}, 12)
	var entries []*process
	for i := range 3 {
		entries = append(entries, s.startEntry(i+1))
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(75 * time.Second)
	var running sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]int)
	stream := func(number int, path, name string) {
		conn, err := dial(entries[number%len(entries)].front)
		if err != nil {
			return
		}
		defer conn.Close()
		// A prompt begins with one of 60 parts that requests share.
		shared, body := fmt.Sprintf("a%d", number%60), fmt.Appendf(nil, "prompt %s", s.newID())
		if name == "deadly" {
			shared, body = "a7", []byte("deadly prompt")
		}
		c := s.send(conn, "POST", path, "key-1", fmt.Sprintf("Lentilstand-Model: m\r\nLentilstand-Token-Counts: 714,140\r\nLentilstand-Prompt-Prefix: %s:40,%s:674\r\n", shared, s.newID()), body, 8*time.Second)
		mu.Lock()
		defer mu.Unlock()
		outcomes[fmt.Sprintf("%s %d complete %v", name, c.status, c.complete)]++
		if name == "deadly" {
			s.log("deadly request %s at %s: %s", c.id, entries[number%len(entries)].name, c.outcome())
		}
	}
	for tick := 0; time.Now().Before(end); tick++ {
		running.Go(func() { stream(tick, "/draft/1", "sound") })
		if trouble && tick > 250 && tick%deadlyEvery == 0 {
			running.Go(func() { stream(tick/deadlyEvery, "/draft/deadly/1", "deadly") })
		}
		time.Sleep(17 * time.Millisecond)
	}
	running.Wait()
	for outcome, count := range outcomes {
		s.log("%s: %d", outcome, count)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	late := 0
	for _, c := range g.crashes {
		if len(g.crashes) >= 3 && c.at.After(g.crashes[2].at.Add(contact)) {
			late++
		}
	}
	s.log("replicas that the deadly request has crashed: %d; requests that have reached replicas and begun there later than contactMs after the third crash: %d", len(g.crashes), late)
	if late > 3 {
		return broken
	}
	return held
}
