package bulrushattempt

import (
	"testing"

	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
)

// request is a Machine under test with the expected state of its attempts.
type request struct {
	machine     *Machine
	info        bulrushchute.RequestInfo
	outstanding []int
	sends       int
	finishes    int
	mayHaveRun  bool
	lastResult  bulrushchute.ResultKind
}

// harness runs several machines with shared budgets.
type harness struct {
	t        *rapid.T
	now      bulrushchute.Millis
	budgets  *Budgets
	requests []*request
	// grants counts the tokens taken from each bucket, and grantHistory holds its
	// values at the arrival of each request.
	grants       [3]int
	grantHistory [3][]int
}

const (
	grantRetry = iota
	grantRefusal
	grantHedge
)

// Guards against repeated non-idempotent requests, too many attempts, a second
// answer to one caller, and bursts that exceed the budgets.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{t: t, budgets: NewBudgets(0)}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) { h.arrive(t) },
			"end":    func(t *rapid.T) { h.endAttempts(t) },
			"pass":   func(t *rapid.T) { h.now += bulrushchute.Millis(rapid.IntRange(1, 40).Draw(t, "ms")); h.driveAll() },
			"gone":   func(t *rapid.T) { h.callerGone(t) },
		})
		h.now += bulrushchute.Hour
		h.driveAll()
		for _, r := range h.requests {
			if r.finishes != 1 {
				t.Fatalf("request finished %d times, want once", r.finishes)
			}
		}
		h.checkWindows(grantRetry, retryPermille, retryBurst)
		h.checkWindows(grantRefusal, refusalPermille, refusalBurst)
		h.checkWindows(grantHedge, hedgePermille, hedgeBurst)
	})
}

func (h *harness) arrive(t *rapid.T) {
	for range rapid.IntRange(1, 30).Draw(t, "requests") {
		info := bulrushchute.RequestInfo{
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Retry:      rapid.IntRange(0, 4).Draw(t, "retry") == 0,
			Deadline:   h.now + 200,
		}
		r := &request{machine: New(info, h.budgets, h.now), info: info}
		h.requests = append(h.requests, r)
		for kind, grants := range h.grants {
			h.grantHistory[kind] = append(h.grantHistory[kind], grants)
		}
		h.drive(r)
	}
}

func (h *harness) endAttempts(t *rapid.T) {
	result := bulrushchute.ResultKind(rapid.IntRange(0, int(bulrushchute.ResultUnknown)).Draw(t, "result"))
	for _, r := range h.requests {
		if len(r.outstanding) == 0 || rapid.Bool().Draw(t, "skip") {
			continue
		}
		number := rapid.SampledFrom(r.outstanding).Draw(t, "attempt")
		if !r.machine.Ended(h.now, number, End{Result: result, Reason: bulrushchute.ReasonBusy}) {
			continue
		}
		r.outstanding = without(r.outstanding, number)
		r.lastResult = result
		r.mayHaveRun = r.mayHaveRun || result != bulrushchute.ResultNotRun && result != bulrushchute.ResultNotSent
		h.drive(r)
	}
}

func (h *harness) callerGone(t *rapid.T) {
	if len(h.requests) > 0 {
		r := rapid.SampledFrom(h.requests).Draw(t, "request")
		r.machine.CallerGone(h.now)
		h.drive(r)
	}
}

func (h *harness) driveAll() {
	for _, r := range h.requests {
		h.drive(r)
	}
}

func (h *harness) drive(r *request) {
	for {
		action := r.machine.Next(h.now)
		switch action.Kind {
		case ActionSend:
			h.sendAttempt(r, action)
		case ActionCancel:
			r.outstanding = without(r.outstanding, action.Attempt)
		case ActionFinish:
			r.finishes++
		default:
			return
		}
	}
}

func (h *harness) sendAttempt(r *request, action Action) {
	r.sends++
	if r.sends > MaxAttempts || r.finishes > 0 {
		h.t.Fatalf("attempt %d exceeds the limit or follows the end of the request (finished %d times)", r.sends, r.finishes)
	}
	if !r.info.Idempotent && (r.mayHaveRun || len(r.outstanding) > 0) {
		h.t.Fatalf("non-idempotent request sent again although it may have run")
	}
	if r.info.Retry && r.mayHaveRun {
		h.t.Fatalf("request with the retry flag sent again after a failure")
	}
	switch {
	case action.Hedge:
		h.grants[grantHedge]++
	case r.sends > 1 && (r.lastResult == bulrushchute.ResultNotRun || r.lastResult == bulrushchute.ResultNotSent):
		h.grants[grantRefusal]++
	case r.sends > 1:
		h.grants[grantRetry]++
	}
	if r.machine.Sent(h.now, action.Attempt, "a") {
		r.outstanding = append(r.outstanding, action.Attempt)
	}
}

// checkWindows checks every window of consecutive requests. excess is the most,
// in units, that any window ending at the current request was granted beyond
// its ratio.
func (h *harness) checkWindows(kind, permille, burst int) {
	excess, previous := 0, 0
	for _, grants := range append(h.grantHistory[kind], h.grants[kind]) {
		excess = max(excess+(grants-previous)*unitsPerToken, 0)
		if excess > burst*unitsPerToken {
			h.t.Fatalf("bucket %d: %d tokens granted beyond the ratio", kind, excess/unitsPerToken)
		}
		excess -= permille
		previous = grants
	}
}

func without(numbers []int, number int) []int {
	var rest []int
	for _, n := range numbers {
		if n != number {
			rest = append(rest, n)
		}
	}
	return rest
}
