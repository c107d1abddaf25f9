package soak_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// linkFault is a fault that a relay applies to its connections.
type linkFault struct {
	// delay is added to each read; blockToTarget and blockToClient block one direction.
	delay                        time.Duration
	blockToTarget, blockToClient bool
}

// relay is a loopback TCP proxy with fault injection. Data that it blocks is
// delivered after the fault has ended, as TCP retransmits it after a partition,
// unless the connection has been closed.
type relay struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	fault  linkFault
	conns  map[net.Conn]bool
}

func newRelay(t *testing.T, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = listener.Close()
		r.setFault(linkFault{})
		r.reset()
	})
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) setFault(f linkFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

func (r *relay) currentFault() linkFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

// reset closes all connections with a TCP reset.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (r *relay) track(conn net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.conns[conn] = true
	} else {
		delete(r.conns, conn)
	}
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go r.serve(client)
	}
}

func (r *relay) serve(client net.Conn) {
	defer client.Close()
	r.track(client, true)
	defer r.track(client, false)
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer target.Close()
	r.track(target, true)
	defer r.track(target, false)
	done := make(chan struct{}, 2)
	go r.copy(target, client, func(f linkFault) bool { return f.blockToTarget }, done)
	go r.copy(client, target, func(f linkFault) bool { return f.blockToClient }, done)
	<-done
	<-done
}

// relayPollInterval is how often a blocked direction checks whether its fault has ended.
const relayPollInterval = 10 * time.Millisecond

func (r *relay) copy(to, from net.Conn, blocked func(linkFault) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for blocked(r.currentFault()) {
			time.Sleep(relayPollInterval)
		}
		time.Sleep(r.currentFault().delay)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			break
		}
	}
	// Propagates the error to both sides as a TCP reset.
	for _, conn := range []net.Conn{to, from} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
