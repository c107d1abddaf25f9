// Package webio serves HTTP to callers. It parses and answers with nbhttp and
// owns what nbhttp leaves open for a balancer: bounds on headers and bodies with
// a clear answer, notice of a caller who has gone while its request still runs,
// and writes that wait for a slow reader and fail for a dead one.
//
// Each connection has one goroutine with blocking reads and writes, so a slow
// reader holds no more than its socket buffer.
package webio

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
)

// The bounds of a connection.
const (
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes = 32 << 10
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 4 << 20
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout = 60 * time.Second
	// ReadTimeout is how long a request may take to arrive.
	ReadTimeout = 30 * time.Second
	// WriteTimeout is how long a caller may take nothing of its answer.
	WriteTimeout = 30 * time.Second

	readBufferBytes  = 8 << 10
	writeBufferBytes = 32 << 10
	lingerTime       = 500 * time.Millisecond
	lingerBytes      = 1 << 20
)

// keepAlive makes the kernel find a caller that vanished without a word within
// half a minute.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     10 * time.Second,
	Interval: 5 * time.Second,
	Count:    3,
}

// Handler answers requests.
type Handler interface {
	// ServeExchange answers one request. It must reply before it returns.
	ServeExchange(exchange *Exchange)
}

// HandlerFunc is a function as a Handler.
type HandlerFunc func(exchange *Exchange)

// ServeExchange calls f.
func (f HandlerFunc) ServeExchange(exchange *Exchange) { f(exchange) }

// Server accepts connections and hands their requests to a Handler. Use
// NewServer.
type Server struct {
	handler Handler
	logger  *zap.Logger
	engine  *nbhttp.Engine

	mu       sync.Mutex
	listener *net.TCPListener
	conns    map[*connection]bool
	stopping bool
	closing  bool
	wait     sync.WaitGroup
}

// NewServer returns a server that isn't listening yet.
func NewServer(handler Handler, logger *zap.Logger) *Server {
	logging.SetLevel(logging.LevelNone)
	s := &Server{handler: handler, logger: logger, conns: make(map[*connection]bool)}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Handler:         http.HandlerFunc(s.serve),
		ReadLimit:       MaxHeaderBytes + MaxBodyBytes + readBufferBytes,
		MaxHTTPBodySize: MaxBodyBytes,
		KeepaliveTime:   IdleTimeout,
		// The engine never runs by itself, so it needs no pools of goroutines.
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

// acceptPause is how long accepting rests after an error such as a lack of
// file descriptors.
const acceptPause = 10 * time.Millisecond

func (s *Server) accept(listener *net.TCPListener) {
	defer s.wait.Done()
	for {
		conn, err := listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		s.wait.Add(1)
		go s.serveConn(newConnection(conn))
	}
}

func (s *Server) track(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) forget(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// serveConn reads requests from a connection until it ends.
func (s *Server) serveConn(c *connection) {
	defer s.wait.Done()
	defer func() { _ = c.Close() }()
	if !s.track(c) {
		return
	}
	defer s.forget(c)
	processor := newProcessor(c)
	parser := nbhttp.NewParser(c, s.engine, processor, false, nil)
	defer parser.CloseAndClean(nil)
	buffer := make([]byte, readBufferBytes)
	for {
		c.setReadDeadline(processor)
		n, err := c.Read(buffer)
		if err != nil {
			return
		}
		processor.received(n)
		// From its first byte on a request is not cut off by a stop.
		c.setActive(true)
		err = parser.Parse(buffer[:n])
		c.setActive(processor.inRequest())
		if refusal := processor.refusal(err); refusal != nil {
			s.refuse(c, refusal)
			return
		}
		// A server that stops keeps no connection between two requests.
		if c.ended() || (s.isStopping() && !processor.inRequest()) {
			return
		}
	}
}

// refuse answers a request that can't be taken and closes the connection.
func (s *Server) refuse(c *connection, refusal *refusal) {
	refusal.event.Log(s.logger,
		zap.String("caller", c.RemoteAddr().String()),
		zap.String("reason", refusal.message))
	c.refuse(refusal)
	c.linger()
}

// serve is called by nbhttp with a whole request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	response := w.(*nbhttp.Response)
	c := response.Parser.Conn.(*connection)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	exchange := &Exchange{server: s, response: response, request: r, conn: c, ctx: ctx}
	if body, ok := r.Body.(*nbhttp.BodyReader); ok {
		exchange.body = body.RawBodyBuffers()
	}
	stop := c.watch(cancel)
	defer stop()
	defer s.recoverPanic(exchange)
	if s.isClosing() {
		exchange.closeAfter()
	}
	s.handler.ServeExchange(exchange)
}

func (s *Server) recoverPanic(exchange *Exchange) {
	if cause := recover(); cause != nil {
		event.HandlerPanicked.Log(s.logger, zap.Any("cause", cause), zap.Stack("stack"))
		exchange.panicked()
	}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// isClosing reports whether connections end after their next answer.
func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing || s.stopping
}

// DisableKeepAlives makes callers leave: each connection ends after its next answer. New
// ones are still accepted, for callers that haven't heard yet.
func (s *Server) DisableKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

// Shutdown stops accepting, lets running requests finish until ctx ends, and
// then closes what is left. It returns how many connections it cut off.
func (s *Server) Shutdown(ctx context.Context) int {
	s.mu.Lock()
	s.stopping = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		c.leave()
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
	for c := range s.conns {
		_ = c.Close()
	}
	return len(s.conns)
}
