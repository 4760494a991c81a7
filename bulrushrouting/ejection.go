package bulrushrouting

import (
	"cmp"
	"slices"

	"bulrushchute.example/bulrushchute"
)

const (
	// ejectionThreshold is the number of consecutive failures after which an
	// instance is ejected. One or two happen to every instance.
	ejectionThreshold = 3
	// notSentWeight is the number of failures that an attempt which could not be
	// sent counts for: a refused connection means that the process is gone.
	notSentWeight = 2

	initialEjection = bulrushchute.Second
	maxEjection     = 30 * bulrushchute.Second
	// After this time since the end of the last ejection, a success resets the
	// duration of the next one to initialEjection.
	ejectionResetAfter = bulrushchute.Minute

	// An instance that returns from an ejection may have initialReadmitLimit
	// outstanding attempts of this node and one more after each success. The
	// limit is lifted when it reaches finalReadmitLimit.
	initialReadmitLimit = 1
	finalReadmitLimit   = 10
)

// ejection is the outlier ejection of one instance. Its duration doubles with
// each repeated ejection.
type ejection struct {
	// failures is the weighted number of consecutive failures.
	failures int
	// count is the number of ejections since the last reset.
	count int
	until bulrushchute.Millis
	// readmitLimit bounds the outstanding attempts of this node after an
	// ejection, 0 for no limit.
	readmitLimit int
}

func (e *ejection) ejected(now bulrushchute.Millis) bool {
	return now < e.until
}

// atReadmitLimit reports whether the readmission limit permits no further
// attempt.
func (e *ejection) atReadmitLimit(outstanding int) bool {
	return e.readmitLimit > 0 && outstanding >= e.readmitLimit
}

// recordSuccess records an attempt with ResultAnswered.
func (e *ejection) recordSuccess(now bulrushchute.Millis) {
	e.failures = 0
	// During the ejection, answers belong to attempts from before it and do not
	// show that the instance has recovered.
	if e.readmitLimit > 0 && !e.ejected(now) {
		e.readmitLimit++
	}
	if e.readmitLimit >= finalReadmitLimit {
		e.readmitLimit = 0
	}
	if e.count > 0 && now-e.until >= ejectionResetAfter {
		e.count = 0
	}
}

// recordFailure adds a failure and reports whether the instance should be
// ejected: after ejectionThreshold consecutive failures, or after a single one
// while the readmission limit is still at its initial value.
func (e *ejection) recordFailure(now bulrushchute.Millis, weight int) bool {
	if e.ejected(now) {
		return false
	}
	e.failures += weight
	return e.failures >= ejectionThreshold || e.readmitLimit == initialReadmitLimit
}

func (e *ejection) eject(now bulrushchute.Millis) {
	duration := min(initialEjection<<min(e.count, 10), maxEjection)
	e.count++
	e.until = now + duration
	e.failures = 0
	e.readmitLimit = initialReadmitLimit
}

// release ends an ejection early. The readmission limit still applies.
func (e *ejection) release(now bulrushchute.Millis) {
	e.until = now
}

// ejectedMembers returns the ejected members of a pool.
func ejectedMembers(now bulrushchute.Millis, pool []*candidate) []*candidate {
	var ejected []*candidate
	for _, c := range pool {
		if c.ejection.ejected(now) {
			ejected = append(ejected, c)
		}
	}
	return ejected
}

// maxEjected returns how many members of a pool may be ejected at once.
func maxEjected(pool []*candidate) int {
	return len(pool) / 2
}

// mayEject reports whether the candidate may be ejected: every pool that
// contains it must have fewer than maxEjected ejected members.
func (r *Router) mayEject(now bulrushchute.Millis, c *candidate) bool {
	for _, pool := range r.pools {
		if slices.Contains(pool, c) && len(ejectedMembers(now, pool)) >= maxEjected(pool) {
			return false
		}
	}
	return true
}

// releaseExcess ends ejections until at most maxEjected members are ejected,
// as a pool that has shrunk may exceed this limit. It releases those first
// whose ejection ends soonest.
func releaseExcess(now bulrushchute.Millis, pool []*candidate) {
	ejected := ejectedMembers(now, pool)
	excess := len(ejected) - maxEjected(pool)
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
