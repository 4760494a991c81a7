package bulrushlog

import (
	"time"

	"k8s.io/klog/v2"
)

// Rate limit of each kind of event. It bounds the log volume of a node under any
// load.
const (
	eventsPerSecond = 20
	eventBurst      = 60
)

// EventLogger logs one line for each event of one kind, up to a rate limit. It is
// safe for concurrent use.
type EventLogger struct {
	message string
	limiter *Limiter
}

// NewEventLogger returns a logger whose lines have the given message.
func NewEventLogger(message string) *EventLogger {
	return &EventLogger{message: message, limiter: NewLimiter(eventsPerSecond, eventBurst)}
}

// Log logs one event, with the number of events skipped before it. Above the rate
// limit, it skips the event.
func (l *EventLogger) Log(keysAndValues ...any) {
	skipped, allowed := l.limiter.Allow(time.Now())
	if !allowed {
		return
	}
	if skipped > 0 {
		keysAndValues = append(keysAndValues, "skipped", skipped)
	}
	klog.InfoSDepth(1, l.message, keysAndValues...)
}
