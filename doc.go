// Package bulrushchute declares the interfaces and shared types of the load
// balancer.
//
// The decision logic in the packages below is deterministic: its input is events
// and the current time, its output is actions, and its randomness comes from a
// seeded source. Sockets, goroutines and timers are confined to the node package,
// which implements the interfaces declared here.
package bulrushchute
