package link

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes sent and received on connections. The zero value is
// ready to use.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the number of bytes received.
func (t *Traffic) Received() int64 { return t.received.Load() }

// CountConn returns a connection that counts the bytes of conn.
func (t *Traffic) CountConn(conn net.Conn) net.Conn { return countingConn{Conn: conn, traffic: t} }

// countingConn adds the bytes of a connection to traffic.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// SessionTraffic counts the bytes of all sessions of the process.
var SessionTraffic Traffic
