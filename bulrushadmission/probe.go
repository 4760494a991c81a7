package bulrushadmission

import (
	"golang.org/x/time/rate"

	"bulrushchute.example/bulrushchute"
)

// probeBurst is the number of probes that may be sent at once after a pause.
const probeBurst = 2

// probeBudget is the token bucket shared by all probes of the backend server.
type probeBudget struct {
	limiter *rate.Limiter
	counts  [ProbeKindCount]uint64
}

func newProbeBudget(perS float64) probeBudget {
	return probeBudget{limiter: rate.NewLimiter(rate.Limit(perS), probeBurst)}
}

// AllowProbe reports whether a probe of any kind may be sent now, and takes a
// token from the bucket if so. Opening a connection only to measure the server
// is a probe too.
func (c *Controller) AllowProbe(now bulrushchute.Millis, kind ProbeKind) bool {
	c.advanceClock(now)
	if int(kind) >= ProbeKindCount || !c.probes.limiter.AllowN(c.now.Time(), 1) {
		return false
	}
	c.probes.counts[kind]++
	return true
}

// ProbeCounts returns the number of probes sent, by kind.
func (c *Controller) ProbeCounts() [ProbeKindCount]uint64 {
	return c.probes.counts
}
