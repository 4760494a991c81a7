package bulrushnode

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Guards against shares that deviate from the weights over a few requests, on
// one node and summed over nodes that all start at the same time.
func TestTargetsKeepTheWeights(t *testing.T) {
	route := &bulrushcatalogue.HostRoute{Name: "r", Targets: []bulrushcatalogue.Target{
		{Service: "old", Weight: 90}, {Service: "new", Weight: 10},
	}}
	total := map[bulrushchute.Service]int{}
	const nodes, requests = 50, 20
	for n := range nodes {
		selector := newTargetSelector(newRandom("node", string(rune('a'+n))))
		own := map[bulrushchute.Service]int{}
		for range requests {
			service := selector.next(route)
			own[service]++
			total[service]++
		}
		assert.Assert(t, math.Abs(float64(own["new"])-requests*0.1) <= 1, "%d of %d", own["new"], requests)
	}
	assert.Assert(t, math.Abs(float64(total["new"])/(nodes*requests)-0.1) < 0.03, "%d", total["new"])
}

// Guards against sending requests to a target with weight 0.
func TestTargetWithoutWeight(t *testing.T) {
	route := &bulrushcatalogue.HostRoute{Name: "r", Targets: []bulrushcatalogue.Target{{Service: "off"}, {Service: "on", Weight: 3}}}
	selector := newTargetSelector(newRandom("node"))
	for range 20 {
		assert.Equal(t, selector.next(route), bulrushchute.Service("on"))
	}
}

// Guards against taking a retried request for a new one, and a nested call for
// a retried one.
func TestWaitEstimator(t *testing.T) {
	outer := bulrushcatalogue.RequestPolicy{Route: "views", TimeoutMs: 1000, ObjectiveMs: 500}
	nested := bulrushcatalogue.RequestPolicy{Route: "checks", TimeoutMs: 500, ObjectiveMs: 150}
	we := newWaitEstimator()
	assert.Equal(t, we.waited(outer, 2000), bulrushchute.Millis(0))
	assert.Equal(t, we.waited(outer, 1700), bulrushchute.Millis(300))
	assert.Equal(t, we.waited(nested, 500), bulrushchute.Millis(0))
	assert.Equal(t, we.waited(nested, 200), bulrushchute.Millis(0))
	assert.Equal(t, we.waited(outer, 0), bulrushchute.Millis(0), "a caller that states no timeout")
}
