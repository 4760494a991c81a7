package bulrushrouting

import (
	"math"

	"bulrushchute.example/bulrushchute"
)

const (
	// initialLatencyMs is the latency assumed for a service until its first
	// answer.
	initialLatencyMs = 1.0
	// minLatencyMs keeps the latency above zero. The score multiplies the latency
	// by the load, which would otherwise have no effect.
	minLatencyMs = 0.05

	// defaultSlots is the concurrency limit assumed for an instance that
	// announces no slots, until its first load report.
	defaultSlots = 10.0

	// EWMA weights of one sample in an instance's latency, and in the service's
	// average latency and load.
	latencySmoothing = 0.3
	averageSmoothing = 0.02

	// The latency estimate rises by the time without an answer, summed over the
	// outstanding attempts and divided by silenceDivisor: as much as that sum
	// would raise the mean of silenceDivisor samples. A higher value detects a
	// slowdown later; with a lower one, ordinary waiting hides the differences
	// between instances.
	silenceDivisor = 2.0

	// Time constants of the exponential decay: the latency and the load of an
	// instance decay towards the service's average, its failure rate towards 0.
	latencyDecayMs = 1000.0
	loadDecayMs    = 100.0
	failureDecayMs = 10_000.0

	// maxOtherEntryNodes bounds the estimated number of other entry nodes. With
	// more, a single attempt makes an idle server look full.
	maxOtherEntryNodes = 10.0
	// scoreJitter is the maximum relative increase of a score by a random factor.
	// Without it, entry nodes with equal reports choose the same server at the
	// same time.
	scoreJitter = 0.3

	// failureSmoothing is the EWMA weight of one result in the failure rate.
	// failurePenalty is the relative increase of the score at a failure rate of
	// 1, so that a server that fails occasionally receives less work without
	// being ejected.
	failureSmoothing = 0.1
	failurePenalty   = 30.0

	// After a refusal, an instance is avoided for initialBackoff, which doubles
	// with each consecutive refusal up to maxBackoff. An instance that refuses
	// everything reports no load and would otherwise score best.
	initialBackoff = 20 * bulrushchute.Millisecond
	maxBackoff     = bulrushchute.Second
)

// serviceAverages holds moving averages over all instances of the service.
type serviceAverages struct {
	latencyMs float64
	// otherLoad is the mean number of requests of other entry nodes in the load
	// reports.
	otherLoad float64
	// outstandingAtReport is the mean number of this node's outstanding attempts
	// at an instance when a load report arrives from there.
	outstandingAtReport float64
	// sampled is set once latencyMs includes an answer.
	sampled bool
}

// otherEntryNodes estimates how many other entry nodes send requests to the
// service, in multiples of this node's load. They hold similar reports and are
// likely to pick the same instance at the same time, so each attempt that this
// node has sent since the last report also counts for one attempt of each of
// them.
func (a serviceAverages) otherEntryNodes() float64 {
	return min(a.otherLoad/max(a.outstandingAtReport, 0.1), maxOtherEntryNodes)
}

// candidate holds the state of one instance.
type candidate struct {
	instance bulrushchute.Instance
	// inPool is false for an instance that is kept only until its outstanding
	// attempts end.
	inPool bool
	// leaving is taken from the last load report. A new incarnation resets it.
	leaving     bool
	outstanding outstandingAttempts
	ejection    ejection

	// latencyMs is the moving average of the response time less the estimated
	// round-trip time, 0 until the first sample.
	latencyMs float64
	// otherLoad is the number of requests of other entry nodes in the last load
	// report.
	otherLoad float64
	// outstandingAtReport is the number of this node's outstanding attempts when
	// it received the last load report.
	outstandingAtReport int
	// limit is the reported concurrency limit. Until the first report it is the
	// number of slots, or 1 for a cold instance.
	limit float64
	// sampledAt is the time of the last latency sample, if sampled is set.
	sampledAt bulrushchute.Millis
	sampled   bool

	// failureRate is the failure rate without its decay since lastFailureAt.
	failureRate   float64
	lastFailureAt bulrushchute.Millis
	// refusals is the number of consecutive refusals.
	refusals     int
	backoffUntil bulrushchute.Millis
}

func newCandidate(instance bulrushchute.Instance) *candidate {
	c := &candidate{instance: instance, limit: float64(instance.Slots)}
	if instance.Slots <= 0 {
		c.limit = defaultSlots
	}
	if instance.State == bulrushchute.StateCold {
		c.limit = 1
	}
	return c
}

// scoreMs returns the expected response time of one more attempt, raised by the
// penalty for recent failures.
func (c *candidate) scoreMs(now bulrushchute.Millis, averages serviceAverages, rttMs float64) float64 {
	latencyMs, otherLoad := averages.latencyMs, averages.otherLoad
	if c.sampled {
		ageMs := float64(max(now-c.sampledAt, 0))
		latencyMs += float64((c.latencyMs - latencyMs) * math.Exp(-ageMs/latencyDecayMs))
		otherLoad += float64((c.otherLoad - otherLoad) * math.Exp(-ageMs/loadDecayMs))
	}
	// An attempt that has been outstanding for longer than the estimate reveals
	// a slow instance before an answer does.
	latencyMs = max(latencyMs, c.outstanding.oldestAgeMs(now)-rttMs, minLatencyMs)
	latencyMs += float64(float64(c.outstanding.count()) * c.silenceMs(now) / silenceDivisor)
	outstanding := float64(c.outstanding.count())
	sentSinceReport := max(outstanding-float64(c.outstandingAtReport), 0)
	utilization := (otherLoad + outstanding + float64(sentSinceReport*averages.otherEntryNodes())) / c.limit
	return float64(latencyMs*(1+utilization)*(1+float64(failurePenalty*c.decayedFailureRate(now)))) + rttMs
}

// silenceMs returns how long the instance has left this node without an answer:
// the time since the last latency sample or since the start of the oldest
// outstanding attempt, whichever is shorter.
func (c *candidate) silenceMs(now bulrushchute.Millis) float64 {
	return min(c.outstanding.oldestAgeMs(now), float64(max(now-c.sampledAt, 0)))
}

// decayedFailureRate returns the failure rate at the given time. It decays
// because an instance that receives no work cannot show that it has recovered.
func (c *candidate) decayedFailureRate(now bulrushchute.Millis) float64 {
	if c.failureRate == 0 {
		return 0
	}
	return c.failureRate * math.Exp(-float64(max(now-c.lastFailureAt, 0))/failureDecayMs)
}

func (c *candidate) observeFailure(now bulrushchute.Millis) {
	rate := c.decayedFailureRate(now)
	c.failureRate = rate + float64(failureSmoothing*(1-rate))
	c.lastFailureAt = now
}

// observeRefusal starts the backoff after a refusal. During a slowdown, the
// instance itself knows better how long it will refuse.
func (c *candidate) observeRefusal(now, slowFor bulrushchute.Millis) {
	if slowFor > 0 {
		c.backoffUntil = now + min(slowFor, maxBackoff)
		return
	}
	c.backoffUntil = now + min(initialBackoff<<min(c.refusals, 10), maxBackoff)
	c.refusals++
}

// observeSuccess resets the counts of consecutive refusals and failures and
// lowers the failure rate.
func (c *candidate) observeSuccess(now bulrushchute.Millis) {
	c.ejection.recordSuccess(now)
	c.refusals = 0
	c.failureRate *= 1 - failureSmoothing
}

// observeLatency adds a latency sample, which must exclude the round-trip time.
func (c *candidate) observeLatency(now bulrushchute.Millis, sampleMs float64) {
	if !c.sampled {
		c.latencyMs = sampleMs
	}
	c.latencyMs += float64(latencySmoothing * (sampleMs - c.latencyMs))
	c.sampled = true
	c.sampledAt = now
}

// observeLoad records a load report. This node counts its own outstanding
// attempts exactly, so only the load of other entry nodes is taken from the
// report.
func (c *candidate) observeLoad(now bulrushchute.Millis, load bulrushchute.Load) {
	if load.FreeAfter > 0 {
		c.backoffUntil = max(c.backoffUntil, now+min(load.FreeAfter, maxBackoff))
	}
	c.leaving = load.Leaving
	c.limit = float64(max(load.Limit, 1))
	c.outstandingAtReport = c.outstanding.count()
	c.otherLoad = float64(max(load.InFlight+load.Queued-c.outstanding.count(), 0))
}
