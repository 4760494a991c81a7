package bulrushspread

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// compareInterval is the time between two comparisons with neighbours.
	compareInterval = 10 * bulrushchute.Second
	compareJitter   = 2 * bulrushchute.Second
	// busyChanges is the number of recent changes above which most differences
	// are changes under way, which a comparison would only send again.
	busyChanges = 64
	// repairBytes bounds what one comparison with a neighbour makes a node announce.
	repairBytes = 64 << 10
	// sampleRecords is the number of members named to a node that is turned away.
	sampleRecords = 16
	// turnAwayFilled is the number of filled buckets up to which a joining node
	// is turned away. It lets a node that was turned away twice copy in any case.
	turnAwayFilled = 2 * sampleRecords
	// copyFilled is the number of filled buckets up to which a joining node
	// gets all buckets whole. Asking for the rest one by one takes half a
	// minute at the ordinary rate.
	copyFilled = 4 * sampleRecords
)

// transfer sends the content of the buckets in which a peer differs. Buckets
// that the peer has no record in are sent whole, the others as versions.
type transfer struct {
	buckets []uint8
	whole   [BucketCount]bool
	// shared leaves out records that are valid in one data centre only.
	shared bool
	at     int
	// limit is the number of bytes left to send, negative for no limit.
	limit int
	// digest, if set, is sent at the end to answer the peer's own digest.
	digest bool
	// records and versions are collected for the next messages.
	records     []bulrushchute.Record
	recordBytes int
	versions    []bulrushchute.VersionedKey
}

// Compare sends a digest to a node, which answers with what this table lacks.
// OnCompare reports the result.
func (t *Table) Compare(now bulrushchute.Millis, with bulrushchute.Address) []Action {
	p := t.peerAt(now, with)
	if p == nil {
		return nil
	}
	t.comparing[with] = true
	digest := t.question(p)
	return t.send(nil, p, bulrushchute.Control{Digest: &digest})
}

// question is a digest that asks a peer for its versions in the buckets that differ.
func (t *Table) question(p *peer) bulrushchute.Digest {
	digest := t.digest(p.sharesOnly())
	digest.Reply = true
	return digest
}

// sharesOnly reports whether a peer is, or may be, in another data centre.
func (p *peer) sharesOnly() bool {
	return p.guest || p.neighbour.Bridge
}

func (t *Table) digest(shared bool) bulrushchute.Digest {
	buckets := append([]uint64(nil), t.hashes(shared)[:]...)
	return bulrushchute.Digest{Buckets: buckets, Shared: shared}
}

func (t *Table) hashes(shared bool) *[BucketCount]uint64 {
	if shared {
		return &t.shared
	}
	return &t.all
}

func (t *Table) scheduleCompare(now bulrushchute.Millis) {
	t.nextCompare = now + compareInterval - compareJitter/2
	if t.config.Random != nil {
		t.nextCompare += bulrushchute.Millis(t.config.Random.Int64N(int64(compareJitter)))
	}
}

// startPeriodicCompare queues a digest for one neighbour.
func (t *Table) startPeriodicCompare(now bulrushchute.Millis) {
	if now < t.nextCompare {
		return
	}
	t.scheduleCompare(now)
	if t.recent.count(now) > busyChanges {
		return
	}
	if p := t.randomNeighbour(); p != nil {
		p.digests = append(p.digests[:0], t.question(p))
	}
}

func (t *Table) randomNeighbour() *peer {
	var neighbours []*peer
	for _, p := range t.order {
		if !p.guest {
			neighbours = append(neighbours, p)
		}
	}
	if len(neighbours) == 0 {
		return nil
	}
	if t.config.Random == nil {
		return neighbours[0]
	}
	return neighbours[t.config.Random.IntN(len(neighbours))]
}

func (t *Table) receiveDigest(now bulrushchute.Millis, p *peer, digest *bulrushchute.Digest) {
	differing := t.difference(digest)
	if digest.Reply {
		t.answerDigest(p, digest, differing)
		return
	}
	if t.comparing[p.neighbour.Address] {
		delete(t.comparing, p.neighbour.Address)
		if t.config.OnCompare != nil {
			t.config.OnCompare(now, Comparison{With: p.neighbour.Address, Differing: len(differing)})
		}
	}
	if len(differing) > 0 && p.transfer == nil {
		p.transfer = &transfer{buckets: differing, limit: repairBytes, shared: digest.Shared}
	}
}

// difference lists the buckets that differ, from a random one on, so that
// repeated comparisons under a limit reach all of them. A digest without
// buckets says that there is no difference.
func (t *Table) difference(digest *bulrushchute.Digest) []uint8 {
	buckets := digest.Buckets
	if len(buckets) == 0 {
		return nil
	}
	start := 0
	if t.config.Random != nil {
		start = t.config.Random.IntN(BucketCount)
	}
	own := t.hashes(digest.Shared)
	var differing []uint8
	for i := range buckets {
		b := (start + i) % BucketCount
		if own[b] != buckets[b] {
			differing = append(differing, uint8(b))
		}
	}
	return differing
}

func (t *Table) answerDigest(p *peer, digest *bulrushchute.Digest, differing []uint8) {
	if len(differing) == 0 {
		p.digests = append(p.digests[:0], bulrushchute.Digest{})
		return
	}
	if p.transfer != nil && p.transfer.at > 0 {
		return // the peer repeats itself; the transfer under way answers it
	}
	filled := filledBuckets(digest)
	if p.guest && filled <= turnAwayFilled && t.copyTooDear() {
		t.turnAway(p, digest.Shared)
		return
	}
	tr := &transfer{buckets: differing, limit: repairBytes, shared: digest.Shared, digest: true}
	if p.guest {
		tr.limit = -1
	}
	for _, b := range differing {
		tr.whole[b] = digest.Buckets[b] == 0 || (p.guest && filled <= copyFilled)
	}
	p.transfer = tr
}

// filledBuckets counts the buckets in which the sender of a digest has records.
func filledBuckets(digest *bulrushchute.Digest) int {
	filled := 0
	for _, hash := range digest.Buckets {
		if hash != 0 {
			filled++
		}
	}
	return filled
}

// copyTooDear reports whether the bulk allowance does not cover another copy
// while there are other nodes to copy from.
func (t *Table) copyTooDear() bool {
	if len(t.topics[bulrushchute.TopicMember]) < 2*sampleRecords {
		return false
	}
	committed := t.heldBytes
	for _, p := range t.order {
		if p.guest && p.transfer != nil {
			committed += t.heldBytes
		}
	}
	return t.budget.bulk < float64(committed)
}

// turnAway sends a few member records in place of a copy, so that the joining
// node can copy from one of these members. Without this, the few seeds would
// serve all joins: 5,400 a day of 4.4 MB are 275 KB/s. The digest differs in
// most buckets, which tells the joining node that this was not the copy.
func (t *Table) turnAway(p *peer, shared bool) {
	members := t.topics[bulrushchute.TopicMember]
	start := 0
	if t.config.Random != nil {
		start = t.config.Random.IntN(len(members))
	}
	step := len(members)/sampleRecords + 1
	for i := range sampleRecords {
		p.deliver[classMember].push(members[(start+i*step)%len(members)])
	}
	p.digests = append(p.digests[:0], t.digest(shared))
}

// flushTransfers sends parts of the transfers under way, a bounded number of bytes a tick.
func (t *Table) flushTransfers(actions []Action) []Action {
	left := bulkTickBytes
	for i := range t.order {
		p := t.order[(i+t.rotation)%len(t.order)]
		for p.transfer != nil && left > 0 && t.bulkAllowed() {
			before := t.stats.BulkBytes + t.stats.SentBytes
			actions = t.transferStep(actions, p)
			left -= int(t.stats.BulkBytes + t.stats.SentBytes - before)
		}
	}
	return actions
}

func (t *Table) bulkAllowed() bool {
	return t.budget.bulk > 0 || t.budget.allows(classMember)
}

// transferStep sends the buckets that fill a message, or the end of a transfer.
func (t *Table) transferStep(actions []Action, p *peer) []Action {
	tr := p.transfer
	if tr.at >= len(tr.buckets) || tr.limit == 0 {
		return t.endTransfer(actions, p)
	}
	before := t.stats.BulkBytes + t.stats.SentBytes
	for sent := len(actions); tr.at < len(tr.buckets) && len(actions) == sent; tr.at++ {
		actions = t.sendBucket(actions, p, tr.buckets[tr.at])
	}
	if tr.limit > 0 {
		tr.limit = max(0, tr.limit-int(t.stats.BulkBytes+t.stats.SentBytes-before))
	}
	return actions
}

func (t *Table) endTransfer(actions []Action, p *peer) []Action {
	tr := p.transfer
	actions = t.sendCollectedRecords(actions, p)
	actions = t.sendCollectedVersions(actions, p)
	p.transfer = nil
	if !tr.digest {
		return actions
	}
	digest := t.digest(tr.shared)
	return t.sendBulk(actions, p, bulrushchute.Control{Digest: &digest})
}

// sendBucket collects the content of a bucket and sends what fills a message. A
// message for each bucket would overflow the queue in which the transport keeps
// what it has not yet sent to the peer.
func (t *Table) sendBucket(actions []Action, p *peer, bucket uint8) []Action {
	tr := p.transfer
	for _, e := range t.buckets[bucket] {
		switch {
		case !inDigest(e, tr.shared):
		case tr.whole[bucket]:
			tr.records = append(tr.records, e.record)
			tr.recordBytes += sizeRecord(&e.record)
			if tr.recordBytes >= bulkBatchBytes {
				actions = t.sendCollectedRecords(actions, p)
			}
		default:
			tr.versions = append(tr.versions, bulrushchute.VersionedKey{Key: e.record.Key, Version: e.record.Version})
			if len(tr.versions) == maxListed/16 {
				actions = t.sendCollectedVersions(actions, p)
			}
		}
	}
	return actions
}

func (t *Table) sendCollectedRecords(actions []Action, p *peer) []Action {
	records := p.transfer.records
	if len(records) == 0 {
		return actions
	}
	p.transfer.records, p.transfer.recordBytes = nil, 0
	return t.sendBulk(actions, p, bulrushchute.Control{Records: &bulrushchute.Records{Records: records}})
}

func (t *Table) sendCollectedVersions(actions []Action, p *peer) []Action {
	versions := p.transfer.versions
	if len(versions) == 0 {
		return actions
	}
	p.transfer.versions = nil
	return t.sendBulk(actions, p, bulrushchute.Control{Have: &bulrushchute.Have{Versions: versions}})
}

// inDigest tells whether a record belongs to a digest. Beats change each second,
// so digests with them would never agree.
func inDigest(e *entry, shared bool) bool {
	switch e.record.Key.Topic {
	case bulrushchute.TopicBeat:
		return false
	case bulrushchute.TopicDataCentre:
		return !shared
	}
	return true
}
