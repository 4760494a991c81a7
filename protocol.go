package bulrushchute

import (
	"net/http"
)

// CallerRequest is what a caller's request says about itself in its headers.
// Fields that the caller left out are zero.
type CallerRequest struct {
	// ID is the caller's own name for the request. It is passed on to the
	// backend server.
	ID string
	// Service is the service that the request names. If it is empty, the
	// routing table decides by host and path.
	Service Service
	// ClassName may lower the class that the route gives.
	ClassName string
	// Timeout is how long the caller waits, 0 if it did not say.
	Timeout Millis
	// Deadline is the instant at which an outer call ends, 0 if there is none.
	Deadline Millis
	// Depth is how many calls the request is nested in.
	Depth int
	// Retry is set when a level above already repeats the request.
	Retry bool
	// Key is the idempotency key.
	Key string
}

// RequestOutcome is an answer that the node gives on its own behalf.
type RequestOutcome struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter Millis
}

// CallerProtocol is the HTTP dialect between callers and nodes.
type CallerProtocol interface {
	// ReadRequest reads a request's headers. Errors are matched with errors.As:
	// *FieldError.
	ReadRequest(request *http.Request) (CallerRequest, error)
	// Reserved reports whether a header belongs to the dialect itself. Such
	// lines are neither passed on nor taken from backend servers.
	Reserved(name string) bool
	// WriteOutcome adds the headers that tell how a request ended.
	WriteOutcome(header http.Header, answer RequestOutcome)
}

// Dispatch is one request to a backend server.
type Dispatch struct {
	Attempt Attempt
	// Server is the backend server's own identity, empty if it has none.
	Server string
	// Deadline is an instant on this node's clock, Remaining the time until then.
	Deadline  Millis
	Remaining Millis
}

// BackendReport is what an answer of a backend server says besides its status
// and body.
type BackendReport struct {
	// Mismatched is set when the answer belongs to another request.
	Mismatched bool
	// NotRun is set when the server states that it did not run the request.
	NotRun bool
	// Misdirected is set when another server answered than the one that was meant.
	Misdirected bool
	// Load is nil when the answer carries none.
	Load *BackendLoad
	// Health answers only: the server's identity, and how long it stays cold.
	Server string
	Cold   Millis
}

// BackendLoad is a backend server's report of its own load.
type BackendLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes now in multiples of the usual time, 0 if unknown.
	Slowdown float64
}

// BackendProtocol is the HTTP dialect between a node and its backend server.
type BackendProtocol interface {
	// WriteHeader adds the headers of the dialect to a request.
	WriteHeader(header http.Header, dispatch Dispatch)
	// AcceptsCloseDelimited reports whether an answer may have neither a length nor
	// chunks and end with its connection.
	AcceptsCloseDelimited() bool
	// ReportsLoad reports whether answers to health checks tell the server's load.
	ReportsLoad() bool
	// ReadReport reads an answer. The attempt is nil for a health check.
	ReadReport(attempt *Attempt, status int, header http.Header) BackendReport
}
