package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is heartbeatS of the site.
const heartbeatInterval = 1500 * time.Millisecond

// arrival is a request that a server received, other than health checks and those that it
// answered with 421.
type arrival struct {
	at      time.Time
	id      string
	cold    bool
	ran     bool
	ended   string
	endedAt time.Time
	// deadline is the time that the server was handed.
	deadline time.Duration
}

// server is a stand-in of a backend server that follows PROTOCOL.md.
type server struct {
	node    *node
	id      string
	version string
	slots   int
	queue   int
	work    time.Duration

	mutex    sync.Mutex
	listener net.Listener
	http     *http.Server
	born     time.Time
	sequence int
	running  int
	waiting  int
	arrivals []arrival
}

func newServer(n *node, id string) *server {
	return &server{node: n, id: id, version: "v1", slots: 9, queue: 18, work: 160 * time.Millisecond}
}

// start listens and announces the server, which started long ago and is not cold.
func (s *server) start() {
	listener, err := net.Listen("tcp", s.node.backend)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	s.listener, s.born = listener, time.Now()
	s.http = &http.Server{Handler: s}
	s.mutex.Unlock()
	go func() { _ = s.http.Serve(listener) }()
	go s.beats()
}

func (s *server) beats() {
	for {
		s.beat()
		time.Sleep(heartbeatInterval)
	}
}

func (s *server) setWork(work time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.work = work
}

// heartbeat returns the next heartbeat in the names of deploy/wire.toml.
func (s *server) heartbeat() []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sequence++
	data, err := json.Marshal(map[string]any{
		"service": s.node.service, "address": s.node.backend, "zone": s.node.zone, "version": s.version, "slots": s.slots,
		"state": "ready", "cold_ms": 0, "sequence": s.sequence, "born": s.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	return data
}

func (s *server) beat() { s.send("instances.heartbeat", s.heartbeat()) }

// send makes a call to the node beside the server.
func (s *server) send(call string, body []byte) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+s.node.announce+"/bulrushchute/rpc?call="+call+"&of="+s.id, "application/json", bytes.NewReader(body))
	if err != nil {
		s.node.world.record("%s: %s of %s: %v", s.node.name, call, s.id, err)
		return false
	}
	_ = response.Body.Close()
	s.node.world.record("%s: %s of %s %s: %d", s.node.name, call, s.id, body, response.StatusCode)
	return response.StatusCode/100 == 2
}

func (s *server) setLoad(header http.Header) {
	header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots))
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == s.node.world.healthPath(s.node.service) {
		s.serveHealth(writer)
		return
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		writer.Header().Set("X-Instance-Id", s.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("X-Attempt-Id")
	deadlineMs, err := strconv.ParseFloat(request.Header.Get("X-Deadline-Ms"), 64)
	if err != nil {
		deadlineMs = 60_000
	}
	deadline := time.Now().Add(time.Duration(deadlineMs * float64(time.Millisecond)))
	index := s.arrived(id, time.Until(deadline))
	end := s.serve(writer, request, body, deadline, index)
	s.mutex.Lock()
	s.arrivals[index].ended, s.arrivals[index].endedAt = end, time.Now()
	s.mutex.Unlock()
}

func (s *server) serveHealth(writer http.ResponseWriter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	writer.Header().Set("X-Instance-Id", s.id)
	s.setLoad(writer.Header())
}

// arrived records a request that was handed a deadline, and returns its index.
func (s *server) arrived(id string, deadline time.Duration) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), id: id, deadline: deadline})
	return len(s.arrivals) - 1
}

func (s *server) serve(writer http.ResponseWriter, request *http.Request, body []byte, deadline time.Time, index int) string {
	s.mutex.Lock()
	if s.running >= s.slots && s.waiting >= s.queue {
		writer.Header().Set("X-Not-Executed", "1")
		s.setLoad(writer.Header())
		s.mutex.Unlock()
		writer.WriteHeader(http.StatusServiceUnavailable)
		return "rejected"
	}
	s.waiting++
	for s.running >= s.slots && time.Now().Before(deadline) && request.Context().Err() == nil {
		s.mutex.Unlock()
		time.Sleep(2 * time.Millisecond)
		s.mutex.Lock()
	}
	s.waiting--
	if request.Context().Err() != nil {
		s.mutex.Unlock()
		return "dropped in the queue"
	}
	if !time.Now().Before(deadline) {
		writer.Header().Set("X-Not-Executed", "1")
		s.mutex.Unlock()
		writer.WriteHeader(http.StatusServiceUnavailable)
		return "rejected late"
	}
	s.running++
	s.arrivals[index].ran = true
	work := s.work
	s.mutex.Unlock()
	end := ""
	select {
	case <-time.After(min(work, time.Until(deadline))):
	case <-request.Context().Done():
		end = "dropped"
	}
	s.mutex.Lock()
	s.running--
	s.mutex.Unlock()
	if end != "" {
		return end
	}
	s.mutex.Lock()
	s.setLoad(writer.Header())
	s.mutex.Unlock()
	id := request.Header.Get("X-Attempt-Id")
	writer.Header().Set("X-Attempt-Id", id)
	writer.Header().Set("X-Response-Signature", signature(id))
	writer.Header().Set("Keep-Alive", "timeout=10")
	if !time.Now().Before(deadline) {
		writer.WriteHeader(http.StatusGatewayTimeout)
		return "504"
	}
	_, _ = io.WriteString(writer, answerBody(id, len(body)))
	return "200"
}

func signature(id string) string { return "sig-" + id }

func answerBody(id string, read int) string {
	return strings.Repeat("answer to "+id+" ", 20) + strconv.Itoa(read)
}

// requestsOf returns the arrivals of a request at the server.
func (s *server) requestsOf(id string) []arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []arrival
	for _, a := range s.arrivals {
		if a.id == id {
			found = append(found, a)
		}
	}
	return found
}
