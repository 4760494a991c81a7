package bulrushsocket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ClosedByPeer reports whether the other end of a connection has closed or reset it,
// also while bytes that arrived before have not been read. It does not block. The result
// is false for connections without a socket.
func ClosedByPeer(connection net.Conn) bool {
	if wrapped, ok := connection.(interface{ NetConn() net.Conn }); ok {
		connection = wrapped.NetConn()
	}
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(descriptor uintptr) {
		poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		// POLLHUP and POLLERR are always reported.
		n, err := unix.Poll(poll, 0)
		closed = err == nil && n > 0
	})
	return closed || err != nil
}
