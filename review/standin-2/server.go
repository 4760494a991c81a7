package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for an application server beside a node.
type server struct {
	world         *world
	node          *node
	id            string
	born          int64
	slots         int
	workMs, bytes int
	http          *http.Server

	mutex    sync.Mutex
	state    string
	sequence int
	running  int
	// arrivals are when requests that ran reached the server.
	arrivals []time.Time
	stopped  chan struct{}
}

// startServer starts a server at the node's address. It sends no heartbeats yet.
func (n *node) startServer(id string, born int64, workMs, answerBytes int) (*server, error) {
	listener, err := net.Listen("tcp", n.backend)
	if err != nil {
		return nil, err
	}
	s := &server{
		world: n.world, node: n, id: id, born: born, slots: 9, workMs: workMs, bytes: answerBytes,
		state: "ready", stopped: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	n.world.note("server %s of %s started, born %d", id, n.service, born)
	return s, nil
}

// beatOnce sends the next heartbeat and reports whether it was acknowledged.
func (s *server) beatOnce() bool {
	s.mutex.Lock()
	s.sequence++
	a := announcement{
		Service: s.node.service, Address: s.node.backend, Zone: s.node.zone, Version: "v1", Slots: s.slots,
		State: s.state, Sequence: s.sequence, Born: s.born,
	}
	s.mutex.Unlock()
	return s.node.beat(s.id, a)
}

// beats sends heartbeats until the server stops.
func (s *server) beats() {
	for {
		s.beatOnce()
		select {
		case <-s.stopped:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (s *server) setState(state string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.state = state
}

// crash ends the server and all its connections.
func (s *server) crash() {
	close(s.stopped)
	_ = s.http.Close()
	s.world.note("server %s crashed", s.id)
}

// runsSince returns how many requests have reached the server and run since a time.
func (s *server) runsSince(since time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, at := range s.arrivals {
		if at.After(since) {
			count++
		}
	}
	return count
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	state, running := s.state, s.running
	s.mutex.Unlock()
	header := writer.Header()
	if state != "ready" {
		header.Set("Connection", "close")
	}
	header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d,100", running, s.slots))
	if request.URL.Path == "/health" {
		header.Set("X-Instance-Id", s.id)
		if state != "ready" {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	header.Set("X-Attempt-Id", attempt)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		header.Set("X-Instance-Id", s.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mutex.Lock()
	if s.running >= s.slots {
		s.mutex.Unlock()
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.arrivals = append(s.arrivals, time.Now())
	s.mutex.Unlock()
	s.world.note("server %s runs %s %s %s", s.id, request.Method, request.URL.Path, attempt)
	time.Sleep(time.Duration(s.workMs) * time.Millisecond)
	s.mutex.Lock()
	s.running--
	s.mutex.Unlock()
	body := make([]byte, s.bytes)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("X-Response-Signature", s.id+"."+attempt)
	_, _ = writer.Write(body)
	s.world.note("server %s answered %s with %d bytes", s.id, attempt, len(body))
}
