package bulrushnode

import (
	"sync"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

const (
	// minTimeoutRatio is the lowest ratio of the callers' timeout to the route's
	// timeout at which the remaining time indicates how long a caller has waited.
	// Below it, the callers may be backend servers, whose calls have only what is
	// left of an outer request.
	minTimeoutRatio = 1.5
	// maxEstimatedRoutes limits the number of routes whose callers' timeout is
	// stored.
	maxEstimatedRoutes = 4096
)

// waitEstimator estimates how long a caller has been waiting. The callers of a
// route use the same total timeout and state how much of it is left, so one
// that has less left than others has been refused before.
type waitEstimator struct {
	mutex       sync.Mutex
	maxTimeouts map[string]bulrushchute.Millis
}

func newWaitEstimator() *waitEstimator {
	return &waitEstimator{maxTimeouts: make(map[string]bulrushchute.Millis)}
}

// waited returns the estimated time for which the caller of a request has been
// waiting.
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
