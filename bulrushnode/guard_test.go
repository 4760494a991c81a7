package bulrushnode

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushadmission"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// newTestGuard returns a guard in front of a backend server that runs a handler.
func newTestGuard(t *testing.T, handler http.HandlerFunc) (*guard, *bulrushchute.ManualClock, Announcement) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	clock := bulrushchute.NewManualClock(1_000_000)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g := newGuard(ctx, clock, DefaultClockSkewMs, Options{}.dialect())
	announcement := Announcement{
		Service: "board", Version: "v1", Slots: 2, Connections: 10, State: BackendServing,
		Address: bulrushchute.Address(strings.TrimPrefix(server.URL, "http://")),
	}
	g.announce(announcement)
	return g, clock, announcement
}

func answerOK(http.ResponseWriter, *http.Request) {}

func attemptTo(service bulrushchute.Service, number byte, clock bulrushchute.Clock) bulrushchute.Attempt {
	return bulrushchute.Attempt{
		ID: bulrushchute.AttemptID{number}, Service: service, Method: http.MethodGet, Path: "/",
		Remaining: 1000, Deadline: clock.Now() + 1000, Idempotent: true,
	}
}

// Guards against work that is admitted in a state in which it must not be,
// and against a refusal that does not name its reason.
func TestGuardRefuses(t *testing.T) {
	cases := map[string]struct {
		prepare func(g *guard, clock *bulrushchute.ManualClock, announcement Announcement)
		service bulrushchute.Service
		want    bulrushchute.Reason
	}{
		"serving":       {func(*guard, *bulrushchute.ManualClock, Announcement) {}, "board", ""},
		"other service": {func(*guard, *bulrushchute.ManualClock, Announcement) {}, "ledger", bulrushchute.ReasonWrongService},
		"isolated": {func(g *guard, _ *bulrushchute.ManualClock, _ Announcement) {
			g.setIsolated(true)
		}, "board", bulrushchute.ReasonIsolated},
		"cold, its cold limit is not known": {func(g *guard, _ *bulrushchute.ManualClock, announcement Announcement) {
			announcement.Cold, announcement.ColdMs = true, 1000
			g.announce(announcement)
		}, "board", bulrushchute.ReasonNotReady},
		"cold, its cold limit is known": {func(g *guard, _ *bulrushchute.ManualClock, announcement Announcement) {
			announcement.Cold, announcement.ColdMs = true, 1000
			g.announce(announcement)
			g.configure(bulrushcatalogue.ServiceEntry{Service: "board", Limits: bulrushcatalogue.Limits{Slots: 2, Connections: 10, ColdSlots: 1, ColdPerS: 8}})
		}, "board", ""},
		"data centre withdrawn": {func(g *guard, _ *bulrushchute.ManualClock, _ Announcement) {
			g.withdraw(true)
		}, "board", bulrushchute.ReasonWithdrawn},
		"data centre returned": {func(g *guard, _ *bulrushchute.ManualClock, _ Announcement) {
			g.withdraw(true)
			g.withdraw(false)
		}, "board", ""},
		"backend server drains": {func(g *guard, _ *bulrushchute.ManualClock, announcement Announcement) {
			announcement.State = BackendDraining
			g.announce(announcement)
		}, "board", bulrushchute.ReasonLeaving},
		"load report says draining": {func(g *guard, _ *bulrushchute.ManualClock, _ Announcement) {
			g.observeProbe(bulrushadmission.ProbeReport{Kind: bulrushadmission.ProbeLoad}, true)
		}, "board", bulrushchute.ReasonLeaving},
		"node drains, then the server announces again": {func(g *guard, _ *bulrushchute.ManualClock, announcement Announcement) {
			g.drain()
			announcement.Cold = true
			g.announce(announcement)
		}, "board", bulrushchute.ReasonLeaving},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g, clock, announcement := newTestGuard(t, answerOK)
			tc.prepare(g, clock, announcement)
			reply := g.serve(context.Background(), attemptTo(tc.service, 1, clock))
			if tc.want == "" {
				assert.Assert(t, reply.Answer != nil, "%+v", reply)
				return
			}
			assert.Assert(t, reply.Refusal != nil)
			assert.Equal(t, reply.Refusal.Reason, tc.want)
		})
	}
}

// pausedClock jumps after a number of readings, as the clock of a process that
// was stopped between two steps does.
type pausedClock struct {
	readings int
	pauseAt  int
}

func (pc *pausedClock) Now() bulrushchute.Millis {
	pc.readings++
	if pc.readings > pc.pauseAt {
		return 1_000_000 + 60*bulrushchute.Second
	}
	return 1_000_000
}

// Guards against a node that was frozen after it admitted a request and
// dispatches it when it resumes, long after the deadline.
func TestFrozenNodeDispatchesNothingLate(t *testing.T) {
	const steps = 12
	refused := 0
	for pauseAt := 1; pauseAt <= steps; pauseAt++ {
		t.Run(fmt.Sprintf("pause after reading %d", pauseAt), func(t *testing.T) {
			runs := 0
			g, _, _ := newTestGuard(t, func(http.ResponseWriter, *http.Request) { runs++ })
			attempt := attemptTo("board", 1, bulrushchute.NewManualClock(1_000_000))
			attempt.Idempotent = false
			g.clock = &pausedClock{pauseAt: pauseAt}
			reply := g.serve(context.Background(), attempt)
			if reply.Refusal != nil {
				refused++
				assert.Equal(t, runs, 0, "a refused request must not run")
			}
		})
	}
	assert.Assert(t, refused > 0, "no pause came before the dispatch")
}

// Guards against a limit on connections that holds only from the next start
// of the backend server.
func TestConnectionLimitFollowsTheCatalogue(t *testing.T) {
	g, _, _ := newTestGuard(t, answerOK)
	g.configure(bulrushcatalogue.ServiceEntry{Service: "board", Limits: bulrushcatalogue.Limits{Slots: 2, Connections: 3}})
	assert.Equal(t, g.client.client.Connections(), g.controller.ConnectionLimit())
	assert.Assert(t, g.client.client.Connections() <= 3)
}

// Guards against a HEAD answer that states the length of its empty body.
func TestHeadKeepsTheStatedLength(t *testing.T) {
	g, clock, _ := newTestGuard(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Length", "1234")
	})
	attempt := attemptTo("board", 1, clock)
	attempt.Method = http.MethodHead
	reply := g.serve(context.Background(), attempt)
	assert.Assert(t, reply.Answer != nil)
	recorder := httptest.NewRecorder()
	(&entry{protocol: nativeProtocol{}}).writeResult(recorder, callResult{final: answeredFinal(), answer: reply.Answer})
	assert.Equal(t, recorder.Header().Get("Content-Length"), "1234")
}
