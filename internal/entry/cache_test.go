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

// The number of conversations exceeds the capacity of one engine's cache, but not
// that of both together.
const (
	conversations = 40
	rounds        = 4
	cacheEntries  = 30
)

// cacheHitRatio sends the requests of all conversations to the addresses that pick
// returns, and returns the ratio of requests whose prompt was cached.
func cacheHitRatio(t *testing.T, pick func(b *bench.Bench, n int) string) float64 {
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

// TestConversationsFindTheirCache compares the cache hit ratio of requests through
// two entries with that of requests to randomly chosen engines.
func TestConversationsFindTheirCache(t *testing.T) {
	routed := cacheHitRatio(t, func(b *bench.Bench, n int) string { return b.Entry(fmt.Sprint("entry-", 1+n%2)).Address() })
	random := rand.New(rand.NewPCG(1, 1))
	baseline := cacheHitRatio(t, func(b *bench.Bench, _ int) string {
		return b.EndpointAddress(fmt.Sprint("asistent-", 1+random.IntN(2)))
	})
	t.Logf("cache hit ratio: %.2f through entries, %.2f at random", routed, baseline)
	require.GreaterOrEqual(t, routed, 0.7, "all rounds but the first must hit the cache")
	require.Greater(t, routed, baseline)
}

// TestCacheEventsLeadToTheCache fills one engine's cache without going through an
// entry. The entry must then route the same prompts to that engine, based on the
// engine's cache events, which are delayed and incomplete.
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
	// Events are published with a delay, and agents poll them every two seconds.
	time.Sleep(3 * time.Second)
	before := b.Engine("asistent-2").Counts().CacheHits
	for n := range prompts {
		send(b.Entry("entry-1").Address(), n)
	}
	found := b.Engine("asistent-2").Counts().CacheHits - before
	t.Logf("%d of %d prompts hit the cache", found, prompts)
	require.GreaterOrEqual(t, found, prompts*3/4)
}
