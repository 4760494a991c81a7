package bulrushmembership

import (
	"math/rand/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushspread"
)

// Config holds the parameters and callbacks of a Membership. The callbacks run
// inside Update, Leave, Receive and Tick and must not call these methods.
type Config struct {
	// Self is the node's own record. Its ID, Address and DataCentre never change.
	Self bulrushchute.Instance
	// Seeds are the addresses of nodes to join through. Without seeds, the
	// node starts a new fleet.
	Seeds []bulrushchute.Address
	// SeedsPending is set when the addresses to join through are not known yet. The
	// node does not join alone until SetSeeds has been called.
	SeedsPending bool
	Random       *rand.Rand

	// OnMember is called for each member whose record or state changed. The
	// state is StateDead if the member died or left.
	OnMember func(now bulrushchute.Millis, member bulrushchute.Instance)
	// OnIntroduced is called when a node that was not known before has introduced
	// itself, by Membership.Introduce. It may be nil.
	OnIntroduced func(now bulrushchute.Millis, address bulrushchute.Address)
	// OnDataCentre is called when a data centre becomes unreachable or
	// reachable again.
	OnDataCentre func(now bulrushchute.Millis, dataCentre bulrushchute.DataCentre, reachable bool)
	// OnStatus is called when the status of this node changes.
	OnStatus func(now bulrushchute.Millis, status Status)
	// Accept reports whether to store a received record. It is not called for
	// TopicMember and TopicDataCentre. If nil, all records are accepted.
	Accept func(now bulrushchute.Millis, record bulrushchute.Record) bool
	// OnRecord is called when a record changes, except for records of
	// TopicMember and TopicDataCentre.
	OnRecord func(now bulrushchute.Millis, record bulrushchute.Record)

	// RequestKeyLease returns the KeyLease flag of a heartbeat to another node.
	RequestKeyLease func(now bulrushchute.Millis, to bulrushchute.InstanceID) bool
	// GrantKeyLease returns the KeyLease flag of the acknowledgement of a
	// heartbeat whose own KeyLease flag is set.
	GrantKeyLease func(now bulrushchute.Millis, from bulrushchute.InstanceID) bool
	// OnAck is called for each acknowledgement of a heartbeat of this node.
	// ack.SentAt is the send time of the heartbeat on this node's clock.
	OnAck func(now bulrushchute.Millis, from bulrushchute.InstanceID, ack bulrushchute.HeartbeatAck)
}

// Status is the state of the node that runs a Membership.
type Status struct {
	// Joined is set once the node has copied all records from one peer and
	// compared digests with a second one.
	Joined bool
	// Isolated is set if no peer has acknowledged a heartbeat sent in the last
	// 3 s.
	Isolated bool
	// Expired is set after a pause so long that peers may have dropped the
	// records of dead members. The process must exit and restart with a new ID.
	Expired bool
}

// Action is a message that the user of a Membership must send.
type Action = bulrushspread.Action
