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

// limits implements admit.Limits.
type limits struct {
	requests int
	bytes    int64
	wait     time.Duration
}

func (l limits) MaxRequests() int       { return l.requests }
func (l limits) MaxBytes() int64        { return l.bytes }
func (l limits) MaxWait() time.Duration { return l.wait }

var looseLimits = limits{requests: 1000, bytes: 1 << 20, wait: 10 * time.Second}

// enqueue adds count requests to the queue one after the other, so their order of
// arrival is fixed. For each it sends name to results once it is admitted, or name
// and the error.
func enqueue(t *testing.T, queue *admit.Queue, request admit.Request, name string, count int, results chan<- string) {
	t.Helper()
	for range count {
		before, _ := queue.Length()
		refused := make(chan struct{})
		go func() {
			err := queue.Acquire(context.Background(), request)
			if err != nil {
				results <- name + ": " + err.Error()
				close(refused)
				return
			}
			results <- name
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

func TestQueueSchedulesTeamsByWeight(t *testing.T) {
	queue := admit.NewQueue(looseLimits, 1)
	require.NoError(t, queue.Acquire(context.Background(), admit.NewRequest("first", 1, 0, 0)))
	results := make(chan string, 200)
	enqueue(t, queue, admit.NewRequest("large", 1, 0, 0), "large", 60, results)
	enqueue(t, queue, admit.NewRequest("heavy", 3, 0, 0), "heavy", 60, results)
	enqueue(t, queue, admit.NewRequest("small", 1, 0, 0), "small", 2, results)
	counts := make(map[string]int)
	for range 20 {
		queue.Release()
		counts[<-results]++
	}
	require.Equal(t, 2, counts["small"], "a team with few requests isn't starved")
	require.InDelta(t, 13, counts["heavy"], 2)
	require.InDelta(t, 5, counts["large"], 2)
}

func TestQueuePriorityWithinATeam(t *testing.T) {
	queue := admit.NewQueue(looseLimits, 1)
	require.NoError(t, queue.Acquire(context.Background(), admit.NewRequest("a", 1, 0, 0)))
	results := make(chan string, 10)
	enqueue(t, queue, admit.NewRequest("a", 1, 0, 0), "low", 2, results)
	enqueue(t, queue, admit.NewRequest("a", 1, 9, 0), "high", 1, results)
	queue.Release()
	require.Equal(t, "high", <-results)
}

func TestQueueBounds(t *testing.T) {
	testCases := []struct {
		name    string
		limits  limits
		request admit.Request
		want    error
	}{
		{"too many", limits{requests: 0, bytes: 10, wait: time.Second}, admit.NewRequest("a", 1, 0, 1), admit.ErrQueueFull},
		{"too large", limits{requests: 9, bytes: 10, wait: time.Second}, admit.NewRequest("a", 1, 0, 11), admit.ErrQueueFull},
		{"too long", limits{requests: 9, bytes: 10, wait: time.Millisecond}, admit.NewRequest("a", 1, 0, 1), admit.ErrQueueTimeout},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			queue := admit.NewQueue(tc.limits, 1)
			require.NoError(t, queue.Acquire(context.Background(), tc.request))
			require.ErrorIs(t, queue.Acquire(context.Background(), tc.request), tc.want)
			requests, bytes := queue.Length()
			require.Zero(t, requests)
			require.Zero(t, bytes)
			require.GreaterOrEqual(t, queue.RetryAfter(), time.Second)
		})
	}
}

func TestFullQueueEvictsRequestsOfTheLargestTeam(t *testing.T) {
	queue := admit.NewQueue(limits{requests: 4, bytes: 100, wait: 10 * time.Second}, 1)
	require.NoError(t, queue.Acquire(context.Background(), admit.NewRequest("first", 1, 0, 0)))
	results := make(chan string, 10)
	enqueue(t, queue, admit.NewRequest("large", 1, 0, 1), "large", 4, results)
	require.ErrorIs(t, queue.Acquire(context.Background(), admit.NewRequest("large", 1, 0, 1)), admit.ErrQueueFull)
	go func() {
		err := queue.Acquire(context.Background(), admit.NewRequest("small", 1, 0, 1))
		results <- fmt.Sprint("small ", err)
	}()
	require.Equal(t, "large: "+admit.ErrQueueFull.Error(), <-results, "the newest request of the large team is evicted")
	queue.Release()
	queue.Release()
	first, second := <-results, <-results
	require.Contains(t, []string{first, second}, "small <nil>")
}

func TestQueueCancel(t *testing.T) {
	queue := admit.NewQueue(looseLimits, 1)
	require.NoError(t, queue.Acquire(context.Background(), admit.NewRequest("a", 1, 0, 0)))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.True(t, errors.Is(queue.Acquire(ctx, admit.NewRequest("a", 1, 0, 5)), context.Canceled))
	_, bytes := queue.Length()
	require.Zero(t, bytes)
	queue.Release()
	require.NoError(t, queue.Acquire(context.Background(), admit.NewRequest("a", 1, 0, 0)))
}

func TestSlowStart(t *testing.T) {
	const bound = 100 * time.Millisecond
	slowStart := admit.NewSlowStart(8, bound, admit.WithColdStart(2, 3))
	slowStart.ObserveEpoch("a")
	require.Equal(t, 2, slowStart.Capacity())
	for range 2 {
		require.False(t, slowStart.RecordCompletion(10*time.Millisecond))
	}
	require.Equal(t, 2, slowStart.Capacity(), "cold until three completions")
	for range 4 {
		slowStart.RecordCompletion(10 * time.Millisecond)
	}
	require.Equal(t, 6, slowStart.Capacity())
	slowStart.RecordCompletion(bound + 1)
	require.Equal(t, 6, slowStart.Capacity(), "a late completion doesn't raise the capacity")
	slowStart.RecordFailure()
	require.Equal(t, 3, slowStart.Capacity())
	require.True(t, slowStart.RecordCompletion(bound+200*time.Millisecond), "the second consecutive outlier")
	require.Equal(t, 2, slowStart.Capacity())
	for range 20 {
		slowStart.RecordCompletion(10 * time.Millisecond)
	}
	require.Equal(t, 8, slowStart.Capacity())
	require.True(t, slowStart.ObserveEpoch("b"))
	require.Equal(t, 2, slowStart.Capacity(), "a new epoch resets the capacity")
}

func BenchmarkQueue(b *testing.B) {
	queue := admit.NewQueue(looseLimits, 1<<20)
	request := admit.NewRequest("a", 1, 0, 0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = queue.Acquire(context.Background(), request)
			queue.Release()
		}
	})
}
