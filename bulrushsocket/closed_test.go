package bulrushsocket

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a close that is hidden by bytes that have not been read, and against an
// open connection that counts as closed.
func TestClosedByPeer(t *testing.T) {
	cases := map[string]struct {
		end  func(peer *net.TCPConn) error
		want bool
	}{
		"open, nothing sent": {func(*net.TCPConn) error { return nil }, false},
		"open, bytes unread": {func(peer *net.TCPConn) error { _, err := peer.Write([]byte("x")); return err }, false},
		"closed":             {func(peer *net.TCPConn) error { return peer.Close() }, true},
		"closed, bytes unread": {func(peer *net.TCPConn) error {
			if _, err := peer.Write([]byte("x")); err != nil {
				return err
			}
			return peer.Close()
		}, true},
		"reset": {func(peer *net.TCPConn) error {
			if err := peer.SetLinger(0); err != nil {
				return err
			}
			return peer.Close()
		}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			peer, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = peer.Close() }()
			accepted, err := listener.Accept()
			assert.NilError(t, err)
			defer func() { _ = accepted.Close() }()
			assert.NilError(t, tc.end(peer.(*net.TCPConn)))
			closed := false
			for begin := time.Now(); !closed && time.Since(begin) < 100*time.Millisecond; time.Sleep(time.Millisecond) {
				closed = ClosedByPeer(accepted)
			}
			assert.Equal(t, closed, tc.want)
		})
	}
}
