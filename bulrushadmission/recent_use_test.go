package bulrushadmission

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Guards against memory that grows with the tenant names that callers choose, and
// against sums that drift from those of the entries.
func TestRecentUsesAreBounded(t *testing.T) {
	var uses recentUses
	for n := range 2000 {
		use := uses.recordOffer(bulrushchute.Millis(n), bulrushchute.Tenant(fmt.Sprint(n)), 1)
		uses.recordDispatch(bulrushchute.Millis(n), use, 1)
	}
	assert.Equal(t, len(uses.entries), maxRecentTenants)
	assert.Equal(t, len(uses.byTenant), maxRecentTenants)
	assert.Equal(t, uses.total.demand, float64(maxRecentTenants))
	uses.halve(2000 + 10*recentHalfLife)
	assert.Equal(t, len(uses.entries)+len(uses.byTenant), 0)
	assert.Equal(t, uses.total.demand, 0.0)
}

// Guards against a floor for the only tenant, one for tenants that are served as often
// as others, and one that grows without limit with the number of requests.
func TestFloor(t *testing.T) {
	type use struct{ demand, received float64 }
	cases := map[string]struct {
		first      use
		others     []use
		belowFloor bool
		share      float64
	}{
		"only tenant":           {first: use{100, 0}, share: minServedRatio},
		"as often as others":    {first: use{100, 50}, others: []use{{10, 5}, {10, 5}}, share: 0.25},
		"a tenth as often":      {first: use{100, 5}, others: []use{{100, 50}, {100, 50}}, belowFloor: true, share: 0.1},
		"less than one request": {first: use{2, 0}, others: []use{{2, 2}, {2, 2}}, share: 0.1},
		"many repeats":          {first: use{1e6, 10}, others: make([]use, 39), share: 0.1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var uses recentUses
			for i, u := range append([]use{tc.first}, tc.others...) {
				entry := uses.recordOffer(0, bulrushchute.Tenant(fmt.Sprint(i)), u.demand)
				uses.recordDispatch(0, entry, u.received)
			}
			assert.Equal(t, uses.belowFloor(uses.get("0")), tc.belowFloor)
			assert.Assert(t, uses.floorShare(uses.get("0"))-tc.share < epsilon)
			assert.Assert(t, tc.share-uses.floorShare(uses.get("0")) < epsilon)
		})
	}
}

// BenchmarkOfferManyTenants measures a request that is queued behind those of other
// tenants.
func BenchmarkOfferManyTenants(b *testing.B) {
	c := New(0, Settings{Limits: bulrushcatalogue.Limits{Slots: 1, Queue: 40, QueueMs: bulrushchute.Hour}})
	tenants := make([]bulrushchute.Tenant, 20)
	for i := range tenants {
		tenants[i] = bulrushchute.Tenant(fmt.Sprint("tenant", i))
	}
	running, lastID := attemptID(0), uint64(0)
	offer := func() {
		c.Offer(0, Request{ID: attemptID(lastID), Route: "r", Tenant: tenants[lastID%20], Deadline: 10 * bulrushchute.Hour})
		lastID++
	}
	for range 20 {
		offer()
	}
	b.ReportAllocs()
	for b.Loop() {
		offer()
		for _, release := range c.Done(0, running, answered) {
			running = release.ID
		}
	}
}
