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
	learnSamples = 16
	// matureSamples is the number of answers whose plain mean starts a baseline.
	// The first answers of a new route are its fastest, so the baseline must move
	// on whatever the load.
	matureSamples = 100
	// learnStep is the weight of one answer in a baseline.
	learnStep = 0.03
	// strainedStep is used under load while the limit is down, when the load may
	// have caused the latency. At a larger step the baseline follows the slowdown
	// and the limit rises too early; at none a limit held by a lasting change of
	// the server's own speed would never rise.
	strainedStep = 0.001
	// coldStep is used while the server is cold. It lets a server that stays slow
	// leave the ramp in the end.
	coldStep = 0.01
	// outlierFactor bounds the effect of one answer, such as one that hung.
	outlierFactor = 4.0
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
	samples int
	// typicalMs is the mean, without the excess of outliers.
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
	sample := elapsedMs
	if r.learned() {
		sample = min(elapsedMs, outlierFactor*r.typicalMs)
	}
	if r.samples < matureSamples {
		r.samples++
		step = max(step, 1/float64(r.samples))
	}
	r.typicalMs += step * (sample - r.typicalMs)
	r.upperMs = max(follow(r.upperMs, elapsedMs, upperQuantile, step), r.typicalMs)
}

// strain returns a latency in multiples of the baseline.
func (r *route) strain(elapsedMs float64) float64 {
	if !r.learned() {
		return 1
	}
	return min(outlierFactor, elapsedMs/(r.typicalMs+jitterMs))
}

// follow moves an estimate of a quantile by one relative step towards a sample.
func follow(estimate, sample, quantile, step float64) float64 {
	if sample > estimate {
		return estimate * math.Exp(2*step*quantile)
	}
	return estimate * math.Exp(-2*step*(1-quantile))
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
