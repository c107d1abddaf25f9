// Package dgram sends and receives protobuf messages as single datagrams between
// the processes of lentilstand. Datagrams may be lost, doubled or late; what they
// carry is repeated or superseded by the next.
package dgram

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/lentilstand/lentilstand/internal/event"
	"github.com/lentilstand/lentilstand/internal/wirepb"
)

// Bounds of a socket.
const (
	// maxBytes bounds a datagram.
	maxBytes = 60 << 10
	// bufferBytes holds what arrives while the process is busy.
	bufferBytes = 1 << 20
	// errorPause is how long reading rests after an error.
	errorPause = 10 * time.Millisecond
)

// Handler takes a datagram that came from an address. It is called by one
// goroutine.
type Handler func(from netip.AddrPort, message *wirepb.Datagram)

// Socket sends and receives datagrams. Use Listen.
type Socket struct {
	conn   *net.UDPConn
	logger *zap.Logger
	done   chan struct{}
}

// Listen opens a socket at address, an IP address and port, and hands what comes
// to handler.
func Listen(address string, handler Handler, logger *zap.Logger) (*Socket, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen on %q", address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen on %s", address)
	}
	if err := conn.SetReadBuffer(bufferBytes); err != nil {
		logger.Debug("the socket keeps its usual buffer", event.Error(err))
	}
	s := &Socket{conn: conn, logger: logger, done: make(chan struct{})}
	go s.receive(handler)
	return s, nil
}

// Address returns the address that the socket listens on.
func (s *Socket) Address() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func (s *Socket) receive(handler Handler) {
	defer close(s.done)
	buffer := make([]byte, maxBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(errorPause)
			continue
		}
		message := &wirepb.Datagram{}
		if err := proto.Unmarshal(buffer[:n], message); err != nil || message.GetBody() == nil {
			event.DatagramRefused.Log(s.logger, zap.Stringer("peer", from), event.Error(err))
			continue
		}
		handler(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), message)
	}
}

// Send sends a message to each address. A datagram that can't be sent is lost,
// like one that the network drops.
func (s *Socket) Send(message *wirepb.Datagram, to ...netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	encoded, err := proto.Marshal(message)
	if err != nil || len(encoded) > maxBytes {
		event.DatagramUnsent.Log(s.logger, zap.Int("bytes", len(encoded)), event.Error(err))
		return
	}
	for _, address := range to {
		if _, err := s.conn.WriteToUDPAddrPort(encoded, address); err != nil && !errors.Is(err, net.ErrClosed) {
			event.DatagramUnsent.Log(s.logger, zap.Stringer("peer", address), event.Error(err))
		}
	}
}

// Close ends the socket.
func (s *Socket) Close() {
	_ = s.conn.Close()
	<-s.done
}

// Fingerprint names a list of addresses, so that it needs to be sent only to those
// who don't know it. It is never 0.
func Fingerprint(addresses []netip.AddrPort) uint32 {
	digest := xxhash.New()
	for _, address := range addresses {
		_, _ = digest.WriteString(address.String())
		_, _ = digest.Write([]byte{0})
	}
	return uint32(digest.Sum64()) | 1
}
