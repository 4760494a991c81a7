package bulrushusage

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"bulrushchute.example/bulrushchute"
)

const (
	modelTick = 500 * bulrushchute.Millisecond
	// modelMargin is the clock margin of the lease.
	modelMargin = 500 * bulrushchute.Millisecond
	// modelThaw is the time after a resumption in which calls that arrive do not count for
	// the order of tokens and holders.
	modelThaw   = 300 * bulrushchute.Millisecond
	modelWindow = Window(1)
	noHolder    = -1
)

// modelSettings have windows so long that the model meets only modelWindow as due.
var modelSettings = Settings{WindowMs: 1000 * bulrushchute.Second, LateMs: 10_000, LeaseMs: 3000}

const (
	// modelStart is in the window after modelWindow.
	modelStart = 2100 * bulrushchute.Second
	longBefore = modelStart - bulrushchute.Minute
)

// variant breaks the owner of the Reporter, or a rule of it, so that the search has a
// violation to find.
type variant struct {
	sendsBeforeWrite  bool
	writesBlindly     bool
	ignoresLeaseEnd   bool
	ignoresEpoch      bool
	contendsAtOnce    bool
	contendsAfter3s   bool
	forgetsEarlierAct bool
	releasesAtOnce    bool
}

// world is a state of the model: two nodes, the store and the platform.
type world struct {
	now    bulrushchute.Millis
	faults int
	// used has a bit for each fault of the scope that has occurred.
	used  byte
	nodes [2]modelNode
	store modelStore
	cloud modelCloud
	// writes take effect late, at any time. Their sender has got an unknown outcome.
	writes []*WriteLedger
	// flights are sends that arrive late, at Until at the latest.
	flights []flight
}

type modelNode struct {
	reporter *Reporter
	up       bool
	paused   bool
	started  bulrushchute.Millis
	resumed  bulrushchute.Millis
	// draft changes the node's total with each write.
	draft uint64
	// token and until are of the lease, token 0 if it is not held.
	token      uint64
	epoch      uint64
	until      bulrushchute.Millis
	observed   uint64
	observedAt bulrushchute.Millis
	era        uint64
	voidSince  bulrushchute.Millis
	// storeCall and send were returned by Next and not yet made.
	storeCall Action
	send      *Send
	// inHand passed the check of the owner, which was paused before it sent.
	inHand *Send
	// awaited is sent; its result comes when its deadline passes.
	awaited *Send
}

type modelLease struct {
	holder int
	epoch  uint64
}

type modelStore struct {
	era      uint64
	lease    modelLease
	version  uint64
	revision uint64
	ledger   []byte
	copied   modelCopy
}

// modelCopy is the store before the last claim of the lease.
type modelCopy struct {
	lease    modelLease
	revision uint64
	ledger   []byte
}

type flight struct {
	node int
	send *Send
}

// act is the latest call of a holder in a run of its calls.
type act struct {
	holder int
	at     bulrushchute.Millis
}

type modelCloud struct {
	accepted Counts
	maxToken uint64
	senders  map[uint64]int
	last     act
	before   act
}

func newWorld(faults int) *world {
	w := &world{now: modelStart, faults: faults}
	for i := range w.nodes {
		w.nodes[i] = modelNode{reporter: NewReporter(modelSettings), up: true, started: longBefore, resumed: longBefore, voidSince: longBefore}
	}
	w.store.lease.holder, w.store.copied.lease.holder = noHolder, noHolder
	w.cloud.last, w.cloud.before = act{noHolder, longBefore}, act{noHolder, longBefore}
	return w
}

func (w *world) clone() *world {
	copied := *w
	for i := range copied.nodes {
		r := *copied.nodes[i].reporter
		r.known = maps.Clone(r.known)
		r.term.retries = maps.Clone(r.term.retries)
		copied.nodes[i].reporter = &r
	}
	copied.writes = slices.Clone(w.writes)
	copied.flights = slices.Clone(w.flights)
	copied.cloud.senders = maps.Clone(w.cloud.senders)
	return &copied
}

// violation is the number of the invariant that a call violates, 0 if none.
type violation int

// arrive is a call that reaches the platform.
func (w *world) arrive(node int, send *Send, accept bool) violation {
	counts := send.Report.Counts
	if accept && w.cloud.accepted != nil && !maps.Equal(w.cloud.accepted, counts) {
		return 1
	}
	if accept {
		w.cloud.accepted = counts
	}
	sender, known := w.cloud.senders[send.Token]
	if known && sender != node {
		return 2
	}
	if !known {
		w.cloud.senders = maps.Clone(w.cloud.senders)
		if w.cloud.senders == nil {
			w.cloud.senders = make(map[uint64]int)
		}
		w.cloud.senders[send.Token] = node
	}
	exempt := w.now-w.nodes[node].resumed <= modelThaw
	lower := send.Token < w.cloud.maxToken
	w.cloud.maxToken = max(w.cloud.maxToken, send.Token)
	switch {
	case exempt:
		return 0
	case lower:
		return 3
	default:
		return w.actBy(node)
	}
}

func (w *world) actBy(node int) violation {
	c := &w.cloud
	if c.last.holder != node {
		if c.before.holder == node && w.now-c.before.at <= modelSettings.LeaseMs {
			return 4
		}
		c.before = c.last
	}
	c.last = act{node, w.now}
	return 0
}

// total is what a node has counted. It differs between nodes and between the attempts of
// a node to settle the window.
func (w *world) total(node int) func(Window) Total {
	return func(window Window) Total {
		if window != modelWindow {
			return Total{}
		}
		return Total{Counts: Counts{"t": uint64(node*2+1) + w.nodes[node].draft}, Complete: true}
	}
}

// run lets a node do what it does without I/O.
func (w *world) run(node int, v variant) {
	n := &w.nodes[node]
	if !n.up || n.paused {
		return
	}
	until := n.until
	if v.ignoresLeaseEnd {
		until = w.now + bulrushchute.Minute
	}
	if n.token != 0 && w.now >= until {
		w.endTerm(node)
	}
	for _, action := range n.reporter.Next(w.now, until, w.total(node)) {
		switch call := action.(type) {
		case *ReadLedger:
			n.storeCall = call
		case *WriteLedger:
			n.storeCall = call
			n.draft = 1 - n.draft
			if v.sendsBeforeWrite {
				_ = n.reporter.Done(w.now, call, Result{Outcome: OutcomeDone, Object: call.Object.WithValue(nil)})
				w.run(node, v)
			}
		case *Send:
			n.send = call
		case *GiveUpTerm:
			if w.now > call.ReleaseAfter {
				w.release(node)
			}
			w.endTerm(node)
		}
	}
}

func (w *world) endTerm(node int) {
	w.nodes[node].token = 0
	w.nodes[node].reporter.End()
}

func (w *world) release(node int) {
	n := &w.nodes[node]
	if w.store.lease.holder == node && w.store.lease.epoch == n.epoch && n.era == w.store.era {
		w.store.lease.holder = noHolder
		w.store.version++
	}
	w.endTerm(node)
}

// contact is a response of the store, which shows its era.
func (w *world) contact(node int) bool {
	n := &w.nodes[node]
	if n.era == w.store.era {
		return false
	}
	n.era, n.voidSince = w.store.era, w.now
	n.reporter.Restored()
	w.endTerm(node)
	return true
}

// acquireOrRenew models bulrushstore.Lease.AcquireOrRenew.
func (w *world) acquireOrRenew(node int, lost bool, v variant) {
	n := &w.nodes[node]
	if w.contact(node) {
		return
	}
	if n.token != 0 && w.now < n.until {
		if w.store.lease != (modelLease{node, n.epoch}) {
			w.endTerm(node)
			return
		}
		w.store.version++
		if !lost {
			n.until = w.now + modelSettings.LeaseMs
		}
		return
	}
	w.endTerm(node)
	if n.observed != w.store.version {
		n.observed, n.observedAt = w.store.version, w.now
	}
	if holder := w.store.lease.holder; holder != noHolder && holder != node && w.now < n.observedAt+modelSettings.LeaseMs+modelMargin {
		return
	}
	if w.now < n.voidSince+modelSettings.LeaseMs+modelMargin {
		return
	}
	w.claim(node, lost, v)
}

func (w *world) claim(node int, lost bool, v variant) {
	n := &w.nodes[node]
	w.store.copied = modelCopy{w.store.lease, w.store.revision, w.store.ledger}
	w.store.lease = modelLease{node, w.store.lease.epoch + 1}
	w.store.version++
	n.observed, n.observedAt = w.store.version, w.now
	if lost {
		return
	}
	n.epoch, n.until = w.store.lease.epoch, w.now+modelSettings.LeaseMs
	n.token = bulrushchute.StoreVersion(w.store.era, n.epoch)
	if v.ignoresEpoch {
		n.token = bulrushchute.StoreVersion(w.store.era, 1)
	}
	if v.forgetsEarlierAct {
		n.reporter.lastToken = 0
	}
	n.reporter.Begin(w.now, n.token)
}

// restore replaces the store by the copy and begins a new era.
func (w *world) restore() {
	s := &w.store
	s.era++
	s.version++
	s.lease, s.revision, s.ledger = s.copied.lease, s.copied.revision, s.copied.ledger
}

// apply is a write that reaches the store. As in the platform's protocol, only the
// revision is compared, not the era.
func (w *world) apply(write *WriteLedger, v variant) Result {
	s := &w.store
	base := bulrushchute.RevisionOf(write.Object.Version)
	if base != s.revision && !v.writesBlindly {
		return Result{Outcome: OutcomeConflict}
	}
	s.revision++
	s.ledger = write.Object.Value
	if write.Object.Version != 0 && bulrushchute.EraOf(write.Object.Version) != s.era {
		return Result{Outcome: OutcomeConflict}
	}
	return Result{Outcome: OutcomeDone, Object: w.ledgerObject()}
}

func (w *world) ledgerObject() bulrushchute.Object {
	return bulrushchute.Object{Version: bulrushchute.StoreVersion(w.store.era, w.store.revision), Value: w.store.ledger}
}

func (w *world) read() Result {
	if w.store.revision == 0 {
		return Result{Outcome: OutcomeNotFound}
	}
	return Result{Outcome: OutcomeDone, Object: w.ledgerObject()}
}

// tick advances the time and ends the calls whose deadline has passed.
func (w *world) tick(v variant) {
	w.now += modelTick
	w.flights = slices.DeleteFunc(w.flights, func(f flight) bool { return w.now > f.send.Until })
	for i := range w.nodes {
		w.expireCalls(i)
		w.run(i, v)
	}
}

func (w *world) expireCalls(node int) {
	n := &w.nodes[node]
	if n.awaited != nil && w.now >= n.awaited.Until && n.up && !n.paused {
		_ = n.reporter.Done(w.now, n.awaited, Result{Outcome: OutcomeUnknown})
		n.awaited = nil
	}
}

// key returns the state in a form that is equal for states with the same future. Times
// are relative to now, and limited to where they make a difference.
func (w *world) key(buffer []byte) []byte {
	b := append(buffer[:0], byte(w.faults), w.used)
	for i := range w.nodes {
		b = w.nodes[i].key(b, w)
	}
	s := &w.store
	b = append(b, byte(s.era), byte(s.lease.holder), byte(s.lease.epoch), byte(s.revision), byte(s.copied.lease.holder), byte(s.copied.lease.epoch), byte(s.copied.revision))
	b = append(append(b, s.ledger...), '|')
	b = append(append(b, s.copied.ledger...), '|')
	for _, write := range w.writes {
		b = append(appendAction(b, write, 0), ';')
	}
	for _, f := range w.flights {
		b = w.appendTime(appendAction(append(b, byte(f.node)), f.send, 0), f.send.Until, 0, 1000)
	}
	c := &w.cloud
	b = binary.AppendUvarint(append(b, byte(c.accepted["t"])), c.maxToken)
	for _, token := range slices.Sorted(maps.Keys(c.senders)) {
		b = append(binary.AppendUvarint(b, token), byte(c.senders[token]))
	}
	b = w.appendTime(append(b, byte(c.last.holder)), c.last.at, -3500, 0)
	return w.appendTime(append(b, byte(c.before.holder)), c.before.at, -3500, 0)
}

// appendTime appends a time relative to now, in units of the tick.
func (w *world) appendTime(b []byte, at, low, high bulrushchute.Millis) []byte {
	return append(b, byte(int8(min(max(at-w.now, low), high)/modelTick)))
}

func (n *modelNode) key(b []byte, w *world) []byte {
	b = append(b, flags(n.up, n.paused, n.resumed == w.now, n.observed == w.store.version), byte(n.draft), byte(n.epoch), byte(n.era))
	b = binary.AppendUvarint(b, n.token)
	b = w.appendTime(b, n.started, -5000, 0)
	b = w.appendTime(b, n.until, 0, 3500)
	b = w.appendTime(b, n.observedAt, -4000, 0)
	b = w.appendTime(b, n.voidSince, -4000, 0)
	r := n.reporter
	b = appendAction(b, n.storeCall, r.term.storeCall)
	if n.send != nil {
		b = w.appendTime(appendAction(b, n.send, r.term.sendCall), n.send.Until, 0, 1000)
	}
	if n.inHand != nil {
		b = appendAction(append(b, 'h'), n.inHand, r.term.sendCall)
	}
	if n.awaited != nil {
		b = w.appendTime(appendAction(append(b, 'a'), n.awaited, r.term.sendCall), n.awaited.Until, 0, 1000)
	}
	return r.key(b, w)
}

func (r *Reporter) key(b []byte, w *world) []byte {
	t := &r.term
	b = binary.AppendUvarint(append(b, 'r'), t.token)
	b = binary.AppendUvarint(b, r.lastToken)
	b = binary.AppendUvarint(b, t.object.Version)
	b = append(b, flags(t.mustRead, t.claimed, t.exists, t.storeCall != 0, t.sendCall != 0, r.restored), byte(r.announced))
	b = w.appendTime(append(b, flags(r.lastCall != 0)), r.lastUntil, -3500, 1000)
	b = w.appendTime(b, r.unansweredUntil, -500, 1000)
	b = w.appendTime(b, t.storeAfter, 0, 4000)
	retry := t.retries[modelWindow]
	b = w.appendTime(append(b, byte(retry.failures)), retry.after, 0, 4000)
	b = appendLedger(b, t.ledger)
	known, found := r.known[modelWindow]
	return append(b, flags(found, known.sent, known.acknowledged), byte(known.counts["t"]))
}

func flags(values ...bool) byte {
	var b byte
	for i, value := range values {
		if value {
			b |= 1 << i
		}
	}
	return b
}

func appendLedger(b []byte, l Ledger) []byte {
	b = append(binary.AppendUvarint(b, l.Token), byte(l.Next))
	for _, entry := range l.Windows {
		b = append(b, byte(entry.Window), byte(entry.Counts["t"]), flags(entry.Acknowledged))
	}
	return append(b, '.')
}

// appendAction appends an action and whether it is the outstanding call.
func appendAction(b []byte, action Action, outstanding uint64) []byte {
	switch call := action.(type) {
	case *ReadLedger:
		return append(b, 'R', flags(call.Number == outstanding))
	case *WriteLedger:
		b = appendLedger(append(b, 'W', flags(call.Number == outstanding)), call.Ledger)
		return binary.AppendUvarint(b, call.Object.Version)
	case *Send:
		b = append(b, 'S', flags(call.Number == outstanding), byte(call.Report.Counts["t"]))
		return binary.AppendUvarint(b, call.Token)
	}
	return append(b, '-')
}

func eraOf(write *WriteLedger) uint64 {
	return bulrushchute.EraOf(write.Object.Version)
}

// contendAfter returns the time after which a process may contend.
func (v variant) contendAfter(started bulrushchute.Millis) bulrushchute.Millis {
	switch {
	case v.contendsAtOnce:
		return started - 1
	case v.contendsAfter3s:
		return started + modelSettings.LeaseMs
	default:
		return ContendAfter(modelSettings, started)
	}
}

func nodeName(node int) string {
	return fmt.Sprintf("%c", 'A'+node)
}
