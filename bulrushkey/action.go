package bulrushkey

import (
	"bulrushchute.example/bulrushchute"
)

// Member is an instance of the service whose key map a Controller maintains.
type Member struct {
	ID         bulrushchute.InstanceID
	DataCentre bulrushchute.DataCentre
	State      bulrushchute.InstanceState
	// Neighbours are the instance's neighbours on the rings of the membership
	// overlay, except leaving ones. The first MaxMonitors are its candidates for
	// lease monitors.
	Neighbours []LeaseMonitor
}

// eligible reports whether the member may become a home or propose a key map.
func (m Member) eligible() bool {
	return m.State == bulrushchute.StateReady || m.State == bulrushchute.StateCold
}

// Action is an operation that the node performs for a Controller. Exactly one
// of Heartbeat, PromiseAsk, Write and Read is set.
type Action struct {
	// To is the recipient of Heartbeat or PromiseAsk.
	To         bulrushchute.InstanceID
	Heartbeat  *bulrushchute.Heartbeat
	PromiseAsk *bulrushchute.PromiseAsk
	// Write requests one conditional write. The node reports the result with
	// HandleWriteResult.
	Write *Write
	// Read requests the key map's object. The node reports the result with
	// HandleReadResult.
	Read bool
}

// Write is one conditional write of a key map. The node sends it once and
// does not retry it.
type Write struct {
	// Create requires that the object does not exist yet. If it is not set, the
	// write is an update conditional on Object.Version.
	Create bool
	Object bulrushchute.Object
}

// Permit describes which new keys of a partition this node may record. It stays
// valid for keys minted up to Settings.ClockSkew after At, even if the node is
// suspended before it uses the permit.
type Permit struct {
	// At is the node's time for which the permit was computed.
	At bulrushchute.Millis
	// IsHome is set when the key map names this node as the partition's home, and
	// for a partition that this node handed over.
	IsHome bool
	// LeaseHeld is set when the node holds its lease. It is always set for a
	// partition that this node handed over, whose keys need no lease.
	LeaseHeld bool
	// Since is the earliest mint time of keys that this home may run.
	Since bulrushchute.Millis
	// Until is the exclusive upper bound of these mint times, or 0 if there is
	// none.
	Until bulrushchute.Millis
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter bulrushchute.Millis
}
