package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

// healthSignal is what the end of one request says about the server's health.
type healthSignal struct {
	good bool
	// degradation is the request's contribution to the degradation score, 0 for
	// none.
	degradation float64
	// coldScore is the request's contribution to the cold score, which counts
	// only at low load.
	coldScore float64
}

const (
	// coldScoreThreshold is the cold score that restarts the cold ramp.
	coldScoreThreshold = degradationThreshold
	// Latencies outside these bounds are not plausible.
	minElapsedMs = 0.001
	maxElapsedMs = float64(bulrushchute.Hour)
	// probeFailureThreshold is the number of failed probes, without a good
	// answer or a successful probe between them, that count as a failure. A
	// single one may be a lost packet.
	probeFailureThreshold = 2
)

// maxTickDelay is the delay of a due Tick above which the node itself is
// assumed to have been paused. Answers may then have waited in the node and not
// at the server.
const maxTickDelay = 100 * bulrushchute.Millisecond

// recordResult updates baselines, limits and scores from the end of a request.
func (c *Controller) recordResult(rs *requestState, result Result) {
	if rs.nodePaused {
		return
	}
	elapsedMs := c.elapsedMs(rs, result)
	rs.lowLoad = rs.lowLoad && len(c.running) <= c.lowLoadThreshold()
	signal := c.assess(rs, result, elapsedMs)
	ratio := rs.baseline.latencyRatio(elapsedMs)
	// The latency during a slowdown is not that of the route.
	if result.Kind == bulrushchute.ResultAnswered && !result.Overloaded && rs.slowdownFactor <= slowdownThreshold {
		c.recordLatency(rs, elapsedMs)
	}
	if result.Kind == bulrushchute.ResultAnswered {
		c.recordLastSlots(rs, ratio)
	}
	if rs.epoch != c.epoch {
		return
	}
	c.adjustLimits(rs, signal)
	if result.Kind == bulrushchute.ResultAnswered {
		c.addLatencyRatio(ratio)
		c.recordColdReport(coldFromAnswer, result.Cold)
	}
}

// recordLastSlots records an answer for the comparison of the last slots with the
// others.
func (c *Controller) recordLastSlots(rs *requestState, ratio float64) {
	switch {
	case !rs.onLastSlots:
		c.lastSlots.observeReference()
	case rs.baseline.established():
		c.lastSlots.observe(c.now, ratio)
	}
}

// elapsedMs returns the reported latency, or the one measured by the
// controller's clock if the report is missing or implausible.
func (c *Controller) elapsedMs(rs *requestState, result Result) float64 {
	if result.ElapsedMs > 0 && result.ElapsedMs <= maxElapsedMs {
		return result.ElapsedMs
	}
	return max(minElapsedMs, min(maxElapsedMs, float64(c.now-rs.dispatchedAt)))
}

// assess classifies a result as good, slow or failed. A request that was already
// counted as overdue does not add to the degradation score again.
func (c *Controller) assess(rs *requestState, result Result, elapsedMs float64) healthSignal {
	if failed, weight := c.assessFailure(rs, result); failed {
		hs := healthSignal{degradation: weight, coldScore: weight}
		if rs.overdue {
			hs.degradation = 0
		}
		return hs
	}
	if !rs.baseline.isSlow(elapsedMs) {
		return healthSignal{good: result.Kind == bulrushchute.ResultAnswered}
	}
	hs := healthSignal{}
	if !rs.overdue {
		hs.degradation = 1
	}
	if rs.baseline.suggestsCold(elapsedMs) {
		hs.coldScore = 1
	}
	return hs
}

// assessFailure reports whether the server failed the request, and the weight of
// that failure, and updates the route's failure rate. On a route that usually
// fails, a failure says little about the server.
func (c *Controller) assessFailure(rs *requestState, result Result) (bool, float64) {
	if result.Overloaded || result.Kind == bulrushchute.ResultNotSent {
		return true, 1
	}
	switch result.Kind {
	case bulrushchute.ResultAnswered, bulrushchute.ResultServerError:
	case bulrushchute.ResultUnknown:
		// A caller's own short deadline is not the server's fault.
		if rs.cancelled || c.now >= rs.request.Deadline {
			return false, 0
		}
	default:
		return false, 0
	}
	failed := result.Kind != bulrushchute.ResultAnswered
	weight := 1 - rs.baseline.failureRate
	rs.baseline.updateFailureRate(failed)
	return failed, weight
}

// recordLatency updates the route's baseline and the mean latency over all
// routes.
func (c *Controller) recordLatency(rs *requestState, elapsedMs float64) {
	rs.baseline.observeLatency(elapsedMs, c.baselineStep(rs))
	c.serviceMs = ewma(c.serviceMs, elapsedMs, serviceTimeSmoothing)
}

// baselineStep returns the step with which the baseline follows a latency,
// depending on whether load may have caused it. A slow server whose limit has
// dropped to low load is measured anew, so the limit recovers from a lasting
// slowdown.
func (c *Controller) baselineStep(rs *requestState) float64 {
	switch {
	case c.ramp.warming:
		return coldBaselineStep
	case rs.lowLoad || c.adaptive.limit+1 > float64(c.slots()):
		return normalBaselineStep
	default:
		return loadedBaselineStep
	}
}

// adjustLimits raises or lowers the limits after a result.
func (c *Controller) adjustLimits(rs *requestState, hs healthSignal) {
	if hs.good {
		c.failedProbes = 0
		c.coldScore = max(0, c.coldScore-degradationRecovery)
		c.adaptive.recordGood(c.slots())
		c.ramp.recordGood(c.now, c.coldSlots(), c.slots(), c.settings.Limits.WarmMs)
		return
	}
	if rs.lowLoad {
		c.addColdScore(hs.coldScore)
	}
	c.addDegradation(hs.degradation)
}

// addDegradation adds to the score against the current limits. A cut starts a
// new epoch, so that requests already in flight do not cause a second one. A
// single slow answer is normal where latencies vary widely, and cuts nothing.
func (c *Controller) addDegradation(weight float64) {
	if weight <= 0 {
		return
	}
	if c.adaptive.recordBad(weight) {
		c.onLimitCut()
	}
}

// addLatencyRatio records an answer's latency as a multiple of the baseline.
func (c *Controller) addLatencyRatio(ratio float64) {
	if c.adaptive.recordLatencyRatio(ratio) {
		c.onLimitCut()
	}
}

func (c *Controller) onLimitCut() {
	c.ramp.cut(c.now, c.coldSlots())
	c.epoch++
	c.limitCut = true
}

// addColdScore adds to the score for a server that has become cold without
// reporting it.
func (c *Controller) addColdScore(weight float64) {
	if c.ramp.warming {
		return
	}
	c.coldScore += weight
	if c.coldScore+epsilon >= coldScoreThreshold {
		c.startColdRamp()
	}
}

func (c *Controller) startColdRamp() {
	c.ramp.start(c.now, c.coldSlots())
	c.coldScore = 0
	c.epoch++
	c.limitCut = true
}

// coldSource is a way in which the server itself reports being cold.
type coldSource uint8

const (
	coldFromAnnouncement coldSource = iota
	coldFromProbe
	coldFromAnswer
	coldSourceCount
)

// recordColdReport starts the ramp when a source changes to cold. A source that
// keeps reporting cold does not restart it, because a stuck report would never
// let the ramp end.
func (c *Controller) recordColdReport(source coldSource, cold bool) {
	changed := cold && !c.reportedCold[source]
	c.reportedCold[source] = cold
	if changed && !c.ramp.warming {
		c.startColdRamp()
	}
}

// markOverdue counts requests in flight whose answers are already slow, so that
// a sudden slowdown is detected before the first slow answer ends.
func (c *Controller) markOverdue() {
	if c.now < c.nextOverdue {
		return
	}
	nodePaused := c.now-c.nextOverdue > maxTickDelay
	c.nextOverdue = Never
	for _, rs := range c.running {
		rs.nodePaused = rs.nodePaused || nodePaused
		if !rs.overdue && rs.overdueAt <= c.now {
			c.countOverdue(rs)
		}
		if !rs.overdue {
			c.nextOverdue = min(c.nextOverdue, rs.overdueAt)
		}
	}
}

func (c *Controller) countOverdue(rs *requestState) {
	rs.overdue = true
	if rs.nodePaused {
		return
	}
	c.serviceMs = max(c.serviceMs, ewma(c.serviceMs, float64(c.now-rs.dispatchedAt), serviceTimeSmoothing))
	if rs.epoch == c.epoch {
		c.addDegradation(1)
	}
}

// ObserveProbe records the result of a probe. Probes can lag or mislead, so
// failures count only while no good answer contradicts them.
func (c *Controller) ObserveProbe(now bulrushchute.Millis, report ProbeReport) []Release {
	releases := c.beginEvent(now)
	if report.Failed {
		c.recordProbeFailure()
	} else {
		c.failedProbes = 0
		// Only load probes report whether the server is cold. If health probes
		// in between cleared the report, each load probe would restart the
		// ramp.
		if report.Kind == ProbeLoad {
			c.recordColdReport(coldFromProbe, report.Cold)
		}
	}
	return c.endEvent(releases)
}

func (c *Controller) recordProbeFailure() {
	c.failedProbes++
	if c.failedProbes < probeFailureThreshold {
		return
	}
	c.failedProbes = 0
	if len(c.running) <= c.lowLoadThreshold() {
		c.addColdScore(1)
	}
	c.addDegradation(1)
}
