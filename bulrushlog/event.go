package bulrushlog

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// Budgets of one kind of event. They bound the lines of a node under any load.
const (
	eventsPerS = 20
	eventBurst = 60
)

// Events writes one line for each event of a kind, within the kind's budget.
// It is safe for concurrent use.
type Events struct {
	message string
	mutex   sync.Mutex
	limiter *rate.Limiter
	skipped int
}

// NewEvents returns events whose lines begin with a message.
func NewEvents(message string) *Events {
	return &Events{message: message, limiter: rate.NewLimiter(eventsPerS, eventBurst)}
}

// Log writes one event, with the number of those left out before it.
func (e *Events) Log(keysAndValues ...any) {
	skipped, allowed := e.allow()
	if !allowed {
		return
	}
	if skipped > 0 {
		keysAndValues = append(keysAndValues, "skipped", skipped)
	}
	klog.InfoSDepth(1, e.message, keysAndValues...)
}

func (e *Events) allow() (int, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.limiter.AllowN(time.Now(), 1) {
		e.skipped++
		return 0, false
	}
	skipped := e.skipped
	e.skipped = 0
	return skipped, true
}
