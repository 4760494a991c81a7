package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// serviceTimeMargin is the multiple of a route's mean latency that must be left
	// of the objective when a hold ends.
	serviceTimeMargin = 1.15
	// minHold is the shortest hold, for requests whose objective leaves less.
	minHold = 20 * bulrushchute.Millisecond
	// defaultHold is the hold of a request without an objective, and of one that
	// can no longer meet it. It is also the longest hold while the latency of the
	// route is unknown.
	defaultHold = 260 * bulrushchute.Millisecond
	// minHoldChance is the chance that a slowdown ends during the hold from which a
	// request is held rather than sent to another server.
	minHoldChance = 0.8
	// minInsistChance replaces minHoldChance for a request that no other server can
	// take. Below it, the request is started at once if it can be answered in time.
	minInsistChance = 0.2
)

// hold decides what becomes of a request while the machine of its server is
// slowed down.
//
// The load pattern: each machine of a service is slowed down now and then,
// independently of the others, and a request that is started during that time
// takes several times as long and misses its objective. If the slowdown is likely
// to end soon enough to meet the objective, the request waits for that. Otherwise
// it is refused at once, so that its entry node can try another server, most of
// which are fast. A request that no other server can take is started despite the
// slowdown once waiting no longer helps.
type hold struct {
	// refuse is set when the request is refused at once.
	refuse bool
	// until is when the hold ends. It is Never for a request that would not be
	// answered before its deadline if it were started during the slowdown.
	until bulrushchute.Millis
}

// planHold decides on a request during a slowdown.
func (c *Controller) planHold(rs *requestState) hold {
	wait := c.holdTime(rs)
	chance := c.slowdown.endsWithin(c.now, wait)
	if !rs.request.Insist {
		return hold{refuse: chance < minHoldChance, until: c.now + wait}
	}
	if !c.finishesSlowed(rs) {
		return hold{until: Never}
	}
	if chance < minInsistChance {
		return hold{until: c.now}
	}
	return hold{until: c.now + wait}
}

// holdTime returns how long a request can be held and still meet its objective.
func (c *Controller) holdTime(rs *requestState) bulrushchute.Millis {
	if rs.request.Objective <= 0 {
		return defaultHold
	}
	waited := c.now - rs.offeredAt
	slack := rs.request.Objective - waited - bulrushchute.Millis(serviceTimeMargin*rs.baseline.meanMs)
	if slack <= 0 {
		return defaultHold
	}
	if !rs.baseline.established() {
		slack = min(slack, defaultHold)
	}
	return max(minHold, slack)
}

// finishesSlowed reports whether the request would be answered before its deadline
// if it were started now, during the slowdown.
func (c *Controller) finishesSlowed(rs *requestState) bool {
	expected := serviceTimeMargin * rs.baseline.meanMs * c.slowdown.factor()
	return c.now+bulrushchute.Millis(expected) <= rs.request.Deadline
}

// planHolds decides on all queued requests when a slowdown begins.
func (c *Controller) planHolds(releases []Release) []Release {
	var refused []*requestState
	c.queue.each(func(rs *requestState) {
		plan := c.planHold(rs)
		rs.heldUntil, rs.due = plan.until, false
		c.nextExpiry = min(c.nextExpiry, rs.nextExpiry())
		if plan.refuse {
			refused = append(refused, rs)
		}
	})
	for _, rs := range refused {
		releases = c.refuseQueued(rs, bulrushchute.ReasonSlow, releases)
	}
	return releases
}

// endHold ends the hold of a request. If no other server can take it, it is
// dispatched despite the slowdown as soon as capacity permits; all others are
// refused.
func (c *Controller) endHold(rs *requestState, releases []Release) []Release {
	switch {
	case !rs.request.Insist:
		return c.refuseQueued(rs, bulrushchute.ReasonSlow, releases)
	case c.severalTenants():
		c.markDue(rs)
		return releases
	case c.hasCapacity() && c.finishesSlowed(rs):
		return c.admitQueued(rs, releases)
	default:
		rs.heldUntil = c.now + minHold
		c.nextExpiry = min(c.nextExpiry, rs.nextExpiry())
		return releases
	}
}

// severalTenants reports whether unfinished requests are of different tenants.
func (c *Controller) severalTenants() bool {
	return len(c.usage) > 1
}

// markDue makes a request whose hold is over wait for dispatchDue.
func (c *Controller) markDue(rs *requestState) {
	rs.due = true
	rs.heldUntil = c.now + minHold
	c.nextExpiry = min(c.nextExpiry, rs.nextExpiry())
}

// dispatchDue dispatches the requests whose hold is over while there is capacity.
// Without this order, a slot that becomes free during a slowdown would go to whoever
// sends the next request, and so mostly to the tenant that sends most.
func (c *Controller) dispatchDue(releases []Release) []Release {
	for c.slowdown.elevated() && c.severalTenants() && c.queue.waiting > 0 && c.hasCapacity() {
		rs := c.nextDue()
		if rs == nil {
			break
		}
		releases = c.admitQueued(rs, releases)
	}
	return releases
}

// nextDue returns the next request whose hold is over: one of the most important class
// and, within it, of the tenant with fewest slots relative to its weight. It returns
// nil if there is none.
func (c *Controller) nextDue() *requestState {
	for i := range c.queue.classes {
		var best *requestState
		for _, tq := range c.queue.classes[i].tenants {
			if best != nil && !tq.usage.holdsLess(best.usage) {
				continue
			}
			if rs := c.firstDue(tq); rs != nil {
				best = rs
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// othersDue reports whether a new request must wait for queued ones whose hold is over.
func (c *Controller) othersDue() bool {
	return c.severalTenants() && c.nextDue() != nil
}

// firstDue returns the first request of a tenant queue whose hold is over and which
// would still be answered before its deadline, or nil.
func (c *Controller) firstDue(tq *tenantQueue) *requestState {
	for _, rs := range tq.requests {
		if rs.due && c.finishesSlowed(rs) {
			return rs
		}
	}
	return nil
}

// holdsLess reports whether the tenant holds fewer slots than another, relative to
// their weights.
func (tu *tenantUsage) holdsLess(other *tenantUsage) bool {
	return tu.inFlight*other.weight < other.inFlight*tu.weight
}
