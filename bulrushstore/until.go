package bulrushstore

import (
	"bulrushchute.example/bulrushchute"
)

// Until returns the instant at which the lease ends unless it is renewed, and
// whether it is held now.
func (l *Lease) Until() (bulrushchute.Millis, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.epoch != 0 && l.clock.Now() < l.until
	return l.until, held
}
