package webio

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lentilstand/lentilstand/internal/memory"
)

// socket is a stream socket, such as a net.TCPConn.
type socket interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
}

// clientConn is a connection from a client.
type clientConn struct {
	socket

	mu sync.Mutex
	// active reports whether a request is being received or handled.
	active bool
	// draining reports whether the server is shutting down.
	draining bool
	closed   bool
	// evicted reports whether the connection has to end because memory or descriptors are short.
	evicted bool
	// holder is what the connection holds of the account, nil until the server has opened it.
	holder *memory.Holder

	// ahead holds bytes that were read while a request was handled and that Read
	// returns next.
	ahead []byte
}

func newClientConn(conn *net.TCPConn) *clientConn {
	// Errors of these calls mean that the connection has ended, which the first read
	// reports.
	_ = conn.SetKeepAliveConfig(keepAlive)
	_ = conn.SetWriteBuffer(writeBufferBytes)
	return &clientConn{socket: conn}
}

// Close closes the connection. Further calls do nothing.
func (c *clientConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	return c.socket.Close()
}

// Read reads what the client has sent. It must not be called while a request is handled.
func (c *clientConn) Read(buffer []byte) (int, error) {
	if len(c.ahead) > 0 {
		n := copy(buffer, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	}
	return c.socket.Read(buffer)
}

func (c *clientConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// pastDeadline is a deadline in the past, which interrupts a blocked read.
var pastDeadline = time.Unix(1, 0)

// drain ends the connection after shutdownGrace unless it has a request in progress by
// then. A request that has arrived but wasn't read yet still gets its response.
func (c *clientConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if !c.active {
		_ = c.SetReadDeadline(time.Now().Add(shutdownGrace))
	}
}

// evict interrupts reads and writes. The goroutine that serves the connection then ends it.
func (c *clientConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	_ = c.SetDeadline(pastDeadline)
}

// setWriteDeadline sets the deadline of the next write, and reports whether it may start.
func (c *clientConn) setWriteDeadline(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(timeout))
	return !c.evicted
}

func (c *clientConn) setActive(active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = active
}

// setNextReadDeadline sets the deadline of the next read: ReadTimeout after the start
// of a request in progress, otherwise IdleTimeout from now, or shutdownGrace if the
// connection is draining.
func (c *clientConn) setNextReadDeadline(p *processor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(IdleTimeout)
	switch {
	case c.evicted:
		deadline = pastDeadline
	case p.inRequest():
		deadline = p.started.Add(ReadTimeout)
	case c.draining:
		deadline = time.Now().Add(shutdownGrace)
	}
	_ = c.SetReadDeadline(deadline)
}

// watchDisconnect calls cancel if the client closes the connection before stop is
// called, or has closed it already. It stops watching once the client has sent more than
// maxAheadBytes of further requests.
func (c *clientConn) watchDisconnect(cancel context.CancelFunc) (stop func()) {
	if c.hasDisconnected() {
		cancel()
		return func() {}
	}
	c.clearReadDeadline()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if c.waitDisconnect() {
			cancel()
		}
	}()
	return func() {
		_ = c.SetReadDeadline(pastDeadline)
		<-done
	}
}

// clearReadDeadline removes the deadline of reads unless the connection was evicted.
func (c *clientConn) clearReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evicted {
		_ = c.SetReadDeadline(time.Time{})
	}
}

// hasDisconnected reports whether the connection has ended and all bytes before its end
// have been read.
func (c *clientConn) hasDisconnected() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	disconnected := false
	err = raw.Control(func(fd uintptr) { disconnected, _ = peekEnd(fd) })
	return err != nil || disconnected
}

// waitDisconnect blocks until the connection ends or its read deadline has passed, and
// reports whether it has ended. It keeps what the client sends in c.ahead, and returns
// if that is full.
func (c *clientConn) waitDisconnect() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	for {
		ended := false
		err := raw.Read(func(fd uintptr) bool {
			var ready bool
			ended, ready = peekEnd(fd)
			return ready
		})
		if err != nil || ended {
			return err == nil
		}
		if !c.readAhead() {
			return false
		}
	}
}

// readAhead moves bytes that have arrived to c.ahead, and reports whether there was room
// for them.
func (c *clientConn) readAhead() bool {
	room := maxAheadBytes - len(c.ahead)
	if room <= 0 {
		return false
	}
	c.ahead = slices.Grow(c.ahead, room)
	n, err := c.socket.Read(c.ahead[len(c.ahead):][:room])
	c.ahead = c.ahead[:len(c.ahead)+n]
	return err == nil
}

// peekEnd reports whether a socket is readable, and whether it is because its connection
// has ended.
func peekEnd(fd uintptr) (ended, ready bool) {
	var peeked [1]byte
	n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		return false, false
	}
	return err != nil || n == 0, true
}

// writeRejection writes an error response directly to the connection, since the
// parser can't respond to a malformed request.
func (c *clientConn) writeRejection(rejection *rejection) {
	body, _ := json.Marshal(map[string]any{"error": map[string]any{
		"message": rejection.message,
		"type":    "invalid_request_error",
		"code":    rejection.code,
		"param":   nil,
	}})
	retryAfter := ""
	if rejection.retryAfter > 0 {
		retryAfter = fmt.Sprintf("Retry-After: %.3f\r\n", rejection.retryAfter.Seconds())
	}
	_ = c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nConnection: close\r\n%sLentilstand-Outcome: not_run\r\nContent-Length: %d\r\n\r\n%s",
		rejection.status, http.StatusText(rejection.status), retryAfter, len(body), body)
}

// linger closes the sending side and discards what the client still sends, as long as
// something arrives. Otherwise closing the connection with unread bytes would reset it
// before the client has read the response.
func (c *clientConn) linger(buffer []byte) {
	_ = c.CloseWrite()
	start := time.Now()
	for left := lingerBytes; left > 0 && time.Since(start) < maxLinger && c.setLingerDeadline(); {
		n, err := c.socket.Read(buffer)
		if err != nil {
			return
		}
		left -= n
	}
}

// setLingerDeadline sets the deadline of the next read after a rejection, and reports whether the
// connection may still wait for the client.
func (c *clientConn) setLingerDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	return !c.evicted
}
