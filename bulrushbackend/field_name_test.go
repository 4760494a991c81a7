package bulrushbackend

import (
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// Guards against an answer in whose head, interim head or trailer the name of a field is none:
// callers would get that line, or a body with another end than the server meant.
func TestAnswerWithInvalidFieldName(t *testing.T) {
	const (
		status  = "HTTP/1.1 200 OK\r\n"
		length  = "Content-Length: 4\r\n"
		end     = "\r\nbody"
		chunked = status + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	)
	// Each place has FIELD where the field is.
	places := map[string]string{
		"first":                 status + "FIELD\r\n" + length + end,
		"last":                  status + length + "FIELD\r\n" + end,
		"failure":               "HTTP/1.1 500 Internal Server Error\r\nFIELD\r\n" + length + end,
		"without a length":      status + "FIELD\r\n" + end,
		"interim":               "HTTP/1.1 103 Early Hints\r\nFIELD\r\n\r\n" + status + length + end,
		"second interim":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\nFIELD\r\n\r\n" + status + length + end,
		"trailer":               chunked + "FIELD\r\n\r\n",
		"second trailer":        chunked + "X-B: 1\r\nFIELD\r\n\r\n",
		"trailer, announced":    strings.Replace(chunked, "\r\n\r\n", "\r\nTrailer: X-A, X-B\r\n\r\n", 1) + "FIELD\r\n\r\n",
		"answer to another one": status + "Id: b\r\nFIELD\r\n" + length + end + status + "Id: a\r\n" + length + end,
	}
	fields := map[string]struct {
		field     string
		wantWhole bool
	}{
		"ordinary":             {"X-A: 1", true},
		"odd, but a token":     {"!#$%&'*+-.^_`|~09: 1", true},
		"blanks in the value":  {"X-A:  1  2 ", true},
		"empty value":          {"X-A:", true},
		"blank":                {"X A: 1", false},
		"blank at the end":     {"X-A : 1", false},
		"length with a blank":  {"Content-Length : 2", false},
		"chunked with a blank": {"Transfer-Encoding : chunked", false},
		"only a blank":         {"X-C: 1\r\n : 1", true}, // continues the line before
		"tab":                  {"X\tA: 1", false},
		"zero byte":            {"X\x00A: 1", false},
		"control byte":         {"X\x01A: 1", false},
		"delete":               {"X\x7fA: 1", false},
		"byte above 0x7f":      {"X\xe9A: 1", false},
		"no name":              {": 1", false},
		"no colon":             {"X-A", false},
	}
	for place, answer := range places {
		for name, tc := range fields {
			t.Run(place+", "+name, func(t *testing.T) {
				t.Parallel()
				client := NewClient(Settings{
					Address:     startBreakingServer(t, strings.Replace(answer, "FIELD", tc.field, 1), false),
					Connections: 1, MaxBodyBytes: 1 << 20, Protocol: idHeaderProtocol{closeDelimited: true},
				})
				defer client.Close()
				got, err := client.Do(t.Context(), Request{
					Method: http.MethodGet, Target: "/", Host: "board", Header: http.Header{}, Attempt: &bulrushchute.Attempt{RequestID: "a"},
				})
				if tc.wantWhole {
					assert.NilError(t, err)
					assert.Equal(t, string(got.Body), "body")
					return
				}
				var failed *Error
				assert.Assert(t, errors.As(err, &failed) && failed.Sent, "got %d %q, %v", got.Status, got.Body, err)
			})
		}
	}
}
