package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// lastSlotsSmoothing is the EWMA weight of one answer in latencyRatio.
	lastSlotsSmoothing = 0.2
	// lastSlotsMinSamples is the number of answers before the ratio is used.
	lastSlotsMinSamples = 4
	// maxLastSlotsRatio is the latency ratio from which using the last slots
	// reduces throughput. They are 15% of all slots, so with them 1/0.85 = 1.18
	// times as many requests are in flight, each of which may take 1.18 times as
	// long.
	maxLastSlotsRatio = 1.18
	// lastSlotsMinReference is the number of answers to requests dispatched to the
	// other slots before the last ones are used. Without these answers, the mean
	// latency of a server that is overloaded from its start would include the
	// slowdown by the last slots.
	lastSlotsMinReference = minBaselineSamples
	// lastSlotsRetryInterval is the time after which the last slots are tried
	// again on a server that was slower with them.
	lastSlotsRetryInterval = 20 * bulrushchute.Second
)

// lastSlotsMonitor measures whether a server is slower when its last slots,
// those above Controller.softSlots, are in use.
//
// It matters under overload: some servers have a higher throughput with all of
// their slots in use, while others slow down so much when nearly full that
// their throughput drops.
type lastSlotsMonitor struct {
	latencyRatio float64
	samples      int
	// reference is the number of answers to requests that were dispatched to the
	// other slots, up to lastSlotsMinReference.
	reference    int
	blockedUntil bulrushchute.Millis
}

// allowed reports whether the last slots may be used.
func (lm *lastSlotsMonitor) allowed(now bulrushchute.Millis) bool {
	return lm.reference >= lastSlotsMinReference && now >= lm.blockedUntil
}

// observeReference records an answer to a request that was dispatched to one of
// the other slots.
func (lm *lastSlotsMonitor) observeReference() {
	lm.reference = min(lm.reference+1, lastSlotsMinReference)
}

// observe records the latency ratio of a request that was dispatched to one of
// the last slots, as a multiple of the route's mean latency.
func (lm *lastSlotsMonitor) observe(now bulrushchute.Millis, ratio float64) {
	lm.samples++
	lm.latencyRatio += float64(max(lastSlotsSmoothing, 1/float64(lm.samples)) * (ratio - lm.latencyRatio))
	if lm.samples < lastSlotsMinSamples || lm.latencyRatio < maxLastSlotsRatio {
		return
	}
	*lm = lastSlotsMonitor{reference: lm.reference, blockedUntil: now + lastSlotsRetryInterval}
}
