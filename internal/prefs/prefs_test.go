package prefs_test

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/prefs"
)

func TestLoadExamples(t *testing.T) {
	for _, deployment := range []string{"traunsee", "cluj"} {
		dir := filepath.Join("..", "..", "examples", deployment)
		entry, err := prefs.LoadEntry(filepath.Join(dir, "entry.jsonc"))
		require.NoError(t, err)
		require.NotEmpty(t, entry.DataCentre())
		agent, err := prefs.LoadAgent(filepath.Join(dir, "agent.jsonc"))
		require.NoError(t, err)
		require.Positive(t, agent.Capacity())
		operator, err := prefs.LoadOperator(filepath.Join(dir, "operator.jsonc"))
		require.NoError(t, err)
		require.Len(t, operator.EntryAddresses(), 3)
	}
}

// TestLimitsAreOptional guards against settings that can't be loaded because the platform has no
// value for a limit.
func TestLimitsAreOptional(t *testing.T) {
	const settings = `{%s "name": "a", "data_centre": "b", "ip": "127.0.0.1", "peer_port": 1, "admin_listen": "127.0.0.1:2", "endpoint": "127.0.0.1:3"}`
	testCases := []struct {
		fields                string
		memoryMB, descriptors int
		valid                 bool
	}{
		{"", 0, 0, true},
		{`"memory_mb": null, "max_descriptors": null,`, 0, 0, true},
		{`"memory_mb": 184, "max_descriptors": 4100,`, 184, 4100, true},
		{`"memory_mb": 183.5,`, 183, 0, true},
		{`"memory_mb": 0,`, 0, 0, false},
		{`"max_descriptors": "many",`, 0, 0, false},
	}
	for _, testCase := range testCases {
		rank, err := prefs.ParseRank("f", fmt.Appendf(nil, settings, testCase.fields))
		require.Equal(t, testCase.valid, err == nil, testCase.fields)
		require.Equal(t, testCase.memoryMB, rank.Limits().MemoryMB(), testCase.fields)
		require.Equal(t, testCase.descriptors, rank.Limits().Descriptors(), testCase.fields)
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"name": "entry-1", "data_centre": "gmunden", "listen": "127.0.0.1:1"}`))
	f.Add([]byte(`{"stop_bound_s": 1e99, // comment
	}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = prefs.ParseEntry("f", text)
		_, _ = prefs.ParseAgent("f", text)
	})
}
