package bulrushadmission

import (
	"bulrushchute.example/bulrushchute"
)

// Request describes an attempt to the controller.
type Request struct {
	// ID must differ from that of every request that has not ended.
	ID       bulrushchute.AttemptID
	Route    string
	Tenant   bulrushchute.Tenant
	Class    bulrushchute.Class
	Deadline bulrushchute.Millis
	// Objective is the time left of the latency objective, 0 if there is none, as
	// in bulrushchute.Attempt.
	Objective bulrushchute.Millis
	// Insist is set when no other backend server can take the request. At the end
	// of its hold during a slowdown, the request is then dispatched if there is
	// capacity and it is expected to be answered before its deadline.
	Insist bool
}

// Verdict is the outcome of an offer.
type Verdict uint8

// Verdicts. The zero value is Refused.
const (
	// Refused means that the request was not run and will not be.
	Refused Verdict = iota
	// Admitted means that the request holds a slot until Done is called for it.
	Admitted
	// Queued means that a Release for the request will follow.
	Queued
)

var verdictNames = [...]string{"refused", "admitted", "queued"}

// String returns the verdict's name as used in metrics and logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "invalid"
}

// Decision is the controller's response to an offer.
type Decision struct {
	Verdict Verdict
	// Refusal is set when the verdict is Refused. Its RetryAfter is at least
	// 1 ms.
	Refusal bulrushchute.Refusal
	// Releases lists queued requests whose wait ended because of this offer,
	// such as less important ones that were shed.
	Releases []Release
}

// Release ends the wait of a queued request, with a slot or with a refusal.
type Release struct {
	ID bulrushchute.AttemptID
	// Admitted means that the request now holds a slot until Done is called for
	// it. Otherwise it was refused without being run.
	Admitted bool
	// Refusal is set when the request was not admitted.
	Refusal bulrushchute.Refusal
	// Waited is the time that the request spent in the queue.
	Waited bulrushchute.Millis
}

// Result describes how an admitted request ended.
type Result struct {
	// Kind is ResultAnswered, ResultServerError, ResultNotSent, ResultUnknown
	// or ResultCancelled. ResultNotSent also stands for a request that the backend
	// server itself refused.
	Kind bulrushchute.ResultKind
	// ElapsedMs is the time from dispatch to the end of the answer.
	ElapsedMs float64
	// Overloaded is set when the answer has status 429 or 503, which means that
	// the backend server is overloaded.
	Overloaded bool
	// Cold is set when the answer reports that the backend server is cold.
	Cold bool
}

// isAnswer reports whether the server answered.
func (r Result) isAnswer() bool {
	return r.Kind == bulrushchute.ResultAnswered || r.Kind == bulrushchute.ResultServerError
}

// Announcement is a backend server's description of itself. Zero limits leave
// those of the catalogue in force.
type Announcement struct {
	Slots       int
	Connections int
	Cold        bool
	// StartedBefore is set if the backend server was running before the node, so that
	// a former process of the node may have sent it requests.
	StartedBefore bool
}

// ProbeKind is a way of measuring a backend server. All kinds share one rate
// limit.
type ProbeKind uint8

// Kinds of probes.
const (
	ProbeHealth ProbeKind = iota
	ProbeLoad
	ProbeConnection
)

// ProbeKindCount is the number of probe kinds.
const ProbeKindCount = 3

var probeKindNames = [ProbeKindCount]string{"health", "load", "connection"}

// String returns the kind's name as used in metrics and logs.
func (pk ProbeKind) String() string {
	if int(pk) < len(probeKindNames) {
		return probeKindNames[pk]
	}
	return "invalid"
}

// ProbeReport is the result of one probe.
type ProbeReport struct {
	Kind ProbeKind
	// Failed is set when the probe got no answer, or one that reports bad
	// health.
	Failed bool
	// Cold is set when the backend server reports that it is cold. It is used only
	// if Kind is ProbeLoad.
	Cold bool
}
