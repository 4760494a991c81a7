package bulrushusage

import (
	"bulrushchute.example/bulrushchute"
)

// Times of the collection.
const (
	// finalDelay is the time after the end of a window at which a node passes on its
	// own counts as final. Until then, counts may still be withdrawn.
	finalDelay = 200 * bulrushchute.Millisecond
	// waitForChildren is the time after the end of a window until which collectors
	// wait for the final counts of all their children.
	waitForChildren = bulrushchute.Second
	// changeInterval is the least time between two contributions of the same
	// collector, and between two final ones of the same source.
	changeInterval = 500 * bulrushchute.Millisecond
	// interimInterval is the least time between the interim counts of a source.
	interimInterval = bulrushchute.Second
)

// Limits on the messages with interim counts.
const (
	// interimBytesPerS is what the members of a group together send in interim counts.
	// With 1 message per second, the collector of 16 nodes with 200 tenants would get
	// most of the 8 KB/s that a node may use for control.
	interimBytesPerS = 2000
	// messageBytes is the size of a message without counts, plus that of its receipt.
	messageBytes = 200
)

// update brings everything that the node passes on for a window up to date. A level
// comes after the one below, whose contributions may be for this node.
func (c *Collector) update(w *window) {
	c.updateSource(w)
	for level := bulrushchute.UsageSource; level <= bulrushchute.UsageDirect; level++ {
		c.address(w, level)
		for at, a := range w.aggregates {
			if at.level == level+1 {
				c.updateAggregate(w, a)
			}
		}
	}
	// An aggregate that has ended may hand over contributions of lower levels.
	for level := bulrushchute.UsageSource; level <= bulrushchute.UsageDirect; level++ {
		c.address(w, level)
	}
}

func (c *Collector) updateSource(w *window) {
	if w.direct && !c.tree.alone() {
		c.leaveDirect(w)
	}
	changes := c.counter.changes(w.number)
	over := c.stopping || c.now >= w.number.End(c.settings.WindowMs)+finalDelay
	if over && w.number >= c.first && c.finalDue(w, changes) || !over && c.interimDue(w, changes) {
		c.passSource(w, over)
	}
}

func (c *Collector) finalDue(w *window, changes uint64) bool {
	if !w.source.final {
		return true
	}
	return changes != w.source.changes && c.now >= w.source.sentAt+changeInterval
}

func (c *Collector) interimDue(w *window, changes uint64) bool {
	end := w.number.End(c.settings.WindowMs)
	if changes == w.source.changes || c.now >= end {
		return false
	}
	members := len(c.tree.membersOf(groupOf(c.self, c.tree.bits)))
	share := bulrushchute.Second * bulrushchute.Millis(members*(c.sourceBytes+messageBytes)) / interimBytesPerS
	interval := max(interimInterval, share)
	since := max(w.source.sentAt, w.number.Start(c.settings.WindowMs))
	// Shortly before the end, the final counts are enough.
	return c.now >= since+interval && end-c.now >= interval/2
}

// passSource passes on the node's own counts.
func (c *Collector) passSource(w *window, final bool) {
	if !w.source.sent {
		w.direct, w.group = c.tree.alone(), groupOf(c.self, c.tree.bits)
	}
	counts, changes := c.counter.snapshot(w.number)
	w.source = sourceState{sent: true, final: final, changes: changes, sentAt: c.now}
	passed := c.contribution(w, w.sourceKey(), encode(c.lists.current(), counts))
	passed.sources, passed.expected, passed.final = 1, 1, final
	c.sourceBytes = passed.content.size()
	w.deliver(passed)
}

// sourceKey returns the level and group of the node's own counts. They are fixed for
// a window, so that no two places have its counts.
func (w *window) sourceKey() bulrushchute.UsageKey {
	if w.direct {
		return bulrushchute.UsageKey{Level: bulrushchute.UsageDirect}
	}
	return bulrushchute.UsageKey{Level: bulrushchute.UsageSource, Bits: w.group.bits, Group: w.group.number}
}

// leaveDirect puts the node into a group when it learns of other members, unless it
// has already sent its counts to a holder.
func (c *Collector) leaveDirect(w *window) {
	key := w.sourceKey()
	key.Window, key.DataCentre, key.Sender = w.number, c.dataCentre, c.self
	if d := w.deliveries[key]; d.target == "" {
		delete(w.deliveries, key)
		w.direct, w.source = false, sourceState{}
	}
}

// contribution returns one that this node makes.
func (c *Collector) contribution(w *window, key bulrushchute.UsageKey, counts content) contribution {
	c.sequence++
	key.Window, key.Sequence = w.number, c.sequence
	key.DataCentre, key.Sender = c.dataCentre, c.self
	return contribution{key: key, content: counts, total: counts.total()}
}

// updateAggregate passes on the sum of an aggregate if this node is its collector,
// and otherwise hands over what no other node has.
func (c *Collector) updateAggregate(w *window, a *aggregate) {
	if c.target(a.place).id != c.self {
		c.endCollecting(w, a)
		c.handOver(w, a)
		return
	}
	if a.place.level == levelHolder {
		return
	}
	if !a.collecting || a.version != c.tree.version {
		a.collecting, a.version, a.dirty = true, c.tree.version, true
	}
	open := c.now < w.number.End(c.settings.WindowMs) && !c.stopping
	if a.dirty && !open && len(a.children) > 0 && (a.sentAt == 0 || c.now >= a.sentAt+changeInterval) {
		c.passAggregate(w, a)
	}
}

func (c *Collector) passAggregate(w *window, a *aggregate) {
	chosen := a.chosen(c.collectorOf)
	final, expected := c.progress(w, a.place, chosen)
	over := c.stopping || c.now >= w.number.End(c.settings.WindowMs)+waitForChildren
	if !final && !over {
		return
	}
	a.dirty = false
	var sum counting
	sources := 0
	for _, child := range chosen {
		sum.add(child.content)
		sources += child.sources
	}
	key := bulrushchute.UsageKey{Level: a.place.level, Bits: a.place.group.bits, Group: a.place.group.number}
	passed := c.contribution(w, key, encode(c.lists.current(), sum.counts()))
	passed.sources, passed.expected, passed.final = sources, max(sources, expected), final
	if !passed.sameAs(a.sent) {
		a.sent, a.sentAt = passed, c.now
		w.deliver(passed)
	}
}

// progress returns whether the final counts of all expected children are there, and
// the number of nodes that should be included.
func (c *Collector) progress(w *window, at place, chosen map[bulrushchute.UsageKey]contribution) (bool, int) {
	for _, child := range chosen {
		if !child.final && c.tree.living[child.key.Sender] {
			return false, c.expected(at)
		}
	}
	key := bulrushchute.UsageKey{Window: w.number, DataCentre: c.dataCentre}
	if at.level == bulrushchute.UsageDataCentre {
		key.Level, key.Bits = bulrushchute.UsageGroup, c.tree.bits
		for number := range c.tree.groupsOf(c.tree.bits) {
			key.Group = number
			if !chosen[key].final {
				return false, c.expected(at)
			}
		}
		return true, c.expected(at)
	}
	key.Level, key.Bits, key.Group = bulrushchute.UsageSource, at.group.bits, at.group.number
	for _, id := range c.tree.membersOf(at.group) {
		key.Sender = id
		if _, exists := chosen[key]; !exists {
			return false, c.expected(at)
		}
	}
	return true, c.expected(at)
}

func (c *Collector) expected(at place) int {
	if at.level == bulrushchute.UsageDataCentre {
		return len(c.tree.local)
	}
	return len(c.tree.membersOf(at.group))
}

// endCollecting withdraws the sum that this node has passed on, which is now that of
// its successor to pass on.
func (c *Collector) endCollecting(w *window, a *aggregate) {
	if !a.collecting {
		return
	}
	a.collecting, a.sent, a.sentAt = false, contribution{}, 0
	delete(w.deliveries, identity(bulrushchute.UsageKey{
		Window: w.number, Level: a.place.level, Bits: a.place.group.bits, Group: a.place.group.number,
		DataCentre: c.dataCentre, Sender: c.self,
	}))
}

// handOver passes on contributions to the collector that has taken over. Living
// members send theirs again, so this is only for others unless the node stops.
func (c *Collector) handOver(w *window, a *aggregate) {
	for key, child := range a.children {
		if !c.stopping && c.tree.living[key.Sender] {
			continue
		}
		d, exists := w.deliveries[key]
		if !exists || d.contribution.key.Sequence < child.key.Sequence {
			w.deliver(child)
		}
	}
}
