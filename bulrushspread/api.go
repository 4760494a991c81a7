package bulrushspread

import (
	"math/rand/v2"

	"bulrushchute.example/bulrushchute"
)

// TickInterval is the interval at which Table.Tick must be called.
// Announcements are batched over this interval.
const TickInterval = 50 * bulrushchute.Millisecond

// Action is a message that the user of a Table must send.
type Action struct {
	To      bulrushchute.Address
	Message bulrushchute.Control
}

// Neighbour is an overlay neighbour, to which changes are announced.
type Neighbour struct {
	ID      bulrushchute.InstanceID
	Address bulrushchute.Address
	// Bridge is set for a node of another data centre. Reachability records
	// (TopicDataCentre) are valid in one data centre only and are not sent across
	// a bridge.
	Bridge bool
}

// Config configures a Table. The callbacks run inside Publish, Receive and Tick
// and must not call these methods.
type Config struct {
	Self       bulrushchute.InstanceID
	DataCentre bulrushchute.DataCentre
	// Random selects, among other things, the neighbour for the next digest
	// comparison. Without it, these choices are fixed.
	Random *rand.Rand
	// Accept, if set, returns false to reject a received record.
	Accept func(now bulrushchute.Millis, record bulrushchute.Record) bool
	// Obsolete, if set, reports whether a version of a record is no longer needed, so
	// that it is not requested. Other nodes may have forgotten it.
	Obsolete func(version bulrushchute.VersionedKey) bool
	// OnChange, if set, is called with each new version of a record, whether
	// published or received.
	OnChange func(now bulrushchute.Millis, record bulrushchute.Record)
	// OnCompare, if set, is called with the result of each comparison that
	// Compare started.
	OnCompare func(now bulrushchute.Millis, comparison Comparison)
}

// Comparison is the result of comparing digests with another node.
type Comparison struct {
	Peer bulrushchute.Address
	// DifferingBuckets is the number of buckets, out of BucketCount, whose
	// hashes differ.
	DifferingBuckets int
}

// Requested describes the request for a version of a record. It is zero for a version
// that was not requested.
type Requested struct {
	// For is the time from the first request for a version that had not arrived.
	For bulrushchute.Millis
	// Count is the number of requests in that time.
	Count int
}

// Stats holds the number of records in a Table and counts what it has sent and
// rejected since it was created.
type Stats struct {
	Records int `json:"records"`
	// SentMessages counts ordinary and bulk messages.
	SentMessages uint64 `json:"sent_messages"`
	// SentBytes, BulkBytes and ChargedBytes do not overlap: they count the bytes
	// of ordinary messages, of bulk messages, and those passed to Charge.
	SentBytes    uint64 `json:"sent_bytes"`
	BulkBytes    uint64 `json:"bulk_bytes"`
	ChargedBytes uint64 `json:"charged_bytes"`
	// RefusedInput counts rejected messages, and rejected keys and records in
	// accepted messages.
	RefusedInput uint64 `json:"refused_input"`
	RetriedWants uint64 `json:"retried_wants"`
	// DroppedQueued counts announcements dropped because of maxWants and requests
	// dropped because of maxQueued.
	DroppedQueued uint64 `json:"dropped_queued"`
}
