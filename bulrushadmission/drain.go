package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// unknownRetryAfter is used before any answer has been timed.
	unknownRetryAfter = 100 * bulrushchute.Millisecond
	// maxRetryAfter bounds the effect of a stalled server on callers.
	maxRetryAfter = 5 * bulrushchute.Second
	// elsewhereRetryAfter goes with refusals that time does not cure soon, such
	// as those of a server that is leaving.
	elsewhereRetryAfter = bulrushchute.Second
	// drainStep is the weight of one interval between ends.
	drainStep = 0.1
	// stallFactor is the multiple of the usual interval after which the time
	// since the last end counts instead.
	stallFactor = 3
	// serviceStep is the weight of one answer in the reported service time.
	serviceStep = 0.2
)

// drainMeter measures how fast slots become free while work waits for them.
// The measure is slot milliseconds for each end, so that it stays valid when
// the limit changes.
type drainMeter struct {
	slotMs  float64
	endedAt bulrushchute.Millis
	// busy is set while all permitted slots are in use, since only then does
	// the time between ends show the rate at which a queue would drain.
	busy bool
}

// ended takes note of a freed slot out of inFlight.
func (dm *drainMeter) ended(now bulrushchute.Millis, inFlight int) {
	if dm.busy {
		sample := float64(now-dm.endedAt) * float64(inFlight)
		dm.slotMs = average(dm.slotMs, sample, drainStep)
	}
	dm.endedAt = now
}

// setBusy starts and ends the spans in which intervals are measured.
func (dm *drainMeter) setBusy(now bulrushchute.Millis, busy bool) {
	if busy && !dm.busy {
		dm.endedAt = now
	}
	dm.busy = busy
}

// perSlotMs returns the time for which one request holds a slot, 0 when unknown.
func (dm *drainMeter) perSlotMs(now bulrushchute.Millis, inFlight int, serviceMs float64) float64 {
	known := dm.slotMs
	if known <= 0 {
		known = serviceMs
	}
	if !dm.busy {
		return known
	}
	stalled := float64(now-dm.endedAt) * float64(inFlight)
	if stalled > stallFactor*known {
		return stalled
	}
	return known
}

// average moves an average by one step and starts it with the first sample.
func average(value, sample, step float64) float64 {
	if value <= 0 {
		return sample
	}
	return value + step*(sample-value)
}

// drainMs returns the time in which the given number of queued requests get a
// slot, and false when nothing has been measured yet.
func (c *Controller) drainMs(requests float64) (float64, bool) {
	perSlot := c.drain.perSlotMs(c.now, c.inFlight(), c.serviceMs)
	if perSlot <= 0 {
		return 0, false
	}
	return requests * perSlot / float64(c.limit()), true
}

// retryAfter returns the time until the present queue has drained.
func (c *Controller) retryAfter() bulrushchute.Millis {
	wait, known := c.drainMs(float64(c.queue.waiting + 1))
	if !known {
		return unknownRetryAfter
	}
	return max(1, min(maxRetryAfter, bulrushchute.Millis(wait)+1))
}

// refusal builds the typed "not run" refusal with its time to retry.
func (c *Controller) refusal(reason bulrushchute.Reason) bulrushchute.Refusal {
	switch reason {
	case bulrushchute.ReasonLeaving, bulrushchute.ReasonWithdrawn:
		return bulrushchute.Refusal{Reason: reason, RetryAfter: elsewhereRetryAfter}
	default:
		return bulrushchute.Refusal{Reason: reason, RetryAfter: c.retryAfter()}
	}
}
