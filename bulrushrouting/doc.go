// Package bulrushrouting chooses the backend server for an attempt.
//
// A Router balances the load of one service on one entry node. It scores a
// bounded subset of the service's members by their expected response time,
// which it estimates from the latencies and loads of earlier answers and from
// the node's own outstanding attempts. A Baseline applies a simpler policy
// behind the same interface, for comparison. No type in this package is safe
// for concurrent use.
package bulrushrouting
