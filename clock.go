package bulrushchute

import (
	"time"
)

// Millis is a time in milliseconds: either an instant, counted from the Unix
// epoch, or a duration.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Clock is a source of the current time.
type Clock interface {
	Now() Millis
}

// Duration converts a duration to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts an instant to the standard library's type.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m))
}

// MillisOf converts a standard duration, truncated to whole milliseconds.
func MillisOf(duration time.Duration) Millis {
	return Millis(duration / time.Millisecond)
}

// WallClock reads the operating system's clock.
type WallClock struct{}

// Now returns the current system time.
func (WallClock) Now() Millis {
	return Millis(time.Now().UnixMilli())
}

// MonotonicClock starts at the operating system's time and then follows its
// monotonic clock, so that steps of the system time do not affect it.
type MonotonicClock struct {
	start time.Time
}

// NewMonotonicClock returns a clock that starts at the current system time.
func NewMonotonicClock() *MonotonicClock {
	return &MonotonicClock{start: time.Now()}
}

// Now returns the system time at the start plus the time elapsed since.
func (mc *MonotonicClock) Now() Millis {
	return Millis(mc.start.UnixMilli()) + MillisOf(time.Since(mc.start))
}

// ManualClock is a clock for tests that changes only when it is advanced. It is
// not safe for concurrent use.
type ManualClock struct {
	now Millis
}

// NewManualClock returns a clock that starts at the given instant.
func NewManualClock(now Millis) *ManualClock {
	return &ManualClock{now: now}
}

// Now returns the clock's current instant.
func (mc *ManualClock) Now() Millis {
	return mc.now
}

// Advance moves the clock by a duration and returns the new instant.
func (mc *ManualClock) Advance(duration Millis) Millis {
	mc.now += duration
	return mc.now
}
