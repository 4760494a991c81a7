// Package bulrushstandin holds the stand-in for a backend server. It keeps
// its own records of what ran and of the limits that were passed, so that
// results do not rest on what the nodes claim.
package bulrushstandin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// HeaderRequestID carries the caller's unique id of a request.
const HeaderRequestID = "X-Request-Id"

// Behaviour is what can be changed while the backend server runs.
type Behaviour struct {
	// ServiceMs is the mean time of one request.
	ServiceMs float64 `json:"service_ms"`
	// SpeedFactor multiplies ServiceMs, 0 means 1.
	SpeedFactor float64 `json:"speed_factor"`
	// ErrorShare is the share of requests that end with status 500 after running.
	ErrorShare float64 `json:"error_share"`
	// BadPrefix limits ErrorShare and SpeedFactor to paths with this prefix.
	BadPrefix string `json:"bad_prefix"`
}

// Config describes one backend server.
type Config struct {
	Service     string
	Version     string
	Slots       int
	Connections int
	// ColdSlots is what it bears right after its start, and WarmMs the time in
	// which it grows to Slots.
	ColdSlots int
	WarmMs    int64
	Behaviour Behaviour
	Seed      uint64
}

// Report is what the backend server recorded.
type Report struct {
	// Runs counts how often each request id ran.
	Runs map[string]int `json:"runs"`
	// OverSlots counts requests that arrived while all slots were in use.
	OverSlots int `json:"over_slots"`
	// OverCold counts requests that arrived while the cold limit was in use.
	OverCold int `json:"over_cold"`
	// OverConnections counts connections beyond the limit.
	OverConnections int `json:"over_connections"`
	// ProbesMost is the largest number of probes in one second.
	ProbesMost int `json:"probes_most"`
	Probes     int `json:"probes"`
	MostActive int `json:"most_active"`
	// LastWorkAt is the time at which the latest request arrived.
	LastWorkAt time.Time `json:"last_work_at"`
}

// Backend is a stand-in backend server.
type Backend struct {
	config   Config
	listener net.Listener
	server   *http.Server
	ended    chan struct{}
	killed   sync.Once

	mutex       sync.Mutex
	behaviour   Behaviour
	random      *rand.Rand
	startedAt   time.Time
	inFlight    int
	connections int
	probeSecond int64
	probesNow   int
	report      Report
}

// Start listens on the address and serves until Stop or Kill. The context
// bounds only the start.
func Start(ctx context.Context, address string, config Config) (*Backend, error) {
	var listening net.ListenConfig
	listener, err := listening.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the backend server")
	}
	b := &Backend{
		config:    config,
		listener:  listener,
		ended:     make(chan struct{}),
		behaviour: config.Behaviour,
		random:    rand.New(rand.NewPCG(config.Seed, 1)),
		startedAt: time.Now(),
		report:    Report{Runs: make(map[string]int)},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/health", b.serveProbe)
	mux.HandleFunc("/load", b.serveProbe)
	mux.HandleFunc("/", b.serveWork)
	b.server = &http.Server{Handler: mux, ConnState: b.countConnection, ReadHeaderTimeout: time.Minute}
	go b.serve(listener)
	return b, nil
}

func (b *Backend) serve(listener net.Listener) {
	defer close(b.ended)
	// Serve returns only when Kill closes the server.
	_ = b.server.Serve(listener)
}

// Address returns the address on which the backend server listens.
func (b *Backend) Address() string {
	return b.listener.Addr().String()
}

// Kill cuts all connections at once, as a crash does. The records stay. A
// second call has no effect.
func (b *Backend) Kill() error {
	var err error
	b.killed.Do(func() {
		err = b.server.Close()
		<-b.ended
	})
	return errors.Wrap(err, "close the backend server")
}

// SetBehaviour changes speed and errors at once.
func (b *Backend) SetBehaviour(behaviour Behaviour) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.behaviour = behaviour
}

// Report returns a copy of the records.
func (b *Backend) Report() Report {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	report := b.report
	report.Runs = make(map[string]int, len(b.report.Runs))
	for id, count := range b.report.Runs {
		report.Runs[id] = count
	}
	return report
}

func (b *Backend) countConnection(_ net.Conn, state http.ConnState) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	switch state {
	case http.StateNew:
		b.connections++
		if b.connections > b.config.Connections {
			b.report.OverConnections++
		}
	case http.StateClosed, http.StateHijacked:
		b.connections--
	}
}

type loadReport struct {
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Cold     bool `json:"cold"`
}

func (b *Backend) serveProbe(writer http.ResponseWriter, _ *http.Request) {
	b.mutex.Lock()
	second := time.Now().Unix()
	if second != b.probeSecond {
		b.probeSecond = second
		b.probesNow = 0
	}
	b.probesNow++
	b.report.Probes++
	b.report.ProbesMost = max(b.report.ProbesMost, b.probesNow)
	load := loadReport{InFlight: b.inFlight, Slots: b.config.Slots, Cold: b.bearable() < b.config.Slots}
	b.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(load)
}

// bearable returns the number of requests that the server bears now.
func (b *Backend) bearable() int {
	warmMs := time.Since(b.startedAt).Milliseconds()
	if b.config.WarmMs == 0 || warmMs >= b.config.WarmMs {
		return b.config.Slots
	}
	grown := int64(b.config.Slots-b.config.ColdSlots) * warmMs / b.config.WarmMs
	return b.config.ColdSlots + int(grown)
}

// begin records the start of a request and returns how long it will take and
// whether it will fail.
func (b *Backend) begin(request *http.Request) (time.Duration, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.inFlight++
	b.report.LastWorkAt = time.Now()
	b.report.MostActive = max(b.report.MostActive, b.inFlight)
	b.report.Runs[request.Header.Get(HeaderRequestID)]++
	bearable := b.bearable()
	overload := 1.0
	switch {
	case b.inFlight > b.config.Slots:
		b.report.OverSlots++
		overload = float64(b.inFlight) / float64(b.config.Slots)
	case b.inFlight > bearable:
		b.report.OverCold++
		overload = float64(b.inFlight) / float64(bearable)
	}
	return b.sample(request.URL.Path, overload)
}

// sample draws the time from an exponential tail over a constant part, and
// slows down by the square of an overload, as servers with queues inside do.
func (b *Backend) sample(path string, overload float64) (time.Duration, bool) {
	behaviour := b.behaviour
	bad := strings.HasPrefix(path, behaviour.BadPrefix)
	factor := 1.0
	if bad && behaviour.SpeedFactor > 0 {
		factor = behaviour.SpeedFactor
	}
	ms := behaviour.ServiceMs * factor * (0.7 + 0.3*b.random.ExpFloat64()) * overload * overload
	failed := bad && b.random.Float64() < behaviour.ErrorShare
	return time.Duration(ms * float64(time.Millisecond)), failed
}

func (b *Backend) end() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.inFlight--
}

// serveWork answers with the request's id in the body, so that a crossed
// answer shows.
func (b *Backend) serveWork(writer http.ResponseWriter, request *http.Request) {
	if expired(request) {
		http.Error(writer, "deadline is past", http.StatusServiceUnavailable)
		return
	}
	span, failed := b.begin(request)
	defer b.end()
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
		return
	}
	writer.Header().Set("X-Version", b.config.Version)
	if failed {
		writer.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = writer.Write([]byte(request.Header.Get(HeaderRequestID)))
}

// expired follows the deadline that the node passes on.
func expired(request *http.Request) bool {
	deadline, err := strconv.ParseInt(request.Header.Get("Bulrush-Deadline-Ms"), 10, 64)
	return err == nil && time.Now().UnixMilli() > deadline
}
