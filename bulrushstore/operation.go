package bulrushstore

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushresponse"
)

// Operation describes one call over HTTP to a store or a similar system. Its methods separate
// failures of calls that certainly had no effect from failures of writes that
// may have taken effect.
type Operation struct {
	// Name is the name of the call in errors.
	Name string
	// Writes is set for a call that changes the store.
	Writes bool
	// System is the name of the called system in errors, empty for the store.
	System string
}

// NewHTTPClient returns a client that rejects malformed responses and does not follow
// redirects, because following one would send a write a second time.
func NewHTTPClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     bulrushresponse.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Send performs one HTTP round trip without retries. A request that never got a
// connection had no effect; any other failed request may have been sent.
func (o Operation) Send(client *http.Client, request *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	switch {
	case err == nil:
		return response, nil
	case connected.Load():
		return nil, o.UnknownOutcomeError(err)
	default:
		return nil, o.UnavailableError(err)
	}
}

// UnavailableError returns the error for a call that certainly had no effect.
func (o Operation) UnavailableError(cause error) error {
	return &bulrushchute.UnavailableError{Operation: o.Name, Cause: cause, System: o.System}
}

// UnknownOutcomeError returns the error for a call whose response was lost,
// cannot be decoded or does not tell the outcome. It is ambiguous only for a
// write.
func (o Operation) UnknownOutcomeError(cause error) error {
	if !o.Writes {
		return o.UnavailableError(cause)
	}
	return &bulrushchute.AmbiguousError{Operation: o.Name, Cause: cause}
}
