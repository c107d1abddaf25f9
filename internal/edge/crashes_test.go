package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lentilstand/lentilstand/internal/event"
)

func TestCrashingRequestIsBlockedByAllEntries(t *testing.T) {
	local, remote := newCrashTracker(zap.NewNop()), newCrashTracker(zap.NewNop())
	fp := requestFingerprint("POST", "/x", "rowers", []byte("poison"))
	local.recordCrash(fp, "i-1@1", true)
	local.recordCrash(fp, "i-1@1", true)
	local.recordCrash(fp, "i-2@1", true)
	require.False(t, local.isBlocked(fp), "crashes of two endpoints")
	remote.recordCrash(fp, "i-3@1", true)
	remote.merge(local.export(false))
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
		remote.recordCrash(fp, incarnation, true)
	}
	for range 20 {
		local.merge(remote.export(false))
		local.recordSuccess(fp)
	}
	require.False(t, local.isBlocked(fp))
	require.Equal(t, 1, logs.FilterField(zap.Int("event", event.RequestIsolated.Number())).Len(), "logged once")
}

// TestBystandersDontDisplaceADeadlyRequest guards against a request that crashes endpoints
// being forgotten among the many that each crash cuts off, here and at peers.
func TestBystandersDontDisplaceADeadlyRequest(t *testing.T) {
	testCases := []struct {
		name string
		// answered says whether the bystanders had been answered before the crash.
		answered bool
		// earlier is the number of crashes before the first bystanders.
		earlier int
	}{
		{name: "answered bystanders of the first crash", answered: true, earlier: 1},
		{name: "bystanders that wait at the second endpoint", earlier: 2},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			local, remote := newCrashTracker(zap.NewNop()), newCrashTracker(zap.NewNop())
			deadly := requestFingerprint("POST", "/x", "rowers", []byte("poison"))
			for crash := range blockThreshold {
				incarnation := fmt.Sprintf("i-%d@1", crash)
				local.recordCrash(deadly, incarnation, true)
				remote.merge(local.export(false))
				if crash+1 < tc.earlier || crash+1 == blockThreshold {
					continue
				}
				for n := range 10 * maxSuspects {
					bystander := requestFingerprint("POST", "/x", "rowers", fmt.Appendf(nil, "%d-%d", crash, n))
					local.recordCrash(bystander, incarnation, !tc.answered)
					remote.merge(local.export(false))
				}
			}
			require.True(t, local.isBlocked(deadly))
			require.True(t, remote.isBlocked(deadly))
			require.LessOrEqual(t, len(local.suspects), maxSuspects)
			require.LessOrEqual(t, len(local.export(true)), maxReported+maxReportedCompletions)
		})
	}
}

// TestPeersHearOfCompletions guards against a request that completes at one entry staying
// suspect at the others, where three unrelated crashes would block it.
func TestPeersHearOfCompletions(t *testing.T) {
	local, remote := newCrashTracker(zap.NewNop()), newCrashTracker(zap.NewNop())
	fp := requestFingerprint("GET", "/x", "rowers", nil)
	for _, incarnation := range []string{"i-1@1", "i-2@1"} {
		remote.recordCrash(fp, incarnation, true)
	}
	local.merge(remote.export(false))
	time.Sleep(5 * time.Millisecond)
	local.recordSuccess(fp)
	remote.merge(local.export(false))
	remote.recordCrash(fp, "i-3@1", true)
	require.False(t, remote.isBlocked(fp))
}

// TestRequestThatComesAfterItsBlockIsBlockedAgain guards against three further crashes each time
// that the block of a request has ended, for as long as it comes.
func TestRequestThatComesAfterItsBlockIsBlockedAgain(t *testing.T) {
	local, remote := newCrashTracker(zap.NewNop()), newCrashTracker(zap.NewNop())
	// elapse makes all records older.
	elapse := func(elapsed time.Duration) {
		for _, c := range []*crashTracker{local, remote} {
			for _, s := range c.suspects {
				s.changedAt = s.changedAt.Add(-elapsed)
				for incarnation, at := range s.crashes {
					s.crashes[incarnation] = at.Add(-elapsed)
				}
			}
			c.export(true)
		}
	}
	fp := requestFingerprint("POST", "/x", "rowers", []byte("poison"))
	crashes, late := 0, 0
	for elapsed := time.Duration(0); elapsed < 25*time.Minute; elapsed += 5 * time.Second {
		if !local.isBlocked(fp) {
			crashes++
			local.recordCrash(fp, fmt.Sprintf("i-%d@1", crashes), true)
			remote.merge(local.export(false))
			if crashes > blockThreshold {
				late++
				require.True(t, remote.isBlocked(fp), "the next crash blocks it")
			}
		}
		elapse(5 * time.Second)
	}
	require.LessOrEqual(t, late, 3, "BUDGET")
	require.LessOrEqual(t, len(local.suspects[fp].crashes), maxSuspectCrashes)
	elapse(maxSuspectTTL)
	require.Empty(t, local.suspects, "the record isn't kept for ever")
}
