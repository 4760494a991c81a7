// Package bulrushstandin provides a stand-in for a backend server. It keeps its
// own records of the requests that ran and of exceeded limits, so that results
// do not depend on what the nodes report.
package bulrushstandin

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// HeaderRequestID carries the caller's unique ID of a request.
const HeaderRequestID = "X-Request-Id"

// HeaderBodyBytes carries the size of the request's body in an answer.
const HeaderBodyBytes = "X-Body-Bytes"

// restartRetry is the time after which a failed restart is tried again.
const restartRetry = 50 * time.Millisecond

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
	// CrashPath is the path of requests that crash the server CrashAfterMs after
	// they have begun to run, empty for none.
	CrashPath    string `json:"crash_path"`
	CrashAfterMs int64  `json:"crash_after_ms"`
	// AnswerBlocks is the number of blocks of AnswerBlockBytes that follow the ID in
	// the body of an answer, EndlessAnswer for no end until the caller closes.
	AnswerBlocks int `json:"answer_blocks"`
	// BlockMs is the pause after each block.
	BlockMs int64 `json:"block_ms"`
}

// AnswerBlockBytes is the size of a block of a long answer.
const AnswerBlockBytes = 32 << 10

// EndlessAnswer is the value of Behaviour.AnswerBlocks for answers without an end.
const EndlessAnswer = -1

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
	// RestartMs is the time after which the server is back at its address when it
	// has crashed.
	RestartMs int64
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
	// CrashRunsAt are the times at which requests to Behaviour.CrashPath began to
	// run, and CrashesAt those of the crashes that they caused.
	CrashRunsAt []time.Time `json:"crash_runs_at"`
	CrashesAt   []time.Time `json:"crashes_at"`
}

// Backend is a stand-in backend server.
type Backend struct {
	config  Config
	address string

	// lifeMutex serialises crashes, restarts and Kill. It guards process and killed,
	// and is locked before mutex.
	lifeMutex sync.Mutex
	process   *process
	killed    bool

	mutex sync.Mutex
	// generation counts the processes. The ends of what an earlier process did are
	// ignored.
	generation       int
	behaviour        Behaviour
	random           *rand.Rand
	startedAt        time.Time
	inFlight         int
	connections      int
	probeSecond      int64
	probesThisSecond int
	report           Report
}

// process is one process of the backend server.
type process struct {
	server *http.Server
	// done is closed when the server has stopped.
	done chan struct{}
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
		address:   listener.Addr().String(),
		behaviour: config.Behaviour,
		random:    rand.New(rand.NewPCG(config.Seed, 1)),
		report:    Report{Runs: make(map[string]int)},
	}
	b.startProcess(listener)
	return b, nil
}

// startProcess serves on a listener as a new process that knows nothing of the
// requests of the previous one.
func (b *Backend) startProcess(listener net.Listener) {
	b.mutex.Lock()
	b.generation++
	generation := b.generation
	b.inFlight, b.connections = 0, 0
	b.startedAt = time.Now()
	b.mutex.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("/health", b.serveProbe)
	mux.HandleFunc("/load", b.serveProbe)
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) { b.serveRequest(writer, request, generation) })
	p := &process{done: make(chan struct{})}
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	p.server.ConnState = func(_ net.Conn, state http.ConnState) { b.countConnection(state, generation) }
	b.process = p
	go func() {
		defer close(p.done)
		// Serve returns only when the server is closed.
		_ = p.server.Serve(listener)
	}()
}

// Address returns the address on which the backend server listens.
func (b *Backend) Address() string {
	return b.address
}

// StartedAt returns when the current process started, or false while there is none.
func (b *Backend) StartedAt() (time.Time, bool) {
	b.lifeMutex.Lock()
	defer b.lifeMutex.Unlock()
	return b.startedAt, b.process != nil
}

// Kill closes all connections at once, as a crash does, for good. The records
// stay. A second call has no effect.
func (b *Backend) Kill() error {
	b.lifeMutex.Lock()
	defer b.lifeMutex.Unlock()
	b.killed = true
	return b.endProcess()
}

func (b *Backend) endProcess() error {
	if b.process == nil {
		return nil
	}
	err := b.process.server.Close()
	<-b.process.done
	b.process = nil
	return errors.Wrap(err, "close the backend server")
}

// Crash closes all connections at once. The backend server is back at the same
// address after RestartMs. The call has no effect if the process of the given
// generation has ended already.
func (b *Backend) Crash(generation int) {
	b.crash(generation, false)
}

func (b *Backend) crash(generation int, byRequest bool) {
	b.lifeMutex.Lock()
	defer b.lifeMutex.Unlock()
	if b.process == nil || generation != b.Generation() {
		return
	}
	if byRequest {
		b.mutex.Lock()
		b.report.CrashesAt = append(b.report.CrashesAt, time.Now())
		b.mutex.Unlock()
	}
	// An error is that of closing the listener, which ends with the process anyway.
	_ = b.endProcess()
	time.AfterFunc(time.Duration(b.config.RestartMs)*time.Millisecond, b.restart)
}

// Generation returns the number of the current process, or of the last one.
func (b *Backend) Generation() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.generation
}

// restart starts the backend server again after a crash. The address is free,
// unless another program has taken it meanwhile.
func (b *Backend) restart() {
	b.lifeMutex.Lock()
	defer b.lifeMutex.Unlock()
	if b.killed || b.process != nil {
		return
	}
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		time.AfterFunc(restartRetry, b.restart)
		return
	}
	b.startProcess(listener)
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
	report.CrashRunsAt = slices.Clone(b.report.CrashRunsAt)
	report.CrashesAt = slices.Clone(b.report.CrashesAt)
	report.Runs = make(map[string]int, len(b.report.Runs))
	for id, count := range b.report.Runs {
		report.Runs[id] = count
	}
	return report
}

func (b *Backend) countConnection(state http.ConnState, generation int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if generation != b.generation {
		return
	}
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

func (b *Backend) finishRequest(generation int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if generation == b.generation {
		b.inFlight--
	}
}

// crashesServer reports whether a request crashes the server, and records its start.
func (b *Backend) crashesServer(request *http.Request) (time.Duration, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.behaviour.CrashPath == "" || request.URL.Path != b.behaviour.CrashPath {
		return 0, false
	}
	b.report.CrashRunsAt = append(b.report.CrashRunsAt, time.Now())
	return time.Duration(b.behaviour.CrashAfterMs) * time.Millisecond, true
}

// serveRequest answers with the request's ID in the body, so that the caller
// can detect a crossed answer.
func (b *Backend) serveRequest(writer http.ResponseWriter, request *http.Request, generation int) {
	if deadlinePassed(request) {
		http.Error(writer, "deadline is past", http.StatusServiceUnavailable)
		return
	}
	serviceTime, failed := b.startRequest(request)
	defer b.finishRequest(generation)
	if crashAfter, crashes := b.crashesServer(request); crashes {
		// A separate goroutine, because the end of the server waits for no handler, but
		// a client that leaves must not save the server.
		time.AfterFunc(crashAfter, func() { b.crash(generation, true) })
		<-request.Context().Done()
		return
	}
	bodyBytes, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
		return
	}
	writer.Header().Set(HeaderBodyBytes, strconv.FormatInt(bodyBytes, 10))
	writer.Header().Set("X-Version", b.config.Version)
	if failed {
		writer.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = writer.Write([]byte(request.Header.Get(HeaderRequestID)))
	b.writeBlocks(writer, request)
}

// writeBlocks writes the blocks of a long answer until the caller leaves.
func (b *Backend) writeBlocks(writer http.ResponseWriter, request *http.Request) {
	b.mutex.Lock()
	blocks, pause := b.behaviour.AnswerBlocks, time.Duration(b.behaviour.BlockMs)*time.Millisecond
	b.mutex.Unlock()
	block := make([]byte, AnswerBlockBytes)
	for written := 0; written != blocks && request.Context().Err() == nil; written++ {
		if _, err := writer.Write(block); err != nil {
			return
		}
		if pause > 0 {
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(pause)
		}
	}
}

// deadlinePassed reports whether the deadline in the request's header is past.
// A request without the header has no deadline.
func deadlinePassed(request *http.Request) bool {
	deadline, err := strconv.ParseInt(request.Header.Get("Bulrush-Deadline-Ms"), 10, 64)
	return err == nil && time.Now().UnixMilli() > deadline
}
