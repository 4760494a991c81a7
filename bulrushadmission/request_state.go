package bulrushadmission

import (
	"math"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// requestState is the state of one request that has not ended.
type requestState struct {
	request  Request
	baseline *routeBaseline
	usage    *tenantUsage
	recent   *recentUse
	// cost is charged against the tenant's deficit, in units of the server's
	// average service time.
	cost      float64
	offeredAt bulrushchute.Millis
	// expiresAt is when the wait in the queue ends, and expiryReason the reason
	// for the refusal then.
	expiresAt    bulrushchute.Millis
	expiryReason bulrushchute.Reason
	// heldUntil is when the hold during a transient slowdown ends.
	heldUntil bulrushchute.Millis
	// due is set when the hold is over and the request waits for a slot during the
	// slowdown.
	due bool

	running      bool
	dispatchedAt bulrushchute.Millis
	// overdueAt is when a missing answer counts as slow.
	overdueAt bulrushchute.Millis
	overdue   bool
	cancelled bool
	// slowdownFactor is the slowdown of the server's machine at dispatch, as a
	// multiple of its baseline.
	slowdownFactor float64
	// missesObjective is set when the objective could not be met even by
	// dispatching the request at once.
	missesObjective bool
	// nodePaused is set when the node was paused during the request, so that
	// the latency says nothing about the server.
	nodePaused bool
	// lowLoad is set when few other requests were in flight at dispatch and at
	// the end.
	lowLoad bool
	// onLastSlots is set when the request was dispatched to one of the last
	// slots.
	onLastSlots bool
	// epoch is Controller.epoch at dispatch. If that has changed since, the answer
	// says nothing about the current limit.
	epoch uint64
}

// effectiveClass returns the class in which the request is queued. A request
// that can no longer meet its objective is demoted by one class in favour of
// those that can, since its answer no longer has its full value, whenever it
// comes. Invalid classes count as the least important one.
func (rs *requestState) effectiveClass() int {
	class := int(rs.request.Class)
	if rs.missesObjective {
		class++
	}
	return min(class, bulrushchute.ClassCount-1)
}

// register records a request that is about to be queued or dispatched.
func (c *Controller) register(request Request) *requestState {
	rs := c.newState()
	rs.request = request
	rs.baseline = c.baselines.get(c.now, request.Route)
	rs.usage = c.usageOf(request.Tenant)
	rs.usage.requests++
	rs.offeredAt = c.now
	rs.cost = c.cost(rs.baseline)
	rs.missesObjective = request.Objective > 0 && rs.baseline.established() && float64(request.Objective) < minObjectiveShare*rs.baseline.meanMs
	rs.recent = c.queue.classes[rs.effectiveClass()].recent.recordOffer(c.now, request.Tenant, rs.cost)
	c.requests[request.ID] = rs
	return rs
}

func (c *Controller) newState() *requestState {
	last := len(c.freeStates) - 1
	if last < 0 {
		return &requestState{}
	}
	rs := c.freeStates[last]
	c.freeStates = c.freeStates[:last]
	return rs
}

// minObjectiveShare is the part of a route's mean latency that must be left for
// a request to still meet its objective.
const minObjectiveShare = 0.8

// maxFreeStates limits the request states kept for reuse.
const maxFreeStates = 256

// unregister removes a request that is neither queued nor running any more.
func (c *Controller) unregister(rs *requestState) {
	delete(c.requests, rs.request.ID)
	rs.usage.requests--
	c.dropUsage(rs.request.Tenant, rs.usage)
	*rs = requestState{}
	if len(c.freeStates) < maxFreeStates {
		c.freeStates = append(c.freeStates, rs)
	}
}

// usageOf returns the tenant's usage entry, which it creates if needed.
func (c *Controller) usageOf(tenant bulrushchute.Tenant) *tenantUsage {
	if known, ok := c.usage[tenant]; ok {
		return known
	}
	created := c.freeUsage
	c.freeUsage = nil
	if created == nil {
		created = &tenantUsage{}
	}
	created.weight = c.weight(tenant)
	c.usage[tenant] = created
	c.activeWeight += created.weight
	return created
}

// dropUsage removes the tenant's usage entry if no request is left.
func (c *Controller) dropUsage(tenant bulrushchute.Tenant, tu *tenantUsage) {
	if tu.requests == 0 {
		delete(c.usage, tenant)
		c.activeWeight -= tu.weight
		*tu = tenantUsage{}
		c.freeUsage = tu
	}
}

func (c *Controller) weight(tenant bulrushchute.Tenant) int {
	return max(1, c.weights[tenant])
}

// cost returns a request's cost, based on how long requests on its route
// usually hold a slot.
func (c *Controller) cost(rb *routeBaseline) float64 {
	if !rb.established() || c.serviceMs <= 0 {
		return 1
	}
	return max(minCost, min(maxCost, rb.meanMs/c.serviceMs))
}

// dispatch assigns a slot to the request.
func (c *Controller) dispatch(rs *requestState) {
	c.running = append(c.running, rs)
	c.coldRate.recordDispatch(c.now)
	c.namedLimit.recordDispatch(c.now)
	c.queue.classes[rs.effectiveClass()].recent.recordDispatch(c.now, rs.recent, rs.cost)
	rs.usage.inFlight++
	rs.running = true
	rs.dispatchedAt = c.now
	rs.slowdownFactor = c.slowdown.factor()
	rs.lowLoad = len(c.running) <= c.lowLoadThreshold()
	rs.onLastSlots = len(c.running) > c.softSlots()
	rs.epoch = c.epoch
	rs.overdueAt = Never
	if rs.baseline.established() {
		rs.overdueAt = c.now + bulrushchute.Millis(math.Ceil(rs.baseline.slowThresholdMs()))
	}
	c.nextOverdue = min(c.nextOverdue, rs.overdueAt)
}

// freeSlot returns the request's slot.
func (c *Controller) freeSlot(rs *requestState) {
	i := slices.Index(c.running, rs)
	last := len(c.running) - 1
	c.running[i] = c.running[last]
	c.running[last] = nil
	c.running = c.running[:last]
	rs.usage.inFlight--
}

// enqueue adds the request to its class's queue.
func (c *Controller) enqueue(rs *requestState) {
	c.queue.push(rs)
	c.nextExpiry = min(c.nextExpiry, rs.nextExpiry())
}

// nextExpiry returns the earliest time at which the request's wait may end.
func (rs *requestState) nextExpiry() bulrushchute.Millis {
	return min(rs.expiresAt, rs.heldUntil)
}

// admitQueued ends a queued request's wait with a slot.
func (c *Controller) admitQueued(rs *requestState, releases []Release) []Release {
	c.queue.remove(rs)
	c.dispatch(rs)
	return append(releases, Release{ID: rs.request.ID, Admitted: true, Waited: c.now - rs.offeredAt})
}

// refuseQueued ends a queued request's wait without a slot.
func (c *Controller) refuseQueued(rs *requestState, reason bulrushchute.Reason, releases []Release) []Release {
	c.queue.remove(rs)
	release := Release{ID: rs.request.ID, Refusal: c.refusal(reason), Waited: c.now - rs.offeredAt}
	c.unregister(rs)
	return append(releases, release)
}
