package bulrushnode

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmove"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

func newTestNode(dataCentre bulrushchute.DataCentre) *Node {
	settings := Settings{
		DataCentre:  dataCentre,
		PeerAddress: "127.0.0.1:7001",
		ClockSkewMs: DefaultClockSkewMs,
	}
	return New(settings, bulrushstore.NewMemory(), bulrushchute.NewManualClock(1_000_000))
}

// Guards against evidence that goes nowhere because the record of the holder
// is not accepted.
func TestHolderIsKnown(t *testing.T) {
	n := newTestNode("dc-1")
	n.moves.publishHolder(n.clock.Now(), 3, 1)
	holder, known := n.moves.holders[shardName(3)]
	assert.Assert(t, known)
	assert.Equal(t, holder.ID, n.id)
}

// Guards against a share that is spread but not in force on its own node, and
// against a lower epoch that undoes a brake.
func TestShareIsInForce(t *testing.T) {
	n := newTestNode("dc-1")
	publish := func(epoch uint64, share int) {
		record := bulrushmove.ShareRecord{Service: "board", Generation: 1, Epoch: epoch, Share: share}
		n.control.membership.Table().Publish(n.clock.Now(), record.Record())
	}
	share := func() int { return n.board.Read().Shares.Of("board", 1) }
	publish(2, 500)
	assert.Equal(t, share(), 500)
	n.moves.applyBrake("board", 1, "bad")
	assert.Equal(t, share(), 0)
	publish(1, 10_000)
	assert.Equal(t, share(), 0)
	publish(3, 2500)
	assert.Equal(t, share(), 0, "a brake holds for its generation")
}
