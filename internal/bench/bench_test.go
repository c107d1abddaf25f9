package bench_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/entry"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/config"
)

func smallSpec() bench.Spec {
	engine := stand.DefaultEngineSpec()
	plain := stand.PlainSpec{Capacity: 8, ExecutionLog: &stand.ExecutionLog{}}
	return bench.Spec{
		Region:      "at-upper",
		DataCentres: []string{"gmunden", "ebensee", "altmuenster"},
		Teams:       []string{"rowers", "coaches"},
		Entries:     []bench.EntrySpec{{Name: "entry-1", DataCentre: "gmunden"}, {Name: "entry-2", DataCentre: "ebensee"}},
		Services: []bench.Service{
			{Name: "skiff-lm", Kind: config.KindModel, Repeatable: true, Replicas: []bench.Replica{
				{Name: "skiff-1", DataCentre: "gmunden", Engine: engine},
				{Name: "skiff-2", DataCentre: "ebensee", Engine: engine},
			}},
			{Name: "bootshaus", Kind: config.KindPlain, PathPrefix: "/bootshaus", Replicas: []bench.Replica{
				{Name: "boot-1", DataCentre: "gmunden", Plain: plain},
				{Name: "boot-2", DataCentre: "altmuenster", Plain: plain},
			}},
		},
	}
}

func start(t *testing.T, spec bench.Spec) *bench.Bench {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	b, err := bench.Start(ctx, spec)
	require.NoError(t, err)
	t.Cleanup(b.Close)
	return b
}

const chatBody = `{"model": "skiff-lm", "stream": true, "max_tokens": 5, "messages": [{"role": "user", "content": "line-up"}]}`

// TestRequestAndPatchPath sends a streamed chat, an idempotent request through two
// entries, and a patch, through all components.
func TestRequestAndPatchPath(t *testing.T) {
	b := start(t, smallSpec())
	ctx := context.Background()
	address := b.Entry("entry-1").Address()

	answer, err := b.Call(ctx, address, "rowers", http.MethodPost, "/v1/chat/completions", chatBody, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.Status, string(answer.Body))
	require.True(t, strings.HasSuffix(string(answer.Body), "data: [DONE]\n\n"))

	key := http.Header{"Idempotency-Key": {"k-1"}}
	first, err := b.Call(ctx, address, "rowers", http.MethodPost, "/bootshaus/bookings", `{"boat": 7}`, key)
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, first.Status, string(first.Body))
	second, err := b.Call(ctx, b.Entry("entry-2").Address(), "rowers", http.MethodPost, "/bootshaus/bookings", `{"boat": 7}`, key)
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, second.Status)
	require.Equal(t, string(first.Body), string(second.Body))
	require.Equal(t, "true", second.Header.Get("Lentilstand-Replayed"))

	submission, err := b.SubmitPatch(ctx, "entry-1", 1, bench.DataCentreOutPatch("at-upper", "gmunden", true))
	require.NoError(t, err)
	require.Equal(t, entry.ResultAccepted, submission.Result, submission)
	answer, err = b.Call(ctx, b.Entry("entry-2").Address(), "", http.MethodGet, "/v1/entries", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.Status)
	var list struct {
		Entries []struct{ Address string }
	}
	require.NoError(t, json.Unmarshal(answer.Body, &list))
	require.Len(t, list.Entries, 1, string(answer.Body))
}
