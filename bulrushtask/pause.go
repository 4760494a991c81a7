package bulrushtask

import (
	"context"
	"time"
)

// Pause waits until the duration has elapsed or the context ends.
func Pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
