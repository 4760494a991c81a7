package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// minServerRefusalDelay spares the server a caller that repeats at once, and
	// serverRefusalSpread separates the callers that it refused together.
	minServerRefusalDelay = 20 * bulrushchute.Millisecond
	serverRefusalSpread   = 40 * bulrushchute.Millisecond
	maxServerRefusalDelay = bulrushchute.Second
)

// ServerRefusalDelay returns when a caller may come back whose request the backend
// server itself refused. load is that of the server with the refused request still in
// flight, and draw a random number in [0, 1).
//
// The load pattern is that of servers which refuse a part of their requests although
// they have slots free. They take the next request as likely as at any later time, so
// that a long delay only makes the answer late. A server that is full has room once one
// of its requests ends.
func ServerRefusalDelay(load bulrushchute.Load, draw float64) bulrushchute.Millis {
	delay := minServerRefusalDelay + bulrushchute.Millis(draw*float64(serverRefusalSpread))
	if load.InFlight >= load.Limit && load.Limit > 0 {
		delay += bulrushchute.Millis(load.ServiceMs * float64(1+load.Queued) / float64(load.Limit))
	}
	if load.Limit <= 0 || load.Leaving {
		return maxServerRefusalDelay
	}
	return min(max(delay, load.FreeAfter), maxServerRefusalDelay)
}
