package bulrushbackend

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// idHeaderProtocol matches an answer to its request by an Id header.
type idHeaderProtocol struct {
	closeDelimited bool
}

func (idHeaderProtocol) WriteHeader(http.Header, bulrushchute.Dispatch) {}

func (p idHeaderProtocol) AcceptsCloseDelimited() bool { return p.closeDelimited }

func (idHeaderProtocol) ReportsLoad() bool { return false }

func (idHeaderProtocol) ReadReport(attempt *bulrushchute.Attempt, _ int, header http.Header) bulrushchute.BackendReport {
	return bulrushchute.BackendReport{Mismatched: attempt != nil && header.Get("Id") != "" && header.Get("Id") != attempt.RequestID}
}

// scriptedServer is a backend server that answers the requests on each
// connection with the given raw answers in turn, then closes the connection.
type scriptedServer struct {
	listener net.Listener
	answers  []string
	requests atomic.Int64
}

func startScriptedServer(t *testing.T, answers ...string) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedServer{listener: listener, answers: answers}
	t.Cleanup(func() { _ = listener.Close() })
	go s.accept()
	return s
}

func (s *scriptedServer) accept() {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(socket)
	}
}

func (s *scriptedServer) serve(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	for _, answer := range s.answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		body := make([]byte, max(0, request.ContentLength))
		if _, err := bufio.NewReader(request.Body).Read(body); err != nil && len(body) > 0 {
			return
		}
		_, _ = socket.Write([]byte(answer))
	}
}

func (s *scriptedServer) newClient(t *testing.T, protocol idHeaderProtocol) *Client {
	client := NewClient(Settings{
		Address: bulrushchute.Address(s.listener.Addr().String()), Connections: 2, MaxBodyBytes: 1 << 20, Protocol: protocol,
	})
	t.Cleanup(client.Close)
	return client
}

func newTestRequest(id string, idempotent bool) Request {
	return Request{
		Method: http.MethodPost, Target: "/filings?a=%2F", Host: "ledger.example", Header: http.Header{},
		Body: []byte("repair"), HasBody: true, Idempotent: idempotent, Attempt: &bulrushchute.Attempt{RequestID: id},
	}
}

func newRawAnswer(id, body string) string {
	length := string(rune('0' + len(body)))
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + length + "\r\n\r\n" + body
}

// Guards against passing on an answer to another request, a partial answer or
// bytes that are not HTTP as a complete answer.
func TestRejectsMismatchedAndIncompleteAnswers(t *testing.T) {
	cases := map[string]struct {
		answer         string
		closeDelimited bool
		wantBody       string
		wantReason     bulrushchute.Reason
	}{
		"complete":                        {newRawAnswer("a", "one"), false, "one", ""},
		"answer to another request first": {newRawAnswer("b", "two") + newRawAnswer("a", "one"), false, "one", ""},
		"only answers to other requests":  {strings.Repeat(newRawAnswer("b", "two"), 5), false, "", bulrushchute.ReasonTruncated},
		"interim answer first":            {"HTTP/1.1 103 Early Hints\r\n\r\n" + newRawAnswer("a", "one"), false, "one", ""},
		"truncated body":                  {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\none", false, "", bulrushchute.ReasonTruncated},
		"close-delimited":                 {"HTTP/1.1 200 OK\r\nId: a\r\n\r\none", true, "one", ""},
		"close-delimited, not accepted":   {"HTTP/1.1 200 OK\r\nId: a\r\n\r\none", false, "", bulrushchute.ReasonTruncated},
		"no answer":                       {"", false, "", bulrushchute.ReasonConnectionLost},
		"not HTTP":                        {"220 mail\r\n\r\n", false, "", bulrushchute.ReasonConnectionLost},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			server := startScriptedServer(t, tc.answer)
			answer, err := server.newClient(t, idHeaderProtocol{closeDelimited: tc.closeDelimited}).Do(context.Background(), newTestRequest("a", true))
			assert.Equal(t, string(answer.Body), tc.wantBody)
			var requestErr *Error
			if tc.wantReason == "" {
				assert.NilError(t, err)
			} else {
				assert.Assert(t, errors.As(err, &requestErr) && requestErr.Sent)
				assert.Equal(t, requestErr.Reason, tc.wantReason)
			}
			assert.Equal(t, server.requests.Load(), int64(1), "the request must be sent exactly once")
		})
	}
}

// Guards against taking an unsolicited second answer, which arrives while the
// connection is idle, for the answer to the next request.
func TestUnsolicitedAnswerOnIdleConnection(t *testing.T) {
	server := startScriptedServer(t, newRawAnswer("a", "one")+newRawAnswer("a", "two"), newRawAnswer("a", "late"))
	client := server.newClient(t, idHeaderProtocol{})
	for range 2 {
		answer, err := client.Do(context.Background(), newTestRequest("a", true))
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), "one", "a connection with unread data must not be reused")
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against sending a request on an idle connection that the server has
// closed. The request would be lost, and a non-idempotent one can't be retried.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	server := startScriptedServer(t, newRawAnswer("", "one"))
	client := server.newClient(t, idHeaderProtocol{})
	for range 3 {
		_, err := client.Do(context.Background(), newTestRequest("a", false))
		assert.NilError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, server.requests.Load(), int64(3))
}

// Guards against reporting a request as sent, and so as possibly run, when the
// dial failed.
func TestDialErrorIsNotSent(t *testing.T) {
	server := startScriptedServer(t)
	client := server.newClient(t, idHeaderProtocol{})
	assert.NilError(t, server.listener.Close())
	_, err := client.Do(context.Background(), newTestRequest("a", false))
	var requestErr *Error
	assert.Assert(t, errors.As(err, &requestErr) && !requestErr.Sent)
}

// Guards against a server that keeps working on a request whose caller has gone.
func TestContextEndClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		socket, err := listener.Accept()
		if err == nil {
			buffer := make([]byte, 4096)
			for err == nil {
				_, err = socket.Read(buffer)
			}
			close(closed)
		}
	}()
	client := NewClient(Settings{Address: bulrushchute.Address(listener.Addr().String()), Connections: 1, Protocol: idHeaderProtocol{}})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = client.Do(ctx, newTestRequest("a", true))
	var requestErr *Error
	assert.Assert(t, errors.As(err, &requestErr))
	assert.Equal(t, requestErr.Reason, bulrushchute.ReasonDeadline)
	<-closed
}

// Guards against changing the path, host, header or body of a request when it
// is encoded.
func TestEncodeRequestPreservesInput(t *testing.T) {
	request := newTestRequest("a", true)
	request.Header.Set("X-Own", "1")
	encoded, err := encodeRequest(request)
	assert.NilError(t, err)
	assert.Equal(t, string(bytes.Join(encoded, nil)), "POST /filings?a=%2F HTTP/1.1\r\nHost: ledger.example\r\nX-Own: 1\r\nContent-Length: 6\r\n\r\nrepair")

	request.Body = bytes.Repeat([]byte("x"), maxSyncWriteBytes+1)
	encoded, err = encodeRequest(request)
	assert.NilError(t, err)
	want := "POST /filings?a=%2F HTTP/1.1\r\nHost: ledger.example\r\nX-Own: 1\r\nContent-Length: 16385\r\n\r\n" + string(request.Body)
	assert.Equal(t, string(bytes.Join(encoded, nil)), want)
}
