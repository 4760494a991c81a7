package bulrushnode

import (
	"math/rand/v2"
	"sync"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// targets divides the requests of each route among its services in proportion
// to their weights.
type targets struct {
	mutex  sync.Mutex
	random *rand.Rand
	byName map[string]*rotation
}

// rotation is a smooth weighted round robin. It keeps the shares close to the
// weights also over a few requests, which random choice does not.
type rotation struct {
	route  *bulrushcatalogue.HostRoute
	credit []float64
	total  float64
}

func newTargets(random *rand.Rand) *targets {
	return &targets{random: random, byName: make(map[string]*rotation)}
}

// next returns the service for the next request of a route.
func (t *targets) next(route *bulrushcatalogue.HostRoute) bulrushchute.Service {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := t.byName[route.Name]
	if r == nil || r.route != route {
		r = newRotation(route, t.random)
		t.byName[route.Name] = r
	}
	return route.Targets[r.next()].Service
}

// newRotation starts at a random place. Otherwise all nodes would send their
// first requests after a change to the heaviest target.
func newRotation(route *bulrushcatalogue.HostRoute, random *rand.Rand) *rotation {
	r := &rotation{route: route, credit: make([]float64, len(route.Targets))}
	for _, target := range route.Targets {
		r.total += target.Weight
	}
	start := random.Float64() * r.total
	for i := 1; i < len(r.credit); i++ {
		r.credit[i] = start * route.Targets[i].Weight / r.total
		r.credit[0] -= r.credit[i]
	}
	return r
}

func (r *rotation) next() int {
	best := -1
	for i, target := range r.route.Targets {
		r.credit[i] += target.Weight
		if target.Weight > 0 && (best < 0 || r.credit[i] > r.credit[best]) {
			best = i
		}
	}
	r.credit[best] -= r.total
	return best
}
