package bulrushspread

import (
	"bulrushchute.example/bulrushchute"
)

// batchBytes bounds an ordinary message unless a single record is larger. It
// is small, so that a message of member records does not delay an urgent one.
const batchBytes = 1200

// bulkBatchBytes bounds a message of a copy.
const bulkBatchBytes = 16 << 10

// Tick sends what is due. It is to be called every TickInterval.
func (t *Table) Tick(now bulrushchute.Millis) []Action {
	t.budget.refill(now)
	t.dropGuests(now)
	t.retryWants(now)
	t.startPeriodicCompare(now)
	actions := t.flushQueues(now, true)
	actions = t.flushDigests(actions)
	actions = t.flushTransfers(actions)
	if len(t.order) > 0 {
		t.rotation = (t.rotation + 1) % len(t.order)
	}
	return actions
}

// flushReplies sends answers without waiting for the next tick.
func (t *Table) flushReplies(now bulrushchute.Millis) []Action {
	t.budget.refill(now)
	return t.flushQueues(now, false)
}

// flushQueues sends queued messages by class. The peer that goes first
// rotates, so that a shortage of budget does not always hit the same ones.
func (t *Table) flushQueues(_ bulrushchute.Millis, announcements bool) []Action {
	var actions []Action
	for class := range classCount {
		for i := range t.order {
			p := t.order[(i+t.rotation)%len(t.order)]
			actions = t.flushWants(actions, p, class)
			actions = t.flushDeliveries(actions, p, class)
			if announcements {
				actions = t.flushAnnouncements(actions, p, class)
			}
		}
	}
	return actions
}

func (t *Table) flushWants(actions []Action, p *peer, class int) []Action {
	for len(p.want[class]) > 0 && t.budget.allows(class) {
		size, count := 0, 0
		for count < len(p.want[class]) && size < batchBytes {
			size += sizeKey(p.want[class][count])
			count++
		}
		keys := p.want[class][:count:count]
		p.want[class] = p.want[class][count:]
		actions = t.send(actions, p, bulrushchute.Control{Want: &bulrushchute.Want{Keys: keys}})
	}
	if len(p.want[class]) == 0 {
		p.want[class] = nil
	}
	return actions
}

func (t *Table) flushDeliveries(actions []Action, p *peer, class int) []Action {
	for !p.deliver[class].empty() && t.budget.allows(class) {
		records := collect(&p.deliver[class], nil)
		if len(records) > 0 {
			actions = t.sendRecords(actions, p, records)
		}
	}
	return actions
}

// flushAnnouncements sends small records whole and announces the others.
func (t *Table) flushAnnouncements(actions []Action, p *peer, class int) []Action {
	for !p.announce[class].empty() && t.budget.allows(class) {
		var versions []bulrushchute.VersionedKey
		records := collect(&p.announce[class], &versions)
		if len(records) > 0 {
			actions = t.sendRecords(actions, p, records)
		}
		if len(versions) > 0 {
			actions = t.send(actions, p, bulrushchute.Control{Have: &bulrushchute.Have{Versions: versions}})
		}
	}
	return actions
}

// collect takes a batch from a queue. Given a list for versions, it adds the
// records that are too large to send inline there.
func collect(q *queue, versions *[]bulrushchute.VersionedKey) []bulrushchute.Record {
	var records []bulrushchute.Record
	for size := 0; size < batchBytes; {
		e, ok := q.pop()
		if !ok {
			break
		}
		record := &e.record
		bytes := sizeRecord(record)
		if versions != nil && bytes > inlineBytes {
			*versions = append(*versions, bulrushchute.VersionedKey{Key: record.Key, Version: record.Version})
			size += sizeVersionOf(record.Key, record.Version)
			continue
		}
		records = append(records, *record)
		size += bytes
	}
	return records
}

func (t *Table) sendRecords(actions []Action, p *peer, records []bulrushchute.Record) []Action {
	return t.send(actions, p, bulrushchute.Control{Records: &bulrushchute.Records{Records: records}})
}

func (t *Table) send(actions []Action, p *peer, message bulrushchute.Control) []Action {
	message.From = t.config.Self
	size := Size(message)
	t.budget.pay(float64(size))
	t.stats.SentMessages++
	t.stats.SentBytes += uint64(size)
	return append(actions, Action{To: p.neighbour.Address, Message: message})
}

// sendBulk pays from the bulk allowance, or from ordinary tokens when it is used up.
func (t *Table) sendBulk(actions []Action, p *peer, message bulrushchute.Control) []Action {
	if t.budget.bulk <= 0 {
		return t.send(actions, p, message)
	}
	message.From = t.config.Self
	size := Size(message)
	t.budget.bulk -= float64(size)
	t.stats.SentMessages++
	t.stats.BulkBytes += uint64(size)
	return append(actions, Action{To: p.neighbour.Address, Message: message})
}

// Charge takes bytes that were sent outside the table, such as heartbeats,
// from its budget.
func (t *Table) Charge(bytes int) {
	t.budget.tokens -= float64(bytes)
	t.stats.ChargedBytes += uint64(bytes)
}

// flushDigests sends digests. Those of guests are paid like copies, so that a
// node under load does not delay a node that joins.
func (t *Table) flushDigests(actions []Action) []Action {
	for _, p := range t.order {
		for len(p.digests) > 0 && (t.budget.allows(classMember) || (p.guest && t.bulkAllowed())) {
			digest := p.digests[0]
			p.digests = p.digests[1:]
			message := bulrushchute.Control{Digest: &digest}
			if p.guest {
				actions = t.sendBulk(actions, p, message)
				continue
			}
			actions = t.send(actions, p, message)
		}
	}
	return actions
}
