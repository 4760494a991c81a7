package bulrushnode

import (
	"math/rand/v2"
	"sync"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// targetSelector divides the requests of each route among its target services
// in proportion to their weights.
type targetSelector struct {
	mutex   sync.Mutex
	random  *rand.Rand
	byRoute map[string]*roundRobin
}

// roundRobin implements smooth weighted round robin. Unlike random selection,
// it keeps the shares close to the weights even over a few requests.
type roundRobin struct {
	route          *bulrushcatalogue.HostRoute
	currentWeights []float64
	totalWeight    float64
}

func newTargetSelector(random *rand.Rand) *targetSelector {
	return &targetSelector{random: random, byRoute: make(map[string]*roundRobin)}
}

// next returns the target service for the next request of a route.
func (ts *targetSelector) next(route *bulrushcatalogue.HostRoute) bulrushchute.Service {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	ts.mutex.Lock()
	defer ts.mutex.Unlock()
	rr := ts.byRoute[route.Name]
	if rr == nil || rr.route != route {
		rr = newRoundRobin(route, ts.random)
		ts.byRoute[route.Name] = rr
	}
	return route.Targets[rr.next()].Service
}

// newRoundRobin starts at a random position. Otherwise, all nodes would send
// their first requests after a change to the target with the highest weight.
func newRoundRobin(route *bulrushcatalogue.HostRoute, random *rand.Rand) *roundRobin {
	rr := &roundRobin{route: route, currentWeights: make([]float64, len(route.Targets))}
	for _, target := range route.Targets {
		rr.totalWeight += target.Weight
	}
	start := random.Float64() * rr.totalWeight
	for i := 1; i < len(rr.currentWeights); i++ {
		rr.currentWeights[i] = start * route.Targets[i].Weight / rr.totalWeight
		rr.currentWeights[0] -= rr.currentWeights[i]
	}
	return rr
}

func (rr *roundRobin) next() int {
	best := -1
	for i, target := range rr.route.Targets {
		rr.currentWeights[i] += target.Weight
		if target.Weight > 0 && (best < 0 || rr.currentWeights[i] > rr.currentWeights[best]) {
			best = i
		}
	}
	rr.currentWeights[best] -= rr.totalWeight
	return best
}
