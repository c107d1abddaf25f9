package sched

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
)

// BenchmarkAdmitLate measures the decision on a late request, in usual operation and after an outage.
func BenchmarkAdmitLate(b *testing.B) {
	for _, endpoints := range []int{63, 860} {
		for _, recovering := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d endpoints, recovering %t", endpoints, recovering), func(b *testing.B) {
				now := time.Unix(1000, 0)
				s := New("model", "here", zap.NewNop(), WithClock(func() time.Time { return now }), WithOtherEntries(func() int { return 38 }))
				s.SetGapTarget(playGapTarget)
				s.SetEngine(testEngine())
				s.Update(endpointSpecs(endpoints, testEngine().Slots, nil), true, func(string) bool { return false }, 1)
				for _, e := range s.endpoints {
					e.hasAgent, e.reportedAt, e.reported, e.passInterval = true, now, 1, 50*time.Millisecond
				}
				if recovering {
					s.outageEnd = now.Add(-time.Second)
				}
				for b.Loop() {
					if assignment, waiter, err := s.Admit(Request{ClientRetry: true, MaxWait: time.Second}); err == nil && waiter == nil {
						s.Release(assignment)
					}
					s.waiting = nil
				}
			})
		}
	}
}
