package bulrushnode

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Guards against a server in trouble whose answer to a health check violates HTTP, and that
// counts as healthy.
func TestMalformedHealthAnswers(t *testing.T) {
	const rest = "\r\nCold: 1\r\nContent-Length: 0\r\n"
	cases := map[string]struct {
		answer string
		wantOK bool
	}{
		"whole":                {"HTTP/1.1 200 OK" + rest + "\r\n", true},
		"status zero":          {"HTTP/1.1 000 X" + rest + "\r\n", false},
		"status of two digits": {"HTTP/1.1 042 X" + rest + "\r\n", false},
		"blank in a name":      {"HTTP/1.1 200 OK\r\nX A: 1" + rest + "\r\n", false},
		"blank in a late name": {"HTTP/1.1 200 OK" + rest + "X-A : 1\r\n\r\n", false},
		"blank, interim":       {"HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK" + rest + "\r\n", false},
		"control byte":         {"HTTP/1.1 200 OK\r\nX\x01A: 1" + rest + "\r\n", false},
		"zero, then whole":     {"HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK" + rest + "\r\n", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newHealthFixture(t, func(writer http.ResponseWriter, _ *http.Request) {
				if socket, _, err := writer.(http.Hijacker).Hijack(); err == nil {
					_, _ = socket.Write([]byte(tc.answer))
					_ = socket.Close()
				}
			})
			f.hear(f.first)
			f.confirm()
			_, ok := f.prober.fetch(t.Context(), f.first, bulrushcatalogue.DefaultHealthPath)
			assert.Equal(t, ok, tc.wantOK)
			assert.Equal(t, f.controller.Load().Cold, tc.wantOK, "what the answer says must not count unless it is valid")
		})
	}
}
