package bench

import (
	"bytes"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Fault is what a Proxy does to the connections that it passes on.
type Fault int

// The troubles of a proxy.
const (
	// NoFault passes everything on.
	NoFault Fault = iota
	// Disconnect closes the connections.
	Disconnect
	// Blackhole passes nothing on, while the connections stay open.
	Blackhole
	// BlackholeResponses passes on what entries send and none of the answers.
	BlackholeResponses
	// Delay holds everything back for lateBy.
	Delay
)

// lateBy is how long a proxy in the trouble Late holds bytes back.
const lateBy = 4 * time.Second

// Proxy passes connections on to an agent, and can be told to cause trouble for
// the connections that are open then; new ones work. Use NewProxy.
type Proxy struct {
	target   string
	listener net.Listener
	wait     sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	passages map[*passage]bool
	pattern  []byte
	count    int
	seen     func()
}

// passage is one connection that is passed on.
type passage struct {
	proxy   *Proxy
	near    net.Conn
	far     net.Conn
	mu      sync.Mutex
	trouble Fault
}

// NewProxy returns a proxy before target on a free port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "can't listen")
	}
	p := &Proxy{target: target, listener: listener, passages: make(map[*passage]bool)}
	p.wait.Add(1)
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for open := range p.passages {
		open.close()
	}
	p.mu.Unlock()
	p.wait.Wait()
}

// SetFault makes trouble for all connections that are open now.
func (p *Proxy) SetFault(trouble Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for open := range p.passages {
		open.set(trouble)
	}
}

// OnMatch makes the proxy call seen once, just before it passes on bytes that hold
// the pattern for the given time, counted from one.
func (p *Proxy) OnMatch(pattern string, count int, seen func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pattern, p.count, p.seen = []byte(pattern), count, seen
}

// look counts the pattern in bytes and calls seen when it is time.
func (p *Proxy) look(data []byte) {
	p.mu.Lock()
	if p.seen == nil {
		p.mu.Unlock()
		return
	}
	p.count -= bytes.Count(data, p.pattern)
	seen := p.seen
	if p.count > 0 {
		p.mu.Unlock()
		return
	}
	p.seen = nil
	p.mu.Unlock()
	seen()
}

func (p *Proxy) accept() {
	defer p.wait.Done()
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		open := &passage{proxy: p, near: near, far: far}
		p.mu.Lock()
		if p.closed {
			open.close()
		}
		p.passages[open] = true
		p.mu.Unlock()
		p.wait.Add(2)
		go open.pass(near, far, false)
		go open.pass(far, near, true)
	}
}

func (c *passage) set(trouble Fault) {
	c.mu.Lock()
	c.trouble = trouble
	c.mu.Unlock()
	if trouble == Disconnect {
		c.close()
	}
}

func (c *passage) current() Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.trouble
}

func (c *passage) close() {
	_ = c.near.Close()
	_ = c.far.Close()
}

const proxyBuffer = 16 << 10

// pass passes bytes on in one direction until a connection ends.
func (c *passage) pass(from, to net.Conn, answers bool) {
	defer c.proxy.wait.Done()
	defer c.end()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		c.proxy.look(buffer[:n])
		switch trouble := c.current(); {
		case trouble == Blackhole, trouble == BlackholeResponses && answers:
			continue
		case trouble == Delay:
			time.Sleep(lateBy)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (c *passage) end() {
	c.close()
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	delete(c.proxy.passages, c)
}
