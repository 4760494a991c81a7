package bulrushchute

import (
	"context"
)

// AttemptID matches a reply to its attempt. It is random and never reused.
type AttemptID [16]byte

// HeaderField is one HTTP header line.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Attempt is one sending of a request, by an entry node to the admission node of
// the chosen backend server.
type Attempt struct {
	ID      AttemptID  `cbor:"1,keyasint"`
	Target  InstanceID `cbor:"2,keyasint"`
	Service Service    `cbor:"3,keyasint"`
	// Route is the name of the matching route, or bulrushcatalogue.DefaultRouteName.
	Route  string        `cbor:"4,keyasint,omitempty"`
	Method string        `cbor:"5,keyasint"`
	Path   string        `cbor:"6,keyasint"`
	Header []HeaderField `cbor:"7,keyasint,omitempty"`
	Body   []byte        `cbor:"8,keyasint,omitempty"`
	Tenant Tenant        `cbor:"9,keyasint,omitempty"`
	Class  Class         `cbor:"10,keyasint"`
	// Remaining is the time left until the deadline when the attempt was sent.
	// The receiver subtracts the delay on the way. Deadline is the same instant on
	// the sender's clock. The receiver uses the earlier of the two, with an allowance
	// for clock skew on the second.
	Remaining Millis `cbor:"11,keyasint"`
	Deadline  Millis `cbor:"12,keyasint"`
	// Depth is the number of calls in which the request is nested, plus one.
	Depth int `cbor:"13,keyasint,omitempty"`
	// Retry is set when a layer above already retries the request, or when an
	// earlier attempt of it may have run.
	Retry      bool `cbor:"14,keyasint,omitempty"`
	Idempotent bool `cbor:"15,keyasint,omitempty"`
	// Key is the idempotency key. It is set only on an attempt that goes to the
	// key's home.
	Key string `cbor:"16,keyasint,omitempty"`
	// RequestID is the ID that the caller gave the request.
	RequestID string `cbor:"17,keyasint,omitempty"`
	// Host is the Host header of the request.
	Host string `cbor:"18,keyasint,omitempty"`
	// Caller is the service of the entry node's own backend server.
	Caller Service `cbor:"19,keyasint,omitempty"`
	// Objective is the time that was left of RequestInfo.Objective when the
	// attempt was sent: at least 1, or 0 if there is no objective.
	Objective Millis `cbor:"20,keyasint,omitempty"`
	// Insist tells the admission node to dispatch the attempt at the end of its
	// hold during a slowdown of the backend server if there is capacity, instead
	// of refusing it. It is set when no other backend server can take the request.
	Insist bool `cbor:"21,keyasint,omitempty"`
	// Trial is set when the sender knows that a backend server ended while it ran a
	// request of the same content, and has chosen the target to try it again.
	Trial bool `cbor:"22,keyasint,omitempty"`
	// BodyBytes is the size of a body that was sent before the attempt, which has no Body
	// then. It is 0 otherwise.
	BodyBytes int `cbor:"23,keyasint,omitempty"`
}

// WithDelay returns the attempt as it is after a delay on its way to the receiver: with
// less time left, perhaps none.
func (a Attempt) WithDelay(delay Millis) Attempt {
	a.Remaining -= delay
	if a.Objective > 0 {
		a.Objective = max(1, a.Objective-delay)
	}
	return a
}

// Reply is the result of an attempt. Exactly one of Answer, Refusal and Failure
// is set.
type Reply struct {
	ID      AttemptID `cbor:"1,keyasint"`
	Load    Load      `cbor:"2,keyasint"`
	Answer  *Answer   `cbor:"3,keyasint,omitempty"`
	Refusal *Refusal  `cbor:"4,keyasint,omitempty"`
	Failure *Failure  `cbor:"5,keyasint,omitempty"`
}

// Answer is the whole response of a backend server. Length and Checksum are those
// of the body and reveal a truncated one.
type Answer struct {
	Status   int           `cbor:"1,keyasint"`
	Header   []HeaderField `cbor:"2,keyasint,omitempty"`
	Body     []byte        `cbor:"3,keyasint,omitempty"`
	Length   int           `cbor:"4,keyasint"`
	Checksum uint64        `cbor:"5,keyasint"`
}

// Refusal states that the attempt was not run.
type Refusal struct {
	Reason     Reason `cbor:"1,keyasint"`
	RetryAfter Millis `cbor:"2,keyasint,omitempty"`
	// Reached is set when the attempt reached a backend server and was refused by
	// it, not by the admission node.
	Reached bool `cbor:"3,keyasint,omitempty"`
}

// Failure states that the outcome is unknown: the attempt was dispatched to the
// backend server, or an earlier request with the same key may have run.
type Failure struct {
	Reason Reason `cbor:"1,keyasint"`
}

// Topic is a category of the records that nodes spread among themselves.
type Topic uint8

// Topics of records.
const (
	TopicMember Topic = iota + 1
	TopicCatalogue
	// TopicDataCentre holds reports on whether other data centres are reachable.
	// Catalogue entries of data centres have TopicCatalogue.
	TopicDataCentre
	TopicMove
	TopicKeyMap
	TopicBeat
	// TopicConfirmation holds one record, the latest confirmation that the
	// catalogue is current.
	TopicConfirmation
	// TopicQuarantine holds what each node has observed of crashes of its backend
	// server.
	TopicQuarantine
	// TopicUsage holds one record, the node that sends the usage reports.
	TopicUsage
)

// RecordVersion orders the versions of one record. The version of a record only
// increases.
type RecordVersion struct {
	Epoch   uint64 `cbor:"1,keyasint"`
	Counter uint64 `cbor:"2,keyasint"`
}

// Less reports whether this version is older than the other.
func (v RecordVersion) Less(other RecordVersion) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch < other.Epoch
	}
	return v.Counter < other.Counter
}

// RecordKey identifies a record.
type RecordKey struct {
	Topic Topic  `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint"`
}

// Record is a versioned value that nodes spread among themselves.
type Record struct {
	Key     RecordKey     `cbor:"1,keyasint"`
	Version RecordVersion `cbor:"2,keyasint"`
	Value   []byte        `cbor:"3,keyasint,omitempty"`
	Deleted bool          `cbor:"4,keyasint,omitempty"`
}

// Control is a message between nodes that belongs to no request. Exactly one field
// besides From and Delay is set.
type Control struct {
	From         InstanceID    `cbor:"1,keyasint"`
	Heartbeat    *Heartbeat    `cbor:"2,keyasint,omitempty"`
	HeartbeatAck *HeartbeatAck `cbor:"3,keyasint,omitempty"`
	Have         *Have         `cbor:"4,keyasint,omitempty"`
	Want         *Want         `cbor:"5,keyasint,omitempty"`
	Records      *Records      `cbor:"6,keyasint,omitempty"`
	Digest       *Digest       `cbor:"7,keyasint,omitempty"`
	Evidence     *Evidence     `cbor:"8,keyasint,omitempty"`
	PromiseAsk   *PromiseAsk   `cbor:"9,keyasint,omitempty"`
	Promise      *Promise      `cbor:"10,keyasint,omitempty"`
	Confirmation *Confirmation `cbor:"11,keyasint,omitempty"`
	Usage        *Usage        `cbor:"12,keyasint,omitempty"`
	// Delay is by how much the message took longer than the fastest one of its
	// connection. The receiver sets it, on messages whose age matters.
	Delay Millis `cbor:"-"`
}

// Confirmation tells a node that has started which state of the catalogue a
// consistent read of the store has found.
type Confirmation struct {
	// Revision is the store's revision, and Hash covers the versions of the catalogue.
	Revision uint64 `cbor:"1,keyasint"`
	Hash     uint64 `cbor:"2,keyasint"`
	// Age is the time since the read.
	Age Millis `cbor:"3,keyasint"`
}

// WithDelay returns a copy that is older by the time that it took to arrive.
func (c Confirmation) WithDelay(delay Millis) Confirmation {
	c.Age += delay
	return c
}

// Heartbeat is sent to each overlay neighbour.
type Heartbeat struct {
	Sequence    uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// SentAt is on the sender's clock. The acknowledgement returns it.
	SentAt Millis `cbor:"3,keyasint"`
	// KeyLease asks the receiver, as a lease monitor, to extend the sender's
	// lease on its key partitions.
	KeyLease bool `cbor:"4,keyasint,omitempty"`
	// KeyEpoch is the sender's epoch as a home. A lease monitor that promised not
	// to extend the lease in this epoch extends it again only in a later one.
	KeyEpoch uint64 `cbor:"5,keyasint,omitempty"`
}

// HeartbeatAck answers a Heartbeat.
type HeartbeatAck struct {
	Sequence uint64 `cbor:"1,keyasint"`
	SentAt   Millis `cbor:"2,keyasint"`
	// KeyLease is true when the lease monitor extends the lease.
	KeyLease bool `cbor:"3,keyasint,omitempty"`
}

// VersionedKey identifies a version of a record.
type VersionedKey struct {
	Key     RecordKey     `cbor:"1,keyasint"`
	Version RecordVersion `cbor:"2,keyasint"`
}

// Have lists versions that the sender holds.
type Have struct {
	Versions []VersionedKey `cbor:"1,keyasint"`
}

// Want requests records.
type Want struct {
	Keys []RecordKey `cbor:"1,keyasint"`
}

// Records carries records.
type Records struct {
	Records []Record `cbor:"1,keyasint"`
	// ConfirmationAge is the time since the read of the store on which the record of
	// TopicConfirmation among the records is based.
	ConfirmationAge Millis `cbor:"2,keyasint,omitempty"`
}

// Digest summarises the records of the sender, which are divided into buckets.
type Digest struct {
	// Buckets holds the hash of each bucket. It is empty in the answer to a digest
	// that does not differ.
	Buckets []uint64 `cbor:"1,keyasint"`
	// Reply asks the receiver to send its versions in the buckets that differ.
	Reply bool `cbor:"2,keyasint,omitempty"`
	// Shared is set when the hashes exclude records that are valid in one data
	// centre only.
	Shared bool `cbor:"3,keyasint,omitempty"`
}

// Evidence is what one admission node observed of a version on one route since
// its last report.
type Evidence struct {
	Service    Service `cbor:"1,keyasint"`
	Generation uint64  `cbor:"2,keyasint"`
	Version    Version `cbor:"3,keyasint"`
	Route      string  `cbor:"4,keyasint"`
	Requests   int     `cbor:"5,keyasint"`
	Failures   int     `cbor:"6,keyasint"`
	// Latencies counts answers per bucket of the histogram in bulrushmove.
	Latencies []uint32 `cbor:"7,keyasint"`
	// Sequence lets the receiver drop a report that arrives twice.
	Sequence uint64 `cbor:"8,keyasint"`
	// WarmingLatencies is like Latencies, for answers of a backend server that had
	// just started.
	WarmingLatencies []uint32 `cbor:"9,keyasint,omitempty"`
	// RunningAges is like Latencies, for the time since the dispatch of the requests
	// that are still running. It is set for the new version only, and empty if none is.
	RunningAges []uint32 `cbor:"10,keyasint,omitempty"`
}

// PromiseAsk asks a lease monitor to promise that it stops extending the lease of
// a home.
type PromiseAsk struct {
	Service Service    `cbor:"1,keyasint"`
	Home    InstanceID `cbor:"2,keyasint"`
	Epoch   uint64     `cbor:"3,keyasint"`
}

// Promise answers a PromiseAsk.
type Promise struct {
	Home    InstanceID `cbor:"1,keyasint"`
	Epoch   uint64     `cbor:"2,keyasint"`
	Granted bool       `cbor:"3,keyasint"`
}

// Transport carries messages between nodes.
type Transport interface {
	// Exchange sends an attempt and waits for its reply. The error is a
	// *NotSentError when the attempt certainly never left this node and a
	// *NoReplyError otherwise. When the context ends, the attempt is cancelled. The
	// reply to a non-idempotent one without a key is still awaited until the context's
	// deadline, since it may have begun.
	Exchange(ctx context.Context, to Address, attempt Attempt) (Reply, error)
	// Send sends a control message on a best-effort basis. Loss is not reported;
	// senders rely on acknowledgements or on later messages.
	Send(to Address, message Control)
}
