package matrix

import (
	"fmt"
	"slices"
	"sync"
	"testing"
)

// The steps of a request, of a patch and of a change of expert map, in order.
var (
	pathSteps  = []string{"choose", "claim", "send", "admit", "first token", "mid stream", "last chunk", "settle"}
	patchSteps = []string{"stage", "promise", "accept", "announce", "apply"}
	mapSteps   = []string{"map stage", "map release", "map step"}
)

// faults are the rows of the matrix.
var faults = []string{
	"process killed", "process stopped and continued", "connection cut", "connection silent one way",
	"connection silent both ways", "message late", "key-value service down", "key-value service slow",
	"key-value answer lost", "lease lapsed while paused", "operators racing", "endpoint cold again",
	"request that crashes endpoints", "back end slow", "caller slow",
}

// cell is the test of one fault at one step.
type cell struct {
	fault string
	step  string
	run   func(t *testing.T)
}

// results collects the names of the cells that passed and failed.
type results struct {
	mu     sync.Mutex
	passed []string
	failed []string
}

func (r *results) record(name string, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failed {
		r.failed = append(r.failed, name)
	} else {
		r.passed = append(r.passed, name)
	}
}

// maxParallel limits the number of concurrent cells, so that an overloaded machine
// doesn't cause failures of its own.
const maxParallel = 6

func TestMatrix(t *testing.T) {
	var result results
	cells := slices.Concat(pathCells(), patchCells())
	slots := make(chan struct{}, maxParallel)
	t.Run("cells", func(t *testing.T) {
		for _, c := range cells {
			name := c.fault + "/" + c.step
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				defer func() { result.record(name, t.Failed()) }()
				c.run(t)
			})
		}
	})
	all := len(faults) * (len(pathSteps) + len(patchSteps) + len(mapSteps))
	t.Logf("not covered: %v", uncovered(cells))
	fmt.Printf("matrix: cells %d, held %d, red %d, not covered %d\n", all, len(result.passed), len(result.failed), all-len(cells))
}

// uncovered lists, by fault, the steps that no cell covers.
func uncovered(cells []cell) []string {
	covered := make(map[string]bool)
	for _, c := range cells {
		covered[c.fault+"/"+c.step] = true
	}
	var rows []string
	for _, fault := range faults {
		var steps []string
		for _, step := range slices.Concat(pathSteps, patchSteps, mapSteps) {
			if !covered[fault+"/"+step] {
				steps = append(steps, step)
			}
		}
		if len(steps) > 0 {
			rows = append(rows, fmt.Sprintf("%s: %v", fault, steps))
		}
	}
	return rows
}
