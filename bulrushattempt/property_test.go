package bulrushattempt

import (
	"testing"

	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
)

// request is a machine under test and what was seen of it.
type request struct {
	machine    *Machine
	info       bulrushchute.RequestInfo
	unanswered []int
	sends      int
	finishes   int
	afterRun   bool
	lastResult bulrushchute.ResultKind
}

// fleet runs several machines on shared budgets.
type fleet struct {
	t        *rapid.T
	now      bulrushchute.Millis
	budgets  *Budgets
	requests []*request
	// grants holds, after each request, the sends so far by bucket.
	grants [3]int
	traces [3][]int
}

const (
	grantRetry = iota
	grantRefusal
	grantHedge
)

// Guards against duplicated non-idempotent work, unbounded attempts, a second
// answer to one caller, and budgets that a burst exceeds.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, budgets: NewBudgets(0)}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) { f.arrive(t) },
			"end":    func(t *rapid.T) { f.end(t) },
			"pass":   func(t *rapid.T) { f.now += bulrushchute.Millis(rapid.IntRange(1, 40).Draw(t, "ms")); f.driveAll() },
			"gone":   func(t *rapid.T) { f.gone(t) },
		})
		f.now += bulrushchute.Hour
		f.driveAll()
		for _, r := range f.requests {
			if r.finishes != 1 {
				t.Fatalf("finishes: %d", r.finishes)
			}
		}
		f.checkWindows(grantRetry, retryRatio, retryBurst)
		f.checkWindows(grantRefusal, refusalRatio, refusalBurst)
		f.checkWindows(grantHedge, hedgeRatio, hedgeBurst)
	})
}

func (f *fleet) arrive(t *rapid.T) {
	for range rapid.IntRange(1, 30).Draw(t, "requests") {
		info := bulrushchute.RequestInfo{
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Retry:      rapid.IntRange(0, 4).Draw(t, "marked") == 0,
			Deadline:   f.now + 200,
		}
		r := &request{machine: New(info, f.budgets, f.now), info: info}
		f.requests = append(f.requests, r)
		for kind, grants := range f.grants {
			f.traces[kind] = append(f.traces[kind], grants)
		}
		f.drive(r)
	}
}

func (f *fleet) end(t *rapid.T) {
	result := bulrushchute.ResultKind(rapid.IntRange(0, int(bulrushchute.ResultUnknown)).Draw(t, "result"))
	for _, r := range f.requests {
		if len(r.unanswered) == 0 || rapid.Bool().Draw(t, "skip") {
			continue
		}
		number := rapid.SampledFrom(r.unanswered).Draw(t, "attempt")
		if !r.machine.Ended(f.now, number, End{Result: result, Reason: bulrushchute.ReasonBusy}) {
			continue
		}
		r.unanswered = remove(r.unanswered, number)
		r.lastResult = result
		r.afterRun = r.afterRun || result != bulrushchute.ResultNotRun && result != bulrushchute.ResultNotSent
		f.drive(r)
	}
}

func (f *fleet) gone(t *rapid.T) {
	if len(f.requests) > 0 {
		r := rapid.SampledFrom(f.requests).Draw(t, "request")
		r.machine.CallerGone(f.now)
		f.drive(r)
	}
}

func (f *fleet) driveAll() {
	for _, r := range f.requests {
		f.drive(r)
	}
}

func (f *fleet) drive(r *request) {
	for {
		action := r.machine.Next(f.now)
		switch action.Kind {
		case ActionSend:
			f.sent(r, action)
		case ActionCancel:
			r.unanswered = remove(r.unanswered, action.Attempt)
		case ActionFinish:
			r.finishes++
		default:
			return
		}
	}
}

func (f *fleet) sent(r *request, action Action) {
	r.sends++
	if r.sends > MaxAttempts || r.finishes > 0 {
		f.t.Fatalf("send %d after %d finishes", r.sends, r.finishes)
	}
	if !r.info.Idempotent && (r.afterRun || len(r.unanswered) > 0) {
		f.t.Fatalf("non-idempotent work sent again")
	}
	if r.info.Retry && r.afterRun {
		f.t.Fatalf("marked request retried after a failure")
	}
	switch {
	case action.Hedge:
		f.grants[grantHedge]++
	case r.sends > 1 && (r.lastResult == bulrushchute.ResultNotRun || r.lastResult == bulrushchute.ResultNotSent):
		f.grants[grantRefusal]++
	case r.sends > 1:
		f.grants[grantRetry]++
	}
	if r.machine.Sent(f.now, action.Attempt, "a") {
		r.unanswered = append(r.unanswered, action.Attempt)
	}
}

// checkWindows tests every window of requests: excess is the largest number of
// grants beyond the ratio in any window that ends here.
func (f *fleet) checkWindows(kind, ratio, burst int) {
	excess, before := 0, 0
	for _, grants := range append(f.traces[kind], f.grants[kind]) {
		excess = max(excess+(grants-before)*wholeToken, 0)
		if excess > burst*wholeToken {
			f.t.Fatalf("bucket %d: %d grants above the ratio", kind, excess/wholeToken)
		}
		excess -= ratio
		before = grants
	}
}

func remove(numbers []int, number int) []int {
	var rest []int
	for _, n := range numbers {
		if n != number {
			rest = append(rest, n)
		}
	}
	return rest
}
