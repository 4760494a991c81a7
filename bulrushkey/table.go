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

// Verdict is the home's decision on a keyed request.
type Verdict struct {
	Kind VerdictKind
	// Reply is set for VerdictSettled: the recorded answer, a refusal (the
	// request did not run) or a failure (the key's outcome is unknown).
	Reply bulrushchute.Reply
}

// Release is a reply to requests that waited for a key.
type Release struct {
	Attempts []bulrushchute.AttemptID
	Reply    bulrushchute.Reply
}

// Table holds the keys that one home has recorded. It is not safe for
// concurrent use.
type Table struct {
	settings Settings
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table { return &Table{settings: settings} }

// Offer decides on a keyed request. The permit is that of the key's partition
// at the same instant.
func (t *Table) Offer(_ bulrushchute.Millis, _ Request, _ Permit) Verdict { return Verdict{} }

// Done records how the running attempt of a key ended and returns the requests
// that waited for it. A refusal removes the key, so that it can still run.
func (t *Table) Done(_ bulrushchute.Millis, _ Key, _ bulrushchute.Reply) Release { return Release{} }

// Abandon removes a waiting request whose caller has gone.
func (t *Table) Abandon(_ Key, _ bulrushchute.AttemptID) {}

// Tick drops keys that are past their retention and returns the requests that
// still waited for them.
func (t *Table) Tick(_ bulrushchute.Millis) []Release { return nil }

// Len returns the number of recorded keys.
func (t *Table) Len() int { return 0 }

// Bytes returns the memory that the table accounts for.
func (t *Table) Bytes() int { return 0 }
