package siege_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"github.com/lentilstand/lentilstand/internal/procs"
)

func TestMain(m *testing.M) {
	code := m.Run()
	procs.RemoveBinary()
	os.Exit(code)
}

// crowd is the number of clients of each target. Larger crowds are for measurements.
var crowd = flag.Int("siege.crowd", 600, "number of clients of each target")

const (
	// duration is how long clients that were cut off come again.
	duration = 2 * time.Second
	// returnDelay is how long a client that was cut off waits.
	returnDelay = 50 * time.Millisecond
	// headStart begins a request without the end of its head.
	headStart = "POST /check/a HTTP/1.1\r\nHost: club.example\r\nAuthorization: Bearer key\r\nLentilstand-Request-Id: x\r\n"
)

// client writes to a connection what the client of a number sends. It returns once that is
// written or the connection has ended.
type client func(conn net.Conn, number int)

// attackWith returns an attack by crowd clients on each target. They stay connected until they
// are released, and come again for a while if they are cut off.
func attackWith(send client) func(targets []target) func() {
	return func(targets []target) func() {
		released, end := make(chan struct{}), time.Now().Add(duration)
		var clients sync.WaitGroup
		for _, one := range targets {
			for number := range *crowd {
				clients.Go(func() { attend(one.address, end, released, func(conn net.Conn) { send(conn, number) }) })
			}
		}
		time.Sleep(time.Until(end))
		return func() {
			close(released)
			clients.Wait()
		}
	}
}

// attend connects to address, calls send, and keeps the connection until released is closed. It
// reads nothing, and connects again until end.
func attend(address string, end time.Time, released chan struct{}, send func(conn net.Conn)) {
	for {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			sent := make(chan struct{})
			go func() {
				select {
				case <-released:
					_ = conn.Close()
				case <-sent:
				}
			}()
			send(conn)
			waitClosed(conn, released)
			close(sent)
			_ = conn.Close()
		}
		select {
		case <-released:
			return
		case <-time.After(returnDelay):
		}
		if time.Now().After(end) {
			return
		}
	}
}

// waitClosed waits until a connection is closed or released is closed. It doesn't read, so that
// a slow reader stays one; a write of one byte in a second shows that the connection has ended.
func waitClosed(conn net.Conn, released chan struct{}) {
	for {
		select {
		case <-released:
			return
		case <-time.After(time.Second):
		}
		_ = conn.SetWriteDeadline(time.Now().Add(time.Millisecond))
		if _, err := conn.Write([]byte("x")); err != nil && !os.IsTimeout(err) {
			return
		}
	}
}

// text returns a client that sends one text.
func text(content string) client {
	return func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, content) }
}

// endless returns a client that sends start and then more without end.
func endless(start, more string) client {
	return func(conn net.Conn, _ int) {
		_, err := io.WriteString(conn, start)
		for err == nil {
			_, err = io.WriteString(conn, more)
		}
	}
}

// besiegeAll lets a crowd attack both kinds of entry and an agent's admin listener.
func besiegeAll(t *testing.T, h host, send client) {
	t.Helper()
	s := newSite(t, h)
	clients, _ := newFleet(t, h)
	besiege(t, h, attackWith(send), s.entry, s.agent, clients)
}

// shortLines returns count header lines with different short names.
func shortLines(count int) string {
	var lines strings.Builder
	for n := range count {
		fmt.Fprintf(&lines, "%04x:\r\n", n)
	}
	return lines.String()
}

// TestManyShortLines guards against heads of legal size whose parsed form is many times larger,
// because each of their lines costs memory beyond its bytes.
func TestManyShortLines(t *testing.T) {
	lines := shortLines(2200)
	besiegeAll(t, smallHost, func(conn net.Conn, number int) {
		// A third of the clients sends whole requests.
		if number%3 == 0 {
			lines := lines + "\r\n"
			for range 3 {
				_, _ = io.WriteString(conn, headStart+lines)
			}
			return
		}
		_, _ = io.WriteString(conn, headStart+lines)
	})
}

// TestOddLines guards against heads of many empty lines of the same name.
func TestOddLines(t *testing.T) {
	besiegeAll(t, smallHost, text(headStart+strings.Repeat("a:\r\n", 4000)))
}

// TestEndlessHeads guards against heads that are kept although they exceed the limit.
func TestEndlessHeads(t *testing.T) {
	lines, line := endless(headStart, shortLines(100)), endless(headStart+"X: ", strings.Repeat("x", 1000))
	besiegeAll(t, smallHost, func(conn net.Conn, number int) {
		if number%2 == 0 {
			lines(conn, number)
		} else {
			line(conn, number)
		}
	})
}

// TestEmptyLines guards against empty lines before a request that are kept or never end.
func TestEmptyLines(t *testing.T) {
	besiegeAll(t, smallHost, endless("", strings.Repeat("\r\n", 500)))
}

// TestUnfinishedLargeBodies guards against bodies of legal size that together exceed the memory,
// and that keep it until they time out.
func TestUnfinishedLargeBodies(t *testing.T) {
	body := strings.Repeat("b", 1<<20)
	besiegeAll(t, smallHost, func(conn net.Conn, number int) {
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", headStart, len(body)); err != nil {
			return
		}
		if number%2 == 0 {
			_, _ = io.WriteString(conn, body[52:])
			return
		}
		for rest := body[52:]; len(rest) > 0; rest = rest[min(len(rest), 4000):] {
			if _, err := io.WriteString(conn, rest[:min(len(rest), 4000)]); err != nil {
				return
			}
		}
	})
}

// TestUnfinishedSmallBodies guards against bodies that no limit covers because each is small.
func TestUnfinishedSmallBodies(t *testing.T) {
	body := strings.Repeat("b", 64<<10)
	besiegeAll(t, smallHost, text(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", headStart, len(body), body[52:])))
}

// TestUnfinishedChunks guards against chunks that are kept but not counted until they are whole.
func TestUnfinishedChunks(t *testing.T) {
	start, body := headStart+"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("b", 1<<20)
	small := fmt.Sprintf("%x\r\n%s\r\n", 100, body[:100])
	besiegeAll(t, smallHost, func(conn net.Conn, number int) {
		if number%2 == 0 {
			_, _ = fmt.Fprintf(conn, "%s%x\r\n%s", start, len(body), body[52:])
			return
		}
		_, _ = io.WriteString(conn, start+strings.Repeat(small, 8000))
	})
}

// TestMoreConnectionsThanDescriptors guards against connections that take all descriptors, so
// that neither endpoints nor the store can be reached.
func TestMoreConnectionsThanDescriptors(t *testing.T) {
	besiegeAll(t, host{memoryMB: smallHost.memoryMB, descriptors: 400}, func(conn net.Conn, number int) {
		if number%2 == 0 {
			_, _ = io.WriteString(conn, "GET /")
		}
	})
}

// TestSlowReaders guards against responses that are kept for clients which don't read.
func TestSlowReaders(t *testing.T) {
	s := newSite(t, smallHost)
	clients, _ := newFleet(t, smallHost)
	besiege(t, smallHost, attackWith(func(conn net.Conn, number int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		for n := range 20 {
			path := []string{"/flood/large", "/flood/large", "/metrics", "/boats/1"}[number%4]
			if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: club.example\r\nAuthorization: Bearer key\r\nLentilstand-Request-Id: %d-%d\r\n\r\n", path, number, n); err != nil {
				return
			}
		}
	}), s.entry, s.agent, clients)
}

// TestOtherListeners guards against limits that hold at the clients' listener only.
func TestOtherListeners(t *testing.T) {
	s := newSite(t, smallHost)
	lines := shortLines(2200)
	besiege(t, smallHost, func([]target) func() {
		var releases []func()
		for _, address := range s.doors {
			one := s.entry
			one.address = address
			releases = append(releases, attackWith(text(headStart+lines))([]target{one}))
		}
		return func() {
			for _, release := range releases {
				release()
			}
		}
	}, s.entry)
}

// TestEndlessEndpointResponses guards against heads and bodies of endpoints without end, whose
// clients don't read them.
func TestEndlessEndpointResponses(t *testing.T) {
	s := newSite(t, smallHost)
	besiege(t, smallHost, attackWith(func(conn net.Conn, number int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		path := []string{"/flood/head", "/flood/body"}[number%2]
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: club.example\r\nAuthorization: Bearer key\r\nLentilstand-Request-Id: %d\r\n\r\n", path, number)
	}), s.entry, s.agent)
}

// TestEndlessStoreResponses guards against heads and bodies of the store without end.
func TestEndlessStoreResponses(t *testing.T) {
	s := newSite(t, smallHost)
	besiege(t, smallHost, func([]target) func() {
		for _, kind := range []floodKind{endlessHead, endlessBody, noFlood} {
			s.store.kind.Store(int32(kind))
			if kind != noFlood {
				s.broken.CloseClientConnections()
				time.Sleep(duration)
			}
		}
		return func() {}
	}, s.entry)
}

// TestStrangersOnSessions guards against processes that open sessions and send frames of legal
// size without their end.
func TestStrangersOnSessions(t *testing.T) {
	_, sessions := newFleet(t, smallHost)
	frame := make([]byte, 5<<20)
	binary.BigEndian.PutUint32(frame, uint32(len(frame)))
	besiege(t, smallHost, attackWith(func(conn net.Conn, number int) {
		if number%10 > 0 {
			return
		}
		config := yamux.DefaultConfig()
		config.LogOutput = io.Discard
		session, err := yamux.Client(conn, config)
		if err != nil {
			return
		}
		if stream, err := session.OpenStream(); err == nil {
			_ = stream.SetWriteDeadline(time.Now().Add(duration))
			_, _ = stream.Write(frame)
		}
	}), sessions...)
}

// TestCrowdConnects shows that the crowd reaches a target, without which the other tests would
// pass for want of clients.
func TestCrowdConnects(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan net.Conn, 2**crowd)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	release := attackWith(text("x"))([]target{{address: listener.Addr().String()}})
	require.GreaterOrEqual(t, len(accepted), *crowd)
	release()
	require.NoError(t, listener.Close())
}
