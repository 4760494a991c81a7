package bulrushkey

import (
	"fmt"

	"bulrushchute.example/bulrushchute"
)

// Settings are the durations and limits that all nodes of a deployment share.
// Lease and ClockSkew must be equal on all nodes, because a successor waits for
// the lease of the old home to expire by its own settings.
type Settings struct {
	// Lease is how long a home may record new keys after it sent a heartbeat that
	// was acknowledged (key_lease_ms).
	Lease bulrushchute.Millis
	// ClockSkew is the largest difference between the clocks of two nodes
	// (clock_skew_ms).
	ClockSkew bulrushchute.Millis
	// Heartbeat is the interval between heartbeats to a lease monitor
	// (heartbeat_ms).
	Heartbeat bulrushchute.Millis
	// ProposeStep is how long a node waits, for each node that ranks before it,
	// before it proposes a change of the key map (propose_step_ms).
	ProposeStep bulrushchute.Millis
	// Retention is how long a key's record is kept after the key's mint time
	// (key_retention_ms).
	Retention bulrushchute.Millis
	// MaxKeys and MaxBytes limit the Table of one home (max_keys and max_bytes).
	MaxKeys  int
	MaxBytes int
}

// DefaultSettings returns the default settings.
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

// Validate returns a *bulrushchute.FieldError for the first setting that is below
// its minimum.
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

// earliestMint returns the mint time from which a new home may run keys if the
// old home stopped recording at or before now. The old home recorded keys minted
// up to ClockSkew after its own clock, which is at most ClockSkew ahead of this
// node's. Both limits are inclusive, so one millisecond more separates them.
func (s Settings) earliestMint(now bulrushchute.Millis) bulrushchute.Millis {
	return now + 2*s.ClockSkew + 1
}

// leaseExpiryWait returns how long a successor waits after a majority of promises
// or after the loss of the home's data centre was declared. Each of the two clocks
// may be corrected by up to ClockSkew during the wait, in opposite directions.
func (s Settings) leaseExpiryWait() bulrushchute.Millis {
	return s.Lease + 2*s.ClockSkew
}
