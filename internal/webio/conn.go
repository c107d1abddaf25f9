package webio

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/lentilstand/lentilstand/internal/event"
)

// connection is a caller's connection.
type connection struct {
	*net.TCPConn

	mu      sync.Mutex
	active  bool
	leaving bool
	closed  bool
}

func newConnection(conn *net.TCPConn) *connection {
	// Errors of these calls mean that the connection is gone, which its first
	// read will show.
	_ = conn.SetKeepAliveConfig(keepAlive)
	_ = conn.SetWriteBuffer(writeBufferBytes)
	return &connection{TCPConn: conn}
}

// Close closes the connection; further calls do nothing.
func (c *connection) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	return c.TCPConn.Close()
}

func (c *connection) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// leave ends the connection unless a request has begun on it. What has been read
// from it just now is still answered: only the read that waits is ended.
func (c *connection) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	if !c.active {
		_ = c.SetReadDeadline(past)
	}
}

func (c *connection) setActive(active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = active
}

// setReadDeadline bounds the next read: a request that has begun must arrive
// in time, and a connection without one may stay idle for a while.
func (c *connection) setReadDeadline(p *processor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(IdleTimeout)
	switch {
	case p.inRequest():
		deadline = p.began.Add(ReadTimeout)
	case c.leaving:
		deadline = past
	}
	_ = c.SetReadDeadline(deadline)
}

// watch calls gone if the caller closes the connection before stop is called.
// It looks without taking bytes away, so that the next request stays whole.
func (c *connection) watch(gone context.CancelFunc) (stop func()) {
	_ = c.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		if c.peekEnd() {
			gone()
		}
	}()
	return func() {
		_ = c.SetReadDeadline(past)
		<-done
	}
}

// peekEnd blocks until bytes arrive or the connection ends, and reports whether
// it has ended.
func (c *connection) peekEnd() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false
		}
		ended = err != nil || n == 0
		return true
	})
	return err == nil && ended
}

// refuse writes an answer by hand, since the parser is past a broken request.
func (c *connection) refuse(refusal *refusal) {
	body, _ := json.Marshal(map[string]any{"error": map[string]any{
		"message": refusal.message,
		"type":    "invalid_request_error",
		"code":    refusal.code,
		"param":   nil,
	}})
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nConnection: close\r\nLentilstand-Outcome: not_run\r\nContent-Length: %d\r\n\r\n%s",
		refusal.status, http.StatusText(refusal.status), len(body), body)
}

// linger reads for a short while what the caller still sends, so that closing
// doesn't reset the connection before the caller has read its answer.
func (c *connection) linger() {
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
}

// refusal is the answer to a request that can't be taken.
type refusal struct {
	status  int
	code    string
	message string
	event   event.Event
}

// processor holds a connection's requests against their bounds on the way from
// the parser to nbhttp's own processor.
type processor struct {
	nbhttp.Processor
	conn        *connection
	began       time.Time
	headerBytes int
	inBody      bool
	expects     bool
	refused     *refusal
}

func newProcessor(conn *connection) *processor {
	return &processor{Processor: nbhttp.NewServerProcessor(), conn: conn}
}

// received takes note of bytes that have come in.
func (p *processor) received(n int) {
	if !p.inRequest() {
		p.began = time.Now()
	}
	if !p.inBody {
		p.headerBytes += n
	}
}

// inRequest reports whether a part of a request has come in.
func (p *processor) inRequest() bool { return !p.began.IsZero() }

// refusal returns the answer to a request that can't be taken, or nil.
func (p *processor) refusal(err error) *refusal {
	switch {
	case p.refused != nil:
		return p.refused
	case errors.Is(err, nbhttp.ErrTooLong):
		return bodyTooLarge()
	case err != nil:
		return &refusal{
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

func headerTooLarge() *refusal {
	return &refusal{
		status:  http.StatusRequestHeaderFieldsTooLarge,
		code:    "header_too_large",
		message: fmt.Sprintf("the header is larger than %d bytes", MaxHeaderBytes),
		event:   event.RequestTooLarge,
	}
}

func bodyTooLarge() *refusal {
	return &refusal{
		status:  http.StatusRequestEntityTooLarge,
		code:    "body_too_large",
		message: fmt.Sprintf("the body is larger than %d bytes", MaxBodyBytes),
		event:   event.RequestTooLarge,
	}
}

// OnHeader notes whether the caller waits for leave to send its body.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	if key == "Expect" && value == "100-continue" {
		p.expects = true
	}
	p.Processor.OnHeader(parser, key, value)
}

// OnContentLength is called at the end of the header.
func (p *processor) OnContentLength(parser *nbhttp.Parser, length int) {
	p.inBody = true
	if length > MaxBodyBytes {
		p.refused = bodyTooLarge()
	}
	if p.expects && p.refused == nil {
		_, _ = p.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	p.Processor.OnContentLength(parser, length)
}

// OnComplete hands over a whole request, unless it was refused.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	if p.refused != nil {
		return
	}
	p.Processor.OnComplete(parser)
	p.began = time.Time{}
	p.headerBytes = 0
	p.inBody = false
	p.expects = false
}
