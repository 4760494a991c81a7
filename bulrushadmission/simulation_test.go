package bulrushadmission

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// simulatedServer is a fake backend server that divides its capacity among its
// jobs, and loses part of it to contention when there are more jobs than that.
type simulatedServer struct {
	c        *Controller
	now      bulrushchute.Millis
	random   *rand.Rand
	capacity float64
	// workFactor multiplies every job's work. workMs is the mean work of each
	// route.
	workFactor float64
	workMs     map[string]float64
	// failingRoutes is the set of routes whose requests fail.
	failingRoutes map[string]bool
	// fixedLimit pins the limit to the number of slots, as the baseline for
	// comparison.
	fixedLimit bool
	jobs       []*job
	waiting    map[bulrushchute.AttemptID]*job
	lastID     uint64

	good, late, refused int
}

type job struct {
	id          bulrushchute.AttemptID
	route       string
	deadline    bulrushchute.Millis
	startedAt   bulrushchute.Millis
	remainingMs float64
}

const (
	serverSlots    = 10
	serverDeadline = 100 * bulrushchute.Millisecond
	// contentionFactor is the relative increase in the duration of all jobs for
	// each job above the capacity, in addition to that from sharing it.
	contentionFactor = 0.1
)

func newSimulatedServer(seed uint64, fixed bool) *simulatedServer {
	s := &simulatedServer{
		c:          New(0, Settings{Limits: bulrushcatalogue.Limits{Slots: serverSlots, WarmMs: 500}}),
		random:     rand.New(rand.NewPCG(1, seed)),
		capacity:   serverSlots,
		workFactor: 1,
		workMs:     map[string]float64{"r": 10},
		fixedLimit: fixed,
		waiting:    map[bulrushchute.AttemptID]*job{},
	}
	return s
}

// run simulates the given span of time and offers requestsPerMs requests on the
// route per millisecond on average.
func (s *simulatedServer) run(span bulrushchute.Millis, route string, requestsPerMs float64) {
	for end := s.now + span; s.now < end; s.now++ {
		s.step()
		s.applyReleases(s.c.Tick(s.now))
		for left := requestsPerMs; left > s.random.Float64(); left-- {
			s.offer(route)
		}
		s.pinLimit()
	}
}

func (s *simulatedServer) offer(route string) {
	s.lastID++
	j := &job{id: attemptID(s.lastID), route: route, deadline: s.now + serverDeadline}
	decision := s.c.Offer(s.now, Request{ID: j.id, Route: route, Deadline: j.deadline})
	switch decision.Verdict {
	case Admitted:
		s.start(j)
	case Queued:
		s.waiting[j.id] = j
	default:
		s.refused++
	}
	s.applyReleases(decision.Releases)
}

func (s *simulatedServer) start(j *job) {
	j.startedAt = s.now
	j.remainingMs = s.workMs[j.route] * s.workFactor * s.random.ExpFloat64()
	s.jobs = append(s.jobs, j)
}

func (s *simulatedServer) applyReleases(releases []Release) {
	for _, release := range releases {
		if release.Admitted {
			s.start(s.waiting[release.ID])
		} else {
			s.refused++
		}
		delete(s.waiting, release.ID)
	}
	s.pinLimit()
}

// step runs all jobs for one millisecond.
func (s *simulatedServer) step() {
	n := float64(len(s.jobs))
	speed := 1.0
	if n > s.capacity {
		speed = s.capacity / n / (1 + contentionFactor*(n-s.capacity))
	}
	jobs := s.jobs
	s.jobs = nil
	for _, j := range jobs {
		j.remainingMs -= speed
		if j.remainingMs <= 0 {
			s.finish(j)
			continue
		}
		s.jobs = append(s.jobs, j)
	}
}

func (s *simulatedServer) finish(j *job) {
	result := Result{Kind: bulrushchute.ResultAnswered, ElapsedMs: max(0.1, float64(s.now-j.startedAt)+j.remainingMs)}
	switch {
	case s.failingRoutes[j.route]:
		result.Kind = bulrushchute.ResultServerError
	case s.now <= j.deadline:
		s.good++
	default:
		s.late++
	}
	s.applyReleases(s.c.Done(s.now, j.id, result))
}

func (s *simulatedServer) pinLimit() {
	if s.fixedLimit {
		s.c.ramp.warming = false
		s.c.adaptive = newAdaptiveLimit(serverSlots)
	}
}

// runUntilLimit runs until the limit is at most the given one, and returns the
// time that this took.
func (s *simulatedServer) runUntilLimit(limit int, requestsPerMs float64) bulrushchute.Millis {
	from := s.now
	for s.c.Load().Limit > limit && s.now < from+5*bulrushchute.Second {
		s.run(1, "r", requestsPerMs)
	}
	return s.now - from
}

// simulateSlowdown warms up the server, takes away four fifths of its capacity
// for three seconds, restores it and runs for two more seconds.
func simulateSlowdown(seed uint64, fixed bool) (s *simulatedServer, fallMs bulrushchute.Millis) {
	s = newSimulatedServer(seed, fixed)
	s.run(5*bulrushchute.Second, "r", 0.7)
	s.good, s.late, s.refused = 0, 0, 0
	s.capacity = 2
	from := s.now
	fallMs = s.runUntilLimit(serverSlots/2, 0.7)
	s.run(3*bulrushchute.Second-(s.now-from), "r", 0.7)
	s.capacity = serverSlots
	s.run(2*bulrushchute.Second, "r", 0.7)
	return s, fallMs
}

// Guards against a limit that misses a sudden slowdown, yields fewer good
// answers than a fixed limit, or does not recover.
func TestSuddenSlowdown(t *testing.T) {
	for seed := range uint64(5) {
		adaptive, fallMs := simulateSlowdown(seed, false)
		fixed, _ := simulateSlowdown(seed, true)
		t.Logf("seed %d: limit fell in %d ms; good, late, refused: adaptive %d %d %d, fixed %d %d %d", seed, fallMs,
			adaptive.good, adaptive.late, adaptive.refused, fixed.good, fixed.late, fixed.refused)
		assert.Assert(t, fallMs <= 60, "limit took %d ms to fall", fallMs)
		assert.Assert(t, adaptive.good > fixed.good)
		assert.Assert(t, adaptive.late < fixed.late/2)
		assert.Assert(t, adaptive.c.Load().Limit >= 8, "limit %d after recovery", adaptive.c.Load().Limit)
	}
}

// Guards against cutting the limit of a healthy server because its latencies
// vary widely.
func TestHealthyServerKeepsItsSlots(t *testing.T) {
	adaptive, fixed := newSimulatedServer(1, false), newSimulatedServer(1, true)
	for _, s := range []*simulatedServer{adaptive, fixed} {
		s.run(2*bulrushchute.Second, "r", 0.8)
		s.good, s.late, s.refused = 0, 0, 0
		s.run(30*bulrushchute.Second, "r", 0.8)
	}
	t.Logf("good, late, refused: adaptive %d %d %d, fixed %d %d %d",
		adaptive.good, adaptive.late, adaptive.refused, fixed.good, fixed.late, fixed.refused)
	assert.Assert(t, adaptive.good*100 >= fixed.good*99)
}

// Guards against a limit that stays low when the server itself stays slow, and
// against treating routes that are always slow or failing as a degraded server.
func TestLimitRecovers(t *testing.T) {
	cases := map[string]func(*simulatedServer){
		"permanently slow":      func(s *simulatedServer) { s.workFactor = 5; s.run(20*bulrushchute.Second, "r", 0.1) },
		"another, slower route": func(s *simulatedServer) { s.workMs["slow"] = 60; s.run(5*bulrushchute.Second, "slow", 0.1) },
		"one route always fails": func(s *simulatedServer) {
			s.failingRoutes = map[string]bool{"broken": true}
			for range 2000 {
				s.run(1, "broken", 0.1)
				s.run(1, "r", 0.4)
			}
		},
		"temporary failures": func(s *simulatedServer) {
			s.failingRoutes = map[string]bool{"r": true}
			s.run(bulrushchute.Second, "r", 0.3)
			assert.Assert(t, s.c.Load().Limit <= 2, "limit %d while failing", s.c.Load().Limit)
			s.failingRoutes = nil
			s.run(3*bulrushchute.Second, "r", 0.3)
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulatedServer(1, false)
			s.run(3*bulrushchute.Second, "r", 0.5)
			disturb(s)
			assert.Assert(t, s.c.Load().Limit >= 8, "load %+v", s.c.Load())
		})
	}
}

// BenchmarkSlowdown reports the cost of a sudden slowdown, compared with a
// fixed limit.
func BenchmarkSlowdown(b *testing.B) {
	for name, fixed := range map[string]bool{"adaptive": false, "fixed": true} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				s, fallMs := simulateSlowdown(1, fixed)
				b.ReportMetric(float64(fallMs), "fall_ms")
				b.ReportMetric(float64(s.good), "good")
				b.ReportMetric(float64(s.late), "late")
				b.ReportMetric(float64(s.refused), "refused")
			}
		})
	}
}
