package bulrushmove

import (
	"bulrushchute.example/bulrushchute"
)

// Action is a side effect requested by a Controller. Exactly one field is set.
type Action struct {
	Store *StoreCall
	// Publish is a share to apply on this node and spread to all others.
	Publish *ShareRecord
}

// StoreOperation identifies a method of bulrushchute.Store.
type StoreOperation uint8

// Operations used by a Controller.
const (
	StoreGet StoreOperation = iota
	StoreCreate
	StoreUpdate
)

// StoreCall is a store call to make once, without retries. Its result is passed
// to Controller.HandleStoreResult. An update is conditional on Object.Version.
type StoreCall struct {
	ID        uint64
	Operation StoreOperation
	Object    bulrushchute.Object
}

// StoreResult is the result of a StoreCall: the object returned by the store, or
// an error.
type StoreResult struct {
	ID     uint64
	Object bulrushchute.Object
	Err    error
}

// ServerCounts holds the number of backend servers of each version that accept
// requests.
type ServerCounts struct {
	Old int
	New int
	// Candidates are the backend servers of the new version that may receive its
	// share before it gets all requests. Their order is the same on all nodes.
	Candidates []bulrushchute.InstanceID
}
