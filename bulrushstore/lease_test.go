package bulrushstore_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

func leaseOf(store bulrushchute.Store, clock bulrushchute.Clock, holder bulrushchute.InstanceID) *bulrushstore.Lease {
	return bulrushstore.NewLease(store, clock, bulrushstore.LeaseSettings{
		Name: "shard", Holder: holder, Duration: 10_000, RenewEvery: 3_000, Margin: 1_000,
	})
}

// slowStore pauses before each update, after the holder has read its clock.
type slowStore struct {
	bulrushchute.Store
	pause func()
}

func (ss *slowStore) Update(ctx context.Context, object bulrushchute.Object) (bulrushchute.Object, error) {
	ss.pause()
	return ss.Store.Update(ctx, object)
}

func step(t *testing.T, lease *bulrushstore.Lease) bool {
	t.Helper()
	held, err := lease.Step(t.Context())
	assert.NilError(t, err)
	return held
}

// Guards against a second holder before the first one's time is over, and
// against an epoch that does not grow with each holder.
func TestLeasePassesOn(t *testing.T) {
	clock := bulrushchute.NewManualClock(1_000_000)
	memory := bulrushstore.NewMemory()
	a, b := leaseOf(memory, clock, "a"), leaseOf(memory, clock, "b")
	assert.Assert(t, step(t, a))
	assert.Assert(t, !step(t, b))
	clock.Advance(9_999)
	_, held := a.Held()
	assert.Assert(t, held)
	assert.Assert(t, !step(t, b))
	clock.Advance(1)
	_, held = a.Held()
	assert.Assert(t, !held, "the lease ends by the holder's own clock without an answer")
	clock.Advance(1_000)
	assert.Assert(t, step(t, b))
	epoch, _ := b.Held()
	assert.Equal(t, epoch, uint64(2))
	assert.Assert(t, !step(t, a))
	assert.NilError(t, b.Release(t.Context()))
	assert.Assert(t, step(t, a), "a released lease is free at once")
	epoch, _ = a.Held()
	assert.Equal(t, epoch, uint64(3))
}

// Guards against a lease that counts from the answer of a renewal instead of
// from its sending, so that a holder paused meanwhile overlaps its successor.
func TestLeaseCountsFromSending(t *testing.T) {
	clock := bulrushchute.NewManualClock(1_000_000)
	var pause bulrushchute.Millis
	slow := &slowStore{Store: bulrushstore.NewMemory(), pause: func() { clock.Advance(pause) }}
	a := leaseOf(slow, clock, "a")
	assert.Assert(t, step(t, a))
	pause = 10_000
	assert.Assert(t, !step(t, a))
	pause = 0
	assert.Assert(t, step(t, a), "the record still names this holder")
	epoch, _ := a.Held()
	assert.Equal(t, epoch, uint64(2), "work of the tenure that lapsed must be fenced off")
}

// Guards against a tenure lost, or wrongly kept, when a renewal's answer is lost.
func TestLeaseSettlesLostAnswer(t *testing.T) {
	clock := bulrushchute.NewManualClock(1_000_000)
	memory := bulrushstore.NewMemory()
	a := leaseOf(memory, clock, "a")
	none := bulrushstore.Fault{}
	memory.SetFaults(bulrushstore.ScriptedFaults(none, faultLost, none, faultLost, none))
	assert.Assert(t, step(t, a), "acquired with a lost answer")
	assert.Assert(t, step(t, a), "renewed with a lost answer")
	clock.Advance(5_000)
	memory.SetFaults(bulrushstore.ScriptedFaults(faultLost, faultDown))
	held, err := a.Step(t.Context())
	assert.Equal(t, classOf(err), "unavailable")
	assert.Assert(t, held, "the last renewal still lasts")
	held, err = a.Step(t.Context())
	assert.Equal(t, classOf(err), "conflict")
	assert.Assert(t, held, "the conflict is with this tenure's own renewal")
	clock.Advance(4_000)
	assert.Assert(t, step(t, a))
}

// Guards against two holders at once and epochs that repeat, with faults,
// pauses and clocks that differ.
func TestLeaseHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := bulrushstore.NewMemory()
		memory.SetFaults(bulrushstore.SeededFaults(rapid.Uint64().Draw(t, "seed"), bulrushstore.FaultRates{
			Down: 0.1, AnswerLost: 0.2, StaleRead: 0.1,
		}))
		clocks := make([]*bulrushchute.ManualClock, 3)
		advance := func() {
			span := bulrushchute.Millis(rapid.IntRange(0, 6_000).Draw(t, "span"))
			for _, clock := range clocks {
				clock.Advance(span)
			}
		}
		slow := &slowStore{Store: memory, pause: advance}
		leases := make([]*bulrushstore.Lease, 3)
		for i, holder := range []bulrushchute.InstanceID{"a", "b", "c"} {
			start := rapid.IntRange(0, 100_000).Draw(t, "start")
			clocks[i] = bulrushchute.NewManualClock(bulrushchute.Millis(start))
			leases[i] = leaseOf(slow, clocks[i], holder)
		}
		holders := make(map[uint64]int)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			advance()
			i := rapid.IntRange(0, 2).Draw(t, "node")
			_, _ = leases[i].Step(context.Background())
			held := 0
			for n, lease := range leases {
				epoch, holds := lease.Held()
				if !holds {
					continue
				}
				held++
				owner, known := holders[epoch]
				assert.Assert(t, !known || owner == n, "epoch %d has two holders", epoch)
				holders[epoch] = n
			}
			assert.Assert(t, held <= 1, "%d holders", held)
		}
	})
}
