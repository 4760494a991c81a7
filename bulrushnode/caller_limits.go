package bulrushnode

import (
	"cmp"
	"syscall"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcaller"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Limits on callers that apply where the routing table has none, and upper limits of those
// that it has.
const (
	defaultHeaderBytes   = 64 << 10
	maxHeaderBytes       = 1 << 20
	maxBodyBytes         = 64 << 20
	defaultHeaderTimeout = 10 * bulrushchute.Second
	defaultIdleTimeout   = 5 * bulrushchute.Minute
	// defaultBodyTimeout applies to requests of unknown services.
	defaultBodyTimeout = 5 * bulrushchute.Second
)

const (
	// DefaultCallerMemory is used if the settings do not contain caller_memory_bytes. It
	// has room for a body of the maximum size that arrives in chunks.
	DefaultCallerMemory = 88 << 20
	minCallerMemory     = 1 << 20
	maxCallerMemory     = 16 << 30
	// DefaultMaxConnections is used if the settings do not contain max_caller_connections,
	// unless half of the descriptors are fewer. The others are for servers, nodes and the
	// store.
	DefaultMaxConnections = 2048
	maxMaxConnections     = 1 << 20
)

// otherMemory is what a node may take besides the memory of callers: answers, connections
// and its own state.
const otherMemory = 112 << 20

// MemoryLimit returns the memory, in bytes, above which the process should collect garbage at
// once. Without it, garbage may take as much again as what is in use.
func (s Settings) MemoryLimit() int64 {
	return otherMemory + s.callerMemory()
}

func (s Settings) callerMemory() int64 {
	return cmp.Or(s.CallerMemoryBytes, DefaultCallerMemory)
}

// callerLimits returns the limits on callers that are in force.
func callerLimits(routing bulrushcatalogue.Routing) bulrushcaller.Limits {
	limits := routing.Callers
	return bulrushcaller.Limits{
		HeaderBytes:   min(cmp.Or(limits.HeaderBytes, defaultHeaderBytes), maxHeaderBytes),
		BodyBytes:     min(cmp.Or(limits.BodyBytes, maxBodyBytes), maxBodyBytes),
		HeaderTimeout: cmp.Or(limits.HeaderTimeoutMs, defaultHeaderTimeout),
		IdleTimeout:   cmp.Or(limits.IdleTimeoutMs, defaultIdleTimeout),
	}
}

// maxCallerConnections returns the limit on the connections of callers.
func (s Settings) maxCallerConnections() int {
	if s.MaxCallerConnections > 0 {
		return s.MaxCallerConnections
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		// The default is safe on the machines that are known.
		return DefaultMaxConnections
	}
	return int(min(DefaultMaxConnections, max(1, limit.Cur/2)))
}
