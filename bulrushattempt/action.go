package bulrushattempt

import (
	"bulrushchute.example/bulrushchute"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// ActionWait asks the node to call Next again after an event, or at Until.
	ActionWait ActionKind = iota
	// ActionSend asks the node to pick an instance that is not in Exclude and to
	// send it an attempt. The node calls Sent before it sends, or NoBackend.
	ActionSend
	// ActionCancel asks the node to cancel an outstanding attempt.
	ActionCancel
	// ActionFinish asks the node to answer the caller. It is returned once, as
	// the last action.
	ActionFinish
	// ActionNone is returned after ActionFinish: nothing is left to do.
	ActionNone
)

var actionKindNames = [...]string{"wait", "send", "cancel", "finish", "none"}

// String returns the kind's name.
func (ak ActionKind) String() string {
	if int(ak) < len(actionKindNames) {
		return actionKindNames[ak]
	}
	return "invalid"
}

// Action is one step for the node to take. Fields that do not apply to its kind
// are zero.
type Action struct {
	Kind ActionKind
	// Attempt is the number of the attempt to send or to cancel, from 1.
	Attempt int
	// Exclude lists the instances already tried, for ActionSend. The node must
	// not modify it.
	Exclude []bulrushchute.InstanceID
	// Last is set when no other attempt may follow if this one is refused because
	// of a slowdown.
	Last bool
	// Hedge is set when the attempt is a hedge of an outstanding one.
	Hedge bool
	// Retry is set when a layer above already retries the request, or when an
	// earlier attempt of it may have run. It becomes bulrushchute.Attempt.Retry,
	// so that the services that the request calls do not retry as well.
	Retry bool
	// Until is the time at which to call Next if no event occurs before, for
	// ActionWait.
	Until bulrushchute.Millis
	// FinalResult is the result for the caller, for ActionFinish.
	FinalResult FinalResult
}

// FinalResult is the result of a request for its caller.
type FinalResult struct {
	Outcome bulrushchute.Outcome
	// Attempt is the number of the attempt whose answer the caller receives, for
	// OutcomeAnswered.
	Attempt int
	// Reason is empty for OutcomeAnswered.
	Reason bulrushchute.Reason
	// RetryAfter is the delay after which the caller may retry. It is zero for an
	// answer, and for a non-idempotent request with an unknown outcome, which is
	// not safe to retry.
	RetryAfter bulrushchute.Millis
}

// End describes how an attempt ended.
type End struct {
	Result bulrushchute.ResultKind
	// Reason is the reason for the refusal or failure, empty for an answer.
	Reason bulrushchute.Reason
	// RetryAfter is the delay that a refusal asks for, zero when it has none.
	RetryAfter bulrushchute.Millis
	// Reached is set when the backend server itself refused the attempt. A
	// further attempt then counts against the retry budget, since the service
	// receives the request again.
	Reached bool
}
