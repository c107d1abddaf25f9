package matrix

import (
	"fmt"
	"slices"
	"sync"
	"testing"
)

// The steps of a request's path, of a patch's and of an expert map's.
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

// cell is one covered place of the matrix.
type cell struct {
	fault string
	step  string
	run   func(t *testing.T)
}

// board counts how cells ended.
type board struct {
	mu   sync.Mutex
	held []string
	red  []string
}

func (b *board) note(name string, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if failed {
		b.red = append(b.red, name)
	} else {
		b.held = append(b.held, name)
	}
}

// maxParallel bounds how many cells run at a time, so that a busy machine
// doesn't make the faults.
const maxParallel = 6

func TestMatrix(t *testing.T) {
	var result board
	cells := slices.Concat(pathCells(), patchCells())
	slots := make(chan struct{}, maxParallel)
	t.Run("cells", func(t *testing.T) {
		for _, c := range cells {
			name := c.fault + "/" + c.step
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				defer func() { result.note(name, t.Failed()) }()
				c.run(t)
			})
		}
	})
	all := len(faults) * (len(pathSteps) + len(patchSteps) + len(mapSteps))
	t.Logf("not covered: %v", uncovered(cells))
	fmt.Printf("matrix: cells %d, held %d, red %d, not covered %d\n", all, len(result.held), len(result.red), all-len(cells))
}

// uncovered names the rows with the steps that no cell covers.
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
