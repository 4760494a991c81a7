package bulrushattempt

import (
	"bulrushchute.example/bulrushchute"
)

// defaultRetryAfter is told when no refusal gave a time. Within it, entry
// nodes learn of failed instances and of changed load.
const defaultRetryAfter = bulrushchute.Second

type phase uint8

const (
	phaseChoosing phase = iota
	phaseUnanswered
	phaseEnded
	phaseCancelled
)

type attempt struct {
	phase  phase
	sentAt bulrushchute.Millis
	// paidFrom is the bucket whose token the attempt used, nil for the first attempt.
	paidFrom *tokens
	// reached is set when the attempt ended without proof that it did not run.
	reached bool
}

// drop ends an attempt that was never sent and returns its token.
func (a *attempt) drop() {
	a.phase = phaseEnded
	if a.paidFrom != nil {
		a.paidFrom.giveBack()
	}
}

// Machine decides on the attempts of one request. It is not safe for concurrent use.
type Machine struct {
	info     bulrushchute.RequestInfo
	budgets  *Budgets
	attempts []attempt
	tried    []bulrushchute.InstanceID

	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun bool
	hedged     bool
	// errorAnswer is the number of the last attempt that ended with a whole
	// answer reporting a failure. It is passed on when nothing better comes.
	errorAnswer int
	lastReason  bulrushchute.Reason
	retryAfter  bulrushchute.Millis
	// next is the bucket that pays for the next attempt, nil when none is due.
	next     *tokens
	final    *Final
	finished bool
}

// New returns the machine of a request that arrived now.
func New(info bulrushchute.RequestInfo, budgets *Budgets, now bulrushchute.Millis) *Machine {
	budgets.countRequest()
	m := &Machine{info: info, budgets: budgets}
	if now >= info.Deadline {
		m.giveUp(bulrushchute.ReasonDeadline)
	}
	return m
}

// Next returns the next action. It may be called at any time.
func (m *Machine) Next(now bulrushchute.Millis) Action {
	if m.finished {
		return Action{Kind: ActionNone}
	}
	if m.final == nil && now >= m.info.Deadline {
		m.giveUp(bulrushchute.ReasonDeadline)
	}
	if m.final != nil {
		return m.close(now)
	}
	if len(m.attempts) == 0 || m.next != nil {
		return m.send(m.next, false)
	}
	return m.hedgeOrWait(now)
}

// Sent records that an attempt is about to be sent to an instance. It returns
// false when the request has ended meanwhile; then the attempt must not be sent.
func (m *Machine) Sent(now bulrushchute.Millis, number int, instance bulrushchute.InstanceID) bool {
	a := m.attemptIn(number, phaseChoosing)
	if a == nil {
		return false
	}
	if m.final != nil {
		a.drop()
		return false
	}
	a.phase = phaseUnanswered
	a.sentAt = now
	m.tried = append(m.tried, instance)
	return true
}

// NoBackend records that there is no instance for an attempt that Next asked to send.
func (m *Machine) NoBackend(_ bulrushchute.Millis, number int) {
	a := m.attemptIn(number, phaseChoosing)
	if a == nil {
		return
	}
	a.drop()
	if m.final != nil || m.unanswered() > 0 {
		return
	}
	reason := m.lastReason
	if reason == "" {
		reason = bulrushchute.ReasonNoBackend
	}
	m.giveUp(reason)
}

// Ended records the end of an attempt. It returns false when the attempt is
// unknown, cancelled or already ended; then its answer must be dropped.
func (m *Machine) Ended(now bulrushchute.Millis, number int, end End) bool {
	a := m.attemptIn(number, phaseUnanswered)
	if a == nil || m.final != nil {
		return false
	}
	a.phase = phaseEnded
	a.reached = end.Result != bulrushchute.ResultNotRun && end.Result != bulrushchute.ResultNotSent
	switch end.Result {
	case bulrushchute.ResultAnswered:
		m.budgets.latency.record(now, now-a.sentAt)
		m.final = &Final{Outcome: bulrushchute.OutcomeAnswered, Attempt: number}
	case bulrushchute.ResultServerError:
		m.errorAnswer = number
		m.failed(end)
	case bulrushchute.ResultNotRun, bulrushchute.ResultNotSent:
		m.refused(end)
	default:
		m.failed(end)
	}
	return true
}

// CallerGone records that nobody waits for the answer any more. Idempotent
// attempts are cancelled. A non-idempotent attempt is left to run to its end,
// since a cancelled filing or payout may be half done; the node still waits
// for its reply to keep the picker's counts exact.
func (m *Machine) CallerGone(_ bulrushchute.Millis) {
	if m.final != nil {
		return
	}
	m.giveUp(bulrushchute.ReasonCancelled)
	m.errorAnswer = 0
	if !m.info.Idempotent {
		m.abandonUnanswered()
	}
}

func (m *Machine) attemptIn(number int, wanted phase) *attempt {
	if number < 1 || number > len(m.attempts) {
		return nil
	}
	a := &m.attempts[number-1]
	if a.phase != wanted {
		return nil
	}
	return a
}

func (m *Machine) unanswered() int {
	count := 0
	for _, a := range m.attempts {
		if a.phase == phaseUnanswered {
			count++
		}
	}
	return count
}

func (m *Machine) choosing() bool {
	count := len(m.attempts)
	return count > 0 && m.attempts[count-1].phase == phaseChoosing
}

func (m *Machine) abandonUnanswered() {
	for i := range m.attempts {
		if m.attempts[i].phase == phaseUnanswered {
			m.attempts[i].phase = phaseCancelled
		}
	}
}

func (m *Machine) send(paidFrom *tokens, hedge bool) Action {
	m.next = nil
	retry := m.info.Retry || m.mayHaveRun || m.unanswered() > 0
	m.attempts = append(m.attempts, attempt{paidFrom: paidFrom})
	return Action{
		Kind:    ActionSend,
		Attempt: len(m.attempts),
		Exclude: m.tried[:len(m.tried):len(m.tried)],
		Hedge:   hedge,
		Retry:   retry,
	}
}

// close returns the remaining actions of a request whose answer is decided.
func (m *Machine) close(now bulrushchute.Millis) Action {
	for i := range m.attempts {
		a := &m.attempts[i]
		if a.phase == phaseUnanswered {
			a.phase = phaseCancelled
			// The attempt took at least this long. Without it, the slow attempts
			// that hedges replace would be missing and the p95 too low.
			m.budgets.latency.record(now, now-a.sentAt)
			return Action{Kind: ActionCancel, Attempt: i + 1}
		}
	}
	m.finished = true
	return Action{Kind: ActionFinish, Final: *m.final}
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

// hedgeAt returns the instant for a hedge beside the attempt that is unanswered.
func (m *Machine) hedgeAt(now bulrushchute.Millis) (bulrushchute.Millis, bool) {
	if !m.info.Idempotent || m.info.Retry || m.info.WithoutHedge || m.hedged || m.choosing() {
		return 0, false
	}
	if !m.mayReachAnother() || m.unanswered() != 1 {
		return 0, false
	}
	delay, ok := m.budgets.HedgeDelay(now)
	if !ok {
		return 0, false
	}
	return m.attempts[len(m.attempts)-1].sentAt + delay, true
}

// failed handles an end after which the request may have run.
func (m *Machine) failed(end End) {
	m.mayHaveRun = true
	m.lastReason = end.Reason
	m.goOn(m.info.Idempotent && !m.info.Retry, &m.budgets.retries)
}

// refused handles an end that proves that the attempt did not run.
func (m *Machine) refused(end End) {
	if end.Reason == "" {
		end.Reason = bulrushchute.ReasonUnreachable
	}
	if !m.mayHaveRun {
		m.lastReason = end.Reason
	}
	if end.RetryAfter > 0 && (m.retryAfter == 0 || end.RetryAfter < m.retryAfter) {
		m.retryAfter = end.RetryAfter
	}
	budget := &m.budgets.refusals
	if end.Reached {
		budget = &m.budgets.retries
	}
	m.goOn(!finalReasons[end.Reason], budget)
}

// goOn asks for another attempt or gives the request up. An attempt that is
// still unanswered is waited for instead.
func (m *Machine) goOn(permitted bool, budget *tokens) {
	if m.unanswered() > 0 || m.choosing() {
		return
	}
	if !permitted || !m.mayReachAnother() {
		m.giveUp(m.lastReason)
		return
	}
	if !budget.take() {
		m.giveUp(bulrushchute.ReasonRetryBudget)
		return
	}
	m.next = budget
}

// mayReachAnother reports whether one more attempt is within the bounds: that
// of all attempts, and that of the request's route, which counts only those
// that may have reached a backend server.
func (m *Machine) mayReachAnother() bool {
	if len(m.attempts) >= MaxAttempts {
		return false
	}
	return m.info.Attempts <= 0 || m.reached() < m.info.Attempts
}

func (m *Machine) reached() int {
	count := 0
	for _, a := range m.attempts {
		if a.phase == phaseUnanswered || a.phase == phaseCancelled || a.reached {
			count++
		}
	}
	return count
}

func (m *Machine) giveUp(reason bulrushchute.Reason) {
	if m.next != nil {
		m.next.giveBack()
		m.next = nil
	}
	m.final = m.finalFor(reason)
}

func (m *Machine) finalFor(reason bulrushchute.Reason) *Final {
	if m.errorAnswer > 0 {
		return &Final{Outcome: bulrushchute.OutcomeAnswered, Attempt: m.errorAnswer}
	}
	final := &Final{Outcome: bulrushchute.OutcomeNotRun, Reason: reason, RetryAfter: m.retryAfter}
	if final.RetryAfter == 0 {
		final.RetryAfter = defaultRetryAfter
	}
	if m.mayHaveRun || m.unanswered() > 0 {
		final.Outcome = bulrushchute.OutcomeUnknown
	}
	if final.Outcome == bulrushchute.OutcomeUnknown && !m.info.Idempotent {
		final.RetryAfter = 0
	}
	return final
}

// finalReasons are the refusals that every other instance would repeat.
var finalReasons = map[bulrushchute.Reason]bool{
	bulrushchute.ReasonDeadline:       true,
	bulrushchute.ReasonTooDeep:        true,
	bulrushchute.ReasonTooLarge:       true,
	bulrushchute.ReasonMalformed:      true,
	bulrushchute.ReasonUnknownService: true,
	bulrushchute.ReasonCancelled:      true,
	bulrushchute.ReasonKeyHome:        true,
	bulrushchute.ReasonKeyRecordFull:  true,
	bulrushchute.ReasonKeyTooOld:      true,
	bulrushchute.ReasonKeyFromFuture:  true,
	bulrushchute.ReasonKeyFormat:      true,
}
