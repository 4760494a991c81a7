package bulrushspread

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"bulrushchute.example/bulrushchute"
)

// BucketCount is the number of hashes in a digest.
const BucketCount = 256

// beatWindow thins the beats of other data centres. With 26 data centres, one
// beat a second from each would cost a node about half of its 8 KB/s, so only the
// first beat in each window leaves its data centre.
const beatWindow = 5 * bulrushchute.Second

// entry is one record with its place in the indexes.
type entry struct {
	record bulrushchute.Record
	hash   uint64
	bucket uint8
	// inBucket and inTopic are positions in the slices of the indexes.
	inBucket int
	inTopic  int
	// window is the last beat window in which the record left its data centre.
	window    uint64
	forgotten bool
}

// Table is one node's copy of all records. It is not safe for concurrent use.
type Table struct {
	config  Config
	entries map[bulrushchute.RecordKey]*entry
	topics  [topicCount][]*entry
	buckets [BucketCount][]*entry
	// shared covers records that every node holds, all covers in addition
	// those that are valid in this data centre only.
	shared, all [BucketCount]uint64
	// heldBytes is the size of all records, which a copy costs.
	heldBytes int

	peers     map[bulrushchute.Address]*peer
	order     []*peer
	rotation  int
	wants     map[bulrushchute.RecordKey]*want
	wantOrder []*want
	comparing map[bulrushchute.Address]bool

	budget      budget
	nextCompare bulrushchute.Millis
	nextRetry   bulrushchute.Millis
	recent      recentChanges
	stats       Stats
}

// New returns an empty table.
func New(now bulrushchute.Millis, config Config) *Table {
	t := &Table{
		config:    config,
		entries:   map[bulrushchute.RecordKey]*entry{},
		peers:     map[bulrushchute.Address]*peer{},
		wants:     map[bulrushchute.RecordKey]*want{},
		comparing: map[bulrushchute.Address]bool{},
		budget:    newBudget(now),
	}
	t.scheduleCompare(now)
	return t
}

// Publish stores a record of this node's own making and announces it. It
// returns false if the table holds the same or a newer version, or if the
// record is not valid.
func (t *Table) Publish(now bulrushchute.Millis, record bulrushchute.Record) bool {
	if !validRecord(now, &record) {
		return false
	}
	return t.store(now, record, nil)
}

// Get returns a record. A withdrawn record is returned with Deleted set.
func (t *Table) Get(key bulrushchute.RecordKey) (bulrushchute.Record, bool) {
	e, ok := t.entries[key]
	if !ok {
		return bulrushchute.Record{}, false
	}
	return e.record, true
}

// Range calls visit for each record of a topic, withdrawn ones included, until
// visit returns false. The order is the same for the same history of calls.
// The table must not be changed meanwhile.
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

// Forget removes a record from this node alone. It is for records that expire
// on every node; Accept has to refuse their return.
func (t *Table) Forget(key bulrushchute.RecordKey) {
	e, ok := t.entries[key]
	if !ok {
		return
	}
	t.mark(e, e.hash)
	t.heldBytes -= sizeRecord(&e.record)
	delete(t.entries, key)
	e.forgotten = true
	removeAt(&t.buckets[e.bucket], e.inBucket, func(moved *entry, at int) { moved.inBucket = at })
	removeAt(&t.topics[key.Topic], e.inTopic, func(moved *entry, at int) { moved.inTopic = at })
}

// Stats returns the counters.
func (t *Table) Stats() Stats {
	stats := t.stats
	stats.Records = len(t.entries)
	return stats
}

// store keeps a record if it is newer than what the table holds, and queues
// it for all neighbours but the one that it came from.
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
		t.heldBytes -= sizeRecord(&e.record)
	}
	t.heldBytes += sizeRecord(&record)
	e.record = record
	hash := hashRecord(&record)
	t.mark(e, e.hash^hash)
	e.hash = hash
	t.recent.add(now)
	t.settleWant(record)
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

// mark applies a change of an entry's hash to the digests.
func (t *Table) mark(e *entry, change uint64) {
	if inDigest(e, false) {
		t.all[e.bucket] ^= change
	}
	if inDigest(e, true) {
		t.shared[e.bucket] ^= change
	}
}

// announce queues a new version for the neighbours that have to learn of it.
func (t *Table) announce(e *entry, source *peer) {
	leaves, stays := t.audience(e)
	for _, p := range t.order {
		if p == source || p.guest {
			continue
		}
		if (p.neighbour.Bridge && leaves) || (!p.neighbour.Bridge && stays) {
			p.announce[classOf(e)].push(e)
		}
	}
}

// audience tells whether a new version goes to neighbours in other data
// centres and to those in this one.
func (t *Table) audience(e *entry) (leaves, stays bool) {
	switch e.record.Key.Topic {
	case bulrushchute.TopicDataCentre:
		return false, true
	case bulrushchute.TopicBeat:
		window := e.record.Version.Counter / uint64(beatWindow)
		first := window > e.window
		e.window = window
		return first, first || e.record.Key.Name == string(t.config.DataCentre)
	}
	return true, true
}

func bucketOf(key bulrushchute.RecordKey) uint8 {
	return uint8(xxhash.Sum64String(key.Name)>>56) + uint8(key.Topic)
}

// hashRecord covers the version and not the value. Two writers of one version
// would otherwise make digests differ for good, because the first value stays.
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

// removeAt removes one element by moving the last into its place.
func removeAt(entries *[]*entry, at int, moved func(*entry, int)) {
	last := len(*entries) - 1
	(*entries)[at] = (*entries)[last]
	moved((*entries)[at], at)
	(*entries)[last] = nil
	*entries = (*entries)[:last]
}
