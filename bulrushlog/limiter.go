package bulrushlog

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limiter limits the rate of log lines of one kind and counts the skipped ones.
// It is safe for concurrent use.
type Limiter struct {
	mutex   sync.Mutex
	bucket  *rate.Limiter
	skipped int
}

// NewLimiter returns a limiter that allows a burst of lines and then perSecond
// lines a second.
func NewLimiter(perSecond float64, burst int) *Limiter {
	return &Limiter{bucket: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Allow reports whether a line may be written. If so, it also returns the number
// of lines skipped since the last one.
func (l *Limiter) Allow(now time.Time) (int, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.bucket.AllowN(now, 1) {
		l.skipped++
		return 0, false
	}
	skipped := l.skipped
	l.skipped = 0
	return skipped, true
}
