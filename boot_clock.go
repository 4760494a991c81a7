package bulrushchute

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock starts at the operating system's time and then follows the clock of
// the time since boot. Unlike a MonotonicClock it also advances while the machine
// is suspended, so a lease that lapsed meanwhile has also lapsed by this clock.
type BootClock struct {
	// offset is the system time minus the time since boot, at the start.
	offset Millis
}

// NewBootClock returns a clock that starts at the current system time.
func NewBootClock() *BootClock {
	return &BootClock{offset: WallClock{}.Now() - sinceBoot()}
}

// Now returns the system time at the start plus the time elapsed since.
func (bc *BootClock) Now() Millis {
	return bc.offset + sinceBoot()
}

func sinceBoot() Millis {
	var now unix.Timespec
	// The call fails only for an unknown clock or a bad pointer.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
	return MillisOf(time.Duration(now.Nano()))
}
