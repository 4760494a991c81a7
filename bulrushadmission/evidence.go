package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

// finding is what one ended request says about the server's health.
type finding struct {
	good bool
	// weight is the evidence of trouble, 0 for none.
	weight float64
	// cold is the evidence at low load that the server is cold.
	cold float64
}

const (
	// evidenceOfCold is the evidence that starts the cold ramp again.
	evidenceOfCold = evidenceToCut
	// Latencies outside these bounds are not plausible.
	minElapsedMs = 0.001
	maxElapsedMs = float64(bulrushchute.Hour)
	// probesToFail is the number of failed probes without a good answer between
	// them that count as a failure. One alone may be a lost packet.
	probesToFail = 2
)

// maxTickDelay is the delay of a due Tick from which on the node itself is taken
// to have been paused. Answers may then have waited here and not at the server.
const maxTickDelay = 100 * bulrushchute.Millisecond

// learn draws the conclusions from the end of a request.
func (c *Controller) learn(t *ticket, result Result) {
	if t.paused {
		return
	}
	elapsedMs := c.elapsedMs(t, result)
	t.lowLoad = t.lowLoad && len(c.running) <= c.lowLoad()
	f := c.judge(t, result, elapsedMs)
	strain := t.route.strain(elapsedMs)
	if result.Kind == bulrushchute.ResultAnswered && !result.Overloaded {
		c.learnLatency(t, elapsedMs)
	}
	if t.lastSlots && result.Kind == bulrushchute.ResultAnswered && t.route.learned() {
		c.full.observe(c.now, strain)
	}
	if t.epoch != c.epoch {
		return
	}
	c.apply(t, f)
	if result.Kind == bulrushchute.ResultAnswered {
		c.noteStrain(strain)
		c.reportCold(fromAnswer, result.Cold)
	}
}

// elapsedMs returns the reported latency, or the one by the controller's own
// time when the report is missing or not a usable number.
func (c *Controller) elapsedMs(t *ticket, result Result) float64 {
	if result.ElapsedMs > 0 && result.ElapsedMs <= maxElapsedMs {
		return result.ElapsedMs
	}
	return max(minElapsedMs, min(maxElapsedMs, float64(c.now-t.dispatchedAt)))
}

// judge tells good from slow and failed results. A request that was already
// counted as overdue is not counted again.
func (c *Controller) judge(t *ticket, result Result, elapsedMs float64) finding {
	if failed, weight := c.failure(t, result); failed {
		f := finding{weight: weight, cold: weight}
		if t.overdue {
			f.weight = 0
		}
		return f
	}
	if !t.route.slow(elapsedMs) {
		return finding{good: result.Kind == bulrushchute.ResultAnswered}
	}
	f := finding{}
	if !t.overdue {
		f.weight = 1
	}
	if t.route.far(elapsedMs) {
		f.cold = 1
	}
	return f
}

// failure reports whether the server failed the request, and with which
// weight. A route that usually fails says little about the server.
func (c *Controller) failure(t *ticket, result Result) (bool, float64) {
	if result.Overloaded || result.Kind == bulrushchute.ResultNotSent {
		return true, 1
	}
	switch result.Kind {
	case bulrushchute.ResultAnswered, bulrushchute.ResultServerError:
	case bulrushchute.ResultUnknown:
		// A caller's own short deadline is no fault of the server.
		if t.cancelled || c.now >= t.request.Deadline {
			return false, 0
		}
	default:
		return false, 0
	}
	failed := result.Kind != bulrushchute.ResultAnswered
	weight := 1 - t.route.failureRate
	t.route.observeFailure(failed)
	return failed, weight
}

// learnLatency updates the route's baseline and the reported service time.
func (c *Controller) learnLatency(t *ticket, elapsedMs float64) {
	t.route.observe(elapsedMs, c.learnStep(t))
	c.serviceMs = average(c.serviceMs, elapsedMs, serviceStep)
}

// learnStep lets the baseline follow latencies only as far as the load cannot
// have caused them. A slow server whose limit is down to low load is measured
// anew, so the limit recovers from a slowdown that lasts.
func (c *Controller) learnStep(t *ticket) float64 {
	switch {
	case c.ramp.warming:
		return coldStep
	case t.lowLoad || c.adaptive.limit+1 > float64(c.slots()):
		return learnStep
	default:
		return strainedStep
	}
}

// apply moves the limits.
func (c *Controller) apply(t *ticket, f finding) {
	if f.good {
		c.failedProbes = 0
		c.coldEvidence = max(0, c.coldEvidence-evidenceRelief)
		c.adaptive.good(c.slots())
		c.ramp.good(c.now, c.coldSlots(), c.slots(), c.settings.Limits.WarmMs)
		return
	}
	if t.lowLoad {
		c.noteCold(f.cold)
	}
	c.noteTrouble(f.weight)
}

// noteTrouble adds evidence against the present limits. A cut starts a new
// epoch, so that requests already in flight do not cause a second one. A single
// slow answer is ordinary where latencies spread widely and cuts nothing.
func (c *Controller) noteTrouble(weight float64) {
	if weight <= 0 {
		return
	}
	if c.adaptive.bad(weight) {
		c.noteCut()
	}
}

// noteStrain takes note of the latency of an answer.
func (c *Controller) noteStrain(strain float64) {
	if c.adaptive.observe(strain) {
		c.noteCut()
	}
}

func (c *Controller) noteCut() {
	c.ramp.bad(c.now, c.coldSlots())
	c.epoch++
	c.limitCut = true
}

// noteCold adds evidence that the server has become cold without saying so.
func (c *Controller) noteCold(weight float64) {
	if c.ramp.warming {
		return
	}
	c.coldEvidence += weight
	if c.coldEvidence+rounding >= evidenceOfCold {
		c.enterRamp()
	}
}

// enterRamp starts the cold ramp.
func (c *Controller) enterRamp() {
	c.ramp.enter(c.now, c.coldSlots())
	c.coldEvidence = 0
	c.epoch++
	c.limitCut = true
}

// coldSource is a place from which the server's own report of being cold comes.
type coldSource uint8

const (
	fromAnnouncement coldSource = iota
	fromProbe
	fromAnswer
	coldSources
)

// reportCold starts the ramp when a source changes to cold. A source that keeps
// saying so does not, because a stuck report would never let the ramp end.
func (c *Controller) reportCold(source coldSource, cold bool) {
	changed := cold && !c.reportedCold[source]
	c.reportedCold[source] = cold
	if changed && !c.ramp.warming {
		c.enterRamp()
	}
}

// noteOverdue counts requests in flight whose answers are already slow, so
// that a sudden slowdown shows before the first slow answer ends.
func (c *Controller) noteOverdue() {
	if c.now < c.nextOverdue {
		return
	}
	paused := c.now-c.nextOverdue > maxTickDelay
	c.nextOverdue = Never
	for _, t := range c.running {
		t.paused = t.paused || paused
		if !t.overdue && t.overdueAt <= c.now {
			c.countOverdue(t)
		}
		if !t.overdue {
			c.nextOverdue = min(c.nextOverdue, t.overdueAt)
		}
	}
}

func (c *Controller) countOverdue(t *ticket) {
	t.overdue = true
	if t.paused {
		return
	}
	c.serviceMs = max(c.serviceMs, average(c.serviceMs, float64(c.now-t.dispatchedAt), serviceStep))
	if t.epoch == c.epoch {
		c.noteTrouble(1)
	}
}

// ObserveProbe takes note of the result of a probe. Probes can lag or mislead,
// so a failed one counts only while no good answer contradicts it.
func (c *Controller) ObserveProbe(now bulrushchute.Millis, report ProbeReport) []Release {
	releases := c.begin(now)
	if report.Failed {
		c.noteFailedProbe()
	} else {
		c.failedProbes = 0
		// Only the load endpoint reports coldness. Health probes in between
		// would end it and each load probe begin the ramp again.
		if report.Kind == ProbeLoad {
			c.reportCold(fromProbe, report.Cold)
		}
	}
	return c.finish(releases)
}

func (c *Controller) noteFailedProbe() {
	c.failedProbes++
	if c.failedProbes < probesToFail {
		return
	}
	c.failedProbes = 0
	if len(c.running) <= c.lowLoad() {
		c.noteCold(1)
	}
	c.noteTrouble(1)
}
