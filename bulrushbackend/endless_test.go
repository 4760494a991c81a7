package bulrushbackend

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// startEndlessServer starts a backend server that answers each request with a prefix
// and then repeats a text until the client closes the connection, which it reports.
func startEndlessServer(t *testing.T, prefix, repeated string) (bulrushchute.Address, <-chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	closed := make(chan struct{}, 1)
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = socket.Close() }()
		block := []byte(strings.Repeat(repeated, 1+(32<<10)/len(repeated)))
		_, err = socket.Write([]byte(prefix))
		for err == nil {
			_, err = socket.Write(block)
		}
		closed <- struct{}{}
	}()
	return bulrushchute.Address(listener.Addr().String()), closed
}

// Guards against a backend server that sends without end and fills the node's memory,
// or holds its connection until the deadline, because a part of the answer has no
// limit.
func TestEndlessAnswerIsCutOffAtItsLimit(t *testing.T) {
	const (
		deadline = 10 * time.Second
		// soon is the time in which a limit has to be reached at the rate of loopback.
		soon = 3 * time.Second
	)
	cases := map[string]struct{ prefix, repeated string }{
		"status line":          {"HTTP/1.1 200 ", "x"},
		"header line":          {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header fields":        {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim answers":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"chunked body":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"close-delimited body": {"HTTP/1.1 200 OK\r\n\r\n", "abcd"},
		"long body":            {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "abcd"},
		"trailers":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"chunk extensions":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		"answers to others":    {"", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nok"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, closed := startEndlessServer(t, tc.prefix, tc.repeated)
			client := NewClient(Settings{Address: address, Connections: 1, MaxBodyBytes: 1 << 20, Protocol: idHeaderProtocol{closeDelimited: true}})
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			begin := time.Now()
			_, err := client.Do(ctx, Request{
				Method: http.MethodGet, Target: "/", Host: "board", Header: http.Header{},
				Attempt: &bulrushchute.Attempt{RequestID: "a"},
			})
			var failed *Error
			assert.Assert(t, errors.As(err, &failed), "%v", err)
			assert.Assert(t, failed.Sent)
			assert.Assert(t, failed.Reason == bulrushchute.ReasonTooLarge || failed.Reason == bulrushchute.ReasonTruncated, "%v", failed)
			assert.Assert(t, time.Since(begin) < soon, "ended after %s", time.Since(begin))
			select {
			case <-closed:
			case <-time.After(soon):
				t.Fatal("the connection is still open")
			}
		})
	}
}
