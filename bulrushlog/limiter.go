package bulrushlog

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limiter bounds the lines of one kind and counts those left out. It is safe for
// concurrent use.
type Limiter struct {
	mutex   sync.Mutex
	limiter *rate.Limiter
	skipped int
}

// NewLimiter returns a budget of some lines a second after a burst.
func NewLimiter(perS float64, burst int) *Limiter {
	return &Limiter{limiter: rate.NewLimiter(rate.Limit(perS), burst)}
}

// Allow reports whether a line may be written, and how many were left out since
// the last one.
func (b *Limiter) Allow(now time.Time) (int, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.limiter.AllowN(now, 1) {
		b.skipped++
		return 0, false
	}
	skipped := b.skipped
	b.skipped = 0
	return skipped, true
}
