package bulrushnode

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Guards against shares that differ from the weights over a few requests, on
// one node and summed over nodes that all start at the same moment.
func TestTargetsKeepTheWeights(t *testing.T) {
	route := &bulrushcatalogue.HostRoute{Name: "r", Targets: []bulrushcatalogue.Target{
		{Service: "old", Weight: 90}, {Service: "new", Weight: 10},
	}}
	fleet := map[bulrushchute.Service]int{}
	const nodes, requests = 50, 20
	for n := range nodes {
		shares := newTargets(newRandom("node", string(rune('a'+n))))
		own := map[bulrushchute.Service]int{}
		for range requests {
			service := shares.next(route)
			own[service]++
			fleet[service]++
		}
		assert.Assert(t, math.Abs(float64(own["new"])-requests*0.1) <= 1, "%d of %d", own["new"], requests)
	}
	assert.Assert(t, math.Abs(float64(fleet["new"])/(nodes*requests)-0.1) < 0.03, "%d", fleet["new"])
}

// Guards against a target without weight that gets requests.
func TestTargetWithoutWeight(t *testing.T) {
	route := &bulrushcatalogue.HostRoute{Name: "r", Targets: []bulrushcatalogue.Target{{Service: "off"}, {Service: "on", Weight: 3}}}
	shares := newTargets(newRandom("node"))
	for range 20 {
		assert.Equal(t, shares.next(route), bulrushchute.Service("on"))
	}
}

// Guards against a repeated request that is taken for a fresh one, and against
// a nested call that is taken for a repeated one.
func TestPatience(t *testing.T) {
	outer := bulrushcatalogue.RequestPolicy{Route: "views", TimeoutMs: 1000, ObjectiveMs: 500}
	nested := bulrushcatalogue.RequestPolicy{Route: "checks", TimeoutMs: 500, ObjectiveMs: 150}
	p := newPatience()
	assert.Equal(t, p.waited(outer, 2000), bulrushchute.Millis(0))
	assert.Equal(t, p.waited(outer, 1700), bulrushchute.Millis(300))
	assert.Equal(t, p.waited(nested, 500), bulrushchute.Millis(0))
	assert.Equal(t, p.waited(nested, 200), bulrushchute.Millis(0))
	assert.Equal(t, p.waited(outer, 0), bulrushchute.Millis(0), "a caller that says nothing")
}
