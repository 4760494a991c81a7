package bulrushadmission

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// classWeights divides freed slots between classes that have queued requests at
// the same time. It is indexed by class. The bulk class keeps a small share, so
// that it is delayed but not starved.
var classWeights = [bulrushchute.ClassCount]int{16, 4, 1}

// Bounds on a request's cost for deficit round robin, in units of the server's
// average service time. They keep a round short.
const (
	minCost = 0.25
	maxCost = 8.0
)

// tenantUsage counts what one tenant uses of the backend server. It exists only
// while the tenant has unfinished requests, so the number of entries is
// bounded.
type tenantUsage struct {
	weight int
	// requests counts the tenant's requests that have not ended.
	requests int
	inFlight int
}

// tenantQueue is one tenant's FIFO queue within a class.
type tenantQueue struct {
	tenant   bulrushchute.Tenant
	usage    *tenantUsage
	recent   *recentUse
	requests []*requestState
	deficit  float64
}

// classQueue holds the queued requests of one class.
type classQueue struct {
	tenants []*tenantQueue
	waiting int
	// cursor is the index of the tenant queue whose turn it is. quantumGranted
	// is set once that queue has received the quantum of this turn.
	cursor         int
	quantumGranted bool
	// credit is the class's current weight in the smooth weighted round robin
	// between classes.
	credit int
	// recent is the recent use of the class's tenants, also of those without
	// queued requests.
	recent recentUses
}

// waitQueue holds all queued requests.
type waitQueue struct {
	classes [bulrushchute.ClassCount]classQueue
	waiting int
	// freeQueues holds empty tenant queues for reuse.
	freeQueues []*tenantQueue
}

// push appends a request to its tenant's queue.
func (wq *waitQueue) push(rs *requestState) {
	cq := &wq.classes[rs.effectiveClass()]
	tq := cq.findTenant(rs.request.Tenant)
	if tq == nil {
		tq = wq.newTenantQueue(rs)
		cq.tenants = append(cq.tenants, tq)
	}
	tq.requests = append(tq.requests, rs)
	cq.waiting++
	wq.waiting++
}

func (wq *waitQueue) newTenantQueue(rs *requestState) *tenantQueue {
	tq := &tenantQueue{}
	if last := len(wq.freeQueues) - 1; last >= 0 {
		tq = wq.freeQueues[last]
		wq.freeQueues = wq.freeQueues[:last]
	}
	tq.tenant = rs.request.Tenant
	tq.usage, tq.recent = rs.usage, rs.recent
	tq.deficit = 0
	return tq
}

// remove removes a request from any position in the queue.
func (wq *waitQueue) remove(rs *requestState) {
	cq := &wq.classes[rs.effectiveClass()]
	tq := cq.findTenant(rs.request.Tenant)
	i := slices.Index(tq.requests, rs)
	tq.requests = slices.Delete(tq.requests, i, i+1)
	cq.waiting--
	wq.waiting--
	if len(tq.requests) == 0 {
		cq.removeTenant(tq)
		wq.recycle(tq)
	}
	if cq.waiting == 0 {
		cq.credit = 0
	}
}

// maxFreeQueues limits the tenant queues kept for reuse.
const maxFreeQueues = 16

func (wq *waitQueue) recycle(tq *tenantQueue) {
	tq.usage, tq.recent = nil, nil
	if len(wq.freeQueues) < maxFreeQueues {
		wq.freeQueues = append(wq.freeQueues, tq)
	}
}

// next returns the request whose turn it is, without removing it. The queue
// must not be empty. The tenant's deficit is charged, so the caller must remove
// the request.
func (wq *waitQueue) next(limit, activeWeight int) *requestState {
	return wq.nextClass().next(limit, activeWeight)
}

// nextClass picks a class by smooth weighted round robin among those with
// queued requests.
func (wq *waitQueue) nextClass() *classQueue {
	var best *classQueue
	total := 0
	for i := range wq.classes {
		cq := &wq.classes[i]
		if cq.waiting == 0 {
			continue
		}
		cq.credit += classWeights[i]
		total += classWeights[i]
		if best == nil || cq.credit > best.credit {
			best = cq
		}
	}
	best.credit -= total
	return best
}

// leastImportantBelow returns the least important class that has queued requests
// and is less important than the given one, or nil. A class of -1 permits all.
func (wq *waitQueue) leastImportantBelow(class int) *classQueue {
	for i := len(wq.classes) - 1; i > class; i-- {
		if wq.classes[i].waiting > 0 {
			return &wq.classes[i]
		}
	}
	return nil
}

// each calls visit for every queued request. visit must not change the queue.
func (wq *waitQueue) each(visit func(*requestState)) {
	for i := range wq.classes {
		for _, tq := range wq.classes[i].tenants {
			for _, rs := range tq.requests {
				visit(rs)
			}
		}
	}
}

func (cq *classQueue) findTenant(tenant bulrushchute.Tenant) *tenantQueue {
	for _, tq := range cq.tenants {
		if tq.tenant == tenant {
			return tq
		}
	}
	return nil
}

// queuedBy returns the number of a tenant's queued requests in the class.
func (cq *classQueue) queuedBy(tenant bulrushchute.Tenant) int {
	if tq := cq.findTenant(tenant); tq != nil {
		return len(tq.requests)
	}
	return 0
}

// removeTenant removes an empty tenant queue and keeps the cursor on the same
// tenant.
func (cq *classQueue) removeTenant(tq *tenantQueue) {
	i := slices.Index(cq.tenants, tq)
	cq.tenants = slices.Delete(cq.tenants, i, i+1)
	switch {
	case i < cq.cursor:
		cq.cursor--
	case i == cq.cursor:
		cq.quantumGranted = false
	}
	if cq.cursor >= len(cq.tenants) {
		cq.cursor = 0
	}
}

// next runs deficit round robin over the tenant queues. Tenants that hold their
// fair share of the slots are skipped while another tenant is below its own. A
// tenant below its floor comes first, at no charge.
func (cq *classQueue) next(limit, activeWeight int) *requestState {
	if tq := cq.queueBelowFloor(); tq != nil {
		return tq.requests[0]
	}
	anyBelow := slices.ContainsFunc(cq.tenants, func(tq *tenantQueue) bool {
		return tq.usage.belowFairShare(limit, activeWeight)
	})
	for {
		tq := cq.tenants[cq.cursor]
		if anyBelow && !tq.usage.belowFairShare(limit, activeWeight) {
			cq.advanceCursor()
			continue
		}
		if rs := cq.serve(tq); rs != nil {
			return rs
		}
		cq.advanceCursor()
	}
}

// queueBelowFloor returns the first queue of a tenant below its floor, or nil.
func (cq *classQueue) queueBelowFloor() *tenantQueue {
	if len(cq.tenants) == 1 {
		return nil
	}
	for _, tq := range cq.tenants {
		if cq.recent.belowFloor(tq.recent) {
			return tq
		}
	}
	return nil
}

// serve returns the queue's first request if its deficit covers the cost.
func (cq *classQueue) serve(tq *tenantQueue) *requestState {
	if !cq.quantumGranted {
		tq.deficit += float64(tq.usage.weight)
		cq.quantumGranted = true
	}
	first := tq.requests[0]
	if tq.deficit+epsilon < first.cost {
		return nil
	}
	tq.deficit -= first.cost
	return first
}

func (cq *classQueue) advanceCursor() {
	cq.cursor = (cq.cursor + 1) % len(cq.tenants)
	cq.quantumGranted = false
}

// longestQueue returns the tenant queue that is longest relative to its weight.
func (cq *classQueue) longestQueue() *tenantQueue {
	var longest *tenantQueue
	for _, tq := range cq.tenants {
		if longest == nil || tq.weightedLength() > longest.weightedLength() {
			longest = tq
		}
	}
	return longest
}

// evictionCandidate returns the last request of the longest tenant queue, which
// has waited least.
func (cq *classQueue) evictionCandidate() *requestState {
	requests := cq.longestQueue().requests
	return requests[len(requests)-1]
}

// weightedLength is the queue's length relative to the tenant's weight.
func (tq *tenantQueue) weightedLength() float64 {
	return float64(len(tq.requests)) / float64(tq.usage.weight)
}

// belowFairShare reports whether the tenant holds less than its fair share of
// the slots. Shares are rounded up, so every tenant may hold at least one slot.
func (tu *tenantUsage) belowFairShare(limit, activeWeight int) bool {
	return tu.inFlight*activeWeight < limit*tu.weight
}
