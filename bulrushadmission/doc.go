// Package bulrushadmission implements admission control for one backend server:
// it decides which requests the server receives and when.
//
// The number of requests in flight is limited by the server's slots, by an
// adaptive limit that follows its latency and failures, and by a ramp while it
// is cold. A request that finds no free slot waits in the queue of its class and
// tenant, unless it is not expected to get a slot in time or the queue is full.
// Tenants get equal shares within a class, see docs/design/fair-shares.md.
// If the server reports its load, requests are also held back during short
// slowdowns of its machine, and the reports replace the adaptive limit and the
// ramp.
//
// A Controller is a deterministic state machine without I/O, goroutines or its
// own clock. The owner passes in events with the current time and acts on the
// returned decisions. A Controller is not safe for concurrent use; the owner
// must serialise the calls. Every request that Offer queues gets exactly one
// Release, returned by the call that caused it. A refused request, whether at
// Offer or in a Release, was never dispatched.
package bulrushadmission
