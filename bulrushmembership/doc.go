// Package bulrushmembership tracks the members of the fleet.
//
// A Membership owns the node's record table, publishes the node's own record,
// exchanges heartbeats with its overlay neighbours, suspects neighbours that
// stop answering, and tells which data centres are reachable. It takes
// messages and the time and returns the messages to send.
package bulrushmembership
