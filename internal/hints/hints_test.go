package hints_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lentilstand/lentilstand/internal/hints"
)

func TestSetHoldsWhatWasPutIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOf(rapid.Uint64()).Draw(t, "prefixes")
		set := hints.New(prefixes)
		for _, prefix := range prefixes {
			require.True(t, set.MayContain(prefix))
		}
	})
	require.False(t, hints.New(nil).MayContain(1))
	require.False(t, hints.Filter("short").MayContain(1))
}

func TestFewFalseHints(t *testing.T) {
	var prefixes []uint64
	for n := range 64 {
		prefixes = append(prefixes, hints.HashPrefix(string(rune('a'+n))))
	}
	set := hints.New(prefixes)
	wrong := 0
	for n := range 1000 {
		if set.MayContain(hints.HashPrefix(string(rune(1000 + n)))) {
			wrong++
		}
	}
	require.Less(t, wrong, 100)
}
