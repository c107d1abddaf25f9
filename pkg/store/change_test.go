package store_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/store"
)

func TestApply(t *testing.T) {
	pair := func(key string, revision uint64) store.Pair { return store.NewPair(key, []byte(key), revision) }
	before := store.NewSnapshot([]store.Pair{pair("a", 1), pair("b", 5), pair("c", 3)}, 4)
	after := before.Apply([]store.Change{
		store.Removed("a", 6), store.Written(pair("b", 2)), store.Written(pair("d", 7)), store.Written(pair("c", 8)),
	}, 8)
	require.Equal(t, []store.Pair{pair("b", 5), pair("c", 8), pair("d", 7)}, after.Pairs(), "sorted by key; an older change is ignored")
	require.Equal(t, uint64(8), after.Revision())
	require.Len(t, before.Pairs(), 3, "the original snapshot isn't modified")
}
