package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

// totalQueueFactor limits the queued requests of all classes together, as a
// multiple of one class's limit. Beyond it, more important requests displace
// less important ones.
const totalQueueFactor = 2

// Factors used by serviceReserveMs: a share of the route's mean latency, and a
// share of the time that the request had left when it was offered.
const (
	minMeanShare    = 0.5
	maxTimeoutShare = 0.5
)

// Offer requests a slot. A request with the ID of one that has not ended is
// refused.
func (c *Controller) Offer(now bulrushchute.Millis, request Request) Decision {
	releases := c.beginEvent(now)
	c.rampAfterIdle()
	c.coldRate.observeTenant(c.now, request.Tenant)
	decision := c.decide(request)
	decision.Releases = c.endEvent(append(releases, decision.Releases...))
	return decision
}

func (c *Controller) decide(request Request) Decision {
	if reason, refused := c.unconditionalRefusal(request); refused {
		return Decision{Refusal: c.refusal(reason)}
	}
	if c.queue.waiting == 0 && c.canDispatch() {
		c.dispatch(c.register(request))
		return Decision{Verdict: Admitted}
	}
	return c.queueOrRefuse(request)
}

// unconditionalRefusal returns the reason for refusing a request regardless of
// load, if there is one.
func (c *Controller) unconditionalRefusal(request Request) (bulrushchute.Reason, bool) {
	_, known := c.requests[request.ID]
	switch {
	case c.draining:
		return bulrushchute.ReasonLeaving, true
	case c.withdrawn:
		return bulrushchute.ReasonWithdrawn, true
	case request.Deadline <= c.now:
		return bulrushchute.ReasonDeadline, true
	case known:
		return bulrushchute.ReasonMalformed, true
	default:
		return "", false
	}
}

// queueOrRefuse queues the request unless it cannot be served in time or the
// queue has no room for it.
func (c *Controller) queueOrRefuse(request Request) Decision {
	rs := c.register(request)
	reason, refused := c.planWait(rs)
	if refused {
		return c.refuseNew(rs, reason)
	}
	if rs.heldUntil <= c.now {
		if c.hasCapacity() && !c.othersDue() {
			c.dispatch(rs)
			return Decision{Verdict: Admitted}
		}
		if c.severalTenants() {
			c.markDue(rs)
		}
	}
	victim, reason, room := c.pickVictim(rs)
	if !room {
		return c.refuseNew(rs, reason)
	}
	decision := Decision{Verdict: Queued}
	if victim != nil {
		decision.Releases = c.refuseQueued(victim, reason, nil)
	}
	c.enqueue(rs)
	return decision
}

func (c *Controller) refuseNew(rs *requestState, reason bulrushchute.Reason) Decision {
	refusal := c.refusal(reason)
	c.unregister(rs)
	return Decision{Refusal: refusal}
}

// planWait sets when and why the request's wait expires. It returns a reason to
// refuse the request at once if it is not expected to get a slot by then.
func (c *Controller) planWait(rs *requestState) (bulrushchute.Reason, bool) {
	lastStart := rs.request.Deadline - rs.serviceReserveMs()
	rs.expiresAt, rs.expiryReason = lastStart, bulrushchute.ReasonDeadline
	if timeout := c.now + c.settings.Limits.QueueMs; timeout < lastStart {
		rs.expiresAt, rs.expiryReason = timeout, bulrushchute.ReasonQueueTimeout
	}
	rs.heldUntil = Never
	if c.slowdown.elevated() {
		plan := c.planHold(rs)
		if plan.refuse {
			return bulrushchute.ReasonSlow, true
		}
		rs.heldUntil = plan.until
	}
	ahead := c.queuedAhead(rs)
	if c.now+c.namedLimit.waitFor(c.now, int(ahead)+1) > rs.expiresAt {
		return bulrushchute.ReasonServerLimit, true
	}
	wait, _ := c.slotWaitMs(ahead + 1)
	if rs.expiresAt > c.now && c.now+bulrushchute.Millis(wait) <= rs.expiresAt {
		return "", false
	}
	if rs.expiryReason == bulrushchute.ReasonQueueTimeout {
		return bulrushchute.ReasonBusy, true
	}
	return bulrushchute.ReasonDeadline, true
}

// serviceReserveMs returns the time that must be left before the deadline at
// dispatch. Under sustained overload a queue dispatches most requests at the
// last moment, so this is the upper quantile of the route's latency, within
// which nearly all answers arrive. It is limited to half of the time that was
// left when the request was offered, but is at least half of the mean latency.
func (rs *requestState) serviceReserveMs() bulrushchute.Millis {
	remaining := float64(rs.request.Deadline - rs.offeredAt)
	reserve := max(minMeanShare*rs.baseline.meanMs, min(rs.baseline.upperQuantileMs, maxTimeoutShare*remaining))
	return bulrushchute.Millis(reserve)
}

// queuedAhead estimates how many queued requests get a slot before this one.
// Other tenants and classes get their shares while the requests ahead in its
// own queue are served.
func (c *Controller) queuedAhead(rs *requestState) float64 {
	class := rs.effectiveClass()
	inClass := c.queue.classes[class].queuedAhead(rs)
	total := inClass
	for i := range c.queue.classes {
		if i != class {
			share := (inClass + 1) * float64(classWeights[i]) / float64(classWeights[class])
			total += min(share, float64(c.queue.classes[i].waiting))
		}
	}
	return total
}

// queuedAhead estimates how many queued requests of the class get a slot before
// this one.
func (cq *classQueue) queuedAhead(rs *requestState) float64 {
	own := float64(cq.queuedBy(rs.request.Tenant))
	total := own
	for _, tq := range cq.tenants {
		if tq.tenant != rs.request.Tenant {
			share := (own + 1) * float64(tq.usage.weight) / float64(rs.usage.weight)
			total += min(share, float64(len(tq.requests)))
		}
	}
	if floor := cq.recent.floorShare(rs.recent); floor > 0 && total > own {
		total = min(total, max(own, (own+1)/floor))
	}
	return total
}

// pickVictim returns the queued request that must make room for the new one, if
// any, with the reason for its refusal. It returns false, with the reason for
// refusing the new request, if there is no room.
func (c *Controller) pickVictim(rs *requestState) (*requestState, bulrushchute.Reason, bool) {
	cq := &c.queue.classes[rs.effectiveClass()]
	if cq.waiting >= c.settings.Limits.Queue {
		return cq.pickTenantVictim(rs)
	}
	if c.queue.waiting < totalQueueFactor*c.settings.Limits.Queue {
		return nil, "", true
	}
	if lowest := c.queue.leastImportantBelow(rs.effectiveClass()); lowest != nil {
		return lowest.evictionCandidate(), bulrushchute.ReasonShed, true
	}
	return cq.pickTenantVictim(rs)
}

// pickTenantVictim is pickVictim for a class whose own queue is full. Only a
// tenant with fewer queued requests than another, relative to its weight, can
// displace one of the other's, and one below its floor that has none in the queue.
func (cq *classQueue) pickTenantVictim(rs *requestState) (*requestState, bulrushchute.Reason, bool) {
	if cq.waiting == 0 {
		return nil, bulrushchute.ReasonBusy, false
	}
	own := cq.queuedBy(rs.request.Tenant)
	longest := cq.longestQueue()
	if float64(own+1)/float64(rs.usage.weight) < longest.weightedLength() {
		return cq.evictionCandidate(), bulrushchute.ReasonTenantLimit, true
	}
	if own == 0 && cq.recent.belowFloor(rs.recent) {
		return cq.evictionCandidate(), bulrushchute.ReasonTenantLimit, true
	}
	if own == len(longest.requests) && len(cq.tenants) > 1 {
		return nil, bulrushchute.ReasonTenantLimit, false
	}
	return nil, bulrushchute.ReasonBusy, false
}

// shedExcess refuses the queued requests that cannot get a slot within the
// queue timeout after the limit was cut.
func (c *Controller) shedExcess(releases []Release) []Release {
	return c.shedTo(c.queueCapacity(), releases)
}

// shedTo sheds queued requests, least important first, until at most maxQueued
// are left.
func (c *Controller) shedTo(maxQueued int, releases []Release) []Release {
	for c.queue.waiting > maxQueued {
		victim := c.queue.leastImportantBelow(-1).evictionCandidate()
		releases = c.refuseQueued(victim, bulrushchute.ReasonShed, releases)
	}
	return releases
}

// queueCapacity returns the number of requests that can get a slot within the
// queue timeout.
func (c *Controller) queueCapacity() int {
	total := totalQueueFactor * c.settings.Limits.Queue
	if c.namedLimit.named {
		total = min(total, int(c.namedLimit.perS*float64(c.settings.Limits.QueueMs)/float64(bulrushchute.Second)))
	}
	perRequest, known := c.slotWaitMs(1)
	if !known || perRequest <= 0 {
		return total
	}
	// Compare as floats, since a tiny time per request would overflow an int.
	return int(min(float64(total), float64(c.settings.Limits.QueueMs)/perRequest))
}
