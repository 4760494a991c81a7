package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// slowAbove is the reported slowdown, in multiples of the server's usual one,
	// from which on new work is held back.
	slowAbove = 1.6
	// usualSpan is the time over which the lowest slowdown counts as usual. A
	// cold server, or one that is slow for good, is compared with itself.
	usualSpan = 800 * bulrushchute.Millisecond
	// readingAge is how long a reading is relied on. Neighbours take and free
	// the machine about every 150 ms.
	readingAge = 20 * bulrushchute.Millisecond
	// lastingSlow is the time after which a slowdown is the server's state and
	// not a neighbour's: waiting for its end does not pay.
	lastingSlow = 700 * bulrushchute.Millisecond
	// Bounds on the time for which a request is held back: less than half of a
	// neighbour's usual turn, and nearly two of them.
	shortestHold = 60 * bulrushchute.Millisecond
	longestHold  = 260 * bulrushchute.Millisecond
	// reserve is the part of a route's typical time that is kept beyond it when
	// the hold is computed from the time that is left.
	reserve = 1.15
	// pacedShare is the part of the slots that is used while the server reports
	// its load. Some servers slow down when they are nearly full.
	pacedShare = 0.85
)

// pace follows how fast the server's machine works from moment to moment.
//
// The load pattern that it answers: the server shares its machine with others
// that take it for some 100 ms at a time, and a request that is started then
// takes several times as long. Holding it back for the rest of that time, or
// sending it elsewhere, ends sooner than starting it.
type pace struct {
	known    bool
	readAt   bulrushchute.Millis
	slowdown float64
	// slowSince is the first of the latest slow readings in a row.
	slowSince bulrushchute.Millis
	// lowest and formerLowest are the lowest slowdowns of the present span and
	// of the one before it.
	lowest       float64
	formerLowest float64
	spanStart    bulrushchute.Millis
}

// usual returns the slowdown of the server when no neighbour holds its machine.
func (p *pace) usual() float64 {
	return min(p.lowest, p.formerLowest)
}

func (p *pace) noteLowest(now bulrushchute.Millis, slowdown float64) {
	switch {
	case !p.known:
		p.lowest, p.formerLowest, p.spanStart = slowdown, slowdown, now
	case now-p.spanStart >= usualSpan:
		p.lowest, p.formerLowest, p.spanStart = slowdown, p.lowest, now
	default:
		p.lowest = min(p.lowest, slowdown)
	}
}

func (p *pace) above() bool {
	return p.known && p.slowdown > slowAbove*p.usual()
}

func (p *pace) observe(now bulrushchute.Millis, slowdown float64) {
	wasSlow := p.above()
	p.noteLowest(now, slowdown)
	p.known = true
	p.readAt = now
	p.slowdown = slowdown
	if p.above() && !wasSlow {
		p.slowSince = now
	}
}

// slow reports whether starting a request now would take much longer than
// waiting for a better moment.
func (p *pace) slow(now bulrushchute.Millis) bool {
	return p.above() && now-p.slowSince < lastingSlow
}

// stale reports whether the pace must be read again before it is relied on.
func (p *pace) stale(now bulrushchute.Millis) bool {
	return p.known && now-p.readAt >= readingAge
}

// ObserveLoad takes note of the server's report of its load.
func (c *Controller) ObserveLoad(now bulrushchute.Millis, load bulrushchute.BackendLoad) []Release {
	releases := c.begin(now)
	if load.Slowdown > 0 {
		c.pace.observe(c.now, load.Slowdown)
	}
	return c.finish(releases)
}

// NeedsReading reports whether the server's load should be read before the
// next request is offered.
func (c *Controller) NeedsReading(now bulrushchute.Millis) bool {
	c.advance(now)
	return c.pace.stale(c.now) && len(c.running) < c.limit()
}

// Pace returns the age of the last reading of the server's load, and the
// slowdown that it told, 0 if there was none.
func (c *Controller) Pace(now bulrushchute.Millis) (bulrushchute.Millis, float64) {
	if !c.pace.known {
		return 0, 0
	}
	return now - c.pace.readAt, c.pace.slowdown
}

// Waits reports whether any request waits.
func (c *Controller) Waits() bool {
	return c.queue.waiting > 0
}

// room reports whether a request may be started now.
func (c *Controller) room() bool {
	return c.free() && !c.pace.slow(c.now)
}

// free reports whether a request may be started in spite of a slow machine.
func (c *Controller) free() bool {
	return len(c.running) < c.limit() && c.cold.allows(c.now)
}

// holdUntil is the time up to which a request waits for a better moment. What
// can no longer meet its objective waits as long as anything may.
func (c *Controller) holdUntil(t *ticket) bulrushchute.Millis {
	if !c.pace.known {
		return Never
	}
	hold := longestHold
	if t.request.Objective > 0 {
		slack := t.request.Objective - bulrushchute.Millis(reserve*t.route.typicalMs)
		if slack > 0 {
			hold = max(shortestHold, min(hold, slack))
		}
	}
	return min(c.now+hold, t.expiresAt-1)
}

// endHold decides on a request that was held back as long as it may be. One
// that has nowhere else to go is started in spite of the slow machine.
func (c *Controller) endHold(t *ticket, releases []Release) []Release {
	if t.request.Insist && c.free() {
		return c.admitQueued(t, releases)
	}
	return c.refuseQueued(t, bulrushchute.ReasonSlow, releases)
}
