package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// defaultRetryAfter is used before any answer has been timed.
	defaultRetryAfter = 100 * bulrushchute.Millisecond
	// maxRetryAfter limits the effect of a stalled server on callers.
	maxRetryAfter = 5 * bulrushchute.Second
	// unavailableRetryAfter is used for conditions that waiting does not
	// resolve soon, such as a server that is leaving.
	unavailableRetryAfter = bulrushchute.Second
	// slotTimeSmoothing is the EWMA weight of one interval between ended
	// requests.
	slotTimeSmoothing = 0.1
	// stallFactor is the multiple of the typical interval after which the time
	// since the last ended request is used instead.
	stallFactor = 3
	// serviceTimeSmoothing is the EWMA weight of one answer in
	// Controller.serviceMs.
	serviceTimeSmoothing = 0.2
)

// slotTimeMeter measures how fast slots become free while requests wait for
// them. It measures slot-milliseconds per ended request, which stays valid when
// the limit changes.
type slotTimeMeter struct {
	slotMsPerRequest float64
	lastEndAt        bulrushchute.Millis
	// busy is set while all permitted slots are in use. Only then does the time
	// between ends show the rate at which a queue drains.
	busy bool
}

// recordEnd records that one of inFlight requests ended.
func (sm *slotTimeMeter) recordEnd(now bulrushchute.Millis, inFlight int) {
	if sm.busy {
		sample := float64(float64(now-sm.lastEndAt) * float64(inFlight))
		sm.slotMsPerRequest = ewma(sm.slotMsPerRequest, sample, slotTimeSmoothing)
	}
	sm.lastEndAt = now
}

// setBusy starts or stops the measurement of intervals.
func (sm *slotTimeMeter) setBusy(now bulrushchute.Millis, busy bool) {
	if busy && !sm.busy {
		sm.lastEndAt = now
	}
	sm.busy = busy
}

// msPerRequest returns the time for which one request holds a slot, or 0 if
// unknown.
func (sm *slotTimeMeter) msPerRequest(now bulrushchute.Millis, inFlight int, serviceMs float64) float64 {
	typical := sm.slotMsPerRequest
	if typical <= 0 {
		typical = serviceMs
	}
	if !sm.busy {
		return typical
	}
	sinceLastEnd := float64(now-sm.lastEndAt) * float64(inFlight)
	if sinceLastEnd > stallFactor*typical {
		return sinceLastEnd
	}
	return typical
}

// ewma updates an exponentially weighted moving average, which starts with the
// first sample. The conversion rounds the product on each architecture, see "make fused".
func ewma(mean, sample, smoothing float64) float64 {
	if mean <= 0 {
		return sample
	}
	return mean + float64(smoothing*(sample-mean))
}

// slotWaitMs returns the time until the given number of queued requests have got
// a slot, or false if nothing has been measured yet.
func (c *Controller) slotWaitMs(requests float64) (float64, bool) {
	perRequest := c.slotTime.msPerRequest(c.now, c.inFlight(), c.serviceMs)
	if perRequest <= 0 {
		return 0, false
	}
	return requests * perRequest / float64(c.limit()), true
}

// retryAfter returns the estimated time until all queued requests and one more
// have got a slot, and until a server that is cold or names a limit takes as many.
func (c *Controller) retryAfter() bulrushchute.Millis {
	wait, known := c.slotWaitMs(float64(c.queue.waiting + 1))
	slotAfter := defaultRetryAfter
	if known {
		slotAfter = max(1, min(maxRetryAfter, bulrushchute.Millis(wait)+1))
	}
	return max(slotAfter, c.coldRate.waitFor(c.now, c.queue.waiting+1), c.namedLimit.waitFor(c.now, c.queue.waiting+1))
}

// refusal returns a "not run" refusal with the time after which to retry.
func (c *Controller) refusal(reason bulrushchute.Reason) bulrushchute.Refusal {
	switch reason {
	case bulrushchute.ReasonLeaving, bulrushchute.ReasonWithdrawn:
		return bulrushchute.Refusal{Reason: reason, RetryAfter: unavailableRetryAfter}
	case bulrushchute.ReasonSlow:
		return bulrushchute.Refusal{Reason: reason, RetryAfter: max(1, c.slowdown.expectedEnd(c.now))}
	default:
		return bulrushchute.Refusal{Reason: reason, RetryAfter: c.retryAfter()}
	}
}
