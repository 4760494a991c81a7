// Package bulrushstore implements a client of the object store, an in-memory
// store with fault injection, an HTTP handler that serves it, and a lease that
// at most one node holds at a time. Package platform has another client, for the
// store of the users' platform, whose protocol differs.
//
// The protocol follows the Kubernetes API conventions: GET, POST, PUT and
// DELETE on /apis/bulrushchute.example/v1/<kind>[/<name>],
// metadata.resourceVersion for conditional updates, and watches as streams of
// JSON lines.
package bulrushstore
