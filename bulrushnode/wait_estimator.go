package bulrushnode

import (
	"sync"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

const (
	// minTimeoutRatio is how many times longer than the route's timeout callers
	// must wait at least, for the time that they have left to tell something.
	// Calls of backend servers bring what is left of an outer request.
	minTimeoutRatio = 1.5
	// maxEstimatedRoutes bounds the routes of which the callers' patience is known.
	maxEstimatedRoutes = 4096
)

// waitEstimator infers how long a caller has been waiting. Callers of a route wait
// equally long in all and say how much of that is left, so one that has less
// left than others has been refused before.
type waitEstimator struct {
	mutex       sync.Mutex
	maxTimeouts map[string]bulrushchute.Millis
}

func newWaitEstimator() *waitEstimator {
	return &waitEstimator{maxTimeouts: make(map[string]bulrushchute.Millis)}
}

// waited returns how long the caller of a request seems to have been waiting.
func (we *waitEstimator) waited(policy bulrushcatalogue.RequestPolicy, remaining bulrushchute.Millis) bulrushchute.Millis {
	if remaining <= 0 || policy.ObjectiveMs <= 0 {
		return 0
	}
	we.mutex.Lock()
	defer we.mutex.Unlock()
	maxTimeout := max(we.maxTimeouts[policy.Route], remaining)
	if len(we.maxTimeouts) < maxEstimatedRoutes || we.maxTimeouts[policy.Route] > 0 {
		we.maxTimeouts[policy.Route] = maxTimeout
	}
	if float64(maxTimeout) < minTimeoutRatio*float64(policy.TimeoutMs) {
		return 0
	}
	return maxTimeout - remaining
}
