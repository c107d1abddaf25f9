package bench

import (
	"bytes"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Fault is a network fault that a Proxy injects into its connections.
type Fault int

// Faults of a proxy.
const (
	// NoFault forwards all data.
	NoFault Fault = iota
	// Disconnect closes the connections.
	Disconnect
	// Blackhole drops all data, while the connections stay open.
	Blackhole
	// BlackholeResponses forwards data from entries and drops data from agents.
	BlackholeResponses
	// Delay delays all data by delayTime.
	Delay
)

// delayTime is how long the fault Delay delays data.
const delayTime = 4 * time.Second

// Proxy forwards connections to an agent and can inject a fault into the
// connections that are open; later connections work. Use NewProxy.
type Proxy struct {
	target   string
	listener net.Listener
	wait     sync.WaitGroup

	mu               sync.Mutex
	closed           bool
	conns            map[*proxiedConn]bool
	pattern          []byte
	remainingMatches int
	onMatch          func()
}

// proxiedConn is a connection from a client and the connection to the target that
// its data is forwarded to.
type proxiedConn struct {
	proxy  *Proxy
	client net.Conn
	server net.Conn
	mu     sync.Mutex
	fault  Fault
}

// NewProxy returns a proxy that listens on a free port and forwards to target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "can't listen on a free port")
	}
	p := &Proxy{target: target, listener: listener, conns: make(map[*proxiedConn]bool)}
	p.wait.Add(1)
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for conn := range p.conns {
		conn.close()
	}
	p.mu.Unlock()
	p.wait.Wait()
}

// SetFault injects a fault into all connections that are open now.
func (p *Proxy) SetFault(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.setFault(fault)
	}
}

// OnMatch makes the proxy call onMatch once, just before it forwards the data that
// contains the occurrence of pattern with number count, counted from one.
func (p *Proxy) OnMatch(pattern string, count int, onMatch func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pattern, p.remainingMatches, p.onMatch = []byte(pattern), count, onMatch
}

// countMatches counts the occurrences of the pattern in data and calls onMatch once
// enough have been seen.
func (p *Proxy) countMatches(data []byte) {
	p.mu.Lock()
	if p.onMatch == nil {
		p.mu.Unlock()
		return
	}
	p.remainingMatches -= bytes.Count(data, p.pattern)
	onMatch := p.onMatch
	if p.remainingMatches > 0 {
		p.mu.Unlock()
		return
	}
	p.onMatch = nil
	p.mu.Unlock()
	onMatch()
}

func (p *Proxy) accept() {
	defer p.wait.Done()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		conn := &proxiedConn{proxy: p, client: client, server: server}
		p.mu.Lock()
		if p.closed {
			conn.close()
		}
		p.conns[conn] = true
		p.mu.Unlock()
		p.wait.Add(2)
		go conn.forward(client, server, false)
		go conn.forward(server, client, true)
	}
}

func (c *proxiedConn) setFault(fault Fault) {
	c.mu.Lock()
	c.fault = fault
	c.mu.Unlock()
	if fault == Disconnect {
		c.close()
	}
}

func (c *proxiedConn) currentFault() Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault
}

func (c *proxiedConn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

const proxyBufferBytes = 16 << 10

// forward copies data in one direction until one of the connections is closed.
func (c *proxiedConn) forward(from, to net.Conn, responses bool) {
	defer c.proxy.wait.Done()
	defer c.remove()
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		c.proxy.countMatches(buffer[:n])
		switch fault := c.currentFault(); {
		case fault == Blackhole, fault == BlackholeResponses && responses:
			continue
		case fault == Delay:
			time.Sleep(delayTime)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// remove closes the connection and removes it from the proxy.
func (c *proxiedConn) remove() {
	c.close()
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	delete(c.proxy.conns, c)
}
