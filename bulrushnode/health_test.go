package bulrushnode

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// healthProtocol is a protocol whose health answers tell whether the server is cold and
// whether it had no room for the health check.
type healthProtocol struct {
	reportingProtocol
}

func (healthProtocol) ReadReport(_ *bulrushchute.Attempt, _ int, header http.Header) bulrushchute.BackendReport {
	report := bulrushchute.BackendReport{NotRun: header.Get("Full") != "", Server: header.Get("Server-Id")}
	if header.Get("Cold") != "" {
		report.Cold = 3 * bulrushchute.Second
	}
	return report
}

// healthFixture is an admission beside a server with given health answers.
type healthFixture struct {
	*admission
	clock  *bulrushchute.ManualClock
	first  Announcement
	prober *prober
}

func newHealthFixture(t *testing.T, health http.HandlerFunc) *healthFixture {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == bulrushcatalogue.DefaultHealthPath {
			health(writer, request)
		}
	}))
	t.Cleanup(server.Close)
	clock := bulrushchute.NewManualClock(1_000_000)
	a := newAdmission(t.Context(), clock, DefaultClockSkewMs, Options{Backend: healthProtocol{}}.protocols())
	first := Announcement{
		Service: "board", Version: "v1", Server: "i-1", Slots: 40, Connections: 60, State: BackendServing,
		Address: bulrushchute.Address(strings.TrimPrefix(server.URL, "http://")),
	}
	entry := bulrushcatalogue.ServiceEntry{Service: "board", Owner: "test", Limits: bulrushcatalogue.Limits{Slots: 40, Connections: 60, ColdSlots: 40, WarmMs: 3000, ColdPerS: 12}}
	a.configure(entry.WithDefaults())
	settings := func(bulrushchute.Service) bulrushcatalogue.Probe {
		return bulrushcatalogue.Probe{HealthPath: bulrushcatalogue.DefaultHealthPath, LoadPath: bulrushcatalogue.DefaultHealthPath, BudgetPerS: 50}
	}
	return &healthFixture{admission: a, clock: clock, first: first, prober: newProber(a, settings)}
}

// hear processes an announcement as Node.Announce does.
func (f *healthFixture) hear(announcement Announcement) {
	f.heard()
	if !f.isLatest(announcement) {
		f.announce(announcement)
	}
}

// Guards against a server that becomes cold, tells it in its health answers only, and gets
// its usual load until its next announcement.
func TestHealthAnswerTellsThatTheServerIsCold(t *testing.T) {
	cases := map[string]struct {
		header   string
		wantCold bool
	}{
		"cold":                  {"Cold", true},
		"warm":                  {"Other", false},
		"cold, of another name": {"Server-Id", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newHealthFixture(t, func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set(tc.header, "1")
				if tc.header == "Server-Id" {
					writer.Header().Set("Cold", "1")
				}
			})
			f.hear(f.first)
			f.confirm()
			assert.Assert(t, !f.controller.Load().Cold)
			_, ok := f.prober.fetch(t.Context(), f.first, bulrushcatalogue.DefaultHealthPath)
			assert.Assert(t, ok)
			assert.Equal(t, f.controller.Load().Cold, tc.wantCold)
		})
	}
}

// Guards against a leaving server that gets requests because two of its announcements reach
// a node that has just started late, and against a server that is never used because its
// health checks fail for no reason.
func TestLateAnnouncementsAfterTheStart(t *testing.T) {
	leaving := func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) }
	full := func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Full", "1")
		leaving(writer, request)
	}
	cases := map[string]struct {
		health http.HandlerFunc
		// announcedAt are the times of the announcements.
		announcedAt []bulrushchute.Millis
		wantWork    bool
	}{
		"leaving, announced twice":         {leaving, []bulrushchute.Millis{0, 1000}, false},
		"leaving, announced twice at once": {leaving, []bulrushchute.Millis{0, 1}, false},
		"failing, announced for long":      {leaving, []bulrushchute.Millis{0, 1500, 3000, 4500, 6000}, true},
		"full, announced once":             {full, []bulrushchute.Millis{0}, false},
		"full, announced twice":            {full, []bulrushchute.Millis{0, 1500}, true},
		"in order, announced once":         {func(http.ResponseWriter, *http.Request) {}, []bulrushchute.Millis{0}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newHealthFixture(t, tc.health)
			start := f.clock.Now()
			for number, at := range tc.announcedAt {
				f.clock.Advance(start + at - f.clock.Now())
				announcement := f.first
				// A change of what is announced must not count as a confirmation.
				announcement.ColdMs = bulrushchute.Millis(len(tc.announcedAt) - number)
				f.hear(announcement)
				f.refreshLoad(t.Context())
				_, _ = f.prober.fetch(t.Context(), f.first, bulrushcatalogue.DefaultHealthPath)
			}
			_, state := f.state()
			assert.Equal(t, state.TakesWork(), tc.wantWork)
		})
	}
}
