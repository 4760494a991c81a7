// Package bulrushstandin provides a stand-in for a backend server. It keeps its
// own records of the requests that ran and of exceeded limits, so that results
// do not depend on what the nodes report.
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

// HeaderRequestID carries the caller's unique ID of a request.
const HeaderRequestID = "X-Request-Id"

// Behaviour holds the settings that can change while the backend server runs.
type Behaviour struct {
	// ServiceMs is the mean service time of a request.
	ServiceMs float64 `json:"service_ms"`
	// SpeedFactor multiplies ServiceMs; 0 means 1.
	SpeedFactor float64 `json:"speed_factor"`
	// ErrorShare is the share of requests that run and then end with status
	// 500.
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
	// ColdSlots is the number of concurrent requests that the server can handle
	// right after its start. The number grows evenly to Slots over WarmMs.
	ColdSlots int
	WarmMs    int64
	Behaviour Behaviour
	Seed      uint64
}

// Report holds the records of a backend server.
type Report struct {
	// Runs is the number of runs by request ID.
	Runs map[string]int `json:"runs"`
	// OverSlots counts requests that arrived while all slots were in use.
	OverSlots int `json:"over_slots"`
	// OverCold counts requests that arrived while slots were free, but as many
	// requests ran as the cold ramp allowed.
	OverCold int `json:"over_cold"`
	// OverConnections counts connections beyond the limit.
	OverConnections int `json:"over_connections"`
	// MaxProbesPerSecond is the largest number of probes in one second.
	MaxProbesPerSecond int `json:"probes_most"`
	Probes             int `json:"probes"`
	MaxInFlight        int `json:"most_active"`
	// LastWorkAt is when the latest request arrived; probes do not count.
	LastWorkAt time.Time `json:"last_work_at"`
}

// Backend is a stand-in backend server.
type Backend struct {
	config    Config
	listener  net.Listener
	server    *http.Server
	done      chan struct{}
	closeOnce sync.Once

	mutex            sync.Mutex
	behaviour        Behaviour
	random           *rand.Rand
	startedAt        time.Time
	inFlight         int
	connections      int
	probeSecond      int64
	probesThisSecond int
	report           Report
}

// Start listens on the address and serves until Kill. The context bounds only
// the start.
func Start(ctx context.Context, address string, config Config) (*Backend, error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the backend server")
	}
	b := &Backend{
		config:    config,
		listener:  listener,
		done:      make(chan struct{}),
		behaviour: config.Behaviour,
		random:    rand.New(rand.NewPCG(config.Seed, 1)),
		startedAt: time.Now(),
		report:    Report{Runs: make(map[string]int)},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/health", b.serveProbe)
	mux.HandleFunc("/load", b.serveProbe)
	mux.HandleFunc("/", b.serveRequest)
	b.server = &http.Server{Handler: mux, ConnState: b.countConnection, ReadHeaderTimeout: time.Minute}
	go b.serve(listener)
	return b, nil
}

func (b *Backend) serve(listener net.Listener) {
	defer close(b.done)
	// Serve returns only when Kill closes the server.
	_ = b.server.Serve(listener)
}

// Address returns the address on which the backend server listens.
func (b *Backend) Address() string {
	return b.listener.Addr().String()
}

// Kill closes all connections at once, as a crash does. The records stay. A
// second call has no effect.
func (b *Backend) Kill() error {
	var err error
	b.closeOnce.Do(func() {
		err = b.server.Close()
		<-b.done
	})
	return errors.Wrap(err, "close the backend server")
}

// SetBehaviour replaces the behaviour, with effect on requests that arrive from
// now on.
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

// loadReport is the body of the answer to a probe.
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
		b.probesThisSecond = 0
	}
	b.probesThisSecond++
	b.report.Probes++
	b.report.MaxProbesPerSecond = max(b.report.MaxProbesPerSecond, b.probesThisSecond)
	load := loadReport{InFlight: b.inFlight, Slots: b.config.Slots, Cold: b.capacity() < b.config.Slots}
	b.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(load)
}

// capacity returns the number of concurrent requests that the server can handle
// now.
func (b *Backend) capacity() int {
	uptimeMs := time.Since(b.startedAt).Milliseconds()
	if b.config.WarmMs == 0 || uptimeMs >= b.config.WarmMs {
		return b.config.Slots
	}
	added := int64(b.config.Slots-b.config.ColdSlots) * uptimeMs / b.config.WarmMs
	return b.config.ColdSlots + int(added)
}

// startRequest records the start of a request and returns its service time and
// whether it will fail.
func (b *Backend) startRequest(request *http.Request) (time.Duration, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.inFlight++
	b.report.LastWorkAt = time.Now()
	b.report.MaxInFlight = max(b.report.MaxInFlight, b.inFlight)
	b.report.Runs[request.Header.Get(HeaderRequestID)]++
	capacity := b.capacity()
	overload := 1.0
	switch {
	case b.inFlight > b.config.Slots:
		b.report.OverSlots++
		overload = float64(b.inFlight) / float64(b.config.Slots)
	case b.inFlight > capacity:
		b.report.OverCold++
		overload = float64(b.inFlight) / float64(capacity)
	}
	return b.sampleServiceTime(request.URL.Path, overload)
}

// sampleServiceTime draws a service time with a constant part and an
// exponential tail, and whether the request fails. The overload is the number
// of requests in flight divided by the limit that they exceed, or 1. The time
// grows with its square, as in servers with internal queues.
func (b *Backend) sampleServiceTime(path string, overload float64) (time.Duration, bool) {
	behaviour := b.behaviour
	affected := strings.HasPrefix(path, behaviour.BadPrefix)
	factor := 1.0
	if affected && behaviour.SpeedFactor > 0 {
		factor = behaviour.SpeedFactor
	}
	ms := behaviour.ServiceMs * factor * (0.7 + 0.3*b.random.ExpFloat64()) * overload * overload
	failed := affected && b.random.Float64() < behaviour.ErrorShare
	return time.Duration(ms * float64(time.Millisecond)), failed
}

func (b *Backend) finishRequest() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.inFlight--
}

// serveRequest answers with the request's ID in the body, so that the caller
// can detect a crossed answer.
func (b *Backend) serveRequest(writer http.ResponseWriter, request *http.Request) {
	if deadlinePassed(request) {
		http.Error(writer, "deadline is past", http.StatusServiceUnavailable)
		return
	}
	serviceTime, failed := b.startRequest(request)
	defer b.finishRequest()
	timer := time.NewTimer(serviceTime)
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

// deadlinePassed reports whether the deadline in the request's header is past.
// A request without the header has no deadline.
func deadlinePassed(request *http.Request) bool {
	deadline, err := strconv.ParseInt(request.Header.Get("Bulrush-Deadline-Ms"), 10, 64)
	return err == nil && time.Now().UnixMilli() > deadline
}
