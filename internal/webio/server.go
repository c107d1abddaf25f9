// Package webio is the HTTP server for clients. It uses the parser and the responses
// of nbhttp and adds what a load balancer needs beyond nbhttp: limits on headers and
// bodies with proper error responses, detection of clients that disconnect while
// their request is being handled, and writes that block on a slow reader and time out
// on a dead one.
//
// Each connection has one goroutine with blocking reads and writes, so a slow reader
// takes up no more memory than its socket buffer and the response that is being written. The
// account of the process (internal/memory) limits what all connections hold together.
package webio

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/memory"
)

// Limits and timeouts of a connection.
const (
	// MaxHeaderBytes limits the size of a request's header.
	MaxHeaderBytes = 32 << 10
	// MaxBodyBytes limits the size of a request's body.
	MaxBodyBytes = 4 << 20
	// smallBodyBytes is the size up to which a body doesn't count among the large ones, whose
	// sizes the account limits in sum.
	smallBodyBytes = 64 << 10
	// IdleTimeout limits the time that a connection waits for its next request.
	IdleTimeout = 60 * time.Second
	// ReadTimeout limits the time to receive a request.
	ReadTimeout = 30 * time.Second
	// WriteTimeout limits each write of a response. It is exceeded if the client reads
	// nothing for that long.
	WriteTimeout = 30 * time.Second

	// readBufferBytes is the size of the buffer that a connection is read into.
	readBufferBytes = 8 << 10
	// maxAheadBytes limits what is read of further requests while one is handled.
	maxAheadBytes = readBufferBytes
	// writeBufferBytes is the size of the socket's send buffer.
	writeBufferBytes = 32 << 10
	// lingerTimeout limits the time to write a rejection, and the time for which nothing
	// arrives of what the client still sends after it.
	lingerTimeout = 500 * time.Millisecond
	// maxLinger limits the time to discard what the client still sends.
	maxLinger = 3 * time.Second
	// lingerBytes limits the bytes that are discarded. A client that sends a body slightly
	// above MaxBodyBytes sends all of it before it reads the rejection.
	lingerBytes = 2 * MaxBodyBytes
	// shutdownGrace is how long a server that shuts down still accepts connections that
	// are queued by the kernel, and waits for the first byte of a request on connections
	// without one. A request that arrived before the shutdown is read within that time.
	shutdownGrace = 100 * time.Millisecond
)

// keepAlive makes the kernel detect within 30 s a client that has disappeared without
// closing its connection.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     10 * time.Second,
	Interval: 5 * time.Second,
	Count:    3,
}

// Handler responds to requests.
type Handler interface {
	// ServeExchange responds to a request. It must send the whole response before it
	// returns.
	ServeExchange(exchange *Exchange)
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(exchange *Exchange)

// ServeExchange calls f.
func (f HandlerFunc) ServeExchange(exchange *Exchange) { f(exchange) }

// Server accepts connections and passes their requests to a Handler. Use NewServer.
type Server struct {
	handler Handler
	logger  *zap.Logger
	engine  *nbhttp.Engine
	account *memory.Account

	mu                 sync.Mutex
	listener           *net.TCPListener
	conns              map[*clientConn]bool
	stopping           bool
	closed             bool
	keepAlivesDisabled bool
	// wait counts the goroutines that accept or serve connections.
	wait sync.WaitGroup
}

// Option changes a server.
type Option func(*Server)

// WithAccount makes a server share the account of its process. A server without one has an
// account of its own with default limits.
func WithAccount(account *memory.Account) Option {
	return func(s *Server) { s.account = account }
}

// NewServer returns a server that isn't listening yet.
func NewServer(handler Handler, logger *zap.Logger, options ...Option) *Server {
	logging.SetLevel(logging.LevelNone)
	s := &Server{handler: handler, logger: logger, conns: make(map[*clientConn]bool)}
	for _, option := range options {
		option(s)
	}
	if s.account == nil {
		s.account = memory.New(0, 0)
	}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Handler:         http.HandlerFunc(s.handleRequest),
		ReadLimit:       MaxHeaderBytes + MaxBodyBytes + readBufferBytes,
		MaxHTTPBodySize: MaxBodyBytes,
		KeepaliveTime:   IdleTimeout,
		// The engine is never started, so it needs no goroutine pools.
		SupportServerOnly: true,
		ServerExecutor:    func(run func()) { run() },
	})
	return s
}

// Listen starts to accept connections at address, an IP address and port.
func (s *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "can't listen on %s", address)
	}
	s.Serve(listener.(*net.TCPListener))
	return nil
}

// Serve starts to accept connections from listener.
func (s *Server) Serve(listener *net.TCPListener) {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	s.wait.Add(1)
	go s.accept(listener)
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// acceptRetryDelay is the delay after a failed accept, such as for lack of file
// descriptors.
const acceptRetryDelay = 10 * time.Millisecond

func (s *Server) accept(listener *net.TCPListener) {
	defer s.wait.Done()
	for {
		conn, err := listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// The server shuts down, and has accepted what was queued.
			_ = listener.Close()
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		// The account is asked before the next connection is accepted, since a burst could
		// otherwise take any number of descriptors.
		c := newClientConn(conn)
		if !s.open(c) {
			_ = c.Close()
			continue
		}
		s.wait.Add(1)
		go s.serveConn(c)
	}
}

// open adds a connection to the account, and reports whether there was room.
func (s *Server) open(c *clientConn) bool {
	c.holder = s.account.Open(connBytes, c.evict)
	return c.holder != nil
}

// track adds a connection unless the server has closed its connections, and reports
// whether it did.
func (s *Server) track(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = true
	if s.stopping {
		c.drain()
	}
	return true
}

func (s *Server) untrack(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// serveConn reads requests from a connection until it ends.
func (s *Server) serveConn(c *clientConn) {
	defer s.wait.Done()
	// The descriptor is free before the account counts it as free.
	defer c.holder.Close()
	defer func() { _ = c.Close() }()
	if !s.track(c) {
		return
	}
	defer s.untrack(c)
	processor := newProcessor(c, s.engine)
	defer processor.release()
	buffer := make([]byte, readBufferBytes)
	for {
		c.setNextReadDeadline(processor)
		n, err := c.Read(buffer)
		if err != nil {
			s.endEvicted(c, processor)
			return
		}
		c.holder.Received(n)
		// After its first byte a request isn't interrupted by Shutdown.
		c.setActive(true)
		rejection, err := processor.process(buffer[:n])
		c.setActive(processor.inRequest())
		switch {
		case rejection != nil:
			processor.release()
			s.rejectRequest(c, rejection, buffer)
			return
		case err != nil:
			s.endEvicted(c, processor)
			return
		case c.isClosed():
			// A response that began before a shutdown keeps the connection open, and the next
			// request may be under way already.
			return
		}
	}
}

// endEvicted tells the client of an evicted connection to retry if the head of its request is
// complete.
func (s *Server) endEvicted(c *clientConn, processor *processor) {
	complete := processor.inBody
	processor.release()
	if c.holder.IsEvicted() && complete {
		c.writeRejection(noMemory(errNoMemory.Error()))
	}
}

// rejectRequest counts and sends a rejection. The connection must be closed afterwards. Buffer
// is for what the client still sends.
func (s *Server) rejectRequest(c *clientConn, rejection *rejection, buffer []byte) {
	c.holder.SetState(memory.Closing)
	if rejection.reason != "" {
		s.account.Count(rejection.reason,
			zap.String("caller", c.RemoteAddr().String()),
			zap.String("message", rejection.message))
	}
	c.writeRejection(rejection)
	c.linger(buffer)
}

// handleRequest handles a complete request. It is called by nbhttp.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	response := w.(*nbhttp.Response)
	c := response.Parser.Conn.(*clientConn)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	exchange := &Exchange{server: s, response: response, request: r, conn: c, ctx: ctx}
	if processor, ok := response.Parser.Processor.(*processor); ok {
		exchange.body = processor.body
	}
	stop := c.watchDisconnect(cancel)
	defer stop()
	defer s.recoverPanic(exchange)
	if s.connsMustClose() {
		exchange.closeAfterReply()
	}
	s.handler.ServeExchange(exchange)
}

func (s *Server) recoverPanic(exchange *Exchange) {
	if cause := recover(); cause != nil {
		event.HandlerPanicked.Log(s.logger, zap.Any("cause", cause), zap.Stack("stack"))
		exchange.handlePanic()
	}
}

// connsMustClose reports whether connections close after their next response.
func (s *Server) connsMustClose() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keepAlivesDisabled || s.stopping
}

// DisableKeepAlives makes each connection close after its next response, so that
// clients move to other servers. New connections are still accepted, for clients that
// don't know yet that the server is leaving.
func (s *Server) DisableKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAlivesDisabled = true
}

// Shutdown stops accepting connections, except those that the kernel has queued already,
// waits for requests in progress until ctx ends, and then closes the remaining
// connections. It returns their number.
func (s *Server) Shutdown(ctx context.Context) int {
	s.mu.Lock()
	s.stopping = true
	if s.listener != nil {
		_ = s.listener.SetDeadline(time.Now().Add(shutdownGrace))
	}
	for c := range s.conns {
		c.drain()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
		return 0
	case <-ctx.Done():
	}
	left := s.closeAll()
	<-done
	return left
}

func (s *Server) closeAll() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
	return len(s.conns)
}
