package bulrushkey

import (
	"bulrushchute.example/bulrushchute"
)

// Member is an instance of the service whose key map a Controller keeps.
type Member struct {
	ID         bulrushchute.InstanceID
	DataCentre bulrushchute.DataCentre
	State      bulrushchute.InstanceState
	// Monitors are the instance's overlay neighbours, nearest first. Only the
	// first MaxMonitors are used.
	Monitors []LeaseMonitor
}

// eligible reports whether the member may become a home or propose a change.
func (m Member) eligible() bool {
	return m.State == bulrushchute.StateReady || m.State == bulrushchute.StateCold
}

// Action is a step that the node takes for a Controller. Exactly one of
// Heartbeat, PromiseAsk, Write and Read is set.
type Action struct {
	// To receives Heartbeat or PromiseAsk.
	To         bulrushchute.InstanceID
	Heartbeat  *bulrushchute.Heartbeat
	PromiseAsk *bulrushchute.PromiseAsk
	// Write asks for one conditional write. The node reports its end with Wrote.
	Write *Write
	// Read asks for the key map's object. The node reports its end with WasRead.
	Read bool
}

// Write is one conditional write of a key map. The node sends it once and
// does not repeat it.
type Write struct {
	// Create is set when the object must not exist yet. Otherwise the update is
	// conditional on Object.Version.
	Create bool
	Object bulrushchute.Object
}

// Permit says which new keys of a partition this node may record. It stays
// valid for keys minted up to the clock skew after At, even if the node freezes
// before it uses the permit.
type Permit struct {
	// At is the instant for which the permit was given.
	At bulrushchute.Millis
	// Home is set when the key map names this node as the partition's home.
	Home bool
	// Lease is set when the node holds its lease for the partition.
	Lease bool
	// Since is the earliest mint time that this home may run.
	Since bulrushchute.Millis
	// Until ends the mint times that this home may run, 0 for no end.
	Until bulrushchute.Millis
	// RetryAfter is the time after which a refused caller should try again.
	RetryAfter bulrushchute.Millis
}
