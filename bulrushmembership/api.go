package bulrushmembership

import (
	"math/rand/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushspread"
)

// Config is what a Membership needs to know when it is made. The callbacks
// run inside Update, Leave, Receive and Tick and must not call these methods.
type Config struct {
	// Self is the node's own record. ID, Address and DataCentre never change.
	Self bulrushchute.Instance
	// Seeds are addresses of nodes to join through. Without seeds the node
	// starts a fleet of its own.
	Seeds  []bulrushchute.Address
	Random *rand.Rand

	// OnMember sees each member whose record or state changed. The state is
	// StateDead when the member is dead or has left.
	OnMember func(now bulrushchute.Millis, member bulrushchute.Instance)
	// OnDataCentre sees a data centre become unreachable or reachable.
	OnDataCentre func(now bulrushchute.Millis, dataCentre bulrushchute.DataCentre, reachable bool)
	// OnStatus sees each change of this node's own status.
	OnStatus func(now bulrushchute.Millis, status Status)
	// Accept may refuse a received record of another topic than member and data_centre.
	Accept func(now bulrushchute.Millis, record bulrushchute.Record) bool
	// OnRecord sees each change of a record of other topics than member and data_centre.
	OnRecord func(now bulrushchute.Millis, record bulrushchute.Record)

	// AskKeyLease decides the KeyLease flag of a heartbeat to a neighbour.
	AskKeyLease func(now bulrushchute.Millis, to bulrushchute.InstanceID) bool
	// GrantKeyLease decides the KeyLease flag of the acknowledgement of a
	// heartbeat that asks for it.
	GrantKeyLease func(now bulrushchute.Millis, from bulrushchute.InstanceID) bool
	// OnAck sees each acknowledgement of a heartbeat that this node sent.
	// SentAt is the instant at which the heartbeat left, on this node's clock.
	OnAck func(now bulrushchute.Millis, from bulrushchute.InstanceID, ack bulrushchute.HeartbeatAck)
}

// Status is what a Membership knows of its own node.
type Status struct {
	// Joined is set once all records were copied from one peer and digests
	// compared with a second.
	Joined bool
	// Isolated is set while no peer has answered for 3 s.
	Isolated bool
	// Expired is set after a pause so long that peers may have dropped records
	// of dead members. The process has to end and start with a new identity.
	Expired bool
}

// Action asks the caller to send a message.
type Action = bulrushspread.Action
