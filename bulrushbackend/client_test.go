package bulrushbackend

import (
	"bufio"
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

// echoProtocol tells answers apart by an Id header.
type echoProtocol struct {
	unframed bool
}

func (echoProtocol) WriteHeader(http.Header, bulrushchute.Dispatch) {}

func (p echoProtocol) AcceptsCloseDelimited() bool { return p.unframed }

func (echoProtocol) ReportsLoad() bool { return false }

func (echoProtocol) ReadReport(attempt *bulrushchute.Attempt, _ int, header http.Header) bulrushchute.BackendReport {
	return bulrushchute.BackendReport{Mismatched: attempt != nil && header.Get("Id") != "" && header.Get("Id") != attempt.RequestID}
}

// script is a backend server that answers the requests of each connection with
// the given texts in turn. It closes the connection after the last one.
type script struct {
	listener net.Listener
	answers  []string
	requests atomic.Int64
}

func startScript(t *testing.T, answers ...string) *script {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &script{listener: listener, answers: answers}
	t.Cleanup(func() { _ = listener.Close() })
	go s.accept()
	return s
}

func (s *script) accept() {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(socket)
	}
}

func (s *script) serve(socket net.Conn) {
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

func (s *script) client(t *testing.T, protocol echoProtocol) *Client {
	client := NewClient(Settings{
		Address: bulrushchute.Address(s.listener.Addr().String()), Connections: 2, MaxBodyBytes: 1 << 20, Protocol: protocol,
	})
	t.Cleanup(client.Close)
	return client
}

func exchangeOf(id string, idempotent bool) Exchange {
	return Exchange{
		Method: http.MethodPost, Target: "/filings?a=%2F", Host: "ledger.example", Header: http.Header{},
		Body: []byte("repair"), HasBody: true, Idempotent: idempotent, Attempt: &bulrushchute.Attempt{RequestID: id},
	}
}

func answerOf(id, body string) string {
	length := string(rune('0' + len(body)))
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + length + "\r\n\r\n" + body
}

// Guards against answers of other requests, parts of answers and bytes that
// are no answer, each passed on as a whole answer.
func TestOnlyOwnWholeAnswersPass(t *testing.T) {
	cases := map[string]struct {
		answer     string
		unframed   bool
		wantBody   string
		wantReason bulrushchute.Reason
	}{
		"whole":                             {answerOf("a", "one"), false, "one", ""},
		"answer to another request first":   {answerOf("b", "two") + answerOf("a", "one"), false, "one", ""},
		"only answers to other requests":    {strings.Repeat(answerOf("b", "two"), 5), false, "", bulrushchute.ReasonTruncated},
		"interim answer first":              {"HTTP/1.1 103 Early Hints\r\n\r\n" + answerOf("a", "one"), false, "one", ""},
		"cut in the body":                   {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\none", false, "", bulrushchute.ReasonTruncated},
		"ends with the connection":          {"HTTP/1.1 200 OK\r\nId: a\r\n\r\none", true, "one", ""},
		"ends with the connection, refused": {"HTTP/1.1 200 OK\r\nId: a\r\n\r\none", false, "", bulrushchute.ReasonTruncated},
		"no answer":                         {"", false, "", bulrushchute.ReasonConnectionLost},
		"bytes that are no answer":          {"220 mail\r\n\r\n", false, "", bulrushchute.ReasonConnectionLost},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			server := startScript(t, tc.answer)
			answer, err := server.client(t, echoProtocol{unframed: tc.unframed}).Do(context.Background(), exchangeOf("a", true))
			assert.Equal(t, string(answer.Body), tc.wantBody)
			var failed *Error
			if tc.wantReason == "" {
				assert.NilError(t, err)
			} else {
				assert.Assert(t, errors.As(err, &failed) && failed.Sent)
				assert.Equal(t, failed.Reason, tc.wantReason)
			}
			assert.Equal(t, server.requests.Load(), int64(1), "a request is sent once")
		})
	}
}

// Guards against a late second answer on a kept connection that is taken for
// the answer to the next request.
func TestBytesOnAnIdleConnection(t *testing.T) {
	server := startScript(t, answerOf("a", "one")+answerOf("a", "two"), answerOf("a", "late"))
	client := server.client(t, echoProtocol{})
	for range 2 {
		answer, err := client.Do(context.Background(), exchangeOf("a", true))
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), "one", "each request has a connection of its own")
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a request that cannot be repeated and is lost on a kept
// connection that the server has closed meanwhile.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	server := startScript(t, answerOf("", "one"))
	client := server.client(t, echoProtocol{})
	for range 3 {
		_, err := client.Do(context.Background(), exchangeOf("a", false))
		assert.NilError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, server.requests.Load(), int64(3))
}

// Guards against "may have run" for a request that nobody received.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	server := startScript(t)
	client := server.client(t, echoProtocol{})
	assert.NilError(t, server.listener.Close())
	_, err := client.Do(context.Background(), exchangeOf("a", false))
	var failed *Error
	assert.Assert(t, errors.As(err, &failed) && !failed.Sent)
}

// Guards against a server that goes on working for a caller that has left.
func TestEndOfContextClosesTheConnection(t *testing.T) {
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
	client := NewClient(Settings{Address: bulrushchute.Address(listener.Addr().String()), Connections: 1, Protocol: echoProtocol{}})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = client.Do(ctx, exchangeOf("a", true))
	var failed *Error
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, failed.Reason, bulrushchute.ReasonDeadline)
	<-closed
}

// Guards against a changed path, host or body on the way to the server.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	exchange := exchangeOf("a", true)
	exchange.Header.Set("X-Own", "1")
	request, err := encodeRequest(exchange)
	assert.NilError(t, err)
	assert.Equal(t, string(request), "POST /filings?a=%2F HTTP/1.1\r\nHost: ledger.example\r\nX-Own: 1\r\nContent-Length: 6\r\n\r\nrepair")
}
