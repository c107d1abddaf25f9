package strict

import (
	"errors"
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// conn is a connection of a client that sends one request at a time. After the first byte
// of a response, Read returns io.EOF only if the request has been written without an
// error; it waits for that until the connection is closed.
type conn struct {
	net.Conn
	closed  chan struct{}
	closing sync.Once

	// writing is locked while Write runs.
	writing sync.Mutex
	// writeErr is the first error of Write.
	writeErr error

	mu sync.Mutex
	// upload is that of the last request, nil before the first one.
	upload *Upload
	// answered reports whether a byte has been read since upload was set.
	answered bool
}

func newConn(inner net.Conn) *conn {
	return &conn{Conn: inner, closed: make(chan struct{})}
}

// begin sets the upload of the request that is written next.
func (c *conn) begin(upload *Upload) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upload, c.answered = upload, false
}

// Write implements net.Conn.
func (c *conn) Write(buffer []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(buffer)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	upload := c.recordRead(n)
	if upload == nil || !errors.Is(err, io.EOF) {
		return n, err
	}
	if cause := c.awaitUpload(upload); cause != nil {
		return n, eris.Wrap(ErrTruncated, cause.Error())
	}
	return n, err
}

// recordRead records that n bytes have been read. It returns the upload of the request that
// they respond to, nil if there is no response yet.
func (c *conn) recordRead(n int) *Upload {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = c.answered || n > 0
	if !c.answered {
		return nil
	}
	return c.upload
}

// awaitUpload waits until the upload ends or the connection is closed, and returns the
// error of writing the request.
func (c *conn) awaitUpload(upload *Upload) error {
	select {
	case <-upload.Done():
	case <-c.closed:
		return net.ErrClosed
	}
	if err := upload.Wait(); err != nil {
		return err
	}
	// net/http ends the upload before it flushes its buffer. The call of Write that has
	// taken the error of the connection began before the read that found the end.
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
