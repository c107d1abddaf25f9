// Package link opens yamux sessions between the processes of lentilstand and
// frames on their streams.
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

// Bounds of a session.
const (
	// DialTimeout bounds the opening of a connection.
	DialTimeout = time.Second
	// WriteTimeout bounds a write to a session whose other side takes nothing.
	WriteTimeout = 3 * time.Second
	// FirstFrameTimeout bounds the wait for a stream's first frame.
	FirstFrameTimeout = 2 * time.Second

	acceptBacklog = 1024
	windowBytes   = 256 << 10
)

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = WriteTimeout
	config.MaxStreamWindowSize = windowBytes
	config.StreamOpenTimeout = 0
	config.LogOutput = io.Discard
	return config
}

// Session is a connection to another process with many streams. Heartbeats are
// the business of those who use it.
type Session struct {
	session *yamux.Session
}

// ErrBlocked says that a Dialer is told not to reach an address.
var ErrBlocked = eris.New("the address is blocked")

// Dialer opens sessions. The zero value is ready to use. It can be told to reach
// some addresses no more, as a network that is cut does.
type Dialer struct {
	mu      sync.Mutex
	blocked map[string]bool
	open    map[*Session]string
}

// Block closes the sessions to the addresses and opens no more of them. It
// replaces what was blocked before.
func (d *Dialer) Block(addresses ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.blocked = make(map[string]bool)
	for _, address := range addresses {
		d.blocked[address] = true
	}
	for session, address := range d.open {
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

// track keeps a session for Block and forgets those that have ended.
func (d *Dialer) track(session *Session, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open == nil {
		d.open = make(map[*Session]string)
	}
	for other := range d.open {
		if other.session.IsClosed() {
			delete(d.open, other)
		}
	}
	d.open[session] = address
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
	d.track(session, address)
	return session, nil
}

func dial(ctx context.Context, address string) (*Session, error) {
	dialer := net.Dialer{Timeout: DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "can't open a session")
	}
	session, err := yamux.Client(SessionTraffic.CountConn(conn), sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, eris.Wrap(err, "can't open a session")
	}
	return &Session{session: session}, nil
}

// Accept makes a session of a connection that another process has opened.
func Accept(conn net.Conn) (*Session, error) {
	session, err := yamux.Server(SessionTraffic.CountConn(conn), sessionConfig())
	if err != nil {
		return nil, eris.Wrap(err, "can't accept a session")
	}
	return &Session{session: session}, nil
}

// Open opens a stream.
func (s *Session) Open() (*Stream, error) {
	stream, err := s.session.OpenStream()
	if err != nil {
		return nil, eris.Wrap(err, "can't open a stream")
	}
	return newStream(stream), nil
}

// Accept waits for a stream that the other side opens.
func (s *Session) Accept() (*Stream, error) {
	stream, err := s.session.AcceptStream()
	if err != nil {
		return nil, err
	}
	return newStream(stream), nil
}

// Closed returns a channel that is closed when the session has ended.
func (s *Session) Closed() <-chan struct{} { return s.session.CloseChan() }

// Close ends the session and all of its streams.
func (s *Session) Close() { _ = s.session.Close() }

// RemoteAddress returns the address of the other side.
func (s *Session) RemoteAddress() string { return s.session.RemoteAddr().String() }

// IsProtocolError reports whether an error of Accept means that the other side doesn't
// speak our protocol.
func IsProtocolError(err error) bool {
	return eris.Is(err, yamux.ErrInvalidVersion) || eris.Is(err, yamux.ErrInvalidMsgType)
}

// Stream is a stream of frames. Reads and writes may go on at the same time;
// there may be several writers and one reader.
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

// ErrTimeout says that a frame didn't come in time.
var ErrTimeout = eris.New("no frame came in time")

// ReadWithin returns the next frame and fails with ErrTimeout if it doesn't come
// in time.
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
	// A read that waits wouldn't notice a close from its own side.
	_ = s.stream.SetReadDeadline(time.Unix(1, 0))
}

// WindowBytes is how much of an answer may be on its way to an entry that has
// not taken it yet.
const WindowBytes = 32 << 10
