package bulrushresponse_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

// Guards against a response with a field whose name is none, which net/http reads although
// another reader may see another end of the body.
func TestTransportChecksFieldNames(t *testing.T) {
	const (
		whole   = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
	)
	cases := map[string]struct {
		raw       string
		wantWhole bool
	}{
		"ordinary":              {"HTTP/1.1 200 OK\r\nX-A: 1 2\r\nContent-Length: 0\r\n\r\n", true},
		"blank":                 {"HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 0\r\n\r\n", false},
		"blank at the end":      {"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n", false},
		"interim":               {"HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n" + whole, true},
		"blank, interim":        {"HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\n" + whole, false},
		"trailer":               {chunked + "X-A: 1\r\n\r\n", true},
		"blank, trailer":        {chunked + "X A: 1\r\n\r\n", false},
		"many interim":          {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 16) + whole, true},
		"interim without end":   {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 17) + whole, false},
		"announced, with blank": {strings.Replace(chunked, "\r\n\r\n", "\r\nTrailer: X A\r\n\r\n", 1) + "\r\n", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			response, err := respond(t, tc.raw)
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			if tc.wantWhole {
				assert.NilError(t, err)
				return
			}
			var malformed *bulrushresponse.MalformedError
			assert.Assert(t, errors.As(err, &malformed), "%v", err)
		})
	}
}
