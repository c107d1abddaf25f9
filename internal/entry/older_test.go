package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/entry"
	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/stand"
)

// TestOlderHeadIsNotObeyed restores the key-value store to an older state after a
// version was accepted. Entries must keep the newer version.
func TestOlderHeadIsNotObeyed(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	spec := twoEntries(stand.DefaultEngineSpec())
	spec.Logger = zap.New(core)
	spec.DataCentres = append(spec.DataCentres, "manastur")
	b := startBench(t, spec)
	require.Eventually(t, func() bool {
		return len(b.Entry("entry-1").Status().(entry.Status).Voters) == 2
	}, 10*time.Second, 10*time.Millisecond)
	before := b.KVStore().Backup()
	submission, err := b.SubmitPatch(context.Background(), "entry-1", 1, bench.DataCentreOutPatch("r", "manastur", true))
	require.NoError(t, err)
	require.Equal(t, entry.ResultAccepted, submission.Result, submission)
	b.KVStore().Restore(before)
	require.Eventually(t, func() bool {
		return logs.FilterField(zap.Int("event", event.VersionWentBack.Number())).Len() > 0
	}, 5*time.Second, 10*time.Millisecond)
	time.Sleep(3 * time.Second)
	for _, name := range []string{"entry-1", "entry-2"} {
		status := b.Entry(name).Status().(entry.Status)
		require.Equal(t, submission.Version, status.Version, "no entry may revert to the older version")
		require.Equal(t, "quorum", status.ServeState, "the entries must serve on the acknowledgement of their peers")
		answer, err := b.Call(context.Background(), b.Entry(name).Address(), "a", http.MethodPost, "/v1/chat/completions", chatOf("x", 2), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.Status)
	}
}
