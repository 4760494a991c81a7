package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

// totalQueueFactor bounds the waiting requests of all classes together, in
// multiples of one class's bound. Beyond it, more important work takes the
// place of less important work.
const totalQueueFactor = 2

// Parts of a route's typical time, and of a request's time left when offered,
// see workMs.
const (
	leastWork = 0.5
	mostWork  = 0.5
)

// Offer asks for a slot. A request with the id of one that has not ended is refused.
func (c *Controller) Offer(now bulrushchute.Millis, request Request) Decision {
	releases := c.begin(now)
	c.noteIdle()
	decision := c.decide(request)
	decision.Releases = c.finish(append(releases, decision.Releases...))
	return decision
}

func (c *Controller) decide(request Request) Decision {
	if reason, refused := c.closed(request); refused {
		return Decision{Refusal: c.refusal(reason)}
	}
	if c.queue.waiting == 0 && c.room() {
		c.dispatch(c.newTicket(request))
		return Decision{Verdict: Admitted}
	}
	return c.wait(request)
}

// closed gives the reasons for which a request is refused whatever the load.
func (c *Controller) closed(request Request) (bulrushchute.Reason, bool) {
	_, known := c.tickets[request.ID]
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

// wait queues the request unless it cannot be served in time or has no room.
func (c *Controller) wait(request Request) Decision {
	t := c.newTicket(request)
	reason, refused := c.hopeless(t)
	if refused {
		return c.refuseNew(t, reason)
	}
	victim, reason, room := c.makeRoom(t)
	if !room {
		return c.refuseNew(t, reason)
	}
	decision := Decision{Verdict: Queued}
	if victim != nil {
		decision.Releases = c.refuseQueued(victim, reason, nil)
	}
	c.enqueue(t)
	return decision
}

func (c *Controller) refuseNew(t *ticket, reason bulrushchute.Reason) Decision {
	refusal := c.refusal(reason)
	c.forget(t)
	return Decision{Refusal: refusal}
}

// hopeless sets the end of the ticket's wait and reports whether the expected
// wait is longer than that.
func (c *Controller) hopeless(t *ticket) (bulrushchute.Reason, bool) {
	latest := t.request.Deadline - t.workMs()
	t.expiresAt, t.expiry = latest, bulrushchute.ReasonDeadline
	if timeout := c.now + c.settings.Limits.QueueMs; timeout < latest {
		t.expiresAt, t.expiry = timeout, bulrushchute.ReasonQueueTimeout
	}
	t.heldUntil = c.holdUntil(t)
	wait, _ := c.drainMs(c.ahead(t) + 1)
	if t.expiresAt > c.now && c.now+bulrushchute.Millis(wait) <= t.expiresAt {
		return "", false
	}
	if t.expiry == bulrushchute.ReasonQueueTimeout {
		return bulrushchute.ReasonBusy, true
	}
	return bulrushchute.ReasonDeadline, true
}

// workMs returns the time that must be left before the deadline at dispatch.
// Under lasting overload a queue dispatches most work at the last moment, so
// this is the time in which nearly all answers come, but no more than half of
// what the caller allows.
func (t *ticket) workMs() bulrushchute.Millis {
	left := float64(t.request.Deadline - t.offeredAt)
	work := max(leastWork*t.route.typicalMs, min(t.route.upperMs, mostWork*left))
	return bulrushchute.Millis(work)
}

// ahead estimates how many waiting requests get a slot before the ticket. Other
// tenants and classes get their shares while the ticket's own predecessors are served.
func (c *Controller) ahead(t *ticket) float64 {
	class := t.class()
	inClass := c.queue.classes[class].ahead(t)
	total := inClass
	for i := range c.queue.classes {
		if i != class {
			share := (inClass + 1) * float64(classWeights[i]) / float64(classWeights[class])
			total += min(share, float64(c.queue.classes[i].waiting))
		}
	}
	return total
}

func (cq *classQueue) ahead(t *ticket) float64 {
	own := float64(cq.waitingOf(t.request.Tenant))
	total := own
	for _, l := range cq.lanes {
		if l.tenant != t.request.Tenant {
			share := (own + 1) * float64(l.account.weight) / float64(t.account.weight)
			total += min(share, float64(len(l.tickets)))
		}
	}
	return total
}

// makeRoom returns the waiting ticket that must make room for the new one, if
// any, with the reason for that, or false with the reason why there is no room.
func (c *Controller) makeRoom(t *ticket) (*ticket, bulrushchute.Reason, bool) {
	cq := &c.queue.classes[t.class()]
	if cq.waiting >= c.settings.Limits.Queue {
		return cq.displace(t)
	}
	if c.queue.waiting < totalQueueFactor*c.settings.Limits.Queue {
		return nil, "", true
	}
	if least := c.queue.leastImportant(t.class()); least != nil {
		return least.youngest(), bulrushchute.ReasonShed, true
	}
	return cq.displace(t)
}

// displace finds room within the class, which only a tenant that holds less
// than another for its weight can claim.
func (cq *classQueue) displace(t *ticket) (*ticket, bulrushchute.Reason, bool) {
	if cq.waiting == 0 {
		return nil, bulrushchute.ReasonBusy, false
	}
	own := cq.waitingOf(t.request.Tenant)
	heaviest := cq.heaviest()
	if float64(own+1)/float64(t.account.weight) < heaviest.pressure() {
		return cq.youngest(), bulrushchute.ReasonTenantLimit, true
	}
	if own == len(heaviest.tickets) && len(cq.lanes) > 1 {
		return nil, bulrushchute.ReasonTenantLimit, false
	}
	return nil, bulrushchute.ReasonBusy, false
}

// shedExcess refuses what cannot get a slot within the queue's time after the
// limit was cut.
func (c *Controller) shedExcess(releases []Release) []Release {
	return c.shedTo(c.queueCapacity(), releases)
}

// shedTo refuses waiting requests, least important first, beyond a number.
func (c *Controller) shedTo(most int, releases []Release) []Release {
	for c.queue.waiting > most {
		victim := c.queue.leastImportant(-1).youngest()
		releases = c.refuseQueued(victim, bulrushchute.ReasonShed, releases)
	}
	return releases
}

// queueCapacity is the number of requests that get a slot within the queue's time.
func (c *Controller) queueCapacity() int {
	total := totalQueueFactor * c.settings.Limits.Queue
	perRequest, known := c.drainMs(1)
	if !known || perRequest <= 0 {
		return total
	}
	// Compared as fractions, since a tiny time for each request overflows an int.
	return int(min(float64(total), float64(c.settings.Limits.QueueMs)/perRequest))
}
