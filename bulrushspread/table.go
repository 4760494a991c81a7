package bulrushspread

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"bulrushchute.example/bulrushchute"
)

// BucketCount is the number of buckets in a digest, which has one hash for
// each.
const BucketCount = 256

// remoteBeatInterval limits the rate of beats between data centres. With 26
// data centres, one beat a second from each would cost a node about half of its
// 8 KB/s, so only the first beat in each interval leaves its data centre.
const remoteBeatInterval = 5 * bulrushchute.Second

// entry is one record with its positions in the indexes.
type entry struct {
	record bulrushchute.Record
	hash   uint64
	bucket uint8
	// inBucket and inTopic are positions in the bucket's and the topic's slice.
	inBucket int
	inTopic  int
	// lastRemoteInterval is set for beats. It is the number of the
	// remoteBeatInterval, counted from the Unix epoch, in which the beat was last
	// announced across data centres.
	lastRemoteInterval uint64
	// forgotten is set by Forget. Queues skip the entry from then on.
	forgotten bool
	// requested describes the request for the version that is held.
	requested Requested
}

// Table is one node's replica of all records. It is not safe for concurrent
// use.
type Table struct {
	config  Config
	entries map[bulrushchute.RecordKey]*entry
	topics  [topicCount][]*entry
	buckets [BucketCount][]*entry
	// sharedHashes covers the records that every node holds, allHashes also
	// those that are valid in this data centre only.
	sharedHashes, allHashes [BucketCount]uint64
	// totalBytes is the encoded size of all records, and so of a full copy.
	totalBytes int

	peers              map[bulrushchute.Address]*peer
	peerOrder          []*peer
	rotation           int
	pendingWants       map[bulrushchute.RecordKey]*want
	wantOrder          []*want
	pendingComparisons map[bulrushchute.Address]bool

	budget         budget
	nextComparison bulrushchute.Millis
	nextRetry      bulrushchute.Millis
	recent         recentChanges
	stats          Stats
}

// New returns an empty table.
func New(now bulrushchute.Millis, config Config) *Table {
	t := &Table{
		config:             config,
		entries:            map[bulrushchute.RecordKey]*entry{},
		peers:              map[bulrushchute.Address]*peer{},
		pendingWants:       map[bulrushchute.RecordKey]*want{},
		pendingComparisons: map[bulrushchute.Address]bool{},
		budget:             newBudget(now),
	}
	t.scheduleComparison(now)
	return t
}

// Publish stores a record created by this node and announces it. It returns
// false if the table holds the same or a newer version, or if the record is
// invalid.
func (t *Table) Publish(now bulrushchute.Millis, record bulrushchute.Record) bool {
	if !validRecord(now, &record) {
		return false
	}
	return t.store(now, record, nil)
}

// Get returns a record. A deleted record is returned with Deleted set.
func (t *Table) Get(key bulrushchute.RecordKey) (bulrushchute.Record, bool) {
	e, ok := t.entries[key]
	if !ok {
		return bulrushchute.Record{}, false
	}
	return e.record, true
}

// Requested returns how long this node had requested the version of a record that it
// holds, and how often.
func (t *Table) Requested(key bulrushchute.RecordKey) Requested {
	if e, ok := t.entries[key]; ok {
		return e.requested
	}
	return Requested{}
}

// Range calls visit for each record of a topic, deleted ones included, until
// visit returns false. The order depends only on the history of calls. The
// table must not be changed during the iteration.
func (t *Table) Range(topic bulrushchute.Topic, visit func(bulrushchute.Record) bool) {
	if !validTopic(topic) {
		return
	}
	for _, e := range t.topics[topic] {
		if !visit(e.record) {
			return
		}
	}
}

// Summary identifies the versions of the records of some topics.
type Summary struct {
	// Hash covers the keys and versions of all records that are not deleted.
	Hash uint64
	// NewestCounter is the greatest counter of a version, deleted records included.
	NewestCounter uint64
}

// Summarize returns the summary of topics. Tables that hold the same versions
// return the same one.
func (t *Table) Summarize(topics ...bulrushchute.Topic) Summary {
	var summary Summary
	for _, topic := range topics {
		for _, e := range t.topics[topic] {
			summary.NewestCounter = max(summary.NewestCounter, e.record.Version.Counter)
			if !e.record.Deleted {
				summary.Hash ^= e.hash
			}
		}
	}
	return summary
}

// Forget removes a record from this node only. It is for records that expire on
// every node; Accept must reject them afterwards.
func (t *Table) Forget(key bulrushchute.RecordKey) {
	e, ok := t.entries[key]
	if !ok {
		return
	}
	t.updateHashes(e, e.hash)
	t.totalBytes -= sizeRecord(&e.record)
	delete(t.entries, key)
	e.forgotten = true
	removeAt(&t.buckets[e.bucket], e.inBucket, func(moved *entry, position int) { moved.inBucket = position })
	removeAt(&t.topics[key.Topic], e.inTopic, func(moved *entry, position int) { moved.inTopic = position })
}

// Stats returns the current counters.
func (t *Table) Stats() Stats {
	stats := t.stats
	stats.Records = len(t.entries)
	return stats
}

// store stores a record if it is newer than the version in the table, and
// queues it for all neighbours except the one that sent it.
func (t *Table) store(now bulrushchute.Millis, record bulrushchute.Record, source *peer) bool {
	e, ok := t.entries[record.Key]
	if ok && !e.record.Version.Less(record.Version) {
		return false
	}
	if !ok {
		if len(t.entries) >= maxRecords {
			t.stats.RefusedInput++
			return false
		}
		e = t.insert(record.Key)
	} else {
		t.totalBytes -= sizeRecord(&e.record)
	}
	t.totalBytes += sizeRecord(&record)
	e.record = record
	hash := hashRecord(&record)
	t.updateHashes(e, e.hash^hash)
	e.hash = hash
	t.recent.add(now)
	e.requested = t.requestedFor(now, record)
	t.resolveWant(record)
	t.announce(e, source)
	if t.config.OnChange != nil {
		t.config.OnChange(now, record)
	}
	return true
}

func (t *Table) insert(key bulrushchute.RecordKey) *entry {
	e := &entry{bucket: bucketOf(key)}
	e.inBucket = len(t.buckets[e.bucket])
	e.inTopic = len(t.topics[key.Topic])
	t.buckets[e.bucket] = append(t.buckets[e.bucket], e)
	t.topics[key.Topic] = append(t.topics[key.Topic], e)
	t.entries[key] = e
	return e
}

// updateHashes applies a change of an entry's hash, combined by XOR, to the
// bucket hashes.
func (t *Table) updateHashes(e *entry, delta uint64) {
	if inDigest(e, false) {
		t.allHashes[e.bucket] ^= delta
	}
	if inDigest(e, true) {
		t.sharedHashes[e.bucket] ^= delta
	}
}

// announce queues a new version for the neighbours in its propagation scope.
func (t *Table) announce(e *entry, source *peer) {
	remote, local := t.propagationScope(e)
	for _, p := range t.peerOrder {
		if p == source || p.transient {
			continue
		}
		if (p.neighbour.Bridge && remote) || (!p.neighbour.Bridge && local) {
			p.announcements[priorityOf(e)].push(e)
		}
	}
}

// propagationScope reports whether a new version goes to neighbours in other
// data centres and to those in this one. It updates lastRemoteInterval for a
// beat.
func (t *Table) propagationScope(e *entry) (remote, local bool) {
	switch e.record.Key.Topic {
	case bulrushchute.TopicDataCentre:
		return false, true
	case bulrushchute.TopicBeat:
		interval := e.record.Version.Counter / uint64(remoteBeatInterval)
		first := interval > e.lastRemoteInterval
		e.lastRemoteInterval = interval
		return first, first || e.record.Key.Name == string(t.config.DataCentre)
	}
	return true, true
}

func bucketOf(key bulrushchute.RecordKey) uint8 {
	return uint8(xxhash.Sum64String(key.Name)>>56) + uint8(key.Topic)
}

// hashRecord covers the version and not the value. If two nodes wrote different
// values under one version, digests would otherwise differ permanently, because
// each node keeps the first value that it received.
func hashRecord(record *bulrushchute.Record) uint64 {
	var head [17]byte
	head[0] = byte(record.Key.Topic)
	binary.LittleEndian.PutUint64(head[1:], record.Version.Epoch)
	binary.LittleEndian.PutUint64(head[9:], record.Version.Counter)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(head[:])
	_, _ = d.WriteString(record.Key.Name)
	return d.Sum64()
}

// removeAt removes one element by moving the last one to its position.
func removeAt(entries *[]*entry, position int, setPosition func(*entry, int)) {
	last := len(*entries) - 1
	(*entries)[position] = (*entries)[last]
	setPosition((*entries)[position], position)
	(*entries)[last] = nil
	*entries = (*entries)[:last]
}
