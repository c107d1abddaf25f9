package link

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that a process's connections carry. The zero value
// is ready to use.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns how many bytes were sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns how many bytes were received.
func (t *Traffic) Received() int64 { return t.received.Load() }

// CountConn returns conn with its bytes counted.
func (t *Traffic) CountConn(conn net.Conn) net.Conn { return countedConn{Conn: conn, traffic: t} }

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// SessionTraffic counts the bytes of all sessions of this process.
var SessionTraffic Traffic
