package bulrushspread

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// comparisonInterval is the mean time between two comparisons with
	// neighbours.
	comparisonInterval = 10 * bulrushchute.Second
	comparisonJitter   = 2 * bulrushchute.Second
	// maxRecentChanges is the number of recent changes above which no periodic
	// comparison starts. Most differences are then changes in flight, which a
	// comparison would only send again.
	maxRecentChanges = 64
	// maxRepairBytes limits the bytes that a node sends after one comparison
	// with a neighbour.
	maxRepairBytes = 64 << 10
	// redirectRecords is the number of member records sent to a joining node
	// that is redirected.
	redirectRecords = 16
	// redirectMaxFilled is the largest number of non-empty buckets with which a
	// joining node is redirected. It limits the number of redirects, usually to
	// two or three, because each one fills up to redirectRecords more buckets.
	redirectMaxFilled = 2 * redirectRecords
	// fullCopyMaxFilled is the largest number of non-empty buckets with which a
	// joining node gets all buckets as full records. Requesting the missing
	// records one by one takes half a minute at the ordinary rate.
	fullCopyMaxFilled = 4 * redirectRecords
)

// transfer is the state of sending a peer the content of the buckets that differ
// from its own. Buckets marked in fullRecords, such as those that are empty at
// the peer, are sent as records, the others as versions.
type transfer struct {
	buckets     []uint8
	fullRecords [BucketCount]bool
	// shared excludes records that are valid in one data centre only.
	shared bool
	// next is the index of the next bucket to send in buckets.
	next int
	// remainingBytes is the number of bytes that may still be sent, negative
	// for no limit.
	remainingBytes int
	// sendDigest is set if the transfer ends with this node's digest, as the
	// reply to the peer's.
	sendDigest bool
	// records and versions are buffered for the next messages.
	records     []bulrushchute.Record
	recordBytes int
	versions    []bulrushchute.VersionedKey
}

// Compare sends a digest to the node at an address, which replies with what
// this table lacks. OnCompare reports the result.
func (t *Table) Compare(now bulrushchute.Millis, address bulrushchute.Address) []Action {
	p := t.getOrAddPeer(now, address)
	if p == nil {
		return nil
	}
	t.pendingComparisons[address] = true
	digest := t.digestRequest(p)
	return t.send(nil, p, bulrushchute.Control{Digest: &digest})
}

// digestRequest returns a digest that asks a peer for its versions in the
// buckets that differ.
func (t *Table) digestRequest(p *peer) bulrushchute.Digest {
	digest := t.currentDigest(p.sharedOnly())
	digest.Reply = true
	return digest
}

// sharedOnly reports whether a peer is, or may be, in another data centre, so
// that comparisons are limited to the records shared by all data centres.
func (p *peer) sharedOnly() bool {
	return p.transient || p.neighbour.Bridge
}

func (t *Table) currentDigest(shared bool) bulrushchute.Digest {
	buckets := append([]uint64(nil), t.bucketHashes(shared)[:]...)
	return bulrushchute.Digest{Buckets: buckets, Shared: shared}
}

func (t *Table) bucketHashes(shared bool) *[BucketCount]uint64 {
	if shared {
		return &t.sharedHashes
	}
	return &t.allHashes
}

func (t *Table) scheduleComparison(now bulrushchute.Millis) {
	t.nextComparison = now + comparisonInterval - comparisonJitter/2
	if t.config.Random != nil {
		t.nextComparison += bulrushchute.Millis(t.config.Random.Int64N(int64(comparisonJitter)))
	}
}

// startPeriodicComparison queues a digest for a random neighbour if a
// comparison is due.
func (t *Table) startPeriodicComparison(now bulrushchute.Millis) {
	if now < t.nextComparison {
		return
	}
	t.scheduleComparison(now)
	if t.recent.count(now) > maxRecentChanges {
		return
	}
	if p := t.randomNeighbour(); p != nil {
		p.digests = append(p.digests[:0], t.digestRequest(p))
	}
}

func (t *Table) randomNeighbour() *peer {
	var neighbours []*peer
	for _, p := range t.peerOrder {
		if !p.transient {
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

func (t *Table) handleDigest(now bulrushchute.Millis, p *peer, digest *bulrushchute.Digest) {
	differing := t.differingBuckets(digest)
	if digest.Reply {
		t.replyToDigest(p, digest, differing)
		return
	}
	if t.pendingComparisons[p.neighbour.Address] {
		delete(t.pendingComparisons, p.neighbour.Address)
		if t.config.OnCompare != nil {
			t.config.OnCompare(now, Comparison{Peer: p.neighbour.Address, DifferingBuckets: len(differing)})
		}
	}
	if len(differing) > 0 && p.transfer == nil {
		p.transfer = &transfer{buckets: differing, remainingBytes: maxRepairBytes, shared: digest.Shared}
	}
}

// differingBuckets lists the buckets that differ. It starts at a random bucket,
// so that repeated comparisons under a byte limit reach all of them. A digest
// without buckets means that the sender found no difference.
func (t *Table) differingBuckets(digest *bulrushchute.Digest) []uint8 {
	buckets := digest.Buckets
	if len(buckets) == 0 {
		return nil
	}
	start := 0
	if t.config.Random != nil {
		start = t.config.Random.IntN(BucketCount)
	}
	own := t.bucketHashes(digest.Shared)
	var differing []uint8
	for i := range buckets {
		b := (start + i) % BucketCount
		if own[b] != buckets[b] {
			differing = append(differing, uint8(b))
		}
	}
	return differing
}

func (t *Table) replyToDigest(p *peer, digest *bulrushchute.Digest, differing []uint8) {
	if len(differing) == 0 {
		p.digests = append(p.digests[:0], bulrushchute.Digest{})
		return
	}
	if p.transfer != nil && p.transfer.next > 0 {
		return // a repeated request, answered by the transfer in progress
	}
	filled := filledBuckets(digest)
	if p.transient && filled <= redirectMaxFilled && t.shouldRedirect() {
		t.redirect(p, digest.Shared)
		return
	}
	tr := &transfer{buckets: differing, remainingBytes: maxRepairBytes, shared: digest.Shared, sendDigest: true}
	if p.transient {
		tr.remainingBytes = -1
	}
	for _, b := range differing {
		tr.fullRecords[b] = digest.Buckets[b] == 0 || (p.transient && filled <= fullCopyMaxFilled)
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

// shouldRedirect reports whether the bulk tokens do not cover another copy
// while there are other nodes to copy from.
func (t *Table) shouldRedirect() bool {
	if len(t.topics[bulrushchute.TopicMember]) < 2*redirectRecords {
		return false
	}
	reservedBytes := t.totalBytes
	for _, p := range t.peerOrder {
		if p.transient && p.transfer != nil {
			reservedBytes += t.totalBytes
		}
	}
	return t.budget.bulkTokens < float64(reservedBytes)
}

// redirect sends a few member records instead of a copy, so that the joining
// node can copy from one of these members. Otherwise the few seeds would serve
// all joins: 5,400 copies a day of 4.4 MB each are 275 KB/s. The digest sent with
// the records differs in most buckets, which tells the joining node that this
// was not a copy.
func (t *Table) redirect(p *peer, shared bool) {
	members := t.topics[bulrushchute.TopicMember]
	start := 0
	if t.config.Random != nil {
		start = t.config.Random.IntN(len(members))
	}
	step := len(members)/redirectRecords + 1
	for i := range redirectRecords {
		p.deliveries[priorityMember].push(members[(start+i*step)%len(members)])
	}
	p.digests = append(p.digests[:0], t.currentDigest(shared))
}

// flushTransfers continues the transfers in progress, up to bulkBytesPerTick.
func (t *Table) flushTransfers(actions []Action) []Action {
	remaining := bulkBytesPerTick
	for i := range t.peerOrder {
		p := t.peerOrder[(i+t.rotation)%len(t.peerOrder)]
		for p.transfer != nil && remaining > 0 && t.bulkAllowed() {
			before := t.stats.BulkBytes + t.stats.SentBytes
			actions = t.continueTransfer(actions, p)
			remaining -= int(t.stats.BulkBytes + t.stats.SentBytes - before)
		}
	}
	return actions
}

func (t *Table) bulkAllowed() bool {
	return t.budget.bulkTokens > 0 || t.budget.allows(priorityMember)
}

// continueTransfer sends buckets until a message is full, or finishes the
// transfer.
func (t *Table) continueTransfer(actions []Action, p *peer) []Action {
	tr := p.transfer
	if tr.next >= len(tr.buckets) || tr.remainingBytes == 0 {
		return t.finishTransfer(actions, p)
	}
	before := t.stats.BulkBytes + t.stats.SentBytes
	for sent := len(actions); tr.next < len(tr.buckets) && len(actions) == sent; tr.next++ {
		actions = t.sendBucket(actions, p, tr.buckets[tr.next])
	}
	if tr.remainingBytes > 0 {
		tr.remainingBytes = max(0, tr.remainingBytes-int(t.stats.BulkBytes+t.stats.SentBytes-before))
	}
	return actions
}

func (t *Table) finishTransfer(actions []Action, p *peer) []Action {
	tr := p.transfer
	actions = t.sendBufferedRecords(actions, p)
	actions = t.sendBufferedVersions(actions, p)
	p.transfer = nil
	if !tr.sendDigest {
		return actions
	}
	digest := t.currentDigest(tr.shared)
	return t.sendBulk(actions, p, bulrushchute.Control{Digest: &digest})
}

// sendBucket buffers the content of a bucket and sends each message that is
// full. One message for each bucket would overflow the transport's send queue
// for the peer.
func (t *Table) sendBucket(actions []Action, p *peer, bucket uint8) []Action {
	tr := p.transfer
	for _, e := range t.buckets[bucket] {
		switch {
		case !inDigest(e, tr.shared):
		case tr.fullRecords[bucket]:
			tr.records = append(tr.records, e.record)
			tr.recordBytes += sizeRecord(&e.record)
			if tr.recordBytes >= bulkBatchBytes {
				actions = t.sendBufferedRecords(actions, p)
			}
		default:
			tr.versions = append(tr.versions, bulrushchute.VersionedKey{Key: e.record.Key, Version: e.record.Version})
			if len(tr.versions) == maxListLength/16 {
				actions = t.sendBufferedVersions(actions, p)
			}
		}
	}
	return actions
}

func (t *Table) sendBufferedRecords(actions []Action, p *peer) []Action {
	records := p.transfer.records
	if len(records) == 0 {
		return actions
	}
	p.transfer.records, p.transfer.recordBytes = nil, 0
	return t.sendBulk(actions, p, bulrushchute.Control{Records: &bulrushchute.Records{Records: records}})
}

func (t *Table) sendBufferedVersions(actions []Action, p *peer) []Action {
	versions := p.transfer.versions
	if len(versions) == 0 {
		return actions
	}
	p.transfer.versions = nil
	return t.sendBulk(actions, p, bulrushchute.Control{Have: &bulrushchute.Have{Versions: versions}})
}

// inDigest reports whether a digest covers a record. Beats and confirmations change
// every second, so digests that covered them would never match.
func inDigest(e *entry, shared bool) bool {
	switch e.record.Key.Topic {
	case bulrushchute.TopicBeat, bulrushchute.TopicConfirmation:
		return false
	case bulrushchute.TopicDataCentre:
		return !shared
	}
	return true
}
