package bulrushnode

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmove"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

func newTestNode(dataCentre bulrushchute.DataCentre) *Node {
	settings := Settings{
		DataCentre:  dataCentre,
		PeerAddress: "127.0.0.1:7001",
		ClockSkewMs: DefaultClockSkewMs,
	}
	return New(settings, bulrushstore.NewMemory(), bulrushchute.NewManualClock(1_000_000))
}

// Guards against evidence that is not sent because the record of the holder is not
// accepted.
func TestHolderRecordAccepted(t *testing.T) {
	n := newTestNode("dc-1")
	n.moves.publishHolder(n.clock.Now(), 3, 1)
	holder, known := n.moves.holders[shardName(3)]
	assert.Assert(t, known)
	assert.Equal(t, holder.ID, n.id)
}

// Guards against a share that is spread but not applied on the node that published
// it, and against a record of another epoch that reverts a brake.
func TestShareAppliesLocally(t *testing.T) {
	n := newTestNode("dc-1")
	publish := func(epoch uint64, share int) {
		record := bulrushmove.ShareRecord{Service: "board", Generation: 1, Epoch: epoch, Share: share}
		n.control.membership.Table().Publish(n.clock.Now(), record.Record())
	}
	share := func() int { return n.board.Read().Shares.ShareOf("board", 1) }
	publish(2, 500)
	assert.Equal(t, share(), 500)
	n.moves.brakeMove("board", 1, "bad")
	assert.Equal(t, share(), 0)
	publish(1, 10_000)
	assert.Equal(t, share(), 0)
	publish(3, 2500)
	assert.Equal(t, share(), 0, "brake reverted within its generation")
}

// Guards against a move that stops and loses its evidence because its holder gives
// up the lease. This happened when instances of the new version preceded the
// holder in hash order.
func TestHolderKeepsLease(t *testing.T) {
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
	assert.DeepEqual(t, n.moves.candidateShards(ctx), []int{shard})
	n.moves.acquireOrRenew(ctx, shard)
	_, held := n.moves.leases[shard].Held()
	assert.Assert(t, held)
	// Adds members until enough precede this node that it is no candidate any more.
	for candidate := true; candidate; {
		n.control.do(ctx, func(now bulrushchute.Millis) {
			newTestNode("dc-1").control.membership.Table().Range(bulrushchute.TopicMember, func(record bulrushchute.Record) bool {
				return n.control.membership.Table().Publish(now, record)
			})
			candidate = n.control.isCandidate(shardName(shard), "", maxMoveCandidates)
		})
	}
	assert.DeepEqual(t, n.moves.candidateShards(ctx), []int{shard})
	n.moves.leases[shard] = bulrushstore.NewLease(n.store, n.clock, bulrushstore.LeaseSettings{Name: "other", Holder: n.id})
	assert.Equal(t, len(n.moves.candidateShards(ctx)), 0, "neither holder nor candidate")
}

// Guards against a new holder of a move that starts without the evidence that the
// nodes have sent to the one before it.
func TestNewHolderReceivesAllEvidence(t *testing.T) {
	n := newTestNode("dc-1")
	entry := bulrushcatalogue.ServiceEntry{Service: "board", Move: &bulrushcatalogue.Move{Generation: 1, ToVersion: "v2", WithinMs: 12_000}}
	n.board.Update(func(view bulrushboard.View) bulrushboard.View {
		return view.WithCatalogue(view.Catalogue.WithService(entry, 1))
	})
	serve := func() {
		attempt := bulrushchute.Attempt{Service: "board", Route: "view"}
		n.moves.dispatchStarted(attempt, "v2")
		n.moves.dispatchEnded(attempt, &bulrushmove.Sample{Version: "v2", Route: "view", ElapsedMs: 10})
	}
	requests := func() int {
		_, reports := n.moves.takeReports()
		sum := 0
		for _, report := range reports {
			sum += report.Requests
		}
		return sum
	}
	shard := shardName(shardOf("board"))
	serve()
	assert.Equal(t, requests(), 0, "no holder is known")
	n.moves.holders[shard] = moveHolder{ID: "a"}
	assert.Equal(t, requests(), 1)
	serve()
	assert.Equal(t, requests(), 1)
	n.moves.holders[shard] = moveHolder{ID: "b"}
	serve()
	assert.Equal(t, requests(), 3)
	assert.Equal(t, requests(), 0)
}

// Guards against a time limit that is counted from the first decision of the holder
// instead of from the order, so that the outcome comes too late.
func TestTimeLimitCountsFromOrder(t *testing.T) {
	clock := bulrushchute.NewManualClock(1_000_000)
	store := bulrushstore.NewMemory()
	n := New(Settings{DataCentre: "dc-1", PeerAddress: "127.0.0.1:7001", ClockSkewMs: DefaultClockSkewMs}, store, clock)
	n.board.Update(func(view bulrushboard.View) bulrushboard.View {
		return view.WithCatalogue(view.Catalogue.WithService(bulrushcatalogue.ServiceEntry{Service: "board"}, 1))
	})
	ended := make(chan error, 1)
	ctx, stop := context.WithCancel(t.Context())
	go func() { ended <- n.control.run(ctx) }()
	defer func() {
		stop()
		assert.NilError(t, <-ended)
	}()
	orderedAt := clock.Now()
	order, err := json.Marshal(bulrushcatalogue.MoveOrder{Service: "board", Generation: 1, ToVersion: "v2", WithinMs: 14_000})
	assert.NilError(t, err)
	n.control.do(ctx, func(now bulrushchute.Millis) {
		n.control.onCatalogue(now, bulrushchute.Record{
			Key:     bulrushchute.RecordKey{Topic: bulrushchute.TopicCatalogue, Name: "moveorders/board"},
			Version: bulrushchute.RecordVersion{Counter: 1},
			Value:   compressValue(order),
		})
	})
	clock.Advance(1400)
	n.moves.acquireOrRenew(ctx, shardOf("board"))
	var object bulrushchute.Object
	for range 1000 {
		n.control.do(ctx, func(now bulrushchute.Millis) { n.moves.tickControllers(now) })
		if object, err = store.Get(ctx, bulrushchute.KindMoves, "board"); err == nil {
			break
		}
		bulrushtask.Pause(ctx, time.Millisecond)
	}
	state, err := bulrushmove.ParseState(object)
	assert.NilError(t, err)
	assert.Equal(t, state.OrderedAtMs, orderedAt)
}
