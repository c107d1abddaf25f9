package edge_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/stand"
)

// delayFirst returns a function that delays the first call of a client for which path is part of
// the path, and closes the channel as it does.
func delayFirst(client, path string, delay time.Duration) (late func(r *http.Request) time.Duration, delayed chan struct{}) {
	delayed = make(chan struct{})
	done := false
	return func(r *http.Request) time.Duration {
		if done || r.UserAgent() != client || !strings.Contains(r.URL.Path, path) {
			return 0
		}
		done = true
		close(delayed)
		return delay
	}, delayed
}

// lists reports whether the directory of an entry names a number of entries.
func (s *site) lists(index, count int) func() bool {
	return func() bool { return len(s.addresses(index)) == count }
}

const (
	// registrationLimit is the time in which an entry registers again, with a lease of 3 s
	// between.
	registrationLimit = 6 * time.Second
	// registrationCheck is how long a registration must hold.
	registrationCheck = 5 * time.Second
)

// TestLateRegistrationStaysVisible guards against an entry that is ready, but hidden from its
// peers for good: its first write that registers it gets no answer and is carried out late.
func TestLateRegistrationStaysVisible(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 600 * time.Millisecond, 2200 * time.Millisecond, 4500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			s := startSite(t, "i-1")
			require.Eventually(t, s.lists(0, 1), registrationLimit, 10*time.Millisecond)
			late, delayed := delayFirst("entry-2", "kv-txn", delay)
			s.delayCalls(late)
			s.startEntry("entry-2")
			<-delayed
			time.Sleep(delay)
			require.Eventually(t, s.lists(0, 2), registrationLimit, 10*time.Millisecond)
			require.Never(t, func() bool { return !s.lists(0, 2)() }, registrationCheck, 50*time.Millisecond, "the registration goes")
		})
	}
}

// TestLostRegistrationIsWrittenAgain guards against an entry that renews a lease without a key:
// its key is removed or overwritten by others.
func TestLostRegistrationIsWrittenAgain(t *testing.T) {
	testCases := []struct {
		name   string
		change func(s *site, key string)
	}{
		{"removed", func(s *site, key string) { s.remove(key) }},
		{"written by an earlier process", func(s *site, key string) {
			lease := s.kv.Grant(time.Second)
			var txn stand.Txn
			txn.Put(key, []byte(`{"data_centre": "gmunden", "callers": "127.0.0.1:1", "peers": "127.0.0.1:2"}`), lease)
			_, err := s.kv.Commit(txn)
			require.NoError(s.t, err)
		}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, "i-1")
			s.startEntry("entry-2")
			require.Eventually(t, s.lists(0, 2), registrationLimit, 10*time.Millisecond)
			time.Sleep(time.Second)
			own := s.settings[1].ListenAddress()
			tc.change(s, "lentilstand/members/entry-2")
			// The other entry sees the change.
			time.Sleep(200 * time.Millisecond)
			require.Eventually(t, func() bool {
				addresses := s.addresses(0)
				return len(addresses) == 2 && (addresses[0] == own || addresses[1] == own)
			}, registrationLimit, 10*time.Millisecond)
			require.Never(t, func() bool { return !s.lists(0, 2)() }, registrationCheck, 50*time.Millisecond, "the registration goes")
		})
	}
}

// TestEntryThatHasStoppedIsNoMember guards against a member that has gone: the call that ends
// its lease gets no answer, or its registration is carried out after that call.
func TestEntryThatHasStoppedIsNoMember(t *testing.T) {
	for _, path := range []string{"kv-lease-end", "kv-txn"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, "i-1")
			late, delayed := delayFirst("entry-2", path, 2*time.Second)
			s.delayCalls(late)
			s.startEntry("entry-2")
			if path == "kv-lease-end" {
				require.Eventually(t, s.lists(0, 2), registrationLimit, 10*time.Millisecond)
			} else {
				<-delayed
			}
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			s.entries[1].Stop(ctx)
			time.Sleep(1500 * time.Millisecond)
			snapshot := s.kv.Read([]string{"lentilstand/members/entry-2"})
			require.Empty(t, snapshot.Pairs(), "the entry is still a member")
			time.Sleep(2 * time.Second)
			require.Empty(t, s.kv.Read([]string{"lentilstand/members/entry-2"}).Pairs(), "the entry is a member again")
		})
	}
}
