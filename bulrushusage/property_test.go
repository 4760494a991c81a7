package bulrushusage

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
)

// No sequence of faults may report more than tenants have used, and what living
// nodes have counted must be reported once they agree.
func TestPropertyTotalIsNeverTooHigh(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		dataCentres := rapid.IntRange(1, 3).Draw(r, "data centres")
		f := newFleet(rapid.Uint64().Draw(r, "seed"), rapid.IntRange(1, 40).Draw(r, "nodes"), dataCentres, 8)
		f.loss = rapid.Float64Range(0, 0.2).Draw(r, "loss")
		f.duplicate = rapid.Float64Range(0, 0.3).Draw(r, "duplicate")
		f.delay = bulrushchute.Millis(rapid.IntRange(0, 800).Draw(r, "delay"))
		f.viewDelay = bulrushchute.Millis(rapid.IntRange(0, 3000).Draw(r, "view delay"))
		killed := false
		pick := func() *fleetNode { return rapid.SampledFrom(f.order).Draw(r, "node") }
		// The first node of each data centre does not end, so that the others have a
		// successor.
		idle := func(n *fleetNode) bool { return !n.dead && !n.stopping && n != f.holder }
		mayEnd := func(n *fleetNode) bool {
			return idle(n) && !slices.Contains(f.order[:min(dataCentres, len(f.order))], n)
		}
		r.Repeat(map[string]func(*rapid.T){
			"run": func(r *rapid.T) {
				f.run(bulrushchute.Millis(rapid.IntRange(1, 40).Draw(r, "ticks"))*f.tick, 5)
			},
			"withdraw": func(*rapid.T) {
				if n := pick(); idle(n) {
					f.withdraw(n, f.tenants[1])
				}
			},
			"kill": func(*rapid.T) {
				if n := pick(); mayEnd(n) && rapid.IntRange(0, 3).Draw(r, "kill") == 0 {
					killed = true
					f.kill(n)
				}
			},
			"stop": func(*rapid.T) {
				if n := pick(); mayEnd(n) {
					f.stop(n)
				}
			},
			"join": func(*rapid.T) {
				f.add(pick().instance.DataCentre)
				f.spread(false)
			},
			"cut": func(*rapid.T) {
				if n := pick(); idle(n) && !n.cut {
					f.cut(n, 3000)
				}
			},
			"tenants": func(*rapid.T) {
				pick().collector.SetTenants(f.tenants[rapid.IntRange(0, 8).Draw(r, "first"):])
			},
			"holder": func(*rapid.T) {
				if n := pick(); idle(n) {
					f.setHolder(n)
				}
			},
			"": func(r *rapid.T) {
				for window := range f.began {
					assertAtMost(r, f.holder.collector.Total(window).Counts, f.began[window])
				}
			},
		})
		f.loss, f.duplicate = 0, 0
		f.run(15000, 0)
		for window, counts := range f.truth {
			total := f.holder.collector.Total(window)
			if !killed {
				assert.DeepEqual(r, total.Counts, counts)
			}
			assertAtMost(r, total.Counts, f.began[window])
		}
	})
}

func assertAtMost(r *rapid.T, got, limit Counts) {
	r.Helper()
	for tenant, count := range got {
		assert.Assert(r, count <= limit[tenant], "%s: %d of %d", tenant, count, limit[tenant])
	}
}

// withdraw counts a request and takes back one of the same tenant.
func (f *fleet) withdraw(n *fleetNode, tenant bulrushchute.Tenant) {
	f.count(n, tenant, 2)
	window := bulrushchute.UsageWindowOf(f.now+n.skew, testSettings.WindowMs)
	n.collector.Tick(f.now + n.skew)
	n.counter.Withdraw(window, tenant)
	f.truth[window][tenant]--
}
