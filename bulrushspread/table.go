package bulrushspread

import (
	"bulrushchute.example/bulrushchute"
)

// Table is one node's copy of all records. It is not safe for concurrent use.
type Table struct {
	config Config
}

// New returns an empty table.
func New(now bulrushchute.Millis, config Config) *Table {
	_ = now
	return &Table{config: config}
}

// Publish stores a record of this node's own making and announces it. It
// returns false if the table holds the same or a newer version, or if the
// record is not valid.
func (t *Table) Publish(now bulrushchute.Millis, record bulrushchute.Record) bool {
	panic("not implemented")
}

// Receive handles have, want, records and digest messages and ignores others.
func (t *Table) Receive(now bulrushchute.Millis, from bulrushchute.Address, message bulrushchute.Control) []Action {
	panic("not implemented")
}

// Tick sends what is due. It is to be called every TickInterval.
func (t *Table) Tick(now bulrushchute.Millis) []Action { panic("not implemented") }

// SetNeighbours replaces the nodes to which changes are announced.
func (t *Table) SetNeighbours(neighbours []Neighbour) { panic("not implemented") }

// Get returns a record. A withdrawn record is returned with Deleted set.
func (t *Table) Get(key bulrushchute.RecordKey) (bulrushchute.Record, bool) { panic("not implemented") }

// Range calls visit for each record of a topic, withdrawn ones included, until
// visit returns false. The order is the same for the same history of calls.
func (t *Table) Range(topic bulrushchute.Topic, visit func(bulrushchute.Record) bool) {
	panic("not implemented")
}

// Forget removes a record from this node alone. It is for records that expire
// on every node; Accept has to refuse their return.
func (t *Table) Forget(key bulrushchute.RecordKey) { panic("not implemented") }

// Compare sends a digest to a node, which answers with what this table lacks.
// OnCompare reports the result.
func (t *Table) Compare(now bulrushchute.Millis, with bulrushchute.Address) []Action {
	panic("not implemented")
}

// Outstanding returns the number of records that were asked for and have not arrived.
func (t *Table) Outstanding() int { panic("not implemented") }

// Charge takes bytes that were sent outside the table, such as heartbeats,
// from its budget.
func (t *Table) Charge(bytes int) { panic("not implemented") }

// Stats returns the counters.
func (t *Table) Stats() Stats { panic("not implemented") }

// Size returns the number of bytes of a message in CBOR, without encoding it.
func Size(message bulrushchute.Control) int { panic("not implemented") }
