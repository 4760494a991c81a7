package bulrushadmission

import (
	"math"

	"bulrushchute.example/bulrushchute"
)

const (
	// namedLimitBurst is the time for which unused permits of a named limit are
	// kept. It lets requests that arrive together pass together, at the rate that
	// the server named.
	namedLimitBurst = 250 * bulrushchute.Millisecond
	// minNamedLimitPerS is the lowest rate that is applied. Only an answer to a
	// request shows that a server no longer names a limit, so one is sent at times
	// even to a server that takes none.
	minNamedLimitPerS = 0.1
	// maxUnanswered is the number of requests in flight until the first answer of a
	// backend server that was running before the node, since it may have named a limit
	// to a former process of the node.
	maxUnanswered = 3
)

// namedLimit is the limit on requests a second that the server itself names in its
// answers, for all callers together.
//
// The load pattern: a server in need takes a few requests a second, while all entry
// nodes go on choosing it by its load, which falls. The limit is enforced only here,
// where all requests to the server pass, so that it holds whether or not entry nodes
// know it, restart or cannot reach each other.
type namedLimit struct {
	named bool
	perS  float64
	// permits is the number of requests that may be dispatched, as of updatedAt.
	permits   float64
	updatedAt bulrushchute.Millis
	// unheard is set from the start of the node beside a server that was running
	// before, until the server has answered a request.
	unheard bool
}

// name records that the server names a limit. The first permit of a new limit comes
// after a whole interval, because the server has just received what it got before.
func (nl *namedLimit) name(now bulrushchute.Millis, perS float64) {
	if !nl.named {
		nl.named, nl.permits, nl.updatedAt = true, 0, now
	}
	nl.refill(now)
	nl.perS = max(minNamedLimitPerS, perS)
	nl.permits = min(nl.permits, nl.capacity())
}

// lift records that the server names no limit any more.
func (nl *namedLimit) lift() {
	nl.named = false
}

func (nl *namedLimit) capacity() float64 {
	return max(1, nl.perS*float64(namedLimitBurst)/float64(bulrushchute.Second))
}

func (nl *namedLimit) refill(now bulrushchute.Millis) {
	elapsed := float64(max(0, now-nl.updatedAt)) / float64(bulrushchute.Second)
	// Rounded once on each architecture.
	nl.permits = min(nl.capacity(), math.FMA(elapsed, nl.perS, nl.permits))
	nl.updatedAt = max(nl.updatedAt, now)
}

// allows reports whether one more request may be dispatched.
func (nl *namedLimit) allows(now bulrushchute.Millis) bool {
	return nl.waitFor(now, 1) == 0
}

// recordDispatch counts a dispatch.
func (nl *namedLimit) recordDispatch(now bulrushchute.Millis) {
	if nl.named {
		nl.refill(now)
		nl.permits--
	}
}

// waitFor returns the time until the given number of further requests may have been
// dispatched.
func (nl *namedLimit) waitFor(now bulrushchute.Millis, requests int) bulrushchute.Millis {
	if !nl.named {
		return 0
	}
	nl.refill(now)
	missing := float64(requests) - nl.permits
	if missing <= epsilon {
		return 0
	}
	return bulrushchute.Millis(math.Ceil(missing / nl.perS * float64(bulrushchute.Second)))
}

// ObserveNamedLimit records what an answer of the server states about the requests
// that it takes: a limit a second, or nil for none. Only an answer to a request lifts
// a limit, since health checks need not repeat it.
func (c *Controller) ObserveNamedLimit(now bulrushchute.Millis, perS *float64, toRequest bool) []Release {
	releases := c.beginEvent(now)
	c.namedLimit.unheard = c.namedLimit.unheard && !toRequest
	switch {
	case perS != nil:
		c.limitCut = c.limitCut || !c.namedLimit.named || *perS < c.namedLimit.perS
		c.namedLimit.name(c.now, *perS)
	case toRequest:
		c.namedLimit.lift()
	}
	return c.endEvent(releases)
}

// NamedLimit returns the limit in requests a second that the server names, or false
// if it names none.
func (c *Controller) NamedLimit() (float64, bool) {
	return c.namedLimit.perS, c.namedLimit.named
}
