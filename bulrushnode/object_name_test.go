package bulrushnode

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// Guards against an object of another writer that replaces the routing table, the order of
// a service or an entry, although the store keeps it under another name.
func TestObjectUnderAnotherName(t *testing.T) {
	const name = "other"
	encode := func(value any) []byte {
		data, err := json.Marshal(value)
		assert.NilError(t, err)
		return data
	}
	order := bulrushcatalogue.MoveOrder{Service: "board", Generation: 9, ToVersion: "v2", WithinMs: 1000}
	entry := bulrushcatalogue.ServiceEntry{Service: "board", Owner: "another", TimeoutMs: 7}
	withdrawn := bulrushcatalogue.DataCentreEntry{DataCentre: "ub-1", Region: "mn", State: bulrushcatalogue.DataCentreWithdrawn}
	cases := map[string]bulrushchute.Object{
		"routing table": {Kind: bulrushchute.KindRouting, OperatorVersion: 2, Value: routingOf(t, 2).Value},
		"move order":    {Kind: bulrushchute.KindMoveOrders, Value: encode(order)},
		"service":       {Kind: bulrushchute.KindServices, Value: encode(entry)},
		"data centre":   {Kind: bulrushchute.KindDataCentres, Value: encode(withdrawn)},
	}
	for description, object := range cases {
		t.Run(description, func(t *testing.T) {
			n := New(nodeSettings(t), bulrushstore.NewMemory(), bulrushchute.NewManualClock(1_000_000))
			table := routingOf(t, 1)
			table.Version = 3
			n.control.publishObject(1_000_000, table, false)
			before := n.board.Read().Catalogue
			object.Name, object.Version = name, 4
			n.control.publishObject(1_000_000, object, false)
			// A node of an earlier version passes such an object on.
			object.Version = 5
			key, _ := recordKeyOf(object)
			record := bulrushchute.Record{Key: key, Version: recordVersionOf(object), Value: compressValue(object.Value)}
			n.control.membership.Table().Publish(1_000_000, record)
			after := n.board.Read().Catalogue
			assert.Equal(t, after.Routing().Label, "1")
			assert.Assert(t, after.OrderedMove("board") == nil)
			entryBefore, _ := before.Service("board")
			entryAfter, _ := after.Service("board")
			assert.DeepEqual(t, entryAfter, entryBefore)
			assert.Assert(t, !dataCentreWithdrawn(after, "ub-1"))
		})
	}
}

// Guards against an unreadable object of another writer because of which the routing table
// counts as out of date, so that no unknown route is refused.
func TestUnreadableObjectUnderAnotherName(t *testing.T) {
	n := New(nodeSettings(t), bulrushstore.NewMemory(), bulrushchute.NewManualClock(1_000_000))
	objects := []bulrushchute.Object{{Kind: bulrushchute.KindRouting, Name: "other", Version: 4, Unreadable: true}}
	_, complete := n.control.changesOfList(1_000_000, bulrushchute.KindRouting, objects, 5)
	assert.Assert(t, complete)
}
