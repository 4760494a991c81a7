package bulrushadmission

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

func Example() {
	entry := bulrushcatalogue.ServiceEntry{Service: "ledger", Limits: bulrushcatalogue.Limits{Slots: 1}}
	controller := New(1000, SettingsOf(entry))

	first := Request{ID: bulrushchute.AttemptID{1}, Route: "filings", Deadline: 2000}
	second := Request{ID: bulrushchute.AttemptID{2}, Route: "filings", Deadline: 2000}
	fmt.Println(controller.Offer(1000, first).Verdict)
	fmt.Println(controller.Offer(1001, second).Verdict)

	answered := Result{Kind: bulrushchute.ResultAnswered, ElapsedMs: 8.5}
	for _, release := range controller.Done(1009, first.ID, answered) {
		fmt.Println(release.ID[0], release.Admitted, release.Waited)
	}

	controller.Drain(1010)
	third := Request{ID: bulrushchute.AttemptID{3}, Route: "filings", Deadline: 2000}
	decision := controller.Offer(1010, third)
	fmt.Println(decision.Verdict, decision.Refusal.Reason)
	// Output:
	// admitted
	// queued
	// 2 true 8
	// refused leaving
}

// newBusyController returns a warm controller with all slots taken by requests
// with the IDs 1 to slots.
func newBusyController(limits bulrushcatalogue.Limits, tenants ...bulrushcatalogue.TenantShare) *Controller {
	c := New(0, Settings{Limits: limits, Tenants: tenants})
	c.ramp.warming = false
	for n := range c.slots() {
		c.Offer(0, Request{ID: attemptID(uint64(n + 1)), Tenant: "holder", Deadline: bulrushchute.Hour})
	}
	return c
}

var answered = Result{Kind: bulrushchute.ResultAnswered, ElapsedMs: 10}

// offerRequests offers n requests with consecutive IDs starting at first.
func offerRequests(c *Controller, first, n uint64, tenant bulrushchute.Tenant, class bulrushchute.Class) {
	for id := first; id < first+n; id++ {
		c.Offer(0, Request{ID: attemptID(id), Tenant: tenant, Class: class, Deadline: bulrushchute.Hour})
	}
}

// Guards against wrong reasons and victims when a request cannot be admitted
// immediately.
func TestOfferUnderLoad(t *testing.T) {
	cases := map[string]struct {
		prepare func(*Controller)
		request Request
		verdict Verdict
		reason  bulrushchute.Reason
		// released is the reason for which another request must be refused, if
		// any.
		released bulrushchute.Reason
	}{
		"queue has room":  {verdict: Queued},
		"deadline passed": {request: Request{Deadline: -1}, reason: bulrushchute.ReasonDeadline},
		"deadline before the expected slot": {
			prepare: func(c *Controller) { c.slotTime.slotMsPerRequest = 200 },
			request: Request{Deadline: 90}, reason: bulrushchute.ReasonDeadline,
		},
		"expected slot after the queue timeout": {
			prepare: func(c *Controller) { c.slotTime.slotMsPerRequest = 500 }, reason: bulrushchute.ReasonBusy,
		},
		"ID in use": {request: Request{ID: attemptID(1)}, reason: bulrushchute.ReasonMalformed},
		"draining":  {prepare: func(c *Controller) { c.Drain(0) }, reason: bulrushchute.ReasonLeaving},
		"withdrawn": {prepare: func(c *Controller) { c.SetWithdrawn(0, true) }, reason: bulrushchute.ReasonWithdrawn},
		"withdrawal ended": {
			prepare: func(c *Controller) { c.SetWithdrawn(0, true); c.SetWithdrawn(0, false) }, verdict: Queued,
		},
		"class full, only requests of the same tenant": {
			prepare: func(c *Controller) { offerRequests(c, 10, 4, "a", bulrushchute.ClassStandard) },
			request: Request{Tenant: "a"}, reason: bulrushchute.ReasonBusy,
		},
		"class full, only requests of another tenant": {
			prepare: func(c *Controller) { offerRequests(c, 10, 4, "b", bulrushchute.ClassStandard) },
			request: Request{Tenant: "a"}, verdict: Queued, released: bulrushchute.ReasonTenantLimit,
		},
		"class full, tenant above its share": {
			prepare: func(c *Controller) {
				offerRequests(c, 10, 3, "a", bulrushchute.ClassStandard)
				offerRequests(c, 20, 1, "b", bulrushchute.ClassStandard)
			},
			request: Request{Tenant: "a"}, reason: bulrushchute.ReasonTenantLimit,
		},
		"all classes full, less important requests queued": {
			prepare: func(c *Controller) {
				offerRequests(c, 10, 4, "a", bulrushchute.ClassBulk)
				offerRequests(c, 20, 4, "a", bulrushchute.ClassCritical)
			},
			request: Request{Tenant: "a"}, verdict: Queued, released: bulrushchute.ReasonShed,
		},
		"all classes full, only more important requests queued": {
			prepare: func(c *Controller) {
				offerRequests(c, 10, 4, "a", bulrushchute.ClassStandard)
				offerRequests(c, 20, 4, "a", bulrushchute.ClassCritical)
			},
			request: Request{Tenant: "b", Class: bulrushchute.ClassBulk}, reason: bulrushchute.ReasonBusy,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newBusyController(bulrushcatalogue.Limits{Slots: 2, Queue: 4})
			if tc.prepare != nil {
				tc.prepare(c)
			}
			request := tc.request
			if request.ID == (bulrushchute.AttemptID{}) {
				request.ID = attemptID(99)
			}
			// The zero class is ClassCritical, but cases without a class mean
			// ClassStandard.
			if request.Class == bulrushchute.ClassCritical {
				request.Class = bulrushchute.ClassStandard
			}
			if request.Deadline == 0 {
				request.Deadline = bulrushchute.Hour
			}
			decision := c.Offer(0, request)
			assert.Equal(t, decision.Verdict, tc.verdict)
			assert.Equal(t, decision.Refusal.Reason, tc.reason)
			assert.Equal(t, len(decision.Releases) == 1, tc.released != "")
			if tc.released != "" {
				assert.Equal(t, decision.Releases[0].Refusal.Reason, tc.released)
			}
		})
	}
}

// Guards against a limit or ramp that changes without a cause, or fails to
// change with one.
func TestLimits(t *testing.T) {
	good := func(c *Controller, n int, everyMs bulrushchute.Millis) {
		for range n {
			c.Offer(c.now+everyMs, Request{ID: attemptID(1000), Deadline: bulrushchute.Hour})
			c.Done(c.now, attemptID(1000), answered)
		}
	}
	finish := func(c *Controller, n int, result Result) {
		for range n {
			c.Offer(c.now+1, Request{ID: attemptID(1000), Deadline: bulrushchute.Hour})
			c.Done(c.now, attemptID(1000), result)
		}
	}
	cases := map[string]struct {
		events func(*Controller)
		limit  int
		cold   bool
	}{
		"initial":                         {func(*Controller) {}, 1, true},
		"time without answers":            {func(c *Controller) { c.Tick(10 * bulrushchute.Minute) }, 1, true},
		"many answers in no time":         {func(c *Controller) { good(c, 1000, 0) }, 1, true},
		"answers for half of warm_ms":     {func(c *Controller) { good(c, 50, 10) }, 5, true},
		"answers for all of warm_ms":      {func(c *Controller) { good(c, 101, 10) }, 10, false},
		"single answer after a long time": {func(c *Controller) { good(c, 1, 10*bulrushchute.Second) }, 2, true},
		"failures during the ramp":        {func(c *Controller) { good(c, 50, 10); finish(c, 3, Result{Kind: bulrushchute.ResultUnknown}) }, 2, true},
		"failures at low load":            {func(c *Controller) { good(c, 101, 10); finish(c, 4, Result{Kind: bulrushchute.ResultUnknown}) }, 1, true},
		"high latency at low load":        {func(c *Controller) { good(c, 101, 10); finish(c, 3, Result{ElapsedMs: 200}) }, 1, true},
		"single outlier":                  {func(c *Controller) { good(c, 101, 10); finish(c, 1, Result{ElapsedMs: 5000}) }, 10, false},
		"requests cancelled by callers": {func(c *Controller) {
			good(c, 101, 10)
			finish(c, 20, Result{Kind: bulrushchute.ResultCancelled, ElapsedMs: 1})
		}, 10, false},
		"reported cold by an answer": {func(c *Controller) {
			good(c, 101, 10)
			finish(c, 1, Result{ElapsedMs: 10, Cold: true})
		}, 1, true},
		"reported cold by a probe": {func(c *Controller) { good(c, 101, 10); c.ObserveProbe(c.now, ProbeReport{Kind: ProbeLoad, Cold: true}) }, 1, true},
		"load probes keep reporting cold": {func(c *Controller) {
			c.ObserveProbe(c.now, ProbeReport{Kind: ProbeLoad, Cold: true})
			good(c, 101, 10)
			c.ObserveProbe(c.now, ProbeReport{Kind: ProbeLoad, Cold: true})
		}, 10, false},
		"load probes keep reporting cold between health probes": {func(c *Controller) {
			c.ObserveProbe(c.now, ProbeReport{Kind: ProbeLoad, Cold: true})
			good(c, 101, 10)
			c.ObserveProbe(c.now, ProbeReport{Kind: ProbeHealth})
			c.ObserveProbe(c.now, ProbeReport{Kind: ProbeLoad, Cold: true})
		}, 10, false},
		"idle for DefaultColdAfterIdle":           {func(c *Controller) { good(c, 101, 10); good(c, 1, DefaultColdAfterIdle) }, 1, true},
		"idle for less than DefaultColdAfterIdle": {func(c *Controller) { good(c, 101, 10); good(c, 1, DefaultColdAfterIdle-1) }, 10, false},
		"backend server restarted":                {func(c *Controller) { good(c, 101, 10); c.BackendStarted(c.now, Announcement{}) }, 1, true},
		"fewer slots announced":                   {func(c *Controller) { good(c, 101, 10); c.UpdateAnnouncement(c.now, Announcement{Slots: 3}) }, 3, false},
		"fewer slots announced, then more": {func(c *Controller) {
			good(c, 101, 10)
			c.UpdateAnnouncement(c.now, Announcement{Slots: 3})
			c.UpdateAnnouncement(c.now, Announcement{Slots: 10})
		}, 3, false},
		"failures within one epoch": {func(c *Controller) {
			good(c, 101, 10)
			offerRequests(c, 1, 8, "a", bulrushchute.ClassStandard)
			for id := range uint64(8) {
				c.Done(c.now, attemptID(id+1), Result{Kind: bulrushchute.ResultUnknown})
			}
		}, 5, false},
		"one failing route": {func(c *Controller) {
			for range 300 {
				good(c, 1, 10)
				c.Offer(c.now, Request{ID: attemptID(1), Route: "broken", Deadline: bulrushchute.Hour})
				c.Done(c.now, attemptID(1), Result{Kind: bulrushchute.ResultServerError, ElapsedMs: 1})
			}
		}, 10, false},
		"fewer connections announced": {func(c *Controller) { good(c, 101, 10); c.UpdateAnnouncement(c.now, Announcement{Connections: 5}) }, 4, false},
		"single failed probe":         {func(c *Controller) { good(c, 101, 10); c.ObserveProbe(c.now, ProbeReport{Failed: true}) }, 10, false},
		"failed probes without answers": {func(c *Controller) {
			good(c, 101, 10)
			for range 6 {
				c.ObserveProbe(c.now, ProbeReport{Failed: true})
			}
		}, 1, true},
		"overdue requests in flight": {func(c *Controller) {
			good(c, 101, 10)
			offerRequests(c, 1, 5, "a", bulrushchute.ClassStandard)
			c.Tick(c.NextTick())
		}, 5, false},
		"node paused with requests in flight": {func(c *Controller) {
			good(c, 101, 10)
			offerRequests(c, 1, 5, "a", bulrushchute.ClassStandard)
			c.Tick(c.NextTick() + maxTickDelay + 1)
			for id := range uint64(5) {
				c.Done(c.now, attemptID(id+1), Result{ElapsedMs: 200})
			}
		}, 10, false},
		"tiny latencies": {func(c *Controller) { good(c, 101, 10); finish(c, 1, Result{ElapsedMs: 1e-27}) }, 10, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := New(0, Settings{Limits: bulrushcatalogue.Limits{Slots: 10, WarmMs: 1000}})
			tc.events(c)
			assert.Equal(t, c.Load().Limit, tc.limit)
			assert.Equal(t, c.Load().Cold, tc.cold)
		})
	}
}

// Guards against a division of slots between tenants or classes that does not
// follow the weights.
func TestWeightedShares(t *testing.T) {
	weights := []bulrushcatalogue.TenantShare{{Tenant: "a", Weight: 3}}
	c := newBusyController(bulrushcatalogue.Limits{Slots: 1, Queue: 100, QueueMs: bulrushchute.Hour}, weights...)
	offerRequests(c, 1000, 60, "a", bulrushchute.ClassStandard)
	offerRequests(c, 2000, 40, "b", bulrushchute.ClassStandard)
	offerRequests(c, 3000, 50, "a", bulrushchute.ClassBulk)
	running, served := attemptID(1), map[byte]int{}
	for range 50 {
		releases := c.Done(0, running, answered)
		assert.Equal(t, len(releases), 1)
		running = releases[0].ID
		// The thousands of the ID stand for the tenant and the class.
		served[byte((int(running[6])<<8|int(running[7]))/1000)]++
	}
	assert.DeepEqual(t, served, map[byte]int{1: 30, 2: 10, 3: 10})
}

// Guards against using the weights of a previous catalogue entry.
func TestChangedWeights(t *testing.T) {
	c := newBusyController(bulrushcatalogue.Limits{Slots: 1})
	offerRequests(c, 10, 1, "a", bulrushchute.ClassStandard)
	c.SetSettings(0, Settings{Tenants: []bulrushcatalogue.TenantShare{{Tenant: "a", Weight: 4}}})
	assert.Equal(t, c.usage["a"].weight, 4)
	assert.Equal(t, c.activeWeight, 5)
}

// Guards against requests that wait in vain after the limit was cut, and
// against shedding important requests before less important ones.
func TestCutShedsExcess(t *testing.T) {
	c := newBusyController(bulrushcatalogue.Limits{Slots: 10})
	offerRequests(c, 100, 4, "a", bulrushchute.ClassCritical)
	offerRequests(c, 200, 20, "a", bulrushchute.ClassBulk)
	c.slotTime.slotMsPerRequest = 100
	releases := c.UpdateAnnouncement(0, Announcement{Cold: true})
	// The cold limit of 1, 100 ms per request and the default queue timeout of
	// 200 ms leave 2 of the 24 queued requests.
	assert.Equal(t, len(releases), 22)
	for i, release := range releases {
		assert.Equal(t, release.Refusal.Reason, bulrushchute.ReasonShed)
		assert.Equal(t, release.ID[7] >= 200, i < 20, "critical request shed before bulk requests")
	}
}

// Guards against a tenant that holds all slots with slow requests while another
// waits.
func TestTenantShareOfSlots(t *testing.T) {
	c := newBusyController(bulrushcatalogue.Limits{Slots: 4})
	offerRequests(c, 10, 4, "holder", bulrushchute.ClassStandard)
	offerRequests(c, 20, 4, "b", bulrushchute.ClassStandard)
	c.Done(0, attemptID(1), answered)
	c.Done(0, attemptID(2), answered)
	assert.Equal(t, c.usage["b"].inFlight, 2)
}

// Guards against a retry delay that does not follow the measured slot time, and
// against waits beyond queue_ms, the deadline or drainQueueTimeout after
// Drain and SetWithdrawn.
func TestRetryAfterAndQueueTimeouts(t *testing.T) {
	c := newBusyController(bulrushcatalogue.Limits{Slots: 1, Queue: 2})
	assert.Equal(t, c.retryAfter(), defaultRetryAfter)
	c.Tick(0)
	c.Done(40, attemptID(1), answered)
	offerRequests(c, 1, 2, "a", bulrushchute.ClassStandard)
	assert.Equal(t, c.retryAfter(), bulrushchute.Millis(81))
	c.Tick(40 + 10*bulrushchute.Second)
	assert.Equal(t, c.retryAfter(), maxRetryAfter)

	cases := map[string]struct {
		deadline bulrushchute.Millis
		event    func(*Controller)
		at       bulrushchute.Millis
		reason   bulrushchute.Reason
	}{
		"queue_ms": {bulrushchute.Hour, func(*Controller) {}, 3000, bulrushchute.ReasonQueueTimeout},
		"deadline": {500, func(*Controller) {}, 500, bulrushchute.ReasonDeadline},
		"leaving":  {bulrushchute.Hour, func(c *Controller) { c.Drain(7) }, 1007, bulrushchute.ReasonLeaving},
		"withdrawn": {bulrushchute.Hour, func(c *Controller) { c.SetWithdrawn(9, true) }, 1009,
			bulrushchute.ReasonWithdrawn},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newBusyController(bulrushcatalogue.Limits{Slots: 1, QueueMs: 3000})
			c.Offer(0, Request{ID: attemptID(50), Deadline: tc.deadline})
			tc.event(c)
			assert.Equal(t, c.NextTick(), tc.at)
			assert.Equal(t, len(c.Tick(tc.at-1)), 0)
			releases := c.Tick(tc.at)
			assert.Equal(t, len(releases), 1)
			assert.Equal(t, releases[0].Refusal.Reason, tc.reason)
		})
	}
}

// Guards against memory that grows with the route and tenant names that callers
// choose.
func TestBoundedMemory(t *testing.T) {
	c := newBusyController(bulrushcatalogue.Limits{Slots: 1})
	for n := range uint64(1000) {
		name := fmt.Sprint(n)
		c.Offer(0, Request{ID: attemptID(n + 2), Route: name, Tenant: bulrushchute.Tenant(name), Deadline: 100})
	}
	assert.Assert(t, len(c.baselines.routes) <= maxRoutes)
	assert.Equal(t, len(c.usage), len(c.requests))
}

// BenchmarkOfferDone measures a request that finds a free slot and one that is
// queued first.
func BenchmarkOfferDone(b *testing.B) {
	for name, queued := range map[string]bool{"admitted": false, "queued": true} {
		b.Run(name, func(b *testing.B) {
			c := New(0, Settings{Limits: bulrushcatalogue.Limits{Slots: 1}})
			running := uint64(1)
			if queued {
				c.Offer(0, Request{ID: attemptID(1), Route: "r", Tenant: "a", Deadline: bulrushchute.Hour})
			}
			b.ReportAllocs()
			for id := uint64(2); b.Loop(); id++ {
				c.Offer(0, Request{ID: attemptID(id), Route: "r", Tenant: "a", Deadline: bulrushchute.Hour})
				if !queued {
					running = id
				}
				c.Done(0, attemptID(running), answered)
				running = id
			}
		})
	}
}
