package bulrushrouting

import (
	"math"

	"bulrushchute.example/bulrushchute"
)

const (
	// startLatencyMs is assumed for a service without answers.
	startLatencyMs = 1.0
	// smallestLatencyMs keeps a score above zero, so that load always counts.
	smallestLatencyMs = 0.05

	// unknownSlots is assumed for an instance that announces none, until its first report.
	unknownSlots = 10.0

	// A sample moves the estimate of its instance by latencyStep and that of
	// the service by serviceStep.
	latencyStep = 0.3
	serviceStep = 0.02

	// Silence while attempts are unanswered raises the estimate as it would raise
	// the mean of this many answers. With a higher number a slowdown shows later,
	// with a lower one ordinary waiting hides the differences between instances.
	priorAnswers = 2.0

	// What is known of an instance fades towards the service's average in
	// these spans (e-folding).
	latencyFadeMs = 1000.0
	loadFadeMs    = 100.0
	errorFadeMs   = 10_000.0

	// mostFollowers bounds how many other entry nodes an attempt stands for. Beyond
	// it, one attempt is enough to make an idle server look full.
	mostFollowers = 10.0
	// Scores are drawn up to this share too high. Entry nodes with equal reports
	// would otherwise choose the same server at the same moment.
	scoreJitter = 0.3

	// A failure moves the share of failures by errorStep. Its cost is that of
	// errorCost more attempts, so that a server that fails now and then gets
	// less work without being ejected.
	errorStep = 0.1
	errorCost = 30.0

	// A refusal keeps the instance out of the choice for this span, doubled for
	// each further one in a row. An instance that refuses everything reports no
	// load and would otherwise look like the best.
	firstPause   = 20 * bulrushchute.Millisecond
	longestPause = bulrushchute.Second
)

// average is what is known of the service as a whole.
type average struct {
	latencyMs float64
	// others is the mean number of requests from other entry nodes.
	others float64
	// own is the mean number of own attempts at the same moments.
	own   float64
	known bool
}

// followers estimates how many other entry nodes use the service as this one
// does. They hold similar reports and are likely to follow them at the same
// time, so each attempt sent since the last report stands for theirs too.
func (a average) followers() float64 {
	return min(a.others/max(a.own, 0.1), mostFollowers)
}

// candidate is what the node knows of one instance.
type candidate struct {
	instance bulrushchute.Instance
	member   bool
	leaving  bool
	own      outstanding
	ejection ejection

	latencyMs float64
	// others is the reported number of requests from other entry nodes.
	others float64
	// ownThen is the number of own attempts at the last report.
	ownThen int
	limit   float64
	heardAt bulrushchute.Millis
	heard   bool

	errorShare float64
	errorAt    bulrushchute.Millis
	refusals   int
	pauseUntil bulrushchute.Millis
}

func newCandidate(instance bulrushchute.Instance) *candidate {
	c := &candidate{instance: instance, limit: float64(instance.Slots)}
	if instance.Slots <= 0 {
		c.limit = unknownSlots
	}
	if instance.State == bulrushchute.StateCold {
		c.limit = 1
	}
	return c
}

// scoreMs is the time in which the instance is expected to answer one more attempt.
func (c *candidate) scoreMs(now bulrushchute.Millis, average average, distanceMs float64) float64 {
	latencyMs, others := average.latencyMs, average.others
	if c.heard {
		ageMs := float64(max(now-c.heardAt, 0))
		latencyMs += (c.latencyMs - latencyMs) * math.Exp(-ageMs/latencyFadeMs)
		others += (c.others - others) * math.Exp(-ageMs/loadFadeMs)
	}
	// An attempt that is already older than the estimate shows that the
	// instance has become slow before any answer does.
	latencyMs = max(latencyMs, c.own.oldestAge(now)-distanceMs, smallestLatencyMs)
	latencyMs += float64(c.own.count()) * c.silenceMs(now) / priorAnswers
	own := float64(c.own.count())
	since := max(own-float64(c.ownThen), 0)
	busy := (others + own + since*average.followers()) / c.limit
	return latencyMs*(1+busy)*(1+errorCost*c.errors(now)) + distanceMs
}

// silenceMs is how long the own attempts have been unanswered since the last answer.
func (c *candidate) silenceMs(now bulrushchute.Millis) float64 {
	return min(c.own.oldestAge(now), float64(max(now-c.heardAt, 0)))
}

// errors returns the recent share of failures, which fades with time because
// an instance that gets no work cannot show that it is better.
func (c *candidate) errors(now bulrushchute.Millis) float64 {
	if c.errorShare == 0 {
		return 0
	}
	return c.errorShare * math.Exp(-float64(max(now-c.errorAt, 0))/errorFadeMs)
}

func (c *candidate) observeError(now bulrushchute.Millis) {
	share := c.errors(now)
	c.errorShare = share + errorStep*(1-share)
	c.errorAt = now
}

func (c *candidate) observeRefusal(now bulrushchute.Millis) {
	c.pauseUntil = now + min(firstPause<<min(c.refusals, 10), longestPause)
	c.refusals++
}

// observeGood ends what refusals and failures in a row have built up.
func (c *candidate) observeGood(now bulrushchute.Millis) {
	c.ejection.good(now)
	c.refusals = 0
	c.errorShare *= 1 - errorStep
}

// observeLatency takes in how long the instance needed for an attempt.
func (c *candidate) observeLatency(now bulrushchute.Millis, ms float64) {
	if !c.heard {
		c.latencyMs = ms
	}
	c.latencyMs += latencyStep * (ms - c.latencyMs)
	c.heard = true
	c.heardAt = now
}

// observeLoad takes in a report. The node's own attempts are known exactly, so
// only those of others are kept.
func (c *candidate) observeLoad(load bulrushchute.Load) {
	c.leaving = load.Leaving
	c.limit = float64(max(load.Limit, 1))
	c.ownThen = c.own.count()
	c.others = float64(max(load.InFlight+load.Queued-c.own.count(), 0))
}
