package bulrushrouting

import (
	"cmp"
	"slices"

	"bulrushchute.example/bulrushchute"
)

const (
	// ejectAfter consecutive failures eject an instance. One or two happen to
	// every instance.
	ejectAfter = 3
	// A refused connection counts for more than a failed answer: the process is gone.
	notSentCount = 2

	firstEjection   = bulrushchute.Second
	longestEjection = 30 * bulrushchute.Second
	// An instance that stayed good for so long starts again from the first ejection.
	forgetEjections = bulrushchute.Minute

	// An instance that returns may have this many of the node's attempts at
	// first, one more for each good answer, and has no bound from readmitDone on.
	readmitFirst = 1
	readmitDone  = 10
)

// ejection keeps an instance that fails away from work for a growing time.
type ejection struct {
	failures int
	times    int
	until    bulrushchute.Millis
	// readmit bounds the node's own attempts after an ejection, 0 when unbounded.
	readmit int
}

func (e *ejection) ejected(now bulrushchute.Millis) bool {
	return now < e.until
}

// full reports whether an instance under re-admission has all the attempts it may have.
func (e *ejection) full(own int) bool {
	return e.readmit > 0 && own >= e.readmit
}

// good records a whole answer.
func (e *ejection) good(now bulrushchute.Millis) {
	e.failures = 0
	// An answer to an attempt from before the ejection proves nothing.
	if e.readmit > 0 && !e.ejected(now) {
		e.readmit++
	}
	if e.readmit >= readmitDone {
		e.readmit = 0
	}
	if e.times > 0 && now-e.until >= forgetEjections {
		e.times = 0
	}
}

// failed records a failure and reports whether the instance should be ejected.
func (e *ejection) failed(now bulrushchute.Millis, weight int) bool {
	if e.ejected(now) {
		return false
	}
	e.failures += weight
	return e.failures >= ejectAfter || e.readmit == readmitFirst
}

func (e *ejection) eject(now bulrushchute.Millis) {
	span := min(firstEjection<<min(e.times, 10), longestEjection)
	e.times++
	e.until = now + span
	e.failures = 0
	e.readmit = readmitFirst
}

// release ends an ejection early. The instance is still readmitted slowly.
func (e *ejection) release(now bulrushchute.Millis) {
	e.until = now
}

// ejectedIn returns the ejected members of a pool.
func ejectedIn(now bulrushchute.Millis, pool []*candidate) []*candidate {
	var ejected []*candidate
	for _, c := range pool {
		if c.ejection.ejected(now) {
			ejected = append(ejected, c)
		}
	}
	return ejected
}

// ejectionCap is how many members of a pool may be ejected at once.
func ejectionCap(pool []*candidate) int {
	return len(pool) / 2
}

// mayEject bounds the ejected members to half of a subset.
func (r *Router) mayEject(now bulrushchute.Millis, wanted *candidate) bool {
	for _, pool := range r.pools {
		if slices.Contains(pool, wanted) && len(ejectedIn(now, pool)) >= ejectionCap(pool) {
			return false
		}
	}
	return true
}

// releaseExcess restores the bound after members have left, first for the
// instances whose ejection ends soonest.
func releaseExcess(now bulrushchute.Millis, pool []*candidate) {
	ejected := ejectedIn(now, pool)
	excess := len(ejected) - ejectionCap(pool)
	if excess <= 0 {
		return
	}
	slices.SortFunc(ejected, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.ejection.until, b.ejection.until), cmp.Compare(a.instance.ID, b.instance.ID))
	})
	for _, c := range ejected[:excess] {
		c.ejection.release(now)
	}
}
