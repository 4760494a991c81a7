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

// EventLogger writes one line for each event of a kind, within the kind's budget.
// It is safe for concurrent use.
type EventLogger struct {
	message string
	budget  *Limiter
}

// NewEventLogger returns events whose lines begin with a message.
func NewEventLogger(message string) *EventLogger {
	return &EventLogger{message: message, budget: NewLimiter(eventsPerS, eventBurst)}
}

// Log writes one event, with the number of those left out before it.
func (e *EventLogger) Log(keysAndValues ...any) {
	skipped, allowed := e.budget.Allow(time.Now())
	if !allowed {
		return
	}
	if skipped > 0 {
		keysAndValues = append(keysAndValues, "skipped", skipped)
	}
	klog.InfoSDepth(1, e.message, keysAndValues...)
}
