package bulrushbackend

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// startHoldingServer starts a server that answers each connection with the given bytes and
// keeps it open.
func startHoldingServer(t *testing.T, answer string) bulrushchute.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = socket.Close() }()
				_, _ = socket.Read(make([]byte, 1<<12))
				_, _ = io.WriteString(socket, answer)
				_, _ = io.Copy(io.Discard, socket)
			}()
		}
	}()
	return bulrushchute.Address(listener.Addr().String())
}

// Guards against an answer with a status that does not exist, which is taken for an interim
// one: its caller waits until the deadline, or gets what follows as the answer. Health checks
// are read the same way.
func TestAnswerWithInvalidStatus(t *testing.T) {
	const (
		deadline = 5 * time.Second
		soon     = 2 * time.Second
		body     = "\r\nId: a\r\nContent-Length: 4\r\n\r\nbody"
		whole    = "HTTP/1.1 200 OK" + body
	)
	cases := map[string]struct {
		answer     string
		wantStatus int
	}{
		"whole":                  {whole, 200},
		"failure":                {"HTTP/1.1 500 Internal Server Error" + body, 500},
		"highest":                {"HTTP/1.1 599 X" + body, 599},
		"interim first":          {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole, 200},
		"zero":                   {"HTTP/1.1 000 X" + body, 0},
		"zero, no body":          {"HTTP/1.1 000 X\r\nId: a\r\n\r\n", 0},
		"negative zero":          {"HTTP/1.1 -00 X" + body, 0},
		"below interim":          {"HTTP/1.1 099 X" + body, 0},
		"zero, then whole":       {"HTTP/1.1 000 X\r\n\r\n" + whole, 0},
		"two digits, then whole": {"HTTP/1.1 042 X\r\n\r\n" + whole, 0},
		"sign, then whole":       {"HTTP/1.1 +99 X\r\n\r\n" + whole, 0},
		"zero after interim":     {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 X\r\n\r\n" + whole, 0},
		"above the highest":      {"HTTP/1.1 600 X" + body, 0},
		"change of the protocol": {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + whole, 0},
	}
	attempts := map[string]*bulrushchute.Attempt{"request": {RequestID: "a"}, "health check": nil}
	for name, tc := range cases {
		for kind, attempt := range attempts {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				client := NewClient(Settings{
					Address: startHoldingServer(t, tc.answer), Connections: 1, MaxBodyBytes: 1 << 20, Protocol: idHeaderProtocol{closeDelimited: true},
				})
				defer client.Close()
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				begin := time.Now()
				answer, err := client.Do(ctx, Request{Method: http.MethodGet, Target: "/", Host: "board", Header: http.Header{}, Attempt: attempt})
				assert.Assert(t, time.Since(begin) < soon, "ended after %s", time.Since(begin))
				if tc.wantStatus != 0 {
					assert.NilError(t, err)
					assert.Equal(t, answer.Status, tc.wantStatus)
					assert.Equal(t, string(answer.Body), "body")
					return
				}
				var failed *Error
				assert.Assert(t, errors.As(err, &failed) && failed.Sent, "got %d %q, %v", answer.Status, answer.Body, err)
				assert.Equal(t, failed.Reason, bulrushchute.ReasonTruncated)
			})
		}
	}
}
