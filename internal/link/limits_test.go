package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/link"
	"github.com/lentilstand/lentilstand/internal/memory"
	"github.com/lentilstand/lentilstand/internal/wirepb"
)

// TestStrangersLeaveSessionsAlone guards against connections of strangers that close the session
// of another process with a stream in use, or that keep new sessions out.
func TestStrangersLeaveSessionsAlone(t *testing.T) {
	account := memory.New(64, 128)
	release := make(chan struct{})
	server, err := link.Listen("127.0.0.1:0", func(_ *link.Session, stream *link.Stream, first *wirepb.Frame) {
		_ = stream.Write(first)
		<-release
	}, zap.NewNop(), link.WithAccount(account))
	require.NoError(t, err)
	var dialer link.Dialer
	open := func() (*link.Session, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		session, err := dialer.Dial(ctx, server.Address())
		if err != nil {
			return nil, err
		}
		stream, err := session.Open()
		if err != nil {
			return session, err
		}
		if err := stream.Write(&wirepb.Frame{Body: &wirepb.Frame_Reserve{Reserve: &wirepb.Reserve{Service: "a"}}}); err != nil {
			return session, err
		}
		_, err = stream.ReadWithin(5 * time.Second)
		return session, err
	}
	first, err := open()
	require.NoError(t, err)
	var strangers []net.Conn
	for range 3 * account.Conns() {
		conn, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		strangers = append(strangers, conn)
	}
	require.Eventually(t, func() bool {
		session, err := open()
		if session != nil {
			defer session.Close()
		}
		return err == nil
	}, 10*time.Second, 100*time.Millisecond, "a new session gets in after strangers have stalled")
	select {
	case <-first.Closed():
		t.Fatal("the session in use was closed")
	default:
	}
	for _, conn := range strangers {
		_ = conn.Close()
	}
	close(release)
	first.Close()
	server.Close()
	used, conns := account.Used()
	require.Zero(t, used)
	require.Zero(t, conns)
}
