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

// patchFaultInjectors inject the faults of a patch. They return the results that the
// patch may have.
var patchFaultInjectors = map[string]func(env *testEnv) []string{
	"process killed": func(env *testEnv) []string {
		env.runAfter(0, func() {
			env.b.Entry("entry-3").Close()
			env.b.RemoveEntry("entry-3")
		})
		return []string{entry.ResultAccepted}
	},
	"connection cut": func(env *testEnv) []string {
		env.setProxyFaults(bench.Disconnect)
		return []string{entry.ResultAccepted}
	},
	"connection silent both ways": func(env *testEnv) []string {
		env.setProxyFaults(bench.Blackhole)
		return []string{entry.ResultAccepted}
	},
	"key-value service down": func(env *testEnv) []string {
		env.injectStoreFault(fakes.StoreFaults{Down: true})
		return []string{entry.ResultAccepted, entry.ResultRejected, entry.ResultUnknown}
	},
	"key-value service slow": func(env *testEnv) []string {
		env.injectStoreFault(fakes.StoreFaults{SlowMS: 700})
		return []string{entry.ResultAccepted, entry.ResultRejected}
	},
	"key-value answer lost": func(env *testEnv) []string {
		env.injectStoreFault(fakes.StoreFaults{DropResponses: true})
		return []string{entry.ResultAccepted, entry.ResultRejected, entry.ResultUnknown}
	},
	"endpoint cold again": func(env *testEnv) []string {
		faultInjectors["endpoint cold again"](env)
		return []string{entry.ResultAccepted}
	},
	"back end slow": func(env *testEnv) []string {
		faultInjectors["back end slow"](env)
		return []string{entry.ResultAccepted}
	},
	"operators racing": nil,
}

// onPatchStep calls fault when a patch reaches the step.
func (env *testEnv) onPatchStep(step string, fault func()) {
	switch step {
	case "stage":
		env.onWrite("config/record/", 1, fault)
	case "promise":
		env.onWrite("live/pending", 1, fault)
	case "accept":
		env.onWrite("live/head", 1, fault)
	case "announce":
		env.onWrite("live/head", 1, func() { env.runAfter(20*time.Millisecond, fault) })
	case "apply":
		env.onWrite("live/head", 1, func() { env.runAfter(300*time.Millisecond, fault) })
	}
}

func patchCells() []cell {
	var cells []cell
	for _, fault := range faults {
		inject, ok := patchFaultInjectors[fault]
		if !ok {
			continue
		}
		for _, step := range patchSteps {
			run := func(t *testing.T) { runPatchCell(t, step, inject) }
			if fault == "operators racing" {
				run = func(t *testing.T) { runRace(t, step) }
			}
			cells = append(cells, cell{fault: fault, step: step, run: run})
		}
	}
	return cells
}

// runPatchCell submits a patch that takes a data centre out, injects the fault at the
// step, and checks that the reported result is correct and that all entries apply it.
func runPatchCell(t *testing.T, step string, inject func(env *testEnv) []string) {
	env := newTestEnv(t)
	env.awaitVoters(t)
	allowed := make(chan []string, 1)
	env.onPatchStep(step, func() { allowed <- inject(env) })
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	submission, err := env.b.SubmitPatch(ctx, "entry-1", 1, bench.DataCentreOutPatch("r", "dc-1", true))
	require.NoError(t, err)
	acceptedAt := time.Now()
	env.b.KVServer().OnWrite(nil)
	select {
	case results := <-allowed:
		require.Contains(t, results, submission.Result, submission)
	case <-time.After(time.Second):
		t.Fatal("the step was not reached")
	}
	env.pendingFaults.Wait()
	if submission.Result == entry.ResultAccepted {
		env.checkDataCentreOut(t, acceptedAt)
	}
	env.checkAgreement(t, submission)
}

// awaitVoters waits until all entries are voters, so that no change of the voter set
// is in progress.
func (env *testEnv) awaitVoters(t *testing.T) {
	require.Eventually(t, func() bool {
		for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
			if len(env.b.Entry(name).Status().(entry.Status).Voters) != 3 {
				return false
			}
		}
		return true
	}, 15*time.Second, 20*time.Millisecond)
}

// runningEntries returns the names of the entries that are running.
func (env *testEnv) runningEntries() []string {
	var names []string
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		if env.b.Entry(name) != nil {
			names = append(names, name)
		}
	}
	return names
}

// checkDataCentreOut checks that the data centre gets no new work from 3 s after the
// acceptance of the patch.
func (env *testEnv) checkDataCentreOut(t require.TestingT, acceptedAt time.Time) {
	time.Sleep(time.Until(acceptedAt.Add(3 * time.Second)))
	before := env.b.Engine("lm-1").Counts().Admitted
	for n := range 6 {
		for _, name := range env.runningEntries() {
			// The contents differ, since equal ones are routed to the endpoint that has
			// them cached.
			content := fmt.Sprintf("question %d at %s", n, name)
			checkChat(t, content, env.chat(name, content))
		}
	}
	require.Equal(t, before, env.b.Engine("lm-1").Counts().Admitted, "a data centre that is out got new work")
}

// checkAgreement checks that all entries converge on one version, which is the
// submitted one if the patch was accepted.
func (env *testEnv) checkAgreement(t *testing.T, submission entry.PatchResult) {
	t.Helper()
	var hashes []string
	require.Eventually(t, func() bool {
		hashes = nil
		for _, name := range env.runningEntries() {
			status := env.b.Entry(name).Status().(entry.Status)
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
	}, 30*time.Second, 50*time.Millisecond, "entries must converge on one version")
	switch submission.Result {
	case entry.ResultAccepted:
		require.Equal(t, submission.Hash, hashes[0], "an accepted version must be in force")
	case entry.ResultRejected:
		status := env.b.Entry("entry-1").Status().(entry.Status)
		require.EqualValues(t, 1, status.Version, "a rejected version must not be in force")
	}
}

// runRace submits a conflicting patch at another entry when the first patch reaches
// the step, and checks that exactly one of them is accepted.
func runRace(t *testing.T, step string) {
	env := newTestEnv(t)
	env.awaitVoters(t)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	second := make(chan entry.PatchResult, 1)
	env.onPatchStep(step, func() {
		env.runAfter(0, func() {
			submission, err := env.b.SubmitPatch(ctx, "entry-2", 1, bench.DataCentreOutPatch("r", "dc-2", true))
			if err != nil {
				t.Error(err)
			}
			second <- submission
		})
	})
	first, err := env.b.SubmitPatch(ctx, "entry-1", 1, bench.DataCentreOutPatch("r", "dc-1", true))
	require.NoError(t, err)
	other := <-second
	results := []string{first.Result, other.Result}
	accepted := strings.Count(strings.Join(results, " "), entry.ResultAccepted)
	require.Equal(t, 1, accepted, "%+v %+v", first, other)
	winner := first
	if other.Result == entry.ResultAccepted {
		winner = other
	}
	env.checkAgreement(t, winner)
}
