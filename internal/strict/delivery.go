package strict

import (
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Pauses between two checks of whether the peer has acknowledged the request.
const (
	minDeliveryPoll = time.Millisecond
	maxDeliveryPoll = 16 * time.Millisecond
)

// AwaitDelivery waits until the peer has acknowledged all that was written on a TCP
// connection whose end has been read. It returns an error if the connection is reset or
// closed before. A peer that closes a connection both ways resets it when more of the
// request arrives, also if the write has succeeded by then.
func AwaitDelivery(conn syscall.Conn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "can't check a connection")
	}
	for pause := minDeliveryPoll; ; pause = min(2*pause, maxDeliveryPoll) {
		delivered, err := isDelivered(raw)
		if delivered || err != nil {
			return err
		}
		time.Sleep(pause)
	}
}

// isDelivered reports whether the peer has acknowledged all bytes, or the kernel can't tell.
// The kernel counts the bytes that haven't been acknowledged also after a reset.
func isDelivered(raw syscall.RawConn) (bool, error) {
	var queued int
	var info *unix.TCPInfo
	var queueErr, infoErr error
	err := raw.Control(func(fd uintptr) {
		queued, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case err != nil:
		return false, eris.Wrap(err, "can't check a connection")
	case queueErr != nil || infoErr != nil || queued == 0:
		return true, nil
	case info.State == unix.BPF_TCP_CLOSE:
		return false, eris.New("the connection was reset")
	}
	return false, nil
}
