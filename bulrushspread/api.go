package bulrushspread

import (
	"math/rand/v2"

	"bulrushchute.example/bulrushchute"
)

// TickInterval is how often Tick is to be called. Announcements are batched for this time.
const TickInterval = 50 * bulrushchute.Millisecond

// Action asks the caller to send a message.
type Action struct {
	To      bulrushchute.Address
	Message bulrushchute.Control
}

// Neighbour is a node to which changes are announced.
type Neighbour struct {
	ID      bulrushchute.InstanceID
	Address bulrushchute.Address
	// Bridge marks a node of another data centre. Reachability records are
	// not sent across a bridge because they are valid in one data centre only.
	Bridge bool
}

// Config is what a Table needs to know when it is made. The callbacks run
// inside Publish, Receive and Tick and must not call these methods.
type Config struct {
	Self       bulrushchute.InstanceID
	DataCentre bulrushchute.DataCentre
	// Random chooses the neighbour to compare digests with.
	Random *rand.Rand
	// Accept, if set, may refuse a received record.
	Accept func(now bulrushchute.Millis, record bulrushchute.Record) bool
	// OnChange, if set, sees each record whose version grew, published or received.
	OnChange func(now bulrushchute.Millis, record bulrushchute.Record)
	// OnCompare, if set, sees the end of each comparison that Compare started.
	OnCompare func(now bulrushchute.Millis, comparison Comparison)
}

// Comparison is the result of comparing digests with another node.
type Comparison struct {
	With bulrushchute.Address
	// Differing is the number of buckets that differ, out of BucketCount.
	Differing int
}

// Stats counts what a Table sent and refused since it was made.
type Stats struct {
	Records       int    `json:"records"`
	SentMessages  uint64 `json:"sent_messages"`
	SentBytes     uint64 `json:"sent_bytes"`
	BulkBytes     uint64 `json:"bulk_bytes"`
	ChargedBytes  uint64 `json:"charged_bytes"`
	RefusedInput  uint64 `json:"refused_input"`
	RetriedWants  uint64 `json:"retried_wants"`
	DroppedQueued uint64 `json:"dropped_queued"`
}
