package edge

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lentilstand/lentilstand/internal/event"
)

func TestCrashingRequestIsBlockedByAllEntries(t *testing.T) {
	local, remote := newCrashTracker(zap.NewNop()), newCrashTracker(zap.NewNop())
	fp := requestFingerprint("POST", "/x", "rowers", []byte("poison"))
	local.recordCrash(fp, "i-1@1")
	local.recordCrash(fp, "i-1@1")
	local.recordCrash(fp, "i-2@1")
	require.False(t, local.isBlocked(fp), "crashes of two endpoints")
	remote.recordCrash(fp, "i-3@1")
	remote.merge(local.export())
	require.True(t, remote.isBlocked(fp))
	require.False(t, remote.isBlocked(requestFingerprint("POST", "/x", "rowers", []byte("other"))))
}

// TestAClearedRequestIsNotAccusedAgain guards against a request that ran to completion
// here becoming suspect, blocked and logged again with each report of a peer that still
// suspects it.
func TestAClearedRequestIsNotAccusedAgain(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	local, remote := newCrashTracker(zap.New(core)), newCrashTracker(zap.NewNop())
	fp := requestFingerprint("GET", "/x", "rowers", nil)
	for _, incarnation := range []string{"i-1@1", "i-2@1", "i-3@1"} {
		remote.recordCrash(fp, incarnation)
	}
	for range 20 {
		local.merge(remote.export())
		local.recordSuccess(fp)
	}
	require.False(t, local.isBlocked(fp))
	require.Equal(t, 1, logs.FilterField(zap.Int("event", event.RequestIsolated.Number())).Len(), "logged once")
}
