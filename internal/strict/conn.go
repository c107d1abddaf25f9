package strict

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
)

// conn is a connection of a client. While a response ends with the connection, Read returns
// io.EOF only if the peer has received the request; it waits for that until the connection is
// closed.
type conn struct {
	net.Conn
	closed  chan struct{}
	closing sync.Once
	// upload is that of a request whose response ends with the connection, nil before.
	upload atomic.Pointer[Upload]

	// writing is locked while Write runs.
	writing sync.Mutex
	// writeErr is the first error of Write.
	writeErr error
}

func newConn(inner net.Conn) *conn {
	return &conn{Conn: inner, closed: make(chan struct{})}
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
	upload := c.upload.Load()
	if upload == nil || !errors.Is(err, io.EOF) {
		return n, err
	}
	if cause := c.awaitUpload(upload); cause != nil {
		return n, eris.Wrap(ErrTruncated, cause.Error())
	}
	return n, err
}

// awaitUpload waits until the peer has received the request or the connection is closed, and
// returns the error of that.
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
	if err := c.firstWriteErr(); err != nil {
		return err
	}
	if checked, ok := c.Conn.(syscall.Conn); ok {
		return AwaitDelivery(checked)
	}
	return nil
}

// firstWriteErr waits for a call of Write that runs and returns the first error of all.
func (c *conn) firstWriteErr() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
