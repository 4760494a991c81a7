package bulrushusage

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// repeatAfter is the time after which a contribution without a receipt is sent
// again.
const repeatAfter = bulrushchute.Second

// fullKey sets what is left out of a key in messages.
func (c *Collector) fullKey(from bulrushchute.InstanceID, key bulrushchute.UsageKey) bulrushchute.UsageKey {
	if key.Sender == "" {
		key.Sender = from
	}
	if staysInDataCentre(key.Level) && key.DataCentre == "" {
		key.DataCentre = c.dataCentre
	}
	return key
}

func staysInDataCentre(level bulrushchute.UsageLevel) bool {
	return level == bulrushchute.UsageSource || level == bulrushchute.UsageGroup
}

// read returns the contribution in a message. It returns false if it is not
// plausible or if it refers to a list of tenants that is not known.
func (c *Collector) read(from bulrushchute.InstanceID, part Part) (contribution, bool) {
	received := contribution{
		key:      c.fullKey(from, part.Key),
		sources:  part.Sources,
		expected: part.Expected,
		final:    part.Final,
		content:  content{indexed: part.Indexed, named: part.Named},
	}
	if part.ListHash != 0 {
		list, known := c.lists.find(part.ListHash)
		if !known {
			return contribution{}, false
		}
		received.content.list = list
	}
	if !c.plausible(from, received) || !received.content.valid() {
		return contribution{}, false
	}
	received.total = received.content.total()
	return received, true
}

// plausible reports whether the key of a contribution and its numbers of nodes are
// possible. Members that have just left may still have contributions on the way.
func (c *Collector) plausible(from bulrushchute.InstanceID, received contribution) bool {
	key := received.key
	if received.sources < 1 || received.expected < 1 || key.Bits < 0 || key.Bits > maxBits || uint64(key.Group) >= 1<<key.Bits {
		return false
	}
	if !staysInDataCentre(key.Level) {
		direct := key.Level == bulrushchute.UsageDirect && received.sources == 1
		return c.tree.knowsDataCentre(key.DataCentre) && key.Bits == 0 && (direct || key.Level == bulrushchute.UsageDataCentre)
	}
	if key.DataCentre != c.dataCentre || !c.tree.knows(from) {
		return false
	}
	switch key.Level {
	case bulrushchute.UsageSource:
		return received.sources == 1 && groupOf(key.Sender, key.Bits).number == key.Group
	case bulrushchute.UsageGroup:
		return received.sources <= maxContributions
	}
	return false
}

// part returns the message of a contribution. With names, it can be read without the
// list of tenants.
func (c *Collector) part(sent contribution, withNames bool) Part {
	key := sent.key
	if key.Sender == c.self {
		key.Sender = ""
	}
	if staysInDataCentre(key.Level) {
		key.DataCentre = ""
	}
	counts := sent.content
	if withNames {
		counts = counts.withNames()
	}
	part := Part{Key: key, Sources: sent.sources, Expected: sent.expected, Final: sent.final, Indexed: counts.indexed, Named: counts.named}
	if counts.list != nil {
		part.ListHash = counts.list.hash
	}
	return part
}

// outgoing returns the messages for all deliveries that are due.
func (c *Collector) outgoing(numbers []Window) []Outgoing {
	var messages []Outgoing
	indexes := make(map[bulrushchute.InstanceID]int)
	for _, number := range numbers {
		for _, d := range c.dueDeliveries(c.windows[number]) {
			target := c.target(parentOf(d.contribution.key))
			index, exists := indexes[target.id]
			if !exists {
				index = len(messages)
				indexes[target.id] = index
				messages = append(messages, Outgoing{To: target.id, Address: target.address})
			}
			messages[index].Parts = append(messages[index].Parts, c.part(d.contribution, d.sent))
			d.sent, d.sentAt = true, c.now
		}
	}
	return messages
}

// dueDeliveries returns the deliveries to other nodes that are due, in order.
func (c *Collector) dueDeliveries(w *window) []*delivery {
	var due []*delivery
	for _, d := range w.deliveries {
		if !d.acknowledged && d.target != "" && d.target != c.self && (!d.sent || c.now >= d.sentAt+repeatAfter) {
			due = append(due, d)
		}
	}
	slices.SortFunc(due, func(a, b *delivery) int { return compareKeys(a.contribution.key, b.contribution.key) })
	return due
}

// address brings the targets of deliveries of a level up to date, and stores those
// whose target is this node.
func (c *Collector) address(w *window, level bulrushchute.UsageLevel) {
	for key, d := range w.deliveries {
		if key.Level != level {
			continue
		}
		if target := c.target(parentOf(key)).id; target != d.target {
			*d = delivery{contribution: d.contribution, target: target}
		}
		if d.target == c.self && !d.acknowledged {
			d.acknowledged = c.store(d.contribution)
		}
	}
}
