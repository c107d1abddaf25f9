// Package dgram sends and receives protobuf messages as UDP datagrams between the
// processes of lentilstand, one message per datagram. Datagrams may be lost,
// duplicated or delayed; senders repeat their content or supersede it with the next
// datagram.
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

// Limits of a socket.
const (
	// maxDatagramBytes limits the size of an encoded message.
	maxDatagramBytes = 60 << 10
	// receiveBufferBytes is the requested size of the socket's receive buffer, which
	// holds datagrams that arrive while the process is busy.
	receiveBufferBytes = 1 << 20
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 10 * time.Millisecond
)

// Handler handles a message from the address from. A socket calls it from a single
// goroutine.
type Handler func(from netip.AddrPort, message *wirepb.Datagram)

// Socket sends and receives datagrams. Use Listen.
type Socket struct {
	conn   *net.UDPConn
	logger *zap.Logger
	done   chan struct{}
}

// Listen opens a socket at address, an IP address and port, and calls handler with
// each message received.
func Listen(address string, handler Handler, logger *zap.Logger) (*Socket, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen on %q", address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, eris.Wrapf(err, "can't listen on %s", address)
	}
	if err := conn.SetReadBuffer(receiveBufferBytes); err != nil {
		logger.Debug("can't set the socket's receive buffer; using the default", event.Error(err))
	}
	s := &Socket{conn: conn, logger: logger, done: make(chan struct{})}
	go s.receive(handler)
	return s, nil
}

// Address returns the address that the socket listens on.
func (s *Socket) Address() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func (s *Socket) receive(handler Handler) {
	defer close(s.done)
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readRetryDelay)
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

// Send sends a message to each address. A datagram that can't be sent is logged and
// dropped, like one that the network loses.
func (s *Socket) Send(message *wirepb.Datagram, to ...netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	encoded, err := proto.Marshal(message)
	if err != nil || len(encoded) > maxDatagramBytes {
		event.DatagramUnsent.Log(s.logger, zap.Int("bytes", len(encoded)), event.Error(err))
		return
	}
	for _, address := range to {
		if _, err := s.conn.WriteToUDPAddrPort(encoded, address); err != nil && !errors.Is(err, net.ErrClosed) {
			event.DatagramUnsent.Log(s.logger, zap.Stringer("peer", address), event.Error(err))
		}
	}
}

// Close closes the socket and waits until the handler has returned.
func (s *Socket) Close() {
	_ = s.conn.Close()
	<-s.done
}

// Fingerprint returns a hash of a list of addresses. Peers exchange it to send the
// list only to those that don't have it. It is never 0.
func Fingerprint(addresses []netip.AddrPort) uint32 {
	digest := xxhash.New()
	for _, address := range addresses {
		_, _ = digest.WriteString(address.String())
		_, _ = digest.Write([]byte{0})
	}
	return uint32(digest.Sum64()) | 1
}
