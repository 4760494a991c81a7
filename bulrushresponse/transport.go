package bulrushresponse

import "net/http"

// Transport fails requests whose response is malformed. It is safe for concurrent use if
// its base is.
type Transport struct {
	base http.RoundTripper
}

// NewTransport returns a transport that checks the responses of another one.
func NewTransport(base http.RoundTripper) *Transport {
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper. It returns a *MalformedError for a response that
// violates HTTP.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		// A connection whose response has no body is idle already.
		t.CloseIdleConnections()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the base.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
