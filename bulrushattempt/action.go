package bulrushattempt

import (
	"bulrushchute.example/bulrushchute"
)

// ActionKind says what the node has to do next for a request.
type ActionKind uint8

// Kinds of actions.
const (
	// ActionWait asks to call Next again after an event, or at Until.
	ActionWait ActionKind = iota
	// ActionSend asks to pick an instance outside Exclude and to send it an
	// attempt. The node reports Sent before it sends, or NoBackend.
	ActionSend
	// ActionCancel asks to give up one attempt that is still unanswered.
	ActionCancel
	// ActionFinish asks to answer the caller. It is returned once, as the last action.
	ActionFinish
	// ActionNone follows ActionFinish: nothing is left to do.
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

// Action is one step for the node to take. Fields that its kind does not name are zero.
type Action struct {
	Kind ActionKind
	// Attempt is the number of the attempt to send or to cancel, from 1.
	Attempt int
	// Exclude lists the instances already tried, for ActionSend. It must not be changed.
	Exclude []bulrushchute.InstanceID
	// Hedge is set when the attempt runs beside another one.
	Hedge bool
	// Retry is set when the work may have run before, here or at a level
	// above. It becomes the attempt's retry flag, so that levels below do not
	// repeat it again.
	Retry bool
	// Until is the instant at which to call Next if no event comes first, for ActionWait.
	Until bulrushchute.Millis
	// Final is the answer to the caller, for ActionFinish.
	Final Final
}

// Final is what the caller is told.
type Final struct {
	Outcome bulrushchute.Outcome
	// Attempt is the number of the attempt whose answer is passed on, for OutcomeAnswered.
	Attempt int
	// Reason is empty for OutcomeAnswered.
	Reason bulrushchute.Reason
	// RetryAfter is the span after which the caller may try again. It is zero for
	// an answer, and for a non-idempotent request with an unknown outcome,
	// which nobody may repeat blindly.
	RetryAfter bulrushchute.Millis
}

// End describes how an attempt ended.
type End struct {
	Result bulrushchute.ResultKind
	// Reason is the reason of the refusal or failure, empty for an answer.
	Reason bulrushchute.Reason
	// RetryAfter is the span that a refusal gave, zero when it gave none.
	RetryAfter bulrushchute.Millis
	// Reached is set when the backend server itself refused the attempt. One
	// more attempt then is a repeat for the service.
	Reached bool
}
