package bulrushrouting

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// Round-trip times assumed until the first answer. Data centres of one region
	// are 0.5 to 1 ms apart.
	initialLocalRTTMs  = 0.1
	initialRemoteRTTMs = 1.0

	// The round-trip time is estimated as the lower quartile of the difference
	// between the response time and the server's mean latency (Load.ServiceMs), to
	// which queueing and an outdated mean only ever add.
	rttQuantile = 0.25
	// A step of the estimate is rttStepRatio of it, but at least minRTTStepMs.
	rttStepRatio = 0.02
	minRTTStepMs = 0.005
)

// rtts holds the estimated round-trip time to each data centre.
type rtts struct {
	local       bulrushchute.DataCentre
	estimatesMs map[bulrushchute.DataCentre]float64
}

func newRTTs(local bulrushchute.DataCentre) rtts {
	return rtts{local: local, estimatesMs: map[bulrushchute.DataCentre]float64{}}
}

func (rt *rtts) estimateMs(dataCentre bulrushchute.DataCentre) float64 {
	if ms, ok := rt.estimatesMs[dataCentre]; ok {
		return ms
	}
	if dataCentre == rt.local {
		return initialLocalRTTMs
	}
	return initialRemoteRTTMs
}

// observe moves the estimate one step towards rttQuantile of the samples. The
// steps up and down balance when that share of the samples lies below it.
func (rt *rtts) observe(dataCentre bulrushchute.DataCentre, sampleMs float64) {
	estimateMs := rt.estimateMs(dataCentre)
	stepMs := max(estimateMs*rttStepRatio, minRTTStepMs)
	if sampleMs > estimateMs {
		estimateMs += float64(stepMs * rttQuantile)
	} else {
		estimateMs -= float64(stepMs * (1 - rttQuantile))
	}
	rt.estimatesMs[dataCentre] = max(estimateMs, 0)
}
