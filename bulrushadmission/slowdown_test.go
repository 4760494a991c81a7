package bulrushadmission

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Durations of a request while the machine is fast and while it is slow.
const (
	fastMs = 160
	slowMs = 800
)

// newReportingController returns the controller of a warm server that reports
// its load.
func newReportingController(now bulrushchute.Millis) *Controller {
	c := New(now, Settings{Limits: reportingLimits()})
	c.ObserveLoad(now, bulrushchute.BackendLoad{Slots: 9, Slowdown: 1})
	return c
}

func reportingLimits() bulrushcatalogue.Limits {
	return bulrushcatalogue.Limits{Slots: 9, Connections: 100, Queue: 20, QueueMs: 1000, ColdPerS: 8}
}

func testRequest(n int, now bulrushchute.Millis) Request {
	return Request{ID: bulrushchute.AttemptID{byte(n), byte(n >> 8)}, Deadline: now + 2000, Objective: 500, Insist: true}
}

// Guards against starting requests while a noisy neighbour holds the server's
// machine. It simulates a machine that takes 5 times as long in a quarter of
// 150 ms intervals, and compares the result with starting every request at once.
func TestHoldsWorkWhileTheMachineIsSlow(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	now := bulrushchute.Millis(1000)
	c := newReportingController(now)
	slow := false
	lateHeld, lateUnheld, requests := 0, 0, 0
	ends := map[bulrushchute.Millis][]bulrushchute.AttemptID{}
	start := func(id bulrushchute.AttemptID, waited bulrushchute.Millis) {
		took := bulrushchute.Millis(fastMs)
		if slow {
			took = slowMs
		}
		// 500 ms is the objective of testRequest.
		if waited+took > 500 {
			lateHeld++
		}
		ends[now+took] = append(ends[now+took], id)
	}
	handleReleases := func(releases []Release) {
		for _, r := range releases {
			assert.Assert(t, r.Admitted, "request refused at a load that needs no refusal: %s", r.Refusal.Reason)
			start(r.ID, r.Waited)
		}
	}
	for step := 0; step < 30_000; step++ {
		now += 5
		if step%30 == 0 {
			slow = random.Float64() < 0.25
		}
		for _, id := range ends[now] {
			handleReleases(c.Done(now, id, Result{Kind: bulrushchute.ResultAnswered}))
		}
		delete(ends, now)
		slowdown := 1.0
		if slow {
			slowdown = 5
		}
		handleReleases(c.ObserveLoad(now, bulrushchute.BackendLoad{Slots: 9, Slowdown: slowdown}))
		if random.Float64() < 0.05 {
			requests++
			if slow {
				lateUnheld++
			}
			request := testRequest(requests, now)
			decision := c.Offer(now, request)
			handleReleases(decision.Releases)
			if decision.Verdict == Admitted {
				start(request.ID, 0)
			}
			assert.Assert(t, decision.Verdict != Refused)
		}
	}
	assert.Assert(t, lateUnheld > requests/5, "%d of %d late without holding", lateUnheld, requests)
	assert.Assert(t, lateHeld*4 < lateUnheld, "%d late with holding, %d without, of %d", lateHeld, lateUnheld, requests)
}

// Guards against holding a request although waiting does not pay off, and
// against refusing one that no other backend server can take.
func TestHoldEnds(t *testing.T) {
	cases := map[string]struct {
		insist bool
		// recoversAt is when the machine becomes fast again.
		recoversAt   bulrushchute.Millis
		wantAdmitted bool
		wantBy       bulrushchute.Millis
	}{
		"machine recovers":                    {false, 60, true, 60},
		"another backend server can take it":  {false, 10_000, false, defaultHold},
		"no other backend server can take it": {true, 10_000, true, defaultHold},
		"recovers after the hold":             {true, 400, true, defaultHold},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			start := bulrushchute.Millis(1000)
			c := newReportingController(start)
			c.ObserveLoad(start, bulrushchute.BackendLoad{Slots: 9, Slowdown: 5})
			request := testRequest(1, start)
			request.Insist = tc.insist
			assert.Equal(t, c.Offer(start, request).Verdict, Queued)
			for waited := bulrushchute.Millis(0); ; waited += 5 {
				slowdown := 5.0
				if waited >= tc.recoversAt {
					slowdown = 1
				}
				releases := c.ObserveLoad(start+waited, bulrushchute.BackendLoad{Slots: 9, Slowdown: slowdown})
				if len(releases) == 0 {
					assert.Assert(t, waited < tc.wantBy, "still held after %d ms", waited)
					continue
				}
				assert.Equal(t, releases[0].Admitted, tc.wantAdmitted)
				return
			}
		})
	}
}

// Guards against a permanently slow server that gets no requests at all.
func TestPersistentSlowdownIsNotHeld(t *testing.T) {
	now := bulrushchute.Millis(1000)
	c := newReportingController(now)
	for range 50 {
		now += 20
		c.ObserveLoad(now, bulrushchute.BackendLoad{Slots: 9, Slowdown: 5})
	}
	assert.Equal(t, c.Offer(now, testRequest(1, now)).Verdict, Admitted)
}

// Guards against sending a cold server more requests in any second than it can
// handle, and against sending it much less than the operator permits after a fault
// that left all servers cold. Load pattern: more requests than a cold server can
// take, from the moment it starts.
func TestColdRate(t *testing.T) {
	cases := map[string]struct {
		factor float64
		// maxPerSecond is the factor, or the default of 1.25, times 8 requests per
		// second; wantTotal is nearly three times that.
		maxPerSecond, wantTotal int
	}{
		"default":                   {0, 10, 27},
		"permitted by the operator": {1.5, 12, 33},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			now := bulrushchute.Millis(1000)
			c := New(now, Settings{ColdRateFactor: tc.factor, Limits: reportingLimits()})
			c.ObserveLoad(now, bulrushchute.BackendLoad{Slots: 9, Slowdown: 1})
			c.ObserveCold(now, 3000)
			dispatched := dispatchCold(c, now)
			for i := range dispatched {
				inSecond := 0
				for _, at := range dispatched[i:] {
					if at < dispatched[i]+1000 {
						inSecond++
					}
				}
				assert.Assert(t, inSecond <= tc.maxPerSecond, "%d requests in one second", inSecond)
			}
			assert.Assert(t, len(dispatched) >= tc.wantTotal, "only %d requests dispatched to the cold server", len(dispatched))
		})
	}
}

// dispatchCold offers a request every 10 ms for 2.9 s and returns when requests
// were dispatched. Each ends at once.
func dispatchCold(c *Controller, start bulrushchute.Millis) []bulrushchute.Millis {
	now := start
	var dispatched []bulrushchute.Millis
	var recordDispatches func(releases []Release)
	recordDispatches = func(releases []Release) {
		for _, r := range releases {
			if r.Admitted {
				dispatched = append(dispatched, now)
				recordDispatches(c.Done(now, r.ID, Result{Kind: bulrushchute.ResultAnswered}))
			}
		}
	}
	for n := 0; now < start+2900; n++ {
		now += 10
		recordDispatches(c.ObserveLoad(now, bulrushchute.BackendLoad{Slots: 9, Slowdown: 1}))
		request := testRequest(n, now)
		decision := c.Offer(now, request)
		recordDispatches(decision.Releases)
		if decision.Verdict == Admitted {
			dispatched = append(dispatched, now)
			recordDispatches(c.Done(now, request.ID, Result{Kind: bulrushchute.ResultAnswered}))
		}
		recordDispatches(c.Tick(now))
	}
	return dispatched
}

// Guards against a cold server, which is inherently slow, getting no requests
// because its slowness is attributed to a neighbour.
func TestColdServerUsesOwnBaseline(t *testing.T) {
	now := bulrushchute.Millis(1000)
	c := New(now, Settings{Limits: reportingLimits()})
	c.ObserveLoad(now, bulrushchute.BackendLoad{Slots: 9, Slowdown: 2})
	c.ObserveCold(now, 3000)
	assert.Equal(t, c.Offer(now, testRequest(1, now)).Verdict, Admitted)
	c.ObserveLoad(now+100, bulrushchute.BackendLoad{Slots: 9, Slowdown: 10})
	assert.Equal(t, c.Offer(now+100, testRequest(2, now)).Verdict, Queued, "slowdown caused by a neighbour not detected on a cold server")
}
