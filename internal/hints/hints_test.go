package hints_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lentilstand/lentilstand/internal/hints"
)

func TestFilterHasNoFalseNegatives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOf(rapid.Uint64()).Draw(t, "prefixes")
		filter := hints.New(prefixes)
		for _, prefix := range prefixes {
			require.True(t, filter.MayContain(prefix))
		}
	})
	require.False(t, hints.New(nil).MayContain(1))
	require.False(t, hints.Filter("short").MayContain(1))
}

func TestFilterHasFewFalsePositives(t *testing.T) {
	var prefixes []uint64
	for n := range 64 {
		prefixes = append(prefixes, hints.HashPrefix(string(rune('a'+n))))
	}
	filter := hints.New(prefixes)
	falsePositives := 0
	for n := range 1000 {
		if filter.MayContain(hints.HashPrefix(string(rune(1000 + n)))) {
			falsePositives++
		}
	}
	require.Less(t, falsePositives, 100)
}
