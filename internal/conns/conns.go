// Package conns is an HTTP/1.1 client with a connection pool for requests to
// endpoints.
//
// It covers what a load balancer needs and a general-purpose client hides: it reports
// whether a failed request may have been executed, doesn't reuse a connection with
// unread bytes that belong to no request, and skips responses to other requests.
package conns

import (
	"bufio"
	"bytes"
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
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/memory"
	"github.com/lentilstand/lentilstand/internal/strict"
)

// Limits and timeouts of connections.
const (
	// connectTimeout limits the time to open a connection. A lost SYN is retransmitted
	// after a second; another endpoint is tried before that.
	connectTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint sends
	// no timeout in a Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the fraction of the endpoint's idle timeout after which a
	// connection isn't reused, since a request must arrive before the endpoint closes
	// the connection.
	idleTimeoutFraction = 0.7
	// readBufferBytes is enough for the head of a response or a few events.
	readBufferBytes = 4 << 10
	// maxStrayResponses is how many responses to other requests Send skips.
	maxStrayResponses = 2
	// maxHeadBytes limits the bytes that Send reads until it has the head of the
	// response, with the informational and stray responses before it. A faulty endpoint
	// may send bytes without end.
	maxHeadBytes = 32 << 10
	// maxHeadLines limits the lines of what Send reads until it has the head, since each costs some
	// 100 bytes in memory beyond its own. Heads of endpoints have some ten lines.
	maxHeadLines = 1024
	// inlineBodyBytes is the size of the largest body that Send writes before it reads
	// the response. It fits the send buffers, so writing it can't block on an endpoint
	// that responds before it reads the body.
	inlineBodyBytes = 16 << 10
	// lateWriteTimeout limits the time to write the rest of a body after the response
	// has arrived. Transmitting a body takes milliseconds. If the endpoint reads more
	// slowly, the connection is closed and the next request uses another one.
	lateWriteTimeout = time.Second
	// discardTimeout and discardBytes limit the time and the bytes that Discard reads. The
	// body of a rejection comes in the same packet as its head.
	discardTimeout = 50 * time.Millisecond
	discardBytes   = 16 << 10
	// maxIdlePerEndpoint limits the idle connections to one endpoint.
	maxIdlePerEndpoint = 24
)

// Errors of Send. If Send returns any other error, the request may have been
// executed.
var (
	// ErrNotSent means that no byte of the request has been sent.
	ErrNotSent = eris.New("the request was not sent")
	// ErrTooManyBytes means that the endpoint has sent maxHeadBytes without a response
	// to the request.
	ErrTooManyBytes = eris.New("the endpoint sends bytes that are no response")
)

// Request is a request to an endpoint.
type Request struct {
	Method string
	// Target is the path with the query, as the client sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Pool is a pool of connections to endpoints. The zero value is ready to use.
type Pool struct {
	account *memory.Account

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	// opened counts the connections that have been opened.
	opened int64
	// probes holds the probes in progress.
	probes map[netip.AddrPort]*probe
}

// conn is a connection to an endpoint.
type conn struct {
	*net.TCPConn
	reader  *bufio.Reader
	address netip.AddrPort
	// headBytesLeft is the number of bytes that may still be read before the head of a
	// response is complete. It applies while readingHead is set.
	headBytesLeft int
	headLinesLeft int
	readingHead   bool
	// account has a descriptor for the connection until it is closed, unless it is nil.
	account *memory.Account
	closing sync.Once
	// expires is when an idle connection is no longer reused.
	expires time.Time
	// fresh reports whether the connection has not been used for an earlier request.
	fresh bool
}

// connReader reads from a connection, within headBytesLeft while a head is read.
type connReader struct{ conn *conn }

func (r connReader) Read(buffer []byte) (int, error) {
	c := r.conn
	if c.readingHead {
		if c.headBytesLeft <= 0 || c.headLinesLeft <= 0 {
			return 0, ErrTooManyBytes
		}
		buffer = buffer[:min(len(buffer), c.headBytesLeft)]
	}
	n, err := c.Read(buffer)
	if c.readingHead {
		c.headBytesLeft -= n
		c.headLinesLeft -= bytes.Count(buffer[:n], []byte("\n"))
	}
	return n, err
}

// Close closes the connection. Further calls do nothing.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closing.Do(func() {
		err = c.TCPConn.Close()
		if c.account != nil {
			c.account.Hangup()
		}
	})
	return err
}

// SetAccount makes the pool take descriptors and the memory of large events from the account of
// the process. It must be called before the first use of the pool.
func (p *Pool) SetAccount(account *memory.Account) { p.account = account }

// Opened returns the number of connections that have been opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, idle := range p.idle {
		count += len(idle)
	}
	return count
}

// Prune closes the idle connections that have expired and those to addresses for
// which keep returns false.
func (p *Pool) Prune(now time.Time, keep func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Before(c.expires) && keep(address) {
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

// takeIdle returns an idle connection that is still usable, nil if there is none. It
// closes the unusable ones that it finds.
func (p *Pool) takeIdle(address netip.AddrPort) *conn {
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
		if time.Now().Before(c.expires) && c.isClean() {
			c.fresh = false
			return c
		}
		_ = c.Close()
	}
}

// putIdle adds an idle connection, or closes it if the endpoint has
// maxIdlePerEndpoint already.
func (p *Pool) putIdle(c *conn) {
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

// isClean reports whether a connection is open and its socket has no unread bytes.
func (c *conn) isClean() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	var peeked [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && clean
}

// takeDescriptor takes a descriptor for a connection. If there is none, it closes an idle
// connection.
func (p *Pool) takeDescriptor() bool {
	if p.account == nil || p.account.Dial() {
		return true
	}
	p.closeIdle()
	if p.account.Dial() {
		return true
	}
	p.account.Count(memory.ReasonDescriptors)
	return false
}

// closeIdle closes one idle connection, the one of some endpoint that was used longest ago.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, idle := range p.idle {
		if len(idle) == 0 {
			continue
		}
		_ = idle[0].Close()
		p.idle[address] = idle[1:]
		return
	}
}

func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (*conn, error) {
	if !p.takeDescriptor() {
		return nil, eris.Wrap(ErrNotSent, "no descriptor is free")
	}
	c, err := p.open(ctx, address)
	if err != nil && p.account != nil {
		p.account.Hangup()
	}
	return c, err
}

// open opens a connection, for which a descriptor has been taken.
func (p *Pool) open(ctx context.Context, address netip.AddrPort) (*conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
	}}
	dialed, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	c := &conn{TCPConn: dialed.(*net.TCPConn), address: address, fresh: true, account: p.account}
	c.reader = bufio.NewReaderSize(connReader{conn: c}, readBufferBytes)
	return c, nil
}

// Liveness is what the attempt to open a connection tells about an endpoint's process.
type Liveness int

const (
	// Unknown means that the endpoint's host doesn't respond.
	Unknown Liveness = iota
	// Alive means that the endpoint accepts connections.
	Alive
	// Down means that the endpoint's host refuses connections.
	Down
)

// probeTimeout limits the time of a probe. A host responds within milliseconds, with a
// reset if nothing listens on the port.
const probeTimeout = 100 * time.Millisecond

// probe is a probe in progress. Done is closed once result is set.
type probe struct {
	done   chan struct{}
	result Liveness
}

// Probe opens a connection to an endpoint to find out whether its process runs. An accepted
// connection becomes an idle one. Concurrent probes of an endpoint share one connection,
// since an endpoint that fails cuts off many requests at once. The result is Unknown if
// ctx ends first.
func (p *Pool) Probe(ctx context.Context, address netip.AddrPort) Liveness {
	if ctx.Err() != nil {
		return Unknown
	}
	p.mu.Lock()
	running := p.probes[address]
	if running == nil {
		running = &probe{done: make(chan struct{})}
		if p.probes == nil {
			p.probes = make(map[netip.AddrPort]*probe)
		}
		p.probes[address] = running
		go p.runProbe(address, running)
	}
	p.mu.Unlock()
	select {
	case <-running.done:
		return running.result
	case <-ctx.Done():
		return Unknown
	}
}

// Check is like Probe, but opens no connection if an idle one shows that the process runs.
func (p *Pool) Check(ctx context.Context, address netip.AddrPort) Liveness {
	if c := p.takeIdle(address); c != nil {
		p.putIdle(c)
		return Alive
	}
	return p.Probe(ctx, address)
}

func (p *Pool) runProbe(address netip.AddrPort, running *probe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := p.dial(ctx, address)
	switch {
	case err == nil:
		running.result = Alive
		c.expires = time.Now().Add(time.Duration(float64(defaultIdleTimeout) * idleTimeoutFraction))
		p.putIdle(c)
	case errors.Is(err, syscall.ECONNREFUSED):
		running.result = Down
	}
	p.mu.Lock()
	delete(p.probes, address)
	p.mu.Unlock()
	close(running.done)
}

// Response is an endpoint's response whose head has been read. It must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, -1 if it is unknown.
	Length int64
	// Reused is set if the connection was used for an earlier request, so that the
	// response may be a late one to that request if nothing in it tells otherwise.
	Reused bool
	body   io.ReadCloser
	conn   *conn
	pool   *Pool
	// stop prevents the end of Send's context from closing the connection. It returns
	// false if the context has ended already.
	stop func() bool
	// complete reports whether the whole body has been read.
	complete bool
	// reusable reports whether the endpoint keeps the connection open.
	reusable bool
	// endsWithConnection reports whether only the end of the connection ends the body.
	endsWithConnection bool
	// upload is the writing of the request's body in the background, nil if it isn't written
	// in the background.
	upload *strict.Upload
	// borrowed is the memory that the response's event reader has of the account.
	borrowed int64
}

// Grow takes memory for reading the response until it is closed, and reports whether there was
// room.
func (r *Response) Grow(bytes int64) bool {
	account := r.pool.account
	if account == nil {
		return true
	}
	if !account.Borrow(bytes) {
		return false
	}
	r.borrowed += bytes
	return true
}

// giveBack returns the memory that Grow has taken.
func (r *Response) giveBack() {
	if r.borrowed > 0 {
		r.pool.account.Return(r.borrowed)
		r.borrowed = 0
	}
}

// Send sends a request to the endpoint at address and returns its response once the
// head has arrived. The connection is closed when ctx ends; nothing is sent if it has
// ended already. Matches reports whether a response belongs to the request; responses to
// other requests are skipped.
func (p *Pool) Send(ctx context.Context, address netip.AddrPort, request Request, matches func(status int, header http.Header) bool) (*Response, error) {
	c := p.takeIdle(address)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, err
		}
	}
	if err := ctx.Err(); err != nil {
		_ = c.Close()
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	r := &Response{conn: c, pool: p, Reused: !c.fresh}
	r.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := r.writeRequest(request); err != nil {
		r.abort()
		return nil, err
	}
	c.readingHead, c.headBytesLeft, c.headLinesLeft = true, maxHeadBytes, maxHeadLines
	for range maxStrayResponses + 1 {
		head, err := readHead(c.reader, request.Method)
		if err != nil {
			r.abort()
			if errors.Is(err, ErrTooManyBytes) {
				p.count(memory.ReasonEndpoint, address)
			}
			return nil, eris.Wrap(err, "can't read a response")
		}
		r.Status, r.Header, r.Length = head.status, head.header, head.length
		r.body, r.reusable, r.endsWithConnection = head.body, head.reusable, head.endsWithConnection
		if matches(r.Status, r.Header) {
			c.readingHead = false
			return r, nil
		}
		if _, err := io.Copy(io.Discard, r.body); err != nil || !r.reusable {
			break
		}
	}
	r.abort()
	return nil, eris.New("the response belongs to another request")
}

// count counts an endpoint that exceeded a limit.
func (p *Pool) count(reason memory.Reason, address netip.AddrPort) {
	if p.account != nil {
		p.account.Count(reason, zap.Stringer("endpoint", address))
	}
}

// writeRequest writes the request. A large body is written in the background.
func (r *Response) writeRequest(request Request) error {
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
		if n, err := io.WriteString(r.conn, head.String()); err != nil {
			return r.writeError(n, err)
		}
		r.upload = strict.NewUpload()
		go func() {
			_, err := r.conn.Write(request.Body)
			r.upload.Finish(err)
		}()
		return nil
	}
	n, err := r.conn.Write(append([]byte(head.String()), request.Body...))
	if err != nil {
		return r.writeError(n, err)
	}
	return nil
}

// writeError returns the error of Send after a write has failed with err after n
// bytes: ErrNotSent if n is zero and the connection is new.
func (r *Response) writeError(n int, err error) error {
	if n == 0 && r.conn.fresh {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	return eris.Wrap(err, "can't write the whole request")
}

// responseHead is the head of a response, with its unread body.
type responseHead struct {
	status int
	header http.Header
	length int64
	body   io.ReadCloser
	// reusable reports whether the connection stays open after the response.
	reusable bool
	// endsWithConnection reports whether the body has neither a length nor chunks.
	endsWithConnection bool
}

// readHead reads the head of the next response that isn't informational (1xx). It returns
// strict.ErrMalformedHead if that head or an informational one before it is malformed.
func readHead(reader *bufio.Reader, method string) (responseHead, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return responseHead{}, err
		}
		if err := strict.CheckHead(response.StatusCode, response.Header); err != nil {
			return responseHead{}, err
		}
		if response.StatusCode < http.StatusOK {
			response.Body.Close()
			continue
		}
		return responseHead{
			status: response.StatusCode, header: response.Header, length: response.ContentLength, body: response.Body,
			reusable:           !response.Close && response.ProtoAtLeast(1, 1),
			endsWithConnection: response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody,
		}, nil
	}
}

// Read reads the body. It returns io.EOF only if the body is complete. A body that ends with
// the connection is complete once the endpoint has received the request, since a write may
// have taken the error with which the connection has ended.
func (r *Response) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if r.endsWithConnection {
		if cause := r.awaitUpload(); cause != nil {
			return n, eris.Wrap(strict.ErrTruncated, cause.Error())
		}
	}
	r.complete = true
	return n, err
}

// awaitUpload waits until the endpoint has received the request. The end of Send's context
// closes the connection, which ends the wait.
func (r *Response) awaitUpload() error {
	if r.upload != nil {
		if err := r.upload.Wait(); err != nil {
			return err
		}
	}
	return strict.AwaitDelivery(r.conn)
}

// Close must be called when the response is no longer read. The connection returns to
// the pool if the whole body has been read and no bytes are left on the connection. If
// the response arrived before the whole request was written, the connection returns to
// the pool once the request has been written.
func (r *Response) Close() {
	r.giveBack()
	stopped := r.stop()
	if !r.complete || !r.reusable || !stopped || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	if r.upload == nil {
		r.returnToPool()
		return
	}
	if err := r.conn.SetWriteDeadline(time.Now().Add(lateWriteTimeout)); err != nil {
		_ = r.conn.Close()
		return
	}
	go func() {
		if r.upload.Wait() != nil {
			_ = r.conn.Close()
			return
		}
		r.returnToPool()
	}()
}

// returnToPool returns the connection to the pool.
func (r *Response) returnToPool() {
	idleTimeout := defaultIdleTimeout
	if _, text, ok := strings.Cut(r.Header.Get("Keep-Alive"), "timeout="); ok {
		text, _, _ = strings.Cut(text, ",")
		if seconds, err := strconv.Atoi(strings.TrimSpace(text)); err == nil {
			idleTimeout = time.Duration(float64(seconds) * idleTimeoutFraction * float64(time.Second))
		}
	}
	if err := r.conn.SetWriteDeadline(time.Time{}); err != nil {
		_ = r.conn.Close()
		return
	}
	r.conn.expires = time.Now().Add(idleTimeout)
	r.pool.putIdle(r.conn)
}

// abort closes the connection.
func (r *Response) abort() {
	r.stop()
	_ = r.conn.Close()
}

// Discard closes a response whose body isn't needed. It reads a short body, so that the
// connection can be reused.
func (r *Response) Discard() {
	if err := r.conn.SetReadDeadline(time.Now().Add(discardTimeout)); err == nil {
		var body io.Reader = r
		if r.endsWithConnection {
			// Read would wait for the upload, although the connection isn't reused.
			body = r.body
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(body, discardBytes))
		if err := r.conn.SetReadDeadline(time.Time{}); err != nil {
			r.complete = false
		}
	}
	r.Close()
}
