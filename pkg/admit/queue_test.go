package admit_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/admit"
)

// limits are a queue's limits for tests.
type limits struct {
	requests int
	bytes    int64
	wait     time.Duration
}

func (l limits) MaxRequests() int       { return l.requests }
func (l limits) MaxBytes() int64        { return l.bytes }
func (l limits) MaxWait() time.Duration { return l.wait }

var wide = limits{requests: 1000, bytes: 1 << 20, wait: 10 * time.Second}

// fill lets count requests of a team wait, one after the other, and sends the
// team's name or the error to passed.
func fill(t *testing.T, queue *admit.Queue, ticket admit.Request, name string, count int, passed chan<- string) {
	t.Helper()
	for range count {
		before, _ := queue.Length()
		refused := make(chan struct{})
		go func() {
			err := queue.Acquire(context.Background(), ticket)
			if err != nil {
				passed <- name + ": " + err.Error()
				close(refused)
				return
			}
			passed <- name
		}()
		require.Eventually(t, func() bool {
			select {
			case <-refused:
				return true
			default:
			}
			now, _ := queue.Length()
			return now > before
		}, time.Second, 100*time.Microsecond)
	}
}

func TestQueueSharesTurnsByWeight(t *testing.T) {
	queue := admit.NewQueue(wide, 1)
	require.NoError(t, queue.Acquire(context.Background(), admit.NewRequest("first", 1, 0, 0)))
	passed := make(chan string, 200)
	fill(t, queue, admit.NewRequest("large", 1, 0, 0), "large", 60, passed)
	fill(t, queue, admit.NewRequest("heavy", 3, 0, 0), "heavy", 60, passed)
	fill(t, queue, admit.NewRequest("small", 1, 0, 0), "small", 2, passed)
	counts := make(map[string]int)
	for range 20 {
		queue.Release()
		counts[<-passed]++
	}
	require.Equal(t, 2, counts["small"], "a small team isn't starved")
	require.InDelta(t, 13, counts["heavy"], 2)
	require.InDelta(t, 5, counts["large"], 2)
}

func TestQueuePriorityWithinATeam(t *testing.T) {
	queue := admit.NewQueue(wide, 1)
	require.NoError(t, queue.Acquire(context.Background(), admit.NewRequest("a", 1, 0, 0)))
	passed := make(chan string, 10)
	fill(t, queue, admit.NewRequest("a", 1, 0, 0), "low", 2, passed)
	fill(t, queue, admit.NewRequest("a", 1, 9, 0), "high", 1, passed)
	queue.Release()
	require.Equal(t, "high", <-passed)
}

func TestQueueBounds(t *testing.T) {
	testCases := []struct {
		name   string
		limits limits
		ticket admit.Request
		want   error
	}{
		{"too many", limits{requests: 0, bytes: 10, wait: time.Second}, admit.NewRequest("a", 1, 0, 1), admit.ErrQueueFull},
		{"too large", limits{requests: 9, bytes: 10, wait: time.Second}, admit.NewRequest("a", 1, 0, 11), admit.ErrQueueFull},
		{"too long", limits{requests: 9, bytes: 10, wait: time.Millisecond}, admit.NewRequest("a", 1, 0, 1), admit.ErrQueueTimeout},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			queue := admit.NewQueue(tc.limits, 1)
			require.NoError(t, queue.Acquire(context.Background(), tc.ticket))
			require.ErrorIs(t, queue.Acquire(context.Background(), tc.ticket), tc.want)
			requests, bytes := queue.Length()
			require.Zero(t, requests)
			require.Zero(t, bytes)
			require.GreaterOrEqual(t, queue.RetryAfter(), time.Second)
		})
	}
}

func TestFullQueueMakesRoomForSmallTeams(t *testing.T) {
	queue := admit.NewQueue(limits{requests: 4, bytes: 100, wait: 10 * time.Second}, 1)
	require.NoError(t, queue.Acquire(context.Background(), admit.NewRequest("first", 1, 0, 0)))
	passed := make(chan string, 10)
	fill(t, queue, admit.NewRequest("large", 1, 0, 1), "large", 4, passed)
	require.ErrorIs(t, queue.Acquire(context.Background(), admit.NewRequest("large", 1, 0, 1)), admit.ErrQueueFull)
	go func() {
		err := queue.Acquire(context.Background(), admit.NewRequest("small", 1, 0, 1))
		passed <- fmt.Sprint("small ", err)
	}()
	require.Equal(t, "large: "+admit.ErrQueueFull.Error(), <-passed, "the newest of the large team gives way")
	queue.Release()
	queue.Release()
	first, second := <-passed, <-passed
	require.Contains(t, []string{first, second}, "small <nil>")
}

func TestQueueCancel(t *testing.T) {
	queue := admit.NewQueue(wide, 1)
	require.NoError(t, queue.Acquire(context.Background(), admit.NewRequest("a", 1, 0, 0)))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.True(t, errors.Is(queue.Acquire(ctx, admit.NewRequest("a", 1, 0, 5)), context.Canceled))
	_, bytes := queue.Length()
	require.Zero(t, bytes)
	queue.Release()
	require.NoError(t, queue.Acquire(context.Background(), admit.NewRequest("a", 1, 0, 0)))
}

func TestRamp(t *testing.T) {
	const bound = 100 * time.Millisecond
	ramp := admit.NewSlowStart(8, bound, admit.WithColdStart(2, 3))
	ramp.ObserveEpoch("a")
	require.Equal(t, 2, ramp.Capacity())
	for range 2 {
		require.False(t, ramp.RecordCompletion(10*time.Millisecond))
	}
	require.Equal(t, 2, ramp.Capacity(), "cold until three completions")
	for range 4 {
		ramp.RecordCompletion(10 * time.Millisecond)
	}
	require.Equal(t, 6, ramp.Capacity())
	ramp.RecordCompletion(bound + 1)
	require.Equal(t, 6, ramp.Capacity(), "a late completion opens nothing")
	ramp.RecordFailure()
	require.Equal(t, 3, ramp.Capacity())
	require.True(t, ramp.RecordCompletion(bound+200*time.Millisecond), "a second jump in a row")
	require.Equal(t, 2, ramp.Capacity())
	for range 20 {
		ramp.RecordCompletion(10 * time.Millisecond)
	}
	require.Equal(t, 8, ramp.Capacity())
	require.True(t, ramp.ObserveEpoch("b"))
	require.Equal(t, 2, ramp.Capacity(), "a new epoch closes it at once")
}

func BenchmarkQueue(b *testing.B) {
	queue := admit.NewQueue(wide, 1<<20)
	ticket := admit.NewRequest("a", 1, 0, 0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = queue.Acquire(context.Background(), ticket)
			queue.Release()
		}
	})
}
