package bulrushlog

import (
	"time"

	"k8s.io/klog/v2"
)

// The budget of one kind of event. It bounds the lines of a node under any load.
const (
	eventsPerS = 20
	eventBurst = 60
)

// Events writes one line for each event of a kind, within the kind's budget.
// It is safe for concurrent use.
type Events struct {
	message string
	budget  *Budget
}

// NewEvents returns events whose lines begin with a message.
func NewEvents(message string) *Events {
	return &Events{message: message, budget: NewBudget(eventsPerS, eventBurst)}
}

// Log writes one event, with the number of those left out before it.
func (e *Events) Log(keysAndValues ...any) {
	skipped, allowed := e.budget.Take(time.Now())
	if !allowed {
		return
	}
	if skipped > 0 {
		keysAndValues = append(keysAndValues, "skipped", skipped)
	}
	klog.InfoSDepth(1, e.message, keysAndValues...)
}
