package bulrushusage

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

const (
	// CallTimeout is the longest time that a call to the platform or the store takes.
	CallTimeout = bulrushchute.Second
	// settleDelay is the time from the end of a window in which late counts are awaited
	// even if the total is complete.
	settleDelay = 1500 * bulrushchute.Millisecond
	// countsDelay is the time in which the counts of other nodes arrive at a new holder.
	countsDelay = 2500 * bulrushchute.Millisecond
	// settleReserve is the time before a report is due at which it is settled although
	// its total is incomplete.
	settleReserve = 4 * bulrushchute.Second
	// maxSendDelay is the longest time to the repetition of a report.
	maxSendDelay = 4 * bulrushchute.Second
	// storeRetryDelay is the time to the repetition of a failed call to the store.
	storeRetryDelay = 500 * bulrushchute.Millisecond
	// malformedRetryDelay is the time to the next read of a ledger that cannot be parsed.
	malformedRetryDelay = 4 * bulrushchute.Second
)

// Reporter decides what the holder of the duty writes to the ledger and sends to the
// platform. At most one call to the store and one to the platform are outstanding. It
// lives as long as the process, because it remembers across terms what it has sent. It
// is not safe for concurrent use.
type Reporter struct {
	settings Settings
	term     term
	// calls numbers the calls of all terms, so that results of earlier terms match none.
	calls uint64
	// notices are actions without a call that Next has still to return.
	notices []Action
	// known has the windows that were seen in the ledger or sent, by this process.
	known map[Window]knownWindow
	// announced is the greatest Ledger.Next seen. Notices were given for all windows
	// before it.
	announced Window
	// restored is set once the store was restored from a copy.
	restored bool
	// lastToken, lastUntil and lastCall are those of the latest Send.
	lastToken uint64
	lastUntil bulrushchute.Millis
	lastCall  uint64
	// unansweredUntil is the time until which a Send may still arrive, because its result
	// is outstanding or unknown.
	unansweredUntil bulrushchute.Millis
}

// term is the state of a term of the lease, the zero value if there is none.
type term struct {
	token uint64
	begun bulrushchute.Millis
	// mustRead is set if the content of the ledger is not known.
	mustRead bool
	// claimed is set while the ledger is known to have the token of this term.
	claimed bool
	// exists, object and ledger are as last read or written.
	exists bool
	object bulrushchute.Object
	ledger Ledger
	// totals are those of the windows in the latest write.
	totals map[Window]Total
	// storeCall and sendCall are the outstanding calls, 0 if there are none.
	storeCall uint64
	sendCall  uint64
	// storeAfter is the time before which no call to the store is made.
	storeAfter bulrushchute.Millis
	retries    map[Window]sendRetry
}

type sendRetry struct {
	failures int
	after    bulrushchute.Millis
}

// knownWindow is a window that was seen in the ledger or sent.
type knownWindow struct {
	counts Counts
	// sent is set if this process has sent the counts. They may have been accepted,
	// whatever the result was, and never change.
	sent bool
	// acknowledged is set once the platform has accepted the counts.
	acknowledged bool
	// givenUp is set if the window was removed from the ledger, for its size.
	givenUp bool
}

// NewReporter returns a Reporter without a term.
func NewReporter(settings Settings) *Reporter {
	return &Reporter{settings: settings, known: make(map[Window]knownWindow)}
}

// ContendAfter returns the time after which a process that started at the given one may
// contend for the lease. A report of its predecessor on the same node may arrive until
// CallTimeout after the start, and another holder may have acted since.
func ContendAfter(settings Settings, start bulrushchute.Millis) bulrushchute.Millis {
	return start + settings.LeaseMs + CallTimeout
}

// Begin begins a term of the lease with the given fencing token. The owner calls it
// whenever bulrushstore.Lease.Token changes.
func (r *Reporter) Begin(now bulrushchute.Millis, token uint64) {
	if r.lastToken != 0 && bulrushchute.EraOf(token) > bulrushchute.EraOf(r.lastToken) {
		r.restored = true
	}
	r.term = term{token: token, begun: now, mustRead: true, retries: make(map[Window]sendRetry)}
}

// End ends the term. Results of its calls are ignored from then on.
func (r *Reporter) End() {
	r.term = term{}
}

// Restored tells that the store was restored from a copy since this process started.
func (r *Reporter) Restored() {
	r.restored = true
}

// SettledThrough returns the last window that is settled, as far as this process knows,
// and whether there is one.
func (r *Reporter) SettledThrough() (Window, bool) {
	return max(r.announced, 1) - 1, r.announced > 0
}

// Permitted reports whether a call that Next returned may still be made.
func (r *Reporter) Permitted(now bulrushchute.Millis, action Action) bool {
	if send, ok := action.(*Send); ok {
		return send.Number == r.term.sendCall && now < send.Until
	}
	return action.Call() != 0 && action.Call() == r.term.storeCall
}

// Next returns the actions that are due. The owner calls it often, and with the time
// until which the lease is held.
func (r *Reporter) Next(now, leaseUntil bulrushchute.Millis, totals func(Window) Total) []Action {
	actions := r.notices
	r.notices = nil
	if r.term.token == 0 || now >= leaseUntil {
		return actions
	}
	if r.term.storeCall == 0 && now >= r.term.storeAfter {
		actions = append(actions, r.nextStoreCall(now, totals)...)
	}
	if r.term.sendCall == 0 && r.maySend(now, leaseUntil) {
		actions = append(actions, r.nextSend(now)...)
	}
	return append(actions, r.takeNotices()...)
}

func (r *Reporter) takeNotices() []Action {
	notices := r.notices
	r.notices = nil
	return notices
}

func (r *Reporter) nextCall() uint64 {
	r.calls++
	return r.calls
}

func (r *Reporter) nextStoreCall(now bulrushchute.Millis, totals func(Window) Total) []Action {
	if r.term.mustRead {
		r.term.storeCall = r.nextCall()
		return []Action{&ReadLedger{Number: r.term.storeCall}}
	}
	if r.term.claimed && !r.nextDue(now, totals) {
		return nil
	}
	ledger, changed := r.plan(now, totals)
	if !changed {
		return nil
	}
	return r.writeLedger(now, ledger)
}

// ReleaseAfter returns the time after which the lease may be released. Before, a report
// with the token of the term may arrive after one of the next holder.
func (r *Reporter) ReleaseAfter() bulrushchute.Millis {
	if r.lastCall != 0 {
		return max(r.lastUntil, r.unansweredUntil)
	}
	return r.unansweredUntil
}

// maySend reports whether the lease lets this holder send now. In a new term, no report
// of an earlier one may be under way. If another holder may have acted since the last
// Send of an earlier term, it also waits for LeaseMs from the time until which that could
// arrive. The next epoch shows that there was none.
func (r *Reporter) maySend(now, leaseUntil bulrushchute.Millis) bool {
	if !r.term.claimed || now+CallTimeout >= leaseUntil {
		return false
	}
	switch {
	case r.lastToken == 0 || r.term.token == r.lastToken:
		return true
	case r.term.token == r.lastToken+1:
		return now > r.ReleaseAfter()
	default:
		return now > r.lastUntil+r.settings.LeaseMs
	}
}

// nextSend returns the report of the settled window that was sent least often, of the
// earliest one among equals.
func (r *Reporter) nextSend(now bulrushchute.Millis) []Action {
	due := slices.DeleteFunc(slices.Clone(r.term.ledger.Windows), func(entry LedgerWindow) bool {
		return now < r.term.retries[entry.Window].after || !r.sendable(entry)
	})
	if len(due) == 0 {
		return nil
	}
	entry := slices.MinFunc(due, func(a, b LedgerWindow) int {
		return cmp.Or(cmp.Compare(r.term.retries[a.Window].failures, r.term.retries[b.Window].failures), cmp.Compare(a.Window, b.Window))
	})
	r.known[entry.Window] = knownWindow{counts: entry.Counts, sent: true}
	send := &Send{
		Number: r.nextCall(), Token: r.term.token, Until: now + CallTimeout,
		Report: bulrushchute.UsageReport{Window: entry.Window, Counts: entry.Counts},
	}
	r.term.sendCall = send.Number
	r.lastCall, r.lastToken, r.lastUntil = send.Number, send.Token, send.Until
	return []Action{send}
}

// Done takes the result of a call. The error is for the log: the ledger is malformed, or
// does not belong to the term. A result of an earlier term is ignored.
func (r *Reporter) Done(now bulrushchute.Millis, action Action, result Result) error {
	switch call := action.(type) {
	case *ReadLedger:
		return r.readDone(now, call, result)
	case *WriteLedger:
		return r.writeDone(now, call, result)
	case *Send:
		r.sendDone(now, call, result.Outcome)
	}
	return nil
}

func (r *Reporter) sendDone(now bulrushchute.Millis, call *Send, outcome Outcome) {
	if call.Number == r.lastCall {
		r.lastCall = 0
		if outcome == OutcomeUnknown {
			r.unansweredUntil = call.Until
		}
	}
	if call.Number != r.term.sendCall {
		return
	}
	r.term.sendCall = 0
	window := call.Report.Window
	if outcome == OutcomeDone {
		known := r.known[window]
		known.counts, known.sent, known.acknowledged = call.Report.Counts, true, true
		r.known[window] = known
		delete(r.term.retries, window)
		if entry, found := r.term.ledger.find(window); found {
			entry.Acknowledged = true
			r.term.ledger = r.term.ledger.withWindow(entry)
		}
		return
	}
	retry := r.term.retries[window]
	retry.after = now + min(bulrushchute.Second<<min(retry.failures, 8), maxSendDelay)
	retry.failures++
	r.term.retries[window] = retry
}

func (r *Reporter) readDone(now bulrushchute.Millis, call *ReadLedger, result Result) error {
	if call.Number != r.term.storeCall {
		return nil
	}
	r.term.storeCall = 0
	switch {
	case result.Outcome == OutcomeNotFound:
		r.term.mustRead, r.term.claimed, r.term.exists = false, false, false
		r.term.object, r.term.ledger = bulrushchute.Object{}, Ledger{}
		return nil
	case result.Outcome != OutcomeDone || result.Object.Version < r.term.object.Version:
		// An earlier version than the known one comes from a read that was out of date.
		r.term.storeAfter = now + storeRetryDelay
		return nil
	}
	ledger, err := ParseLedger(result.Object.Value)
	if err != nil {
		r.term.claimed = false
		r.term.storeAfter = now + malformedRetryDelay
		return err
	}
	r.term.mustRead = false
	return r.adopt(result.Object, ledger)
}

func (r *Reporter) writeDone(now bulrushchute.Millis, call *WriteLedger, result Result) error {
	if call.Number != r.term.storeCall {
		return nil
	}
	r.term.storeCall = 0
	switch result.Outcome {
	case OutcomeDone:
		return r.adopt(result.Object, call.Ledger)
	case OutcomeNotDone:
		r.term.storeAfter = now + storeRetryDelay
	case OutcomeUnknown:
		r.term.mustRead = true
		r.term.storeAfter = now + storeRetryDelay
	default:
		// Another holder may have taken over the ledger, so nothing is sent until it has
		// been read.
		r.term.mustRead, r.term.claimed = true, false
	}
	return nil
}

// adopt takes over the ledger as it is in the store. It ends the term if that is of a
// later one.
func (r *Reporter) adopt(object bulrushchute.Object, ledger Ledger) error {
	era := bulrushchute.EraOf(object.Version)
	if ledger.Token > r.term.token || era > bulrushchute.EraOf(r.term.token) {
		err := &SupersededError{Token: r.term.token, LedgerToken: ledger.Token, StoreEra: era}
		r.End()
		r.notices = append(r.notices, &GiveUpTerm{Cause: err, ReleaseAfter: r.ReleaseAfter()})
		return errors.WithStack(err)
	}
	r.noteChanges(ledger)
	if r.ofThisEra(ledger) {
		for _, entry := range ledger.Windows {
			r.remember(entry)
		}
	}
	r.term.exists, r.term.object, r.term.ledger = true, object.WithValue(nil), ledger
	r.term.claimed = ledger.Token == r.term.token
	return nil
}
