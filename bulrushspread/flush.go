package bulrushspread

import (
	"bulrushchute.example/bulrushchute"
)

// batchBytes is the size at which a batch in an ordinary message is complete.
// The last record of a batch may exceed it. Batches are small, so that a message
// of member records does not delay an urgent one.
const batchBytes = 1200

// bulkBatchBytes is the size at which a batch of records in a bulk message is
// complete.
const bulkBatchBytes = 16 << 10

// Tick returns the messages that are due. It must be called every TickInterval.
func (t *Table) Tick(now bulrushchute.Millis) []Action {
	t.budget.refill(now)
	t.removeSilentPeers(now)
	t.retryWants(now)
	t.startPeriodicComparison(now)
	actions := t.flushQueues(now, true)
	actions = t.flushDigests(actions)
	actions = t.flushTransfers(actions)
	if len(t.peerOrder) > 0 {
		t.rotation = (t.rotation + 1) % len(t.peerOrder)
	}
	return actions
}

// flushReplies sends wants and requested records without waiting for the next
// tick.
func (t *Table) flushReplies(now bulrushchute.Millis) []Action {
	t.budget.refill(now)
	return t.flushQueues(now, false)
}

// flushQueues sends queued messages by priority. The peer that goes first
// rotates, so that a shortage of tokens does not always affect the same peers.
func (t *Table) flushQueues(_ bulrushchute.Millis, withAnnouncements bool) []Action {
	var actions []Action
	for priority := range priorityCount {
		for i := range t.peerOrder {
			p := t.peerOrder[(i+t.rotation)%len(t.peerOrder)]
			actions = t.flushWants(actions, p, priority)
			actions = t.flushDeliveries(actions, p, priority)
			if withAnnouncements {
				actions = t.flushAnnouncements(actions, p, priority)
			}
		}
	}
	return actions
}

func (t *Table) flushWants(actions []Action, p *peer, priority int) []Action {
	for len(p.wants[priority]) > 0 && t.budget.allows(priority) {
		size, count := 0, 0
		for count < len(p.wants[priority]) && size < batchBytes {
			size += sizeKey(p.wants[priority][count])
			count++
		}
		keys := p.wants[priority][:count:count]
		p.wants[priority] = p.wants[priority][count:]
		actions = t.send(actions, p, bulrushchute.Control{Want: &bulrushchute.Want{Keys: keys}})
	}
	if len(p.wants[priority]) == 0 {
		p.wants[priority] = nil
	}
	return actions
}

func (t *Table) flushDeliveries(actions []Action, p *peer, priority int) []Action {
	for !p.deliveries[priority].empty() && t.budget.allows(priority) {
		records := takeBatch(&p.deliveries[priority], nil)
		if len(records) > 0 {
			actions = t.sendRecords(actions, p, records)
		}
	}
	return actions
}

// flushAnnouncements sends small records in full and announces the versions of
// the others.
func (t *Table) flushAnnouncements(actions []Action, p *peer, priority int) []Action {
	for !p.announcements[priority].empty() && t.budget.allows(priority) {
		var versions []bulrushchute.VersionedKey
		records := takeBatch(&p.announcements[priority], &versions)
		if len(records) > 0 {
			actions = t.sendRecords(actions, p, records)
		}
		if len(versions) > 0 {
			actions = t.send(actions, p, bulrushchute.Control{Have: &bulrushchute.Have{Versions: versions}})
		}
	}
	return actions
}

// takeBatch removes a batch from a queue. If versions is not nil, records that
// are too large to send inline are appended to it as versions.
func takeBatch(q *queue, versions *[]bulrushchute.VersionedKey) []bulrushchute.Record {
	var records []bulrushchute.Record
	for size := 0; size < batchBytes; {
		e, ok := q.pop()
		if !ok {
			break
		}
		record := &e.record
		bytes := sizeRecord(record)
		if versions != nil && bytes > maxInlineBytes {
			*versions = append(*versions, bulrushchute.VersionedKey{Key: record.Key, Version: record.Version})
			size += sizeVersionedKey(record.Key, record.Version)
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
	t.budget.consume(float64(size))
	t.stats.SentMessages++
	t.stats.SentBytes += uint64(size)
	return append(actions, Action{To: p.neighbour.Address, Message: message})
}

// sendBulk is like send, but consumes bulk tokens while there are any.
func (t *Table) sendBulk(actions []Action, p *peer, message bulrushchute.Control) []Action {
	if t.budget.bulkTokens <= 0 {
		return t.send(actions, p, message)
	}
	message.From = t.config.Self
	size := Size(message)
	t.budget.bulkTokens -= float64(size)
	t.stats.SentMessages++
	t.stats.BulkBytes += uint64(size)
	return append(actions, Action{To: p.neighbour.Address, Message: message})
}

// Charge deducts bytes that were sent outside the table, such as heartbeats,
// from its budget.
func (t *Table) Charge(bytes int) {
	t.budget.tokens -= float64(bytes)
	t.stats.ChargedBytes += uint64(bytes)
}

// flushDigests sends queued digests. Those for transient peers may use bulk
// tokens, as copies do, so that load on this node does not delay a joining
// node.
func (t *Table) flushDigests(actions []Action) []Action {
	for _, p := range t.peerOrder {
		for len(p.digests) > 0 && (t.budget.allows(priorityMember) || (p.transient && t.bulkAllowed())) {
			digest := p.digests[0]
			p.digests = p.digests[1:]
			message := bulrushchute.Control{Digest: &digest}
			if p.transient {
				actions = t.sendBulk(actions, p, message)
				continue
			}
			actions = t.send(actions, p, message)
		}
	}
	return actions
}
