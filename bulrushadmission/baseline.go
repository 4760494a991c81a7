package bulrushadmission

import (
	"math"

	"bulrushchute.example/bulrushchute"
)

const (
	// maxRoutes limits the memory for baselines. The least recently used route
	// is evicted first.
	maxRoutes = 64
	// minBaselineSamples is the number of answers before a route's baseline is
	// used.
	minBaselineSamples = 16
	// plainMeanSamples is the number of answers over which a new baseline is a
	// plain mean. The first answers on a new route are its fastest, so the
	// baseline must follow the later ones whatever the load.
	plainMeanSamples = 100
	// normalBaselineStep is the EWMA weight of one answer in a baseline. The
	// other two steps replace it where the load or a cold start may have caused
	// the latency.
	normalBaselineStep = 0.03
	// loadedBaselineStep is used under load while the limit is reduced, when
	// the load may have caused the latency. With a larger step, the baseline
	// follows the slowdown and the limit rises too early. With a step of 0, a
	// limit held down by a lasting change of the server's own speed would never
	// rise.
	loadedBaselineStep = 0.001
	// coldBaselineStep is used while the server is cold. It lets a server that
	// stays slow leave the ramp eventually.
	coldBaselineStep = 0.01
	// outlierFactor is the multiple of the mean to which a latency is clamped.
	// It limits the effect of one answer, such as one that hung.
	outlierFactor = 4.0
	// upperQuantile is the quantile that routeBaseline.upperQuantileMs
	// estimates.
	upperQuantile = 0.9
	// An answer is slow if it exceeds both of these multiples, of the mean and of
	// the upper quantile. The quantile keeps routes with widely varying latencies
	// from being classified as slow.
	slowMeanFactor     = 2.0
	slowQuantileFactor = 1.5
	// coldSlowFactor is the multiple of the slow threshold that a cold server
	// exceeds.
	coldSlowFactor = 1.5
	// jitterMs is added to every threshold, since scheduling alone delays fast
	// answers.
	jitterMs = 1.0
	// failureSmoothing is the EWMA weight of one answer in a route's failure
	// rate.
	failureSmoothing = 0.05
)

// routeBaseline estimates the latencies and the failure rate that are usual for
// a route while the server is healthy.
type routeBaseline struct {
	samples int
	// meanMs is the mean latency, with outliers clamped.
	meanMs          float64
	upperQuantileMs float64
	failureRate     float64
	lastUsedAt      bulrushchute.Millis
}

// established reports whether the baseline has enough samples to be used.
func (rb *routeBaseline) established() bool {
	return rb.samples >= minBaselineSamples
}

// slowThresholdMs returns the latency above which an answer is slow.
func (rb *routeBaseline) slowThresholdMs() float64 {
	return max(slowMeanFactor*rb.meanMs, slowQuantileFactor*rb.upperQuantileMs) + jitterMs
}

func (rb *routeBaseline) isSlow(elapsedMs float64) bool {
	return rb.established() && elapsedMs > rb.slowThresholdMs()
}

// suggestsCold reports whether a latency is so high that the server may be
// cold.
func (rb *routeBaseline) suggestsCold(elapsedMs float64) bool {
	return rb.established() && elapsedMs > coldSlowFactor*rb.slowThresholdMs()
}

// observeLatency moves the baseline towards a latency. The step is larger while
// the baseline is still a plain mean.
func (rb *routeBaseline) observeLatency(elapsedMs, step float64) {
	if rb.samples == 0 {
		rb.meanMs = elapsedMs
		rb.upperQuantileMs = elapsedMs
	}
	sample := elapsedMs
	if rb.established() {
		sample = min(elapsedMs, outlierFactor*rb.meanMs)
	}
	if rb.samples < plainMeanSamples {
		rb.samples++
		step = max(step, 1/float64(rb.samples))
	}
	rb.meanMs += float64(step * (sample - rb.meanMs))
	rb.upperQuantileMs = max(updateQuantile(rb.upperQuantileMs, elapsedMs, upperQuantile, step), rb.meanMs)
}

// latencyRatio returns a latency as a multiple of the baseline mean, at most
// outlierFactor, or 1 if the baseline is not established.
func (rb *routeBaseline) latencyRatio(elapsedMs float64) float64 {
	if !rb.established() {
		return 1
	}
	return min(outlierFactor, elapsedMs/(rb.meanMs+jitterMs))
}

// updateQuantile moves a quantile estimate by one relative step towards a
// sample.
func updateQuantile(estimate, sample, quantile, step float64) float64 {
	if sample > estimate {
		return estimate * math.Exp(2*step*quantile)
	}
	return estimate * math.Exp(-2*step*(1-quantile))
}

// updateFailureRate moves the failure rate towards the outcome of one request.
func (rb *routeBaseline) updateFailureRate(failed bool) {
	target := 0.0
	if failed {
		target = 1
	}
	rb.failureRate += float64(failureSmoothing * (target - rb.failureRate))
}

// baselineTable holds the baselines of a bounded number of routes.
type baselineTable struct {
	routes map[string]*routeBaseline
}

func newBaselineTable() baselineTable {
	return baselineTable{routes: make(map[string]*routeBaseline, maxRoutes)}
}

// get returns the route's baseline, which it creates if needed.
func (bt *baselineTable) get(now bulrushchute.Millis, route string) *routeBaseline {
	if known, ok := bt.routes[route]; ok {
		known.lastUsedAt = now
		return known
	}
	if len(bt.routes) >= maxRoutes {
		bt.evict()
	}
	created := &routeBaseline{lastUsedAt: now}
	bt.routes[route] = created
	return created
}

// evict removes the least recently used route. Ties are broken by name, so that
// the result does not depend on the map's iteration order.
func (bt *baselineTable) evict() {
	var leastRecent string
	found := false
	for name, candidate := range bt.routes {
		if !found || candidate.usedBefore(bt.routes[leastRecent]) ||
			(candidate.lastUsedAt == bt.routes[leastRecent].lastUsedAt && name < leastRecent) {
			leastRecent, found = name, true
		}
	}
	delete(bt.routes, leastRecent)
}

func (rb *routeBaseline) usedBefore(other *routeBaseline) bool {
	return rb.lastUsedAt < other.lastUsedAt
}
