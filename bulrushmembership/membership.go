package bulrushmembership

import (
	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushspread"
)

// Membership is one node's view of the fleet. It is not safe for concurrent use.
type Membership struct {
	config Config
}

// New returns a Membership that has not yet joined. The first Tick starts the join.
func New(now bulrushchute.Millis, config Config) *Membership {
	_ = now
	return &Membership{config: config}
}

// Table returns the record table, for Publish, Get and Range on other topics.
// Its Receive, Tick and SetNeighbours belong to the Membership.
func (m *Membership) Table() *bulrushspread.Table { panic("not implemented") }

// Receive handles a control message and ignores those that concern other packages.
func (m *Membership) Receive(now bulrushchute.Millis, from bulrushchute.Address, message bulrushchute.Control) []Action {
	panic("not implemented")
}

// Tick does what is due. It is to be called every bulrushspread.TickInterval.
// A gap of more than a second between calls is taken as a pause of this node.
func (m *Membership) Tick(now bulrushchute.Millis) []Action { panic("not implemented") }

// Update publishes a new own record: service, version, state, slots. ID,
// address, data centre and incarnation are kept.
func (m *Membership) Update(now bulrushchute.Millis, self bulrushchute.Instance) {
	panic("not implemented")
}

// Leave publishes that this node has gone for good. It is to be called after
// the last answer was sent, with Tick called for about a second more.
func (m *Membership) Leave(now bulrushchute.Millis) { panic("not implemented") }

// SetSeeds replaces the addresses to join through.
func (m *Membership) SetSeeds(seeds []bulrushchute.Address) { panic("not implemented") }

// SetPeers names further nodes to exchange heartbeats with, besides the
// overlay neighbours: lease monitors of a key home and the homes that name
// this node as monitor.
func (m *Membership) SetPeers(peers []bulrushchute.InstanceID) { panic("not implemented") }

// Self returns the node's own record as last published.
func (m *Membership) Self() bulrushchute.Instance { panic("not implemented") }

// Status returns the state of this node.
func (m *Membership) Status() Status { panic("not implemented") }

// Member returns a member that is not dead.
func (m *Membership) Member(id bulrushchute.InstanceID) (bulrushchute.Instance, bool) {
	panic("not implemented")
}

// Range calls visit for each member that is not dead until visit returns false.
func (m *Membership) Range(visit func(bulrushchute.Instance) bool) { panic("not implemented") }

// Neighbours returns the overlay neighbours inside the data centre.
func (m *Membership) Neighbours() []bulrushchute.InstanceID { panic("not implemented") }

// Reachable reports whether a data centre can be reached from this one.
func (m *Membership) Reachable(dataCentre bulrushchute.DataCentre) bool { panic("not implemented") }

// RoundTripMs returns the smoothed round-trip time to a peer in milliseconds.
func (m *Membership) RoundTripMs(id bulrushchute.InstanceID) (float64, bool) {
	panic("not implemented")
}

// DataCentreRoundTripMs returns the smallest smoothed round-trip time to a
// peer in a data centre, in milliseconds.
func (m *Membership) DataCentreRoundTripMs(dataCentre bulrushchute.DataCentre) (float64, bool) {
	panic("not implemented")
}
