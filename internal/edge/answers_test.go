package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReplicaThatSaysItLeavesGetsNoNewRequests guards against requests to a replica that
// says in its answers that it leaves, while the store doesn't say so, as it may be down.
func TestReplicaThatSaysItLeavesGetsNoNewRequests(t *testing.T) {
	testCases := []struct {
		name   string
		path   string
		answer string
		status int
	}{
		{
			name: "in an answer", path: "/book/1", status: http.StatusOK,
			answer: "HTTP/1.1 200 OK\r\nLentilstand-Request-Id: %s\r\nLentilstand-Response-Seal: seal\r\nServer-Leaving: 1\r\nContent-Length: 2\r\n\r\nok",
		},
		{
			name: "as it turns a request away", path: "/book/1", status: http.StatusServiceUnavailable,
			answer: "HTTP/1.1 503 Service Unavailable\r\nLentilstand-Request-Id: %s\r\nLentilstand-Not-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		},
		{
			name: "in the head of a stream", path: "/draft/1", status: http.StatusOK,
			answer: "HTTP/1.1 200 OK\r\nLentilstand-Request-Id: %s\r\nLentilstand-Response-Seal: seal\r\nContent-Type: text/event-stream\r\nServer-Leaving: 1\r\n\r\nid: 1\ndata: x\n\n",
		},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			s, leaving := startRawSite(t, func(conn net.Conn, _ int, id string) bool {
				fmt.Fprintf(conn, tc.answer, id)
				return false
			})
			require.Equal(t, tc.status, s.call(0, http.MethodPost, tc.path, "", nil).status)
			other := s.startRawReplica("i-other", func(conn net.Conn, _ int, id string) bool {
				writeAnswer(conn, id, "answer")
				return true
			})
			require.Eventually(t, func() bool {
				s.call(0, http.MethodPost, "/book/1", "", nil)
				return other.requests() > 0
			}, 3*time.Second, 10*time.Millisecond)
			// A later change of its registration doesn't bring it back.
			s.write("servers/i-raw", fmt.Sprintf(`{"service":"plain","address":%q,"zone":"gmunden","slots":8,"state":"ready","coldLeftMs":0,"version":"v1","born":1,"sequence":2}`, leaving.address))
			time.Sleep(200 * time.Millisecond)
			for range 20 {
				require.Equal(t, http.StatusOK, s.call(0, http.MethodPost, "/book/1", "", nil).status)
			}
			require.Equal(t, 1, leaving.requests())
		})
	}
}

// TestReplicaThatAsksForAPauseGetsNoRequests guards against requests to a replica that has
// answered 503 with Retry-After, before that time is over.
func TestReplicaThatAsksForAPauseGetsNoRequests(t *testing.T) {
	const pause = 1500 * time.Millisecond
	var turnsAway atomic.Bool
	turnsAway.Store(true)
	s, paused := startRawSite(t, func(conn net.Conn, _ int, id string) bool {
		if turnsAway.Load() {
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nLentilstand-Request-Id: %s\r\nLentilstand-Not-Executed: 1\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n", id)
			return true
		}
		writeAnswer(conn, id, "answer")
		return true
	})
	began := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, s.call(0, http.MethodPost, "/book/1", "", nil).status)
	turnsAway.Store(false)
	for time.Since(began) < pause-200*time.Millisecond {
		got := s.call(0, http.MethodPost, "/book/1", "", nil)
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"), "the caller hears when to come back")
		time.Sleep(50 * time.Millisecond)
	}
	require.Equal(t, 1, paused.requests())
	require.Eventually(t, func() bool {
		return s.call(0, http.MethodPost, "/book/1", "", nil).status == http.StatusOK
	}, 2*time.Second, 50*time.Millisecond, "the pause ends")
}

// TestReplicaGetsNoMoreRequestsThanTheLimitThatItNames guards against requests beyond the
// limit that a replica names in its answers, from all entries together.
func TestReplicaGetsNoMoreRequestsThanTheLimitThatItNames(t *testing.T) {
	const perSecond, span = 3.0, 4 * time.Second
	var limits atomic.Bool
	limits.Store(true)
	s, limited := startRawSite(t, func(conn net.Conn, _ int, id string) bool {
		header := ""
		if limits.Load() {
			header = fmt.Sprintf("Server-Limit: %.1f\r\n", perSecond)
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nLentilstand-Request-Id: %s\r\nLentilstand-Response-Seal: seal\r\n%sContent-Length: 2\r\n\r\nok", id, header)
		return true
	})
	s.startEntry("entry-2")
	s.waitReady(1)
	refused := 0
	for began := time.Now(); time.Since(began) < span; time.Sleep(20 * time.Millisecond) {
		for entry := range 2 {
			if got := s.call(entry, http.MethodPost, "/book/1", "", nil); got.status != http.StatusOK {
				refused++
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.Contains(t, got.body, "i-raw", "the answer names the replica")
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
		}
	}
	require.NotZero(t, refused)
	require.Greater(t, limited.requests(), int(span.Seconds()*perSecond/2))
	require.LessOrEqual(t, float64(limited.requests()), 1.5*span.Seconds()*perSecond+5)
	limits.Store(false)
	require.Eventually(t, func() bool {
		before := limited.requests()
		for range 10 {
			s.call(0, http.MethodPost, "/book/1", "", nil)
		}
		return limited.requests() == before+10
	}, 10*time.Second, 100*time.Millisecond, "the limit ends when answers no longer name it")
}
