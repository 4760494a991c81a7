package bulrushusage

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// step is one event in the world. apply changes a copy of it.
type step struct {
	label string
	fault bool
	apply func(w *world, v variant) violation
}

// steps returns the events that are possible in a state.
func (w *world) steps() []step {
	var list []step
	urgent := false
	for i := range w.nodes {
		n := &w.nodes[i]
		urgent = urgent || n.up && !n.paused && (n.storeCall != nil || n.send != nil || n.inHand != nil)
		list = append(list, w.nodeSteps(i)...)
	}
	for i := range w.writes {
		list = append(list, step{"a late write takes effect", false, func(w *world, v variant) violation {
			write := w.writes[i]
			w.writes = slices.Delete(w.writes, i, i+1)
			w.apply(write, v)
			return 0
		}})
	}
	for i, f := range w.flights {
		list = append(list, step{"a late report of " + nodeName(f.node) + " arrives", false, func(w *world, _ variant) violation {
			w.flights = slices.Delete(w.flights, i, i+1)
			return w.arrive(f.node, f.send, true)
		}})
	}
	if w.store.era == 0 {
		list = append(list, step{"the store is restored", true, func(w *world, _ variant) violation {
			w.restore()
			return 0
		}})
	}
	// A node that is not paused makes its calls at once.
	if !urgent {
		list = append(list, step{"0.5 s pass", false, func(w *world, v variant) violation {
			w.tick(v)
			return 0
		}})
	}
	return list
}

func (w *world) nodeSteps(node int) []step {
	n := &w.nodes[node]
	name := nodeName(node)
	if !n.up {
		return []step{nodeStep(name+" restarts", false, node, func(w *world, n *modelNode) {
			w.nodes[node] = modelNode{
				reporter: NewReporter(modelSettings), up: true, started: w.now, draft: 1 - n.draft,
				resumed: longBefore, observedAt: w.now, voidSince: longBefore, era: w.store.era,
			}
		})}
	}
	list := []step{nodeStep(name+" crashes", true, node, func(_ *world, n *modelNode) {
		*n = modelNode{reporter: NewReporter(modelSettings), draft: n.draft, started: longBefore, resumed: longBefore, voidSince: longBefore}
	})}
	if n.paused {
		return append(list, step{name + " resumes", false, func(w *world, _ variant) violation {
			w.nodes[node].paused, w.nodes[node].resumed = false, w.now
			return 0
		}})
	}
	list = append(list, nodeStep(name+" is paused", true, node, func(_ *world, n *modelNode) { n.paused = true }))
	list = append(list, w.leaseSteps(node)...)
	list = append(list, w.storeSteps(node)...)
	return append(list, w.sendSteps(node)...)
}

// nodeStep changes a node without a call and then lets it run.
func nodeStep(label string, fault bool, node int, change func(w *world, n *modelNode)) step {
	return step{label, fault, func(w *world, v variant) violation {
		change(w, &w.nodes[node])
		w.run(node, v)
		return 0
	}}
}

func (w *world) leaseSteps(node int) []step {
	n := &w.nodes[node]
	name := nodeName(node)
	held := n.token != 0 && w.now < n.until
	// The nodes are alike until A, by definition the first, holds the lease.
	if w.store.era == 0 && w.store.lease.epoch == 0 && node != 0 {
		return nil
	}
	call := func(lost bool) func(w *world, v variant) violation {
		return func(w *world, v variant) violation {
			if n := &w.nodes[node]; !held && w.now <= v.contendAfter(n.started) {
				return 0
			}
			w.acquireOrRenew(node, lost, v)
			w.run(node, v)
			return 0
		}
	}
	var list []step
	if !held || n.until-w.now <= modelSettings.LeaseMs-2*modelTick {
		list = append(list, step{name + " acquires or renews", false, call(false)}, step{name + " acquires or renews, answer lost", true, call(true)})
	}
	if held {
		list = append(list, w.releaseStep(node))
	}
	return list
}

func (w *world) releaseStep(node int) step {
	return step{nodeName(node) + " releases", true, func(w *world, v variant) violation {
		if w.now > w.nodes[node].reporter.ReleaseAfter() || v.releasesAtOnce {
			w.release(node)
		}
		w.run(node, v)
		return 0
	}}
}

func (w *world) storeSteps(node int) []step {
	if w.nodes[node].storeCall == nil {
		return nil
	}
	outcomes := map[string]func(w *world, write *WriteLedger, v variant) Result{
		"": func(w *world, write *WriteLedger, v variant) Result { return w.apply(write, v) },
		", in vain": func(*world, *WriteLedger, variant) Result {
			return Result{Outcome: OutcomeNotDone}
		},
		", answer lost": func(w *world, write *WriteLedger, v variant) Result {
			w.apply(write, v)
			return Result{Outcome: OutcomeUnknown}
		},
		", late": func(w *world, write *WriteLedger, _ variant) Result {
			w.writes = append(w.writes, write)
			return Result{Outcome: OutcomeUnknown}
		},
	}
	list := []step{}
	for _, label := range []string{"", ", in vain", ", answer lost", ", late"} {
		list = append(list, step{nodeName(node) + " calls the store" + label, label != "", func(w *world, v variant) violation {
			w.callStore(node, label == ", in vain" || label == ", late", outcomes[label], v)
			return 0
		}})
	}
	return list
}

func (w *world) callStore(node int, silent bool, outcome func(*world, *WriteLedger, variant) Result, v variant) {
	n := &w.nodes[node]
	action := n.storeCall
	n.storeCall = nil
	if !n.reporter.Permitted(w.now, action) && !v.sendsBeforeWrite {
		w.run(node, v)
		return
	}
	result := Result{Outcome: OutcomeNotDone}
	write, writes := action.(*WriteLedger)
	switch {
	case writes && n.era > 0 && write.Object.Version != 0 && n.era > eraOf(write):
		// The client does not send what is based on an earlier era.
		result = Result{Outcome: OutcomeConflict}
	case writes:
		result = outcome(w, write, v)
	case !silent:
		result = w.read()
	}
	if !silent {
		w.contact(node)
	}
	_ = n.reporter.Done(w.now, action, result)
	w.run(node, v)
}

func (w *world) sendSteps(node int) []step {
	n := &w.nodes[node]
	name := nodeName(node)
	if n.inHand != nil {
		return []step{{name + " sends after its pause", false, func(w *world, v variant) violation {
			send := w.nodes[node].inHand
			w.nodes[node].inHand = nil
			return w.answered(node, send, OutcomeUnknown, v)
		}}}
	}
	if n.send == nil {
		return nil
	}
	transmit := func(label string, fault bool, change func(w *world, send *Send, v variant) violation) step {
		return step{name + " sends" + label, fault, func(w *world, v variant) violation {
			n := &w.nodes[node]
			send := n.send
			n.send = nil
			if !n.reporter.Permitted(w.now, send) {
				_ = n.reporter.Done(w.now, send, Result{Outcome: OutcomeNotDone})
				w.run(node, v)
				return 0
			}
			return change(w, send, v)
		}}
	}
	return []step{
		transmit("", false, func(w *world, send *Send, v variant) violation { return w.answered(node, send, OutcomeDone, v) }),
		transmit(", answer lost", true, func(w *world, send *Send, v variant) violation {
			return w.answered(node, send, OutcomeUnknown, v)
		}),
		transmit(", 429", true, func(w *world, send *Send, v variant) violation {
			return w.answered(node, send, OutcomeNotDone, v)
		}),
		transmit(", late", true, func(w *world, send *Send, _ variant) violation {
			w.flights = append(w.flights, flight{node, send})
			w.nodes[node].awaited = send
			return 0
		}),
		transmit(", paused before", true, func(w *world, send *Send, _ variant) violation {
			w.nodes[node].inHand, w.nodes[node].paused = send, true
			return 0
		}),
	}
}

// answered is a report that arrives at once.
func (w *world) answered(node int, send *Send, outcome Outcome, v variant) violation {
	broken := w.arrive(node, send, outcome != OutcomeNotDone)
	_ = w.nodes[node].reporter.Done(w.now, send, Result{Outcome: outcome})
	w.run(node, v)
	return broken
}

// trace is the way to a state.
type trace struct {
	previous *trace
	label    string
}

func (t *trace) String() string {
	var labels []string
	for ; t != nil && t.label != ""; t = t.previous {
		labels = append(labels, t.label)
	}
	slices.Reverse(labels)
	return strings.Join(labels, "\n\t")
}

// finding is the result of a search.
type finding struct {
	violation violation
	depth     int
	trace     *trace
	states    int
	// sent and accepted count states, to show that the search reaches what it is for.
	takeovers int
	restored  int
}

type searchState struct {
	world *world
	trace *trace
}

// scope limits a search.
type scope struct {
	depth, faults int
	// only are the labels of the faults to explore, each of them once. If it is empty, all
	// faults are explored.
	only []string
	// wanted is the invariant whose violation ends the search, any if 0.
	wanted violation
}

// explores reports whether a step in a state is in the scope.
func (sc scope) explores(w *world, s step) bool {
	if !s.fault {
		return true
	}
	return w.faults > 0 && (len(sc.only) == 0 || sc.bit(s)&^w.used != 0)
}

// bit returns the bit of a fault in world.used, 0 if the scope does not name it.
func (sc scope) bit(s step) byte {
	i := slices.Index(sc.only, s.label)
	if i < 0 {
		return 0
	}
	return 1 << i
}

// search explores all traces in the scope, the shorter ones first, until one violates an
// invariant.
func search(sc scope, v variant) finding {
	result := finding{}
	visited := make(map[uint64]struct{})
	var buffer []byte
	level := []searchState{{newWorld(sc.faults), &trace{}}}
	for d := 1; d <= sc.depth; d++ {
		var next []searchState
		for _, state := range level {
			for _, s := range state.world.steps() {
				if !sc.explores(state.world, s) {
					continue
				}
				w := state.world.clone()
				if s.fault {
					w.faults--
					w.used |= sc.bit(s)
				}
				broken := s.apply(w, v)
				if broken != 0 && (sc.wanted == 0 || sc.wanted == broken) {
					result.violation, result.depth, result.trace, result.states = broken, d, &trace{state.trace, s.label}, len(visited)
					return result
				}
				buffer = w.key(buffer)
				hash := xxhash.Sum64(buffer)
				if _, found := visited[hash]; found {
					continue
				}
				visited[hash] = struct{}{}
				result.count(w)
				next = append(next, searchState{w, &trace{state.trace, s.label}})
			}
		}
		level = next
	}
	result.depth, result.states = sc.depth, len(visited)
	return result
}

func (f *finding) count(w *world) {
	if w.cloud.before.holder != noHolder {
		f.takeovers++
	}
	if w.store.era > 0 && len(w.cloud.senders) > 1 {
		f.restored++
	}
}

// Guards against a report that is accepted with two different counts, a token of two
// holders, a call with a lower token than an earlier one, and holders that act in the
// order A, B, A, under all interleavings of the model up to its depth. The scopes have
// 473,857 states in all. Those with a restored store reach the traces, of 20 and 21 steps,
// in which a missing ledger or a late write of the earlier era led to different counts.
func TestModelHoldsTheInvariants(t *testing.T) {
	const restored = "the store is restored"
	cases := map[string]scope{
		"any fault":              {depth: 21, faults: 1},
		"any two faults":         {depth: 11, faults: 2},
		"any three faults":       {depth: 8, faults: 3},
		"quick handovers":        {depth: 18, faults: 3, only: []string{"A releases", "B releases", "A crashes", "A sends, late"}},
		"restore and restart":    {depth: 20, faults: 2, only: []string{restored, "B crashes"}},
		"restore and late write": {depth: 21, faults: 2, only: []string{restored, "A calls the store, late"}},
	}
	for name, sc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := search(sc, variant{})
			t.Logf("depth %d, faults %d: %d states, %d after a takeover, %d with two holders and a restored store",
				sc.depth, sc.faults, result.states, result.takeovers, result.restored)
			assert.Assert(t, result.violation == 0, fmt.Sprintf("invariant %d:\n\t%v", result.violation, result.trace))
		})
	}
}

// Guards against a search that finds nothing because it does not get that far.
func TestModelFindsBrokenVariants(t *testing.T) {
	cases := map[string]struct {
		variant variant
		scope   scope
	}{
		"sends before the ledger is written": {
			variant{sendsBeforeWrite: true}, scope{15, 1, []string{"A calls the store, in vain"}, 1},
		},
		"writes without a condition": {
			variant{writesBlindly: true}, scope{19, 1, []string{"A calls the store, late"}, 1},
		},
		"uses one token for all terms": {
			variant{ignoresEpoch: true}, scope{12, 1, []string{"A releases"}, 2},
		},
		"ignores the end of the lease": {
			variant{ignoresLeaseEnd: true}, scope{19, 1, []string{"A is paused"}, 3},
		},
		// A report of the released term arrives after one of the next holder.
		"releases the lease during a send": {
			variant{releasesAtOnce: true}, scope{12, 2, []string{"A releases", "A sends, late"}, 3},
		},
		"contends at once after a restart": {
			variant{contendsAtOnce: true}, scope{17, 3, []string{"A releases", "B releases", "A crashes"}, 4},
		},
		// A report of the crashed process arrives up to 1 s after the start of the next one.
		"contends 3 s after a restart": {
			variant{contendsAfter3s: true}, scope{24, 3, []string{"B releases", "A crashes", "A sends, late"}, 4},
		},
		// The next holder releases the lease at once.
		"forgets the sends of its earlier term": {
			variant{forgetsEarlierAct: true}, scope{22, 2, []string{"B releases", "A sends, late"}, 4},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := search(tc.scope, tc.variant)
			assert.Equal(t, result.violation, tc.scope.wanted)
			t.Logf("%d states, %d steps:\n\t%v", result.states, result.depth, result.trace)
		})
	}
}
