package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"time"
)

// serveFaulty serves connections as a faulty server does: it repeats a share of its
// answers to requests, late, at the point where the next response is expected.
func (s *server) serveFaulty(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveFaultyConnection(connection)
	}
}

func (s *server) serveFaultyConnection(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	var late []byte
	for {
		_ = connection.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		if late != nil {
			if _, err := connection.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := httptest.NewRecorder()
		s.ServeHTTP(answer, request)
		data := encode(answer)
		if _, err := connection.Write(data); err != nil {
			return
		}
		if request.URL.Path != "/health" && s.repeats() {
			s.record.line("%s %s: its answer will be repeated", shortServer(s.id), shortAttempt(request.Header.Get("X-Attempt-Id")))
			late = data
		}
	}
}

// repeats decides whether an answer is repeated.
func (s *server) repeats() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Now().Before(s.faultyUntil) && rand.Float64() < repeatedShare
}

func encode(answer *httptest.ResponseRecorder) []byte {
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "HTTP/1.1 %d %s\r\n", answer.Code, http.StatusText(answer.Code))
	answer.Header().Set("Content-Length", fmt.Sprint(answer.Body.Len()))
	_ = answer.Header().Write(&buffer)
	buffer.WriteString("\r\n")
	buffer.Write(answer.Body.Bytes())
	return buffer.Bytes()
}
