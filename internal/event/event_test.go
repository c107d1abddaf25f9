package event_test

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/event"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const cataloguePage = "../../docs/EVENTS.md"

func TestCatalogueIsDocumented(t *testing.T) {
	if *update {
		require.NoError(t, os.WriteFile(cataloguePage, []byte(event.Catalogue()), 0o644))
	}
	page, err := os.ReadFile(cataloguePage)
	require.NoError(t, err)
	require.Equal(t, event.Catalogue(), string(page), "run: go test ./internal/event -update")
}
