package bulrushchute

import (
	"context"
)

// UsageWindow is the number of a window of the wall clock in which usage is
// counted. Window k begins k window lengths after the Unix epoch.
type UsageWindow uint64

// UsageWindowOf returns the window of the given length that contains an instant.
func UsageWindowOf(at, length Millis) UsageWindow {
	return UsageWindow(at / length)
}

// Start returns the instant at which the window begins.
func (w UsageWindow) Start(length Millis) Millis {
	return Millis(w) * length
}

// End returns the instant at which the window ends and the next one begins.
func (w UsageWindow) End(length Millis) Millis {
	return Millis(w+1) * length
}

// UsageCounts holds the number of requests of each tenant that began to run in a
// window.
type UsageCounts map[Tenant]uint64

// UsageReport is the usage of all nodes in one window.
type UsageReport struct {
	Window UsageWindow
	Counts UsageCounts
}

// UsageSink sends usage reports to the platform.
type UsageSink interface {
	// ReportUsage sends the counts of one window. The token grows with each change of
	// the node that sends reports. Errors are matched with errors.As:
	// *UnavailableError if the report was certainly not accepted, *AmbiguousError if
	// it may have been.
	ReportUsage(ctx context.Context, holder string, token uint64, report UsageReport) error
}

// UsageLevel is a level of the tree in which usage is added up.
type UsageLevel uint8

// Levels of the tree.
const (
	// UsageSource is one node with the counts of its own backend server.
	UsageSource UsageLevel = iota + 1
	// UsageGroup is a group of nodes of a data centre.
	UsageGroup
	// UsageDataCentre is all nodes of a data centre.
	UsageDataCentre
	// UsageDirect is one node that knows no other member of its data centre. The holder
	// of the duty adds its counts to those of the data centre.
	UsageDirect
)

// Usage carries usage counts up the tree, and receipts down.
type Usage struct {
	Parts    []UsagePart    `cbor:"1,keyasint,omitempty"`
	Receipts []UsageReceipt `cbor:"2,keyasint,omitempty"`
}

// UsageKey identifies a contribution to the counts of a window.
type UsageKey struct {
	Window UsageWindow `cbor:"1,keyasint"`
	Level  UsageLevel  `cbor:"2,keyasint"`
	// Bits and Group identify the group to which the contribution belongs, among the
	// 2^Bits groups of the data centre. They are 0 for UsageDataCentre
	// and UsageDirect.
	Bits  int    `cbor:"3,keyasint,omitempty"`
	Group uint32 `cbor:"4,keyasint,omitempty"`
	// DataCentre is empty in messages, which stay in the data centre, unless Level
	// is UsageDataCentre or UsageDirect.
	DataCentre DataCentre `cbor:"5,keyasint,omitempty"`
	// Sender made the contribution. Another node sends it if it hands over the
	// collection. It is empty in a message of the sender itself, and in its receipt.
	Sender InstanceID `cbor:"6,keyasint,omitempty"`
	// Sequence orders the contributions of a sender to a window.
	Sequence uint64 `cbor:"7,keyasint"`
}

// UsagePart is a contribution to the counts of a window. It replaces earlier ones
// of the same sender.
type UsagePart struct {
	Key UsageKey `cbor:"1,keyasint"`
	// Sources is the number of nodes whose counts are included, and Expected the
	// number of nodes that should be.
	Sources  int `cbor:"2,keyasint"`
	Expected int `cbor:"3,keyasint"`
	// Final is set if the counts will not change, as far as the sender knows.
	Final bool `cbor:"4,keyasint,omitempty"`
	// Indexed holds the counts of the tenants of a list, in its order, as uvarints. A
	// zero is followed by the number of further tenants that have no count. ListHash
	// identifies the list, 0 if all counts are in Named.
	ListHash uint64      `cbor:"5,keyasint,omitempty"`
	Indexed  []byte      `cbor:"6,keyasint,omitempty"`
	Named    UsageCounts `cbor:"7,keyasint,omitempty"`
}

// UsageReceipt acknowledges a contribution.
type UsageReceipt struct {
	Key UsageKey `cbor:"1,keyasint"`
}
