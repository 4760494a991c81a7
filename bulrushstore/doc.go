// Package bulrushstore implements the client of the platform's object store,
// an in-memory store with fault injection, an HTTP handler that serves it, and
// a lease that at most one node holds at a time.
//
// The protocol follows the Kubernetes API conventions: GET, POST, PUT and
// DELETE on /apis/bulrushchute.example/v1/<kind>[/<name>],
// metadata.resourceVersion for conditional updates, and watches as streams of
// JSON lines.
package bulrushstore
