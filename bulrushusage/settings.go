package bulrushusage

import (
	"strconv"

	"bulrushchute.example/bulrushchute"
)

// Window is the number of a window.
type Window = bulrushchute.UsageWindow

// Counts holds the number of requests of each tenant that began to run in a window.
type Counts = bulrushchute.UsageCounts

// WindowsKept is the number of windows that nodes and the ledger keep.
const WindowsKept = 24

// Lower bounds of the settings.
const (
	minWindow = bulrushchute.Second
	// minLate leaves a second after the 4 s that are reserved for the write to the
	// store and for repeats of the report.
	minLate = 5 * bulrushchute.Second
	// minLease is above the margin of 500 ms plus the call timeout of 1 s, so that a
	// renewed lease leaves time for calls.
	minLease = 2 * bulrushchute.Second
)

// Settings holds the settings of usage reports.
type Settings struct {
	// WindowMs is the length of a window.
	WindowMs bulrushchute.Millis
	// LateMs is the time after the end of a window by which its report is due.
	LateMs bulrushchute.Millis
	// LeaseMs is the duration of the lease of the duty.
	LeaseMs bulrushchute.Millis
}

// Validate returns a *bulrushchute.FieldError for the first value that is not
// allowed.
func (s Settings) Validate() error {
	bounds := []struct {
		field string
		value bulrushchute.Millis
		least bulrushchute.Millis
	}{
		{"reportWindowS", s.WindowMs, minWindow},
		{"usageLateS", s.LateMs, minLate},
		{"leaseS", s.LeaseMs, minLease},
	}
	for _, bound := range bounds {
		if bound.value < bound.least {
			return &bulrushchute.FieldError{
				Field:   bound.field,
				Value:   strconv.FormatInt(int64(bound.value), 10) + " ms",
				Allowed: "at least " + strconv.FormatInt(int64(bound.least), 10) + " ms",
			}
		}
	}
	return nil
}

// Total is the sum of the counts of all nodes in a window, as far as the holder
// knows them.
type Total struct {
	Counts Counts
	// Sources is the number of nodes whose counts are included, and Expected the
	// number of nodes that should be.
	Sources  int
	Expected int
	// Complete is set if the final counts of all expected nodes are included.
	Complete bool
}
