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

	"github.com/lesismal/nbio/nbhttp"

	"github.com/lentilstand/lentilstand/internal/event"
)

// clientConn is a connection from a client.
type clientConn struct {
	*net.TCPConn

	mu sync.Mutex
	// active reports whether a request is being received or handled.
	active bool
	// draining reports whether the server is shutting down.
	draining bool
	closed   bool

	// ahead holds bytes that were read while a request was handled and that Read
	// returns next.
	ahead []byte
}

func newClientConn(conn *net.TCPConn) *clientConn {
	// Errors of these calls mean that the connection has ended, which the first read
	// reports.
	_ = conn.SetKeepAliveConfig(keepAlive)
	_ = conn.SetWriteBuffer(writeBufferBytes)
	return &clientConn{TCPConn: conn}
}

// Close closes the connection. Further calls do nothing.
func (c *clientConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	return c.TCPConn.Close()
}

// Read reads what the client has sent. It must not be called while a request is handled.
func (c *clientConn) Read(buffer []byte) (int, error) {
	if len(c.ahead) > 0 {
		n := copy(buffer, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	}
	return c.TCPConn.Read(buffer)
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
	_ = c.SetReadDeadline(time.Time{})
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
	n, err := c.TCPConn.Read(c.ahead[len(c.ahead):][:room])
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
func (c *clientConn) linger() {
	_ = c.CloseWrite()
	discarded := make([]byte, readBufferBytes)
	start := time.Now()
	for left := lingerBytes; left > 0 && time.Since(start) < maxLinger; {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		n, err := c.TCPConn.Read(discarded)
		if err != nil {
			return
		}
		left -= n
	}
}

// rejection is the error response to a request that isn't passed to the handler.
type rejection struct {
	status  int
	code    string
	message string
	event   event.Event
	// retryAfter is when the client may retry, zero if a retry doesn't help.
	retryAfter time.Duration
}

// processor checks the size limits of requests between the parser and nbhttp's own
// processor.
type processor struct {
	nbhttp.Processor
	conn *clientConn
	// started is when the first byte of the current request arrived, zero between
	// requests.
	started         time.Time
	headerBytes     int
	inBody          bool
	expectsContinue bool
	// rejected is the response if the current request's body isn't accepted.
	rejected *rejection
	// bodies is the budget of all connections, bodyBytes the size of the part of the body
	// that has been parsed, and reserved what is taken from the budget for the body.
	bodies              *ByteBudget
	bodyBytes, reserved int64
}

func newProcessor(conn *clientConn, bodies *ByteBudget) *processor {
	return &processor{Processor: nbhttp.NewServerProcessor(), conn: conn, bodies: bodies}
}

// reserveBody takes the memory for a body from the budget, and rejects the request if
// there is none.
func (p *processor) reserveBody(size int64) {
	missing := size - p.reserved
	if size <= smallBodyBytes || missing <= 0 || p.rejected != nil {
		return
	}
	if !p.bodies.Take(missing, maxAllBodiesBytes) {
		p.rejected = noMemory()
		return
	}
	p.reserved += missing
}

func (p *processor) releaseBody() {
	p.bodies.Release(p.reserved)
	p.bodyBytes, p.reserved = 0, 0
}

// received counts n bytes that have arrived.
func (p *processor) received(n int) {
	if !p.inRequest() {
		p.started = time.Now()
	}
	if !p.inBody {
		p.headerBytes += n
	}
}

// inRequest reports whether a part of a request has arrived.
func (p *processor) inRequest() bool { return !p.started.IsZero() }

// rejectionFor returns the response to a request that exceeds a limit or that the
// parser failed on with err, nil if the request is acceptable.
func (p *processor) rejectionFor(err error) *rejection {
	switch {
	case p.rejected != nil:
		return p.rejected
	case errors.Is(err, nbhttp.ErrTooLong):
		return bodyTooLarge()
	case err != nil:
		return &rejection{
			status:  http.StatusBadRequest,
			code:    "malformed_request",
			message: "the request can't be read: " + err.Error(),
			event:   event.RequestMalformed,
		}
	case !p.inBody && p.headerBytes > MaxHeaderBytes+readBufferBytes:
		return headerTooLarge()
	}
	return nil
}

func headerTooLarge() *rejection {
	return &rejection{
		status:  http.StatusRequestHeaderFieldsTooLarge,
		code:    "header_too_large",
		message: fmt.Sprintf("the header is larger than %d bytes", MaxHeaderBytes),
		event:   event.RequestTooLarge,
	}
}

func bodyTooLarge() *rejection {
	return &rejection{
		status:  http.StatusRequestEntityTooLarge,
		code:    "body_too_large",
		message: fmt.Sprintf("the body is larger than %d bytes", MaxBodyBytes),
		event:   event.RequestTooLarge,
	}
}

// noMemory is the rejection of a body that would take more memory than all requests may.
func noMemory() *rejection {
	return &rejection{
		status:     http.StatusServiceUnavailable,
		code:       "too_many_bodies",
		message:    "the bodies of other requests take all memory for them",
		event:      event.RequestRefused,
		retryAfter: time.Second,
	}
}

// OnHeader records whether the client expects 100 Continue before it sends the body.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	if key == "Expect" && value == "100-continue" {
		p.expectsContinue = true
	}
	p.Processor.OnHeader(parser, key, value)
}

// OnContentLength is called at the end of the header.
func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	p.inBody = true
	if length > MaxBodyBytes {
		p.rejected = bodyTooLarge()
	}
	p.reserveBody(int64(length))
	if p.expectsContinue && p.rejected == nil {
		_, _ = p.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	p.Processor.OnContentLength(parser, length)
}

// OnBody counts the body of a request that is sent in chunks.
func (p *processor) OnBody(parser *nbhttp.Parser, data []byte) error {
	p.bodyBytes += int64(len(data))
	if p.reserveBody(p.bodyBytes); p.rejected != nil {
		return errRejected
	}
	return p.Processor.OnBody(parser, data)
}

// errRejected ends the parsing of a request that is rejected.
var errRejected = errors.New("the request is rejected")

// OnComplete passes on a complete request unless it was rejected.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	if p.rejected != nil {
		return
	}
	p.Processor.OnComplete(parser)
	p.releaseBody()
	p.started = time.Time{}
	p.headerBytes = 0
	p.inBody = false
	p.expectsContinue = false
}
