package edge_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/platform/fakes"
)

// configApplyLimit is the time within which entries of a fleet of more than eight must obey a
// version of the configuration.
const configApplyLimit = 3 * time.Second

// startFleet starts entries and waits until all know each other. It returns the indexes of
// those that watch the store and of the others.
func startFleet(t *testing.T, count, watching int) (s *site, watchers, others []int) {
	s = newSite(t)
	s.configure([]string{"key-1", "key-2"}, defaultRoutes...)
	s.startReplica("i-1", "gmunden")
	for i := range count {
		s.startEntry(fmt.Sprintf("entry-%d", i+1))
		watchers = append(watchers, i)
	}
	for i := range count {
		s.waitReady(i)
	}
	require.Eventually(t, func() bool { return len(s.addresses(0)) == count && len(s.addresses(count-1)) == count }, 10*time.Second, 50*time.Millisecond)
	slices.SortFunc(watchers, func(a, b int) int {
		first, second := xxhash.Sum64String(s.settings[a].Name()), xxhash.Sum64String(s.settings[b].Name())
		if first < second {
			return -1
		}
		return 1
	})
	return s, watchers[:watching], watchers[watching:]
}

// names returns the names of entries, by which the store knows them.
func (s *site) names(entries []int) []string {
	var names []string
	for _, i := range entries {
		names = append(names, s.settings[i].Name())
	}
	return names
}

// TestCutWatchersDoNotVouch guards against entries that obey an old configuration because those
// that watch the store, and no longer hear it, say that nothing has changed.
func TestCutWatchersDoNotVouch(t *testing.T) {
	const watching = 6
	testCases := []struct {
		name   string
		faults fakes.StoreFaults
		cut    int
	}{
		{name: "all watchers get no answers", faults: fakes.StoreFaults{Unresponsive: true, HangWatches: true}, cut: watching},
		{name: "all but one get no answers", faults: fakes.StoreFaults{Unresponsive: true, HangWatches: true}, cut: watching - 1},
		{name: "the watches alone get no answers", faults: fakes.StoreFaults{HangWatches: true}, cut: watching},
		{name: "watches show no changes", faults: fakes.StoreFaults{HideChanges: true}, cut: watching},
		{name: "answers are slow", faults: fakes.StoreFaults{SlowMS: 900, HangWatches: true}, cut: watching},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s, watchers, others := startFleet(t, 14, watching)
			time.Sleep(3 * time.Second)
			tc.faults.Only = s.names(watchers[:tc.cut])
			s.store.SetFaults(tc.faults)
			time.Sleep(100 * time.Millisecond)
			s.configure([]string{"key-2"}, defaultRoutes...)
			time.Sleep(configApplyLimit)
			for _, i := range others {
				response := s.call(i, http.MethodGet, "/check/1", "", map[string]string{"Lentilstand-Request-Id": fmt.Sprintf("late-%d", i)})
				require.NoError(t, response.err)
				require.Equal(t, http.StatusUnauthorized, response.status, "%s obeys a configuration that was replaced %v ago", s.settings[i].Name(), configApplyLimit)
			}
		})
	}
}
