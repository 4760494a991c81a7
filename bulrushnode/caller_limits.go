package bulrushnode

import (
	"cmp"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcaller"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Limits on callers that apply where the routing table has none, and upper limits of those
// that it has.
const (
	defaultHeaderBytes   = 64 << 10
	maxBodyBytes         = 64 << 20
	defaultHeaderTimeout = 10 * bulrushchute.Second
	// defaultBodyTimeout applies to requests of unknown services.
	defaultBodyTimeout = 5 * bulrushchute.Second
)

const (
	// DefaultCallerMemory is used if the settings do not contain caller_memory_bytes. It
	// has room for a body of the maximum size that arrives in chunks.
	DefaultCallerMemory = 88 << 20
	minCallerMemory     = 1 << 20
	maxCallerMemory     = 16 << 30
)

func (s Settings) callerMemory() int64 {
	return cmp.Or(s.CallerMemoryBytes, DefaultCallerMemory)
}

// callerLimits returns the limits on callers that are in force.
func callerLimits(routing bulrushcatalogue.Routing) bulrushcaller.Limits {
	limits := routing.Callers
	return bulrushcaller.Limits{
		HeaderBytes:   defaultHeaderBytes,
		BodyBytes:     min(cmp.Or(limits.BodyBytes, maxBodyBytes), maxBodyBytes),
		HeaderTimeout: defaultHeaderTimeout,
	}
}
