package bulrushrouting

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// Start values until answers are measured. Data centres of one region are
	// 0.5 to 1 ms apart.
	ownDistanceMs   = 0.1
	otherDistanceMs = 1.0

	// The distance is the lower quartile of what an answer took beyond the
	// server's own time: queueing and late reports only ever add to it.
	distanceQuantile = 0.25
	distanceStep     = 0.02
	smallestStepMs   = 0.005
)

// distances holds the measured network time to each data centre and back.
type distances struct {
	own bulrushchute.DataCentre
	ms  map[bulrushchute.DataCentre]float64
}

func newDistances(own bulrushchute.DataCentre) distances {
	return distances{own: own, ms: map[bulrushchute.DataCentre]float64{}}
}

func (d *distances) to(other bulrushchute.DataCentre) float64 {
	if ms, ok := d.ms[other]; ok {
		return ms
	}
	if other == d.own {
		return ownDistanceMs
	}
	return otherDistanceMs
}

// observe moves the estimate a step towards the quantile.
func (d *distances) observe(other bulrushchute.DataCentre, beyondMs float64) {
	estimate := d.to(other)
	step := max(estimate*distanceStep, smallestStepMs)
	if beyondMs > estimate {
		estimate += step * distanceQuantile
	} else {
		estimate -= step * (1 - distanceQuantile)
	}
	d.ms[other] = max(estimate, 0)
}
