package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// slowdownThreshold is the multiple of the server's baseline slowdown above
	// which new requests are held back or refused.
	slowdownThreshold = 1.6
	// slowdownWindow is the length of the windows whose lowest slowdown is the
	// baseline. A permanently slow server is thus compared with itself.
	slowdownWindow = 5 * bulrushchute.Second
	// maxReadingAge is how long a reading of the server's load is used.
	maxReadingAge = 20 * bulrushchute.Millisecond
	// softSlotShare is the share of the slots used while the server reports its
	// load, except when the last slots are allowed. Some servers slow down when
	// they are nearly full.
	softSlotShare = 0.85
)

// slowdownTracker tracks the slowdown that the server's machine reports, to
// detect noisy neighbours.
//
// The server shares its machine with neighbours, each of which may load it for
// some time. A request that is started during that time takes several times as
// long. Holding it back until the neighbour is done, or sending it elsewhere,
// finishes sooner than starting it at once. Which of them is better depends on
// how long such times last, which the tracker learns.
type slowdownTracker struct {
	// reported is set once the server has reported a slowdown.
	reported bool
	readAt   bulrushchute.Millis
	// latest is the slowdown reported at readAt.
	latest float64
	// elevatedSince is the time of the first in the latest run of elevated
	// readings.
	elevatedSince bulrushchute.Millis
	// windowMin and previousMin are the lowest slowdowns of the current window
	// and of the one before it.
	windowMin   float64
	previousMin float64
	windowStart bulrushchute.Millis
	durations   slowDurations
}

// baseline returns the server's slowdown without a noisy neighbour.
func (st *slowdownTracker) baseline() float64 {
	return min(st.windowMin, st.previousMin)
}

func (st *slowdownTracker) updateMin(now bulrushchute.Millis, slowdown float64) {
	switch {
	case !st.reported:
		st.windowMin, st.previousMin, st.windowStart = slowdown, slowdown, now
	case now-st.windowStart >= slowdownWindow:
		st.windowMin, st.previousMin, st.windowStart = slowdown, st.windowMin, now
	default:
		st.windowMin = min(st.windowMin, slowdown)
	}
}

// resetBaseline makes the latest reading the baseline. It is called when the
// server becomes cold, which makes it slower than before for its own reasons.
func (st *slowdownTracker) resetBaseline() {
	st.windowMin, st.previousMin, st.windowStart = st.latest, st.latest, st.readAt
}

func (st *slowdownTracker) elevated() bool {
	return st.reported && st.latest > slowdownThreshold*st.baseline()
}

// factor returns the latest slowdown as a multiple of the baseline, at least 1.
func (st *slowdownTracker) factor() float64 {
	if !st.reported || st.baseline() <= 0 {
		return 1
	}
	return max(1, st.latest/st.baseline())
}

func (st *slowdownTracker) observe(now bulrushchute.Millis, slowdown float64) {
	wasElevated, previousAt := st.elevated(), st.readAt
	st.updateMin(now, slowdown)
	st.reported = true
	st.readAt = now
	st.latest = slowdown
	switch {
	case st.elevated() && !wasElevated:
		st.elevatedSince = now
	case wasElevated && !st.elevated():
		st.durations.record(previousAt-st.elevatedSince, now-st.elevatedSince)
	}
}

// endsWithin returns the probability that the current slowdown ends within the
// given time.
func (st *slowdownTracker) endsWithin(now, wait bulrushchute.Millis) float64 {
	return st.durations.endsWithin(now-st.elevatedSince, wait)
}

// expectedEnd returns the time after which the current slowdown is over with an
// even chance.
func (st *slowdownTracker) expectedEnd(now bulrushchute.Millis) bulrushchute.Millis {
	return st.durations.medianRest(now - st.elevatedSince)
}

// needsDurations reports whether the end of the current slowdown should be
// observed to learn how long slowdowns last.
func (st *slowdownTracker) needsDurations(now bulrushchute.Millis) bool {
	return st.elevated() && st.durations.wanted() && now-st.elevatedSince < maxObservedDuration
}

// stale reports whether the load must be read again before the slowdown is
// used.
func (st *slowdownTracker) stale(now bulrushchute.Millis) bool {
	return st.reported && now-st.readAt >= maxReadingAge
}

// ObserveLoad records the server's report of its load.
func (c *Controller) ObserveLoad(now bulrushchute.Millis, load bulrushchute.BackendLoad) []Release {
	releases := c.beginEvent(now)
	if load.Slowdown > 0 {
		wasElevated := c.slowdown.elevated()
		c.slowdown.observe(c.now, load.Slowdown)
		if c.slowdown.elevated() && !wasElevated {
			releases = c.planHolds(releases)
		}
	}
	return c.endEvent(releases)
}

// NeedsLoadReading reports whether the server's load should be read before the
// next request is offered.
func (c *Controller) NeedsLoadReading(now bulrushchute.Millis) bool {
	c.advanceClock(now)
	return c.slowdown.stale(c.now) && len(c.running) < c.limit()
}

// LastSlowdown returns the age of the last reading of the server's load and the
// slowdown that it reported. Both are 0 if there was none.
func (c *Controller) LastSlowdown(now bulrushchute.Millis) (bulrushchute.Millis, float64) {
	if !c.slowdown.reported {
		return 0, 0
	}
	return now - c.slowdown.readAt, c.slowdown.latest
}

// NeedsPolling reports whether the server's load should be read repeatedly,
// because requests are queued or to observe the end of a slowdown.
func (c *Controller) NeedsPolling(now bulrushchute.Millis) bool {
	c.advanceClock(now)
	return c.queue.waiting > 0 || c.slowdown.needsDurations(c.now)
}

// canDispatch reports whether a request may be dispatched now.
func (c *Controller) canDispatch() bool {
	return c.hasCapacity() && !c.slowdown.elevated()
}

// hasCapacity reports whether the limits permit another request, regardless of
// any slowdown.
func (c *Controller) hasCapacity() bool {
	return len(c.running) < c.limit() && c.coldRate.allows(c.now) && c.namedLimit.allows(c.now)
}
