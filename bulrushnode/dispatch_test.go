package bulrushnode

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// rawBackend is a backend server that answers each request with fixed bytes and
// counts the requests.
type rawBackend struct {
	listener net.Listener
	requests atomic.Int64
}

func startRawBackend(t *testing.T, answer string, keepOpen bool) *rawBackend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	rb := &rawBackend{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go rb.accept(answer, keepOpen)
	return rb
}

func (rb *rawBackend) accept(answer string, keepOpen bool) {
	for {
		connection, err := rb.listener.Accept()
		if err != nil {
			return
		}
		go rb.serve(connection, answer, keepOpen)
	}
}

func (rb *rawBackend) serve(connection net.Conn, answer string, keepOpen bool) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		buffer := make([]byte, request.ContentLength)
		_, _ = request.Body.Read(buffer)
		rb.requests.Add(1)
		_, _ = connection.Write([]byte(answer))
		if !keepOpen {
			return
		}
	}
}

func (rb *rawBackend) address() bulrushchute.Address {
	return bulrushchute.Address(rb.listener.Addr().String())
}

func dispatchTo(address bulrushchute.Address, attempt bulrushchute.Attempt) dispatchResult {
	client := newBackendClient(address, 4, Options{}.protocols(), nil)
	defer client.close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return client.dispatch(ctx, bulrushchute.Dispatch{Attempt: attempt})
}

// keyedPostAttempt returns a non-idempotent attempt with an idempotency key.
func keyedPostAttempt() bulrushchute.Attempt {
	return bulrushchute.Attempt{
		Method: http.MethodPost,
		Path:   "/filings",
		Header: []bulrushchute.HeaderField{{Name: "Idempotency-Key", Value: "k"}},
		Body:   []byte("repair"),
	}
}

// Guards against forwarding truncated or close-delimited answers as complete,
// and against reporting "not run" for a request that may have run.
func TestDispatchEnds(t *testing.T) {
	cases := map[string]struct {
		answer         string
		wantAnswer     bool
		wantReason     bulrushchute.Reason
		wantMayHaveRun bool
	}{
		"complete":                 {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", true, "", true},
		"truncated in the body":    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole", false, bulrushchute.ReasonTruncated, true},
		"truncated in a chunk":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho", false, bulrushchute.ReasonTruncated, true},
		"chunked and complete":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true, "", true},
		"ends with the connection": {"HTTP/1.1 200 OK\r\n\r\nwhole", false, bulrushchute.ReasonTruncated, true},
		"no content":               {"HTTP/1.1 204 No Content\r\n\r\n", true, "", true},
		"truncated in the header":  {"HTTP/1.1 200 OK\r\nContent-", false, bulrushchute.ReasonConnectionLost, true},
		"closed before the answer": {"", false, bulrushchute.ReasonConnectionLost, true},
		"not HTTP":                 {"220 mail\r\n", false, bulrushchute.ReasonConnectionLost, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			backend := startRawBackend(t, tc.answer, false)
			result := dispatchTo(backend.address(), keyedPostAttempt())
			assert.Equal(t, result.answer != nil, tc.wantAnswer)
			assert.Equal(t, result.reason, tc.wantReason)
			assert.Equal(t, result.mayHaveRun, tc.wantMayHaveRun)
			assert.Equal(t, backend.requests.Load(), int64(1), "a request must be sent once")
		})
	}
}

// Guards against an unknown outcome when no server was listening, so that the
// request certainly did not run.
func TestDispatchRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	result := dispatchTo(bulrushchute.Address(listener.Addr().String()), keyedPostAttempt())
	assert.Assert(t, result.answer == nil && !result.mayHaveRun)
	assert.Assert(t, replyOf(result).Refusal != nil)
}

// Guards against the automatic retry of net/http, which resends a request with
// an Idempotency-Key header when the backend server closes a reused connection.
func TestDispatchNeverRepeatsOnReusedConnection(t *testing.T) {
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if runs.Add(1) == 1 {
			return
		}
		connection, _, err := writer.(http.Hijacker).Hijack()
		if err == nil {
			_ = connection.Close()
		}
	}))
	defer server.Close()
	address := bulrushchute.Address(strings.TrimPrefix(server.URL, "http://"))
	client := newBackendClient(address, 1, Options{}.protocols(), nil)
	defer client.close()
	first := client.dispatch(context.Background(), bulrushchute.Dispatch{Attempt: keyedPostAttempt()})
	assert.Assert(t, first.answer != nil)
	second := client.dispatch(context.Background(), bulrushchute.Dispatch{Attempt: keyedPostAttempt()})
	assert.Assert(t, second.answer == nil && second.mayHaveRun)
	assert.Equal(t, runs.Load(), int64(2), "the second request must run once")
}

// Guards against outcomes forged by callers or backend servers, and against
// forwarding hop-by-hop headers.
func TestForwardedFields(t *testing.T) {
	header := http.Header{
		"Bulrush-Outcome": {"not_run"},
		"Bulrush-Reason":  {"busy"},
		"Connection":      {"close, X-Private"},
		"X-Private":       {"1"},
		"Upgrade":         {"websocket"},
		"Accept":          {"a", "b"},
	}
	fields := forwardedFields(header, nativeProtocol{}.Reserved)
	assert.DeepEqual(t, fields, []bulrushchute.HeaderField{{Name: "Accept", Value: "a"}, {Name: "Accept", Value: "b"}})
}
