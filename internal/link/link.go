// Package link provides yamux sessions between the processes of lentilstand,
// with streams that carry protobuf frames.
package link

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	"github.com/lentilstand/lentilstand/internal/frame"
	"github.com/lentilstand/lentilstand/internal/wirepb"
)

// Limits of a session.
const (
	// DialTimeout limits how long establishing a connection may take.
	DialTimeout = time.Second
	// WriteTimeout limits how long a write to a session may block on a peer that
	// does not read.
	WriteTimeout = 3 * time.Second
	// FirstFrameTimeout limits how long a server waits for a stream's first frame.
	FirstFrameTimeout = 2 * time.Second

	streamBacklog  = 1024
	muxWindowBytes = 256 << 10
)

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = streamBacklog
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = WriteTimeout
	config.MaxStreamWindowSize = muxWindowBytes
	config.StreamOpenTimeout = 0
	config.LogOutput = io.Discard
	return config
}

// Session is a connection to another process that multiplexes streams. It sends
// no keep-alives: callers run heartbeats on its streams.
type Session struct {
	mux *yamux.Session
}

// ErrBlocked is returned by Dial for an address that Block has blocked.
var ErrBlocked = eris.New("the address is blocked")

// Dialer opens sessions. The zero value is ready to use. Block simulates a
// network partition.
type Dialer struct {
	mu       sync.Mutex
	blocked  map[string]bool
	sessions map[*Session]string
}

// Block closes the sessions to addresses and refuses to open new ones. It
// replaces the addresses blocked by an earlier call.
func (d *Dialer) Block(addresses ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.blocked = make(map[string]bool)
	for _, address := range addresses {
		d.blocked[address] = true
	}
	for session, address := range d.sessions {
		if d.blocked[address] {
			session.Close()
		}
	}
}

func (d *Dialer) isBlocked(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.blocked[address]
}

// addSession records a session for Block and removes sessions that have ended. It returns
// false if the address was blocked while the session was opened.
func (d *Dialer) addSession(session *Session, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.blocked[address] {
		return false
	}
	if d.sessions == nil {
		d.sessions = make(map[*Session]string)
	}
	for s := range d.sessions {
		if s.mux.IsClosed() {
			delete(d.sessions, s)
		}
	}
	d.sessions[session] = address
	return true
}

// Dial opens a session to address, an IP address and port.
func (d *Dialer) Dial(ctx context.Context, address string) (*Session, error) {
	if d.isBlocked(address) {
		return nil, ErrBlocked
	}
	session, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if !d.addSession(session, address) {
		session.Close()
		return nil, ErrBlocked
	}
	return session, nil
}

func dial(ctx context.Context, address string) (*Session, error) {
	dialer := net.Dialer{Timeout: DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "cannot open a session")
	}
	session, err := yamux.Client(SessionTraffic.CountConn(conn), sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, eris.Wrap(err, "cannot open a session")
	}
	return &Session{mux: session}, nil
}

// Accept returns the server side of a session on a connection that another
// process has opened.
func Accept(conn net.Conn) (*Session, error) {
	session, err := yamux.Server(SessionTraffic.CountConn(conn), sessionConfig())
	if err != nil {
		return nil, eris.Wrap(err, "cannot accept a session")
	}
	return &Session{mux: session}, nil
}

// Open opens a stream.
func (s *Session) Open() (*Stream, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, eris.Wrap(err, "cannot open a stream")
	}
	return newStream(stream), nil
}

// Accept waits for a stream that the peer opens.
func (s *Session) Accept() (*Stream, error) {
	stream, err := s.mux.AcceptStream()
	if err != nil {
		return nil, err
	}
	return newStream(stream), nil
}

// Closed returns a channel that is closed when the session has ended.
func (s *Session) Closed() <-chan struct{} { return s.mux.CloseChan() }

// Close ends the session and all of its streams.
func (s *Session) Close() { _ = s.mux.Close() }

// RemoteAddress returns the address of the peer.
func (s *Session) RemoteAddress() string { return s.mux.RemoteAddr().String() }

// IsProtocolError reports whether an error of Session.Accept means that the peer
// does not speak yamux.
func IsProtocolError(err error) bool {
	return eris.Is(err, yamux.ErrInvalidVersion) || eris.Is(err, yamux.ErrInvalidMsgType)
}

// Stream is a bidirectional stream of frames. It may be read and written
// concurrently, by one reader and any number of writers.
type Stream struct {
	stream *yamux.Stream
	writer *frame.Writer
	reader *frame.Reader
}

func newStream(stream *yamux.Stream) *Stream {
	return &Stream{stream: stream, writer: frame.NewWriter(stream), reader: frame.NewReader(stream)}
}

// Write writes a frame.
func (s *Stream) Write(message *wirepb.Frame) error { return s.writer.Write(message) }

// Read returns the next frame.
func (s *Stream) Read() (*wirepb.Frame, error) { return s.reader.Read() }

// ErrTimeout is returned by ReadWithin if no frame arrives in time.
var ErrTimeout = eris.New("no frame arrived in time")

// ReadWithin returns the next frame. It fails with ErrTimeout if the frame does
// not arrive within timeout.
func (s *Stream) ReadWithin(timeout time.Duration) (*wirepb.Frame, error) {
	_ = s.stream.SetReadDeadline(time.Now().Add(timeout))
	message, err := s.reader.Read()
	_ = s.stream.SetReadDeadline(time.Time{})
	if eris.Is(err, yamux.ErrTimeout) {
		return nil, ErrTimeout
	}
	return message, err
}

// Close ends the stream in both directions.
func (s *Stream) Close() {
	_ = s.stream.Close()
	// yamux does not wake a blocked read when its own side closes the stream; an
	// expired read deadline does.
	_ = s.stream.SetReadDeadline(time.Unix(1, 0))
}

// WindowBytes is the flow-control window of a response: the maximum number of
// bytes sent to an entry that it has not acknowledged.
const WindowBytes = 32 << 10
