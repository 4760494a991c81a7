package bulrushnode

import (
	"sync"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

const (
	// patienceFactor is how many times longer than the route's timeout callers
	// must wait at least, for the time that they have left to tell something.
	// Calls of backend servers bring what is left of an outer request.
	patienceFactor = 1.5
	// maxPatienceRoutes bounds the routes of which the callers' patience is known.
	maxPatienceRoutes = 4096
)

// patience infers how long a caller has been waiting. Callers of a route wait
// equally long in all and say how much of that is left, so one that has less
// left than others has been refused before.
type patience struct {
	mutex   sync.Mutex
	longest map[string]bulrushchute.Millis
}

func newPatience() *patience {
	return &patience{longest: make(map[string]bulrushchute.Millis)}
}

// waited returns how long the caller of a request seems to have been waiting.
func (p *patience) waited(resolved bulrushcatalogue.RequestPolicy, left bulrushchute.Millis) bulrushchute.Millis {
	if left <= 0 || resolved.ObjectiveMs <= 0 {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	longest := max(p.longest[resolved.Route], left)
	if len(p.longest) < maxPatienceRoutes || p.longest[resolved.Route] > 0 {
		p.longest[resolved.Route] = longest
	}
	if float64(longest) < patienceFactor*float64(resolved.TimeoutMs) {
		return 0
	}
	return longest - left
}
