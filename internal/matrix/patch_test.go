package matrix

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/entry"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// patchCauses are the faults of a patch's path. They return what the result of
// the patch may be.
var patchCauses = map[string]func(w *world) []string{
	"process killed": func(w *world) []string {
		w.later(0, func() {
			w.b.Entry("entry-3").Close()
			w.b.RemoveEntry("entry-3")
		})
		return []string{entry.ResultAccepted}
	},
	"connection cut": func(w *world) []string {
		w.eachProxy(bench.Disconnect)
		return []string{entry.ResultAccepted}
	},
	"connection silent both ways": func(w *world) []string {
		w.eachProxy(bench.Blackhole)
		return []string{entry.ResultAccepted}
	},
	"key-value service down": func(w *world) []string {
		w.kvFault(fakes.StoreFaults{Down: true})
		return []string{entry.ResultAccepted, entry.ResultRejected, entry.ResultUnknown}
	},
	"key-value service slow": func(w *world) []string {
		w.kvFault(fakes.StoreFaults{SlowMS: 700})
		return []string{entry.ResultAccepted, entry.ResultRejected}
	},
	"key-value answer lost": func(w *world) []string {
		w.kvFault(fakes.StoreFaults{DropResponses: true})
		return []string{entry.ResultAccepted, entry.ResultRejected, entry.ResultUnknown}
	},
	"endpoint cold again": func(w *world) []string {
		causes["endpoint cold again"](w)
		return []string{entry.ResultAccepted}
	},
	"back end slow": func(w *world) []string {
		causes["back end slow"](w)
		return []string{entry.ResultAccepted}
	},
	"operators racing": nil,
}

// atPatch arranges that fault is caused when a patch reaches the step.
func (w *world) atPatch(step string, fault func()) {
	switch step {
	case "stage":
		w.onWrite("config/record/", 1, fault)
	case "promise":
		w.onWrite("live/pending", 1, fault)
	case "accept":
		w.onWrite("live/head", 1, fault)
	case "announce":
		w.onWrite("live/head", 1, func() { w.later(20*time.Millisecond, fault) })
	case "apply":
		w.onWrite("live/head", 1, func() { w.later(300*time.Millisecond, fault) })
	}
}

func patchCells() []cell {
	var cells []cell
	for _, fault := range faults {
		cause, ok := patchCauses[fault]
		if !ok {
			continue
		}
		for _, step := range patchSteps {
			run := func(t *testing.T) { runPatch(t, step, cause) }
			if fault == "operators racing" {
				run = func(t *testing.T) { runRace(t, step) }
			}
			cells = append(cells, cell{fault: fault, step: step, run: run})
		}
	}
	return cells
}

// runPatch takes a data centre out, causes the fault at the step, and checks
// that the answer was true and that the outcome is in force everywhere.
func runPatch(t *testing.T, step string, cause func(w *world) []string) {
	w := newWorld(t)
	w.settleVoters(t)
	allowed := make(chan []string, 1)
	w.atPatch(step, func() { allowed <- cause(w) })
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	submission, err := w.b.SubmitPatch(ctx, "entry-1", 1, bench.DataCentreOutPatch("r", "dc-1", true))
	require.NoError(t, err)
	acceptedAt := time.Now()
	w.b.KVServer().OnWrite(nil)
	select {
	case results := <-allowed:
		require.Contains(t, results, submission.Result, submission)
	case <-time.After(time.Second):
		t.Fatal("the step was not reached")
	}
	w.faults.Wait()
	if submission.Result == entry.ResultAccepted {
		w.checkOut(t, acceptedAt)
	}
	w.checkAgreement(t, submission)
}

// settleVoters waits until all entries have a vote, so that no change of voters
// is under way.
func (w *world) settleVoters(t *testing.T) {
	require.Eventually(t, func() bool {
		for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
			if len(w.b.Entry(name).Status().(entry.Status).Voters) != 3 {
				return false
			}
		}
		return true
	}, 15*time.Second, 20*time.Millisecond)
}

// entriesLeft returns the names of the entries that run.
func (w *world) entriesLeft() []string {
	var names []string
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		if w.b.Entry(name) != nil {
			names = append(names, name)
		}
	}
	return names
}

// checkOut checks that no new work reaches the data centre 3 s after the
// acceptance.
func (w *world) checkOut(t require.TestingT, acceptedAt time.Time) {
	time.Sleep(time.Until(acceptedAt.Add(3 * time.Second)))
	before := w.b.Engine("lm-1").Counts().Admitted
	for n := range 6 {
		for _, name := range w.entriesLeft() {
			// Different questions, since equal ones go where their cache is.
			content := fmt.Sprintf("question %d at %s", n, name)
			checkChat(t, content, w.chat(name, content))
		}
	}
	require.Equal(t, before, w.b.Engine("lm-1").Counts().Admitted, "new work in a data centre that is out")
}

// checkAgreement checks that all entries come to obey one version, the one that
// the answer named if it was accepted.
func (w *world) checkAgreement(t *testing.T, submission entry.PatchResult) {
	t.Helper()
	var hashes []string
	require.Eventually(t, func() bool {
		hashes = nil
		for _, name := range w.entriesLeft() {
			status := w.b.Entry(name).Status().(entry.Status)
			if status.Pending != 0 || (status.ServeState != "fresh" && status.ServeState != "quorum") {
				return false
			}
			hashes = append(hashes, status.Hash)
		}
		for _, hash := range hashes {
			if hash != hashes[0] {
				return false
			}
		}
		return true
	}, 30*time.Second, 50*time.Millisecond, "agreement")
	switch submission.Result {
	case entry.ResultAccepted:
		require.Equal(t, submission.Hash, hashes[0], "an accepted version is in force")
	case entry.ResultRejected:
		status := w.b.Entry("entry-1").Status().(entry.Status)
		require.EqualValues(t, 1, status.Version, "a rejected version is not in force")
	}
}

// runRace lets a second operator submit a conflicting patch at another entry
// when the first one reaches the step.
func runRace(t *testing.T, step string) {
	w := newWorld(t)
	w.settleVoters(t)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	second := make(chan entry.PatchResult, 1)
	w.atPatch(step, func() {
		w.later(0, func() {
			submission, err := w.b.SubmitPatch(ctx, "entry-2", 1, bench.DataCentreOutPatch("r", "dc-2", true))
			if err != nil {
				t.Error(err)
			}
			second <- submission
		})
	})
	first, err := w.b.SubmitPatch(ctx, "entry-1", 1, bench.DataCentreOutPatch("r", "dc-1", true))
	require.NoError(t, err)
	other := <-second
	results := []string{first.Result, other.Result}
	accepted := strings.Count(strings.Join(results, " "), entry.ResultAccepted)
	require.Equal(t, 1, accepted, "%+v %+v", first, other)
	winner := first
	if other.Result == entry.ResultAccepted {
		winner = other
	}
	w.checkAgreement(t, winner)
}
