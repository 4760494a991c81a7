// Package bulrushnode runs one node: it connects the decision packages to
// sockets, timers and the store.
//
// Controllers own one part of the blackboard each and run in their own
// goroutines. The data path reads the blackboard once for each request.
package bulrushnode
