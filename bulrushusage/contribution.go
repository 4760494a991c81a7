package bulrushusage

import (
	"strconv"

	"bulrushchute.example/bulrushchute"
)

// Part is a contribution to the counts of a window, as it is sent.
type Part = bulrushchute.UsagePart

// Receipt acknowledges a Part.
type Receipt = bulrushchute.UsageReceipt

// levelHolder is the level of the holder. It is not used in messages.
const levelHolder = bulrushchute.UsageDirect + 1

// Limits on what a node holds for a window. The first allows all nodes of a large
// data centre to be in one group, which happens while they start and know few
// members.
const (
	maxContributions = 2048
	// maxCandidates is the number of contributions by different collectors that are
	// kept for one group or data centre.
	maxCandidates = 4
)

// contribution is a Part with the list of tenants that it refers to. In its key,
// DataCentre and Sender are always set.
type contribution struct {
	key      bulrushchute.UsageKey
	sources  int
	expected int
	final    bool
	content  content
	total    uint64
}

// identity returns the key without the sequence.
func identity(key bulrushchute.UsageKey) bulrushchute.UsageKey {
	key.Sequence = 0
	return key
}

// childOf returns the part of the key that all candidates for the same counts share.
func childOf(key bulrushchute.UsageKey) bulrushchute.UsageKey {
	key.Sequence = 0
	if summed(key.Level) {
		key.Sender = ""
	}
	return key
}

// summed reports whether contributions of a level are sums of a collector. Others
// are of a single node, and have no competing candidates.
func summed(level bulrushchute.UsageLevel) bool {
	return level == bulrushchute.UsageGroup || level == bulrushchute.UsageDataCentre
}

func (c contribution) sameAs(other contribution) bool {
	return c.sources == other.sources && c.expected == other.expected && c.final == other.final && c.content.equal(other.content)
}

// better reports whether a candidate is preferred to another one for the same
// counts. Among final ones with as many sources, that of the present collector is
// the latest, even if its total is lower because counts were withdrawn.
func (c contribution) better(other contribution, collectorOf func(bulrushchute.UsageKey) bulrushchute.InstanceID) bool {
	if c.sources != other.sources {
		return c.sources > other.sources
	}
	if c.final != other.final {
		return c.final
	}
	if c.final {
		collector := collectorOf(c.key)
		if (c.key.Sender == collector) != (other.key.Sender == collector) {
			return c.key.Sender == collector
		}
	}
	if c.total != other.total {
		return c.total > other.total
	}
	return c.key.Sequence > other.key.Sequence
}

// place identifies a position in the tree at which contributions are added up.
type place struct {
	level      bulrushchute.UsageLevel
	dataCentre bulrushchute.DataCentre
	group      group
}

// purpose returns the name of the place in the choice of its collector.
func (p place) purpose() string {
	if p.level == bulrushchute.UsageDataCentre {
		return "usage/collect/"
	}
	return "usage/collect/" + strconv.Itoa(p.group.bits) + "/" + strconv.FormatUint(uint64(p.group.number), 10) + "/"
}

// parentOf returns where the contribution with the given key is added up.
func parentOf(key bulrushchute.UsageKey) place {
	switch key.Level {
	case bulrushchute.UsageSource:
		return place{bulrushchute.UsageGroup, key.DataCentre, group{bits: key.Bits, number: key.Group}}
	case bulrushchute.UsageGroup:
		return place{level: bulrushchute.UsageDataCentre, dataCentre: key.DataCentre}
	}
	return place{level: levelHolder}
}

// makerOf returns the place whose collector makes the contribution with the given
// key, which is not of UsageSource.
func makerOf(key bulrushchute.UsageKey) place {
	return place{key.Level, key.DataCentre, group{bits: key.Bits, number: key.Group}}
}

// aggregate holds the contributions that are added up at one place.
type aggregate struct {
	place    place
	children map[bulrushchute.UsageKey]contribution
	// dirty is set if the sum may have changed since it was last computed.
	dirty bool
	// version is that of the tree for which the sum was computed.
	version uint64
	// collecting is set while this node is the collector of the place.
	collecting bool
	sent       contribution
	sentAt     bulrushchute.Millis
}

// put stores a contribution unless a later one of the same sender or enough better
// ones for the same counts are known.
func (a *aggregate) put(added contribution) {
	key := identity(added.key)
	known, exists := a.children[key]
	if exists && known.key.Sequence >= added.key.Sequence {
		return
	}
	a.children[key] = added
	a.dirty = true
	if !exists && summed(added.key.Level) {
		a.limitCandidates(childOf(added.key))
	}
}

// limitCandidates removes the worst candidate if there are too many.
func (a *aggregate) limitCandidates(child bulrushchute.UsageKey) {
	candidates := 0
	var worst contribution
	for _, candidate := range a.children {
		if childOf(candidate.key) != child {
			continue
		}
		candidates++
		if candidates == 1 || worst.better(candidate, noCollector) {
			worst = candidate
		}
	}
	if candidates > maxCandidates {
		delete(a.children, identity(worst.key))
	}
}

// chosen returns the best candidate for each child.
func (a *aggregate) chosen(collectorOf func(bulrushchute.UsageKey) bulrushchute.InstanceID) map[bulrushchute.UsageKey]contribution {
	chosen := make(map[bulrushchute.UsageKey]contribution, len(a.children))
	for _, child := range a.children {
		key := childOf(child.key)
		best, exists := chosen[key]
		if !exists || child.better(best, collectorOf) {
			chosen[key] = child
		}
	}
	return chosen
}

func noCollector(bulrushchute.UsageKey) bulrushchute.InstanceID {
	return ""
}

// delivery is a contribution that this node passes on until it is acknowledged.
type delivery struct {
	contribution contribution
	target       bulrushchute.InstanceID
	sent         bool
	sentAt       bulrushchute.Millis
	acknowledged bool
}

// window is what a node holds for one window.
type window struct {
	number     Window
	aggregates map[place]*aggregate
	deliveries map[bulrushchute.UsageKey]*delivery

	// direct is set if the node passes its own counts to the holder itself. Otherwise,
	// group is the node's own group once its counts are passed on.
	direct bool
	group  group
	// source describes the counts of the node itself that were last passed on.
	source sourceState
}

type sourceState struct {
	sent    bool
	final   bool
	changes uint64
	sentAt  bulrushchute.Millis
}

func newWindow(number Window) *window {
	return &window{
		number:     number,
		aggregates: make(map[place]*aggregate),
		deliveries: make(map[bulrushchute.UsageKey]*delivery),
	}
}

func (w *window) aggregate(at place) *aggregate {
	a, exists := w.aggregates[at]
	if !exists {
		a = &aggregate{place: at, children: make(map[bulrushchute.UsageKey]contribution), dirty: true}
		w.aggregates[at] = a
	}
	return a
}

// holds returns the number of contributions.
func (w *window) holds() int {
	count := 0
	for _, a := range w.aggregates {
		count += len(a.children)
	}
	return count
}

// deliver passes on a contribution, in place of an earlier one of the same sender.
func (w *window) deliver(passed contribution) {
	key := identity(passed.key)
	d, exists := w.deliveries[key]
	if !exists {
		d = &delivery{}
		w.deliveries[key] = d
	}
	*d = delivery{contribution: passed, target: d.target}
}
