package bulrushmove

// Progress is what the holder of a move knew at its last decision, for logs and
// metrics.
type Progress struct {
	Generation uint64 `json:"generation"`
	Epoch      uint64 `json:"epoch"`
	Stage      int    `json:"stage"`
	// Share is in basis points.
	Share int `json:"share_bp"`
	// Requests counts the reported requests of both versions, NewRequests those of
	// the new one and NewFailures its failures.
	Requests    int `json:"requests"`
	NewRequests int `json:"new_requests"`
	NewFailures int `json:"new_failures"`
	// Finding is the strongest evidence against the new version.
	Finding    string `json:"finding"`
	Suspicious bool   `json:"suspicious"`
	// RollbackReason says why the share must be 0, empty if there is no reason.
	RollbackReason string `json:"rollback_reason,omitempty"`
}

// Progress returns the state of the move as this holder knows it, or false if there
// is no move to judge.
func (c *Controller) Progress() (Progress, bool) {
	state, ok := c.store.current()
	if !ok || !needsJudging(state) {
		return Progress{}, false
	}
	requests, newRequests, newFailures := c.judge.totals()
	return Progress{
		Generation:     state.Generation,
		Epoch:          state.Epoch,
		Stage:          state.Stage,
		Share:          state.Share(),
		Requests:       int(requests),
		NewRequests:    int(newRequests),
		NewFailures:    int(newFailures),
		Finding:        c.judge.Finding().String(),
		Suspicious:     c.judge.Suspicious(),
		RollbackReason: c.rollbackReason,
	}, true
}

// totals returns the numbers of reported requests of both versions, of requests of
// the new version, and of its failures.
func (j *Judge) totals() (requests, newRequests, newFailures float64) {
	for _, evidence := range j.routes {
		requests += evidence.oldRequests + evidence.newRequests
		newRequests += evidence.newRequests
		newFailures += evidence.newFailures
	}
	return requests, newRequests, newFailures
}
