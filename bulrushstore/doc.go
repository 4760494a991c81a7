// Package bulrushstore holds the client of the platform's object store, an
// in-memory store with fault injection, a handler that serves it over HTTP,
// and a lease.
//
// The store's protocol follows Kubernetes API conventions:
// GET, POST, PUT and DELETE on /apis/bulrushchute.example/v1/<kind>[/<name>],
// metadata.resourceVersion for conditional updates, and watches as JSON lines.
package bulrushstore
