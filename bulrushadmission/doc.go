// Package bulrushadmission implements admission control for one backend server:
// it decides which requests the server receives and when.
//
// A Controller is a deterministic state machine without I/O, goroutines or its
// own clock. The owner passes in events with the current time and acts on the
// returned decisions. A Controller is not safe for concurrent use; the owner
// must serialise the calls. Every request that Offer queues gets exactly one
// Release, returned by the call that caused it. A refused request, whether at
// Offer or in a Release, was never dispatched.
package bulrushadmission
