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

// plants are faults of the harness, each with the rule by which it must be found.
var plants = map[string]string{
	"twice":   "TWICE",
	"refused": "REFUSED",
	"order":   "ORDER",
	"config":  "CONFIG",
	"lost":    "LOST",
	"map":     "MAP",
	"recover": "RECOVER",
}

func TestPlantedFaultsAreFound(t *testing.T) {
	for name := range plants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seed := uint64(1)
			if name == "lost" {
				seed = plannedEach
			}
			soak(t, seed, name)
		})
	}
}

// plant carries out a planted fault now.
func (r *run) plant() {
	switch r.planted {
	case "twice":
		r.site.script.Add(fakes.ExecuteTwice)
	case "refused":
		r.site.script.Add(fakes.ExecuteAndReject)
	case "order":
		r.site.script.Add(fakes.ReorderEvents)
	case "config":
		// The acknowledgement is taken to be long past while the version is new.
		r.site.mu.Lock()
		r.site.version++
		r.site.acked = time.Now().Add(-time.Minute)
		r.site.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	case "map":
		// A rank gets an order that no leader gave.
		body := fmt.Sprintf(`{"op":"prepare","version":%d,"epoch":1,"map":%s}`, 1<<40, oddMap())
		r.order(body)
		r.order(fmt.Sprintf(`{"op":"arm","version":%d,"epoch":1,"step":%d}`, 1<<40, r.site.group.Pass()+1))
	case "recover":
		r.site.entries[0].relay.set(trouble{toTarget: true})
		r.site.mu.Lock()
		defer r.site.mu.Unlock()
		for _, p := range r.site.plains {
			p.relay.set(trouble{toTarget: true})
		}
	}
}

// oddMap has all experts on rank 0.
func oddMap() string {
	var all []string
	for e := range expert {
		all = append(all, fmt.Sprint(e))
	}
	set := "[[" + strings.Join(all, ",") + "]" + strings.Repeat(",[]", ranks-1) + "]"
	return "[" + set + strings.Repeat(","+set, sets-1) + "]"
}

func (r *run) order(body string) {
	response, err := http.Post("http://"+r.site.rankAddress+"/lentilstand/order", "application/json", strings.NewReader(body))
	if err != nil {
		r.t.Log(err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
