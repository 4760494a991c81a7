package bulrushnode

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// loadProtocol is a protocol whose answers tell the server's load, and whose health
// answers also tell whether it is cold.
type loadProtocol struct {
	healthProtocol
}

func (lp loadProtocol) ReadReport(attempt *bulrushchute.Attempt, status int, header http.Header) bulrushchute.BackendReport {
	report := lp.healthProtocol.ReadReport(attempt, status, header)
	report.Load = &bulrushchute.BackendLoad{Running: 1, Slots: 4, Slowdown: 1}
	return report
}

// busyServer takes a time for each request, and becomes cold at an instant.
type busyServer struct {
	takes    time.Duration
	mutex    sync.Mutex
	coldFrom time.Time
	// arrivals are those of requests since coldFrom.
	arrivals []time.Time
}

// ServeHTTP implements http.Handler.
func (bs *busyServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	bs.mutex.Lock()
	now := time.Now()
	cold := now.After(bs.coldFrom)
	isHealth := request.URL.Path == bulrushcatalogue.DefaultHealthPath
	if cold && !isHealth {
		bs.arrivals = append(bs.arrivals, now)
	}
	bs.mutex.Unlock()
	if isHealth {
		if cold {
			writer.Header().Set("Cold", "1")
		}
		return
	}
	time.Sleep(bs.takes)
}

// most returns the largest number of arrivals in one second.
func (bs *busyServer) most() int {
	bs.mutex.Lock()
	defer bs.mutex.Unlock()
	slices.SortFunc(bs.arrivals, time.Time.Compare)
	most := 0
	for i, first := range bs.arrivals {
		count := 0
		for count < len(bs.arrivals)-i && bs.arrivals[i+count].Before(first.Add(time.Second)) {
			count++
		}
		most = max(most, count)
	}
	return most
}

// Guards against a server that becomes cold again and gets its usual load until its next
// announcement: while its answers tell its load, or all of its slots are in use, nothing
// reads the health path, which alone tells that it is cold.
func TestServerThatBecomesColdUnderLoad(t *testing.T) {
	const (
		coldPerS = 12
		// mostInASecond is the users' bound for that rate.
		mostInASecond = coldPerS*3/2 + 5
		slots         = 4
	)
	limits := bulrushcatalogue.Limits{Slots: slots, Connections: 60, Queue: 100, QueueMs: 5000, ColdSlots: slots, WarmMs: 3000, ColdPerS: coldPerS}
	probe := bulrushcatalogue.Probe{HealthPath: bulrushcatalogue.DefaultHealthPath, LoadPath: bulrushcatalogue.DefaultHealthPath, BudgetPerS: 50}
	entry := bulrushcatalogue.ServiceEntry{Service: "board", Owner: "test", Limits: limits, Probe: probe}.WithDefaults()
	cases := map[string]struct{ callers int }{
		"slots left":       {slots - 1},
		"all slots in use": {2 * slots},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			backend := &busyServer{takes: 80 * time.Millisecond, coldFrom: time.Now().Add(1500 * time.Millisecond)}
			server := httptest.NewServer(backend)
			defer server.Close()
			a := newAdmission(t.Context(), bulrushchute.WallClock{}, DefaultClockSkewMs, Options{Backend: loadProtocol{}}.protocols())
			a.coldRateFactor = 1.5
			a.configure(entry)
			a.announce(Announcement{
				Service: "board", Version: "v1", Server: "i-1", Slots: slots, Connections: 60, State: BackendServing,
				Address: bulrushchute.Address(strings.TrimPrefix(server.URL, "http://")),
			})
			ctx, cancel := context.WithCancel(t.Context())
			background := bulrushtask.NewGroup(nil)
			background.Start(ctx, "load poller", a.runLoadPoller)
			background.Start(ctx, "prober", newProber(a, func(bulrushchute.Service) bulrushcatalogue.Probe { return probe }).run)
			for caller := range tc.callers {
				background.Start(ctx, "caller", func(ctx context.Context) error { return callBoard(ctx, a, byte(caller)) })
			}
			time.Sleep(time.Until(backend.coldFrom.Add(2500 * time.Millisecond)))
			cancel()
			background.Wait()
			assert.Assert(t, backend.most() <= mostInASecond, "%d requests in one second, %d allowed", backend.most(), mostInASecond)
		})
	}
}

// callBoard sends one request after the other until the context ends.
func callBoard(ctx context.Context, a *admission, caller byte) error {
	for number := 0; ctx.Err() == nil; number++ {
		attempt := attemptTo("board", caller, a.clock)
		attempt.ID[1], attempt.ID[2] = byte(number), byte(number>>8)
		attempt.Remaining, attempt.Deadline = 4000, a.clock.Now()+4000
		if reply := a.serve(ctx, attempt); reply.Refusal != nil {
			bulrushtask.Pause(ctx, 20*time.Millisecond)
		}
	}
	return nil
}
