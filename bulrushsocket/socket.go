// Package bulrushsocket opens TCP connections that detect within seconds that the
// remote end is unreachable.
package bulrushsocket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCP settings of each connection. The keep-alive probes close an idle connection
// 2.5 s after the remote end was last heard, within the time in which a change of
// the catalogue has to be in force.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// userTimeout is TCP_USER_TIMEOUT, after which a connection is closed if sent
	// data is still unacknowledged.
	userTimeout = 2500 * time.Millisecond
)

// NewDialer returns a dialer whose connections send keep-alive probes while they
// are idle.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
}

// NewListenConfig returns the settings of a listener whose connections send
// keep-alive probes while they are idle.
func NewListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var sockoptErr error
	err := conn.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
