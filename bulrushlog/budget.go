package bulrushlog

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Budget bounds the lines of one kind and counts those left out. It is safe for
// concurrent use.
type Budget struct {
	mutex   sync.Mutex
	limiter *rate.Limiter
	skipped int
}

// NewBudget returns a budget of some lines a second after a burst.
func NewBudget(perS float64, burst int) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(perS), burst)}
}

// Take reports whether a line may be written, and how many were left out since
// the last one.
func (b *Budget) Take(now time.Time) (int, bool) {
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
