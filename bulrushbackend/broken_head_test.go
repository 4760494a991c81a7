package bulrushbackend

import (
	"net"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// startBreakingServer starts a server that answers each connection with the given bytes
// and ends it, with a reset if reset is set.
func startBreakingServer(t *testing.T, answer string, reset bool) bulrushchute.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = socket.Read(make([]byte, 1<<12))
			_, _ = socket.Write([]byte(answer))
			if reset {
				_ = socket.(*net.TCPConn).SetLinger(0)
			}
			_ = socket.Close()
		}
	}()
	return bulrushchute.Address(listener.Addr().String())
}

// Guards against an answer that breaks off in its head and is passed on as a whole one
// with an empty or short body, at each byte of the head.
func TestAnswerBrokenOffInItsHead(t *testing.T) {
	heads := map[string]string{
		"with a length":         "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\nX-More: 1\r\n\r\n",
		"without a length":      "HTTP/1.1 200 OK\r\nId: a\r\nX-More: 1\r\n\r\n",
		"chunked":               "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"after an interim head": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n\r\n",
		"no content":            "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n",
		"continued line":        "HTTP/1.1 200 OK\r\nId: a\r\nX-More: 1\r\n 2\r\n\r\n",
		"bare line feeds":       "HTTP/1.1 200 OK\nId: a\n\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			for end := range len(head) {
				for _, reset := range []bool{false, true} {
					client := NewClient(Settings{
						Address: startBreakingServer(t, head[:end], reset), Connections: 2, MaxBodyBytes: 1 << 20,
						Protocol: idHeaderProtocol{closeDelimited: true},
					})
					answer, err := client.Do(t.Context(), newTestRequest("a", true))
					client.Close()
					var lost *Error
					assert.Assert(t, errors.As(err, &lost) && lost.Sent, "after %q (reset %v): got %d %q, %v", head[:end], reset, answer.Status, answer.Body, err)
				}
			}
		})
	}
}
