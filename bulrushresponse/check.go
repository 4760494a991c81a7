// Package bulrushresponse rejects HTTP responses that net/http reads although they violate
// the protocol. A sender of such a response is faulty, so nothing in it can be relied on.
package bulrushresponse

import (
	"fmt"
	"net/http"
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

// CheckHead checks the status line of a response, interim (1xx) or final. It returns a
// *MalformedError if the response violates HTTP. The request must not ask for a change of
// the protocol.
func CheckHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return &MalformedError{Problem: fmt.Sprintf("status %q", response.Status)}
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return &MalformedError{Problem: "change of the protocol that was not asked for"}
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
