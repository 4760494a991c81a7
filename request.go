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
	// ReasonBusy means that a queue is full, that no slot is expected within the
	// queue timeout, or that the backend server itself refused the request.
	ReasonBusy         Reason = "busy"
	ReasonQueueTimeout Reason = "queue_timeout"
	// ReasonShed means that a queued request made room for a more important one,
	// or could no longer get a slot in time after the limit was cut.
	ReasonShed Reason = "shed"
	// ReasonSlow means that a slowdown of the backend server outlasted the time
	// for which the request was held back.
	ReasonSlow Reason = "slow_for_now"
	// ReasonServerLimit means that the backend server named a limit of requests a
	// second, and that the request would have to wait too long for its turn.
	ReasonServerLimit Reason = "server_limit"
	// ReasonVersionLimit means that the backend server runs a version that is not
	// known to be good yet, and has received all requests that it may until then.
	ReasonVersionLimit Reason = "version_limit"
	// ReasonTenantLimit means that the queue is full and that the tenant already
	// has its share of it.
	ReasonTenantLimit Reason = "tenant_limit"
	ReasonLeaving     Reason = "leaving"
	ReasonWithdrawn   Reason = "data_centre_withdrawn"
	ReasonDeadline    Reason = "deadline"
	ReasonNoBackend   Reason = "no_backend_server"
	ReasonNotReady    Reason = "node_not_ready"
	ReasonIsolated    Reason = "isolated"
	ReasonUnreachable Reason = "unreachable"
	// ReasonWrongService means that the attempt was meant for another service,
	// instance or backend server than the one now at the address.
	ReasonWrongService  Reason = "wrong_service"
	ReasonRetryBudget   Reason = "retry_budget"
	ReasonKeyHome       Reason = "key_home_unavailable"
	ReasonKeyRecordFull Reason = "key_record_full"
	// ReasonKeyTooOld means that the record of the key has expired or was kept by
	// an earlier home, so that the outcome is unknown.
	ReasonKeyTooOld Reason = "key_too_old"
	// ReasonKeyFromFuture means that the mint time of the key is ahead of the
	// home's clock by more than the allowed skew.
	ReasonKeyFromFuture  Reason = "key_from_future"
	ReasonKeyFormat      Reason = "key_format"
	ReasonConnectionLost Reason = "connection_lost"
	// ReasonServerEnded means that the backend server ended while it ran the request.
	ReasonServerEnded Reason = "server_ended"
	// ReasonOnTrial means that a backend server ended while it ran a request of the
	// same content, and that this request cannot be tried now.
	ReasonOnTrial Reason = "content_on_trial"
	// ReasonQuarantined means that backend servers ended each time that they ran a
	// request of the same content.
	ReasonQuarantined Reason = "content_quarantined"
	ReasonTruncated   Reason = "answer_truncated"
	ReasonTooLarge    Reason = "too_large"
	// ReasonBodyTimeout means that the body of a request did not arrive in time.
	ReasonBodyTimeout Reason = "body_timeout"
	// ReasonNoMemory means that a node holds as much for others as it may.
	ReasonNoMemory  Reason = "no_memory"
	ReasonTooDeep   Reason = "too_deep"
	ReasonCancelled Reason = "cancelled"
	// ReasonMalformed also applies to a key that was used for another request.
	ReasonMalformed      Reason = "malformed"
	ReasonUnknownService Reason = "unknown_service"
	// ReasonUnknownKey means that the routing table requires an API key, and that
	// the request has none or one that no tenant has.
	ReasonUnknownKey Reason = "unknown_api_key"
)

// MaxDepth limits the nesting of calls: a request that is nested in this many
// calls is refused.
const MaxDepth = 16

// RequestInfo is the part of a request that the decision logic uses.
type RequestInfo struct {
	Service  Service
	Route    string
	Tenant   Tenant
	Class    Class
	Deadline Millis
	// Objective is the latency objective, the time within which an answer has its
	// full value, 0 if unknown.
	Objective Millis
	// Attempts limits the attempts that may have run. Those that were not sent or
	// were refused, even by the backend server itself, do not count. If it is 0,
	// only bulrushattempt.MaxAttempts applies.
	Attempts   int
	Idempotent bool
	// Retry is set when a layer above already retries the request.
	Retry bool
	// WithoutHedge disables hedging, so that no second attempt runs in parallel
	// with the first.
	WithoutHedge bool
	// Depth is CallerRequest.Depth plus one.
	Depth int
}

// PickQuery describes the backend server to pick.
type PickQuery struct {
	Service Service
	// Version is the version to pick, empty for any.
	Version Version
	// Avoid is a version whose instances are not picked, empty for none.
	Avoid Version
	// Exclude lists instances that are not picked, such as those that this request
	// has already tried and, during a move, those of the new version that receive
	// no requests yet.
	Exclude []InstanceID
}

// Observation tells a Picker how an attempt ended.
type Observation struct {
	Instance  InstanceID
	ElapsedMs float64
	// Load is the load that the reply carried, nil when there was no reply.
	Load   *Load
	Result ResultKind
	// SlowFor is the expected rest of the slowdown because of which the instance
	// refused the attempt, 0 for any other result.
	SlowFor Millis
}

// ResultKind classifies how an attempt ended.
type ResultKind uint8

// Kinds of results.
const (
	// ResultAnswered is a whole answer from the backend server, except one with
	// status 5xx.
	ResultAnswered ResultKind = iota
	// ResultServerError is a whole answer with status 5xx.
	ResultServerError
	// ResultNotRun is an explicit refusal from the admission node.
	ResultNotRun
	// ResultNotSent means that this node certainly did not send the attempt. An
	// admission node also uses it when the backend server reports that it did not
	// run the request.
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
