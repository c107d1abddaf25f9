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
	"github.com/lentilstand/lentilstand/internal/memory"
	"github.com/lentilstand/lentilstand/internal/wirepb"
)

const (
	// acceptRetryDelay is the delay before accepting again after an error.
	acceptRetryDelay = 10 * time.Millisecond
	// sessionBytes is the estimated memory of a session: its queues, buffers and goroutines.
	sessionBytes = 48 << 10
	// streamBytes is the estimated memory of a stream: its buffers, goroutine and unread bytes. A
	// stranger's stream may fill its window.
	streamBytes         = 32 << 10
	strangerStreamBytes = muxWindowBytes
	// sessionShare is the part of the connections from outside that may be sessions with valid
	// frames, so that they leave room for clients. Others are evicted when room is short.
	sessionShare = 2
)

// StreamHandler serves one stream whose first frame has been read. The stream
// is closed when it returns.
type StreamHandler func(session *Session, stream *Stream, first *wirepb.Frame)

// Server accepts sessions and calls a handler for each of their streams. Create
// it with Listen.
type Server struct {
	listener net.Listener
	handler  StreamHandler
	logger   *zap.Logger
	account  *memory.Account
	wg       sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	sessions map[*Session]bool
	// established is the number of sessions that have had a valid frame.
	established int
}

// Option changes a server.
type Option func(*Server)

// WithAccount makes a server share the account of its process. A server without one has an
// account of its own with default limits.
func WithAccount(account *memory.Account) Option {
	return func(s *Server) { s.account = account }
}

// Listen starts to accept sessions at address, an IP address and port.
func Listen(address string, handler StreamHandler, logger *zap.Logger, options ...Option) (*Server, error) {
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
	for _, option := range options {
		option(s)
	}
	if s.account == nil {
		s.account = memory.New(0, 0)
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
		// The account is asked before the next connection is accepted, since a burst could
		// otherwise take any number of descriptors.
		holder := s.account.Open(sessionBytes, func() { _ = conn.Close() })
		if holder == nil {
			_ = conn.Close()
			continue
		}
		s.wg.Add(1)
		go s.serveConn(conn, holder)
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

// served is a session with what it holds of the account.
type served struct {
	*Session
	holder *memory.Holder

	mu sync.Mutex
	// established reports whether the session has had a valid frame, ended whether it has ended.
	established, ended bool
	// active is the number of streams whose first frame was valid.
	active int
}

// activate changes the number of active streams. A session that has any isn't evicted.
func (s *served) activate(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active += change; s.active > 0 {
		s.holder.SetState(memory.Handling)
	} else {
		s.holder.SetState(memory.Idle)
	}
}

// establish counts a session that has had a valid frame, and reports whether the server may have
// one more.
func (s *Server) establish(session *served) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	session.mu.Lock()
	defer session.mu.Unlock()
	if session.established {
		return true
	}
	if session.ended || s.established >= s.account.Conns()/sessionShare {
		return false
	}
	session.established = true
	s.established++
	return true
}

// forget ends the count of a session.
func (s *Server) forget(session *served) {
	s.mu.Lock()
	defer s.mu.Unlock()
	session.mu.Lock()
	defer session.mu.Unlock()
	session.ended = true
	if session.established {
		s.established--
	}
}

func (s *Server) serveConn(conn net.Conn, holder *memory.Holder) {
	defer s.wg.Done()
	defer holder.Close()
	defer func() { _ = conn.Close() }()
	accepted, err := Accept(conn)
	if err != nil {
		return
	}
	session := &served{Session: accepted, holder: holder}
	defer session.Close()
	if !s.addSession(accepted) {
		return
	}
	defer s.removeSession(accepted)
	defer s.forget(session)
	for {
		stream, err := session.Accept()
		if err != nil {
			if IsProtocolError(err) {
				s.account.Count(memory.ReasonSession, zap.String("peer", session.RemoteAddress()), event.Error(err))
			}
			return
		}
		s.wg.Add(1)
		go s.serveStream(session, stream)
	}
}

func (s *Server) serveStream(session *served, stream *Stream) {
	defer s.wg.Done()
	defer stream.Close()
	first, err := s.readFirst(session, stream)
	if err != nil {
		// The unread bytes of a stream stay in memory until its peer closes it.
		session.closeStranger()
		return
	}
	defer session.holder.Shrink(streamBytes)
	defer stream.reader.Release()
	if !s.establish(session) {
		s.account.Count(memory.ReasonDescriptors, zap.String("peer", session.RemoteAddress()))
		session.Close()
		return
	}
	session.activate(1)
	defer session.activate(-1)
	s.handler(session.Session, stream, first)
}

// readFirst reads the first frame of a stream. If it is valid, the stream has streamBytes of the
// account.
func (s *Server) readFirst(session *served, stream *Stream) (*wirepb.Frame, error) {
	if !session.holder.Grow(strangerStreamBytes) {
		return nil, frame.ErrNoRoom
	}
	stream.reader.SetRoom(session.holder)
	first, err := stream.ReadWithin(FirstFrameTimeout)
	if err != nil {
		if errors.Is(err, frame.ErrTooLarge) || errors.Is(err, frame.ErrMalformed) {
			s.account.Count(memory.ReasonFrame, zap.String("peer", session.RemoteAddress()), event.Error(err))
		}
		stream.reader.Release()
		session.holder.Shrink(strangerStreamBytes)
		return nil, err
	}
	session.holder.Shrink(strangerStreamBytes - streamBytes)
	return first, nil
}

// closeStranger closes a session that has had no valid frame.
func (s *served) closeStranger() {
	s.mu.Lock()
	established := s.established
	s.mu.Unlock()
	if !established {
		s.Close()
	}
}
