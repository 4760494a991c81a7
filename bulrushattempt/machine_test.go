package bulrushattempt

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

const deadline = 1000 * bulrushchute.Millisecond

func Example() {
	budgets := NewBudgets(0)
	machine := New(bulrushchute.RequestInfo{Deadline: deadline}, budgets, 0)
	send := machine.Next(0)
	fmt.Println(send.Kind, send.Attempt)
	machine.Sent(0, send.Attempt, "a")
	machine.Ended(5, send.Attempt, End{Result: bulrushchute.ResultNotRun, Reason: bulrushchute.ReasonBusy, RetryAfter: 40})
	again := machine.Next(5)
	fmt.Println(again.Kind, again.Attempt, again.Exclude)
	machine.Sent(5, again.Attempt, "b")
	machine.Ended(9, again.Attempt, End{Result: bulrushchute.ResultUnknown, Reason: bulrushchute.ReasonConnectionLost})
	final := machine.Next(9).FinalResult
	fmt.Println(final.Outcome, final.Reason)
	// Output:
	// send 1
	// send 2 [a]
	// unknown connection_lost
}

// script drives a Machine with a sequence of words and records its actions:
//
//	busy, shed, late, unsent, lost, error, ok   end the last attempt sent
//	first:...                                   ends the first attempt
//	none, as the last word                      there is no instance to retry on
//	gone                                        the caller is gone
//	+n                                          n ms pass
//
// In the trace, an asterisk marks an attempt with the retry flag.
type script struct {
	machine  *Machine
	now      bulrushchute.Millis
	lastSent int
	trace    []string
	final    FinalResult
}

var ends = map[string]End{
	"busy":   {Result: bulrushchute.ResultNotRun, Reason: bulrushchute.ReasonBusy, RetryAfter: 40},
	"shed":   {Result: bulrushchute.ResultNotRun, Reason: bulrushchute.ReasonShed, RetryAfter: 30},
	"late":   {Result: bulrushchute.ResultNotRun, Reason: bulrushchute.ReasonDeadline},
	"unsent": {Result: bulrushchute.ResultNotSent},
	"slow":   {Result: bulrushchute.ResultNotRun, Reason: bulrushchute.ReasonSlow, RetryAfter: 30},
	"lost":   {Result: bulrushchute.ResultUnknown, Reason: bulrushchute.ReasonConnectionLost},
	"error":  {Result: bulrushchute.ResultServerError},
	"ok":     {Result: bulrushchute.ResultAnswered},
}

func (s *script) play(words string) {
	s.drive(false)
	for word := range strings.FieldsSeq(words) {
		number := s.lastSent
		if trimmed, ok := strings.CutPrefix(word, "first:"); ok {
			word, number = trimmed, 1
		}
		switch {
		case word == "gone":
			s.machine.CallerGone(s.now)
		case word[0] == '+':
			var elapsed bulrushchute.Millis
			_, _ = fmt.Sscan(word[1:], &elapsed)
			s.now += elapsed
		case word != "none":
			s.machine.Ended(s.now, number, ends[word])
		}
		s.drive(strings.HasSuffix(words, "none"))
	}
}

func (s *script) drive(noBackend bool) {
	for {
		action := s.machine.Next(s.now)
		switch action.Kind {
		case ActionWait, ActionNone:
			return
		case ActionSend:
			s.send(action, noBackend)
		case ActionCancel:
			s.trace = append(s.trace, fmt.Sprint("cancel", action.Attempt))
		case ActionFinish:
			s.final = action.FinalResult
			s.trace = append(s.trace, strings.TrimSpace(fmt.Sprint(s.final.Outcome, " ", s.final.Reason)))
		}
	}
}

func (s *script) send(action Action, noBackend bool) {
	if noBackend && action.Attempt > 1 {
		s.machine.NoBackend(s.now, action.Attempt)
		return
	}
	s.lastSent = action.Attempt
	word := "send"
	if action.Hedge {
		word = "hedge"
	}
	if action.Retry {
		word += "*"
	}
	s.trace = append(s.trace, word)
	s.machine.Sent(s.now, action.Attempt, bulrushchute.InstanceID(rune('a'+len(action.Exclude))))
}

// Guards against requests that run twice, retries that multiply across levels
// of services, and results that come late or lack the delay before a retry.
func TestMachine(t *testing.T) {
	idempotent := bulrushchute.RequestInfo{Idempotent: true, Deadline: deadline}
	retried := bulrushchute.RequestInfo{Idempotent: true, Retry: true, Deadline: deadline}
	nonIdempotent := bulrushchute.RequestInfo{Deadline: deadline}
	cases := map[string]struct {
		info       bulrushchute.RequestInfo
		play       string
		want       string
		retryAfter bulrushchute.Millis
	}{
		"answered":                                    {nonIdempotent, "ok", "send, answered", 0},
		"non-idempotent: busy, then answered":         {nonIdempotent, "busy ok", "send, send, answered", 0},
		"non-idempotent: never sent after unknown":    {nonIdempotent, "lost", "send, unknown connection_lost", 0},
		"non-idempotent: unknown after refusal":       {nonIdempotent, "busy lost", "send, send, unknown connection_lost", 0},
		"non-idempotent: not sent, another instance":  {nonIdempotent, "unsent ok", "send, send, answered", 0},
		"non-idempotent: error answer is passed on":   {nonIdempotent, "error", "send, answered", 0},
		"non-idempotent: three refusals":              {nonIdempotent, "busy shed busy", "send, send, send, not_run busy", 30},
		"slow refusals do not use up the attempts":    {nonIdempotent, "slow slow slow busy busy ok", "send, send, send, send, send, send, answered", 0},
		"slow refusals are bounded":                   {nonIdempotent, "slow slow slow slow busy busy", "send, send, send, send, send, send, not_run busy", 30},
		"non-idempotent: deadline":                    {nonIdempotent, "+1000", "send, cancel1, unknown deadline", 0},
		"non-idempotent: caller gone, cancelled":      {nonIdempotent, "gone", "send, cancel1, unknown cancelled", 0},
		"non-idempotent: no hedge":                    {nonIdempotent, "+50 ok", "send, answered", 0},
		"refused for the deadline":                    {idempotent, "late", "send, not_run deadline", bulrushchute.Second},
		"no other instance":                           {idempotent, "busy none", "send, not_run busy", 40},
		"retry after failure":                         {idempotent, "lost ok", "send, send*, answered", 0},
		"three failures":                              {idempotent, "lost lost lost", "send, send*, send*, unknown connection_lost", bulrushchute.Second},
		"refusal does not undo unknown":               {idempotent, "lost busy busy", "send, send*, send*, unknown connection_lost", 40},
		"error answer beats unknown":                  {idempotent, "error lost lost", "send, send*, send*, answered", 0},
		"retry flag: no retry after failure":          {retried, "lost", "send*, unknown connection_lost", bulrushchute.Second},
		"retry flag: error answer at once":            {retried, "error", "send*, answered", 0},
		"retry flag: busy permits another pick":       {retried, "busy ok", "send*, send*, answered", 0},
		"retry flag: no hedge":                        {retried, "+50 ok", "send*, answered", 0},
		"hedge wins":                                  {idempotent, "+50 ok", "send, hedge*, cancel1, answered", 0},
		"first wins over the hedge":                   {idempotent, "+50 first:ok", "send, hedge*, cancel2, answered", 0},
		"hedge refused, the first is still awaited":   {idempotent, "+50 busy first:ok", "send, hedge*, answered", 0},
		"hedge and first fail, one attempt is left":   {idempotent, "+50 lost first:lost ok", "send, hedge*, send*, answered", 0},
		"hedge finds no other instance":               {idempotent, "+50 first:ok none", "send, answered", 0},
		"caller gone, both cancelled":                 {idempotent, "+50 gone", "send, hedge*, cancel1, cancel2, unknown cancelled", bulrushchute.Second},
		"deadline passes with a failure and an error": {idempotent, "error +1000", "send, send*, cancel2, answered", 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := &script{machine: New(tc.info, hedgingBudgets(), 0)}
			s.play(tc.play)
			assert.Equal(t, strings.Join(s.trace, ", "), tc.want)
			assert.Equal(t, s.final.RetryAfter, tc.retryAfter)
			assert.Equal(t, s.machine.Next(s.now).Kind, ActionNone)
		})
	}
}

// hedgingBudgets returns budgets with a p95 of about 20 ms and a full bucket
// for hedges.
func hedgingBudgets() *Budgets {
	budgets := NewBudgets(0)
	for range 2 * minSamples {
		budgets.latency.record(0, 20)
	}
	for range hedgeBurst * unitsPerToken / hedgePermille {
		budgets.countRequest("")
	}
	return budgets
}

// Guards against an attempt that is sent after the deadline or after the caller
// is gone.
func TestMachineEndsBeforeSending(t *testing.T) {
	expired := New(bulrushchute.RequestInfo{Deadline: deadline}, NewBudgets(0), deadline)
	final := expired.Next(deadline).FinalResult
	assert.Equal(t, final.Outcome, bulrushchute.OutcomeNotRun)
	assert.Equal(t, final.Reason, bulrushchute.ReasonDeadline)

	noInstance := New(bulrushchute.RequestInfo{Deadline: deadline}, NewBudgets(0), 0)
	noInstance.NoBackend(0, noInstance.Next(0).Attempt)
	assert.Equal(t, noInstance.Next(0).FinalResult.Reason, bulrushchute.ReasonNoBackend)

	gone := New(bulrushchute.RequestInfo{Deadline: deadline}, NewBudgets(0), 0)
	action := gone.Next(0)
	gone.CallerGone(1)
	assert.Assert(t, !gone.Sent(1, action.Attempt, "a"))
	assert.Equal(t, gone.Next(1).FinalResult.Outcome, bulrushchute.OutcomeNotRun)
}

// Guards against an answer that is accepted for an attempt that is unknown, not
// sent yet or already ended.
func TestMachineDropsUnexpectedAnswers(t *testing.T) {
	m := New(bulrushchute.RequestInfo{Deadline: deadline}, NewBudgets(0), 0)
	number := m.Next(0).Attempt
	assert.Assert(t, !m.Ended(0, number, ends["ok"]), "not sent yet")
	assert.Assert(t, m.Sent(0, number, "a"))
	assert.Assert(t, !m.Ended(0, number+1, ends["ok"]), "unknown attempt")
	assert.Assert(t, m.Ended(0, number, ends["busy"]))
	assert.Assert(t, !m.Ended(0, number, ends["ok"]), "ended attempt")
}

// Guards against buckets whose bounds do not contain their latencies, a p95 that
// follows a slowdown too late, and samples that do not decay.
func TestLatencyHistogram(t *testing.T) {
	for latency := range bulrushchute.Millis(100_000) {
		bound := bucketBound(bucketIndex(latency))
		assert.Assert(t, bound > latency && bound <= latency+latency/8+1, "latency %d in the bucket up to %d", latency, bound)
	}
	var lh latencyHistogram
	for range 2 * halveAtSamples {
		lh.record(0, 5)
	}
	for range 100 {
		lh.record(0, 200)
	}
	p95, ok := lh.quantile(0, hedgeQuantile)
	assert.Assert(t, ok && p95 >= 200, "the p95 %d must follow a slowdown within 100 answers", p95)
	_, ok = lh.quantile(bulrushchute.Hour, hedgeQuantile)
	assert.Assert(t, !ok, "old samples must decay")
}

// Guards against a retry that exceeds the route's limit on the attempts that
// may run, and against refusals that count towards it.
func TestRouteLimitsAttemptsThatMayRun(t *testing.T) {
	cases := map[string]struct {
		attempts int
		ends     []End
		wantSent int
	}{
		"one, failed":                  {1, []End{{Result: bulrushchute.ResultUnknown}}, 1},
		"two, failed":                  {2, []End{{Result: bulrushchute.ResultUnknown}, {Result: bulrushchute.ResultUnknown}}, 2},
		"one, refused and then failed": {1, []End{{Result: bulrushchute.ResultNotRun}, {Result: bulrushchute.ResultUnknown}}, 2},
		"one, not sent":                {1, []End{{Result: bulrushchute.ResultNotSent}, {Result: bulrushchute.ResultUnknown}}, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := New(bulrushchute.RequestInfo{Deadline: 10_000, Idempotent: true, Attempts: tc.attempts}, NewBudgets(0), 0)
			sent := 0
			for action := m.Next(0); action.Kind == ActionSend; action = m.Next(0) {
				assert.Assert(t, m.Sent(0, action.Attempt, bulrushchute.InstanceID(rune('a'+sent))))
				assert.Assert(t, sent < len(tc.ends), "one attempt too many")
				m.Ended(0, action.Attempt, tc.ends[sent])
				sent++
			}
			assert.Equal(t, sent, tc.wantSent)
		})
	}
}

// Guards against insisting on a slowed server while others can be tried, and against
// a request that nobody starts because each server leaves it to the next one.
func TestLastAttemptIsMarked(t *testing.T) {
	m := New(bulrushchute.RequestInfo{Deadline: deadline}, NewBudgets(0), 0)
	for refusals := range MaxSlowRefusals + 1 {
		action := m.Next(0)
		assert.Equal(t, action.Kind, ActionSend)
		assert.Equal(t, action.Last, refusals == MaxSlowRefusals, "after %d refusals", refusals)
		m.Sent(0, action.Attempt, bulrushchute.InstanceID(rune('a'+refusals)))
		m.Ended(0, action.Attempt, ends["slow"])
	}
}
