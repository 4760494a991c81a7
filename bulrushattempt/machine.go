package bulrushattempt

import (
	"bulrushchute.example/bulrushchute"
)

// defaultRetryAfter is sent to the caller when no refusal gave a delay. It
// leaves entry nodes time to learn of failed instances and of changes in load.
const defaultRetryAfter = bulrushchute.Second

type phase uint8

const (
	// phasePicking lasts until the node calls Sent or NoBackend.
	phasePicking phase = iota
	phaseOutstanding
	phaseEnded
	// phaseAbandoned attempts were cancelled. Their ends are ignored.
	phaseAbandoned
)

type attempt struct {
	phase  phase
	sentAt bulrushchute.Millis
	// purse is what paid for the attempt, nil for the first
	// attempt.
	purse purse
	// mayHaveRun is set when the attempt ended without proof that it did not
	// run.
	mayHaveRun bool
}

// discard ends an attempt that was never sent and refunds its token.
func (a *attempt) discard() {
	a.phase = phaseEnded
	if a.purse != nil {
		a.purse.refund()
	}
}

// Machine is the state machine of one request. It decides on its attempts. It
// is not safe for concurrent use.
type Machine struct {
	info     bulrushchute.RequestInfo
	budgets  *Budgets
	owner    *account
	attempts []attempt
	tried    []bulrushchute.InstanceID

	// mayHaveRun is set once an attempt has ended without proof that it did not
	// run.
	mayHaveRun bool
	// hedged is set once the request was due for a hedge, also when the budget
	// did not permit it.
	hedged bool
	// slowRefusals is the number of attempts that were refused because of a
	// slowdown of the server's machine.
	slowRefusals int
	// errorAttempt is the number of the last attempt that ended with
	// ResultServerError, 0 for none. The caller receives that answer unless a later
	// attempt succeeds.
	errorAttempt int
	// lastReason is the reason of the last failure, or of the last refusal if no
	// attempt may have run.
	lastReason bulrushchute.Reason
	// retryAfter is the shortest delay that a refusal asked for, 0 for none.
	retryAfter bulrushchute.Millis
	// nextPurse is what has paid for the next attempt, nil when
	// none is due.
	nextPurse purse
	// final is the result of the request, nil until it is decided.
	final *FinalResult
	// finished is set once Next has returned ActionFinish.
	finished bool
}

// New returns the Machine of a request that arrives at now.
func New(info bulrushchute.RequestInfo, budgets *Budgets, now bulrushchute.Millis) *Machine {
	m := &Machine{info: info, budgets: budgets, owner: budgets.countRequest(info.Tenant)}
	if now >= info.Deadline {
		m.endRequest(bulrushchute.ReasonDeadline)
	}
	return m
}

// Next returns the next action. It may be called at any time.
func (m *Machine) Next(now bulrushchute.Millis) Action {
	if m.finished {
		return Action{Kind: ActionNone}
	}
	if m.final == nil && now >= m.info.Deadline {
		m.endRequest(bulrushchute.ReasonDeadline)
	}
	if m.final != nil {
		return m.close(now)
	}
	if len(m.attempts) == 0 || m.nextPurse != nil {
		return m.send(m.nextPurse, false)
	}
	return m.hedgeOrWait(now)
}

// Sent records that an attempt is about to be sent to an instance. It returns
// false when the request has ended in the meantime; the attempt must then not
// be sent.
func (m *Machine) Sent(now bulrushchute.Millis, number int, instance bulrushchute.InstanceID) bool {
	a := m.attemptInPhase(number, phasePicking)
	if a == nil {
		return false
	}
	if m.final != nil {
		a.discard()
		return false
	}
	a.phase = phaseOutstanding
	a.sentAt = now
	m.tried = append(m.tried, instance)
	return true
}

// NoBackend records that there is no instance for an attempt that Next asked
// to send.
func (m *Machine) NoBackend(_ bulrushchute.Millis, number int) {
	a := m.attemptInPhase(number, phasePicking)
	if a == nil {
		return
	}
	a.discard()
	if m.final != nil || m.outstanding() > 0 {
		return
	}
	reason := m.lastReason
	if reason == "" {
		reason = bulrushchute.ReasonNoBackend
	}
	m.endRequest(reason)
}

// Refuse records that an attempt that Next asked to send must not be sent now,
// because of the request's content.
func (m *Machine) Refuse(number int, reason bulrushchute.Reason, retryAfter bulrushchute.Millis) {
	a := m.attemptInPhase(number, phasePicking)
	if a == nil {
		return
	}
	a.discard()
	if m.final != nil || m.outstanding() > 0 {
		return
	}
	if !m.mayHaveRun {
		m.lastReason = reason
	}
	m.retryAfter = retryAfter
	m.endRequest(m.lastReason)
}

// Ended records the end of an attempt. It returns false when the attempt is not
// outstanding, or the result of the request is decided; the answer must then be
// discarded.
func (m *Machine) Ended(now bulrushchute.Millis, number int, end End) bool {
	a := m.attemptInPhase(number, phaseOutstanding)
	if a == nil || m.final != nil {
		return false
	}
	a.phase = phaseEnded
	a.mayHaveRun = end.Result != bulrushchute.ResultNotRun && end.Result != bulrushchute.ResultNotSent
	switch end.Result {
	case bulrushchute.ResultAnswered:
		m.budgets.latency.record(now, now-a.sentAt)
		m.final = &FinalResult{Outcome: bulrushchute.OutcomeAnswered, Attempt: number}
	case bulrushchute.ResultServerError:
		m.errorAttempt = number
		m.onFailure(end)
	case bulrushchute.ResultNotRun, bulrushchute.ResultNotSent:
		m.onRefusal(end)
	default:
		m.onFailure(end)
	}
	return true
}

// CallerGone records that the caller no longer waits for the answer. The outstanding
// attempts are cancelled. The node beside the backend server ends a non-idempotent one
// only if it has not begun, since a filing or payout may otherwise be left half done.
func (m *Machine) CallerGone(_ bulrushchute.Millis) {
	if m.final != nil {
		return
	}
	m.endRequest(bulrushchute.ReasonCancelled)
	m.errorAttempt = 0
}

func (m *Machine) attemptInPhase(number int, expected phase) *attempt {
	if number < 1 || number > len(m.attempts) {
		return nil
	}
	a := &m.attempts[number-1]
	if a.phase != expected {
		return nil
	}
	return a
}

func (m *Machine) outstanding() int {
	count := 0
	for _, a := range m.attempts {
		if a.phase == phaseOutstanding {
			count++
		}
	}
	return count
}

func (m *Machine) picking() bool {
	count := len(m.attempts)
	return count > 0 && m.attempts[count-1].phase == phasePicking
}

func (m *Machine) send(purse purse, hedge bool) Action {
	m.nextPurse = nil
	retry := m.info.Retry || m.mayHaveRun || m.outstanding() > 0
	m.attempts = append(m.attempts, attempt{purse: purse})
	return Action{
		Kind:    ActionSend,
		Attempt: len(m.attempts),
		Exclude: m.tried[:len(m.tried):len(m.tried)],
		Last:    m.slowRefusals >= MaxSlowRefusals || !m.budgets.share(m.owner, bucketSlowRefusals).available(),
		Hedge:   hedge,
		Retry:   retry,
	}
}

// close returns the next action of a request whose result is decided: it
// cancels the outstanding attempts one by one, then finishes.
func (m *Machine) close(now bulrushchute.Millis) Action {
	for i := range m.attempts {
		a := &m.attempts[i]
		if a.phase == phaseOutstanding {
			a.phase = phaseAbandoned
			// The elapsed time is a lower bound of the latency. Without it, the
			// histogram would lack the slow attempts that hedges replace, and the
			// p95 would be too low.
			m.budgets.latency.record(now, now-a.sentAt)
			return Action{Kind: ActionCancel, Attempt: i + 1}
		}
	}
	m.finished = true
	return Action{Kind: ActionFinish, FinalResult: *m.final}
}

func (m *Machine) hedgeOrWait(now bulrushchute.Millis) Action {
	at, ok := m.hedgeAt(now)
	if !ok || at >= m.info.Deadline {
		return Action{Kind: ActionWait, Until: m.info.Deadline}
	}
	if now < at {
		return Action{Kind: ActionWait, Until: at}
	}
	m.hedged = true
	if !m.budgets.hedges.take() {
		return Action{Kind: ActionWait, Until: m.info.Deadline}
	}
	return m.send(&m.budgets.hedges, true)
}

// hedgeAt returns the time at which to hedge the outstanding attempt, and false
// when it must not be hedged or too few latencies are known.
func (m *Machine) hedgeAt(now bulrushchute.Millis) (bulrushchute.Millis, bool) {
	if !m.info.Idempotent || m.info.Retry || m.info.WithoutHedge || m.hedged || m.picking() {
		return 0, false
	}
	if !m.maySendAnother() || m.outstanding() != 1 {
		return 0, false
	}
	delay, ok := m.budgets.HedgeDelay(now)
	if !ok {
		return 0, false
	}
	return m.attempts[len(m.attempts)-1].sentAt + delay, true
}

// onFailure handles the end of an attempt that may have run.
func (m *Machine) onFailure(end End) {
	m.mayHaveRun = true
	m.lastReason = end.Reason
	m.retryOrEnd(m.info.Idempotent && !m.info.Retry, bucketRetries)
}

// onRefusal handles the end of an attempt that certainly did not run.
func (m *Machine) onRefusal(end End) {
	if end.Reason == "" {
		end.Reason = bulrushchute.ReasonUnreachable
	}
	if !m.mayHaveRun {
		m.lastReason = end.Reason
	}
	if end.RetryAfter > 0 && (m.retryAfter == 0 || end.RetryAfter < m.retryAfter) {
		m.retryAfter = end.RetryAfter
	}
	kind := bucketRefusals
	switch {
	case end.Reached:
		kind = bucketRetries
	case end.Reason == bulrushchute.ReasonSlow || end.Reason == bulrushchute.ReasonServerLimit:
		m.slowRefusals++
		kind = bucketSlowRefusals
	}
	m.retryOrEnd(!nonRetryableReasons[end.Reason], kind)
}

// retryOrEnd schedules another attempt or ends the request. It does neither
// while another attempt is outstanding or about to be sent.
func (m *Machine) retryOrEnd(retryable bool, kind bucketKind) {
	if m.outstanding() > 0 || m.picking() {
		return
	}
	if !retryable || !m.maySendAnother() {
		m.endRequest(m.lastReason)
		return
	}
	share := m.budgets.share(m.owner, kind)
	if !share.take() {
		m.endRequest(bulrushchute.ReasonRetryBudget)
		return
	}
	m.nextPurse = share
}

// maySendAnother reports whether the limits permit another attempt: MaxAttempts
// and RequestInfo.Attempts, the limit of the request's route, which counts only
// the attempts that may have run.
func (m *Machine) maySendAnother() bool {
	if len(m.attempts)-min(m.slowRefusals, MaxSlowRefusals) >= MaxAttempts {
		return false
	}
	return m.info.Attempts <= 0 || m.countMayHaveRun() < m.info.Attempts
}

func (m *Machine) countMayHaveRun() int {
	count := 0
	for _, a := range m.attempts {
		if a.phase == phaseOutstanding || a.phase == phaseAbandoned || a.mayHaveRun {
			count++
		}
	}
	return count
}

func (m *Machine) endRequest(reason bulrushchute.Reason) {
	if m.nextPurse != nil {
		m.nextPurse.refund()
		m.nextPurse = nil
	}
	m.final = m.finalResult(reason)
}

func (m *Machine) finalResult(reason bulrushchute.Reason) *FinalResult {
	if m.errorAttempt > 0 {
		return &FinalResult{Outcome: bulrushchute.OutcomeAnswered, Attempt: m.errorAttempt}
	}
	final := &FinalResult{Outcome: bulrushchute.OutcomeNotRun, Reason: reason, RetryAfter: m.retryAfter}
	if final.RetryAfter == 0 {
		final.RetryAfter = defaultRetryAfter
	}
	if m.mayHaveRun || m.outstanding() > 0 {
		final.Outcome = bulrushchute.OutcomeUnknown
	}
	if final.Outcome == bulrushchute.OutcomeUnknown && !m.info.Idempotent {
		final.RetryAfter = 0
	}
	return final
}

// nonRetryableReasons are the reasons for which every other instance would
// refuse the request as well.
var nonRetryableReasons = map[bulrushchute.Reason]bool{
	bulrushchute.ReasonDeadline:       true,
	bulrushchute.ReasonTooDeep:        true,
	bulrushchute.ReasonTooLarge:       true,
	bulrushchute.ReasonMalformed:      true,
	bulrushchute.ReasonUnknownService: true,
	bulrushchute.ReasonCancelled:      true,
	bulrushchute.ReasonQuarantined:    true,
	bulrushchute.ReasonKeyHome:        true,
	bulrushchute.ReasonKeyRecordFull:  true,
	bulrushchute.ReasonKeyTooOld:      true,
	bulrushchute.ReasonKeyFromFuture:  true,
	bulrushchute.ReasonKeyFormat:      true,
}
