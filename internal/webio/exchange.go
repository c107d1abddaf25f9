package webio

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// ErrClientGone says that an answer can't be written, since the caller has
// closed its connection or reads nothing.
var ErrClientGone = eris.New("the caller has gone")

// Exchange is one request and its answer.
type Exchange struct {
	server   *Server
	response *nbhttp.Response
	request  *http.Request
	body     [][]byte
	conn     *connection
	ctx      context.Context
	answered bool
	stream   *Stream
}

// Request returns the request. Its body has been read already; see Body.
func (e *Exchange) Request() *http.Request { return e.request }

// Context returns a context that ends when the caller has gone.
func (e *Exchange) Context() context.Context { return e.ctx }

// Body returns a copy of the request's body.
func (e *Exchange) Body() []byte { return bytes.Join(e.body, nil) }

// closeAfter ends the connection after the answer.
func (e *Exchange) closeAfter() { e.request.Close = true }

// ReplyVerbatim answers with a whole body and exactly the given headers, beside those
// that frame the answer. The connection is kept unless the caller wants it closed
// or the server stops.
func (e *Exchange) ReplyVerbatim(status int, header http.Header, body []byte) error {
	e.answered = true
	if _, _, err := e.response.Hijack(); err != nil {
		return eris.Wrap(err, "can't take over the connection")
	}
	header = header.Clone()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	closing := e.frame(header)
	head, err := encodeHead(status, header)
	if err != nil {
		return err
	}
	if e.request.Method != http.MethodHead {
		head = append(head, body...)
	}
	_, err = deadlineWriter{conn: e.conn}.Write(head)
	if closing || err != nil {
		_ = e.conn.Close()
	}
	return err
}

// frame says in the header whether the connection ends after the answer, and
// reports it.
func (e *Exchange) frame(header http.Header) (closing bool) {
	closing = e.request.Close || e.server.isClosing()
	if closing {
		header.Set("Connection", "close")
	}
	return closing
}

func encodeHead(status int, header http.Header) ([]byte, error) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if err := header.Write(&head); err != nil {
		return nil, eris.Wrap(err, "can't write a header")
	}
	head.WriteString("\r\n")
	return head.Bytes(), nil
}

// Abort ends the connection without an answer, or without the end of one.
func (e *Exchange) Abort() {
	e.answered = true
	if _, _, err := e.response.Hijack(); err != nil {
		e.closeAfter()
	}
	_ = e.conn.Close()
}

// Reply answers with a whole body.
func (e *Exchange) Reply(status int, header http.Header, body []byte) {
	if e.answered {
		return
	}
	e.answered = true
	target := e.response.Header()
	for name, values := range header {
		target[name] = values
	}
	_ = e.conn.SetWriteDeadline(time.Now().Add(WriteTimeout))
	e.response.WriteHeader(status)
	if len(body) > 0 && e.request.Method != http.MethodHead {
		_, _ = e.response.Write(body)
	}
}

// ServeHTTP answers by a standard handler that writes a whole body.
func (e *Exchange) ServeHTTP(handler http.Handler) {
	e.answered = true
	_ = e.conn.SetWriteDeadline(time.Now().Add(WriteTimeout))
	handler.ServeHTTP(e.response, e.request)
}

// StartStream answers with a body that comes piece by piece. The caller must
// Close or Abort the stream. The connection ends with the stream.
func (e *Exchange) StartStream(status int, header http.Header) (*Stream, error) {
	e.closeAfter()
	stream, err := e.StartKeepAliveStream(status, header)
	if err != nil {
		return nil, err
	}
	return stream, stream.Flush()
}

// StartKeepAliveStream is like StartStream, and keeps the connection after a stream that
// ended cleanly.
func (e *Exchange) StartKeepAliveStream(status int, header http.Header) (*Stream, error) {
	e.answered = true
	if _, _, err := e.response.Hijack(); err != nil {
		return nil, eris.Wrap(err, "can't take over the connection")
	}
	header = header.Clone()
	header.Del("Content-Length")
	header.Set("Transfer-Encoding", "chunked")
	closing := e.frame(header)
	head, err := encodeHead(status, header)
	if err != nil {
		return nil, err
	}
	buffer := bufio.NewWriterSize(deadlineWriter{conn: e.conn}, streamBufferBytes)
	stream := &Stream{conn: e.conn, buffer: buffer, chunks: httputil.NewChunkedWriter(buffer), closing: closing}
	e.stream = stream
	// The head leaves with the first piece.
	if _, err := buffer.Write(head); err != nil {
		_ = e.conn.Close()
		return nil, err
	}
	return stream, nil
}

// Flush sends a stream's head without a piece.
func (s *Stream) Flush() error { return s.buffer.Flush() }

// panicked ends an exchange whose handler panicked.
func (e *Exchange) panicked() {
	if e.stream != nil {
		e.stream.Abort()
		return
	}
	e.closeAfter()
	e.Reply(http.StatusInternalServerError, nil, nil)
}

// deadlineWriter writes to a connection and gives each write its time.
type deadlineWriter struct {
	conn *connection
}

func (w deadlineWriter) Write(data []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(WriteTimeout))
	n, err := w.conn.Write(data)
	if err != nil {
		return n, eris.Wrap(ErrClientGone, err.Error())
	}
	return n, nil
}

// Stream is an answer that is written piece by piece. Only a clean end is marked
// in its framing, so that a caller can always tell a whole answer from a broken
// one.
type Stream struct {
	conn    *connection
	buffer  *bufio.Writer
	chunks  io.WriteCloser
	closing bool
}

// streamBufferBytes is large enough to send a token's chunk in one write.
const streamBufferBytes = 2 << 10

// Write writes a piece and waits until the connection has taken it. It fails
// with ErrCallerGone.
func (s *Stream) Write(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	n, err := s.chunks.Write(data)
	if err != nil {
		return n, err
	}
	return n, s.buffer.Flush()
}

// Close ends the answer cleanly.
func (s *Stream) Close() error {
	err := s.end()
	if s.closing || err != nil {
		s.Abort()
	}
	return err
}

func (s *Stream) end() error {
	if err := s.chunks.Close(); err != nil {
		return err
	}
	if _, err := s.buffer.WriteString("\r\n"); err != nil {
		return err
	}
	return s.buffer.Flush()
}

// UnackedBytes returns how many bytes the caller's side hasn't acknowledged yet, zero
// if the connection has ended.
func (s *Stream) UnackedBytes() int {
	raw, err := s.conn.SyscallConn()
	if err != nil {
		return 0
	}
	pending := 0
	err = raw.Control(func(fd uintptr) {
		pending, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	if err != nil {
		return 0
	}
	return pending
}

// Abort ends the connection without the end of the answer.
func (s *Stream) Abort() { _ = s.conn.Close() }
