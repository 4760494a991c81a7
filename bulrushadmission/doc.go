// Package bulrushadmission decides which requests one backend server receives
// and when.
//
// A Controller is a deterministic state machine without I/O, goroutines or a
// clock of its own: events and the current time go in, decisions come out. It
// is not safe for concurrent use; its owner serialises the calls. Each request
// that Offer queues gets exactly one Release later, returned by whichever call
// caused it. A refusal, at offer or as a release, means that the request was
// never dispatched.
package bulrushadmission
