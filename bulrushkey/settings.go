package bulrushkey

import (
	"fmt"

	"bulrushchute.example/bulrushchute"
)

// Settings are the times and sizes that all nodes of a fleet share. Lease and
// ClockSkew must be the same on every node, because a successor waits out the
// lease that it assumes of the old home.
type Settings struct {
	// Lease is how long an acknowledged heartbeat lets a home record new keys,
	// counted from the time at which the home sent it (key_lease_ms).
	Lease bulrushchute.Millis
	// ClockSkew bounds the difference between two nodes' clocks (clock_skew_ms).
	ClockSkew bulrushchute.Millis
	// Heartbeat is the time between two heartbeats to one lease monitor.
	Heartbeat bulrushchute.Millis
	// ProposeStep is how long a node leaves a change of the key map to each
	// node that ranks before it.
	ProposeStep bulrushchute.Millis
	// Retention is how long a key's record is kept, counted from its mint time
	// (key_retention_ms).
	Retention bulrushchute.Millis
	// MaxKeys and MaxBytes bound one home's record table.
	MaxKeys  int
	MaxBytes int
}

// DefaultSettings returns the settings of a fleet that names none.
func DefaultSettings() Settings {
	return Settings{
		Lease:       3 * bulrushchute.Second,
		ClockSkew:   250 * bulrushchute.Millisecond,
		Heartbeat:   bulrushchute.Second,
		ProposeStep: 2 * bulrushchute.Second,
		Retention:   10 * bulrushchute.Minute,
		MaxKeys:     100_000,
		MaxBytes:    64 << 20,
	}
}

// Validate reports the first setting that is not allowed as a
// *bulrushchute.FieldError.
func (s Settings) Validate() error {
	checks := []struct {
		field   string
		value   int64
		minimum int64
	}{
		{"heartbeat_ms", int64(s.Heartbeat), 1},
		{"key_lease_ms", int64(s.Lease), int64(s.Heartbeat) + 1},
		{"clock_skew_ms", int64(s.ClockSkew), 0},
		{"propose_step_ms", int64(s.ProposeStep), 1},
		{"key_retention_ms", int64(s.Retention), int64(s.Lease + 2*s.ClockSkew)},
		{"max_keys", int64(s.MaxKeys), 1},
		{"max_bytes", int64(s.MaxBytes), 1},
	}
	for _, c := range checks {
		if c.value < c.minimum {
			return &bulrushchute.FieldError{
				Field:   c.field,
				Value:   fmt.Sprint(c.value),
				Allowed: fmt.Sprintf("at least %d", c.minimum),
			}
		}
	}
	return nil
}

// since returns the mint time from which a new home may run keys when the old
// home stopped recording at or before now. The old home recorded keys minted
// up to ClockSkew after its own clock, which is at most ClockSkew after ours;
// the last millisecond separates the two inclusive ranges.
func (s Settings) since(now bulrushchute.Millis) bulrushchute.Millis {
	return now + 2*s.ClockSkew + 1
}

// leaseWait is how long a successor waits after the last promise. Each of the
// two clocks may be corrected by up to ClockSkew during the wait, in opposite
// directions.
func (s Settings) leaseWait() bulrushchute.Millis {
	return s.Lease + 2*s.ClockSkew
}
