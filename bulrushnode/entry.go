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
	"bulrushchute.example/bulrushchute/bulrushcaller"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmetric"
)

// maxTimeoutMs is the longest timeout that a caller may state. nativeProtocol
// rejects a longer one.
const maxTimeoutMs = int64(10 * bulrushchute.Minute)

// entryHandler serves the HTTP requests of callers.
type entryHandler struct {
	clock          bulrushchute.Clock
	board          *bulrushboard.Board
	runner         *runner
	keys           *keys
	recorder       *bulrushmetric.Recorder
	protocol       bulrushchute.CallerProtocol
	targetSelector *targetSelector
	waitEstimator  *waitEstimator
	// serveIsolated is set when callers are served even while no peer is
	// reachable.
	serveIsolated bool
	// ownService returns the service of the backend server beside this node.
	ownService func() bulrushchute.Service
	// active is the number of requests in progress, and arrived the number of
	// requests received since the start.
	active  atomic.Int64
	arrived atomic.Int64
	// drain is set while the node drains.
	drain drainEnd
	// trustTenantHeader is set when the tenant is taken from a header instead of
	// the caller's certificate.
	trustTenantHeader bool
}

// rejection describes a request that is rejected as invalid, before its call
// starts.
type rejection struct {
	status int
	reason bulrushchute.Reason
	// retryAfter is when the request may be sent again, 0 for never.
	retryAfter bulrushchute.Millis
	cause      error
}

// ServeHTTP implements http.Handler.
func (eh *entryHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	eh.arrived.Add(1)
	eh.active.Add(1)
	defer eh.active.Add(-1)
	begin := time.Now()
	view := eh.board.Read()
	if view.State == bulrushboard.NodeDraining {
		writer.Header().Set("Connection", "close")
	}
	prepared, key, rejection := eh.prepare(view, request)
	if rejection != nil {
		eh.writeRejection(writer, request, view, rejection)
		return
	}
	result := eh.serve(request.Context(), view, prepared, key)
	eh.writeResult(writer, result)
	eh.logResult(view, prepared, result)
	eh.recorder.Record(bulrushmetric.Measurement{
		Service:   prepared.info.Service,
		Tenant:    prepared.info.Tenant,
		Class:     prepared.info.Class,
		Outcome:   result.final.Outcome,
		Reason:    result.final.Reason,
		ElapsedMs: milliseconds(time.Since(begin)),
	})
}

// RunsAhead implements bulrushcaller.Handler. A request that is rejected without
// being run counts as idempotent.
func (eh *entryHandler) RunsAhead(request *http.Request) bool {
	parsed, err := eh.protocol.ReadRequest(request)
	if err != nil {
		return true
	}
	catalogue := eh.board.Read().Catalogue
	if parsed.Service != "" {
		entry, exists := catalogue.Service(parsed.Service)
		return !exists || bulrushcatalogue.Resolve(entry, request.Method, requestTarget(request)).Idempotent
	}
	route := matchHostRoute(catalogue, request)
	return route == nil || route.Idempotent
}

// BodyTimeout implements bulrushcaller.Handler. A body that arrives after the deadline of
// its request is of no use.
func (eh *entryHandler) BodyTimeout(request *http.Request) bulrushchute.Millis {
	parsed, err := eh.protocol.ReadRequest(request)
	if err != nil {
		return defaultBodyTimeout
	}
	now := eh.clock.Now()
	return max(0, deadlineOf(now, eh.routeTimeout(parsed, request), parsed)-now)
}

// routeTimeout returns the longest time that a request may take by the catalogue.
func (eh *entryHandler) routeTimeout(parsed bulrushchute.CallerRequest, request *http.Request) bulrushchute.Millis {
	catalogue := eh.board.Read().Catalogue
	if parsed.Service == "" {
		if route := matchHostRoute(catalogue, request); route != nil {
			return route.TimeoutMs
		}
	} else if entry, exists := catalogue.Service(parsed.Service); exists {
		return bulrushcatalogue.Resolve(entry, request.Method, requestTarget(request)).TimeoutMs
	}
	return defaultBodyTimeout
}

func (eh *entryHandler) serve(ctx context.Context, view bulrushboard.View, prepared call, key string) callResult {
	switch {
	case view.State == bulrushboard.NodeStarting || prepared.unresolved:
		return notRun(bulrushchute.ReasonNotReady, retryAfterStarting)
	case view.State == bulrushboard.NodeIsolated:
		if eh.serveIsolated {
			return eh.runner.run(ctx, prepared)
		}
		return notRun(bulrushchute.ReasonIsolated, retryAfterDefault)
	case !eh.endsBeforeDrain(prepared):
		return notRun(bulrushchute.ReasonLeaving, retryAfterDefault)
	}
	if key == "" || prepared.info.Idempotent || eh.keys.disabled {
		return eh.runner.run(ctx, prepared)
	}
	return eh.keys.callHome(ctx, view, prepared, key)
}

// endsBeforeDrain reports whether a request may be passed on.
func (eh *entryHandler) endsBeforeDrain(prepared call) bool {
	now := eh.clock.Now()
	left, draining := eh.drain.left(now)
	if !draining {
		return true
	}
	late := lateRequest{left: left, timeout: prepared.info.Deadline - now, closing: eh.drain.closing.Load()}
	late.expected, late.expectedKnown = eh.runner.expectedLatency(now, prepared)
	return late.passesOn()
}

func notRun(reason bulrushchute.Reason, retryAfter bulrushchute.Millis) callResult {
	return callResult{final: bulrushattempt.FinalResult{
		Outcome:    bulrushchute.OutcomeNotRun,
		Reason:     reason,
		RetryAfter: retryAfter,
	}}
}

// prepare parses and validates a request. It returns the call and the
// idempotency key.
func (eh *entryHandler) prepare(view bulrushboard.View, request *http.Request) (call, string, *rejection) {
	parsed, err := eh.protocol.ReadRequest(request)
	if err != nil {
		return call{}, "", &rejection{status: http.StatusBadRequest, reason: bulrushchute.ReasonMalformed, cause: err}
	}
	if parsed.Depth >= bulrushchute.MaxDepth {
		cause := &depthError{depth: parsed.Depth}
		return call{}, "", &rejection{status: http.StatusBadRequest, reason: bulrushchute.ReasonTooDeep, cause: cause}
	}
	match, found := eh.matchRoute(view.Catalogue, parsed, request)
	caller, identified := identifyCaller(view.Catalogue.Routing(), match.policy, parsed.APIKey)
	// The catalogue of a node that is starting, or that was not confirmed lately, may
	// lack the service or the API key. Its serve refuses the request with a
	// Retry-After.
	mayReject := view.State != bulrushboard.NodeStarting && view.CatalogueCurrent
	if !found && mayReject {
		return call{}, "", rejectUnknownService(parsed, request)
	}
	if found && !identified && mayReject {
		return call{}, "", &rejection{status: http.StatusUnauthorized, reason: bulrushchute.ReasonUnknownKey, cause: &apiKeyError{missing: parsed.APIKey == ""}}
	}
	prepared, err := eh.newCall(match, caller, parsed, request)
	if err != nil {
		return call{}, "", &rejection{status: http.StatusBadRequest, reason: bulrushchute.ReasonMalformed, cause: err}
	}
	body, err := readBody(request, callerLimits(view.Catalogue.Routing()).BodyBytes)
	if err != nil {
		return call{}, "", rejectBody(err)
	}
	prepared.template.Body = body
	prepared.unresolved = !found || !identified
	return prepared, parsed.Key, nil
}

func rejectUnknownService(parsed bulrushchute.CallerRequest, request *http.Request) *rejection {
	rejection := &rejection{status: http.StatusNotFound, reason: bulrushchute.ReasonUnknownService}
	if parsed.Service != "" {
		rejection.cause = &bulrushchute.FieldError{Field: headerService, Value: string(parsed.Service), Allowed: "a service of the catalogue"}
	} else {
		rejection.cause = &bulrushchute.FieldError{Field: "host and path", Value: request.Host + request.URL.Path, Allowed: "a route of the catalogue"}
	}
	return rejection
}

// depthError reports a request that is nested too deeply, as in a cycle of
// calls between services.
type depthError struct {
	depth int
}

// Error implements error.
func (e *depthError) Error() string {
	return "depth " + strconv.Itoa(e.depth) + " is not below " + strconv.Itoa(bulrushchute.MaxDepth)
}

// readBody returns the body of a request, which bulrushcaller has read already.
func readBody(request *http.Request, maxBytes int64) ([]byte, error) {
	if body, err, known := bulrushcaller.BodyOf(request); known {
		return body, err
	}
	return io.ReadAll(http.MaxBytesReader(nil, request.Body, maxBytes))
}

func rejectBody(err error) *rejection {
	var notRead *bulrushcaller.BodyError
	if errors.As(err, &notRead) {
		return &rejection{status: notRead.Status, reason: notRead.Reason, retryAfter: notRead.RetryAfter, cause: err}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: bulrushchute.ReasonTooLarge, cause: err}
	}
	return &rejection{status: http.StatusBadRequest, reason: bulrushchute.ReasonMalformed, cause: err}
}

// routeMatch is the catalogue entry and the policy that apply to a request.
type routeMatch struct {
	entry  bulrushcatalogue.ServiceEntry
	policy bulrushcatalogue.RequestPolicy
}

// matchRoute returns the entry and the policy of the service that the request
// names, or else of the one to which the routing table sends its host and path.
// It returns false if there is none.
func (eh *entryHandler) matchRoute(catalogue bulrushcatalogue.Set, parsed bulrushchute.CallerRequest, request *http.Request) (routeMatch, bool) {
	if parsed.Service != "" {
		entry, exists := catalogue.Service(parsed.Service)
		return routeMatch{entry: entry, policy: bulrushcatalogue.Resolve(entry, request.Method, requestTarget(request))}, exists
	}
	route := matchHostRoute(catalogue, request)
	if route == nil {
		return routeMatch{}, false
	}
	entry, exists := catalogue.Service(eh.targetSelector.next(route))
	return routeMatch{entry: entry, policy: route.RequestPolicy()}, exists
}

// matchHostRoute returns the route of the request's host and path, or nil.
func matchHostRoute(catalogue bulrushcatalogue.Set, request *http.Request) *bulrushcatalogue.HostRoute {
	path, _, _ := strings.Cut(requestTarget(request), "?")
	return catalogue.Routing().Match(request.Host, path)
}

// requestTarget returns the path and query exactly as the caller sent them.
func requestTarget(request *http.Request) string {
	if strings.HasPrefix(request.RequestURI, "/") {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}

// newCall builds a call from the request line and the headers. The body is
// added later.
func (eh *entryHandler) newCall(match routeMatch, caller callerIdentity, parsed bulrushchute.CallerRequest, request *http.Request) (call, error) {
	policy := match.policy
	class, err := lowerClass(caller.tenant.Class(policy.Class), parsed.ClassName)
	if err != nil {
		return call{}, err
	}
	arrivedAt, known := bulrushcaller.ArrivedAt(request.Context())
	if !known {
		arrivedAt = eh.clock.Now()
	}
	info := bulrushchute.RequestInfo{
		Service:    match.entry.Service,
		Route:      policy.Route,
		Tenant:     eh.tenantOf(caller, request),
		Class:      class,
		Deadline:   deadlineOf(arrivedAt, policy.TimeoutMs, parsed),
		Objective:  policy.ObjectiveMs,
		Attempts:   policy.Attempts,
		Idempotent: policy.Idempotent,
		Retry:      parsed.Retry,
		// A hedge would cancel the slow attempts that reveal a bad version.
		WithoutHedge: moveInProgress(match.entry),
		Depth:        parsed.Depth + 1,
	}
	template := bulrushchute.Attempt{
		Service:    info.Service,
		Route:      info.Route,
		Method:     request.Method,
		Path:       requestTarget(request),
		Host:       request.Host,
		Header:     forwardedFields(request.Header, eh.notForwarded(caller)),
		Tenant:     info.Tenant,
		Class:      info.Class,
		Depth:      info.Depth,
		Idempotent: info.Idempotent,
		RequestID:  parsed.ID,
		Caller:     eh.ownService(),
		Objective:  info.Objective,
	}
	firstRequestedAt := arrivedAt - eh.waitEstimator.waited(policy, parsed.Timeout)
	return call{
		info: info, template: template, caller: caller, subset: match.entry.Subset,
		arrivedAt: arrivedAt, firstRequestedAt: firstRequestedAt,
	}, nil
}

func moveInProgress(entry bulrushcatalogue.ServiceEntry) bool {
	return entry.Move != nil && entry.Move.WithinMs > 0 && entry.Move.Outcome == ""
}

// lowerClass applies the class that a caller requests, which may be less important
// than that of the route but not more. Less important classes have higher values.
func lowerClass(class bulrushchute.Class, name string) (bulrushchute.Class, error) {
	if name == "" {
		return class, nil
	}
	requested, err := bulrushchute.ParseClass(name)
	if err != nil {
		return 0, err
	}
	return max(class, requested), nil
}

// deadlineOf returns the earliest of the route's timeout, the caller's timeout
// and the deadline of the enclosing call.
func deadlineOf(now, timeout bulrushchute.Millis, parsed bulrushchute.CallerRequest) bulrushchute.Millis {
	if parsed.Timeout > 0 {
		timeout = min(timeout, parsed.Timeout)
	}
	deadline := now + timeout
	if parsed.Deadline > 0 {
		deadline = min(deadline, parsed.Deadline)
	}
	return deadline
}

func (eh *entryHandler) tenantOf(caller callerIdentity, request *http.Request) bulrushchute.Tenant {
	switch {
	case caller.tenant != nil:
		return caller.tenant.Tenant
	case caller.keysRequired:
		return ""
	}
	if eh.trustTenantHeader {
		return bulrushchute.Tenant(request.Header.Get(headerTenant))
	}
	if request.TLS == nil || len(request.TLS.PeerCertificates) == 0 {
		return ""
	}
	return bulrushchute.Tenant(request.TLS.PeerCertificates[0].Subject.CommonName)
}

func (eh *entryHandler) writeRejection(writer http.ResponseWriter, request *http.Request, view bulrushboard.View, rejection *rejection) {
	requestRejected.Log("host", request.Host, "method", request.Method, "status", rejection.status, "reason", rejection.reason,
		"catalogue", view.Catalogue.Routing().Label, "state", view.State, "error", rejection.cause)
	eh.protocol.WriteOutcome(writer.Header(), bulrushchute.RequestOutcome{Outcome: bulrushchute.OutcomeNotRun, Reason: rejection.reason, RetryAfter: rejection.retryAfter})
	http.Error(writer, rejection.cause.Error(), rejection.status)
}

func (eh *entryHandler) writeResult(writer http.ResponseWriter, result callResult) {
	header := writer.Header()
	if result.final.Outcome == bulrushchute.OutcomeAnswered {
		eh.protocol.WriteOutcome(header, bulrushchute.RequestOutcome{Outcome: bulrushchute.OutcomeAnswered})
		addFields(header, result.answer.Header)
		if header.Get(headerContentLength) == "" {
			header.Set(headerContentLength, strconv.Itoa(len(result.answer.Body)))
		}
		writer.WriteHeader(result.answer.Status)
		_, _ = writer.Write(result.answer.Body)
		return
	}
	eh.protocol.WriteOutcome(header, bulrushchute.RequestOutcome{
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
	case final.Reason == bulrushchute.ReasonUnknownKey && final.Outcome == bulrushchute.OutcomeNotRun:
		return http.StatusUnauthorized
	case final.Outcome == bulrushchute.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case final.Reason == bulrushchute.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
