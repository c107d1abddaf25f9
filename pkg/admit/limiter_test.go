package admit_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lentilstand/lentilstand/pkg/admit"
)

// cancelled returns a context with which Acquire doesn't wait.
func cancelled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// limiterModel is a model of the state of each credit, against which a Limiter is
// checked.
type limiterModel struct {
	limiter  *admit.Limiter
	now      time.Time
	capacity int
	granted  map[uint64]time.Time
	running  map[uint64]bool
	retired  map[uint64]bool
}

func (m *limiterModel) expire() {
	for credit, expires := range m.granted {
		if m.now.After(expires) {
			delete(m.granted, credit)
			m.retired[credit] = true
		}
	}
}

// pick draws a credit, or an ID that was never granted. It reports false if from
// is empty.
func (m *limiterModel) pick(t *rapid.T, from map[uint64]bool) (uint64, bool) {
	if len(from) == 0 {
		return 0, false
	}
	return rapid.Uint64Range(1, uint64(len(m.granted)+len(m.running)+len(m.retired)+1)).Draw(t, "credit"), true
}

// known returns the credits that were ever granted.
func (m *limiterModel) known() map[uint64]bool {
	all := make(map[uint64]bool)
	for credit := range m.granted {
		all[credit] = true
	}
	for credit := range m.running {
		all[credit] = true
	}
	for credit := range m.retired {
		all[credit] = true
	}
	return all
}

func TestLimiterNeverExceedsItsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &limiterModel{
			now:      time.Unix(0, 0),
			capacity: rapid.IntRange(0, 4).Draw(t, "capacity"),
			granted:  make(map[uint64]time.Time),
			running:  make(map[uint64]bool),
			retired:  make(map[uint64]bool),
		}
		m.limiter = admit.NewLimiter(m.capacity, admit.WithCreditLease(2*time.Second), admit.WithClock(func() time.Time { return m.now }))
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				m.expire()
				credit, err := m.limiter.Acquire(cancelled(), 0)
				if len(m.granted)+len(m.running) < m.capacity {
					require.NoError(t, err)
					m.granted[credit] = m.now.Add(2 * time.Second)
				} else {
					require.ErrorIs(t, err, admit.ErrBusy)
				}
			},
			"start": func(t *rapid.T) {
				credit, ok := m.pick(t, m.known())
				if !ok {
					t.Skip("no credit")
				}
				m.expire()
				err := m.limiter.Start(credit)
				_, valid := m.granted[credit]
				require.Equal(t, valid, err == nil)
				if valid {
					delete(m.granted, credit)
					m.running[credit] = true
				}
			},
			"finish": func(t *rapid.T) {
				credit, ok := m.pick(t, m.known())
				if !ok {
					t.Skip("no credit")
				}
				m.expire()
				m.limiter.Sweep()
				m.limiter.Finish(credit)
				if _, unused := m.granted[credit]; unused {
					m.retired[credit] = true
				}
				delete(m.granted, credit)
				delete(m.running, credit)
			},
			"revoke": func(t *rapid.T) {
				credit, ok := m.pick(t, m.known())
				if !ok {
					t.Skip("no credit")
				}
				m.expire()
				m.limiter.Sweep()
				started := m.limiter.Revoke(credit)
				if _, unused := m.granted[credit]; unused || m.retired[credit] {
					require.False(t, started, "an unused credit")
					delete(m.granted, credit)
					m.retired[credit] = true
				} else {
					require.True(t, started, "a started or unknown credit")
				}
			},
			"capacity": func(t *rapid.T) {
				m.capacity = rapid.IntRange(0, 4).Draw(t, "capacity")
				m.limiter.SetCapacity(m.capacity)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				m.expire()
				m.limiter.Sweep()
				usage := m.limiter.Usage()
				require.Equal(t, len(m.granted)+len(m.running), usage.InUse())
				require.Equal(t, len(m.running), usage.Running())
			},
		})
	})
}

func TestLimiterWaiters(t *testing.T) {
	limiter := admit.NewLimiter(1)
	held, err := limiter.Acquire(context.Background(), 0)
	require.NoError(t, err)
	order := make(chan int, 2)
	for _, priority := range []int{1, 5} {
		go func() {
			credit, err := limiter.Acquire(context.Background(), priority)
			if err == nil {
				order <- priority
				limiter.Finish(credit)
			}
		}()
	}
	require.Eventually(t, func() bool { return limiter.Usage().Waiting() == 2 }, time.Second, time.Millisecond)
	limiter.Finish(held)
	require.Equal(t, 5, <-order, "the higher priority goes first")
	require.Equal(t, 1, <-order)
}

func TestLimiterWaitersGetExpiredCredits(t *testing.T) {
	limiter := admit.NewLimiter(1, admit.WithCreditLease(50*time.Millisecond))
	_, err := limiter.Acquire(context.Background(), 0)
	require.NoError(t, err, "an entry acquires a credit and crashes")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = limiter.Acquire(ctx, 0)
	require.NoError(t, err)
}

func TestLimiterClose(t *testing.T) {
	limiter := admit.NewLimiter(1)
	credit, err := limiter.Acquire(context.Background(), 0)
	require.NoError(t, err)
	waited := make(chan error)
	go func() {
		_, err := limiter.Acquire(context.Background(), 0)
		waited <- err
	}()
	require.Eventually(t, func() bool { return limiter.Usage().Waiting() == 1 }, time.Second, time.Millisecond)
	limiter.Close()
	require.ErrorIs(t, <-waited, admit.ErrClosed)
	require.NoError(t, limiter.Start(credit), "a credit granted before Close stays valid")
}

func TestLimiterUnderConcurrency(t *testing.T) {
	const capacity = 3
	limiter := admit.NewLimiter(capacity)
	var running, peak atomic.Int64
	var wait sync.WaitGroup
	for range 50 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			credit, err := limiter.Acquire(context.Background(), 0)
			if err != nil || limiter.Start(credit) != nil {
				return
			}
			now := running.Add(1)
			for {
				old := peak.Load()
				if now <= old || peak.CompareAndSwap(old, now) {
					break
				}
			}
			time.Sleep(time.Millisecond)
			running.Add(-1)
			limiter.Finish(credit)
		}()
	}
	wait.Wait()
	require.LessOrEqual(t, peak.Load(), int64(capacity))
	require.Zero(t, limiter.Usage().InUse())
}

func ExampleLimiter() {
	limiter := admit.NewLimiter(1)
	credit, _ := limiter.Acquire(context.Background(), 0)
	_, err := limiter.Acquire(cancelled(), 0)
	fmt.Println(err)
	fmt.Println("started:", limiter.Revoke(credit))
	fmt.Println(limiter.Start(credit))
	// Output:
	// the endpoint is busy
	// started: false
	// the credit has lapsed
}

func BenchmarkLimiter(b *testing.B) {
	limiter := admit.NewLimiter(1 << 20)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			credit, err := limiter.Acquire(context.Background(), 0)
			if err != nil {
				b.Error(err)
				return
			}
			_ = limiter.Start(credit)
			limiter.Finish(credit)
		}
	})
}

func TestLimiterExclusive(t *testing.T) {
	limiter := admit.NewLimiter(3)
	first, err := limiter.Acquire(context.Background(), 0)
	require.NoError(t, err)
	exclusive := make(chan uint64)
	go func() {
		credit, err := limiter.AcquireExclusive(context.Background())
		if err == nil {
			exclusive <- credit
		}
	}()
	require.Eventually(t, func() bool { return limiter.Usage().Waiting() == 1 }, time.Second, time.Millisecond)
	_, err = limiter.Acquire(cancelled(), 9)
	require.ErrorIs(t, err, admit.ErrBusy, "no credit is granted while AcquireExclusive waits")
	limiter.Finish(first)
	credit := <-exclusive
	require.NoError(t, limiter.Start(credit))
	_, err = limiter.Acquire(cancelled(), 0)
	require.ErrorIs(t, err, admit.ErrBusy)
	limiter.Finish(credit)
	_, err = limiter.Acquire(cancelled(), 0)
	require.NoError(t, err)
}
