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
	// KindRouting has one object, the routing table of the deployment.
	KindRouting Kind = "routing"
	// KindMoveOrders has one object for each service with an ordered move, named
	// after the service.
	KindMoveOrders Kind = "moveorders"
	// KindMoves has the state of each service's latest move, named after the
	// service.
	KindMoves Kind = "moves"
	// KindEvents has one object for each outcome of a move.
	KindEvents Kind = "events"
	// KindKeyMaps has one object for each service, named after it.
	KindKeyMaps Kind = "keymaps"
	// KindLeases has one lease for each shard of services. Its holder controls the
	// moves of these services.
	KindLeases Kind = "leases"
	// KindSeeds has one object for each data centre, with addresses of nodes
	// through which a new node joins.
	KindSeeds Kind = "seeds"
	// KindQuarantines has one object for each node process whose report of crashes
	// has quarantined contents.
	KindQuarantines Kind = "quarantines"

	// KindUsage has one object, the ledger of usage reports.
	KindUsage Kind = "usage"

	KindStatus Kind = "status"
)

// MaxObjectBytes is the largest value that the store accepts.
const MaxObjectBytes = 1 << 20

// Object is a versioned value in the store.
type Object struct {
	Kind Kind
	Name string
	// Version is the store's revision of the object, see StoreVersion. The versions of
	// all objects come from one increasing sequence.
	Version uint64
	// OperatorVersion is the version that the operator gave the object, 0 for
	// objects without one. An object never goes back to an earlier one.
	OperatorVersion uint64
	// Value is a JSON document.
	Value []byte
	// Unreadable is set if the stored value cannot be read, and Value is empty then. A
	// list has such an object as well, so that it does not pass for deleted.
	Unreadable bool
}

// WithValue returns a copy with the given value and the same version, as
// needed for a conditional update.
func (o Object) WithValue(value []byte) Object {
	o.Value = value
	return o
}

// eraShift is the number of bits of a version that hold the revision.
const eraShift = 40

// StoreVersion returns the version of a revision in an era of the store. A store
// that was restored from a copy begins a new era, in which it gives out earlier
// revisions again. Versions of a later era are greater than all those of earlier
// ones.
func StoreVersion(era, revision uint64) uint64 {
	return era<<eraShift | revision
}

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 {
	return version >> eraShift
}

// RevisionOf returns the store's own revision of a version.
func RevisionOf(version uint64) uint64 {
	return version & (1<<eraShift - 1)
}

// EraReporter is implemented by a Store that may be restored from a copy.
type EraReporter interface {
	// OnEra sets the function that is called with each era later than the first one
	// seen. The call must not block.
	OnEra(notify func(era uint64))
}

// StoreEvent is a change that a watch reports.
type StoreEvent struct {
	Object  Object
	Deleted bool
}

// Store is the platform's object store. Errors are matched with errors.As:
// *NotFoundError, *ExistsError, *ConflictError, *UnavailableError and
// *AmbiguousError.
type Store interface {
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind, and the revision from which a watch
	// misses no change.
	List(ctx context.Context, kind Kind) ([]Object, uint64, error)
	// Create stores an object if its name is not in use.
	Create(ctx context.Context, object Object) (Object, error)
	// Update replaces an object if its version is still that of the given one.
	Update(ctx context.Context, object Object) (Object, error)
	// Delete removes an object if its version is still that of the given one.
	Delete(ctx context.Context, object Object) error
	// Watch calls handle for each change after the revision, in order, until the
	// context ends or the connection is lost. The returned error is never nil.
	Watch(ctx context.Context, kind Kind, revision uint64, handle func(StoreEvent)) error
}

// StaleLister is implemented by a Store that can also list objects as they were
// some seconds ago, at less cost.
type StaleLister interface {
	// ListStale is like Store.List, but its result may be out of date.
	ListStale(ctx context.Context, kind Kind) ([]Object, uint64, error)
}
