package bulrushchute

import (
	"context"
)

// Kind names a collection of objects in the store.
type Kind string

// Kinds of objects.
const (
	KindServices    Kind = "services"
	KindDataCentres Kind = "datacentres"
	// KindRouting holds one object, the routing table of the deployment.
	KindRouting Kind = "routing"
	// KindMoveOrders holds an order for a move of a service, named after it.
	KindMoveOrders Kind = "moveorders"
	KindMoves      Kind = "moves"
	KindEvents     Kind = "events"
	KindKeyMaps    Kind = "keymaps"
	KindLeases     Kind = "leases"
	KindSeeds      Kind = "seeds"
	KindStatus     Kind = "status"
)

// MaxObjectBytes is the largest value that the store accepts.
const MaxObjectBytes = 1 << 20

// Object is a versioned value in the store.
type Object struct {
	Kind Kind
	Name string
	// Version is the store's revision of the object. Revisions of all objects
	// come from one sequence that only grows.
	Version uint64
	// Value is a JSON document.
	Value []byte
}

// WithValue returns a copy with another value and the same version, as
// needed for a conditional update.
func (o Object) WithValue(value []byte) Object {
	o.Value = value
	return o
}

// StoreEvent is a change seen by a watch.
type StoreEvent struct {
	Object  Object
	Deleted bool
}

// Store is the platform's object store. Errors are matched with errors.As:
// *NotFoundError, *ExistsError, *ConflictError, *UnavailableError and
// *AmbiguousError.
type Store interface {
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind and the revision at which to start a
	// watch that misses nothing.
	List(ctx context.Context, kind Kind) ([]Object, uint64, error)
	// Create stores an object whose name is not yet in use.
	Create(ctx context.Context, object Object) (Object, error)
	// Update replaces an object if its version is still the given one.
	Update(ctx context.Context, object Object) (Object, error)
	// Delete removes an object if its version is still the given one.
	Delete(ctx context.Context, object Object) error
	// Watch calls handle for each change after the revision, in order, until the
	// context ends or the connection is lost. It always returns an error.
	Watch(ctx context.Context, kind Kind, revision uint64, handle func(StoreEvent)) error
}

// StaleLister is a Store that also lists objects as they were some seconds ago,
// which costs it less.
type StaleLister interface {
	// ListStale is Store.List with a result that may be old.
	ListStale(ctx context.Context, kind Kind) ([]Object, uint64, error)
}
