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

// newTestAdmission returns an admission for a backend server that runs a
// handler.
func newTestAdmission(t *testing.T, handler http.HandlerFunc) (*admission, *bulrushchute.ManualClock, Announcement) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	clock := bulrushchute.NewManualClock(1_000_000)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	a := newAdmission(ctx, clock, DefaultClockSkewMs, Options{}.protocols())
	announcement := Announcement{
		Service: "board", Version: "v1", Slots: 2, Connections: 10, State: BackendServing,
		Address: bulrushchute.Address(strings.TrimPrefix(server.URL, "http://")),
	}
	a.announce(announcement)
	return a, clock, announcement
}

func answerOK(http.ResponseWriter, *http.Request) {}

func attemptTo(service bulrushchute.Service, number byte, clock bulrushchute.Clock) bulrushchute.Attempt {
	return bulrushchute.Attempt{
		ID: bulrushchute.AttemptID{number}, Service: service, Method: http.MethodGet, Path: "/",
		Remaining: 1000, Deadline: clock.Now() + 1000, Idempotent: true,
	}
}

// Guards against admitting work in a state that forbids it, and against
// refusals with the wrong reason.
func TestAdmissionRefuses(t *testing.T) {
	cases := map[string]struct {
		prepare func(a *admission, clock *bulrushchute.ManualClock, announcement Announcement)
		service bulrushchute.Service
		want    bulrushchute.Reason
	}{
		"serving":       {func(*admission, *bulrushchute.ManualClock, Announcement) {}, "board", ""},
		"other service": {func(*admission, *bulrushchute.ManualClock, Announcement) {}, "ledger", bulrushchute.ReasonWrongService},
		"isolated": {func(a *admission, _ *bulrushchute.ManualClock, _ Announcement) {
			a.setIsolated(true)
		}, "board", bulrushchute.ReasonIsolated},
		"cold, cold limit unknown": {func(a *admission, _ *bulrushchute.ManualClock, announcement Announcement) {
			announcement.Cold, announcement.ColdMs = true, 1000
			a.announce(announcement)
		}, "board", bulrushchute.ReasonNotReady},
		"cold, cold limit known": {func(a *admission, _ *bulrushchute.ManualClock, announcement Announcement) {
			announcement.Cold, announcement.ColdMs = true, 1000
			a.announce(announcement)
			a.configure(bulrushcatalogue.ServiceEntry{Service: "board", Limits: bulrushcatalogue.Limits{Slots: 2, Connections: 10, ColdSlots: 1, ColdPerS: 8}})
		}, "board", ""},
		"data centre withdrawn": {func(a *admission, _ *bulrushchute.ManualClock, _ Announcement) {
			a.setWithdrawn(true)
		}, "board", bulrushchute.ReasonWithdrawn},
		"data centre returned": {func(a *admission, _ *bulrushchute.ManualClock, _ Announcement) {
			a.setWithdrawn(true)
			a.setWithdrawn(false)
		}, "board", ""},
		"backend server drains": {func(a *admission, _ *bulrushchute.ManualClock, announcement Announcement) {
			announcement.State = BackendDraining
			a.announce(announcement)
		}, "board", bulrushchute.ReasonLeaving},
		"draining in the load report": {func(a *admission, _ *bulrushchute.ManualClock, _ Announcement) {
			a.observeProbe(bulrushadmission.ProbeReport{Kind: bulrushadmission.ProbeLoad}, true)
		}, "board", bulrushchute.ReasonLeaving},
		"says that it leaves, then announces as serving": {func(a *admission, _ *bulrushchute.ManualClock, announcement Announcement) {
			a.observeLeaving(announcement, bulrushchute.BackendReport{Leaving: true})
			announcement.Slots++
			a.announce(announcement)
		}, "board", bulrushchute.ReasonLeaving},
		"said that it leaves, then started again": {func(a *admission, _ *bulrushchute.ManualClock, announcement Announcement) {
			a.observeLeaving(announcement, bulrushchute.BackendReport{Leaving: true})
			announcement.StartedAtMs++
			a.announce(announcement)
		}, "board", ""},
		"previous process said that it leaves": {func(a *admission, _ *bulrushchute.ManualClock, announcement Announcement) {
			previous := announcement
			announcement.StartedAtMs++
			a.announce(announcement)
			a.observeLeaving(previous, bulrushchute.BackendReport{Leaving: true})
		}, "board", ""},
		"node drains, then the server announces again": {func(a *admission, _ *bulrushchute.ManualClock, announcement Announcement) {
			a.drain()
			announcement.Cold = true
			a.announce(announcement)
		}, "board", bulrushchute.ReasonLeaving},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a, clock, announcement := newTestAdmission(t, answerOK)
			tc.prepare(a, clock, announcement)
			reply := a.serve(context.Background(), attemptTo(tc.service, 1, clock))
			if tc.want == "" {
				assert.Assert(t, reply.Answer != nil, "%+v", reply)
				return
			}
			assert.Assert(t, reply.Refusal != nil)
			assert.Equal(t, reply.Refusal.Reason, tc.want)
		})
	}
}

// pausedClock jumps forward after a number of readings, like the clock of a
// process that was paused between two steps.
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

// Guards against a node that is paused after it has admitted a request and
// dispatches the request when it resumes, long after the deadline.
func TestFrozenNodeDispatchesNothingLate(t *testing.T) {
	const maxReadings = 12
	refused := 0
	for pauseAt := 1; pauseAt <= maxReadings; pauseAt++ {
		t.Run(fmt.Sprintf("pause after clock reading %d", pauseAt), func(t *testing.T) {
			runs := 0
			a, _, _ := newTestAdmission(t, func(http.ResponseWriter, *http.Request) { runs++ })
			attempt := attemptTo("board", 1, bulrushchute.NewManualClock(1_000_000))
			attempt.Idempotent = false
			a.clock = &pausedClock{pauseAt: pauseAt}
			reply := a.serve(context.Background(), attempt)
			if reply.Refusal != nil {
				refused++
				assert.Equal(t, runs, 0, "a refused request must not run")
			}
		})
	}
	assert.Assert(t, refused > 0, "no pause came before the dispatch")
}

// Guards against a changed connection limit that takes effect only at the next
// start of the backend server.
func TestConnectionLimitFollowsTheCatalogue(t *testing.T) {
	a, _, _ := newTestAdmission(t, answerOK)
	a.configure(bulrushcatalogue.ServiceEntry{Service: "board", Limits: bulrushcatalogue.Limits{Slots: 2, Connections: 3}})
	assert.Equal(t, a.client.client.Connections(), a.controller.ConnectionLimit())
	assert.Assert(t, a.client.client.Connections() <= 3)
}

// Guards against replacing the Content-Length of an answer to a HEAD request by
// the length of its empty body.
func TestHeadKeepsTheStatedLength(t *testing.T) {
	a, clock, _ := newTestAdmission(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Length", "1234")
	})
	attempt := attemptTo("board", 1, clock)
	attempt.Method = http.MethodHead
	reply := a.serve(context.Background(), attempt)
	assert.Assert(t, reply.Answer != nil)
	recorder := httptest.NewRecorder()
	(&entryHandler{protocol: nativeProtocol{}}).writeResult(recorder, callResult{final: answeredFinal(), answer: reply.Answer})
	assert.Equal(t, recorder.Header().Get("Content-Length"), "1234")
}

// reportingProtocol is a protocol whose servers report their load.
type reportingProtocol struct {
	nativeProtocol
}

func (reportingProtocol) ReportsLoad() bool { return true }

// Guards against sending requests to a server that is leaving, by a process that
// does not know that: it has just started, and the first announcement that it gets
// was sent before the server began to leave.
func TestLateAnnouncementAfterTheStart(t *testing.T) {
	cases := map[string]struct {
		healthStatus  int
		announceAgain bool
		wantRefused   bool
	}{
		"server says that it is leaving":  {http.StatusServiceUnavailable, false, true},
		"announced again":                 {http.StatusServiceUnavailable, true, false},
		"server says that it is in order": {http.StatusOK, false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Path == bulrushcatalogue.DefaultHealthPath {
					writer.WriteHeader(tc.healthStatus)
				}
			}))
			defer server.Close()
			clock := bulrushchute.NewManualClock(1_000_000)
			a := newAdmission(t.Context(), clock, DefaultClockSkewMs, Options{Backend: reportingProtocol{}}.protocols())
			a.announce(Announcement{
				Service: "board", Version: "v1", Slots: 2, Connections: 10, State: BackendServing,
				Address: bulrushchute.Address(strings.TrimPrefix(server.URL, "http://")),
			})
			if tc.announceAgain {
				a.confirm()
			}
			reply := a.serve(t.Context(), attemptTo("board", 1, clock))
			assert.Equal(t, reply.Refusal != nil, tc.wantRefused, "%+v", reply)
			_, state := a.state()
			assert.Equal(t, state.TakesWork(), !tc.wantRefused)
		})
	}
}
