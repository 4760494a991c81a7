package bulrushadmission

import (
	"math"

	"bulrushchute.example/bulrushchute"
)

// coldRateLimiter limits the number of requests that a cold server receives in
// any second.
//
// It protects servers that come back with empty caches and crash under the rate
// that they usually serve.
type coldRateLimiter struct {
	// until is when the server expects to be warm, by its own report.
	until bulrushchute.Millis
	// perS is the rate in requests per second that the catalogue states for a
	// cold server (ColdPerS), 0 for no limit.
	perS float64
	// factor is the multiple of perS that is used.
	factor float64
	// dispatches holds the times of recent dispatches, oldest first.
	dispatches []bulrushchute.Millis
	// unknownUntil is the end of the window in which dispatches of a former process
	// of the node may count.
	unknownUntil bulrushchute.Millis
	// pacedUntil is the time until which the limit is spread over the window because
	// several tenants send requests.
	pacedUntil bulrushchute.Millis
	// lastTenant is the tenant of the latest request, if any was seen.
	lastTenant bulrushchute.Tenant
	seen       bool
	// lastDispatchAt is the time of the latest dispatch, and burstUntil the end of the
	// part of a window that began with a dispatch after none for longer than a window.
	lastDispatchAt bulrushchute.Millis
	burstUntil     bulrushchute.Millis
}

// coldRateWindow is the sliding window in which dispatches are counted. It is
// longer than the second to which the limit applies, because requests may be in
// transit for a few milliseconds.
const coldRateWindow = bulrushchute.Second + 50*bulrushchute.Millisecond

// unknownShare is the share of the limit that is used while dispatches of a former
// process may count. A full limit of that process and this share together stay within
// the slack that operators allow for requests in transit.
const unknownShare = 0.25

const (
	// coldRateParts is the number of parts of a window over which its limit is spread
	// while several tenants send requests. Otherwise those who come first in a window
	// use all of it, and no queue forms in which shares could be equal until the rest
	// of the window is empty.
	coldRateParts    = 5
	coldRateInterval = coldRateWindow / coldRateParts
)

// observeTenant records the tenant of a new request.
func (rl *coldRateLimiter) observeTenant(now bulrushchute.Millis, tenant bulrushchute.Tenant) {
	if tenant != rl.lastTenant && rl.seen {
		rl.pacedUntil = now + coldRateWindow
	}
	rl.lastTenant, rl.seen = tenant, true
}

// pacedFrom returns the time of the dispatch whose part of the window must be over
// before the next one, or false if the next one need not wait for a part of the
// window. A server without recent dispatches takes its whole limit at once: after an
// outage, all callers are back at the same time, and those who wait longest time out.
func (rl *coldRateLimiter) pacedFrom(now bulrushchute.Millis) (bulrushchute.Millis, bool) {
	if now >= rl.pacedUntil || now < rl.burstUntil || rl.unused(now) {
		return 0, false
	}
	perInterval := int(math.Ceil(rl.perWindow(now) / coldRateParts))
	i := len(rl.dispatches) - perInterval
	if i < 0 || rl.dispatches[i] <= now-coldRateInterval {
		return 0, false
	}
	return rl.dispatches[i], true
}

// unused reports whether nothing was dispatched for longer than a window.
func (rl *coldRateLimiter) unused(now bulrushchute.Millis) bool {
	return now > rl.lastDispatchAt+coldRateWindow+coldRateInterval
}

// assumeFormerDispatches records that a former process of the node may have used up
// the limit until now.
func (rl *coldRateLimiter) assumeFormerDispatches(now bulrushchute.Millis) {
	rl.unknownUntil = now + coldRateWindow
}

// perWindow returns the number of requests that may be dispatched in a window.
func (rl *coldRateLimiter) perWindow(now bulrushchute.Millis) float64 {
	limit := rl.factor * rl.perS
	if now < rl.unknownUntil {
		limit *= unknownShare
	}
	return max(1, limit)
}

// observe records how much longer the server says it will be cold.
func (rl *coldRateLimiter) observe(now, remaining bulrushchute.Millis) {
	rl.until = now + remaining
}

// active reports whether the limit is in force.
func (rl *coldRateLimiter) active(now bulrushchute.Millis) bool {
	return rl.perS > 0 && now < rl.until
}

// allows reports whether one more request may be dispatched.
func (rl *coldRateLimiter) allows(now bulrushchute.Millis) bool {
	if !rl.active(now) {
		return true
	}
	rl.dropExpired(now)
	_, paced := rl.pacedFrom(now)
	return !paced && float64(len(rl.dispatches)+1) <= rl.perWindow(now)
}

// recordDispatch counts a dispatch. Dispatches are counted while the server is
// warm too, since it may turn cold at any moment.
func (rl *coldRateLimiter) recordDispatch(now bulrushchute.Millis) {
	if rl.perS <= 0 {
		return
	}
	rl.dropExpired(now)
	rl.dispatches = append(rl.dispatches, now)
	if rl.unused(now) {
		rl.burstUntil = now + coldRateInterval
	}
	rl.lastDispatchAt = now
}

func (rl *coldRateLimiter) dropExpired(now bulrushchute.Millis) {
	first := 0
	for first < len(rl.dispatches) && rl.dispatches[first] <= now-coldRateWindow {
		first++
	}
	rl.dispatches = append(rl.dispatches[:0], rl.dispatches[first:]...)
}

// waitFor returns the time until the given number of further requests may have been
// dispatched.
func (rl *coldRateLimiter) waitFor(now bulrushchute.Millis, requests int) bulrushchute.Millis {
	if !rl.active(now) {
		return 0
	}
	rl.dropExpired(now)
	perWindow := int(rl.perWindow(now))
	excess := len(rl.dispatches) + requests - perWindow
	if excess <= 0 {
		return 0
	}
	// The requests beyond those of the current window follow in later ones.
	windows := bulrushchute.Millis((excess - 1) / perWindow)
	first := now
	if i := (excess - 1) % perWindow; i < len(rl.dispatches) {
		first = rl.dispatches[i]
	}
	return min(rl.until, first+(windows+1)*coldRateWindow+1) - now
}

// nextDispatch returns when the next request may be dispatched, or Never if the
// limit does not delay it.
func (rl *coldRateLimiter) nextDispatch(now bulrushchute.Millis) bulrushchute.Millis {
	if rl.allows(now) || len(rl.dispatches) == 0 {
		return Never
	}
	next := min(rl.until, rl.dispatches[0]+coldRateWindow+1)
	if at, paced := rl.pacedFrom(now); paced && float64(len(rl.dispatches)+1) <= rl.perWindow(now) {
		next = min(rl.until, at+coldRateInterval, rl.pacedUntil)
	}
	if now < rl.unknownUntil {
		next = min(next, rl.unknownUntil)
	}
	return next
}

// ObserveCold records how much longer the server says it will be cold.
func (c *Controller) ObserveCold(now, remaining bulrushchute.Millis) []Release {
	releases := c.beginEvent(now)
	if remaining > 0 && !c.coldRate.active(c.now) {
		c.slowdown.resetBaseline()
	}
	c.coldRate.observe(c.now, remaining)
	return c.endEvent(releases)
}
