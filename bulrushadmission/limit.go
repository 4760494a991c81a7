package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// degradationThreshold is the degradation score, in slow or failed answers,
	// that cuts the limit. Three in a row reach it, also if they are failures:
	// each failure raises its route's failure rate and so lowers the weight of
	// the next one, but three of them weigh 2.85.
	degradationThreshold = 2.8
	// degradationRecovery is what one good answer takes off the score. At half
	// an answer, occasional slow answers do not accumulate.
	degradationRecovery = 0.5
	// degradationCutFactor is the part of the limit that remains after a cut by
	// the degradation score.
	degradationCutFactor = 0.5
	// latencyRatioSmoothing is the EWMA weight of one answer in the latency
	// ratio.
	latencyRatioSmoothing = 0.1
	// A latency ratio above latencyRatioToCut multiplies the limit by
	// latencyCutFactor, and one above latencyRatioToHold keeps it from rising.
	// If latencies vary as widely as an exponential distribution, chance alone
	// gives the ratio a standard deviation of 0.23.
	latencyRatioToCut  = 1.8
	latencyRatioToHold = 1.3
	latencyCutFactor   = 0.7
	// minLimit keeps one request in flight. Without it, no answer could show
	// that the server has recovered.
	minLimit = 1.0
	// epsilon absorbs rounding errors in sums of fractions.
	epsilon = 1e-9
)

// adaptiveLimit is a concurrency limit, at most the number of slots, that
// follows the server's health.
type adaptiveLimit struct {
	limit float64
	// degradation is a score that detects failures, or a sudden and large
	// slowdown, within a few answers.
	degradation float64
	// latencyRatio is the recent latency as a multiple of the baseline. It
	// detects smaller slowdowns after some more answers.
	latencyRatio float64
}

func newAdaptiveLimit(slots int) adaptiveLimit {
	return adaptiveLimit{limit: float64(slots), latencyRatio: 1}
}

// recordGood records a good answer. The limit grows by about one slot for every
// limit's worth of good answers.
func (al *adaptiveLimit) recordGood(slots int) {
	al.degradation = max(0, al.degradation-degradationRecovery)
	if al.latencyRatio < latencyRatioToHold {
		al.limit = min(al.limit+1/al.limit, float64(slots))
	}
}

// recordLatencyRatio records an answer's latency as a multiple of the baseline
// and reports whether the limit was cut.
func (al *adaptiveLimit) recordLatencyRatio(ratio float64) bool {
	al.latencyRatio += float64(latencyRatioSmoothing * (ratio - al.latencyRatio))
	if al.latencyRatio < latencyRatioToCut {
		return false
	}
	al.cut(latencyCutFactor)
	return true
}

// recordBad records a slow or failed answer and reports whether the limit was
// cut.
func (al *adaptiveLimit) recordBad(weight float64) bool {
	al.degradation += weight
	if al.degradation+epsilon < degradationThreshold {
		return false
	}
	al.cut(degradationCutFactor)
	return true
}

// cut lowers the limit and resets the measurements that caused the cut, so that
// only answers under the new limit can lower it further. The latency ratio
// starts again at latencyRatioToHold, so the limit does not rise until an answer
// has lowered the ratio.
func (al *adaptiveLimit) cut(factor float64) {
	al.degradation = 0
	al.latencyRatio = latencyRatioToHold
	al.limit = max(minLimit, al.limit*factor)
}

// coldRamp limits the requests in flight to a cold server. Each good answer
// raises the limit in proportion to the time since the previous good answer, by
// at most one slot. The ramp therefore takes at least warm_ms and does not
// advance without good answers.
type coldRamp struct {
	warming   bool
	limit     float64
	updatedAt bulrushchute.Millis
}

func (cr *coldRamp) start(now bulrushchute.Millis, coldSlots int) {
	cr.warming = true
	cr.limit = float64(coldSlots)
	cr.updatedAt = now
}

func (cr *coldRamp) recordGood(now bulrushchute.Millis, coldSlots, slots int, warmTime bulrushchute.Millis) {
	if !cr.warming {
		return
	}
	slotsPerMs := float64(slots-coldSlots) / float64(warmTime)
	growth := slotsPerMs * float64(now-cr.updatedAt)
	cr.limit += max(0, min(1, growth))
	cr.updatedAt = now
	if cr.limit+epsilon >= float64(slots) {
		cr.warming = false
	}
}

// cut halves the limit, but keeps it at coldSlots or above.
func (cr *coldRamp) cut(now bulrushchute.Millis, coldSlots int) {
	if cr.warming {
		cr.limit = max(float64(coldSlots), cr.limit/2)
		cr.updatedAt = now
	}
}

// limit returns the number of requests that may be in flight now.
func (c *Controller) limit() int {
	limit := min(c.slots(), c.requestConnections())
	if c.slowdown.reported {
		// The server reports directly what the adaptive limit and the ramp
		// would have to infer.
		if c.namedLimit.unheard {
			return min(limit, maxUnanswered)
		}
		if c.lastSlots.allowed(c.now) {
			return limit
		}
		return max(1, min(limit, c.softSlots()))
	}
	limit = min(limit, int(c.adaptive.limit+epsilon))
	if c.ramp.warming {
		limit = min(limit, int(c.ramp.limit+epsilon))
	}
	return max(1, limit)
}

// softSlots returns the number of slots used while the server reports its load.
// The slots above it, the last slots, are used only if lastSlotsMonitor allows it.
func (c *Controller) softSlots() int {
	return int(softSlotShare * float64(c.slots()))
}

// isCold reports whether the server is assumed to be cold.
func (c *Controller) isCold() bool {
	if c.coldRate.perS > 0 {
		return c.coldRate.active(c.now)
	}
	return c.ramp.warming
}

// slots returns the smaller of the catalogue's and the announced number of
// slots.
func (c *Controller) slots() int {
	return effectiveLimit(c.settings.Limits.Slots, c.announced.Slots)
}

// coldSlots returns the limit at the start of the ramp. It never exceeds the
// slots, even if the server announces fewer than the catalogue's cold_slots.
func (c *Controller) coldSlots() int {
	return min(c.settings.Limits.ColdSlots, c.slots())
}

// ConnectionLimit returns the maximum number of open connections to the backend
// server, for requests and probes together.
func (c *Controller) ConnectionLimit() int {
	return effectiveLimit(c.settings.Limits.Connections, c.announced.Connections)
}

// requestConnections returns the number of connections available to requests.
// One is reserved for probes, so that a server can be measured while requests
// use all others.
func (c *Controller) requestConnections() int {
	return max(1, c.ConnectionLimit()-1)
}

func effectiveLimit(configured, announced int) int {
	if announced > 0 {
		return min(configured, announced)
	}
	return configured
}

// lowLoadThreshold returns the number of requests in flight up to which latency
// and failures are attributed to the server itself and not to the load.
func (c *Controller) lowLoadThreshold() int {
	return max(1, c.slots()/lowLoadDivisor)
}

// lowLoadDivisor divides the slots to give lowLoadThreshold.
const lowLoadDivisor = 4
