package bulrushadmission

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// server is a fake backend server that shares its capacity among its jobs and
// loses some of it to contention beyond that.
type server struct {
	c        *Controller
	now      bulrushchute.Millis
	random   *rand.Rand
	capacity float64
	// slow multiplies every job's work; workMs is the mean work of each route.
	slow   float64
	workMs map[string]float64
	// fails names the routes whose requests fail.
	fails map[string]bool
	// fixed holds the limit at the slots, as the baseline for comparison.
	fixed   bool
	jobs    []*job
	waiting map[bulrushchute.AttemptID]*job
	next    uint64

	good, late, refused int
}

type job struct {
	id        bulrushchute.AttemptID
	route     string
	deadline  bulrushchute.Millis
	startedAt bulrushchute.Millis
	leftMs    float64
}

const (
	serverSlots    = 10
	serverDeadline = 100 * bulrushchute.Millisecond
	contention     = 0.1
)

func newServer(seed uint64, fixed bool) *server {
	s := &server{
		c:        New(0, Settings{Limits: bulrushcatalogue.Limits{Slots: serverSlots, WarmMs: 500}}),
		random:   rand.New(rand.NewPCG(1, seed)),
		capacity: serverSlots,
		slow:     1,
		workMs:   map[string]float64{"r": 10},
		fixed:    fixed,
		waiting:  map[bulrushchute.AttemptID]*job{},
	}
	return s
}

// run offers perMs requests of the route each millisecond on average.
func (s *server) run(span bulrushchute.Millis, route string, perMs float64) {
	for end := s.now + span; s.now < end; s.now++ {
		s.work()
		s.take(s.c.Tick(s.now))
		for left := perMs; left > s.random.Float64(); left-- {
			s.offer(route)
		}
		s.hold()
	}
}

func (s *server) offer(route string) {
	s.next++
	j := &job{id: attemptID(s.next), route: route, deadline: s.now + serverDeadline}
	decision := s.c.Offer(s.now, Request{ID: j.id, Route: route, Deadline: j.deadline})
	switch decision.Verdict {
	case Admitted:
		s.start(j)
	case Queued:
		s.waiting[j.id] = j
	default:
		s.refused++
	}
	s.take(decision.Releases)
}

func (s *server) start(j *job) {
	j.startedAt = s.now
	j.leftMs = s.workMs[j.route] * s.slow * s.random.ExpFloat64()
	s.jobs = append(s.jobs, j)
}

func (s *server) take(releases []Release) {
	for _, release := range releases {
		if release.Admitted {
			s.start(s.waiting[release.ID])
		} else {
			s.refused++
		}
		delete(s.waiting, release.ID)
	}
	s.hold()
}

// work runs all jobs for one millisecond.
func (s *server) work() {
	n := float64(len(s.jobs))
	speed := 1.0
	if n > s.capacity {
		speed = s.capacity / n / (1 + contention*(n-s.capacity))
	}
	jobs := s.jobs
	s.jobs = nil
	for _, j := range jobs {
		j.leftMs -= speed
		if j.leftMs <= 0 {
			s.end(j)
			continue
		}
		s.jobs = append(s.jobs, j)
	}
}

func (s *server) end(j *job) {
	result := Result{Kind: bulrushchute.ResultAnswered, ElapsedMs: max(0.1, float64(s.now-j.startedAt)+j.leftMs)}
	switch {
	case s.fails[j.route]:
		result.Kind = bulrushchute.ResultServerError
	case s.now <= j.deadline:
		s.good++
	default:
		s.late++
	}
	s.take(s.c.Done(s.now, j.id, result))
}

func (s *server) hold() {
	if s.fixed {
		s.c.ramp.warming = false
		s.c.adaptive = newAdaptiveLimit(serverSlots)
	}
}

// fallMs runs until the limit is at most the given one and returns the time taken.
func (s *server) fallMs(limit int, perMs float64) bulrushchute.Millis {
	from := s.now
	for s.c.Load().Limit > limit && s.now < from+5*bulrushchute.Second {
		s.run(1, "r", perMs)
	}
	return s.now - from
}

// slowdown warms the server, takes four fifths of its capacity for three
// seconds and gives it back for two.
func slowdown(seed uint64, fixed bool) (s *server, fallMs bulrushchute.Millis) {
	s = newServer(seed, fixed)
	s.run(5*bulrushchute.Second, "r", 0.7)
	s.good, s.late, s.refused = 0, 0, 0
	s.capacity = 2
	from := s.now
	fallMs = s.fallMs(serverSlots/2, 0.7)
	s.run(3*bulrushchute.Second-(s.now-from), "r", 0.7)
	s.capacity = serverSlots
	s.run(2*bulrushchute.Second, "r", 0.7)
	return s, fallMs
}

// Guards against a limit that misses a sudden slowdown, keeps fewer good
// answers than a fixed limit, or does not come back.
func TestSuddenSlowdown(t *testing.T) {
	for seed := range uint64(5) {
		adaptive, fallMs := slowdown(seed, false)
		fixed, _ := slowdown(seed, true)
		t.Logf("seed %d fell in %d ms; good, late, refused: adaptive %d %d %d, fixed %d %d %d", seed, fallMs,
			adaptive.good, adaptive.late, adaptive.refused, fixed.good, fixed.late, fixed.refused)
		assert.Assert(t, fallMs <= 60, "took %d ms", fallMs)
		assert.Assert(t, adaptive.good > fixed.good)
		assert.Assert(t, adaptive.late < fixed.late/2)
		assert.Assert(t, adaptive.c.Load().Limit >= 8, "limit %d after recovery", adaptive.c.Load().Limit)
	}
}

// Guards against false alarms on a healthy server with widely spread latencies.
func TestHealthyServerKeepsItsSlots(t *testing.T) {
	adaptive, fixed := newServer(1, false), newServer(1, true)
	for _, s := range []*server{adaptive, fixed} {
		s.run(2*bulrushchute.Second, "r", 0.8)
		s.good, s.late, s.refused = 0, 0, 0
		s.run(30*bulrushchute.Second, "r", 0.8)
	}
	t.Logf("good, late, refused: adaptive %d %d %d, fixed %d %d %d",
		adaptive.good, adaptive.late, adaptive.refused, fixed.good, fixed.late, fixed.refused)
	assert.Assert(t, adaptive.good*100 >= fixed.good*99)
}

// Guards against a limit that stays down when the server stays slow by itself,
// and against routes that are slow or broken by nature being taken for trouble.
func TestLimitRecovers(t *testing.T) {
	cases := map[string]func(*server){
		"slow for good":        func(s *server) { s.slow = 5; s.run(20*bulrushchute.Second, "r", 0.1) },
		"other, slower routes": func(s *server) { s.workMs["slow"] = 60; s.run(5*bulrushchute.Second, "slow", 0.1) },
		"one route always fails": func(s *server) {
			s.fails = map[string]bool{"broken": true}
			for range 2000 {
				s.run(1, "broken", 0.1)
				s.run(1, "r", 0.4)
			}
		},
		"failed for a while": func(s *server) {
			s.fails = map[string]bool{"r": true}
			s.run(bulrushchute.Second, "r", 0.3)
			assert.Assert(t, s.c.Load().Limit <= 2, "limit %d while failing", s.c.Load().Limit)
			s.fails = nil
			s.run(3*bulrushchute.Second, "r", 0.3)
		},
	}
	for name, trouble := range cases {
		t.Run(name, func(t *testing.T) {
			s := newServer(1, false)
			s.run(3*bulrushchute.Second, "r", 0.5)
			trouble(s)
			assert.Assert(t, s.c.Load().Limit >= 8, "load %+v", s.c.Load())
		})
	}
}

// BenchmarkSlowdown reports what a sudden slowdown costs, with a fixed limit as
// the baseline.
func BenchmarkSlowdown(b *testing.B) {
	for name, fixed := range map[string]bool{"adaptive": false, "fixed": true} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				s, fallMs := slowdown(1, fixed)
				b.ReportMetric(float64(fallMs), "fall_ms")
				b.ReportMetric(float64(s.good), "good")
				b.ReportMetric(float64(s.late), "late")
				b.ReportMetric(float64(s.refused), "refused")
			}
		})
	}
}
