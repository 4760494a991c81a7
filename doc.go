// Package bulrushchute declares the interfaces and types that the packages of the
// load balancer share.
//
// The decision logic, in bulrushadmission, bulrushattempt, bulrushkey,
// bulrushmembership, bulrushmove, bulrushrouting and bulrushspread, is
// deterministic: its input is events and the current time, its output is actions,
// and its randomness comes from a seeded source. Sockets, goroutines and timers
// are confined to other packages. Of these, bulrushnode runs the decision logic,
// bulrushwire implements Transport, and bulrushstore and platform implement Store.
package bulrushchute
