// Package bulrushchute holds the interfaces and shared types of the load balancer.
//
// The decision logic in the packages below is deterministic: events and the
// current time go in, actions come out, and randomness comes from a seeded
// source. Sockets, goroutines and timers live in the node package, which
// implements the interfaces declared here.
package bulrushchute
