package bulrushchute

import (
	"net/http"
)

// CallerRequest holds what the headers of a caller's request state about it.
// Fields that the caller omitted are zero.
type CallerRequest struct {
	// ID is the ID that the caller gave the request. It is passed on to the
	// backend server.
	ID string
	// Service is the service that the request names. If it is empty, the
	// routing table selects one by host and path.
	Service Service
	// ClassName names the class that the caller requests. It has no effect if it
	// is more important than the class of the route.
	ClassName string
	// Timeout is how long the caller waits, 0 if not stated.
	Timeout Millis
	// Deadline is the instant at which the enclosing call ends, 0 if there is none.
	Deadline Millis
	// Depth is the number of calls in which the request is nested.
	Depth int
	// Retry is set when a layer above already retries the request.
	Retry bool
	// Key is the idempotency key.
	Key string
	// APIKey is the key that identifies the caller's tenant. It must not be logged
	// or sent to another process.
	APIKey string
}

// RequestOutcome is what a node tells a caller about how a request ended.
type RequestOutcome struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter Millis
}

// CallerProtocol defines the HTTP headers that callers and nodes exchange.
type CallerProtocol interface {
	// ReadRequest parses a request's headers. Errors are matched with errors.As:
	// *FieldError.
	ReadRequest(request *http.Request) (CallerRequest, error)
	// Reserved reports whether a header belongs to the protocol itself. Such
	// headers are neither passed on to backend servers nor accepted from them.
	Reserved(name string) bool
	// IdentifiesTenant reports whether a header holds the API key or the tenant. If
	// the routing table requires API keys, such headers are not passed on to backend
	// servers.
	IdentifiesTenant(name string) bool
	// WriteOutcome adds the headers that state how a request ended.
	WriteOutcome(header http.Header, outcome RequestOutcome)
}

// Dispatch is one request to a backend server.
type Dispatch struct {
	Attempt Attempt
	// Server is the ID that the backend server gave itself, empty if it has none.
	Server string
	// Deadline is an instant on this node's clock, Remaining the time until then.
	Deadline  Millis
	Remaining Millis
}

// BackendReport is what an answer of a backend server states besides its status
// and body.
type BackendReport struct {
	// Mismatched is set when the answer belongs to another request.
	Mismatched bool
	// NotRun is set when the server states that it did not run the request.
	NotRun bool
	// Misdirected is set when the request reached another server than the
	// intended one.
	Misdirected bool
	// Unidentified is set if the answer does not say to which request it belongs.
	Unidentified bool
	// Load is nil when the answer carries none.
	Load *BackendLoad
	// NamedLimit is the number of requests a second that the server takes from all
	// nodes together, nil if the answer names none.
	NamedLimit *float64
	// Leaving is set if the server states that it leaves and takes no new requests.
	Leaving bool
	// NamedLimitMalformed is set if the answer names a limit that cannot be read.
	NamedLimitMalformed bool
	// Server is the server's ID and Cold the time that it stays cold. They apply
	// to answers to health checks only.
	Server string
	Cold   Millis
}

// BackendLoad is a backend server's report of its own load.
type BackendLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the current duration of work as a multiple of the usual one, 0
	// if unknown.
	Slowdown float64
}

// BackendProtocol defines the HTTP headers that a node and its backend server
// exchange.
type BackendProtocol interface {
	// WriteHeader adds the headers of the protocol to a request.
	WriteHeader(header http.Header, dispatch Dispatch)
	// AcceptsCloseDelimited reports whether an answer may have neither a
	// Content-Length nor chunked encoding, so that its body ends with the
	// connection.
	AcceptsCloseDelimited() bool
	// ReportsLoad reports whether answers to health checks contain the server's
	// load.
	ReportsLoad() bool
	// ReadReport parses the status and headers of an answer. The attempt is nil
	// for a health check.
	ReadReport(attempt *Attempt, status int, header http.Header) BackendReport
}
