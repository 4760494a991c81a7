package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// slowdownThreshold is the multiple of the server's baseline slowdown above
	// which new requests are held back.
	slowdownThreshold = 1.6
	// slowdownWindow is the length of the windows whose lowest slowdown is the
	// baseline. A cold or permanently slow server is thus compared with itself.
	slowdownWindow = 800 * bulrushchute.Millisecond
	// maxReadingAge is how long a reading of the server's load is used. Noisy
	// neighbours start and stop loading the machine about every 150 ms.
	maxReadingAge = 20 * bulrushchute.Millisecond
	// persistentSlowdownAge is the age from which a slowdown is attributed to
	// the server itself and not to a neighbour, so that waiting for its end
	// does not pay off.
	persistentSlowdownAge = 700 * bulrushchute.Millisecond
	// Bounds on the time for which a request is held back: less than half of
	// the time for which a neighbour usually loads the machine, and nearly twice
	// that time.
	minHold = 60 * bulrushchute.Millisecond
	maxHold = 260 * bulrushchute.Millisecond
	// serviceTimeMargin is the multiple of a route's mean latency that is
	// subtracted from the request's objective to compute the hold time.
	serviceTimeMargin = 1.15
	// softSlotShare is the share of the slots used while the server reports its
	// load, except when the last slots are allowed. Some servers slow down when
	// they are nearly full.
	softSlotShare = 0.85
)

// slowdownTracker tracks the slowdown that the server's machine reports, to
// detect noisy neighbours.
//
// The server shares its machine with neighbours, each of which may load it for
// some 100 ms at a time. A request that is started during that time takes
// several times as long. Holding it back until the neighbour is done, or
// sending it elsewhere, finishes sooner than starting it at once.
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

func (st *slowdownTracker) elevated() bool {
	return st.reported && st.latest > slowdownThreshold*st.baseline()
}

func (st *slowdownTracker) observe(now bulrushchute.Millis, slowdown float64) {
	wasElevated := st.elevated()
	st.updateMin(now, slowdown)
	st.reported = true
	st.readAt = now
	st.latest = slowdown
	if st.elevated() && !wasElevated {
		st.elevatedSince = now
	}
}

// transient reports whether the slowdown is elevated but recent enough that
// waiting for its end is likely to be faster than starting a request now.
func (st *slowdownTracker) transient(now bulrushchute.Millis) bool {
	return st.elevated() && now-st.elevatedSince < persistentSlowdownAge
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
		c.slowdown.observe(c.now, load.Slowdown)
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

// HasQueued reports whether any request is queued.
func (c *Controller) HasQueued() bool {
	return c.queue.waiting > 0
}

// canDispatch reports whether a request may be dispatched now.
func (c *Controller) canDispatch() bool {
	return c.hasCapacity() && !c.slowdown.transient(c.now)
}

// hasCapacity reports whether the limits permit another request, regardless of
// any slowdown.
func (c *Controller) hasCapacity() bool {
	return len(c.running) < c.limit() && c.coldRate.allows(c.now)
}

// holdUntil returns the time until which a request is held back during a
// transient slowdown. A request that has no objective, or can no longer meet
// it, is held for up to maxHold. The hold ends before the wait expires.
func (c *Controller) holdUntil(rs *requestState) bulrushchute.Millis {
	if !c.slowdown.reported {
		return Never
	}
	hold := maxHold
	if rs.request.Objective > 0 {
		slack := rs.request.Objective - bulrushchute.Millis(serviceTimeMargin*rs.baseline.meanMs)
		if slack > 0 {
			hold = max(minHold, min(hold, slack))
		}
	}
	return min(c.now+hold, rs.expiresAt-1)
}

// endHold ends the wait of a request whose hold time is over. A request with
// Insist set is dispatched despite the slowdown if capacity permits; all others
// are refused.
func (c *Controller) endHold(rs *requestState, releases []Release) []Release {
	if rs.request.Insist && c.hasCapacity() {
		return c.admitQueued(rs, releases)
	}
	return c.refuseQueued(rs, bulrushchute.ReasonSlow, releases)
}
