package memory_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lentilstand/lentilstand/internal/memory"
)

const (
	base = 32 << 10
	// smallMemoryMB gives an account of 10 MB.
	smallMemoryMB = 64
)

// TestEvictionOrder guards against an account that closes working connections while others make
// no progress, or small ones while others hold more.
func TestEvictionOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := memory.New(smallMemoryMB, 1000)
		evicted := make(map[string]bool)
		open := func(name string, bytes int64, state memory.State) *memory.Holder {
			h := a.Open(base, func() { evicted[name] = true })
			require.NotNil(t, h)
			require.True(t, h.Grow(bytes))
			h.SetState(state)
			return h
		}
		open("stalled", a.Limit()/8, memory.Receiving)
		open("stalled reader", a.Limit()/10, memory.Writing)
		open("handled", a.Limit()/8, memory.Handling)
		time.Sleep(memory.StallTimeout)
		open("large", a.Limit()/4, memory.Receiving)
		open("idle", 0, memory.Idle)
		small := open("small", a.Limit()/4, memory.Receiving)
		require.Empty(t, evicted)
		var order []string
		for small.Grow(base) {
			for _, name := range []string{"stalled", "stalled reader", "handled", "large", "idle"} {
				if evicted[name] && !slices.Contains(order, name) {
					order = append(order, name)
				}
			}
		}
		require.Equal(t, []string{"stalled", "stalled reader", "idle"}, order)
		require.Len(t, evicted, 3, "the others hold less or are handled")
	})
}

// TestLargestGoesFirst guards against many small requests that are refused because a few large
// ones are in progress.
func TestLargestGoesFirst(t *testing.T) {
	a := memory.New(smallMemoryMB, 1000)
	var large, other atomic.Bool
	first := a.Open(base, func() { large.Store(true) })
	require.True(t, first.Grow(a.Limit()/2))
	second := a.Open(base, func() { other.Store(true) })
	require.True(t, second.Grow(a.Limit()/4))
	third := a.Open(base, func() {})
	require.True(t, third.Grow(a.Limit()/4))
	require.True(t, large.Load())
	require.False(t, other.Load())
	require.False(t, first.Grow(1), "an evicted holder gets nothing")
}

// TestNewConnectionsGetIn guards against a crowd of silent connections that keeps others out.
func TestNewConnectionsGetIn(t *testing.T) {
	a := memory.New(smallMemoryMB, 128)
	var open []*memory.Holder
	for range 3 * a.Conns() {
		h := a.Open(base, func() {})
		require.NotNil(t, h)
		open = append(open, h)
		for _, one := range open[:len(open)-1] {
			if one.IsEvicted() {
				one.Close()
			}
		}
		_, conns := a.Used()
		require.LessOrEqual(t, conns, a.Conns())
	}
}

// TestBodiesOfStalledClientsMakeRoom guards against clients that announce large bodies without
// sending them, so that all others are refused.
func TestBodiesOfStalledClientsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := memory.New(smallMemoryMB, 1000)
		first, second := a.Open(base, func() {}), a.Open(base, func() {})
		const body = 4 << 20
		require.True(t, first.Reserve(body))
		require.False(t, second.Reserve(body))
		time.Sleep(memory.StallTimeout)
		require.True(t, second.Reserve(body))
		require.True(t, first.IsEvicted())
		require.False(t, second.IsEvicted())
	})
}

// TestAccountIsBalanced guards against sums that drift, after which an account would refuse
// everything or nothing.
func TestAccountIsBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := memory.New(smallMemoryMB, 200)
		var open []*memory.Holder
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				if h := a.Open(base, func() {}); h != nil {
					open = append(open, h)
				}
				continue
			}
			at := rapid.IntRange(0, len(open)-1).Draw(t, "holder")
			h := open[at]
			bytes := rapid.Int64Range(0, a.Limit()/4).Draw(t, "bytes")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				h.Grow(bytes)
			case 1:
				h.Reserve(bytes)
			case 2:
				h.SetState(memory.State(rapid.IntRange(0, 4).Draw(t, "state")))
			case 3:
				h.Release()
			case 4:
				if h.Grow(bytes) {
					h.Shrink(bytes)
				}
			default:
				h.Close()
				h.Close()
				open = append(open[:at:at], open[at+1:]...)
			}
			used, _ := a.Used()
			require.LessOrEqual(t, used, a.Limit()*5/4)
		}
		for _, h := range open {
			h.Close()
		}
		used, conns := a.Used()
		require.Zero(t, used)
		require.Zero(t, conns)
	})
}
