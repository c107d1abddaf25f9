package link

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/frame"
	"github.com/lentilstand/lentilstand/internal/wirepb"
)

// acceptRetryDelay is the delay before accepting again after an error.
const acceptRetryDelay = 10 * time.Millisecond

// StreamHandler serves one stream whose first frame has been read. The stream
// is closed when it returns.
type StreamHandler func(session *Session, stream *Stream, first *wirepb.Frame)

// Server accepts sessions and calls a handler for each of their streams. Create
// it with Listen.
type Server struct {
	listener net.Listener
	handler  StreamHandler
	logger   *zap.Logger
	wg       sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	sessions map[*Session]bool
}

// Listen starts to accept sessions at address, an IP address and port.
func Listen(address string, handler StreamHandler, logger *zap.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot listen on %s", address)
	}
	s := &Server{
		listener: listener,
		handler:  handler,
		logger:   logger,
		sessions: make(map[*Session]bool),
	}
	s.wg.Add(1)
	go s.accept()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all sessions and waits for their handlers to
// return.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for session := range s.sessions {
		session.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.wg.Add(1)
		go s.serveConn(conn)
	}
}

// addSession records a session for Close. It returns false if the server is
// closed.
func (s *Server) addSession(session *Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = true
	return true
}

func (s *Server) removeSession(session *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.wg.Done()
	session, err := Accept(conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	defer session.Close()
	if !s.addSession(session) {
		return
	}
	defer s.removeSession(session)
	for {
		stream, err := session.Accept()
		if err != nil {
			if IsProtocolError(err) {
				event.SessionRefused.Log(s.logger, zap.String("peer", session.RemoteAddress()), event.Error(err))
			}
			return
		}
		s.wg.Add(1)
		go s.serveStream(session, stream)
	}
}

func (s *Server) serveStream(session *Session, stream *Stream) {
	defer s.wg.Done()
	defer stream.Close()
	first, err := stream.ReadWithin(FirstFrameTimeout)
	if errors.Is(err, frame.ErrTooLarge) || errors.Is(err, frame.ErrMalformed) {
		event.FrameRefused.Log(s.logger, zap.String("peer", session.RemoteAddress()), event.Error(err))
	}
	if err != nil {
		return
	}
	s.handler(session, stream, first)
}
