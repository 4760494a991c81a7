package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

// coldWindow bounds the requests that a cold server receives in any second.
//
// The load pattern that it answers: a server that comes back with empty caches
// crashes under the rate that it usually serves.
type coldWindow struct {
	// until is when the server stops being cold by its own estimate.
	until bulrushchute.Millis
	// perS is the bound, 0 for none.
	perS float64
	// starts holds the instants of the last starts, oldest first.
	starts []bulrushchute.Millis
}

// rateWindow is the window in which starts are counted. It is longer than the
// second of the bound, because requests may travel for a few milliseconds.
const rateWindow = bulrushchute.Second + 50*bulrushchute.Millisecond

// coldShare is the part of the stated rate that is used. Servers bear somewhat
// more than they state, and crash well above it.
const coldShare = 1.25

// observe takes note of how much longer the server says it is cold.
func (cw *coldWindow) observe(now, left bulrushchute.Millis) {
	cw.until = now + left
}

// warming reports whether the bound is in force.
func (cw *coldWindow) warming(now bulrushchute.Millis) bool {
	return cw.perS > 0 && now < cw.until
}

// allows reports whether one more request may be started.
func (cw *coldWindow) allows(now bulrushchute.Millis) bool {
	if !cw.warming(now) {
		return true
	}
	cw.forget(now)
	return float64(len(cw.starts)+1) <= max(1, coldShare*cw.perS)
}

// started counts a request. It is counted while the server is warm too, since
// a server may turn cold at any moment.
func (cw *coldWindow) started(now bulrushchute.Millis) {
	if cw.perS <= 0 {
		return
	}
	cw.forget(now)
	cw.starts = append(cw.starts, now)
}

func (cw *coldWindow) forget(now bulrushchute.Millis) {
	first := 0
	for first < len(cw.starts) && cw.starts[first] <= now-rateWindow {
		first++
	}
	cw.starts = append(cw.starts[:0], cw.starts[first:]...)
}

// next returns when a request may be started again.
func (cw *coldWindow) next(now bulrushchute.Millis) bulrushchute.Millis {
	if cw.allows(now) || len(cw.starts) == 0 {
		return Never
	}
	return min(cw.until, cw.starts[0]+rateWindow+1)
}

// ObserveCold takes note of how much longer the server says that it is cold.
func (c *Controller) ObserveCold(now, left bulrushchute.Millis) []Release {
	releases := c.begin(now)
	c.cold.observe(c.now, left)
	return c.finish(releases)
}
