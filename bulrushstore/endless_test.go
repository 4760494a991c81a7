package bulrushstore

import (
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// Guards against a store, or what answers in its place, that sends without end and
// fills the memory of the process that calls it.
func TestEndlessResponseIsCutOffAtItsLimit(t *testing.T) {
	cases := map[string]struct{ prefix, repeated string }{
		"header line":   {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header fields": {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"body":          {"HTTP/1.1 200 OK\r\n\r\n{\"items\":[", "{},"},
		"error":         {"HTTP/1.1 500 Internal Server Error\r\n\r\n", "x"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			sent := make(chan int, 1)
			go func() {
				socket, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = socket.Close() }()
				block := []byte(strings.Repeat(tc.repeated, 1+(32<<10)/len(tc.repeated)))
				total, err := socket.Write([]byte(tc.prefix))
				for err == nil {
					var n int
					n, err = socket.Write(block)
					total += n
				}
				sent <- total
			}()
			client := NewClient(ClientSettings{BaseURL: "http://" + listener.Addr().String(), Timeout: 20 * bulrushchute.Second})
			defer client.Close()
			begin := time.Now()
			_, _, err = client.List(t.Context(), bulrushchute.KindServices)
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(begin) < 10*time.Second, "ended after %s", time.Since(begin))
			select {
			case <-sent:
			case <-time.After(10 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}
