package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/platform/fakes"
)

// leaseLimit is the time after which the lease of an entry has ended that the store doesn't answer.
const leaseLimit = 4500 * time.Millisecond

// newsLimit is how long news may take to an entry that peers can reach.
const newsLimit = 2 * time.Second

// TestEntryWithoutALeaseHearsOfVersions guards against an entry that serves by an old configuration
// since its lease has ended, or since it had none yet, while the store doesn't answer it: peers
// told members only.
func TestEntryWithoutALeaseHearsOfVersions(t *testing.T) {
	testCases := []struct {
		name   string
		faults fakes.StoreFaults
		// restarts is set if the entry is started anew, and reads the store, before that.
		restarts bool
	}{
		{name: "no answers", faults: fakes.StoreFaults{Unresponsive: true, HangWatches: true}},
		{name: "status 503", faults: fakes.StoreFaults{Down: true}},
		{name: "status 503 after a start", faults: fakes.StoreFaults{Down: true}, restarts: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, "i-1")
			s.startEntry("entry-2")
			s.startEntry("entry-3")
			s.waitReady(2)
			require.Eventually(t, s.lists(0, 3), registrationLimit, 10*time.Millisecond)
			index, name := 2, "entry-3"
			if tc.restarts {
				index, name = 3, "entry-4"
				s.delayCalls(func(r *http.Request) time.Duration {
					if r.UserAgent() == name && r.Method != http.MethodGet {
						return time.Hour
					}
					return 0
				})
				s.startEntry(name)
				s.waitReady(index)
			}
			tc.faults.Only = []string{name}
			s.store.SetFaults(tc.faults)
			time.Sleep(leaseLimit)
			require.Empty(t, s.kv.Read([]string{"lentilstand/members/" + name}).Pairs(), "the entry is a member")
			for range 3 {
				s.configure([]string{"key-2"}, defaultRoutes...)
				require.Eventually(t, func() bool {
					return s.call(index, http.MethodGet, "/check/1", "", nil).status == http.StatusUnauthorized
				}, newsLimit, 20*time.Millisecond, "the entry serves with a key that was withdrawn")
				s.configure([]string{"key-1"}, defaultRoutes...)
				require.Eventually(t, func() bool {
					return s.call(index, http.MethodGet, "/check/1", "", nil).status == http.StatusOK
				}, newsLimit, 20*time.Millisecond, "the entry refuses a key that was added")
			}
		})
	}
}
