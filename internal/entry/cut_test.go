package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/entry"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// threeDataCentres returns a bench with three data centres, each with one entry and
// one model endpoint.
func threeDataCentres() bench.Spec {
	engine := stand.DefaultEngineSpec()
	engine.ColdCapacity = engine.Capacity
	spec := bench.Spec{Region: "r", Teams: []string{"a"}}
	service := bench.Service{Name: "asistent", Kind: config.KindModel, Repeatable: true}
	for i := 1; i <= 3; i++ {
		dataCentre := fmt.Sprint("dc-", i)
		spec.DataCentres = append(spec.DataCentres, dataCentre)
		spec.Entries = append(spec.Entries, bench.EntrySpec{Name: fmt.Sprint("entry-", i), DataCentre: dataCentre})
		service.Replicas = append(service.Replicas, bench.Replica{
			Name: fmt.Sprint("asistent-", i), DataCentre: dataCentre, Engine: engine, Warm: true,
		})
	}
	spec.Services = []bench.Service{service}
	return spec
}

func statusOf(b *bench.Bench, name string) entry.Status {
	return b.Entry(name).Status().(entry.Status)
}

// startThree starts the bench and waits until all entries are voters.
func startThree(t *testing.T) *bench.Bench {
	t.Helper()
	b := startBench(t, threeDataCentres())
	require.Eventually(t, func() bool { return len(statusOf(b, "entry-1").Voters) == 3 }, 15*time.Second, 10*time.Millisecond)
	return b
}

// partition separates the named entries from the key-value store and from the other
// entries. They can still reach each other and the endpoints.
func partition(b *bench.Bench, names ...string) {
	all := []string{"entry-1", "entry-2", "entry-3"}
	isolated := make(map[string]bool)
	for _, name := range names {
		isolated[name] = true
	}
	for _, name := range all {
		var blocked []string
		for _, other := range all {
			if isolated[name] != isolated[other] {
				blocked = append(blocked, b.Entry(other).PeerAddress())
			}
		}
		b.Entry(name).Dialer().Block(blocked...)
	}
	b.KVServer().SetFaults(fakes.StoreFaults{Down: true, Only: names})
}

func heal(b *bench.Bench) {
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		b.Entry(name).Dialer().Block()
	}
	b.KVServer().SetFaults(fakes.StoreFaults{})
}

func ask(t *testing.T, b *bench.Bench, name string, n int) bench.Response {
	t.Helper()
	answer, err := b.Call(context.Background(), b.Entry(name).Address(), "a", http.MethodPost, "/v1/chat/completions",
		chatOf(fmt.Sprintf("question %d", n), 2), nil)
	require.NoError(t, err)
	return answer
}

// TestEntryThatIsCutOffStops accepts a version while one entry can reach nothing but
// the endpoints. That entry must stop serving as soon as the version is accepted.
func TestEntryThatIsCutOffStops(t *testing.T) {
	b := startThree(t)
	partition(b, "entry-3")
	submission, err := b.SubmitPatch(context.Background(), "entry-1", 1, bench.DataCentreOutPatch("r", "dc-3", true))
	require.NoError(t, err)
	require.Equal(t, entry.ResultAccepted, submission.Result, submission)
	before := b.Engine("asistent-3").Counts().Admitted
	for n := range 10 {
		answer := ask(t, b, "entry-3", n)
		require.Equal(t, http.StatusServiceUnavailable, answer.Status, "it must not serve once the version is accepted")
		require.Equal(t, "not_run", answer.Header.Get("Lentilstand-Outcome"))
		require.Equal(t, http.StatusOK, ask(t, b, "entry-1", n).Status, "the other entries must continue to serve")
	}
	require.Equal(t, before, b.Engine("asistent-3").Counts().Admitted)
	heal(b)
	require.Eventually(t, func() bool {
		status := statusOf(b, "entry-3")
		return status.Version == submission.Version && status.ServeState == "fresh"
	}, 20*time.Second, 50*time.Millisecond, "it must catch up")
}

// TestMajorityWithoutTheServiceGoesOn separates two of three entries from the
// key-value store, as a loss of data centres or a region does. The two must continue
// to serve, and no version may be accepted without them.
func TestMajorityWithoutTheServiceGoesOn(t *testing.T) {
	b := startThree(t)
	partition(b, "entry-2", "entry-3")
	time.Sleep(3 * time.Second)
	for n, name := range []string{"entry-2", "entry-3"} {
		require.Equal(t, "quorum", statusOf(b, name).ServeState)
		require.Equal(t, http.StatusOK, ask(t, b, name, n).Status)
	}
	submission, err := b.SubmitPatch(context.Background(), "entry-1", 1, bench.DataCentreOutPatch("r", "dc-3", true))
	require.NoError(t, err)
	require.Equal(t, entry.ResultRejected, submission.Result, submission)
	require.Contains(t, fmt.Sprint(submission.Findings), "no acknowledgement from [entry-2/")
	heal(b)
	require.Eventually(t, func() bool {
		for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
			if status := statusOf(b, name); status.Version != 1 || status.Pending != 0 || status.ServeState != "fresh" {
				return false
			}
		}
		return true
	}, 20*time.Second, 50*time.Millisecond, "a rejected version must not be in force anywhere")
}
