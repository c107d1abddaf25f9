package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/pkg/holds"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// settledEvents is the number of events after which a stream counts as answered.
const settledEvents = 3

// crashDelay is the time from the arrival of a deadly request to the crash, and patience how long
// a caller that leaves waits.
const (
	crashDelay = 60 * time.Millisecond
	patience   = 20 * time.Millisecond
)

// deadlyHeader returns the headers of a request on which replicas crash whose deadly part is dead01.
// The part isn't shared, so that the request counts as a whole.
func deadlyHeader() map[string]string {
	return map[string]string{"Lentilstand-Token-Counts": "100,40", "Lentilstand-Prompt-Prefix": "dead01:100"}
}

// abandon sends a request, and closes the connection once it has received a number of bytes of the
// body or the timeout has passed.
func (s *site) abandon(index int, path, body string, header map[string]string, byteCount int, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(s.t.Context(), timeout)
	defer cancel()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	received, err := client.Do(s.newRequest(ctx, index, http.MethodPost, path, body, header))
	if err != nil {
		return
	}
	defer received.Body.Close()
	_, _ = io.ReadFull(received.Body, make([]byte, byteCount))
}

// startDeadlySite starts two entries before replicas that crash on the part dead01.
func startDeadlySite(t *testing.T, replicas int, events int) *site {
	var ids []string
	for n := range replicas {
		ids = append(ids, fmt.Sprint("i-", n+1))
	}
	s := startSite(t, ids...)
	s.startEntry("entry-2")
	s.waitReady(1)
	require.Eventually(t, func() bool { return len(s.addresses(0)) == 2 && len(s.addresses(1)) == 2 }, 5*time.Second, 10*time.Millisecond,
		"the entries know each other")
	for _, r := range s.replicas {
		r.SetDeadlyPart("dead01")
		r.SetCrashDelay(crashDelay, events)
	}
	return s
}

// requireBlocked checks that all entries refuse the deadly request.
func (s *site) requireBlocked(path string) {
	s.t.Helper()
	before := s.received()
	for index := range s.entries {
		require.Equal(s.t, http.StatusServiceUnavailable, s.call(index, http.MethodPost, path, "deadly", deadlyHeader()).status)
	}
	require.Equal(s.t, before, s.received(), "no replica gets the request")
}

// TestCrashCountsThoughItsCallerHasLeft guards against a request that crashes replica after
// replica, because each of its attempts has ended for another reason before the crash.
func TestCrashCountsThoughItsCallerHasLeft(t *testing.T) {
	testCases := []struct {
		name, path string
		// events is the number of events that the replicas send before they crash.
		events int
		// deadline is set if the caller stays, and its time limit passes, stays if it stays until
		// the crash.
		deadline, stays bool
	}{
		{name: "stream", path: "/once/1"},
		{name: "stream that has begun", path: "/once/1", events: 1},
		{name: "idempotent request", path: "/check/1"},
		{name: "request that must not be repeated", path: "/book/1"},
		{name: "time limit", path: "/check/1", deadline: true},
		{name: "response too long to be buffered", path: "/check/1", events: 20_000, stays: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := startDeadlySite(t, 5, tc.events)
			for n := range 3 {
				header := deadlyHeader()
				if tc.stays {
					require.Error(t, s.call(n%2, http.MethodPost, tc.path, "deadly", header).err)
				} else if tc.deadline {
					header["Lentilstand-Deadline-Ms"] = fmt.Sprint(patience.Milliseconds())
					s.call(n%2, http.MethodPost, tc.path, "deadly", header)
				} else {
					s.abandon(n%2, tc.path, "deadly", header, 1, patience)
				}
				time.Sleep(time.Second)
				require.Equal(t, n+1, s.received())
			}
			s.requireBlocked(tc.path)
		})
	}
}

// TestPartIsBlockedThoughItsCallerHasLeft is the same for a part that requests share.
func TestPartIsBlockedThoughItsCallerHasLeft(t *testing.T) {
	s := startPromptSite(t)
	for _, r := range s.replicas {
		r.SetCrashDelay(crashDelay, 0)
	}
	before := s.received()
	s.abandon(0, "/draft/1", "", prompt(10, "a0:40,dead01:100"), 1, patience)
	time.Sleep(time.Second)
	for n := range 6 {
		require.Equal(t, http.StatusServiceUnavailable, s.call(n%2, http.MethodPost, "/draft/1", "", prompt(20+n, "a0:40,dead01:100")).status)
	}
	require.Equal(t, 1, s.received()-before)
	require.Equal(t, http.StatusOK, s.call(0, http.MethodPost, "/draft/1", "", prompt(30, "a0:40")).status, "the other part is sound")
}

// TestCrashCountsThoughItsRecordHasGone guards against a crash that isn't counted because the
// store removed the replica a moment before, as it does without regard to entries that are late.
func TestCrashCountsThoughItsRecordHasGone(t *testing.T) {
	s := startDeadlySite(t, 5, 0)
	for _, r := range s.replicas {
		// The entries learn of the removal some 200 ms after it.
		r.SetCrashDelay(300*time.Millisecond, 0)
	}
	for n := range 3 {
		before := s.received()
		done := make(chan response, 1)
		go func() { done <- s.call(n%2, http.MethodPost, "/once/1", "deadly", deadlyHeader()) }()
		require.Eventually(t, func() bool { return s.received() > before }, time.Second, time.Millisecond)
		for id, r := range s.replicas {
			if len(r.Requests()) > 0 {
				s.remove("servers/" + id)
				delete(s.replicas, id)
			}
		}
		require.Equal(t, http.StatusBadGateway, (<-done).status)
		time.Sleep(200 * time.Millisecond)
	}
	s.requireBlocked("/once/1")
}

// TestCrashCountsThoughItsAddressIsTakenOver guards against a crash that isn't counted because
// another replica accepts connections at the address when the entry looks.
func TestCrashCountsThoughItsAddressIsTakenOver(t *testing.T) {
	s := startDeadlySite(t, 5, 0)
	for n := range 3 {
		before := s.received()
		s.abandon(n%2, "/once/1", "deadly", deadlyHeader(), 1, patience)
		require.Eventually(t, func() bool { return s.received() > before }, time.Second, time.Millisecond)
		for id, r := range s.replicas {
			if len(r.Requests()) == 0 || strings.HasPrefix(id, "new") {
				continue
			}
			var successor *fakes.Replica
			require.Eventually(t, func() bool {
				var err error
				successor, err = fakes.NewReplicaAt(r.Address(), "new-"+id, 8, &s.script)
				return err == nil
			}, time.Second, time.Millisecond)
			t.Cleanup(successor.Close)
			delete(s.replicas, id)
			s.replicas["new-"+id] = successor
			successor.SetDeadlyPart("dead01")
			s.remove("servers/" + id)
			s.register("new-"+id, "gmunden", "ready")
		}
		time.Sleep(time.Second)
	}
	s.requireBlocked("/once/1")
}

// TestOnlyCompletionsClearCrashes guards against a request whose crashes are forgotten at all
// entries because a caller left its stream, or a replica turned it away.
func TestOnlyCompletionsClearCrashes(t *testing.T) {
	s := startDeadlySite(t, 6, 0)
	for _, r := range s.replicas {
		r.SetCrashDelay(0, 0)
	}
	crash := func(index int) {
		require.Equal(t, http.StatusBadGateway, s.call(index, http.MethodPost, "/once/1", "deadly", deadlyHeader()).status)
	}
	setDeadly := func(part string) {
		for _, r := range s.replicas {
			r.SetDeadlyPart(part)
			r.SetPause(50 * time.Millisecond)
		}
	}
	crash(0)
	crash(1)
	setDeadly("")
	s.abandon(0, "/once/1", "deadly", deadlyHeader(), 1, time.Second)
	s.script.Add(fakes.TooManyRequests)
	require.Equal(t, http.StatusTooManyRequests, s.call(1, http.MethodPost, "/once/1", "deadly", deadlyHeader()).status)
	time.Sleep(300 * time.Millisecond)
	setDeadly("dead01")
	crash(0)
	time.Sleep(300 * time.Millisecond)
	s.requireBlocked("/once/1")
}

// closeHolder closes the replica that has received a request since it had the given numbers of them.
func (s *site) closeHolder(before map[string]int) {
	s.t.Helper()
	for id, r := range s.replicas {
		if len(r.Requests()) > before[id] {
			r.Close()
			return
		}
	}
	require.Fail(s.t, "no replica has received a request")
}

// receivedBy returns how many requests each replica has received.
func (s *site) receivedBy() map[string]int {
	counts := make(map[string]int)
	for id, r := range s.replicas {
		counts[id] = len(r.Requests())
	}
	return counts
}

// TestCallersThatLeaveBlockNoSoundRequest guards against requests that are refused because their
// callers left replicas which crashed for another reason. A request is blamed for a crash only if
// the replica hadn't begun to answer it and its caller left less than holds.Window before; three
// such crashes without a completion between them block it.
func TestCallersThatLeaveBlockNoSoundRequest(t *testing.T) {
	testCases := []struct {
		name string
		// unanswered says that the replicas don't respond before the caller leaves.
		unanswered bool
		// pause is the time from then until the replica crashes.
		pause time.Duration
		// completes says that the request completes between the second crash and the third.
		completes bool
		blocked   bool
	}{
		{name: "answered", pause: 50 * time.Millisecond},
		{name: "crash after the window", unanswered: true, pause: holds.Window + 300*time.Millisecond},
		{name: "completion between crashes", unanswered: true, pause: 50 * time.Millisecond, completes: true},
		{name: "three crashes within the window", unanswered: true, pause: 50 * time.Millisecond, blocked: true},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := startDeadlySite(t, 6, 0)
			for _, r := range s.replicas {
				r.SetPause(100 * time.Millisecond)
			}
			header := map[string]string{"Lentilstand-Token-Counts": "100,40"}
			for n := range 3 {
				if tc.completes && n == 2 {
					require.Equal(t, http.StatusOK, s.call(0, http.MethodPost, "/once/1", "sound", header).status)
					time.Sleep(300 * time.Millisecond)
				}
				if tc.unanswered {
					s.script.Add(fakes.NoResponse)
				}
				before := s.receivedBy()
				s.abandon(n%2, "/once/1", "sound", header, len("id: 1\ndata: token 1\n\n")*(settledEvents+1), 500*time.Millisecond)
				time.Sleep(tc.pause)
				s.closeHolder(before)
				time.Sleep(300 * time.Millisecond)
			}
			want := http.StatusOK
			if tc.blocked {
				want = http.StatusServiceUnavailable
			}
			require.Equal(t, want, s.call(0, http.MethodPost, "/once/1", "sound", header).status)
		})
	}
}
