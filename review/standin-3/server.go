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
	node     *node
	id       string
	version  string
	slots    int
	queue    int
	work     time.Duration
	coldX    float64
	coldTime time.Duration
	// crashAt is the number of requests in a second that the server does not survive while it
	// is cold, 0 for none.
	crashAt int
	// reportsLoad is set if answers have X-Server-Load.
	reportsLoad bool

	mutex     sync.Mutex
	listener  net.Listener
	http      *http.Server
	born      time.Time
	sequence  int
	coldUntil time.Time
	state     string
	running   int
	waiting   int
	arrivals  []arrival
	crashed   bool
	stopBeats chan struct{}
}

func newServer(n *node, id string) *server {
	s := &server{node: n, id: id, version: "v1", slots: 9, queue: 18, work: 160 * time.Millisecond, coldX: 2, coldTime: 3 * time.Second, reportsLoad: true, state: "ready"}
	return s
}

// start listens and announces the server, which is cold at first if cold is set.
func (s *server) start(cold bool) {
	listener, err := net.Listen("tcp", s.node.backend)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	s.listener, s.born, s.crashed = listener, time.Now(), false
	if cold {
		s.coldUntil = s.born.Add(s.coldTime)
	}
	s.http = &http.Server{Handler: s}
	s.stopBeats = make(chan struct{})
	s.mutex.Unlock()
	go func() { _ = s.http.Serve(listener) }()
	go s.beats(s.stopBeats)
}

// crash closes the listener and resets the connections.
func (s *server) crash() {
	s.mutex.Lock()
	if s.crashed {
		s.mutex.Unlock()
		return
	}
	s.crashed = true
	close(s.stopBeats)
	s.mutex.Unlock()
	s.node.world.record("%s: server %s crashes", s.node.name, s.id)
	_ = s.http.Close()
}

func (s *server) turnCold() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.coldUntil = time.Now().Add(s.coldTime)
	s.node.world.record("%s: server %s is cold for %v from now on", s.node.name, s.id, s.coldTime)
}

func (s *server) coldLeft(now time.Time) time.Duration {
	return max(0, s.coldUntil.Sub(now))
}

func (s *server) beats(stop <-chan struct{}) {
	for {
		s.beat()
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat returns the next heartbeat in the names of deploy/wire.toml.
func (s *server) heartbeat() []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sequence++
	data, err := json.Marshal(map[string]any{
		"service": s.node.service, "address": s.node.backend, "zone": s.node.zone, "version": s.version, "slots": s.slots,
		"state": s.state, "cold_ms": s.coldLeft(time.Now()).Milliseconds(), "sequence": s.sequence, "born": s.born.UnixMilli(),
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
	if s.reportsLoad {
		header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots))
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
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
	if left := s.coldLeft(time.Now()); left > 0 {
		writer.Header().Set("X-Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	if s.state != "ready" {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// arrived records a request, and ends the server if it is cold and gets too many.
func (s *server) arrived(id string, deadline time.Duration) int {
	s.mutex.Lock()
	now := time.Now()
	cold := s.coldLeft(now) > 0
	s.arrivals = append(s.arrivals, arrival{at: now, id: id, cold: cold, deadline: deadline})
	index, recent := len(s.arrivals)-1, 0
	for i := index; i >= 0 && s.arrivals[i].cold && now.Sub(s.arrivals[i].at) < time.Second; i-- {
		recent++
	}
	s.mutex.Unlock()
	if cold && s.crashAt > 0 && recent > s.crashAt {
		go s.crash()
	}
	return index
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
	if s.coldLeft(time.Now()) > 0 {
		work = time.Duration(float64(work) * s.coldX)
	}
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
