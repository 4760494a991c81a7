package bulrushnode

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushquarantine"
)

// startLosingServer starts a server that resets the connection of each request once
// it has read it. With end set, it ends at the same time.
func startLosingServer(t *testing.T, end bool) bulrushchute.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(connection net.Conn) {
		defer func() { _ = connection.Close() }()
		_, err := http.ReadRequest(bufio.NewReader(connection))
		if err == nil && end {
			_ = listener.Close()
		}
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection)
		}
	}()
	return bulrushchute.Address(listener.Addr().String())
}

// Guards against a crash that is not noticed because the caller had left before it:
// no request is out then.
func TestServerEndAfterACancellation(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a, clock, announcement := newTestAdmission(t, answerOK)
	announcement.Address = bulrushchute.Address(listener.Addr().String())
	a.announce(announcement)
	cancelled, other := attemptTo("board", 1, clock), attemptTo("board", 2, clock)
	other.Path = "/other"
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			_, _ = http.ReadRequest(bufio.NewReader(connection))
		}
		cancel()
	}()
	reply := a.serve(ctx, cancelled)
	assert.Equal(t, reply.Failure.Reason, bulrushchute.ReasonCancelled)
	assert.NilError(t, listener.Close())
	reply = a.serve(t.Context(), other)
	assert.Assert(t, reply.Refusal != nil)
	assert.Equal(t, a.serverEndStatus().Ends, 1)
	_, assessment := a.quarantine.assessAtEntry(clock.Now(), cancelled)
	assert.Equal(t, assessment.Verdict, bulrushquarantine.Suspect)
	_, assessment = a.quarantine.assessAtEntry(clock.Now(), other)
	assert.Equal(t, assessment.Verdict, bulrushquarantine.Free, "it never ran")
}

// Guards against an end of the backend server that is not noticed, and against a
// reset connection that counts as one.
func TestServerEndIsNoticed(t *testing.T) {
	cases := map[string]struct {
		end  bool
		want int
	}{
		"ended":            {true, 1},
		"connection reset": {false, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a, clock, announcement := newTestAdmission(t, answerOK)
			announcement.Address = startLosingServer(t, tc.end)
			a.announce(announcement)
			reply := a.serve(t.Context(), attemptTo("board", 1, clock))
			assert.Assert(t, reply.Failure != nil)
			assert.Equal(t, a.serverEndStatus().Ends, tc.want)
		})
	}
}

// Guards against requests to a server that is back after its end, and cold, before it
// has announced itself, at the rate that the former process took.
func TestServerIsBackBeforeItsAnnouncement(t *testing.T) {
	a, clock, announcement := newTestAdmission(t, answerOK)
	address := announcement.Address
	announcement.Address = startLosingServer(t, true)
	a.announce(announcement)
	assert.Assert(t, a.serve(t.Context(), attemptTo("board", 1, clock)).Failure != nil)
	runs := 0
	listener, err := net.Listen("tcp", string(announcement.Address))
	assert.NilError(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs++ })}
	go func() { _ = server.Serve(listener) }()
	defer func() { assert.NilError(t, server.Close()) }()

	a.setHealthy(true)
	other := attemptTo("board", 2, clock)
	other.Path = "/other"
	reply := a.serve(t.Context(), other)
	assert.Equal(t, reply.Refusal.Reason, bulrushchute.ReasonNotReady)
	assert.Equal(t, runs, 0)
	_, state := a.state()
	assert.Equal(t, state, bulrushchute.StateStarting)

	announcement.Address, announcement.StartedAtMs = address, clock.Now()
	a.announce(announcement)
	assert.Assert(t, a.serve(t.Context(), other).Answer != nil)
}

// Guards against an idle server that ends and is no sign of other ends, and against a
// planned stop or a failed health check that is one.
func TestIdleServerEndIsReported(t *testing.T) {
	cases := map[string]struct {
		ends  bool
		state BackendState
		want  int
	}{
		"ended":             {true, BackendServing, 1},
		"ended as it said":  {true, BackendDraining, 0},
		"fails its checks":  {false, BackendServing, 0},
		"fails, and leaves": {false, BackendDraining, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a, clock, announcement := newTestAdmission(t, func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(http.StatusInternalServerError)
			})
			if tc.ends {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				assert.NilError(t, listener.Close())
				announcement.Address = bulrushchute.Address(listener.Addr().String())
			}
			announcement.State = tc.state
			a.announce(announcement)
			p := newProber(a, func(bulrushchute.Service) bulrushcatalogue.Probe {
				return bulrushcatalogue.Probe{BudgetPerS: 10, HealthPath: "/health", LoadPath: "/health"}
			})
			for range 2 {
				p.probe(t.Context())
				clock.Advance(bulrushchute.Second)
			}
			report, changed, _ := a.quarantine.takeReport(clock.Now())
			assert.Equal(t, changed, tc.want > 0)
			assert.Equal(t, len(report.Ends), tc.want)
			assert.Assert(t, tc.want == 0 || report.Service == "board")
		})
	}
}

// restartingServer holds its requests until it restarts, which loses their connections. The
// new process accepts at the same address at once, and answers at once.
type restartingServer struct {
	restarted chan struct{}
	held      atomic.Int64
	runs      atomic.Int64
}

// ServeHTTP implements http.Handler.
func (rs *restartingServer) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	select {
	case <-rs.restarted:
		rs.runs.Add(1)
		return
	default:
	}
	rs.held.Add(1)
	<-rs.restarted
	socket, _, err := writer.(http.Hijacker).Hijack()
	if err == nil {
		_ = socket.Close()
	}
}

// Guards against a node that was frozen while its server restarted, and sends the new
// process, which is cold, as much as the former one: it sees lost connections and an address
// that accepts, which by themselves are no sign of an end.
func TestServerRestartsWhileTheNodeIsFrozen(t *testing.T) {
	const (
		coldPerS = 12
		// mostInASecond is the users' bound for that rate.
		mostInASecond = coldPerS*3/2 + 5
		running, sent = 4, 40
	)
	limits := bulrushcatalogue.Limits{Slots: 20, Connections: 60, ColdSlots: 20, WarmMs: 3000, ColdPerS: coldPerS}
	cases := map[string]struct {
		frozen      bulrushchute.Millis
		least, most int64
	}{
		"not frozen":               {0, sent, sent},
		"frozen for a short time":  {400, 0, mostInASecond},
		"frozen for a longer time": {3000, 0, mostInASecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			backend := &restartingServer{restarted: make(chan struct{})}
			server := httptest.NewServer(backend)
			defer server.Close()
			clock := bulrushchute.NewManualClock(1_000_000)
			a := newAdmission(t.Context(), clock, DefaultClockSkewMs, Options{}.protocols())
			a.coldRateFactor = 1.5
			a.configure(bulrushcatalogue.ServiceEntry{Service: "board", Owner: "test", Limits: limits}.WithDefaults())
			a.announce(Announcement{
				Service: "board", Version: "v1", Slots: 20, Connections: 60, State: BackendServing,
				Address: bulrushchute.Address(strings.TrimPrefix(server.URL, "http://")),
			})
			serve := func(number int) {
				attempt := attemptTo("board", byte(number), clock)
				attempt.Path, attempt.Remaining, attempt.Deadline = fmt.Sprintf("/%d", number), 8000, clock.Now()+8000
				a.serve(t.Context(), attempt)
			}
			var lost sync.WaitGroup
			for number := range running {
				lost.Go(func() { serve(number) })
			}
			for backend.held.Load() < running {
				time.Sleep(time.Millisecond)
			}
			// Control's goroutine ticks each 50 ms, except while the process is frozen.
			a.tick()
			clock.Advance(tc.frozen)
			close(backend.restarted)
			a.tick()
			lost.Wait()
			for number := range sent {
				serve(running + number)
			}
			runs := backend.runs.Load()
			assert.Assert(t, runs >= tc.least && runs <= tc.most, "%d requests of %d, %d to %d wanted", runs, sent, tc.least, tc.most)
		})
	}
}
