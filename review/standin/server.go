package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that a server has begun to work on.
type run struct {
	at      time.Time
	server  string
	service string
	attempt string
	method  string
	path    string
	caller  string
}

// arrival is a request that has arrived at a server, whether it runs or not.
type arrival struct {
	at      time.Time
	attempt string
}

// server is an application server. One of its methods starts it, and stop ends it as a
// crash does.
type server struct {
	record   *record
	id       string
	service  string
	zone     string
	address  string
	slots    int
	queue    int
	work     time.Duration
	born     int64
	sequence int
	// silent is set if the service does not tell its load.
	silent bool
	// faulty is set if the server repeats a share of its answers until faultyUntil.
	faulty      bool
	faultyUntil time.Time
	// coldUntil is the end of the time in which the server is cold, in which work takes
	// twice as long.
	coldSince, coldUntil time.Time
	// onCrash is called once if a cold server gets more than crashAbove requests in a
	// second, and has ended.
	onCrash func()

	mutex   sync.Mutex
	leaving bool
	// ended is set once the server's process has ended.
	ended   bool
	running int
	waiting int
	runs    []run
	// arrivals are the requests that arrived, without those answered 421.
	arrivals []arrival
	// toldCold are the times of the health responses that said that the server is cold.
	toldCold []time.Time
	free     chan struct{}
	http     *http.Server
}

func newServer(record *record, id, service, zone, address string, figures deployment, work time.Duration) *server {
	return &server{
		record: record, id: id, service: service, zone: zone, address: address,
		slots: figures.slots, queue: figures.queue, work: work,
	}
}

func (s *server) start() error {
	if s.born == 0 {
		s.born = time.Now().UnixMilli()
	}
	s.free = make(chan struct{}, s.slots)
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	if s.faulty {
		go s.serveFaulty(listener)
		s.record.line("server %s of %s starts at %s", s.id, s.service, s.address)
		return nil
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	s.record.line("server %s of %s starts at %s", s.id, s.service, s.address)
	return nil
}

func (s *server) stop() {
	s.mutex.Lock()
	s.ended = true
	s.mutex.Unlock()
	_ = s.http.Close()
	s.record.line("server %s ends", s.id)
}

func (s *server) hasEnded() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ended
}

func (s *server) setLeaving() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = true
}

func (s *server) isLeaving() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leaving
}

func (s *server) load() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots)
}

// takenRuns returns the runs so far.
func (s *server) takenRuns() []run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]run(nil), s.runs...)
}

func (s *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	if s.isLeaving() {
		header.Set("Connection", "close")
	}
	if !s.silent {
		header.Set("X-Server-Load", s.load())
	}
	if request.URL.Path == "/health" {
		s.serveHealth(writer)
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	if attempt == "" {
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	header.Set("X-Attempt-Id", attempt)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		s.record.line("server %s answers 421 to %s, which expects %s", s.id, attempt, expected)
		header.Set("X-Instance-Id", s.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mutex.Lock()
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), attempt: attempt})
	crashes := s.onCrash != nil && s.coldLeft() > 0 && s.recentArrivals() > crashAbove
	s.mutex.Unlock()
	if crashes {
		s.crash()
	}
	if s.hasEnded() {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	deadlineMs, _ := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(deadlineMs)*time.Millisecond)
	defer cancel()
	if !s.begin(ctx) {
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	if s.hasEnded() {
		return
	}
	taken := run{
		at: time.Now(), server: s.id, service: s.service, attempt: attempt, method: request.Method,
		path: request.URL.RequestURI(), caller: request.Header.Get("X-Caller-Service"),
	}
	work := time.Duration(float64(s.work) * max(0.3, 1+0.3*rand.NormFloat64()))
	s.mutex.Lock()
	s.runs = append(s.runs, taken)
	if s.coldLeft() > 0 {
		work *= 2
	}
	s.mutex.Unlock()
	s.record.line("%s %s runs %s", shortServer(s.id), shortAttempt(attempt), taken.caller)
	select {
	case <-time.After(work):
	case <-ctx.Done():
		writer.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	header.Set("X-Response-Signature", "sig."+s.id+"."+attempt)
	_, _ = io.WriteString(writer, "answer of "+s.id+" to "+attempt+"\n")
}

func (s *server) serveHealth(writer http.ResponseWriter) {
	s.mutex.Lock()
	leaving, leftMs := s.leaving, s.coldLeft().Milliseconds()
	if leftMs > 0 {
		s.toldCold = append(s.toldCold, time.Now())
	}
	s.mutex.Unlock()
	writer.Header().Set("X-Instance-Id", s.id)
	if leftMs > 0 {
		writer.Header().Set("X-Cold-Ms", strconv.FormatInt(leftMs, 10))
	}
	if leaving {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// crashAbove is three times the rate that a cold server tolerates.
const crashAbove = 36

// recentArrivals returns the number of requests in the last second, of those that
// arrived while the server was cold. The mutex is held.
func (s *server) recentArrivals() int {
	count := 0
	for i := len(s.arrivals) - 1; i >= 0 && time.Since(s.arrivals[i].at) < time.Second && !s.arrivals[i].at.Before(s.coldSince); i-- {
		count++
	}
	return count
}

func (s *server) crash() {
	s.mutex.Lock()
	onCrash := s.onCrash
	s.onCrash = nil
	s.mutex.Unlock()
	if onCrash != nil {
		s.record.line("server %s crashes under its load", s.id)
		s.stop()
		onCrash()
	}
}

// becomeCold makes the server cold from now on.
func (s *server) becomeCold(span time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.coldSince = time.Now()
	s.coldUntil = s.coldSince.Add(span)
	s.record.line("server %s becomes cold for %s", s.id, span)
}

// coldLeft returns how much longer the server is cold. The mutex is held.
func (s *server) coldLeft() time.Duration {
	return max(0, time.Until(s.coldUntil))
}

// begin waits for a slot, or returns false if the queue is full or the deadline passes.
func (s *server) begin(ctx context.Context) bool {
	s.mutex.Lock()
	if s.waiting >= s.queue {
		s.mutex.Unlock()
		return false
	}
	s.waiting++
	s.mutex.Unlock()
	taken := false
	select {
	case s.free <- struct{}{}:
		taken = true
	case <-ctx.Done():
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.waiting--
	if taken {
		s.running++
	}
	return taken
}

func (s *server) end() {
	s.mutex.Lock()
	s.running--
	s.mutex.Unlock()
	<-s.free
}

// shortServer and shortAttempt leave out the eight digits that all names of a play have
// in common.
func shortServer(id string) string       { return id[:2] + id[10:] }
func shortAttempt(attempt string) string { return strings.TrimLeft(attempt[8:], "0") }

// heartbeat is the content of a heartbeat, as deploy/wire.toml names its fields.
type heartbeat struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	ColdMs   float64 `json:"cold_ms"`
	Sequence int     `json:"sequence"`
	Born     int64   `json:"born"`
}

// nextHeartbeat returns what the server says of itself now.
func (s *server) nextHeartbeat(state string) heartbeat {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sequence++
	return heartbeat{
		Service: s.service, Address: s.address, Zone: s.zone, Version: "v1", Slots: s.slots, State: state,
		ColdMs: float64(s.coldLeft().Milliseconds()), Sequence: s.sequence, Born: s.born,
	}
}

var announceClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// announce sends a call about a server to the node at an address, and reports whether it
// was acknowledged.
func announce(record *record, address, name, id string, content any) bool {
	data, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	target := "http://" + address + "/bulrushchute/rpc?call=instances." + name + "&of=" + id
	response, err := announceClient.Post(target, "application/json", bytes.NewReader(data))
	if err != nil {
		record.line("%s of %s to %s: %s: no answer", name, id, address, data)
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	record.line("%s of %s to %s: %s: answered %d", name, id, address, data, response.StatusCode)
	return response.StatusCode/100 == 2
}

// beat sends heartbeats to the node at an address until the context ends.
func (s *server) beat(ctx context.Context, address string, state func() string) {
	for ctx.Err() == nil {
		announce(s.record, address, "heartbeat", s.id, s.nextHeartbeat(state()))
		pause(ctx, 1500*time.Millisecond)
	}
}

func pause(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}

func always(state string) func() string {
	return func() string { return state }
}
