// Package bulrushresponse rejects HTTP responses that net/http reads although they violate
// the protocol. A sender of such a response is faulty, so nothing in it can be relied on.
package bulrushresponse

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus are the status codes that exist (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
)

// MalformedError reports a response that violates HTTP.
type MalformedError struct {
	Problem string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return "malformed response: " + e.Problem
}

// CheckHead checks the status and the field names of a response, interim (1xx) or final. It
// returns a *MalformedError if they violate HTTP. The request must not ask for a change of
// the protocol.
func CheckHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return &MalformedError{Problem: fmt.Sprintf("status %q", response.Status)}
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return &MalformedError{Problem: "change of the protocol that was not asked for"}
	}
	return CheckFields(response.Header)
}

// CheckFields returns a *MalformedError if the name of a field in a header or trailer is not
// a token. net/http accepts names with blanks, which it does not recognise: the length in
// "Content-Length : 4" does not count.
func CheckFields(header http.Header) error {
	for name, values := range header {
		// The names that a Trailer field announces are in the trailer without values.
		if len(values) == 0 {
			continue
		}
		if err := CheckFieldName(name); err != nil {
			return err
		}
	}
	return nil
}

// CheckFieldName returns a *MalformedError if the name of a field is not a token (RFC 9110,
// section 5.1).
func CheckFieldName(name string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return &MalformedError{Problem: fmt.Sprintf("field name %q", name)}
	}
	return nil
}

// CheckFinalStatus returns a *MalformedError unless a status code is one of a final
// response.
func CheckFinalStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return &MalformedError{Problem: fmt.Sprintf("status %03d", status)}
	}
	return nil
}
