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

// trouble is what a relay does to its connections.
type trouble struct {
	// delay holds each piece back; toTarget and toClient stop one direction.
	delay              time.Duration
	toTarget, toClient bool
}

// relay is a loopback proxy that troubles connections. What it stops arrives late,
// as behind a cut link, unless the connection has ended.
type relay struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	trouble trouble
	conns   map[net.Conn]bool
}

func newRelay(t *testing.T, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = listener.Close()
		r.set(trouble{})
		r.reset()
	})
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) set(t trouble) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trouble = t
}

func (r *relay) current() trouble {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trouble
}

// reset resets all connections.
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
	go r.copy(target, client, func(t trouble) bool { return t.toTarget }, done)
	go r.copy(client, target, func(t trouble) bool { return t.toClient }, done)
	<-done
	<-done
}

// relayPoll is how often a stopped direction is looked at.
const relayPoll = 10 * time.Millisecond

func (r *relay) copy(to, from net.Conn, stopped func(trouble) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for stopped(r.current()) {
			time.Sleep(relayPoll)
		}
		time.Sleep(r.current().delay)
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
	// A reset passes on.
	for _, conn := range []net.Conn{to, from} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
