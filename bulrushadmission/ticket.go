package bulrushadmission

import (
	"math"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// ticket is one request that has not ended.
type ticket struct {
	request Request
	route   *route
	account *account
	// cost is charged to the tenant, see minCost.
	cost      float64
	offeredAt bulrushchute.Millis
	// expiresAt and expiry end the wait in the queue.
	expiresAt bulrushchute.Millis
	expiry    bulrushchute.Reason
	// heldUntil ends the wait for a better moment of the server's machine.
	heldUntil bulrushchute.Millis

	running      bool
	dispatchedAt bulrushchute.Millis
	// overdueAt is when an answer that has not come counts as slow.
	overdueAt bulrushchute.Millis
	overdue   bool
	cancelled bool
	// late is set when the objective could not be met even at once.
	late bool
	// paused is set when the node was paused meanwhile, so that the latency says
	// nothing about the server.
	paused bool
	// lowLoad is set when few others were in flight at dispatch and at the end.
	lowLoad bool
	// lastSlots is set when the request was started on one of the last slots.
	lastSlots bool
	// epoch tells answers to requests from before the last cut or cold start,
	// which say nothing about the present limit.
	epoch uint64
}

// class treats invalid classes as the least important one. A request that can
// no longer meet its objective gives way to those that can: it is worth less
// from now on, whenever it is answered.
func (t *ticket) class() int {
	class := int(t.request.Class)
	if t.late {
		class++
	}
	return min(class, bulrushchute.ClassCount-1)
}

// newTicket takes note of a request that is about to be queued or dispatched.
func (c *Controller) newTicket(request Request) *ticket {
	t := c.spareTicket()
	t.request = request
	t.route = c.routes.get(c.now, request.Route)
	t.account = c.account(request.Tenant)
	t.account.tickets++
	t.offeredAt = c.now
	t.cost = c.cost(t.route)
	t.late = request.Objective > 0 && t.route.learned() && float64(request.Objective) < lateShare*t.route.typicalMs
	c.tickets[request.ID] = t
	return t
}

func (c *Controller) spareTicket() *ticket {
	last := len(c.spare) - 1
	if last < 0 {
		return &ticket{}
	}
	t := c.spare[last]
	c.spare = c.spare[:last]
	return t
}

// lateShare is the part of a route's typical time that must be left.
const lateShare = 0.8

// maxSpareTickets bounds the tickets that are kept for reuse.
const maxSpareTickets = 256

// forget ends a ticket that is neither queued nor running any more.
func (c *Controller) forget(t *ticket) {
	delete(c.tickets, t.request.ID)
	t.account.tickets--
	c.dropAccount(t.request.Tenant, t.account)
	*t = ticket{}
	if len(c.spare) < maxSpareTickets {
		c.spare = append(c.spare, t)
	}
}

// account returns the tenant's account and opens it if needed.
func (c *Controller) account(tenant bulrushchute.Tenant) *account {
	if known, ok := c.accounts[tenant]; ok {
		return known
	}
	opened := c.spareAccount
	c.spareAccount = nil
	if opened == nil {
		opened = &account{}
	}
	opened.weight = c.weight(tenant)
	c.accounts[tenant] = opened
	c.activeWeight += opened.weight
	return opened
}

func (c *Controller) dropAccount(tenant bulrushchute.Tenant, a *account) {
	if a.tickets == 0 {
		delete(c.accounts, tenant)
		c.activeWeight -= a.weight
		*a = account{}
		c.spareAccount = a
	}
}

func (c *Controller) weight(tenant bulrushchute.Tenant) int {
	return max(1, c.weights[tenant])
}

// cost charges a request by the time for which its route usually holds a slot.
func (c *Controller) cost(r *route) float64 {
	if !r.learned() || c.serviceMs <= 0 {
		return 1
	}
	return max(minCost, min(maxCost, r.typicalMs/c.serviceMs))
}

// dispatch gives the ticket a slot.
func (c *Controller) dispatch(t *ticket) {
	c.running = append(c.running, t)
	c.cold.started(c.now)
	t.account.inFlight++
	t.running = true
	t.dispatchedAt = c.now
	t.lowLoad = len(c.running) <= c.lowLoad()
	t.lastSlots = len(c.running) > c.pacedSlots()
	t.epoch = c.epoch
	t.overdueAt = Never
	if t.route.learned() {
		t.overdueAt = c.now + bulrushchute.Millis(math.Ceil(t.route.slowMs()))
	}
	c.nextOverdue = min(c.nextOverdue, t.overdueAt)
}

// undispatch frees the ticket's slot.
func (c *Controller) undispatch(t *ticket) {
	i := slices.Index(c.running, t)
	last := len(c.running) - 1
	c.running[i] = c.running[last]
	c.running[last] = nil
	c.running = c.running[:last]
	t.account.inFlight--
}

// enqueue puts the ticket into its class's queue.
func (c *Controller) enqueue(t *ticket) {
	c.queue.push(t)
	c.nextExpiry = min(c.nextExpiry, t.nextExpiry())
}

// nextExpiry is when the ticket's wait may end next.
func (t *ticket) nextExpiry() bulrushchute.Millis {
	return min(t.expiresAt, t.heldUntil)
}

// admitQueued ends a ticket's wait with a slot.
func (c *Controller) admitQueued(t *ticket, releases []Release) []Release {
	c.queue.remove(t)
	c.dispatch(t)
	return append(releases, Release{ID: t.request.ID, Admitted: true, Waited: c.now - t.offeredAt})
}

// refuseQueued ends a ticket's wait without a slot.
func (c *Controller) refuseQueued(t *ticket, reason bulrushchute.Reason, releases []Release) []Release {
	c.queue.remove(t)
	release := Release{ID: t.request.ID, Refusal: c.refusal(reason), Waited: c.now - t.offeredAt}
	c.forget(t)
	return append(releases, release)
}
