package soak_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lentilstand/lentilstand/platform/fakes"
)

// plantedFaults maps each fault that is injected on purpose, to show that the checks
// can fail, to the rule that must report it.
var plantedFaults = map[string]string{
	"twice":   "TWICE",
	"refused": "REFUSED",
	"order":   "ORDER",
	"config":  "CONFIG",
	"lost":    "LOST",
	"drain":   "DRAIN",
	"map":     "MAP",
	"recover": "RECOVER",
}

func TestPlantedFaultsAreFound(t *testing.T) {
	for name := range plantedFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seed := uint64(1)
			if name == "lost" {
				seed = plannedSeedInterval
			}
			soak(t, seed, name)
		})
	}
}

// injectPlantedFault injects the planted fault of the run, if it has one.
func (r *run) injectPlantedFault() {
	switch r.plantedFault {
	case "twice":
		r.site.script.Add(fakes.ExecuteTwice)
	case "refused":
		r.site.script.Add(fakes.ExecuteAndReject)
	case "order":
		r.site.script.Add(fakes.ReorderEvents)
	case "config":
		// Claims that a version was acknowledged a minute ago that was never written.
		r.site.writes.mu.Lock()
		r.site.writes.version++
		r.site.writes.acked["op/config"] = ack{at: time.Now().Add(-time.Minute)}
		r.site.writes.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	case "drain":
		// Claims that a replica that stays registered has left a minute ago.
		r.site.writes.mu.Lock()
		r.site.writes.acked["servers/gone"] = ack{at: time.Now().Add(-time.Minute)}
		r.site.writes.mu.Unlock()
		r.site.withdraw("DRAIN", "servers/gone", drainBound, r.site.plainsIn("a")...)
	case "map":
		// Sends a rank an order that no leader issued.
		body := fmt.Sprintf(`{"op":"prepare","version":%d,"epoch":1,"map":%s}`, 1<<40, skewedExpertMap())
		r.sendOrder(body)
		r.sendOrder(fmt.Sprintf(`{"op":"arm","version":%d,"epoch":1,"step":%d}`, 1<<40, r.site.group.Pass()+1))
	case "recover":
		r.site.entries[0].relay.setFault(linkFault{blockToTarget: true})
		r.site.mu.Lock()
		defer r.site.mu.Unlock()
		for _, p := range r.site.plains {
			p.relay.setFault(linkFault{blockToTarget: true})
		}
	}
}

// skewedExpertMap returns an expert map, in JSON, with all experts on rank 0.
func skewedExpertMap() string {
	var all []string
	for e := range experts {
		all = append(all, fmt.Sprint(e))
	}
	set := "[[" + strings.Join(all, ",") + "]" + strings.Repeat(",[]", ranks-1) + "]"
	return "[" + set + strings.Repeat(","+set, sets-1) + "]"
}

func (r *run) sendOrder(body string) {
	response, err := http.Post("http://"+r.site.rankAddress+"/lentilstand/order", "application/json", strings.NewReader(body))
	if err != nil {
		r.t.Log(err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
