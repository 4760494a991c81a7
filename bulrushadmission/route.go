package bulrushadmission

import (
	"math"

	"bulrushchute.example/bulrushchute"
)

const (
	// maxRoutes bounds the memory for baselines. The least recently used
	// route is forgotten first.
	maxRoutes = 64
	// learnSamples is the number of answers before a route's baseline is used.
	learnSamples = 8
	// learnStep is the relative change of a baseline for one ordinary answer.
	learnStep = 0.03
	// slowStep is used for a slow answer under load. A sudden slowdown must not
	// become the baseline before the limit has reacted.
	slowStep = 0.003
	// coldStep is used for a slow answer of a cold server. It lets a server that
	// stays slow leave the ramp in the end.
	coldStep = 0.01
	// upperQuantile is the quantile that route.upperMs follows.
	upperQuantile = 0.9
	// An answer is slow above both of these multiples. The upper quantile keeps
	// routes with widely spread latencies from being called slow.
	slowOverTypical = 2.0
	slowOverUpper   = 1.5
	// farOverSlow is the multiple of the slow threshold that a cold server exceeds.
	farOverSlow = 1.5
	// jitterMs is added to every threshold, since scheduling alone delays fast answers.
	jitterMs = 1.0
	// failureStep is the weight of one answer in a route's failure rate.
	failureStep = 0.05
)

// route is the baseline of one route: what its answers take when the server is well.
type route struct {
	samples     int
	typicalMs   float64
	upperMs     float64
	failureRate float64
	usedAt      bulrushchute.Millis
}

// learned reports whether the baseline rests on enough answers.
func (r *route) learned() bool {
	return r.samples >= learnSamples
}

// slowMs returns the latency above which an answer is slow.
func (r *route) slowMs() float64 {
	return max(slowOverTypical*r.typicalMs, slowOverUpper*r.upperMs) + jitterMs
}

// slow reports whether a latency is above the threshold.
func (r *route) slow(elapsedMs float64) bool {
	return r.learned() && elapsedMs > r.slowMs()
}

// far reports whether a latency is so high that the server may be cold.
func (r *route) far(elapsedMs float64) bool {
	return r.learned() && elapsedMs > farOverSlow*r.slowMs()
}

// observe moves the baseline towards a latency by at most the given step.
func (r *route) observe(elapsedMs, step float64) {
	if r.samples == 0 {
		r.typicalMs = elapsedMs
		r.upperMs = elapsedMs
	}
	if !r.learned() {
		r.samples++
		step = 1 / float64(r.samples+1)
	}
	r.typicalMs = follow(r.typicalMs, elapsedMs, 0.5, step)
	r.upperMs = max(follow(r.upperMs, elapsedMs, upperQuantile, step), r.typicalMs)
}

// follow moves an estimate of a quantile by one relative step towards a sample.
func follow(estimate, sample, quantile, step float64) float64 {
	if sample > estimate {
		return min(estimate*math.Exp(2*step*quantile), sample)
	}
	return max(estimate*math.Exp(-2*step*(1-quantile)), sample)
}

// observeFailure updates the route's failure rate.
func (r *route) observeFailure(failed bool) {
	target := 0.0
	if failed {
		target = 1
	}
	r.failureRate += failureStep * (target - r.failureRate)
}

// routeTable holds a bounded number of baselines.
type routeTable struct {
	routes map[string]*route
}

func newRouteTable() routeTable {
	return routeTable{routes: make(map[string]*route, maxRoutes)}
}

// get returns the route's baseline and creates it if needed.
func (rt *routeTable) get(now bulrushchute.Millis, name string) *route {
	if known, ok := rt.routes[name]; ok {
		known.usedAt = now
		return known
	}
	if len(rt.routes) >= maxRoutes {
		rt.evict()
	}
	created := &route{usedAt: now}
	rt.routes[name] = created
	return created
}

// evict forgets the least recently used route; equal times are told apart by
// name so that the result does not depend on the map's order.
func (rt *routeTable) evict() {
	var oldest string
	found := false
	for name, candidate := range rt.routes {
		if !found || candidate.olderThan(rt.routes[oldest]) ||
			(candidate.usedAt == rt.routes[oldest].usedAt && name < oldest) {
			oldest, found = name, true
		}
	}
	delete(rt.routes, oldest)
}

func (r *route) olderThan(other *route) bool {
	return r.usedAt < other.usedAt
}
