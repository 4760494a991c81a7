package bulrushnode

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushattempt"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmetric"
	"bulrushchute.example/bulrushchute/bulrushwire"
)

// maxTimeoutMs bounds the timeout that a caller may ask for.
const maxTimeoutMs = int64(10 * bulrushchute.Minute)

// entry serves callers over HTTP.
type entry struct {
	clock    bulrushchute.Clock
	board    *bulrushboard.Board
	caller   *caller
	keys     *keys
	recorder *bulrushmetric.Recorder
	// active counts the requests that are being served and arrived all that
	// have come.
	active  atomic.Int64
	arrived atomic.Int64
	// seen is the value of arrived at the last call of busy.
	seen int64
	// trustTenantHeader takes the tenant from a header instead of the
	// caller's certificate.
	trustTenantHeader bool
}

// problem is a request that is refused before any decision about it.
type problem struct {
	status int
	reason bulrushchute.Reason
	cause  error
}

// busy reports whether a request is being served or has come since the last
// call. It is for one goroutine only.
func (e *entry) busy() bool {
	arrived := e.arrived.Load()
	fresh := arrived != e.seen
	e.seen = arrived
	return fresh || e.active.Load() > 0
}

// ServeHTTP answers one request of a caller.
func (e *entry) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	e.arrived.Add(1)
	e.active.Add(1)
	defer e.active.Add(-1)
	begin := time.Now()
	view := e.board.Read()
	if view.State == bulrushboard.NodeDraining {
		writer.Header().Set("Connection", "close")
	}
	prepared, key, problem := e.prepare(view, request)
	if problem != nil {
		writeProblem(writer, problem)
		return
	}
	result := e.serve(request.Context(), view, prepared, key)
	writeResult(writer, result)
	e.recorder.Record(bulrushmetric.Measurement{
		Service:   prepared.info.Service,
		Tenant:    prepared.info.Tenant,
		Class:     prepared.info.Class,
		Outcome:   result.final.Outcome,
		Reason:    result.final.Reason,
		ElapsedMs: milliseconds(time.Since(begin)),
	})
}

func (e *entry) serve(ctx context.Context, view bulrushboard.View, prepared call, key string) callResult {
	switch view.State {
	case bulrushboard.NodeStarting:
		return notRun(bulrushchute.ReasonNotReady, retryAfterDefault)
	case bulrushboard.NodeIsolated:
		return notRun(bulrushchute.ReasonIsolated, retryAfterDefault)
	}
	if key == "" || prepared.info.Idempotent {
		return e.caller.run(ctx, prepared)
	}
	return e.keys.call(ctx, view, prepared, key)
}

func notRun(reason bulrushchute.Reason, retryAfter bulrushchute.Millis) callResult {
	return callResult{final: bulrushattempt.Final{
		Outcome:    bulrushchute.OutcomeNotRun,
		Reason:     reason,
		RetryAfter: retryAfter,
	}}
}

// prepare reads and checks a request.
func (e *entry) prepare(view bulrushboard.View, request *http.Request) (call, string, *problem) {
	service := serviceOf(request)
	catalogueEntry, exists := view.Catalogue.Service(service)
	if !exists && view.State != bulrushboard.NodeStarting {
		cause := &bulrushchute.FieldError{Field: headerService, Value: string(service), Allowed: "a service of the catalogue"}
		return call{}, "", &problem{status: http.StatusNotFound, reason: bulrushchute.ReasonUnknownService, cause: cause}
	}
	prepared, err := e.describe(catalogueEntry, request)
	if err != nil {
		return call{}, "", &problem{status: http.StatusBadRequest, reason: reasonOf(err), cause: err}
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, request.Body, bulrushwire.MaxBodyBytes))
	if err != nil {
		return call{}, "", bodyProblem(err)
	}
	prepared.template.Body = body
	return prepared, request.Header.Get(headerIdempotencyKey), nil
}

// depthError reports a call that is nested too deep, as in a cycle of services.
type depthError struct {
	depth int64
}

// Error implements error.
func (e *depthError) Error() string {
	return "depth " + strconv.FormatInt(e.depth, 10) + " is not below " + strconv.Itoa(bulrushchute.MaxDepth)
}

func reasonOf(err error) bulrushchute.Reason {
	var tooDeep *depthError
	if errors.As(err, &tooDeep) {
		return bulrushchute.ReasonTooDeep
	}
	return bulrushchute.ReasonMalformed
}

func bodyProblem(err error) *problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &problem{status: http.StatusRequestEntityTooLarge, reason: bulrushchute.ReasonTooLarge, cause: err}
	}
	return &problem{status: http.StatusBadRequest, reason: bulrushchute.ReasonMalformed, cause: err}
}

// describe builds the call from the request's line and headers.
func (e *entry) describe(catalogueEntry bulrushcatalogue.ServiceEntry, request *http.Request) (call, error) {
	path := request.URL.RequestURI()
	resolved := bulrushcatalogue.Resolve(catalogueEntry, request.Method, path)
	class, err := lowerClass(resolved.Class, request.Header.Get(headerClass))
	if err != nil {
		return call{}, err
	}
	deadline, err := e.deadline(resolved.TimeoutMs, request.Header)
	if err != nil {
		return call{}, err
	}
	depth, err := parseCount(request.Header, headerDepth, math.MaxInt32)
	if err != nil {
		return call{}, err
	}
	if depth >= bulrushchute.MaxDepth {
		return call{}, &depthError{depth: depth}
	}
	info := bulrushchute.RequestInfo{
		Service:    catalogueEntry.Service,
		Route:      resolved.Route,
		Tenant:     e.tenantOf(request),
		Class:      class,
		Deadline:   deadline,
		Idempotent: resolved.Idempotent,
		Retry:      request.Header.Get(headerRetry) != "",
		Depth:      int(depth) + 1,
	}
	template := bulrushchute.Attempt{
		Service:    info.Service,
		Route:      info.Route,
		Method:     request.Method,
		Path:       path,
		Header:     passedFields(request.Header),
		Tenant:     info.Tenant,
		Class:      info.Class,
		Depth:      info.Depth,
		Idempotent: info.Idempotent,
	}
	return call{info: info, template: template, subset: catalogueEntry.Subset}, nil
}

// lowerClass lets a caller lower the class of its request but not raise it.
func lowerClass(class bulrushchute.Class, name string) (bulrushchute.Class, error) {
	if name == "" {
		return class, nil
	}
	asked, err := bulrushchute.ParseClass(name)
	if err != nil {
		return 0, err
	}
	return max(class, asked), nil
}

// deadline is the earliest of the route's timeout, the caller's timeout and
// the deadline of the call that this one is nested in.
func (e *entry) deadline(timeout bulrushchute.Millis, header http.Header) (bulrushchute.Millis, error) {
	asked, err := parseCount(header, headerTimeout, maxTimeoutMs)
	if err != nil {
		return 0, err
	}
	if asked > 0 {
		timeout = min(timeout, bulrushchute.Millis(asked))
	}
	now := e.clock.Now()
	deadline := now + timeout
	outer, err := parseCount(header, headerDeadline, math.MaxInt64)
	if err != nil {
		return 0, err
	}
	if outer > 0 {
		deadline = min(deadline, bulrushchute.Millis(outer))
	}
	return deadline, nil
}

func (e *entry) tenantOf(request *http.Request) bulrushchute.Tenant {
	if e.trustTenantHeader {
		return bulrushchute.Tenant(request.Header.Get(headerTenant))
	}
	if request.TLS == nil || len(request.TLS.PeerCertificates) == 0 {
		return ""
	}
	return bulrushchute.Tenant(request.TLS.PeerCertificates[0].Subject.CommonName)
}

func writeProblem(writer http.ResponseWriter, problem *problem) {
	writer.Header().Set(headerOutcome, bulrushchute.OutcomeNotRun.String())
	writer.Header().Set(headerReason, string(problem.reason))
	http.Error(writer, problem.cause.Error(), problem.status)
}

func writeResult(writer http.ResponseWriter, result callResult) {
	header := writer.Header()
	header.Set(headerOutcome, result.final.Outcome.String())
	if result.final.Outcome == bulrushchute.OutcomeAnswered {
		addFields(header, result.answer.Header)
		if header.Get(headerLength) == "" {
			header.Set(headerLength, strconv.Itoa(len(result.answer.Body)))
		}
		writer.WriteHeader(result.answer.Status)
		_, _ = writer.Write(result.answer.Body)
		return
	}
	header.Set(headerReason, string(result.final.Reason))
	if result.final.RetryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(result.final.RetryAfter))
	}
	http.Error(writer, string(result.final.Reason), statusOf(result.final))
}

// retryAfterSeconds rounds up, since the header has whole seconds.
func retryAfterSeconds(span bulrushchute.Millis) string {
	return strconv.FormatInt(int64((span+bulrushchute.Second-1)/bulrushchute.Second), 10)
}

func statusOf(final bulrushattempt.Final) int {
	switch {
	case final.Reason == bulrushchute.ReasonKeyFormat || final.Reason == bulrushchute.ReasonMalformed:
		return http.StatusBadRequest
	case final.Outcome == bulrushchute.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case final.Reason == bulrushchute.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
