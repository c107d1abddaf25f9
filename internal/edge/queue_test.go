package edge

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/pkg/table"
)

// newEngineService returns a model service whose endpoints have some slots each.
func newEngineService(endpoints, slots int) *service {
	s := &service{name: "model", logger: zap.NewNop(), engine: true, cold: func() float64 { return 0 }, others: func() int { return 0 }}
	for i := range endpoints {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		spec := table.NewEndpoint(table.EndpointSpec{ID: string(rune('a' + i)), Service: "model", Address: address, DataCentre: "here", Slots: slots})
		s.endpoints = append(s.endpoints, &endpoint{spec: spec, slots: slots, pace: 1})
	}
	return s
}

// TestAStreamThatGoesOnElsewhereFindsRoom fills all endpoints: a new request is
// refused at once, a stream whose endpoint fell silent is placed.
func TestAStreamThatGoesOnElsewhereFindsRoom(t *testing.T) {
	const endpoints, slots = 3, 4
	s := newEngineService(endpoints, slots)
	for range endpoints * (slots + engineExtra) {
		_, err := s.place(context.Background(), ticket{})
		require.NoError(t, err)
	}
	_, err := s.place(context.Background(), ticket{patience: 50 * time.Millisecond})
	require.ErrorIs(t, err, errFull)
	for range endpoints * resumeExtra {
		given, err := s.place(context.Background(), ticket{resuming: true, tried: map[string]bool{"a": false}})
		require.NoError(t, err)
		require.LessOrEqual(t, given.endpoint.mine, slots+engineExtra+resumeExtra)
	}
	_, err = s.place(context.Background(), ticket{resuming: true})
	require.ErrorIs(t, err, errFull)
}

// TestAStreamThatGoesOnGoesFirst has streams that go on, and callers who came
// back, wait beside more urgent new requests.
func TestAStreamThatGoesOnGoesFirst(t *testing.T) {
	resumes, returns, urgent, usual := ticket{priority: 2, resuming: true}, ticket{priority: 2, returning: true}, ticket{priority: 1}, ticket{priority: 2}
	require.True(t, resumes.before(urgent))
	require.False(t, urgent.before(resumes))
	require.True(t, urgent.before(returns))
	require.True(t, returns.before(usual))
	require.False(t, usual.before(usual))
}

// TestAfterAnOutageReturningCallersWait plays the load that the floor of ending and
// outageSpread answer: a group has formed again, its slots are taken at once, and no
// request has ended yet. Who came back won't come again and may wait; a new caller
// is refused at once and told when to come back.
func TestAfterAnOutageReturningCallersWait(t *testing.T) {
	s := newEngineService(12, 12)
	var seats []seat
	for range 12 * (12 + engineExtra) {
		given, err := s.place(context.Background(), ticket{})
		require.NoError(t, err)
		seats = append(seats, given)
	}
	began := time.Now()
	_, err := s.place(context.Background(), ticket{patience: 10 * time.Millisecond})
	require.ErrorIs(t, err, errFull)
	require.Less(t, time.Since(began), 50*time.Millisecond)
	placed := make(chan error, 1)
	go func() {
		_, err := s.place(context.Background(), ticket{returning: true, patience: returningWait})
		placed <- err
	}()
	time.Sleep(50 * time.Millisecond)
	s.release(seats[0].endpoint)
	require.NoError(t, <-placed)
}

func TestCallersComeBackSpreadAfterAnOutage(t *testing.T) {
	s := newEngineService(1, 12)
	s.endpoints[0].draining = true
	_, err := s.place(context.Background(), ticket{})
	require.ErrorIs(t, err, errNone)
	least, most := time.Hour, time.Duration(0)
	for range 400 {
		back := s.back(err)
		least, most = min(least, back), max(most, back)
	}
	require.Greater(t, least, usualOutage-100*time.Millisecond, "not before there are endpoints")
	require.LessOrEqual(t, most, usualOutage+outageSpread)
	require.Greater(t, most-least, outageSpread*3/4)
}
