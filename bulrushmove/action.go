package bulrushmove

import (
	"bulrushchute.example/bulrushchute"
)

// Action is what a Controller wants done. Exactly one field is set.
type Action struct {
	Store *StoreCall
	// Publish is a share to be applied on this node and spread to all others.
	Publish *ShareRecord
}

// StoreOperation is a method of bulrushchute.Store.
type StoreOperation uint8

// Operations that a Controller uses.
const (
	StoreGet StoreOperation = iota
	StoreCreate
	StoreUpdate
)

// StoreCall is to be made once, without retries. Its result is handed back
// with Controller.Stored. An update is conditional on Object.Version.
type StoreCall struct {
	ID        uint64
	Operation StoreOperation
	Object    bulrushchute.Object
}

// StoreResult is the result of a StoreCall: the object that the store returned
// or the error.
type StoreResult struct {
	ID     uint64
	Object bulrushchute.Object
	Err    error
}

// Servers is how many backend servers of each version take work.
type Servers struct {
	Old int
	New int
}
