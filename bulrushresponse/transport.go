package bulrushresponse

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// maxInterim is the number of interim (1xx) responses before a final one after which a
// request fails.
const maxInterim = 16

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
// violates HTTP, and so does the end of the body if the trailer does.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	interim := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
		// net/http has no limit of its own on responses that are passed to a trace.
		if interim++; interim > maxInterim {
			return &MalformedError{Problem: fmt.Sprintf("more than %d interim responses", maxInterim)}
		}
		return CheckFields(http.Header(header))
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		// A connection whose response has no body is idle already.
		t.CloseIdleConnections()
		return nil, err
	}
	response.Body = &checkedBody{ReadCloser: response.Body, response: response}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the base.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// checkedBody checks the trailer of a response, which is known at the end of its body.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (cb *checkedBody) Read(buffer []byte) (int, error) {
	n, err := cb.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if malformed := CheckFields(cb.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
