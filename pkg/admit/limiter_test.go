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

// ended is a context with which Acquire doesn't wait.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// limiterModel holds a Gate against a model of what each credit has been through.
type limiterModel struct {
	gate     *admit.Limiter
	now      time.Time
	capacity int
	granted  map[uint64]time.Time
	running  map[uint64]bool
	revoked  map[uint64]bool
}

func (m *limiterModel) lapse() {
	for credit, lapses := range m.granted {
		if m.now.After(lapses) {
			delete(m.granted, credit)
			m.revoked[credit] = true
		}
	}
}

func (m *limiterModel) pick(t *rapid.T, from map[uint64]bool) (uint64, bool) {
	if len(from) == 0 {
		return 0, false
	}
	return rapid.Uint64Range(1, uint64(len(m.granted)+len(m.running)+len(m.revoked)+1)).Draw(t, "credit"), true
}

func (m *limiterModel) any() map[uint64]bool {
	all := make(map[uint64]bool)
	for credit := range m.granted {
		all[credit] = true
	}
	for credit := range m.running {
		all[credit] = true
	}
	for credit := range m.revoked {
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
			revoked:  make(map[uint64]bool),
		}
		m.gate = admit.NewLimiter(m.capacity, admit.WithCreditLease(2*time.Second), admit.WithClock(func() time.Time { return m.now }))
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				m.lapse()
				credit, err := m.gate.Acquire(ended(), 0)
				if len(m.granted)+len(m.running) < m.capacity {
					require.NoError(t, err)
					m.granted[credit] = m.now.Add(2 * time.Second)
				} else {
					require.ErrorIs(t, err, admit.ErrBusy)
				}
			},
			"start": func(t *rapid.T) {
				credit, ok := m.pick(t, m.any())
				if !ok {
					t.Skip("no credit")
				}
				m.lapse()
				err := m.gate.Start(credit)
				_, valid := m.granted[credit]
				require.Equal(t, valid, err == nil)
				if valid {
					delete(m.granted, credit)
					m.running[credit] = true
				}
			},
			"finish": func(t *rapid.T) {
				credit, ok := m.pick(t, m.any())
				if !ok {
					t.Skip("no credit")
				}
				m.lapse()
				m.gate.Sweep()
				m.gate.Finish(credit)
				if _, unused := m.granted[credit]; unused {
					m.revoked[credit] = true
				}
				delete(m.granted, credit)
				delete(m.running, credit)
			},
			"revoke": func(t *rapid.T) {
				credit, ok := m.pick(t, m.any())
				if !ok {
					t.Skip("no credit")
				}
				m.lapse()
				m.gate.Sweep()
				started := m.gate.Revoke(credit)
				if _, unused := m.granted[credit]; unused || m.revoked[credit] {
					require.False(t, started, "an unused credit")
					delete(m.granted, credit)
					m.revoked[credit] = true
				} else {
					require.True(t, started, "a started or unknown credit")
				}
			},
			"capacity": func(t *rapid.T) {
				m.capacity = rapid.IntRange(0, 4).Draw(t, "capacity")
				m.gate.SetCapacity(m.capacity)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				m.lapse()
				m.gate.Sweep()
				usage := m.gate.Usage()
				require.Equal(t, len(m.granted)+len(m.running), usage.InUse())
				require.Equal(t, len(m.running), usage.Running())
			},
		})
	})
}

func TestLimiterWaiters(t *testing.T) {
	gate := admit.NewLimiter(1)
	held, err := gate.Acquire(context.Background(), 0)
	require.NoError(t, err)
	order := make(chan int, 2)
	for _, priority := range []int{1, 5} {
		go func() {
			credit, err := gate.Acquire(context.Background(), priority)
			if err == nil {
				order <- priority
				gate.Finish(credit)
			}
		}()
	}
	require.Eventually(t, func() bool { return gate.Usage().Waiting() == 2 }, time.Second, time.Millisecond)
	gate.Finish(held)
	require.Equal(t, 5, <-order, "the higher priority goes first")
	require.Equal(t, 1, <-order)
}

func TestLimiterWaitersGetLapsedCredits(t *testing.T) {
	gate := admit.NewLimiter(1, admit.WithCreditLease(50*time.Millisecond))
	_, err := gate.Acquire(context.Background(), 0)
	require.NoError(t, err, "an entry takes a credit and dies")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = gate.Acquire(ctx, 0)
	require.NoError(t, err)
}

func TestLimiterClose(t *testing.T) {
	gate := admit.NewLimiter(1)
	credit, err := gate.Acquire(context.Background(), 0)
	require.NoError(t, err)
	waited := make(chan error)
	go func() {
		_, err := gate.Acquire(context.Background(), 0)
		waited <- err
	}()
	require.Eventually(t, func() bool { return gate.Usage().Waiting() == 1 }, time.Second, time.Millisecond)
	gate.Close()
	require.ErrorIs(t, <-waited, admit.ErrClosed)
	require.NoError(t, gate.Start(credit), "what was granted before stays valid")
}

func TestLimiterUnderConcurrency(t *testing.T) {
	const capacity = 3
	gate := admit.NewLimiter(capacity)
	var running, peak atomic.Int64
	var wait sync.WaitGroup
	for range 50 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			credit, err := gate.Acquire(context.Background(), 0)
			if err != nil || gate.Start(credit) != nil {
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
			gate.Finish(credit)
		}()
	}
	wait.Wait()
	require.LessOrEqual(t, peak.Load(), int64(capacity))
	require.Zero(t, gate.Usage().InUse())
}

func ExampleLimiter() {
	gate := admit.NewLimiter(1)
	credit, _ := gate.Acquire(context.Background(), 0)
	_, err := gate.Acquire(ended(), 0)
	fmt.Println(err)
	fmt.Println("started:", gate.Revoke(credit))
	fmt.Println(gate.Start(credit))
	// Output:
	// the endpoint is busy
	// started: false
	// the credit has lapsed
}

func BenchmarkLimiter(b *testing.B) {
	gate := admit.NewLimiter(1 << 20)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			credit, err := gate.Acquire(context.Background(), 0)
			if err != nil {
				b.Error(err)
				return
			}
			_ = gate.Start(credit)
			gate.Finish(credit)
		}
	})
}

func TestLimiterAlone(t *testing.T) {
	gate := admit.NewLimiter(3)
	first, err := gate.Acquire(context.Background(), 0)
	require.NoError(t, err)
	alone := make(chan uint64)
	go func() {
		credit, err := gate.AcquireExclusive(context.Background())
		if err == nil {
			alone <- credit
		}
	}()
	require.Eventually(t, func() bool { return gate.Usage().Waiting() == 1 }, time.Second, time.Millisecond)
	_, err = gate.Acquire(ended(), 9)
	require.ErrorIs(t, err, admit.ErrBusy, "nothing new is granted while one waits to be alone")
	gate.Finish(first)
	credit := <-alone
	require.NoError(t, gate.Start(credit))
	_, err = gate.Acquire(ended(), 0)
	require.ErrorIs(t, err, admit.ErrBusy)
	gate.Finish(credit)
	_, err = gate.Acquire(ended(), 0)
	require.NoError(t, err)
}
