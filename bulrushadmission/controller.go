package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

// Controller is the admission state machine of one backend server.
type Controller struct {
	settings Settings
}

// New returns a controller for a backend server that has not started yet as
// far as it knows, so its first requests go through the cold ramp.
func New(now bulrushchute.Millis, settings Settings) *Controller {
	return &Controller{settings: settings.withDefaults()}
}

// Offer asks for a slot. A request with the id of one that has not ended is refused.
func (c *Controller) Offer(now bulrushchute.Millis, request Request) Decision {
	return Decision{}
}

// Done ends an admitted request and frees its slot. Unknown ids are ignored,
// so a second report of the same end has no effect.
func (c *Controller) Done(now bulrushchute.Millis, id bulrushchute.AttemptID, result Result) []Release {
	return nil
}

// Cancel ends a queued request with a release of its own. A request that
// already holds a slot keeps it until Done, since the backend server may still
// be working on it.
func (c *Controller) Cancel(now bulrushchute.Millis, id bulrushchute.AttemptID) []Release {
	return nil
}

// Tick ends the waits that are over and takes note of overdue answers.
func (c *Controller) Tick(now bulrushchute.Millis) []Release {
	return nil
}

// NextTick returns the time of the next Tick that has anything to do, or Never.
func (c *Controller) NextTick() bulrushchute.Millis {
	return Never
}

// Never is returned by NextTick when nothing is due.
const Never = bulrushchute.Millis(1<<63 - 1)

// Load returns the backend server's load as sent with every answer.
func (c *Controller) Load() bulrushchute.Load {
	return bulrushchute.Load{}
}

// Waiting returns the number of queued requests in each class.
func (c *Controller) Waiting() [bulrushchute.ClassCount]int {
	return [bulrushchute.ClassCount]int{}
}

// Drain refuses new work from now on. Queued and admitted work finishes.
func (c *Controller) Drain(now bulrushchute.Millis) {
}

// Resume takes new work again after Drain.
func (c *Controller) Resume(now bulrushchute.Millis) {
}

// Empty reports whether no request is admitted or queued.
func (c *Controller) Empty() bool {
	return true
}

// Withdraw refuses new work while the data centre is withdrawn. Queued and
// admitted work finishes.
func (c *Controller) Withdraw(now bulrushchute.Millis, withdrawn bool) {
}

// SetSettings puts another version of the catalogue entry in force. Queued
// requests for which there is no room any more are refused.
func (c *Controller) SetSettings(now bulrushchute.Millis, settings Settings) []Release {
	return nil
}

// BackendStarted begins a new life of the backend server: the cold ramp starts
// again and what was learned of the former life is dropped.
func (c *Controller) BackendStarted(now bulrushchute.Millis, announcement Announcement) []Release {
	return nil
}

// Announce takes note of a running backend server's changed announcement.
func (c *Controller) Announce(now bulrushchute.Millis, announcement Announcement) []Release {
	return nil
}

// TakeProbe reports whether a probe of any kind may be sent now, and takes its
// token from the budget if so.
func (c *Controller) TakeProbe(now bulrushchute.Millis, kind ProbeKind) bool {
	return false
}

// ProbeCounts returns the number of probes sent of each kind.
func (c *Controller) ProbeCounts() [ProbeKindCount]uint64 {
	return [ProbeKindCount]uint64{}
}

// ObserveProbe takes note of the result of a probe.
func (c *Controller) ObserveProbe(now bulrushchute.Millis, report ProbeReport) []Release {
	return nil
}

// ConnectionLimit returns the number of connections that may be open to the
// backend server, for work and probes together.
func (c *Controller) ConnectionLimit() int {
	return 0
}
