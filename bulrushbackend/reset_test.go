package bulrushbackend

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

const (
	resetUploadBytes = 8 << 20
	// resetTries is how often each answer is read. Whether the write or the read is told of a
	// reset depends on the scheduler.
	resetTries = 20
)

// startEarlyServer starts a server that reads a part of each request, sends an answer, and
// passes the connection to a function that ends it.
func startEarlyServer(t *testing.T, readBytes int64, answer string, end func(socket *net.TCPConn)) bulrushchute.Address {
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
				_, _ = io.CopyN(io.Discard, socket, readBytes)
				_, _ = io.WriteString(socket, answer)
				end(socket.(*net.TCPConn))
			}()
		}
	}()
	return bulrushchute.Address(listener.Addr().String())
}

func resetAfter(delay time.Duration) func(*net.TCPConn) {
	return func(socket *net.TCPConn) {
		time.Sleep(delay)
		_ = socket.SetLinger(0)
		_ = socket.Close()
	}
}

// closeUnread closes a connection with a part of the request unread, which resets it. It waits
// for that part: a close with nothing to read is an orderly end.
func closeUnread(delay time.Duration) func(*net.TCPConn) {
	return func(socket *net.TCPConn) {
		time.Sleep(delay)
		_, _ = socket.Read(make([]byte, 1))
		_ = socket.Close()
	}
}

// closeWriteFirst ends the answer orderly. Its close resets the connection, since it leaves a
// part of the request unread.
func closeWriteFirst(delay time.Duration) func(*net.TCPConn) {
	return func(socket *net.TCPConn) {
		_ = socket.CloseWrite()
		time.Sleep(delay)
		_ = socket.Close()
	}
}

func readToEnd(socket *net.TCPConn) {
	_ = socket.CloseWrite()
	_, _ = io.Copy(io.Discard, socket)
	_ = socket.Close()
}

// Guards against an answer without a length that is cut off by a reset while its request is
// still being written, and passed on as a whole one; and against the loss of a whole answer
// that a server sends early.
func TestAnswerWhileRequestIsWritten(t *testing.T) {
	const (
		noLength = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"
		length   = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody"
		chunked  = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
		delay    = 5 * time.Millisecond
		readHead = 64
		readHalf = resetUploadBytes / 2
	)
	cases := map[string]struct {
		readBytes int64
		answer    string
		end       func(*net.TCPConn)
		wantBody  string
	}{
		"reset":                           {readHead, noLength + "body", resetAfter(0), ""},
		"reset later":                     {readHead, noLength + "body", resetAfter(delay), ""},
		"reset in the middle":             {readHalf, noLength + "body", resetAfter(delay), ""},
		"reset before the body":           {readHead, noLength, resetAfter(delay), ""},
		"closed unread":                   {readHead, noLength + "body", closeUnread(0), ""},
		"closed unread later":             {readHead, noLength + "body", closeUnread(delay), ""},
		"closed unread in the middle":     {readHalf, noLength + "body", closeUnread(delay), ""},
		"chunked, reset":                  {readHead, chunked, resetAfter(delay), ""},
		"orderly end":                     {readHead, noLength + "body", readToEnd, "body"},
		"orderly end in the middle":       {readHalf, noLength + "body", readToEnd, "body"},
		"orderly end, then reset":         {readHead, noLength + "body", closeWriteFirst(0), "body"},
		"orderly end, then reset later":   {readHead, noLength + "body", closeWriteFirst(delay), "body"},
		"with a length, reset":            {readHead, length, resetAfter(delay), "body"},
		"chunked and whole, reset":        {readHead, chunked + "0\r\n\r\n", resetAfter(delay), "body"},
		"chunked and whole, orderly end":  {readHead, chunked + "0\r\n\r\n", readToEnd, "body"},
		"with a length, closed unread":    {readHead, length, closeUnread(delay), "body"},
		"chunked, reset before its end":   {readHead, chunked + "0\r\n", resetAfter(delay), ""},
		"with a length, reset in between": {readHead, length[:len(length)-1], resetAfter(delay), ""},
	}
	upload := bytes.Repeat([]byte("x"), resetUploadBytes)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			client := NewClient(Settings{
				Address: startEarlyServer(t, tc.readBytes, tc.answer, tc.end), Connections: 2, MaxBodyBytes: 1 << 20,
				Protocol: idHeaderProtocol{closeDelimited: true},
			})
			defer client.Close()
			for range resetTries {
				request := newTestRequest("a", false)
				request.Body = upload
				answer, err := client.Do(t.Context(), request)
				if tc.wantBody != "" {
					assert.Check(t, err)
					assert.Check(t, string(answer.Body) == tc.wantBody, "got %q", answer.Body)
					continue
				}
				var lost *Error
				assert.Check(t, errors.As(err, &lost) && lost.Sent, "got %d %q, %v", answer.Status, answer.Body, err)
			}
		})
	}
}

// Guards against the same for a request that fits into one write, which fails because the
// server has reset the connection before.
func TestAnswerBeforeRequestIsWritten(t *testing.T) {
	cases := map[string]struct {
		answer   string
		end      func(*net.TCPConn)
		wantBody string
	}{
		"reset":                {"HTTP/1.1 200 OK\r\nId: a\r\n\r\nbody", resetAfter(0), ""},
		"with a length, reset": {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody", resetAfter(0), "body"},
		"orderly end":          {"HTTP/1.1 200 OK\r\nId: a\r\n\r\nbody", func(socket *net.TCPConn) { _ = socket.Close() }, "body"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			client := NewClient(Settings{Connections: 2, MaxBodyBytes: 1 << 20, Protocol: idHeaderProtocol{closeDelimited: true}})
			defer client.Close()
			socket, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = socket.Close() }()
			conn := newConnection(socket)
			server, err := listener.Accept()
			assert.NilError(t, err)
			_, err = io.WriteString(server, tc.answer)
			assert.NilError(t, err)
			for conn.noPendingData() {
				time.Sleep(time.Millisecond)
			}
			tc.end(server.(*net.TCPConn))
			time.Sleep(10 * time.Millisecond)
			answer, _, err := client.roundTrip(t.Context(), conn, newTestRequest("a", false))
			if tc.wantBody == "" {
				assert.Assert(t, err != nil, "got %d %q", answer.Status, answer.Body)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(answer.Body), tc.wantBody)
		})
	}
}

// Guards against a whole answer that its caller does not get in time, because the server has
// stopped to read the upload and keeps the connection open.
func TestAnswerOfServerThatStopsReading(t *testing.T) {
	const (
		deadline = 3 * time.Second
		soon     = time.Second
	)
	ended := make(chan struct{})
	defer close(ended)
	address := startEarlyServer(t, 64, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody", func(socket *net.TCPConn) {
		<-ended
		_ = socket.Close()
	})
	client := NewClient(Settings{Address: address, Connections: 2, MaxBodyBytes: 1 << 20, Protocol: idHeaderProtocol{}})
	defer client.Close()
	request := newTestRequest("a", false)
	request.Body = bytes.Repeat([]byte("x"), 4*resetUploadBytes)
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	begin := time.Now()
	answer, err := client.Do(ctx, request)
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "body")
	assert.Assert(t, time.Since(begin) < soon, "after %s", time.Since(begin))
}
