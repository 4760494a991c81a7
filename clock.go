package bulrushchute

import (
	"time"
)

// Millis is a time in milliseconds. It serves both for instants, counted from
// the Unix epoch, and for spans between them.
type Millis int64

// Spans in common use.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Clock tells the current time.
type Clock interface {
	Now() Millis
}

// Duration converts a span to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts an instant to the standard library's type.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m))
}

// MillisOf converts a standard duration and drops any fraction of a millisecond.
func MillisOf(duration time.Duration) Millis {
	return Millis(duration / time.Millisecond)
}

// WallClock reads the operating system's clock.
type WallClock struct{}

// Now returns the current wall-clock time.
func (WallClock) Now() Millis {
	return Millis(time.Now().UnixMilli())
}

// MonotonicClock starts at the operating system's time and then follows its
// monotonic clock, so that steps of the time of day do not move it.
type MonotonicClock struct {
	start time.Time
}

// NewMonotonicClock returns a clock that shows the present time of day.
func NewMonotonicClock() *MonotonicClock {
	return &MonotonicClock{start: time.Now()}
}

// Now returns the time of day at the start plus the time that has passed since.
func (sc *MonotonicClock) Now() Millis {
	return Millis(sc.start.UnixMilli()) + MillisOf(time.Since(sc.start))
}

// ManualClock stands still until it is set, for tests and embedded runs.
// It is not safe for concurrent use.
type ManualClock struct {
	now Millis
}

// NewManualClock returns a clock that shows the given instant.
func NewManualClock(now Millis) *ManualClock {
	return &ManualClock{now: now}
}

// Now returns the instant that was last set.
func (mc *ManualClock) Now() Millis {
	return mc.now
}

// Advance moves the clock by a span and returns the new instant.
func (mc *ManualClock) Advance(span Millis) Millis {
	mc.now += span
	return mc.now
}
