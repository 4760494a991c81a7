package bulrushadmission

import (
	"math"

	"bulrushchute.example/bulrushchute"
)

const (
	// recentHalfLife is the time in which the weight of past requests halves. Within
	// it, a tenant with four requests a second has enough of them to be counted.
	recentHalfLife = 2 * bulrushchute.Second
	// maxRecentTenants limits the tenants of a class whose recent use is stored, and
	// recentReplaceChoices is the number of entries of which the one with the least
	// demand makes room for a new one.
	maxRecentTenants     = 256
	recentReplaceChoices = 8
	// negligibleDemand is the demand below which an entry is dropped.
	negligibleDemand = 1.0 / 16
	// minServedRatio is the least share of a tenant's requests that is served,
	// relative to that of all requests of the class. It is more than a quarter
	// because some of the requests that the floor lets in time out.
	minServedRatio = 0.3
	// maxFloorShares limits a floor to a number of equal shares. It is enough for a
	// tenant that asks for ten times as much as each of many others. Without a limit,
	// a tenant could raise its floor by repeating its requests.
	maxFloorShares = 4
)

// recentUse is what one tenant asked for and received recently within one class, in
// units of the cost of requests.
type recentUse struct {
	tenant   bulrushchute.Tenant
	demand   float64
	received float64
}

// recentUses gives each tenant a floor below equal shares.
//
// The load pattern: one tenant sends ten times as much as each of many others that ask
// for more than the server takes. With equal shares, it would be served a tenth as
// often as they are.
type recentUses struct {
	byTenant map[bulrushchute.Tenant]*recentUse
	// entries holds the same entries, which are replaced from hand on.
	entries  []*recentUse
	hand     int
	total    recentUse
	halvedAt bulrushchute.Millis
}

// halve halves all sums once for each half-life that has passed, and drops entries
// that have become negligible.
func (ru *recentUses) halve(now bulrushchute.Millis) {
	if now-ru.halvedAt < recentHalfLife {
		return
	}
	halvings := (now - ru.halvedAt) / recentHalfLife
	ru.halvedAt += halvings * recentHalfLife
	factor := math.Exp2(-float64(halvings))
	ru.total = recentUse{}
	kept := ru.entries[:0]
	for _, use := range ru.entries {
		use.demand = float64(use.demand * factor)
		use.received = float64(use.received * factor)
		if use.demand < negligibleDemand {
			delete(ru.byTenant, use.tenant)
			continue
		}
		ru.total.demand += use.demand
		ru.total.received += use.received
		kept = append(kept, use)
	}
	clear(ru.entries[len(kept):])
	ru.entries, ru.hand = kept, 0
}

// get returns the tenant's entry, which replaces that of another one if there is no
// room.
func (ru *recentUses) get(tenant bulrushchute.Tenant) *recentUse {
	if known, ok := ru.byTenant[tenant]; ok {
		return known
	}
	if ru.byTenant == nil {
		ru.byTenant = make(map[bulrushchute.Tenant]*recentUse)
	}
	created := &recentUse{tenant: tenant}
	ru.byTenant[tenant] = created
	if len(ru.entries) < maxRecentTenants {
		ru.entries = append(ru.entries, created)
		return created
	}
	i := ru.leastDemand()
	replaced := ru.entries[i]
	delete(ru.byTenant, replaced.tenant)
	ru.total.demand -= replaced.demand
	ru.total.received -= replaced.received
	ru.entries[i] = created
	return created
}

// leastDemand returns the index of the entry with the least demand among the next
// few.
func (ru *recentUses) leastDemand() int {
	least := ru.hand
	for range recentReplaceChoices {
		if ru.entries[ru.hand].demand < ru.entries[least].demand {
			least = ru.hand
		}
		ru.hand = (ru.hand + 1) % len(ru.entries)
	}
	return least
}

// recordOffer counts a request of a tenant, and returns the tenant's entry. The entry
// may be dropped from the table while it is in use.
func (ru *recentUses) recordOffer(now bulrushchute.Millis, tenant bulrushchute.Tenant, cost float64) *recentUse {
	ru.halve(now)
	use := ru.get(tenant)
	use.demand += cost
	ru.total.demand += cost
	return use
}

// recordDispatch counts a request that gets a slot.
func (ru *recentUses) recordDispatch(now bulrushchute.Millis, use *recentUse, cost float64) {
	ru.halve(now)
	use.received += cost
	ru.total.received += cost
}

// floorShare returns the least share of the class's slots that a tenant gets while it
// asks for as much as recently.
func (ru *recentUses) floorShare(use *recentUse) float64 {
	share := minServedRatio * use.demand / max(use.demand, ru.total.demand)
	return min(share, maxFloorShares/float64(max(1, len(ru.entries))))
}

// belowFloor reports whether a tenant has recently received less than its floor, by at
// least one request of average cost. It never has if it is the only one.
func (ru *recentUses) belowFloor(use *recentUse) bool {
	return use.received+1 < ru.floorShare(use)*ru.total.received
}
