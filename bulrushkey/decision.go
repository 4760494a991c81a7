package bulrushkey

import (
	"bulrushchute.example/bulrushchute"
)

// Request is a keyed request that has arrived at the key's home.
type Request struct {
	Key Key
	// Attempt identifies the request while it waits.
	Attempt bulrushchute.AttemptID
	// Fingerprint is a hash of the tenant, method, path and body. The same key
	// with another fingerprint is a different request and is refused.
	Fingerprint uint64
}

// DecisionKind is the way in which the home handles a keyed request.
type DecisionKind uint8

// Kinds of decisions.
const (
	// DecisionReply means that Decision.Reply is the final reply.
	DecisionReply DecisionKind = iota
	// DecisionRun means that the key is now recorded as running. The node runs
	// the request exactly once and then calls Complete.
	DecisionRun
	// DecisionWait means that another request with the same key is running. The
	// node answers with the reply of the Complete or Tick call that returns the
	// attempt.
	DecisionWait
)

// Decision is the home's decision on a keyed request. A refusal or failure
// applies to this attempt only: if an earlier attempt of the same request was
// sent and not answered, the sender must not report "not run".
type Decision struct {
	Kind DecisionKind
	// Reply is set for DecisionReply, without ID and Load. It is the recorded
	// answer, a refusal (the request did not run) or a failure (the outcome of the
	// key is unknown).
	Reply bulrushchute.Reply
}

// Release lists the requests that waited for a key and the reply to all of them.
type Release struct {
	Attempts []bulrushchute.AttemptID
	Reply    bulrushchute.Reply
}

func decideReply(reply bulrushchute.Reply) Decision {
	return Decision{Kind: DecisionReply, Reply: reply}
}

// decideRefusal returns the decision on a request that did not run.
func decideRefusal(reason bulrushchute.Reason, retryAfter bulrushchute.Millis) Decision {
	return decideReply(bulrushchute.Reply{Refusal: &bulrushchute.Refusal{Reason: reason, RetryAfter: retryAfter}})
}

// unknownReply returns the reply to a request whose key may have run.
func unknownReply(reason bulrushchute.Reason) bulrushchute.Reply {
	return bulrushchute.Reply{Failure: &bulrushchute.Failure{Reason: reason}}
}
