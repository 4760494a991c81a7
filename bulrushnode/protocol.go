package bulrushnode

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"bulrushchute.example/bulrushchute"
)

// nativeProtocol is the default protocol towards callers and backend servers.
// Its headers begin with Bulrush-.
type nativeProtocol struct{}

var (
	_ bulrushchute.CallerProtocol  = nativeProtocol{}
	_ bulrushchute.BackendProtocol = nativeProtocol{}
)

// ReadRequest implements bulrushchute.CallerProtocol.
func (nativeProtocol) ReadRequest(request *http.Request) (bulrushchute.CallerRequest, error) {
	header := request.Header
	timeout, err := parseIntHeader(header, headerTimeout, maxTimeoutMs)
	if err != nil {
		return bulrushchute.CallerRequest{}, err
	}
	deadline, err := parseIntHeader(header, headerDeadline, math.MaxInt64)
	if err != nil {
		return bulrushchute.CallerRequest{}, err
	}
	depth, err := parseIntHeader(header, headerDepth, math.MaxInt32)
	if err != nil {
		return bulrushchute.CallerRequest{}, err
	}
	return bulrushchute.CallerRequest{
		Service:   requestedService(request),
		ClassName: header.Get(headerClass),
		Timeout:   bulrushchute.Millis(timeout),
		Deadline:  bulrushchute.Millis(deadline),
		Depth:     int(depth),
		Retry:     header.Get(headerRetry) != "",
		Key:       header.Get(headerIdempotencyKey),
		APIKey:    header.Get(headerAPIKey),
	}, nil
}

// Reserved implements bulrushchute.CallerProtocol.
func (nativeProtocol) Reserved(name string) bool {
	return strings.HasPrefix(name, headerPrefix)
}

// IdentifiesTenant implements bulrushchute.CallerProtocol. The headers are
// reserved, whether or not the table requires API keys.
func (nativeProtocol) IdentifiesTenant(name string) bool {
	return name == headerAPIKey || name == headerTenant
}

// WriteOutcome implements bulrushchute.CallerProtocol.
func (nativeProtocol) WriteOutcome(header http.Header, outcome bulrushchute.RequestOutcome) {
	header.Set(headerOutcome, outcome.Outcome.String())
	if outcome.Reason != "" {
		header.Set(headerReason, string(outcome.Reason))
	}
	if outcome.RetryAfter > 0 {
		header.Set(headerRetryAfter, retryAfterSeconds(outcome.RetryAfter))
	}
}

// retryAfterSeconds rounds up, since the header holds whole seconds.
func retryAfterSeconds(delay bulrushchute.Millis) string {
	return strconv.FormatInt(int64((delay+bulrushchute.Second-1)/bulrushchute.Second), 10)
}

// WriteHeader implements bulrushchute.BackendProtocol.
func (nativeProtocol) WriteHeader(header http.Header, dispatch bulrushchute.Dispatch) {
	header.Set(headerDeadline, strconv.FormatInt(int64(dispatch.Deadline), 10))
	header.Set(headerDepth, strconv.Itoa(dispatch.Attempt.Depth))
	if dispatch.Attempt.Retry {
		header.Set(headerRetry, "1")
	}
	header.Set(headerTenant, string(dispatch.Attempt.Tenant))
}

// AcceptsCloseDelimited implements bulrushchute.BackendProtocol. A body that
// ends with the connection cannot be distinguished from a truncated one.
func (nativeProtocol) AcceptsCloseDelimited() bool {
	return false
}

// ReportsLoad implements bulrushchute.BackendProtocol.
func (nativeProtocol) ReportsLoad() bool {
	return false
}

// ReadReport implements bulrushchute.BackendProtocol. Answers in this protocol
// report nothing besides their status.
func (nativeProtocol) ReadReport(*bulrushchute.Attempt, int, http.Header) bulrushchute.BackendReport {
	return bulrushchute.BackendReport{}
}
