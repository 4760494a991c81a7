package bulrushstore

import (
	"context"

	"bulrushchute.example/bulrushchute"
)

// LeaseSettings describe one lease.
type LeaseSettings struct {
	// Name is the name of the lease's object, of kind leases.
	Name string
	// Holder is this node.
	Holder bulrushchute.InstanceID
	// Duration is how long one renewal lasts, from the time at which it was sent.
	Duration bulrushchute.Millis
	// RenewEvery is the time between two renewals.
	RenewEvery bulrushchute.Millis
	// Margin is how much longer than Duration a contender waits, to allow for
	// clocks that run at different rates.
	Margin bulrushchute.Millis
}

// Lease is one node's view of a lease that at most one node holds.
type Lease struct {
	store    bulrushchute.Store
	clock    bulrushchute.Clock
	settings LeaseSettings
}

// NewLease returns a lease that is not held.
func NewLease(store bulrushchute.Store, clock bulrushchute.Clock, settings LeaseSettings) *Lease {
	return &Lease{store: store, clock: clock, settings: settings}
}

// Step acquires or renews the lease if it can, and reports whether it is held.
func (l *Lease) Step(_ context.Context) (bool, error) { return false, nil }

// Held reports whether the lease is held at this instant, and its epoch.
func (l *Lease) Held() (uint64, bool) { return 0, false }

// Release gives the lease up so that another node may acquire it at once.
func (l *Lease) Release(_ context.Context) error { return nil }

// Run calls Step every RenewEvery until the context ends, then releases the
// lease. It calls changed on each change of epoch; 0 means not held.
func (l *Lease) Run(_ context.Context, _ func(epoch uint64)) error { return nil }
