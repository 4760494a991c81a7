package bulrushadmission

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// noisyMachine is a machine that is slowed down by a factor during a quarter of
// intervals of equal length.
type noisyMachine struct {
	interval bulrushchute.Millis
	factor   float64
	random   *rand.Rand
	slow     bool
}

func (nm *noisyMachine) slowdown(now bulrushchute.Millis) float64 {
	if now%nm.interval == 0 {
		nm.slow = nm.random.Float64() < 0.25
	}
	if nm.slow {
		return nm.factor
	}
	return 1
}

// slowdownReplay replays requests at low load to servers on noisy machines. Each
// request is offered to one server after another until one takes it; the last one
// is asked to insist.
type slowdownReplay struct {
	now         bulrushchute.Millis
	controllers []*Controller
	machines    []*noisyMachine
	workMs      float64
	random      *rand.Rand
	// requests holds the requests in the replay by ID, ends those that run.
	requests map[bulrushchute.AttemptID]*replayedRequest
	ends     map[bulrushchute.Millis][]*replayedRequest

	offered, inObjective, hops int
}

type replayedRequest struct {
	id        bulrushchute.AttemptID
	arrivedAt bulrushchute.Millis
	order     []int
	tried     int
	server    int
}

const replayObjective = 400 * bulrushchute.Millisecond

func newSlowdownReplay(servers int, interval bulrushchute.Millis, factor, workMs float64) *slowdownReplay {
	sr := &slowdownReplay{
		now: 1000, workMs: workMs, random: rand.New(rand.NewPCG(5, uint64(interval))),
		requests: map[bulrushchute.AttemptID]*replayedRequest{}, ends: map[bulrushchute.Millis][]*replayedRequest{},
	}
	for i := range servers {
		sr.controllers = append(sr.controllers, newReportingController(sr.now))
		sr.machines = append(sr.machines, &noisyMachine{interval: interval, factor: factor, random: rand.New(rand.NewPCG(uint64(i), 3))})
	}
	return sr
}

// run replays a span of time with one request every gap.
func (sr *slowdownReplay) run(span, gap bulrushchute.Millis) {
	for end := sr.now + span; sr.now < end; sr.now++ {
		for i, c := range sr.controllers {
			slowdown := sr.machines[i].slowdown(sr.now)
			if sr.now%10 == 0 {
				sr.apply(i, c.ObserveLoad(sr.now, bulrushchute.BackendLoad{Slots: 9, Slowdown: slowdown}))
			}
			sr.apply(i, c.Tick(sr.now))
		}
		for _, request := range sr.ends[sr.now] {
			if sr.now-request.arrivedAt <= replayObjective {
				sr.inObjective++
			}
			sr.apply(request.server, sr.controllers[request.server].Done(sr.now, request.id, Result{Kind: bulrushchute.ResultAnswered}))
		}
		delete(sr.ends, sr.now)
		if sr.now%gap == 0 {
			sr.offered++
			id := bulrushchute.AttemptID{byte(sr.offered), byte(sr.offered >> 8)}
			sr.requests[id] = &replayedRequest{id: id, arrivedAt: sr.now, order: sr.random.Perm(len(sr.controllers))}
			sr.offerNext(sr.requests[id])
		}
	}
}

// offerNext offers the request to the next server in its order.
func (sr *slowdownReplay) offerNext(request *replayedRequest) {
	if request.tried == len(request.order) {
		return
	}
	request.server = request.order[request.tried]
	request.tried++
	sr.hops++
	decision := sr.controllers[request.server].Offer(sr.now, Request{
		ID: request.id, Route: "r", Deadline: request.arrivedAt + 1000, Objective: request.arrivedAt + replayObjective - sr.now,
		Insist: request.tried == len(request.order),
	})
	switch decision.Verdict {
	case Admitted:
		sr.start(request)
	case Refused:
		sr.offerNext(request)
	}
	sr.apply(request.server, decision.Releases)
}

func (sr *slowdownReplay) start(request *replayedRequest) {
	took := sr.workMs
	if machine := sr.machines[request.server]; machine.slow {
		took *= machine.factor
	}
	at := sr.now + bulrushchute.Millis(took)
	sr.ends[at] = append(sr.ends[at], request)
}

func (sr *slowdownReplay) apply(server int, releases []Release) {
	for _, release := range releases {
		request := sr.requests[release.ID]
		switch {
		case release.Admitted:
			request.server = server
			sr.start(request)
		default:
			sr.offerNext(request)
		}
	}
}

// Guards against waiting for the end of a slowdown that lasts longer than the
// objective allows while other servers are fast, and against starting work during
// it. Load pattern: machines that neighbours slow down in a quarter of the time,
// independently of each other, at a low load. Nearly every request meets its
// objective, because a server that is fast is nearly always free.
func TestMeetsObjectiveBesideNoisyNeighbours(t *testing.T) {
	cases := map[string]struct {
		interval bulrushchute.Millis
		// wantInObjective is the share of requests, maxHops the mean number of
		// servers that a request is offered to.
		wantInObjective float64
		maxHops         float64
	}{
		"neighbours stay for half a second": {500, 0.98, 1.5},
		// Waiting is cheaper than sending the request elsewhere.
		"neighbours stay for 100 ms": {100, 0.98, 1.1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			replay := newSlowdownReplay(5, tc.interval, 7, 120)
			replay.run(20*bulrushchute.Second, 21)
			replay.offered, replay.inObjective, replay.hops = 0, 0, 0
			replay.run(60*bulrushchute.Second, 21)
			share := float64(replay.inObjective) / float64(replay.offered)
			hops := float64(replay.hops) / float64(replay.offered)
			t.Logf("in objective %.3f, offers per request %.2f", share, hops)
			assert.Assert(t, share >= tc.wantInObjective, "%.3f in objective", share)
			assert.Assert(t, hops <= tc.maxHops, "%.2f offers per request", hops)
		})
	}
}

// Guards against starting a non-repeatable request during a slowdown although it
// would not be answered before its deadline: it would run without an answer.
func TestDoesNotStartWhatCannotFinish(t *testing.T) {
	now := bulrushchute.Millis(1000)
	c := newReportingController(now)
	for n := range 2 * minBaselineSamples {
		assert.Equal(t, c.Offer(now, testRequest(n, now)).Verdict, Admitted)
		now += fastMs
		c.ObserveLoad(now, bulrushchute.BackendLoad{Slots: 9, Slowdown: 1})
		c.Done(now, testRequest(n, now).ID, Result{Kind: bulrushchute.ResultAnswered})
	}
	c.ObserveLoad(now, bulrushchute.BackendLoad{Slots: 9, Slowdown: 7})
	request := testRequest(1000, now)
	request.Deadline = now + 5*fastMs
	assert.Equal(t, c.Offer(now, request).Verdict, Queued)
	for ; now < request.Deadline; now += 10 {
		for _, release := range c.ObserveLoad(now, bulrushchute.BackendLoad{Slots: 9, Slowdown: 7}) {
			assert.Assert(t, !release.Admitted, "started %d ms before the deadline", request.Deadline-now)
			return
		}
	}
	t.Fatal("neither started nor refused before the deadline")
}

// Guards against a Retry-After that leads callers back while a cold server still
// takes no more requests. Load pattern: after a fault all servers are cold, and more
// requests arrive in the first moments than they may take in a second.
func TestRetryAfterOfAColdServer(t *testing.T) {
	now := bulrushchute.Millis(1000)
	c := newReportingController(now)
	c.ObserveCold(now, 3000)
	var refusal *bulrushchute.Refusal
	for n := 0; refusal == nil; n++ {
		request := testRequest(n, now)
		decision := c.Offer(now, request)
		switch decision.Verdict {
		case Admitted:
			c.Done(now, request.ID, Result{Kind: bulrushchute.ResultAnswered, ElapsedMs: 20})
		case Refused:
			refusal = &decision.Refusal
		}
	}
	assert.Assert(t, refusal.RetryAfter >= coldRateWindow, "retry after %d ms", refusal.RetryAfter)
}

// Guards against refusing a request as busy while slots are free. Load pattern: a
// server whose requests suddenly take much longer, with most of its slots in use.
func TestNotBusyWhileSlotsAreFree(t *testing.T) {
	now := bulrushchute.Millis(1000)
	c := newReportingController(now)
	for n := range 2 * minBaselineSamples {
		assert.Equal(t, c.Offer(now, testRequest(n, now)).Verdict, Admitted)
		now += fastMs
		c.ObserveLoad(now, bulrushchute.BackendLoad{Slots: 9, Slowdown: 1})
		c.Done(now, testRequest(n, now).ID, Result{Kind: bulrushchute.ResultAnswered})
	}
	for n := range 9 {
		c.ObserveLoad(now, bulrushchute.BackendLoad{Slots: 9, Slowdown: 1})
		assert.Equal(t, c.Offer(now, testRequest(100+n, now)).Verdict, Admitted, "%d of 9 slots in use", n)
		now += 2 * fastMs
	}
}

// Guards against slots that become free during a slowdown and go to the tenant that
// sends most requests, while those of others wait until they time out.
func TestSlotDuringSlowdownGoesToTenantWithFewest(t *testing.T) {
	c := newReportingController(1000)
	c.ObserveLoad(1000, bulrushchute.BackendLoad{Slots: 9, Slowdown: 4})
	offer := func(n uint64, tenant bulrushchute.Tenant) {
		c.Offer(1000, Request{ID: attemptID(n), Route: "r", Tenant: tenant, Deadline: bulrushchute.Hour, Insist: true})
	}
	for n := range uint64(20) {
		offer(n, "heavy")
	}
	offer(20, "light")
	c.Tick(1000 + defaultHold)
	assert.Equal(t, c.usage["light"].inFlight, 1)
	assert.Equal(t, len(c.running), c.limit())
}
