package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/stand"
)

// The conversations of the cache test: more than one engine's cache holds, and
// fewer than both do.
const (
	conversations = 40
	rounds        = 4
	cacheEntries  = 30
)

// hits sends each conversation's requests in turn to the addresses that pick
// returns, and returns the share that found their prompt in a cache.
func hits(t *testing.T, pick func(b *bench.Bench, n int) string) float64 {
	t.Helper()
	engine := stand.DefaultEngineSpec()
	engine.ColdCapacity, engine.CacheEntries = engine.Capacity, cacheEntries
	b := startBench(t, twoEntries(engine))
	for round := range rounds {
		for n := range conversations {
			body := chatOf(fmt.Sprintf("conversation %d is about something of its own", n), 1)
			answer, err := b.Call(context.Background(), pick(b, n+round), "a", http.MethodPost, "/v1/chat/completions", body, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, answer.Status)
		}
	}
	found := b.Engine("asistent-1").Counts().CacheHits + b.Engine("asistent-2").Counts().CacheHits
	return float64(found) / (rounds * conversations)
}

// TestConversationsFindTheirCache compares the share of cached prompts through
// two entries with that of engines which are picked at random.
func TestConversationsFindTheirCache(t *testing.T) {
	ours := hits(t, func(b *bench.Bench, n int) string { return b.Entry(fmt.Sprint("entry-", 1+n%2)).Address() })
	random := rand.New(rand.NewPCG(1, 1))
	baseline := hits(t, func(b *bench.Bench, _ int) string {
		return b.EndpointAddress(fmt.Sprint("asistent-", 1+random.IntN(2)))
	})
	t.Logf("cached: %.2f through entries, %.2f at random", ours, baseline)
	require.GreaterOrEqual(t, ours, 0.7, "all rounds but the first find their cache")
	require.Greater(t, ours, baseline)
}

// TestCacheEventsLeadToTheCache fills one engine's cache past the entries, and
// wants the same prompts through an entry to go there, as the engine's events
// say, which come late and with gaps.
func TestCacheEventsLeadToTheCache(t *testing.T) {
	const prompts = 20
	engine := stand.DefaultEngineSpec()
	engine.ColdCapacity = engine.Capacity
	b := startBench(t, twoEntries(engine))
	send := func(address string, n int) {
		body := chatOf(fmt.Sprintf("conversation %d is about something of its own", n), 1)
		answer, err := b.Call(context.Background(), address, "a", http.MethodPost, "/v1/chat/completions", body, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.Status)
	}
	for n := range prompts {
		send(b.EndpointAddress("asistent-2"), n)
	}
	// Events are published late, and agents ask for them every two seconds.
	time.Sleep(3 * time.Second)
	before := b.Engine("asistent-2").Counts().CacheHits
	for n := range prompts {
		send(b.Entry("entry-1").Address(), n)
	}
	found := b.Engine("asistent-2").Counts().CacheHits - before
	t.Logf("%d of %d prompts found their cache", found, prompts)
	require.GreaterOrEqual(t, found, prompts*3/4)
}
