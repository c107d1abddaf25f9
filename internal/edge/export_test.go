package edge

import (
	"context"

	"github.com/lentilstand/lentilstand/internal/dgram"
	"github.com/lentilstand/lentilstand/internal/link"
)

// Freeze stops all that the entry does by itself, and the exchange with peers, until Thaw. It keeps what
// the entry knows, like a process that is suspended, except that callers are still served.
func (e *Entry) Freeze() {
	e.cancel()
	e.socket.Close()
	e.links.Close()
	e.background.Wait()
}

// Thaw reverts Freeze.
func (e *Entry) Thaw() error {
	address := e.settings.Load().PeerAddress()
	socket, err := dgram.Listen(address, e.peers.receive, e.logger)
	if err != nil {
		return err
	}
	e.socket = socket
	if e.links, err = link.Listen(address, e.peers.serveStream, e.logger, link.WithAccount(e.account)); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	for _, loop := range []func(context.Context){e.storeSyncer.run, e.storeSyncer.verify, e.registration.run, e.peers.run, e.maintain} {
		e.background.Go(func() { loop(ctx) })
	}
	return nil
}
