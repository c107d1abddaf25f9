package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/platform/fakes"
)

// experience is a little longer than the time after which an entry blocks a part that was
// never answered at its first crash.
const experience = 5200 * time.Millisecond

// prompt returns the headers of a request for a stream whose prompt has the given shared
// parts and an own one.
func prompt(n int, shared string) map[string]string {
	return map[string]string{
		"Lentilstand-Token-Counts": "100,40", "Lentilstand-Request-Id": fmt.Sprint("request-", n),
		"Lentilstand-Prompt-Prefix": fmt.Sprintf("%s,f%d:200", shared, n),
	}
}

// startPromptSite starts two entries before four replicas that crash on the part dead01, and
// waits until the entries are experienced.
func startPromptSite(t *testing.T) *site {
	s := startSite(t, "i-1", "i-2", "i-3", "i-4")
	s.startEntry("entry-2")
	s.waitReady(1)
	for _, r := range s.replicas {
		r.SetDeadlyPart("dead01")
	}
	for index := range s.entries {
		require.Equal(t, http.StatusOK, s.call(index, http.MethodPost, "/draft/1", "", prompt(index, "a0:40")).status)
	}
	time.Sleep(experience)
	return s
}

// received returns how many requests have reached replicas.
func (s *site) received() int {
	count := 0
	for _, r := range s.replicas {
		count += len(r.Requests())
	}
	return count
}

// TestPartThatCrashesReplicasIsKeptFromOthers guards against replicas that crash one after
// the other on requests which share only one part of their prompts.
func TestPartThatCrashesReplicasIsKeptFromOthers(t *testing.T) {
	s := startPromptSite(t)
	before := s.received()
	require.Equal(t, http.StatusBadGateway, s.call(0, http.MethodPost, "/draft/1", "", prompt(10, "a0:40,dead01:100")).status)
	require.Equal(t, 1, s.received()-before, "the request isn't sent to a second replica")
	require.Eventually(t, func() bool {
		return s.call(1, http.MethodPost, "/draft/1", "", prompt(11, "b0:40,dead01:100")).status == http.StatusServiceUnavailable
	}, time.Second, 50*time.Millisecond, "the other entry hears of the crash")
	crashed := s.received() - before
	require.LessOrEqual(t, crashed, 2)
	for n := range 20 {
		began := time.Now()
		got := s.call(n%2, http.MethodPost, "/draft/1", "", prompt(20+n, "a0:40,dead01:100"))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Less(t, time.Since(began), 300*time.Millisecond, "it is refused at once")
	}
	require.Equal(t, crashed, s.received()-before)
	s.startEntry("entry-3")
	s.waitReady(2)
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, s.call(2, http.MethodPost, "/draft/1", "", prompt(45, "a0:40,dead01:100")).status,
		"an entry that has just started has asked the others")
	require.Equal(t, crashed, s.received()-before)
	for n := range 10 {
		require.Equal(t, http.StatusOK, s.call(n%2, http.MethodPost, "/draft/1", "", prompt(50+n, "a0:40")).status, "the other part is sound")
	}
}

// TestSoundPartBesideADeadlyOneIsServed guards against a sound part staying blocked because
// the first request that had it crashed a replica, on another part.
func TestSoundPartBesideADeadlyOneIsServed(t *testing.T) {
	s := startPromptSite(t)
	before := s.received()
	require.Equal(t, http.StatusBadGateway, s.call(0, http.MethodPost, "/draft/1", "", prompt(10, "b0:40,dead01:100")).status)
	require.Eventually(t, func() bool {
		for n := range 2 {
			require.NotEqual(t, http.StatusOK, s.call(n, http.MethodPost, "/draft/1", "", prompt(20+n, "b0:40,dead01:100")).status)
		}
		return s.call(0, http.MethodPost, "/draft/1", "", prompt(11, "b0:40")).status == http.StatusOK &&
			s.call(1, http.MethodPost, "/draft/1", "", prompt(12, "b0:40")).status == http.StatusOK
	}, 5*time.Second, 100*time.Millisecond)
	require.LessOrEqual(t, s.received()-before, 4, "one crash, one test and the two answers")
	for n := range 10 {
		require.Equal(t, http.StatusOK, s.call(n%2, http.MethodPost, "/draft/1", "", prompt(30+n, "b0:40")).status)
		require.Equal(t, http.StatusServiceUnavailable, s.call(n%2, http.MethodPost, "/draft/1", "", prompt(50+n, "a0:40,dead01:100")).status)
	}
}

// TestAttemptsWithAPartThatBecomesBlockedAreCancelled guards against replicas that crash on
// requests which they had queued when the first one crashed.
func TestAttemptsWithAPartThatBecomesBlockedAreCancelled(t *testing.T) {
	for _, path := range []string{"/draft/1", "/once/1"} {
		t.Run(path, func(t *testing.T) { requireQueuedAttemptIsCancelled(t, path) })
	}
}

func requireQueuedAttemptIsCancelled(t *testing.T, path string) {
	s := startPromptSite(t)
	for _, r := range s.replicas {
		r.SetDeadlyPart("")
	}
	s.script.Add(fakes.NoResponse)
	queued := make(chan response, 1)
	go func() { queued <- s.call(0, http.MethodPost, path, "", prompt(10, "a0:40,dead01:100")) }()
	time.Sleep(200 * time.Millisecond)
	for _, r := range s.replicas {
		r.SetDeadlyPart("dead01")
	}
	require.Equal(t, http.StatusBadGateway, s.call(1, http.MethodPost, "/draft/1", "", prompt(11, "a0:40,dead01:100")).status)
	select {
	case got := <-queued:
		require.Equal(t, http.StatusBadGateway, got.status, "it may have run")
	case <-time.After(time.Second):
		require.Fail(t, "the attempt goes on")
	}
}

// TestReplicasThatLeaveBlameNoPart guards against parts that are blocked because a replica
// which was leaving ended with requests in its queue.
func TestReplicasThatLeaveBlameNoPart(t *testing.T) {
	s := startPromptSite(t)
	s.script.Add(fakes.NoResponse)
	queued := make(chan response, 1)
	go func() { queued <- s.call(0, http.MethodPost, "/draft/1", "", prompt(10, "c0:40")) }()
	time.Sleep(200 * time.Millisecond)
	for id := range s.replicas {
		s.register(id, "gmunden", "draining")
	}
	s.startReplica("i-9", "gmunden")
	time.Sleep(time.Second)
	for id, r := range s.replicas {
		if id != "i-9" {
			r.Close()
		}
	}
	<-queued
	require.Equal(t, http.StatusOK, s.call(0, http.MethodPost, "/draft/1", "", prompt(11, "c0:40")).status)
}

// TestRequestThatCrashesReplicasIsBlockedAmongManyStreams guards against a request that
// crashes replicas being forgotten because each crash also cuts off the streams at other
// replicas, as the ranks of a group do.
func TestRequestThatCrashesReplicasIsBlockedAmongManyStreams(t *testing.T) {
	s := startSite(t, "i-1", "i-2", "i-3", "i-4", "i-5")
	for _, r := range s.replicas {
		r.SetDeadlyPart("dead01")
	}
	// The only part of the prompt isn't shared, so that the request counts as a whole.
	deadly := map[string]string{"Lentilstand-Token-Counts": "100,40", "Lentilstand-Prompt-Prefix": "dead01:100"}
	for range 3 {
		require.Equal(t, http.StatusBadGateway, s.call(0, http.MethodPost, "/once/1", "deadly", deadly).status)
		const streams = 40
		for n := range streams {
			s.script.Add(fakes.ResetConnection)
			s.call(0, http.MethodPost, "/once/1", fmt.Sprint("sound ", n), streamHeader)
		}
		time.Sleep(time.Second)
	}
	before := s.received()
	got := s.call(0, http.MethodPost, "/once/1", "deadly", deadly)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, before, s.received())
}
