// Package conns sends requests to endpoints over HTTP/1.1 connections that are
// kept and reused.
//
// It tells what a balancer must know and a general client hides: whether a
// failed request can have run, whether bytes that belong to no request are left
// on a connection, and which of several answers on it is the request's own.
package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Bounds of a connection.
const (
	// connectTimeout bounds the opening of a connection. A lost first packet is sent
	// again after a second, so another endpoint is tried before that.
	connectTimeout = 400 * time.Millisecond
	// idleBound is how long a connection without a stated bound is kept.
	idleBound = 4 * time.Second
	// idleShare is how much of an endpoint's stated idle bound is used, as the
	// request must arrive before the endpoint closes.
	idleShare = 0.7
	// readBufferBytes holds the head of an answer or some events.
	readBufferBytes = 4 << 10
	// foreignAnswers is how many answers to other requests are skipped.
	foreignAnswers = 2
	// inlineBodyBytes is what fits the send buffers, so that writing it can't wait
	// for an endpoint that answers before it reads.
	inlineBodyBytes = 16 << 10
	// writeBound is how long the rest of a body may take after its answer has come.
	// Bodies cross the link in milliseconds; an endpoint that reads slower gets its
	// next request on another connection.
	writeBound = time.Second
	// maxIdlePerEndpoint bounds the connections that are kept to one endpoint.
	maxIdlePerEndpoint = 24
)

// Errors of Send. What wraps none of them may have run.
var (
	// ErrNotSent says that no byte of the request has left.
	ErrNotSent = eris.New("the request was not sent")
)

// Request is what an endpoint is sent.
type Request struct {
	Method string
	// Target is the path with its query, as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Pool keeps connections to endpoints. The zero value is ready to use.
type Pool struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	// opened counts the connections that were opened.
	opened int64
}

// conn is a connection to an endpoint.
type conn struct {
	*net.TCPConn
	reader  *bufio.Reader
	address netip.AddrPort
	until   time.Time
	fresh   bool
}

// Opened returns how many connections were opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Idle returns how many connections are kept for further requests.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, idle := range p.idle {
		count += len(idle)
	}
	return count
}

// Prune closes the idle connections whose time is up, and those to addresses
// that keep refuses.
func (p *Pool) Prune(now time.Time, keep func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Before(c.until) && keep(address) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// take returns an idle connection that is still sound, nil if there is none.
func (p *Pool) take(address netip.AddrPort) *conn {
	for {
		p.mu.Lock()
		idle := p.idle[address]
		if len(idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := idle[len(idle)-1]
		p.idle[address] = idle[:len(idle)-1]
		p.mu.Unlock()
		if time.Now().Before(c.until) && c.isQuiet() {
			c.fresh = false
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerEndpoint {
		_ = c.Close()
		return
	}
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*conn)
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// isQuiet reports whether a connection is open and has no bytes to read.
func (c *conn) isQuiet() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var peeked [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

func (p *Pool) open(ctx context.Context, address netip.AddrPort) (*conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
	}}
	opened, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	tcp := opened.(*net.TCPConn)
	return &conn{TCPConn: tcp, reader: bufio.NewReaderSize(tcp, readBufferBytes), address: address, fresh: true}, nil
}

// Response is an endpoint's answer whose head has been read. It must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, -1 if it isn't known beforehand.
	Length int64
	body   io.ReadCloser
	conn   *conn
	pool   *Pool
	stop   func() bool
	whole  bool
	keep   bool
	// writing yields what became of a body that was written on the side.
	writing chan error
}

// Send sends a request to the endpoint at address and returns its answer once
// the head of it has come. The connection is closed when ctx ends. Belongs tells
// whether a head is that of the request's answer; answers that don't belong are
// skipped.
func (p *Pool) Send(ctx context.Context, address netip.AddrPort, request Request, belongs func(status int, header http.Header) bool) (*Response, error) {
	c := p.take(address)
	if c == nil {
		var err error
		if c, err = p.open(ctx, address); err != nil {
			return nil, err
		}
	}
	a := &Response{conn: c, pool: p}
	a.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := a.write(request); err != nil {
		a.discard()
		return nil, err
	}
	for range foreignAnswers + 1 {
		response, err := readHead(c.reader, request.Method)
		if err != nil {
			a.discard()
			return nil, eris.Wrap(err, "no answer came")
		}
		a.Status, a.Header, a.Length = response.status, response.header, response.length
		a.body, a.keep = response.body, response.keep
		if belongs(a.Status, a.Header) {
			return a, nil
		}
		if _, err := io.Copy(io.Discard, a.body); err != nil || !a.keep {
			break
		}
	}
	a.discard()
	return nil, eris.New("the answer belongs to another request")
}

// write sends the head and the body.
func (a *Response) write(request Request) error {
	var head strings.Builder
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	if err := request.Header.Write(&head); err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	head.WriteString("\r\n")
	if len(request.Body) > inlineBodyBytes {
		if n, err := io.WriteString(a.conn, head.String()); err != nil {
			return a.writeError(n, err)
		}
		a.writing = make(chan error, 1)
		go func() {
			_, err := a.conn.Write(request.Body)
			a.writing <- err
		}()
		return nil
	}
	n, err := a.conn.Write(append([]byte(head.String()), request.Body...))
	if err != nil {
		return a.writeError(n, err)
	}
	return nil
}

func (a *Response) writeError(n int, err error) error {
	if n == 0 && a.conn.fresh {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	return eris.Wrap(err, "the request broke off")
}

// head is the head of an answer, with its body to be read.
type head struct {
	status int
	header http.Header
	length int64
	body   io.ReadCloser
	keep   bool
}

// readHead reads the head of the next final answer.
func readHead(reader *bufio.Reader, method string) (head, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return head{}, err
		}
		if response.StatusCode < http.StatusOK {
			response.Body.Close()
			continue
		}
		return head{
			status: response.StatusCode, header: response.Header, length: response.ContentLength, body: response.Body,
			keep: !response.Close && response.ProtoAtLeast(1, 1),
		}, nil
	}
}

// Read reads the body. It returns io.EOF at its proper end only.
func (a *Response) Read(buffer []byte) (int, error) {
	n, err := a.body.Read(buffer)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Close ends the answer. The connection is kept if the whole answer was read and
// nothing is left on it. An answer can come before the whole request is written;
// the connection is then kept once it is.
func (a *Response) Close() {
	stopped := a.stop()
	if !a.whole || !a.keep || !stopped || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	if a.writing == nil {
		a.keepConn()
		return
	}
	if err := a.conn.SetWriteDeadline(time.Now().Add(writeBound)); err != nil {
		_ = a.conn.Close()
		return
	}
	go func() {
		if err := <-a.writing; err != nil {
			_ = a.conn.Close()
			return
		}
		a.keepConn()
	}()
}

// keepConn keeps the connection for a further request.
func (a *Response) keepConn() {
	bound := idleBound
	if _, text, ok := strings.Cut(a.Header.Get("Keep-Alive"), "timeout="); ok {
		text, _, _ = strings.Cut(text, ",")
		if seconds, err := strconv.Atoi(strings.TrimSpace(text)); err == nil {
			bound = time.Duration(float64(seconds) * idleShare * float64(time.Second))
		}
	}
	if err := a.conn.SetWriteDeadline(time.Time{}); err != nil {
		_ = a.conn.Close()
		return
	}
	a.conn.until = time.Now().Add(bound)
	a.pool.put(a.conn)
}

func (a *Response) discard() {
	a.stop()
	_ = a.conn.Close()
}
