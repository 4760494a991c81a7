package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one that a client sends.
type request struct {
	method, host, path, id string
	deadlineMs             int
	body                   string
}

func (r request) encode() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, r.deadlineMs)
	if r.method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return text + "\r\n" + r.body
}

// result is what the client got.
type result struct {
	status int
	// whole is set if the body is as long as the answer says, and read its length.
	whole bool
	read  int
	err   error
}

func (r result) String() string {
	return fmt.Sprintf("status %d, %d bytes, whole %t, error %v", r.status, r.read, r.whole, r.err)
}

// send sends a request on a connection and reads the answer. After first bytes of the
// body it reads nothing for pause.
func send(conn net.Conn, reader *bufio.Reader, r request, first int, pause time.Duration) result {
	_ = conn.SetDeadline(time.Now().Add(time.Duration(r.deadlineMs) * time.Millisecond))
	if _, err := io.WriteString(conn, r.encode()); err != nil {
		return result{err: err}
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	got := result{status: response.StatusCode}
	if pause > 0 {
		n, err := io.CopyN(io.Discard, response.Body, int64(first))
		got.read = int(n)
		if err != nil {
			got.err = err
			return got
		}
		time.Sleep(pause)
	}
	var rest strings.Builder
	n, err := io.Copy(&rest, response.Body)
	got.read += int(n)
	got.err = err
	got.whole = err == nil && int64(got.read) == response.ContentLength
	return got
}
