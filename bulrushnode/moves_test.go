package bulrushnode

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
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
	share := func() int { return n.board.Read().Shares.ShareOf("board", 1) }
	publish(2, 500)
	assert.Equal(t, share(), 500)
	n.moves.applyBrake("board", 1, "bad")
	assert.Equal(t, share(), 0)
	publish(1, 10_000)
	assert.Equal(t, share(), 0)
	publish(3, 2500)
	assert.Equal(t, share(), 0, "a brake holds for its generation")
}

// Guards against a move that stands still and forgets its evidence when new
// instances, those of its own new version, come before its holder by hash.
func TestHolderKeepsItsLease(t *testing.T) {
	n := newTestNode("dc-1")
	ended := make(chan error, 1)
	ctx, stop := context.WithCancel(t.Context())
	go func() { ended <- n.control.run(ctx) }()
	defer func() {
		stop()
		assert.NilError(t, <-ended)
	}()
	entry := bulrushcatalogue.ServiceEntry{Service: "board", Move: &bulrushcatalogue.Move{Generation: 1, ToVersion: "v2", WithinMs: 12_000}}
	n.board.Update(func(view bulrushboard.View) bulrushboard.View {
		return view.WithCatalogue(view.Catalogue.WithService(entry, 1))
	})
	shard := shardOf("board")
	assert.DeepEqual(t, n.moves.wantedShards(ctx), []int{shard})
	n.moves.stepLease(ctx, shard)
	_, held := n.moves.leases[shard].Held()
	assert.Assert(t, held)
	for candidate := true; candidate; {
		n.control.do(ctx, func(now bulrushchute.Millis) {
			newTestNode("dc-1").control.membership.Table().Range(bulrushchute.TopicMember, func(record bulrushchute.Record) bool {
				return n.control.membership.Table().Publish(now, record)
			})
			candidate = n.control.isCandidate(shardName(shard), "", moveCandidates)
		})
	}
	assert.DeepEqual(t, n.moves.wantedShards(ctx), []int{shard})
	n.moves.leases[shard] = bulrushstore.NewLease(n.store, n.clock, bulrushstore.LeaseSettings{Name: "other", Holder: n.id})
	assert.Equal(t, len(n.moves.wantedShards(ctx)), 0, "not held and no candidate")
}
