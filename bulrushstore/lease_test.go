package bulrushstore_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

func newLease(store bulrushchute.Store, clock bulrushchute.Clock, holder bulrushchute.InstanceID) *bulrushstore.Lease {
	return bulrushstore.NewLease(store, clock, bulrushstore.LeaseSettings{
		Name: "shard", Holder: holder, Duration: 10_000, RenewInterval: 3_000, ClockMargin: 1_000,
	})
}

// slowStore calls pause before each update, after the holder has read its clock.
type slowStore struct {
	bulrushchute.Store
	pause func()
}

func (ss *slowStore) Update(ctx context.Context, object bulrushchute.Object) (bulrushchute.Object, error) {
	ss.pause()
	return ss.Store.Update(ctx, object)
}

func acquireOrRenew(t *testing.T, lease *bulrushstore.Lease) bool {
	t.Helper()
	held, err := lease.AcquireOrRenew(t.Context())
	assert.NilError(t, err)
	return held
}

// Guards against a second holder before the first holder's lease has expired,
// and against an epoch that does not increase with each holder.
func TestLeaseHandover(t *testing.T) {
	clock := bulrushchute.NewManualClock(1_000_000)
	memory := bulrushstore.NewMemory()
	a, b := newLease(memory, clock, "a"), newLease(memory, clock, "b")
	assert.Assert(t, acquireOrRenew(t, a))
	assert.Assert(t, !acquireOrRenew(t, b))
	clock.Advance(9_999)
	_, held := a.Held()
	assert.Assert(t, held)
	assert.Assert(t, !acquireOrRenew(t, b))
	clock.Advance(1)
	_, held = a.Held()
	assert.Assert(t, !held, "the lease must expire by the holder's own clock without a response")
	clock.Advance(1_000)
	assert.Assert(t, acquireOrRenew(t, b))
	epoch, _ := b.Held()
	assert.Equal(t, epoch, uint64(2))
	assert.Assert(t, !acquireOrRenew(t, a))
	assert.NilError(t, b.Release(t.Context()))
	assert.Assert(t, acquireOrRenew(t, a), "a released lease must be available immediately")
	epoch, _ = a.Held()
	assert.Equal(t, epoch, uint64(3))
}

// unavailableStore fails every call while it is down.
type unavailableStore struct {
	bulrushchute.Store
	down bool
}

func (us *unavailableStore) Get(ctx context.Context, kind bulrushchute.Kind, name string) (bulrushchute.Object, error) {
	if us.down {
		return bulrushchute.Object{}, &bulrushchute.UnavailableError{Operation: "get", Cause: context.DeadlineExceeded}
	}
	return us.Store.Get(ctx, kind, name)
}

// Guards against a contender that takes the lease after an outage of the store, in
// which the holder could not renew it. What the holder knows would be lost.
func TestLeaseReturnsToHolderAfterOutage(t *testing.T) {
	clock := bulrushchute.NewManualClock(1_000_000)
	memory := bulrushstore.NewMemory()
	contended := &unavailableStore{Store: memory}
	a, b := newLease(memory, clock, "a"), newLease(contended, clock, "b")
	assert.Assert(t, acquireOrRenew(t, a))
	assert.Assert(t, !acquireOrRenew(t, b))
	contended.down = true
	clock.Advance(12_000)
	_, err := b.AcquireOrRenew(t.Context())
	assert.Assert(t, err != nil)
	contended.down = false
	clock.Advance(1_000)
	assert.Assert(t, !acquireOrRenew(t, b))
	assert.Assert(t, acquireOrRenew(t, a))
	clock.Advance(11_000)
	assert.Assert(t, !acquireOrRenew(t, b))
	clock.Advance(11_000)
	assert.Assert(t, acquireOrRenew(t, b), "a holder that is gone must be replaced")
}

// Guards against counting the duration from the response to a renewal instead of
// from its sending. A holder paused in between would then overlap its successor.
func TestLeaseExpiryCountsFromSend(t *testing.T) {
	clock := bulrushchute.NewManualClock(1_000_000)
	var pause bulrushchute.Millis
	slow := &slowStore{Store: bulrushstore.NewMemory(), pause: func() { clock.Advance(pause) }}
	a := newLease(slow, clock, "a")
	assert.Assert(t, acquireOrRenew(t, a))
	pause = 10_000
	assert.Assert(t, !acquireOrRenew(t, a))
	pause = 0
	assert.Assert(t, acquireOrRenew(t, a), "the record still names this holder, so it may acquire the lease again")
	epoch, _ := a.Held()
	assert.Equal(t, epoch, uint64(2), "work of the expired term must be fenced off")
}

// Guards against a term that is lost or wrongly kept when the response to a
// renewal is lost.
func TestLeaseResolvesLostResponse(t *testing.T) {
	clock := bulrushchute.NewManualClock(1_000_000)
	memory := bulrushstore.NewMemory()
	a := newLease(memory, clock, "a")
	none := bulrushstore.Fault{}
	memory.SetFaults(bulrushstore.ScriptedFaults(none, faultResponseLost, none, faultResponseLost, none))
	assert.Assert(t, acquireOrRenew(t, a), "acquired although the response was lost")
	assert.Assert(t, acquireOrRenew(t, a), "renewed although the response was lost")
	clock.Advance(5_000)
	memory.SetFaults(bulrushstore.ScriptedFaults(faultResponseLost, faultDown))
	held, err := a.AcquireOrRenew(t.Context())
	assert.Equal(t, errorClass(err), "unavailable")
	assert.Assert(t, held, "the last renewal is still valid")
	held, err = a.AcquireOrRenew(t.Context())
	assert.Equal(t, errorClass(err), "conflict")
	assert.Assert(t, held, "the conflict is with a renewal of the same term")
	clock.Advance(4_000)
	assert.Assert(t, acquireOrRenew(t, a))
}

// Guards against two simultaneous holders and against repeated epochs, under
// store faults, pauses and different clock settings.
func TestLeaseHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := bulrushstore.NewMemory()
		memory.SetFaults(bulrushstore.SeededFaults(rapid.Uint64().Draw(t, "seed"), bulrushstore.FaultRates{
			Down: 0.1, ResponseLost: 0.2, StaleRead: 0.1,
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
			leases[i] = newLease(slow, clocks[i], holder)
		}
		holders := make(map[uint64]int)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			advance()
			i := rapid.IntRange(0, 2).Draw(t, "node")
			_, _ = leases[i].AcquireOrRenew(context.Background())
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
