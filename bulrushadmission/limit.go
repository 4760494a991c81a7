package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// evidenceToCut is the evidence, in slow or failed answers, that cuts the limit.
	// It is met by three in a row. Each failure raises its route's failure rate,
	// so that three of them weigh 2.85.
	evidenceToCut = 2.8
	// evidenceRelief is the evidence that one good answer takes back. At half an
	// answer, occasional slow answers add up to nothing.
	evidenceRelief = 0.5
	// cutFactor is what remains of the limit after a cut.
	cutFactor = 0.5
	// strainStep is the weight of one answer in the strain.
	strainStep = 0.1
	// A strain above strainToCut cuts the limit by strainFactor, and one above
	// strainToHold keeps it from rising. For latencies that spread as widely as
	// an exponential distribution, chance alone moves the strain by 0.23.
	strainToCut  = 1.8
	strainToHold = 1.3
	strainFactor = 0.7
	// minLimit keeps one request in flight, without which no answer could show
	// that the server has recovered.
	minLimit = 1.0
	// rounding absorbs the error of sums of fractions.
	rounding = 1e-9
)

// adaptiveLimit is the limit below the slots that follows the server's health.
type adaptiveLimit struct {
	limit float64
	// evidence shows a sudden and large slowdown, or failures, in a few answers.
	evidence float64
	// strain is the recent latency in multiples of the baseline. It shows
	// smaller slowdowns after some more answers.
	strain float64
}

func newAdaptiveLimit(slots int) adaptiveLimit {
	return adaptiveLimit{limit: float64(slots), strain: 1}
}

// good takes note of a good answer: about one more slot for each limit's worth.
func (al *adaptiveLimit) good(slots int) {
	al.evidence = max(0, al.evidence-evidenceRelief)
	if al.strain < strainToHold {
		al.limit = min(al.limit+1/al.limit, float64(slots))
	}
}

// observe takes note of an answer's latency in multiples of the baseline and
// reports whether the limit was cut.
func (al *adaptiveLimit) observe(strain float64) bool {
	al.strain += strainStep * (strain - al.strain)
	if al.strain < strainToCut {
		return false
	}
	al.cut(strainFactor)
	return true
}

// bad takes note of a slow or failed answer and reports whether the limit was cut.
func (al *adaptiveLimit) bad(weight float64) bool {
	al.evidence += weight
	if al.evidence+rounding < evidenceToCut {
		return false
	}
	al.cut(cutFactor)
	return true
}

// cut lowers the limit and forgets what led to it, so that only answers under
// the new limit can lower it further. The limit holds until these are good.
func (al *adaptiveLimit) cut(factor float64) {
	al.evidence = 0
	al.strain = strainToHold
	al.limit = max(minLimit, al.limit*factor)
}

// coldRamp limits a cold server. Each good answer earns the growth of the time
// since the one before, at most one slot, so the ramp takes at least warm_ms
// and stands still without good answers.
type coldRamp struct {
	warming  bool
	limit    float64
	earnedAt bulrushchute.Millis
}

func (cr *coldRamp) enter(now bulrushchute.Millis, coldSlots int) {
	cr.warming = true
	cr.limit = float64(coldSlots)
	cr.earnedAt = now
}

func (cr *coldRamp) good(now bulrushchute.Millis, coldSlots, slots int, warm bulrushchute.Millis) {
	if !cr.warming {
		return
	}
	perMs := float64(slots-coldSlots) / float64(warm)
	earned := perMs * float64(now-cr.earnedAt)
	cr.limit += max(0, min(1, earned))
	cr.earnedAt = now
	if cr.limit+rounding >= float64(slots) {
		cr.warming = false
	}
}

// bad halves what was earned so far.
func (cr *coldRamp) bad(now bulrushchute.Millis, coldSlots int) {
	if cr.warming {
		cr.limit = max(float64(coldSlots), cr.limit/2)
		cr.earnedAt = now
	}
}

// limit returns the number of requests that may be in flight now.
func (c *Controller) limit() int {
	limit := min(c.slots(), c.workConnections())
	if c.pace.known {
		// The server reports what the limits below would have to infer.
		if c.queue.waiting > 0 && c.full.open(c.now) {
			return limit
		}
		return max(1, min(limit, c.pacedSlots()))
	}
	limit = min(limit, int(c.adaptive.limit+rounding))
	if c.ramp.warming {
		limit = min(limit, int(c.ramp.limit+rounding))
	}
	return max(1, limit)
}

// pacedSlots is the number of slots that are used while nothing waits.
func (c *Controller) pacedSlots() int {
	return int(pacedShare * float64(c.slots()))
}

// warming reports whether the server is taken to be cold.
func (c *Controller) warming() bool {
	if c.cold.perS > 0 {
		return c.cold.warming(c.now)
	}
	return c.ramp.warming
}

// slots returns the smaller of the catalogue's slots and the announced ones.
func (c *Controller) slots() int {
	return smallerLimit(c.settings.Limits.Slots, c.announced.Slots)
}

// coldSlots never exceeds the slots, whatever the catalogue says.
func (c *Controller) coldSlots() int {
	return min(c.settings.Limits.ColdSlots, c.slots())
}

// ConnectionLimit returns the number of connections that may be open to the
// backend server, for work and probes together.
func (c *Controller) ConnectionLimit() int {
	return smallerLimit(c.settings.Limits.Connections, c.announced.Connections)
}

// workConnections leaves one connection for probes, so that a server with all
// connections in use can still be measured.
func (c *Controller) workConnections() int {
	return max(1, c.ConnectionLimit()-1)
}

func smallerLimit(configured, announced int) int {
	if announced > 0 {
		return min(configured, announced)
	}
	return configured
}

// lowLoad returns the number in flight up to which latency and failures are
// taken as the server's own and not as caused by the load.
func (c *Controller) lowLoad() int {
	return max(1, c.slots()/lowLoadPart)
}

// lowLoadPart is the part of the slots that counts as low load.
const lowLoadPart = 4
