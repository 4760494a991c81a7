package bulrushusage

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

const (
	// firstEnd is the end of firstWindow, the first one that is settled.
	firstEnd    = 1_005_000 * bulrushchute.Millisecond
	firstWindow = Window(200)
)

// ledgerStore is a store with only the ledger.
type ledgerStore struct {
	era, revision uint64
	value         []byte
	down          bool
	writes        int
}

func (s *ledgerStore) call(action Action) Result {
	if s.down {
		return Result{Outcome: OutcomeNotDone}
	}
	write, writes := action.(*WriteLedger)
	if !writes && s.revision == 0 {
		return Result{Outcome: OutcomeNotFound}
	}
	if writes {
		if write.Object.Version != s.version() {
			return Result{Outcome: OutcomeConflict}
		}
		s.revision++
		s.writes++
		s.value = write.Object.Value
	}
	return Result{Outcome: OutcomeDone, Object: bulrushchute.Object{Version: s.version(), Value: s.value}}
}

func (s *ledgerStore) version() uint64 {
	if s.revision == 0 {
		return 0
	}
	return bulrushchute.StoreVersion(s.era, s.revision)
}

// reportedCall is a call that reached the platform.
type reportedCall struct {
	token  uint64
	window Window
	counts string
}

// reportSink is a platform.
type reportSink struct {
	outcome Outcome
	calls   []reportedCall
}

func (s *reportSink) call(send *Send) Result {
	s.calls = append(s.calls, reportedCall{send.Token, send.Report.Window, fmt.Sprint(send.Report.Counts)})
	return Result{Outcome: s.outcome}
}

// holder runs a Reporter against a store and a platform, as its owner does.
type holder struct {
	reporter *Reporter
	until    bulrushchute.Millis
	counts   map[Window]Counts
	// incomplete makes all totals incomplete.
	incomplete bool
	given      []Window
	ended      error
}

func newHolder(counts map[Window]Counts) *holder {
	return &holder{reporter: NewReporter(testSettings), counts: counts, until: 1 << 60}
}

func (h *holder) total(window Window) Total {
	return Total{Counts: h.counts[window], Complete: !h.incomplete}
}

// run makes all calls that are due now.
func (h *holder) run(now bulrushchute.Millis, store *ledgerStore, sink *reportSink) {
	for actions := h.next(now); len(actions) > 0; actions = h.next(now) {
		for _, action := range actions {
			switch call := action.(type) {
			case *ReadLedger, *WriteLedger:
				_ = h.reporter.Done(now, call, store.call(call))
			case *Send:
				_ = h.reporter.Done(now, call, sink.call(call))
			case *GivenUp:
				for window := call.From; window <= call.Through; window++ {
					h.given = append(h.given, window)
				}
			case *GiveUpTerm:
				h.ended = call.Cause
			}
		}
	}
}

func (h *holder) next(now bulrushchute.Millis) []Action {
	return h.reporter.Next(now, h.until, h.total)
}

// runUntil runs the holder every 50 ms.
func (h *holder) runUntil(from, to bulrushchute.Millis, store *ledgerStore, sink *reportSink) {
	for now := from; now <= to; now += 50 {
		h.run(now, store, sink)
	}
}

func usageOf(first, last Window, count uint64) map[Window]Counts {
	all := make(map[Window]Counts)
	for window := first; window <= last; window++ {
		all[window] = Counts{"t": count + uint64(window), "unused": 0}
	}
	return all
}

func sentTwiceDifferently(calls []reportedCall) bool {
	counts := make(map[Window]string)
	for _, call := range calls {
		if known, found := counts[call.window]; found && known != call.counts {
			return true
		}
		counts[call.window] = call.counts
	}
	return false
}

// Guards against a report that changes, is lost or comes from the wrong holder after a
// single failure. Each case begins with a holder that has reported firstWindow.
func TestReporterSurvivesSingleFailures(t *testing.T) {
	const later = firstEnd + 5000
	cases := map[string]struct {
		fail func(a, b *holder, store *ledgerStore, sink *reportSink)
		want []reportedCall
	}{
		"holder killed": {
			func(_, b *holder, store *ledgerStore, sink *reportSink) {
				b.reporter.Begin(later+3500, 2)
				b.run(later+3500, store, sink)
			},
			[]reportedCall{{2, 200, "map[t:210]"}, {2, 201, "map[t:302]"}},
		},
		"holder frozen and resumed after its successor has acted": {
			func(a, b *holder, store *ledgerStore, sink *reportSink) {
				frozen := a.next(later + 1500)
				b.reporter.Begin(later+5000, 2)
				b.run(later+5000, store, sink)
				assert.Equal(t, store.call(frozen[0]).Outcome, OutcomeConflict)
				assert.NilError(t, a.reporter.Done(later+5500, frozen[0], Result{Outcome: OutcomeConflict}))
				a.run(later+5500, store, sink)
				var superseded *SupersededError
				assert.Assert(t, errors.As(a.ended, &superseded))
			},
			[]reportedCall{{2, 200, "map[t:210]"}, {2, 201, "map[t:302]"}},
		},
		"cut off from the store but not from the platform": {
			func(a, _ *holder, store *ledgerStore, sink *reportSink) {
				store.down, a.until = true, later+3000
				a.runUntil(later, later+10_000, store, sink)
			},
			nil,
		},
		"store unavailable at the end of a window": {
			func(a, _ *holder, store *ledgerStore, sink *reportSink) {
				store.down = true
				a.runUntil(later, later+2000, store, sink)
				store.down = false
				a.runUntil(later+2000, later+3000, store, sink)
			},
			[]reportedCall{{1, 201, "map[t:211]"}},
		},
		"429": {
			func(a, _ *holder, store *ledgerStore, sink *reportSink) {
				sink.outcome = OutcomeNotDone
				a.run(later+1500, store, sink)
				sink.outcome = OutcomeDone
				a.counts[201] = Counts{"t": 9999}
				a.runUntil(later+1550, later+4000, store, sink)
			},
			[]reportedCall{{1, 201, "map[t:211]"}, {1, 201, "map[t:211]"}},
		},
		"answer lost, then holder killed": {
			func(a, b *holder, store *ledgerStore, sink *reportSink) {
				sink.outcome = OutcomeUnknown
				a.run(later+1500, store, sink)
				sink.outcome = OutcomeDone
				b.reporter.Begin(later+5500, 2)
				b.run(later+5500, store, sink)
			},
			[]reportedCall{{1, 201, "map[t:211]"}, {2, 201, "map[t:211]"}},
		},
		"successor's clock is 3 s behind": {
			func(_, b *holder, store *ledgerStore, sink *reportSink) {
				b.reporter.Begin(later+500, 2)
				b.runUntil(later+500, later+1500, store, sink)
			},
			[]reportedCall{{2, 200, "map[t:210]"}, {2, 201, "map[t:302]"}},
		},
		"successor's clock is 3 s ahead": {
			func(_, b *holder, store *ledgerStore, sink *reportSink) {
				b.incomplete = true
				b.reporter.Begin(later+3000, 2)
				b.runUntil(later+3000, later+5950, store, sink)
			},
			[]reportedCall{{2, 200, "map[t:210]"}},
		},
		"two nodes both believe that they hold the duty": {
			func(a, b *holder, store *ledgerStore, sink *reportSink) {
				b.reporter.Begin(later+1500, 2)
				for range 3 {
					b.run(later+1500, store, sink)
					a.run(later+1500, store, sink)
				}
				assert.Assert(t, a.ended != nil)
			},
			[]reportedCall{{2, 200, "map[t:210]"}, {2, 201, "map[t:302]"}},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			store, sink := &ledgerStore{}, &reportSink{outcome: OutcomeDone}
			a, b := newHolder(usageOf(200, 201, 10)), newHolder(usageOf(200, 201, 101))
			a.reporter.Begin(firstEnd, 1)
			a.runUntil(firstEnd, later-50, store, sink)
			before := len(sink.calls)
			tc.fail(a, b, store, sink)
			assert.Equal(t, fmt.Sprint(sink.calls[before:]), fmt.Sprint(tc.want))
			assert.Assert(t, !sentTwiceDifferently(sink.calls))
		})
	}
}

// Guards against one write for each window after an outage of the store, against reports
// of windows that are too old, and against windows without counts that are left out.
func TestReporterCatchesUpInOneWrite(t *testing.T) {
	cases := map[string]struct {
		outage bulrushchute.Millis
		want   []Window
		given  int
	}{
		"three windows":     {15_000, []Window{201, 202, 203}, 0},
		"more than 24":      {26 * 5000, nil, 2},
		"without an outage": {5000, []Window{201}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			store, sink := &ledgerStore{}, &reportSink{outcome: OutcomeDone}
			a := newHolder(map[Window]Counts{200: {"t": 1}, 202: {"t": 3}})
			a.reporter.Begin(firstEnd, 1)
			a.runUntil(firstEnd, firstEnd+2000, store, sink)
			writes, calls := store.writes, len(sink.calls)
			a.runUntil(firstEnd+tc.outage+1500, firstEnd+tc.outage+1500, store, sink)
			assert.Equal(t, store.writes, writes+1)
			assert.Equal(t, len(a.given), tc.given)
			if tc.want == nil {
				assert.Equal(t, len(sink.calls)-calls, ledgerWindows)
				return
			}
			var got []Window
			for _, call := range sink.calls[calls:] {
				got = append(got, call.window)
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// Guards against windows that are left out at the first start, and against windows that
// an earlier holder may have reported with other counts before the ledger was lost.
func TestReporterFirstWindow(t *testing.T) {
	cases := map[string]struct {
		counts   map[Window]Counts
		token    uint64
		restored bool
		next     Window
	}{
		"earliest with counts":    {usageOf(195, 200, 1), 1, false, 195},
		"only counts of 0":        {map[Window]Counts{199: {"t": 0}}, 1, false, 201},
		"no counts":               {nil, 1, false, 201},
		"missing in a later era":  {usageOf(195, 200, 1), 1<<40 | 1, false, 201},
		"missing after a restore": {usageOf(195, 200, 1), 1, true, 201},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newHolder(tc.counts)
			a.incomplete = true
			if tc.restored {
				a.reporter.Restored()
			}
			a.reporter.Begin(firstEnd, tc.token)
			store := &ledgerStore{era: tc.token >> 40}
			a.run(firstEnd, store, &reportSink{outcome: OutcomeDone})
			ledger, err := ParseLedger(store.value)
			assert.NilError(t, err)
			first := ledger.Next
			if len(ledger.Windows) > 0 {
				first = ledger.Windows[0].Window
			}
			assert.Equal(t, first, tc.next)
		})
	}
}

// Guards against a second report with other counts after the store was restored from a
// copy without it, and against one that the sender knows and that is lost.
func TestReporterAfterARestore(t *testing.T) {
	const later = firstEnd + 5000
	for name, same := range map[string]bool{"same holder": true, "other holder": false} {
		t.Run(name, func(t *testing.T) {
			store, sink := &ledgerStore{}, &reportSink{outcome: OutcomeDone}
			a, b := newHolder(usageOf(200, 202, 10)), newHolder(usageOf(200, 202, 101))
			a.reporter.Begin(firstEnd, 1)
			a.runUntil(firstEnd, later, store, sink)
			copied := *store
			sink.outcome = OutcomeUnknown
			a.run(later+1500, store, sink)
			sink.outcome = OutcomeDone
			copied.era = 1
			*store = copied
			a.reporter.End()
			next, want := b, []reportedCall{{1<<40 | 2, 202, "map[t:303]"}}
			if same {
				a.counts = usageOf(200, 202, 500)
				next, want = a, []reportedCall{{1<<40 | 2, 201, "map[t:211]"}, {1<<40 | 2, 202, "map[t:702]"}}
			}
			before := len(sink.calls)
			next.reporter.Begin(later+4500, 1<<40|2)
			next.runUntil(later+4500, later+11_000, store, sink)
			assert.Equal(t, fmt.Sprint(sink.calls[before:]), fmt.Sprint(want))
			assert.Assert(t, !sentTwiceDifferently(sink.calls))
		})
	}
}

// Guards against repetitions that are too frequent for the platform or come too late.
func TestReporterRetryTimes(t *testing.T) {
	for name, outcome := range map[string]Outcome{"429": OutcomeNotDone, "answer lost": OutcomeUnknown} {
		t.Run(name, func(t *testing.T) {
			a, store := newHolder(usageOf(200, 200, 1)), &ledgerStore{}
			a.reporter.Begin(firstEnd, 1)
			var after []bulrushchute.Millis
			for now := firstEnd + 1500; now < firstEnd+20_000; now += 50 {
				sink := &reportSink{outcome: outcome}
				a.run(now, store, sink)
				for _, call := range sink.calls {
					if call.window == firstWindow {
						after = append(after, now-firstEnd-1500)
					}
				}
			}
			assert.DeepEqual(t, after, []bulrushchute.Millis{0, 1000, 3000, 7000, 11_000, 15_000})
		})
	}
}

// Guards against a send that outlasts the lease, and against one of an earlier term.
func TestReporterLimitsSends(t *testing.T) {
	a, store := newHolder(usageOf(200, 200, 1)), &ledgerStore{}
	a.until = firstEnd + 2500
	a.reporter.Begin(firstEnd, 1)
	sink := &reportSink{outcome: OutcomeDone}
	a.runUntil(firstEnd+1500, firstEnd+1500, store, sink)
	assert.Equal(t, len(sink.calls), 0, "the lease is held for only 1 s")
	a.until = firstEnd + 2501
	send := a.next(firstEnd + 1500)[0].(*Send)
	assert.Assert(t, send.Until < a.until)
	assert.Assert(t, a.reporter.Permitted(send.Until-1, send))
	assert.Assert(t, !a.reporter.Permitted(send.Until, send))
	assert.Equal(t, a.reporter.ReleaseAfter(), send.Until)
	assert.Equal(t, len(a.next(firstEnd+1600)), 0, "one send at a time")
	a.reporter.End()
	assert.Assert(t, !a.reporter.Permitted(firstEnd+1600, send))

	a.until = 1 << 60
	a.reporter.Begin(firstEnd+1600, 3)
	assert.NilError(t, a.reporter.Done(firstEnd+1600, send, Result{Outcome: OutcomeDone}))
	a.runUntil(firstEnd+1600, send.Until+testSettings.LeaseMs, store, sink)
	assert.Equal(t, len(sink.calls), 0, "another holder may have acted less than LeaseMs ago")
	a.runUntil(send.Until+testSettings.LeaseMs+1, send.Until+testSettings.LeaseMs+1, store, sink)
	assert.Equal(t, sink.calls[0], reportedCall{3, firstWindow, "map[t:201]"})
}

// Guards against a holder that takes over and settles windows with the counts that it
// has by chance, before the other nodes have sent it theirs.
func TestReporterAwaitsCountsAfterATakeover(t *testing.T) {
	store, sink := &ledgerStore{}, &reportSink{outcome: OutcomeDone}
	first := newHolder(usageOf(firstWindow, firstWindow, 7))
	first.reporter.Begin(firstEnd, 1)
	first.runUntil(firstEnd, firstEnd+2000, store, sink)
	assert.Equal(t, len(sink.calls), 1)

	// The next window is late already, and no counts are known.
	begun := firstEnd + 12_000
	second := newHolder(nil)
	second.incomplete = true
	second.reporter.Begin(begun, 2)
	second.runUntil(begun, begun+countsDelay-100, store, sink)
	assert.Equal(t, len(sink.calls), 2, "only the repeat of the first window")
	second.counts = usageOf(firstWindow+1, firstWindow+1, 8)
	second.runUntil(begun+countsDelay, begun+countsDelay+1000, store, sink)
	assert.Equal(t, len(sink.calls), 3)
	assert.Equal(t, sink.calls[2].counts, fmt.Sprint(normalized(second.counts[firstWindow+1])))
}
