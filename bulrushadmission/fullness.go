package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// fullStep is the weight of one answer in the measured effect of full slots.
	fullStep = 0.2
	// fullSamples is the number of answers before the effect is judged.
	fullSamples = 4
	// fullCloses is the effect from which on the last slots cost more than they
	// bring: with 15% more requests in flight, each may take 15% longer.
	fullCloses = 1.18
	// fullRetry is the time after which a server that was slower with full slots
	// is tried again.
	fullRetry = 20 * bulrushchute.Second
)

// fullness learns whether a server is slower when its last slots are in use.
//
// The load pattern that it answers: more work arrives than the server can do.
// Some servers do more with all of their slots, others slow down so much when
// they are nearly full that they do less.
type fullness struct {
	effect      float64
	samples     int
	closedUntil bulrushchute.Millis
}

// open reports whether the last slots may be used.
func (f *fullness) open(now bulrushchute.Millis) bool {
	return now >= f.closedUntil
}

// observe takes note of an answer to a request that was started on one of the
// last slots, as a multiple of the route's typical time.
func (f *fullness) observe(now bulrushchute.Millis, strain float64) {
	f.samples++
	f.effect += max(fullStep, 1/float64(f.samples)) * (strain - f.effect)
	if f.samples < fullSamples || f.effect < fullCloses {
		return
	}
	*f = fullness{closedUntil: now + fullRetry}
}
