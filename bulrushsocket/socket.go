// Package bulrushsocket opens TCP connections that notice within seconds that
// the other side can no longer be reached.
package bulrushsocket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times after which a silent connection is probed and given up. Together they
// end a connection whose other side is cut off in 2.5 s, inside the time in
// which a change of the catalogue has to be in force.
const (
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// unackedTimeout ends a connection on which sent bytes stay unacknowledged.
	unackedTimeout = 2500 * time.Millisecond
)

// NewDialer returns a dialer whose connections are probed while they are silent.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: control}
}

// NewListenConfig returns the settings of a listener whose connections are
// probed while they are silent.
func NewListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: control}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

func control(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failure
}
