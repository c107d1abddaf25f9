package main

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/audit"
	"github.com/lentilstand/lentilstand/pkg/burn"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/retry"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// compareGolden compares got with the golden file, or rewrites the file with
// -update.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), "run: go test ./cmd/lentilstand -update")
}

func TestBurnReport(t *testing.T) {
	cfg, err := config.Parse("f", []byte(`{"services": [
		{"name": "lm", "kind": "model", "objectives": {"first_token_ms": 100, "token_gap_ms": 50, "good_percent": 90}},
		{"name": "quiet", "kind": "model"}]}`))
	require.NoError(t, err)
	now := time.Unix(100_000, 0)
	var records []audit.Record
	add := func(age time.Duration, team, dataCentre string, outcome retry.Outcome, code string, first, gap time.Duration) {
		record := audit.NewRecord("r", now.Add(-age), team, "lm", "lm", dataCentre, "")
		records = append(records, record.WithOutcome(nil, outcome, code).WithTiming(first, gap))
	}
	for range 16 {
		add(time.Minute, "rowers", "gmunden", retry.OutcomeRun, "", 50*time.Millisecond, 10*time.Millisecond)
	}
	add(time.Minute, "rowers", "ebensee", retry.OutcomeNotRun, "queue_full", 0, 0)
	add(time.Minute, "coaches", "ebensee", retry.OutcomeUnknown, "endpoint_failed", 0, 0)
	add(2*time.Hour, "rowers", "gmunden", retry.OutcomeRun, "", 200*time.Millisecond, 0)
	add(2*time.Hour, "rowers", "gmunden", retry.OutcomeRun, "", 50*time.Millisecond, 60*time.Millisecond)
	add(time.Minute, "rowers", "gmunden", retry.OutcomeRun, "caller_gone", 0, 0)
	add(48*time.Hour, "rowers", "gmunden", retry.OutcomeNotRun, "queue_full", 0, 0)
	rows := burn.Compute(cfg, records, now)

	var table, lines bytes.Buffer
	require.NoError(t, writeBurnTable(&table, rows))
	compareGolden(t, "burn.txt", table.Bytes())
	require.NoError(t, writeBurnJSON(&lines, rows))
	compareGolden(t, "burn.jsonl", lines.Bytes())
	page := filepath.Join(t.TempDir(), "burn.html")
	require.NoError(t, writeBurnPage(page, rows))
	html, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(html), "<svg")
	require.NotContains(t, string(html), "src=", "the page must not reference external resources")
}
