package webio

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/lentilstand/lentilstand/internal/memory"
)

// ErrClientGone is returned if a response can't be written because the client has
// closed its connection or has read nothing for WriteTimeout.
var ErrClientGone = eris.New("the caller has gone")

// Exchange is a request and its response.
type Exchange struct {
	server   *Server
	response *nbhttp.Response
	request  *http.Request
	body     []byte
	conn     *clientConn
	ctx      context.Context
	// replied reports whether a response has been started or given up.
	replied bool
	stream  *Stream
}

// Request returns the request. Its body has already been read; use Body.
func (e *Exchange) Request() *http.Request { return e.request }

// Context returns a context that is canceled when the client disconnects.
func (e *Exchange) Context() context.Context { return e.ctx }

// Body returns the request's body, which must not be modified.
func (e *Exchange) Body() []byte { return e.body }

// closeAfterReply makes the connection close after the response.
func (e *Exchange) closeAfterReply() { e.request.Close = true }

// ReplyVerbatim responds with a complete body and exactly the given headers, apart
// from Content-Length and Connection. The connection stays open unless the client
// requested to close it or the server closes connections.
func (e *Exchange) ReplyVerbatim(status int, header http.Header, body []byte) error {
	e.replied = true
	if _, _, err := e.response.Hijack(); err != nil {
		return eris.Wrap(err, "can't take over the connection")
	}
	header = header.Clone()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	closing := e.setConnectionHeader(header)
	head, err := encodeHead(status, header)
	if err != nil {
		return err
	}
	// The body isn't copied behind the head, since a client may take long to read it.
	message := net.Buffers{head}
	if e.request.Method != http.MethodHead {
		message = append(message, body)
		e.conn.holder.Charge(int64(len(body)))
	}
	err = deadlineWriter{conn: e.conn}.writeAll(&message)
	if closing || err != nil {
		_ = e.conn.Close()
	}
	return err
}

// setConnectionHeader sets Connection: close if the connection closes after the
// response, and reports whether it does.
func (e *Exchange) setConnectionHeader(header http.Header) (closing bool) {
	closing = e.request.Close || e.server.connsMustClose()
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

// Abort closes the connection without a response or in the middle of one.
func (e *Exchange) Abort() {
	e.replied = true
	if _, _, err := e.response.Hijack(); err != nil {
		e.closeAfterReply()
	}
	_ = e.conn.Close()
}

// Reply responds with a complete body, and with the headers that every response of the
// server's own has. It does nothing if a response has already been started.
func (e *Exchange) Reply(status int, header http.Header, body []byte) {
	if e.replied {
		return
	}
	complete := http.Header{"Date": {time.Now().UTC().Format(http.TimeFormat)}}
	if len(body) > 0 {
		complete.Set("Content-Type", "text/plain; charset=utf-8")
	}
	maps.Copy(complete, header)
	// The caller of Reply has nothing to do about a client that has gone.
	_ = e.ReplyVerbatim(status, complete, body)
}

// ServeHTTP responds by a standard handler that writes a complete body.
func (e *Exchange) ServeHTTP(handler http.Handler) {
	recorded := &recorder{header: make(http.Header), status: http.StatusOK}
	handler.ServeHTTP(recorded, e.request)
	e.Reply(recorded.status, recorded.header, recorded.body.Bytes())
}

// recorder is an http.ResponseWriter that keeps the response in memory.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(status int) { r.status = status }

func (r *recorder) Write(data []byte) (int, error) { return r.body.Write(data) }

// StartStream starts a chunked response and sends its head at once. The handler must
// call Close or Abort on the stream. The connection closes after the stream.
func (e *Exchange) StartStream(status int, header http.Header) (*Stream, error) {
	e.closeAfterReply()
	stream, err := e.StartKeepAliveStream(status, header)
	if err != nil {
		return nil, err
	}
	return stream, stream.Flush()
}

// StartKeepAliveStream is like StartStream but sends the head with the first chunk or
// on Flush, and keeps the connection open after a stream that ends cleanly unless the
// client requested to close it or the server closes connections.
func (e *Exchange) StartKeepAliveStream(status int, header http.Header) (*Stream, error) {
	e.replied = true
	if _, _, err := e.response.Hijack(); err != nil {
		return nil, eris.Wrap(err, "can't take over the connection")
	}
	header = header.Clone()
	header.Del("Content-Length")
	header.Set("Transfer-Encoding", "chunked")
	closing := e.setConnectionHeader(header)
	head, err := encodeHead(status, header)
	if err != nil {
		return nil, err
	}
	buffer := bufio.NewWriterSize(deadlineWriter{conn: e.conn}, streamBufferBytes)
	stream := &Stream{conn: e.conn, buffer: buffer, chunks: httputil.NewChunkedWriter(buffer), closing: closing}
	e.stream = stream
	e.conn.holder.Charge(streamBytes)
	// The head is sent together with the first chunk.
	if _, err := buffer.Write(head); err != nil {
		_ = e.conn.Close()
		return nil, err
	}
	return stream, nil
}

// Flush sends the head of the response without waiting for the first chunk.
func (s *Stream) Flush() error { return s.buffer.Flush() }

// handlePanic ends the response after its handler has panicked.
func (e *Exchange) handlePanic() {
	if e.stream != nil {
		e.stream.Abort()
		return
	}
	e.closeAfterReply()
	e.Reply(http.StatusInternalServerError, nil, nil)
}

// deadlineWriter writes to a connection with a deadline of WriteTimeout for each
// write.
type deadlineWriter struct {
	conn *clientConn
}

func (w deadlineWriter) Write(data []byte) (int, error) {
	buffers := net.Buffers{data}
	if err := w.writeAll(&buffers); err != nil {
		return len(data) - len(bytes.Join(buffers, nil)), err
	}
	return len(data), nil
}

// writeAll writes buffers, of which it leaves what isn't written.
func (w deadlineWriter) writeAll(buffers *net.Buffers) error {
	w.conn.holder.SetState(memory.Writing)
	defer w.conn.holder.SetState(memory.Handling)
	if !w.conn.setWriteDeadline(WriteTimeout) {
		return eris.Wrap(ErrClientGone, "the connection was cut off for lack of memory")
	}
	if _, err := buffers.WriteTo(w.conn.socket); err != nil {
		return eris.Wrap(ErrClientGone, err.Error())
	}
	return nil
}

// Stream is a chunked response. The final chunk is sent only if the stream ends
// cleanly, so that a client can always detect an incomplete response.
type Stream struct {
	conn   *clientConn
	buffer *bufio.Writer
	chunks io.WriteCloser
	// closing reports whether the connection closes after the stream.
	closing bool
}

// streamBufferBytes is large enough to send the chunk of a token in a single write.
const streamBufferBytes = 2 << 10

// Write sends data as a chunk and blocks until it is in the socket's send buffer. It
// returns ErrClientGone if that fails.
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

// Close ends the response cleanly. It closes the connection unless the connection is
// kept for further requests.
func (s *Stream) Close() error {
	err := s.writeEnd()
	if s.closing || err != nil {
		s.Abort()
	}
	return err
}

func (s *Stream) writeEnd() error {
	if err := s.chunks.Close(); err != nil {
		return err
	}
	if _, err := s.buffer.WriteString("\r\n"); err != nil {
		return err
	}
	return s.buffer.Flush()
}

// UnackedBytes returns the number of bytes in the socket's send queue: those that are
// not sent yet or that the client's TCP stack has not acknowledged. It returns zero if
// the connection has ended.
func (s *Stream) UnackedBytes() int {
	raw, err := s.conn.SyscallConn()
	if err != nil {
		return 0
	}
	unacked := 0
	err = raw.Control(func(fd uintptr) {
		unacked, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	if err != nil {
		return 0
	}
	return unacked
}

// Abort closes the connection without the final chunk.
func (s *Stream) Abort() { _ = s.conn.Close() }
