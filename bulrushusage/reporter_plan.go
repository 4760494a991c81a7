package bulrushusage

import (
	"maps"
	"slices"
	"unicode/utf8"

	"bulrushchute.example/bulrushchute"
)

// firstEra is the era in which a missing ledger was never written. In a later one, the
// store may have been restored from a copy without it.
const firstEra = 0

// remember adds a settled window to those that this process knows. Counts that it has
// sent are kept.
func (r *Reporter) remember(entry LedgerWindow) {
	known := r.known[entry.Window]
	if known.sent && !maps.Equal(known.counts, entry.Counts) {
		return
	}
	known.counts = entry.Counts
	known.acknowledged = known.acknowledged || entry.Acknowledged
	r.known[entry.Window] = known
}

// sendable reports whether a window of the ledger is to be sent. After a restore of the
// store, the ledger may have other counts than were sent; these are written again first.
func (r *Reporter) sendable(entry LedgerWindow) bool {
	known := r.known[entry.Window]
	return !entry.Acknowledged && !known.acknowledged && !known.givenUp && maps.Equal(known.counts, entry.Counts)
}

// plan returns the ledger that is to be written, and whether it differs from the one in
// the store by more than acknowledgements.
func (r *Reporter) plan(now bulrushchute.Millis, totals func(Window) Total) (Ledger, bool) {
	current := bulrushchute.UsageWindowOf(now, r.settings.WindowMs)
	oldest := max(current, ledgerWindows) - ledgerWindows
	planned := Ledger{Token: r.term.token, Windows: r.trusted(r.term.ledger)}
	planned.Next = max(r.firstUnsettled(current, totals), oldest)
	planned = r.withKnown(planned, oldest)
	planned = r.withDue(planned, now, totals).withRetention(oldest)
	return planned, !r.term.claimed || planned.extends(r.term.ledger)
}

// trusted returns the windows of the ledger whose counts are certainly those that an
// earlier holder sent, if any did. After a restore of the store, a late write of the
// earlier era may have replaced the ledger, so that only windows count that this process
// knows, and those that are not sent any more.
func (r *Reporter) trusted(ledger Ledger) []LedgerWindow {
	if r.ofThisEra(ledger) {
		return ledger.Windows
	}
	return slices.DeleteFunc(slices.Clone(ledger.Windows), func(entry LedgerWindow) bool {
		_, known := r.known[entry.Window]
		return !known && !entry.Acknowledged
	})
}

// ofThisEra reports whether the ledger was last written in the era of the term.
func (r *Reporter) ofThisEra(ledger Ledger) bool {
	return bulrushchute.EraOf(ledger.Token) == bulrushchute.EraOf(r.term.token)
}

// firstUnsettled returns the window from which on windows may be settled.
func (r *Reporter) firstUnsettled(current Window, totals func(Window) Total) Window {
	t := &r.term
	switch {
	case t.exists && r.ofThisEra(t.ledger):
		return max(t.ledger.Next, r.announced)
	case !t.exists && !r.restored && r.announced == 0 && bulrushchute.EraOf(t.token) == firstEra:
		return firstCounted(current, totals)
	default:
		// Windows before the term may have been sent by another holder, and the record of
		// that is lost.
		begun := bulrushchute.UsageWindowOf(t.begun, r.settings.WindowMs)
		return max(t.ledger.Next, r.announced, begun)
	}
}

// firstCounted returns the earliest window with any counts, or the current one.
func firstCounted(current Window, totals func(Window) Total) Window {
	for window := max(current, ledgerWindows) - ledgerWindows; window < current; window++ {
		if len(normalized(totals(window).Counts)) > 0 {
			return window
		}
	}
	return current
}

// withKnown adds the known windows that the ledger lacks, corrects those that were sent
// with other counts, and marks those that the platform has accepted.
func (r *Reporter) withKnown(planned Ledger, oldest Window) Ledger {
	for _, window := range slices.Sorted(maps.Keys(r.known)) {
		known := r.known[window]
		if window < oldest {
			delete(r.known, window)
			continue
		}
		if known.givenUp {
			continue
		}
		entry, found := planned.find(window)
		differs := !found || !maps.Equal(entry.Counts, known.counts)
		if differs || known.acknowledged && !entry.Acknowledged {
			planned = planned.withWindow(LedgerWindow{Window: window, Counts: known.counts, Acknowledged: known.acknowledged})
		}
	}
	return planned
}

// withDue adds the windows that are due to be settled.
func (r *Reporter) withDue(planned Ledger, now bulrushchute.Millis, totals func(Window) Total) Ledger {
	r.term.totals = make(map[Window]Total)
	for planned.Next.End(r.settings.WindowMs) <= now {
		window := planned.Next
		total := totals(window)
		if !r.due(now, window.End(r.settings.WindowMs), total.Complete) {
			break
		}
		r.term.totals[window] = total
		planned = planned.withWindow(LedgerWindow{Window: window, Counts: normalized(total.Counts)})
	}
	return planned
}

// nextDue reports whether the next window of the ledger is due to be settled.
func (r *Reporter) nextDue(now bulrushchute.Millis, totals func(Window) Total) bool {
	next := r.term.ledger.Next
	end := next.End(r.settings.WindowMs)
	return now >= end && r.due(now, end, totals(next).Complete)
}

// due reports whether a window is settled at a time after its end. A new holder waits
// for the counts that other nodes send it, unless they are complete.
func (r *Reporter) due(now, end bulrushchute.Millis, complete bool) bool {
	if complete {
		return now >= end+settleDelay
	}
	return now >= end+max(r.settings.LateMs-settleReserve, 0) && now >= r.term.begun+countsDelay
}

// normalized returns a copy without counts of 0 and without names that are not kept
// exactly in JSON.
func normalized(counts Counts) Counts {
	result := make(Counts, len(counts))
	for tenant, count := range counts {
		if count > 0 && tenant != "" && utf8.ValidString(string(tenant)) {
			result[tenant] = count
		}
	}
	return result
}

// writeLedger returns the write of a planned ledger. What does not fit is given up.
func (r *Reporter) writeLedger(now bulrushchute.Millis, planned Ledger) []Action {
	fitting, value, err := planned.encodeFitting()
	if err != nil {
		r.term.storeAfter = now + malformedRetryDelay
		return nil
	}
	for _, entry := range planned.Windows {
		if _, found := fitting.find(entry.Window); !found {
			r.abandon(entry)
		}
	}
	r.term.storeCall = r.nextCall()
	object := bulrushchute.Object{Kind: bulrushchute.KindUsage, Name: LedgerName, Version: r.term.object.Version, Value: value}
	return []Action{&WriteLedger{Number: r.term.storeCall, Object: object, Ledger: fitting}}
}

// abandon marks a window that does not fit into the ledger, so that it is not added
// again.
func (r *Reporter) abandon(entry LedgerWindow) {
	known := r.known[entry.Window]
	known.counts, known.givenUp = entry.Counts, true
	r.known[entry.Window] = known
}

// noteChanges adds notices for the windows that a later ledger settles or no longer has.
func (r *Reporter) noteChanges(later Ledger) {
	for _, entry := range r.term.ledger.Windows {
		_, kept := later.find(entry.Window)
		if !kept && !entry.Acknowledged && !r.known[entry.Window].acknowledged {
			r.notices = append(r.notices, &GivenUp{From: entry.Window, Through: entry.Window})
		}
	}
	if r.announced == 0 && !r.term.exists && len(r.term.totals) == 0 {
		// The windows of an existing ledger were settled by earlier holders.
		r.announced = later.Next
		return
	}
	r.noteSettled(later)
}

func (r *Reporter) noteSettled(later Ledger) {
	from := r.announced
	if from == 0 && len(later.Windows) > 0 {
		from = later.Windows[0].Window
	}
	for _, entry := range later.Windows {
		if entry.Window < from {
			continue
		}
		r.noteGap(from, entry.Window)
		total, own := r.term.totals[entry.Window]
		if !own {
			total = Total{Counts: entry.Counts}
		}
		r.notices = append(r.notices, &Settled{Window: entry.Window, Total: total})
		from = entry.Window + 1
	}
	if r.announced > 0 {
		r.noteGap(from, later.Next)
	}
	r.announced = max(r.announced, later.Next)
}

// noteGap adds a notice for the windows that are passed over before the given one.
func (r *Reporter) noteGap(from, before Window) {
	if from < before {
		r.notices = append(r.notices, &GivenUp{From: from, Through: before - 1})
	}
}
