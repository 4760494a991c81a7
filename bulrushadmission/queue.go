package bulrushadmission

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// classWeights share the freed slots between classes that wait at the same
// time. Bulk keeps a small share, so that it is late but not starved.
var classWeights = [bulrushchute.ClassCount]int{16, 4, 1}

// Costs of a request for deficit round robin, in units of the server's average
// service time. They are bounded so that one round stays short.
const (
	minCost = 0.25
	maxCost = 8.0
)

// account is what one tenant holds of the backend server. It exists only while
// the tenant has work here, so the number of accounts is bounded.
type account struct {
	weight int
	// tickets counts the tenant's requests that have not ended.
	tickets  int
	inFlight int
}

// lane is one tenant's queue within a class.
type lane struct {
	tenant  bulrushchute.Tenant
	account *account
	tickets []*ticket
	deficit float64
}

// classQueue holds the waiting requests of one class.
type classQueue struct {
	lanes   []*lane
	waiting int
	// cursor is the lane whose turn it is, and granted tells whether it has got
	// the quantum of this turn.
	cursor  int
	granted bool
	// credit belongs to the weighted turns between classes.
	credit int
}

// waitQueue holds all waiting requests.
type waitQueue struct {
	classes [bulrushchute.ClassCount]classQueue
	waiting int
	// spare keeps an empty lane to save its allocation.
	spare []*lane
}

// push appends a ticket to its tenant's lane.
func (wq *waitQueue) push(t *ticket) {
	cq := &wq.classes[t.class()]
	l := cq.find(t.request.Tenant)
	if l == nil {
		l = wq.newLane(t)
		cq.lanes = append(cq.lanes, l)
	}
	l.tickets = append(l.tickets, t)
	cq.waiting++
	wq.waiting++
}

func (wq *waitQueue) newLane(t *ticket) *lane {
	l := &lane{}
	if last := len(wq.spare) - 1; last >= 0 {
		l = wq.spare[last]
		wq.spare = wq.spare[:last]
	}
	l.tenant = t.request.Tenant
	l.account = t.account
	l.deficit = 0
	return l
}

// remove takes a ticket out of the queue wherever it stands.
func (wq *waitQueue) remove(t *ticket) {
	cq := &wq.classes[t.class()]
	l := cq.find(t.request.Tenant)
	i := slices.Index(l.tickets, t)
	l.tickets = slices.Delete(l.tickets, i, i+1)
	cq.waiting--
	wq.waiting--
	if len(l.tickets) == 0 {
		cq.drop(l)
		wq.recycle(l)
	}
	if cq.waiting == 0 {
		cq.credit = 0
	}
}

// maxSpareLanes bounds the lanes that are kept for reuse.
const maxSpareLanes = 16

func (wq *waitQueue) recycle(l *lane) {
	l.account = nil
	if len(wq.spare) < maxSpareLanes {
		wq.spare = append(wq.spare, l)
	}
}

// next returns the ticket whose turn it is, without removing it. The queue
// must not be empty. Deficits are charged, so the ticket must be removed next.
func (wq *waitQueue) next(limit, activeWeight int) *ticket {
	return wq.nextClass().next(limit, activeWeight)
}

// nextClass gives turns to the waiting classes in proportion to their weights.
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

// leastImportant returns the least important class that waits and is less
// important than the given one, or nil.
func (wq *waitQueue) leastImportant(than int) *classQueue {
	for i := len(wq.classes) - 1; i > than; i-- {
		if wq.classes[i].waiting > 0 {
			return &wq.classes[i]
		}
	}
	return nil
}

// each calls visit for every waiting ticket. It must not change the queue.
func (wq *waitQueue) each(visit func(*ticket)) {
	for i := range wq.classes {
		for _, l := range wq.classes[i].lanes {
			for _, t := range l.tickets {
				visit(t)
			}
		}
	}
}

func (cq *classQueue) find(tenant bulrushchute.Tenant) *lane {
	for _, l := range cq.lanes {
		if l.tenant == tenant {
			return l
		}
	}
	return nil
}

// waitingOf returns the number of a tenant's requests that wait in the class.
func (cq *classQueue) waitingOf(tenant bulrushchute.Tenant) int {
	if l := cq.find(tenant); l != nil {
		return len(l.tickets)
	}
	return 0
}

// drop removes an empty lane and keeps the cursor on the lane it stood on.
func (cq *classQueue) drop(l *lane) {
	i := slices.Index(cq.lanes, l)
	cq.lanes = slices.Delete(cq.lanes, i, i+1)
	switch {
	case i < cq.cursor:
		cq.cursor--
	case i == cq.cursor:
		cq.granted = false
	}
	if cq.cursor >= len(cq.lanes) {
		cq.cursor = 0
	}
}

// next runs deficit round robin over the lanes. Lanes of tenants that hold
// their share of the slots are passed over while another tenant is below its own.
func (cq *classQueue) next(limit, activeWeight int) *ticket {
	anyBelow := slices.ContainsFunc(cq.lanes, func(l *lane) bool {
		return l.account.belowShare(limit, activeWeight)
	})
	for {
		l := cq.lanes[cq.cursor]
		if anyBelow && !l.account.belowShare(limit, activeWeight) {
			cq.advance()
			continue
		}
		if t := cq.serve(l); t != nil {
			return t
		}
		cq.advance()
	}
}

// serve returns the lane's first ticket if its deficit covers the cost.
func (cq *classQueue) serve(l *lane) *ticket {
	if !cq.granted {
		l.deficit += float64(l.account.weight)
		cq.granted = true
	}
	first := l.tickets[0]
	if l.deficit+rounding < first.cost {
		return nil
	}
	l.deficit -= first.cost
	return first
}

func (cq *classQueue) advance() {
	cq.cursor = (cq.cursor + 1) % len(cq.lanes)
	cq.granted = false
}

// heaviest returns the lane that holds most for its weight.
func (cq *classQueue) heaviest() *lane {
	var heaviest *lane
	for _, l := range cq.lanes {
		if heaviest == nil || l.pressure() > heaviest.pressure() {
			heaviest = l
		}
	}
	return heaviest
}

// youngest returns the last ticket of the heaviest lane, which has waited least.
func (cq *classQueue) youngest() *ticket {
	tickets := cq.heaviest().tickets
	return tickets[len(tickets)-1]
}

// pressure is the lane's length for its weight.
func (l *lane) pressure() float64 {
	return float64(len(l.tickets)) / float64(l.account.weight)
}

// belowShare reports whether the tenant holds less than its share of the slots.
// Shares are rounded up, so every tenant may hold at least one slot.
func (a *account) belowShare(limit, activeWeight int) bool {
	return a.inFlight*activeWeight < limit*a.weight
}
