package bulrushnode

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
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
	protocol bulrushchute.CallerProtocol
	targets  *targets
	patience *patience
	// serveIsolated serves callers also while no peer is within reach.
	serveIsolated bool
	// ownService returns the service beside this node.
	ownService func() bulrushchute.Service
	// active counts the requests that are being served and arrived all that
	// have come.
	active  atomic.Int64
	arrived atomic.Int64
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
		e.writeProblem(writer, request, problem)
		return
	}
	result := e.serve(request.Context(), view, prepared, key)
	e.writeResult(writer, result)
	e.logEnd(view, prepared, result)
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
		return notRun(bulrushchute.ReasonNotReady, retryAfterStart)
	case bulrushboard.NodeIsolated:
		if e.serveIsolated {
			return e.caller.run(ctx, prepared)
		}
		return notRun(bulrushchute.ReasonIsolated, retryAfterDefault)
	}
	if key == "" || prepared.info.Idempotent || e.keys.disabled {
		return e.caller.run(ctx, prepared)
	}
	return e.keys.call(ctx, view, prepared, key)
}

func notRun(reason bulrushchute.Reason, retryAfter bulrushchute.Millis) callResult {
	return callResult{final: bulrushattempt.FinalResult{
		Outcome:    bulrushchute.OutcomeNotRun,
		Reason:     reason,
		RetryAfter: retryAfter,
	}}
}

// prepare reads and checks a request.
func (e *entry) prepare(view bulrushboard.View, request *http.Request) (call, string, *problem) {
	said, err := e.protocol.ReadRequest(request)
	if err != nil {
		return call{}, "", &problem{status: http.StatusBadRequest, reason: bulrushchute.ReasonMalformed, cause: err}
	}
	if said.Depth >= bulrushchute.MaxDepth {
		cause := &depthError{depth: said.Depth}
		return call{}, "", &problem{status: http.StatusBadRequest, reason: bulrushchute.ReasonTooDeep, cause: cause}
	}
	chosen, found := e.resolve(view.Catalogue, said, request)
	if !found && view.State != bulrushboard.NodeStarting {
		return call{}, "", unknownRoute(said, request)
	}
	prepared, err := e.describe(chosen, said, request)
	if err != nil {
		return call{}, "", &problem{status: http.StatusBadRequest, reason: bulrushchute.ReasonMalformed, cause: err}
	}
	most := int64(bulrushwire.MaxBodyBytes)
	if limit := view.Catalogue.Routing().Callers.BodyBytes; limit > 0 {
		most = min(most, limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, request.Body, most))
	if err != nil {
		return call{}, "", bodyProblem(err)
	}
	prepared.template.Body = body
	return prepared, said.Key, nil
}

func unknownRoute(said bulrushchute.CallerRequest, request *http.Request) *problem {
	problem := &problem{status: http.StatusNotFound, reason: bulrushchute.ReasonUnknownService}
	if said.Service != "" {
		problem.cause = &bulrushchute.FieldError{Field: headerService, Value: string(said.Service), Allowed: "a service of the catalogue"}
	} else {
		problem.cause = &bulrushchute.FieldError{Field: "host and path", Value: request.Host + request.URL.Path, Allowed: "a route of the catalogue"}
	}
	return problem
}

// depthError reports a call that is nested too deep, as in a cycle of services.
type depthError struct {
	depth int
}

// Error implements error.
func (e *depthError) Error() string {
	return "depth " + strconv.Itoa(e.depth) + " is not below " + strconv.Itoa(bulrushchute.MaxDepth)
}

func bodyProblem(err error) *problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &problem{status: http.StatusRequestEntityTooLarge, reason: bulrushchute.ReasonTooLarge, cause: err}
	}
	return &problem{status: http.StatusBadRequest, reason: bulrushchute.ReasonMalformed, cause: err}
}

// resolution is the service and the route of one request.
type resolution struct {
	entry    bulrushcatalogue.ServiceEntry
	resolved bulrushcatalogue.RequestPolicy
}

// resolve finds the service of a request: the one that it names, or the one to
// which the routing table sends its host and path.
func (e *entry) resolve(catalogue bulrushcatalogue.Set, said bulrushchute.CallerRequest, request *http.Request) (resolution, bool) {
	if said.Service != "" {
		entry, exists := catalogue.Service(said.Service)
		return resolution{entry: entry, resolved: bulrushcatalogue.Resolve(entry, request.Method, targetOf(request))}, exists
	}
	path, _, _ := strings.Cut(targetOf(request), "?")
	route := catalogue.Routing().Match(request.Host, path)
	if route == nil {
		return resolution{}, false
	}
	entry, exists := catalogue.Service(e.targets.next(route))
	return resolution{entry: entry, resolved: route.RequestPolicy()}, exists
}

// targetOf returns the path and query as the caller spelled them.
func targetOf(request *http.Request) string {
	if strings.HasPrefix(request.RequestURI, "/") {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}

// describe builds the call from the request's line and headers.
func (e *entry) describe(chosen resolution, said bulrushchute.CallerRequest, request *http.Request) (call, error) {
	resolved := chosen.resolved
	class, err := lowerClass(resolved.Class, said.ClassName)
	if err != nil {
		return call{}, err
	}
	now := e.clock.Now()
	info := bulrushchute.RequestInfo{
		Service:    chosen.entry.Service,
		Route:      resolved.Route,
		Tenant:     e.tenantOf(request),
		Class:      class,
		Deadline:   deadlineOf(now, resolved.TimeoutMs, said),
		Objective:  resolved.ObjectiveMs,
		Attempts:   resolved.Attempts,
		Idempotent: resolved.Idempotent,
		Retry:      said.Retry,
		// A hedge would end the slow attempts by which a bad version shows.
		WithoutHedge: moving(chosen.entry),
		Depth:        said.Depth + 1,
	}
	template := bulrushchute.Attempt{
		Service:    info.Service,
		Route:      info.Route,
		Method:     request.Method,
		Path:       targetOf(request),
		Host:       request.Host,
		Header:     passedFields(request.Header, e.protocol.Reserved),
		Tenant:     info.Tenant,
		Class:      info.Class,
		Depth:      info.Depth,
		Idempotent: info.Idempotent,
		RequestID:  said.ID,
		Caller:     e.ownService(),
		Objective:  info.Objective,
	}
	arrived := now - e.patience.waited(resolved, said.Timeout)
	return call{info: info, template: template, subset: chosen.entry.Subset, arrived: now, wantedFrom: arrived}, nil
}

func moving(entry bulrushcatalogue.ServiceEntry) bool {
	return entry.Move != nil && entry.Move.WithinMs > 0 && entry.Move.Outcome == ""
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

// deadlineOf is the earliest of the route's timeout, the caller's timeout and
// the deadline of the call that this one is nested in.
func deadlineOf(now, timeout bulrushchute.Millis, said bulrushchute.CallerRequest) bulrushchute.Millis {
	if said.Timeout > 0 {
		timeout = min(timeout, said.Timeout)
	}
	deadline := now + timeout
	if said.Deadline > 0 {
		deadline = min(deadline, said.Deadline)
	}
	return deadline
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

func (e *entry) writeProblem(writer http.ResponseWriter, request *http.Request, problem *problem) {
	requestRejected.Log("host", request.Host, "method", request.Method, "status", problem.status, "reason", problem.reason,
		"error", problem.cause)
	e.protocol.WriteOutcome(writer.Header(), bulrushchute.RequestOutcome{Outcome: bulrushchute.OutcomeNotRun, Reason: problem.reason})
	http.Error(writer, problem.cause.Error(), problem.status)
}

func (e *entry) writeResult(writer http.ResponseWriter, result callResult) {
	header := writer.Header()
	if result.final.Outcome == bulrushchute.OutcomeAnswered {
		e.protocol.WriteOutcome(header, bulrushchute.RequestOutcome{Outcome: bulrushchute.OutcomeAnswered})
		addFields(header, result.answer.Header)
		if header.Get(headerLength) == "" {
			header.Set(headerLength, strconv.Itoa(len(result.answer.Body)))
		}
		writer.WriteHeader(result.answer.Status)
		_, _ = writer.Write(result.answer.Body)
		return
	}
	e.protocol.WriteOutcome(header, bulrushchute.RequestOutcome{
		Outcome:    result.final.Outcome,
		Reason:     result.final.Reason,
		RetryAfter: result.final.RetryAfter,
	})
	http.Error(writer, string(result.final.Reason), statusOf(result.final))
}

func statusOf(final bulrushattempt.FinalResult) int {
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
