package bulrushchute

// Class is the priority of a request. Lower values are served first.
type Class uint8

// Classes, from the most to the least important.
const (
	ClassCritical Class = iota
	ClassStandard
	ClassBulk
)

// ClassCount is the number of classes.
const ClassCount = 3

var classNames = [ClassCount]string{"critical", "standard", "bulk"}

// String returns the class's name as used in the catalogue.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "invalid"
}

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, error) {
	for c, known := range classNames {
		if name == known {
			return Class(c), nil
		}
	}
	return 0, &FieldError{Field: "class", Value: name, Allowed: "critical, standard or bulk"}
}

// Outcome tells a caller how a request ended.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the backend server's whole answer is returned.
	OutcomeAnswered
	// OutcomeNotRun means that the request certainly did not run.
	OutcomeNotRun
)

var outcomeNames = [...]string{"unknown", "answered", "not_run"}

// String returns the outcome's name as used in the Bulrush-Outcome header.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Reason tells why a request was refused or failed.
type Reason string

// Reasons for refusals and failures.
const (
	ReasonBusy           Reason = "busy"
	ReasonQueueTimeout   Reason = "queue_timeout"
	ReasonShed           Reason = "shed"
	ReasonSlow           Reason = "slow_for_now"
	ReasonTenantLimit    Reason = "tenant_limit"
	ReasonLeaving        Reason = "leaving"
	ReasonWithdrawn      Reason = "data_centre_withdrawn"
	ReasonDeadline       Reason = "deadline"
	ReasonNoBackend      Reason = "no_backend_server"
	ReasonNotReady       Reason = "node_not_ready"
	ReasonIsolated       Reason = "isolated"
	ReasonUnreachable    Reason = "unreachable"
	ReasonWrongService   Reason = "wrong_service"
	ReasonRetryBudget    Reason = "retry_budget"
	ReasonKeyHome        Reason = "key_home_unavailable"
	ReasonKeyRecordFull  Reason = "key_record_full"
	ReasonKeyTooOld      Reason = "key_too_old"
	ReasonKeyFromFuture  Reason = "key_from_future"
	ReasonKeyFormat      Reason = "key_format"
	ReasonConnectionLost Reason = "connection_lost"
	ReasonTruncated      Reason = "answer_truncated"
	ReasonTooLarge       Reason = "too_large"
	ReasonTooDeep        Reason = "too_deep"
	ReasonCancelled      Reason = "cancelled"
	ReasonMalformed      Reason = "malformed"
	ReasonUnknownService Reason = "unknown_service"
)

// MaxDepth bounds the number of calls in which a request may be nested.
const MaxDepth = 16

// RequestInfo is the part of a request that the decision logic uses.
type RequestInfo struct {
	Service  Service
	Route    string
	Tenant   Tenant
	Class    Class
	Deadline Millis
	// Objective is the latency objective, the time within which an answer is
	// worth most, 0 if unknown.
	Objective Millis
	// Attempts bounds the attempts of the request, 0 for the node's default.
	Attempts   int
	Idempotent bool
	// Retry is set when a layer above already retries the request.
	Retry bool
	// WithoutHedge disables hedging, so that no second attempt runs in parallel
	// with the first.
	WithoutHedge bool
	Depth        int
}

// PickQuery describes the backend server to pick.
type PickQuery struct {
	Service Service
	Version Version
	// Avoid is a version whose instances are not picked, empty for none.
	Avoid Version
	// Exclude lists instances that this request has already tried.
	Exclude []InstanceID
}

// Observation tells a Picker how an attempt ended.
type Observation struct {
	Instance  InstanceID
	ElapsedMs float64
	// Load is the load that the answer carried, nil when there was no answer.
	Load   *Load
	Result ResultKind
}

// ResultKind classifies how an attempt ended.
type ResultKind uint8

// Kinds of results.
const (
	// ResultAnswered is a whole answer from the backend server.
	ResultAnswered ResultKind = iota
	// ResultServerError is a whole answer that reports a failure (5xx).
	ResultServerError
	// ResultNotRun is an explicit refusal from the admission node.
	ResultNotRun
	// ResultNotSent means that this node certainly did not send the attempt.
	ResultNotSent
	// ResultUnknown means that the attempt was sent and not answered.
	ResultUnknown
	// ResultCancelled means that this node cancelled the attempt.
	ResultCancelled
)

// Picker chooses the backend server for an attempt.
type Picker interface {
	// Pick returns the instance to try, or false if there is none.
	Pick(now Millis, query PickQuery) (Instance, bool)
	// Started records that an attempt was sent to the instance.
	Started(now Millis, instance InstanceID)
	// Observe records the end of an attempt for which Started was called.
	Observe(now Millis, observation Observation)
}
