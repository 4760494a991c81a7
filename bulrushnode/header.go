package bulrushnode

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"bulrushchute.example/bulrushchute"
)

// Headers of the protocols towards callers and backend servers.
const (
	headerService        = "Bulrush-Service"
	headerTenant         = "Bulrush-Tenant"
	headerClass          = "Bulrush-Class"
	headerTimeout        = "Bulrush-Timeout-Ms"
	headerDeadline       = "Bulrush-Deadline-Ms"
	headerDepth          = "Bulrush-Depth"
	headerRetry          = "Bulrush-Retry"
	headerOutcome        = "Bulrush-Outcome"
	headerReason         = "Bulrush-Reason"
	headerIdempotencyKey = "Idempotency-Key"
	headerAPIKey         = "Bulrush-Api-Key"
	headerContentLength  = "Content-Length"
	headerRetryAfter     = "Retry-After"

	headerPrefix = "Bulrush-"
	// hostSuffix is the suffix of host names that contain the name of a service.
	hostSuffix = ".bulrush"
)

// hopByHopHeaders are not forwarded, because they apply to a single connection.
// Content-Length is listed too, since it is set again from the forwarded body.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
}

// forwardedFields returns the header fields to forward. It removes fields that
// the protocol reserves, so that neither a caller nor a backend server can
// forge an outcome, and fields that the Connection header names.
func forwardedFields(header http.Header, reserved func(name string) bool) []bulrushchute.HeaderField {
	options := connectionOptions(header)
	fields := make([]bulrushchute.HeaderField, 0, len(header))
	for name, values := range header {
		if hopByHopHeaders[name] || options[name] || reserved(name) {
			continue
		}
		for _, value := range values {
			fields = append(fields, bulrushchute.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

func connectionOptions(header http.Header) map[string]bool {
	if len(header["Connection"]) == 0 {
		return nil
	}
	options := make(map[string]bool)
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			options[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return options
}

func addFields(header http.Header, fields []bulrushchute.HeaderField) {
	for _, f := range fields {
		header[f.Name] = append(header[f.Name], f.Value)
	}
}

// addContentLength forwards the Content-Length of an answer to a HEAD request,
// which cannot be computed from the empty body.
func addContentLength(fields []bulrushchute.HeaderField, header http.Header) []bulrushchute.HeaderField {
	if length := header.Get(headerContentLength); length != "" {
		fields = append(fields, bulrushchute.HeaderField{Name: headerContentLength, Value: length})
	}
	return fields
}

// parseIntHeader parses a header that holds an integer from 0 to maximum. It
// returns 0 if the header is absent.
func parseIntHeader(header http.Header, name string, maximum int64) (int64, error) {
	text := header.Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 || number > maximum {
		return 0, &bulrushchute.FieldError{Field: name, Value: text, Allowed: "0 to " + strconv.FormatInt(maximum, 10)}
	}
	return number, nil
}

// requestedService returns the service that a request names in a header or in
// its host, empty if there is none.
func requestedService(request *http.Request) bulrushchute.Service {
	if service := request.Header.Get(headerService); service != "" {
		return bulrushchute.Service(service)
	}
	host, _, _ := strings.Cut(request.Host, ":")
	service, found := strings.CutSuffix(host, hostSuffix)
	if !found {
		return ""
	}
	return bulrushchute.Service(service)
}
