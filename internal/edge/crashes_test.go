package edge

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lentilstand/lentilstand/internal/event"
)

func TestARequestThatKillsEndpointsIsBlockedEverywhere(t *testing.T) {
	here, there := newCrashes(zap.NewNop()), newCrashes(zap.NewNop())
	mark := fingerprint("POST", "/x", "rowers", []byte("poison"))
	here.cut(mark, "i-1@1")
	here.cut(mark, "i-1@1")
	here.cut(mark, "i-2@1")
	require.False(t, here.isBlocked(mark), "two endpoints")
	there.cut(mark, "i-3@1")
	there.learn(here.suspects())
	require.True(t, there.isBlocked(mark))
	require.False(t, there.isBlocked(fingerprint("POST", "/x", "rowers", []byte("other"))))
}

// TestAClearedRequestIsNotAccusedAgain lets entries tell each other of a request
// that one of them has seen run to its end.
func TestAClearedRequestIsNotAccusedAgain(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	here, there := newCrashes(zap.New(core)), newCrashes(zap.NewNop())
	mark := fingerprint("GET", "/x", "rowers", nil)
	for _, incarnation := range []string{"i-1@1", "i-2@1", "i-3@1"} {
		there.cut(mark, incarnation)
	}
	for range 20 {
		here.learn(there.suspects())
		here.clear(mark)
	}
	require.False(t, here.isBlocked(mark))
	require.Equal(t, 1, logs.FilterField(zap.Int("event", event.RequestIsolated.Number())).Len(), "logged once")
}
