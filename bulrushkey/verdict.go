package bulrushkey

import (
	"bulrushchute.example/bulrushchute"
)

// Request is a keyed request as it reaches the key's home.
type Request struct {
	Key Key
	// Attempt identifies the request while it waits.
	Attempt bulrushchute.AttemptID
	// Fingerprint is a hash of the tenant, method, path and body. A key that
	// comes back with another fingerprint names different work.
	Fingerprint uint64
}

// VerdictKind says what the home does with a keyed request.
type VerdictKind uint8

// Kinds of verdicts.
const (
	// VerdictSettled means that Verdict.Reply is the final reply.
	VerdictSettled VerdictKind = iota
	// VerdictRun means that the key is now recorded as running and that the
	// node runs the request, once, and then calls Done.
	VerdictRun
	// VerdictWait means that the same key is running. The request is answered
	// with the reply of the Done or Tick call that returns its attempt.
	VerdictWait
)

// Verdict is the home's decision on a keyed request. A refusal or failure
// describes this request only: if an earlier attempt of the same request was
// sent and not answered, its sender may not report "not run".
type Verdict struct {
	Kind VerdictKind
	// Reply is set for VerdictSettled, without ID and Load: the recorded answer,
	// a refusal (the request did not run) or a failure (the key's outcome is unknown).
	Reply bulrushchute.Reply
}

// Release is a reply to requests that waited for a key.
type Release struct {
	Attempts []bulrushchute.AttemptID
	Reply    bulrushchute.Reply
}

func settled(reply bulrushchute.Reply) Verdict {
	return Verdict{Kind: VerdictSettled, Reply: reply}
}

// refusal is the verdict on a request that did not run.
func refusal(reason bulrushchute.Reason, retryAfter bulrushchute.Millis) Verdict {
	return settled(bulrushchute.Reply{Refusal: &bulrushchute.Refusal{Reason: reason, RetryAfter: retryAfter}})
}

// unknown is the reply to a request whose key may have run.
func unknown(reason bulrushchute.Reason) bulrushchute.Reply {
	return bulrushchute.Reply{Failure: &bulrushchute.Failure{Reason: reason}}
}
