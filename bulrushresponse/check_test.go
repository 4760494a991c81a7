package bulrushresponse_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute/bulrushresponse"
)

func ExampleCheckFinalStatus() {
	fmt.Println(bulrushresponse.CheckFinalStatus(http.StatusServiceUnavailable))
	fmt.Println(bulrushresponse.CheckFinalStatus(0))
	// Output:
	// <nil>
	// malformed response: status 000
}

// respond sends a raw response to a request through a transport.
func respond(t *testing.T, raw string) (*http.Response, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = socket.Close() }()
		_, _ = socket.Read(make([]byte, 1<<12))
		_, _ = socket.Write([]byte(raw))
	}()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), nil)
	assert.NilError(t, err)
	return bulrushresponse.NewTransport(&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
}

// Guards against a response with a status that does not exist and that is taken for a
// success, or for an interim one.
func TestTransportChecksStatus(t *testing.T) {
	cases := map[string]struct {
		raw        string
		wantStatus int
	}{
		"success":                {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200},
		"highest":                {"HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n", 599},
		"interim first":          {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 404 N\r\nContent-Length: 0\r\n\r\n", 404},
		"zero":                   {"HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n", 0},
		"negative zero":          {"HTTP/1.1 -00 \r\nContent-Length: 0\r\n\r\n", 0},
		"two digits with a sign": {"HTTP/1.1 +99 \r\nContent-Length: 0\r\n\r\n", 0},
		"below interim":          {"HTTP/1.1 099 \r\nContent-Length: 0\r\n\r\n", 0},
		"then success":           {"HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0},
		"above the highest":      {"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n", 0},
		"change of the protocol": {"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			response, err := respond(t, tc.raw)
			if tc.wantStatus != 0 {
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, tc.wantStatus)
				return
			}
			var malformed *bulrushresponse.MalformedError
			assert.Assert(t, errors.As(err, &malformed), "%v", err)
		})
	}
}
