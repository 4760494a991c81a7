package bulrushusage

import (
	"strconv"

	"bulrushchute.example/bulrushchute"
)

// Action is what a Reporter asks of its owner: a call to the store (*ReadLedger,
// *WriteLedger), a call to the platform (*Send), the end of the term (*GiveUpTerm), or
// only a log line and an announcement (*Settled, *GivenUp). The owner makes each call
// at once, once, and passes its result to Reporter.Done.
type Action interface {
	// Call identifies the call among all those of the Reporter. It is 0 for actions
	// without a call, which have no result.
	Call() uint64
}

// ReadLedger asks for a consistent read of the ledger, the object with
// bulrushchute.KindUsage and LedgerName.
type ReadLedger struct {
	Number uint64
}

// WriteLedger asks for a conditional write of the ledger: an update based on
// Object.Version, or a create if that is 0.
type WriteLedger struct {
	Number uint64
	Object bulrushchute.Object
	Ledger Ledger
}

// Send asks for a report to the platform. The owner checks Reporter.Permitted
// immediately before it sends, and ends the call at Until, with the connection reset
// so that the operating system does not deliver the request later.
type Send struct {
	Number uint64
	Token  uint64
	Report bulrushchute.UsageReport
	Until  bulrushchute.Millis
}

// GiveUpTerm asks the owner to renew the lease no more, and to release it after
// ReleaseAfter unless it has expired. The owner begins no further term with its token.
type GiveUpTerm struct {
	Cause        error
	ReleaseAfter bulrushchute.Millis
}

// Settled tells that the counts of a window are in the ledger. Total has only the
// counts if another term had put them there.
type Settled struct {
	Window Window
	Total  Total
}

// GivenUp tells that the windows From to Through are not reported, or not any more.
type GivenUp struct {
	From, Through Window
}

// Call implements Action.
func (a *ReadLedger) Call() uint64 { return a.Number }

// Call implements Action.
func (a *WriteLedger) Call() uint64 { return a.Number }

// Call implements Action.
func (a *Send) Call() uint64 { return a.Number }

// Call implements Action.
func (a *GiveUpTerm) Call() uint64 { return 0 }

// Call implements Action.
func (a *Settled) Call() uint64 { return 0 }

// Call implements Action.
func (a *GivenUp) Call() uint64 { return 0 }

// Outcome is what is known about the effect of a call.
type Outcome uint8

// Outcomes of calls.
const (
	// OutcomeUnknown: the call may have taken effect or may do so later.
	OutcomeUnknown Outcome = iota
	// OutcomeDone: the call has taken effect, or the read has returned the object.
	OutcomeDone
	// OutcomeNotDone: the call certainly had no effect and will have none.
	OutcomeNotDone
	// OutcomeConflict: the object was not at the version on which a write was based.
	OutcomeConflict
	// OutcomeNotFound: the object does not exist.
	OutcomeNotFound
)

// Result is the result of a call. Object is the object as read or written, if Outcome
// is OutcomeDone and the call was to the store.
type Result struct {
	Outcome Outcome
	Object  bulrushchute.Object
}

// SupersededError reports a term that ended because the ledger or the store shows a
// later one.
type SupersededError struct {
	// Token is that of the term.
	Token uint64
	// LedgerToken and StoreEra are what was read.
	LedgerToken uint64
	StoreEra    uint64
}

// Error implements error.
func (e *SupersededError) Error() string {
	return "usage duty superseded: token " + tokenText(e.Token) + ", ledger written with " + tokenText(e.LedgerToken) +
		" in era " + uintText(e.StoreEra)
}

func tokenText(token uint64) string {
	return uintText(bulrushchute.EraOf(token)) + "/" + uintText(bulrushchute.RevisionOf(token))
}

func uintText(number uint64) string {
	return strconv.FormatUint(number, 10)
}
