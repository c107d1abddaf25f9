package prefs_test

import (
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

func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"name": "entry-1", "data_centre": "gmunden", "listen": "127.0.0.1:1"}`))
	f.Add([]byte(`{"stop_bound_s": 1e99, // comment
	}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = prefs.ParseEntry("f", text)
		_, _ = prefs.ParseAgent("f", text)
	})
}
