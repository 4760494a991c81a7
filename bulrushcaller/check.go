package bulrushcaller

import (
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"bulrushchute.example/bulrushchute"
)

// requestError reports a request that is answered without the handler. The
// connection ends after the response, because the start of the next request is
// not known for certain.
type requestError struct {
	status int
	// retryAfter is when the request may be sent again, 0 for never.
	retryAfter bulrushchute.Millis
	cause      error
}

// Error implements error.
func (e *requestError) Error() string {
	text := "request rejected with status " + strconv.Itoa(e.status)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// response returns the response to the request.
func (e *requestError) response() *response {
	r := newResponse(nil)
	r.last = true
	r.header.Set("Content-Type", "text/plain; charset=utf-8")
	if e.retryAfter > 0 {
		seconds := (e.retryAfter + bulrushchute.Second - 1) / bulrushchute.Second
		r.header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	r.WriteHeader(e.status)
	_, _ = r.Write([]byte(strconv.Itoa(e.status) + " " + http.StatusText(e.status) + "\n"))
	return r
}

// checkRequest makes the checks that net/http makes on a server but not in
// ReadRequest. They matter because the request is forwarded: a backend server
// must not read it differently.
func checkRequest(request *http.Request) *requestError {
	if !request.ProtoAtLeast(1, 0) || request.ProtoMajor > 1 {
		return &requestError{status: http.StatusHTTPVersionNotSupported}
	}
	if request.ProtoAtLeast(1, 1) && request.Host == "" || !httpguts.ValidHostHeader(request.Host) {
		return &requestError{status: http.StatusBadRequest}
	}
	for name, values := range request.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &requestError{status: http.StatusBadRequest}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &requestError{status: http.StatusBadRequest}
			}
		}
	}
	if expect := request.Header.Get("Expect"); expect != "" && !expectsContinue(request) {
		return &requestError{status: http.StatusExpectationFailed}
	}
	return nil
}

func expectsContinue(request *http.Request) bool {
	return strings.EqualFold(request.Header.Get("Expect"), "100-continue")
}
