// Package bulrushusage counts requests of tenants and reports them to the platform.
package bulrushusage

import (
	"bulrushchute.example/bulrushchute"
)

// Settings configure the reports.
type Settings struct {
	WindowMs, LateMs, LeaseMs bulrushchute.Millis
}

// Window is the number of a window.
type Window = bulrushchute.UsageWindow

// Counts holds the number of requests of each tenant.
type Counts = bulrushchute.UsageCounts

// Total is the sum of the counts that have arrived for a window.
type Total struct {
	Counts            Counts
	Sources, Expected int
	Complete          bool
}
