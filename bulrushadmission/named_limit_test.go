package bulrushadmission

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
)

// limitedServer is a controller whose server names a limit, with the times of its
// dispatches. Each request ends after runFor.
type limitedServer struct {
	c          *Controller
	now        bulrushchute.Millis
	runFor     bulrushchute.Millis
	ends       map[bulrushchute.Millis][]bulrushchute.AttemptID
	dispatched []bulrushchute.Millis
	classes    [bulrushchute.ClassCount]int
	classOf    map[bulrushchute.AttemptID]bulrushchute.Class
	refused    []bulrushchute.Refusal
	perS       *float64
}

func newLimitedServer(perS float64) *limitedServer {
	s := &limitedServer{
		now:     1000,
		runFor:  50,
		ends:    map[bulrushchute.Millis][]bulrushchute.AttemptID{},
		classOf: map[bulrushchute.AttemptID]bulrushchute.Class{},
		perS:    &perS,
	}
	s.startNode(false)
	return s
}

// startNode replaces the controller, as a start of the node beside the server does,
// which may have been running before.
func (s *limitedServer) startNode(serverStartedBefore bool) {
	limits := reportingLimits()
	limits.QueueMs = 200
	s.c = New(s.now, Settings{Limits: limits})
	s.c.BackendStarted(s.now, Announcement{Slots: 9, StartedBefore: serverStartedBefore})
	s.c.ObserveLoad(s.now, bulrushchute.BackendLoad{Slots: 9, Slowdown: 1})
	clear(s.ends)
}

func (s *limitedServer) record(releases []Release) {
	for _, r := range releases {
		if r.Admitted {
			s.start(r.ID)
		} else {
			s.refused = append(s.refused, r.Refusal)
		}
	}
}

func (s *limitedServer) start(id bulrushchute.AttemptID) {
	s.dispatched = append(s.dispatched, s.now)
	s.classes[s.classOf[id]]++
	s.ends[s.now+s.runFor] = append(s.ends[s.now+s.runFor], id)
}

// offer offers a request and returns the decision.
func (s *limitedServer) offer(number int, class bulrushchute.Class) Decision {
	request := testRequest(number, s.now)
	request.Class = class
	s.classOf[request.ID] = class
	decision := s.c.Offer(s.now, request)
	s.record(decision.Releases)
	switch decision.Verdict {
	case Admitted:
		s.start(request.ID)
	case Refused:
		s.refused = append(s.refused, decision.Refusal)
	}
	return decision
}

// advance moves the time by 10 ms, ends requests and ticks.
func (s *limitedServer) advance() {
	s.now += 10
	for _, id := range s.ends[s.now] {
		s.record(s.c.ObserveNamedLimit(s.now, s.perS, true))
		s.record(s.c.Done(s.now, id, Result{Kind: bulrushchute.ResultAnswered, ElapsedMs: float64(s.runFor)}))
	}
	s.record(s.c.Tick(s.now))
}

// mostIn returns the greatest number of dispatches in any span of the given length.
func (s *limitedServer) mostIn(span bulrushchute.Millis) int {
	most := 0
	for i, first := range s.dispatched {
		count := 0
		for _, later := range s.dispatched[i:] {
			if later < first+span {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against a server that gets more than the limit that it names, in any four
// seconds, also while the node beside it restarts and has forgotten the limit.
func TestNamedLimitHoldsInAnyWindow(t *testing.T) {
	cases := map[string]struct {
		perS float64
		// restartEvery is the time between restarts of the node, 0 for none.
		restartEvery bulrushchute.Millis
		// least is the least number of requests in 12 s: the server is not starved.
		least int
	}{
		"a few a second":              {perS: 3.4, least: 38},
		"many a second":               {perS: 40, least: 440},
		"less than one a second":      {perS: 0.5, least: 5},
		"none":                        {perS: 0, least: 1},
		"restarts every four seconds": {perS: 3.4, restartEvery: 4000, least: 38},
		"restarts, slow limit":        {perS: 0.5, restartEvery: 4000, least: 5},
	}
	const window = 4 * bulrushchute.Second
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newLimitedServer(tc.perS)
			start := s.now
			for number := 0; s.now < start+12*bulrushchute.Second; number++ {
				if tc.restartEvery > 0 && s.now > start && (s.now-start)%tc.restartEvery == 0 {
					s.startNode(true)
				}
				s.offer(number, bulrushchute.ClassStandard)
				s.advance()
			}
			allowed := int(1.5*tc.perS*4) + 5
			assert.Assert(t, s.mostIn(window) <= allowed, "%d requests in 4 s, allowed %d", s.mostIn(window), allowed)
			assert.Assert(t, len(s.dispatched) >= tc.least, "%d requests in 12 s", len(s.dispatched))
		})
	}
}

// Guards against requests that wait for a limited server in vain, against a
// Retry-After that comes too early, and against entry nodes that don't learn when the
// server takes a further request.
func TestRefusalByANamedLimit(t *testing.T) {
	s := newLimitedServer(2)
	s.offer(0, bulrushchute.ClassStandard)
	for range 6 {
		s.advance()
	}
	assert.Equal(t, s.c.Load().FreeAfter, bulrushchute.Millis(490))
	decision := s.offer(1, bulrushchute.ClassStandard)
	assert.Equal(t, decision.Verdict, Refused)
	assert.Equal(t, decision.Refusal.Reason, bulrushchute.ReasonServerLimit)
	assert.Equal(t, decision.Refusal.RetryAfter, bulrushchute.Millis(490))
	for range 40 {
		s.advance()
	}
	assert.Equal(t, s.offer(2, bulrushchute.ClassStandard).Verdict, Queued, "90 ms before the next permit")
	for range 10 {
		s.advance()
	}
	assert.Equal(t, len(s.dispatched), 2)
}

// Guards against a limit that outlives the server's need, or ends by an answer that
// says nothing about it.
func TestNamedLimitLastsAsLongAsTheServerNamesIt(t *testing.T) {
	perS := 2.0
	cases := map[string]struct {
		observe func(*Controller)
		named   bool
	}{
		"health check without it": {func(c *Controller) { c.ObserveNamedLimit(2000, nil, false) }, true},
		"answer without it":       {func(c *Controller) { c.ObserveNamedLimit(2000, nil, true) }, false},
		"answer with it":          {func(c *Controller) { c.ObserveNamedLimit(2000, &perS, true) }, true},
		"another process":         {func(c *Controller) { c.BackendStarted(2000, Announcement{Slots: 9}) }, false},
		"changed by the same one": {func(c *Controller) { c.UpdateAnnouncement(2000, Announcement{Slots: 8}) }, true},
		"changed catalogue entry": {func(c *Controller) { c.SetSettings(2000, Settings{Limits: reportingLimits()}) }, true},
		"first seen in a probe":   {func(c *Controller) { c.ObserveNamedLimit(2000, &perS, false) }, true},
		"health check, then lifted": {func(c *Controller) {
			c.ObserveNamedLimit(2000, &perS, false)
			c.ObserveNamedLimit(2010, nil, true)
		}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := New(1000, Settings{Limits: reportingLimits()})
			c.ObserveNamedLimit(1000, &perS, true)
			tc.observe(c)
			_, named := c.NamedLimit()
			assert.Equal(t, named, tc.named)
		})
	}
}

// Guards against less important requests that take the few permits of a limited
// server from more important ones.
func TestNamedLimitServesImportantRequestsFirst(t *testing.T) {
	s := newLimitedServer(10)
	for number := 0; number < 600; number++ {
		class := bulrushchute.ClassBulk
		if number%3 == 0 {
			class = bulrushchute.ClassCritical
		}
		s.offer(number, class)
		s.advance()
	}
	assert.Assert(t, s.classes[bulrushchute.ClassCritical] >= 2*s.classes[bulrushchute.ClassBulk], "%v", s.classes)
}

// Guards against more dispatches than a limit permits under any sequence of changes
// of the limit.
func TestNamedLimitPermits(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var limit namedLimit
		now := bulrushchute.Millis(1000)
		limit.name(now, rapid.Float64Range(0, 50).Draw(r, "first"))
		permitted := limit.capacity()
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			elapsed := bulrushchute.Millis(rapid.IntRange(-5, 300).Draw(r, "elapsed"))
			permitted += float64(max(0, elapsed)) / 1000 * limit.perS
			now += elapsed
			if rapid.IntRange(0, 9).Draw(r, "change") == 0 {
				before := limit.capacity()
				limit.name(now, rapid.Float64Range(0, 50).Draw(r, "perS"))
				permitted += max(0, limit.capacity()-before)
			}
			if limit.allows(now) {
				limit.recordDispatch(now)
				permitted--
			}
			assert.Assert(r, permitted >= -1e-3, "%f", permitted)
		}
	})
}
