// Package bulrushmembership implements the gossip membership protocol and the
// failure detector of the fleet.
//
// A Membership owns the node's record table, publishes the node's own record,
// exchanges heartbeats with its overlay neighbours, suspects neighbours that
// stop answering, and tracks which data centres are reachable. It is a state
// machine without I/O: it takes messages and the current time and returns the
// messages to send.
package bulrushmembership
