package sched

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/pkg/table"
)

// newLimitedService returns a service with endpoints of 100 slots for one of a number of
// entries.
func newLimitedService(endpoints, entries int, seed uint64, now *time.Time) *Service {
	s := New("plain", "here", zap.NewNop(), WithClock(func() time.Time { return *now }), WithOtherEntries(func() int { return entries - 1 }),
		WithRandom(rand.NewPCG(seed, 1)))
	var specs []*table.Endpoint
	for i := range endpoints {
		specs = append(specs, table.NewEndpoint(table.EndpointSpec{ID: fmt.Sprint(i), Service: "plain", Slots: 100}))
	}
	s.Update(specs, false, func(string) bool { return false }, 1)
	return s
}

// admitNow assigns a request that is sent and answered at once, with the limit that the
// answer names, and reports whether it was assigned.
func admitNow(s *Service, limit float64) bool {
	assignment, w, err := s.Admit(Request{})
	if w != nil {
		assignment, err = s.Cancel(w, ErrQueueTimeout)
	}
	if err != nil {
		return false
	}
	s.RecordLimit(assignment, limit)
	s.Release(assignment)
	return true
}

// TestLimitHoldsOverAllEntries guards against a replica that gets more requests from all
// entries together than the limit that it has named. All entries learn of the limit at the
// same moment and always have requests.
func TestLimitHoldsOverAllEntries(t *testing.T) {
	for _, entries := range fleetSizes {
		for _, perSecond := range []float64{0.5, 1, 2.6, 20} {
			t.Run(fmt.Sprintf("%d/%v", entries, perSecond), func(t *testing.T) {
				now := time.Unix(1000, 0)
				var services []*Service
				for i := range entries {
					s := newLimitedService(1, entries, uint64(i), &now)
					require.True(t, admitNow(s, perSecond))
					services = append(services, s)
				}
				var sent []time.Time
				most := 0
				const span = 20 * time.Second
				for began := now; now.Sub(began) < span; now = now.Add(40 * time.Millisecond) {
					for _, s := range services {
						if admitNow(s, perSecond) {
							sent = append(sent, now)
						}
					}
					for len(sent) > 0 && now.Sub(sent[0]) > limitWindow {
						sent = sent[1:]
					}
					most = max(most, len(sent))
				}
				require.LessOrEqual(t, float64(most), limitFactor*limitWindow.Seconds()*perSecond+limitExtra)
				require.NotZero(t, most, "the replica still gets requests")
			})
		}
	}
}

// TestReplicasWithoutLimitGetTheRest checks that requests go to the replicas that name no
// limit, and that none is refused.
func TestReplicasWithoutLimitGetTheRest(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newLimitedService(3, 7, 1, &now)
	sent := make(map[string]int)
	for range 400 {
		now = now.Add(20 * time.Millisecond)
		assignment, w, err := s.Admit(Request{})
		require.NoError(t, err)
		require.Nil(t, w)
		sent[assignment.Endpoint().ID()]++
		limit := 0.0
		if assignment.Endpoint().ID() == "0" {
			limit = 2
		}
		s.RecordLimit(assignment, limit)
		s.Release(assignment)
	}
	require.LessOrEqual(t, sent["0"], 5)
	require.Greater(t, sent["1"], 150)
	require.Greater(t, sent["2"], 150)
}

// TestLimitLastsForAsLongAsAnswersNameIt has a limit be changed and withdrawn, and late
// answers to earlier requests arrive.
func TestLimitLastsForAsLongAsAnswersNameIt(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newLimitedService(1, 1, 1, &now)
	limit := func() float64 { return s.endpoints[0].limit.perSecond }
	assign := func() Assignment {
		now = now.Add(10 * time.Second)
		assignment, w, err := s.Admit(Request{})
		require.NoError(t, err)
		require.Nil(t, w)
		return assignment
	}
	early := assign()
	s.RecordLimit(assign(), 2)
	require.Equal(t, 2.0, limit())
	s.RecordLimit(early, 0)
	require.Equal(t, 2.0, limit(), "the answer may have been made before the limit was named")
	s.RecordLimit(assign(), 3.5)
	require.Equal(t, 3.5, limit())
	s.RecordLimit(assign(), 0)
	require.Zero(t, limit())
	require.Equal(t, []Limit{NewLimit(s.endpoints[0].spec.Incarnation(), 0, 0)}, s.Limits(), "other entries hear of its end")
	now = now.Add(limitLifetime)
	require.Empty(t, s.Limits())
	s.RecordLimit(assign(), 2)
	restarted := table.NewEndpoint(table.EndpointSpec{ID: "0", Service: "plain", Slots: 100, Start: now})
	s.Update([]*table.Endpoint{restarted}, false, func(string) bool { return false }, 2)
	require.Zero(t, limit(), "a replica that has restarted hasn't named a limit")
}

// TestEntriesHearOfLimitsFromEachOther has an entry that has just started learn of a limit,
// and of its end, without an answer of its own.
func TestEntriesHearOfLimitsFromEachOther(t *testing.T) {
	now := time.Unix(1000, 0)
	told, started := newLimitedService(1, 2, 1, &now), newLimitedService(1, 2, 2, &now)
	require.True(t, admitNow(told, 2))
	now = now.Add(time.Second)
	started.MergeLimits(told.Limits())
	require.Equal(t, 2.0, started.endpoints[0].limit.perSecond)
	require.Equal(t, now.Add(-time.Second), started.endpoints[0].limit.seenAt)
	now = now.Add(5 * time.Second)
	require.True(t, admitNow(started, 0))
	require.Zero(t, started.endpoints[0].limit.perSecond)
	started.MergeLimits(told.Limits())
	require.Zero(t, started.endpoints[0].limit.perSecond, "its own answer is later")
	told.MergeLimits(started.Limits())
	require.Zero(t, told.endpoints[0].limit.perSecond)
	told.MergeLimits([]Limit{NewLimit("unknown", 2, 0)})
}

// TestRequestsBeyondTheLimitsOfAllReplicasAreRefusedAtOnce checks the reason and the time to
// come back.
func TestRequestsBeyondTheLimitsOfAllReplicasAreRefusedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newLimitedService(2, 4, 1, &now)
	for i := range s.endpoints {
		s.MergeLimits([]Limit{NewLimit(s.endpoints[i].spec.Incarnation(), 2, 0)})
		s.endpoints[i].limit.nextSend = now
	}
	require.True(t, admitNow(s, 2))
	require.True(t, admitNow(s, 2))
	_, w, err := s.Admit(Request{MaxWait: 100 * time.Millisecond})
	require.Nil(t, w)
	require.ErrorIs(t, err, ErrLimited)
	require.Regexp(t, "the first to take one is [01]$", err.Error())
	retryAfter := s.RetryAfter(err, Caller{})
	require.GreaterOrEqual(t, retryAfter, 2*time.Second, "each entry may send a request to each endpoint every two seconds")
	require.Less(t, retryAfter, 4*time.Second)
	now = now.Add(1950 * time.Millisecond)
	_, w, err = s.Admit(Request{MaxWait: 100 * time.Millisecond})
	require.NoError(t, err)
	require.NotNil(t, w, "it may wait for 50 ms")
}

// TestRequestsThatWaitForALimitInVainSayWhich guards against callers that hear of a full queue,
// and of a time to come back that has nothing to do with the limit, if a limit turns out to
// allow a queued request too late. The clock stands still, so that it never does.
func TestRequestsThatWaitForALimitInVainSayWhich(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newLimitedService(1, 1, 1, &now)
	require.True(t, admitNow(s, 20))
	for admitNow(s, 20) {
	}
	_, err := s.Acquire(context.Background(), Request{MaxWait: 200 * time.Millisecond})
	require.ErrorIs(t, err, ErrLimited)
	require.ErrorContains(t, err, "0")
}
