package bulrushstore

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// Guards against a restore after which a version or a watch of the earlier era
// matches an object that has its revision now.
func TestRestoreBeginsANewEra(t *testing.T) {
	m := NewMemory()
	var eras []uint64
	m.OnEra(func(era uint64) { eras = append(eras, era) })
	first, err := m.Create(t.Context(), bulrushchute.Object{Kind: bulrushchute.KindSeeds, Name: "a", Value: []byte(`1`)})
	assert.NilError(t, err)
	copied := m.Copy()
	lost, err := m.Update(t.Context(), first.WithValue([]byte(`2`)))
	assert.NilError(t, err)
	m.Restore(copied)
	restored, err := m.Get(t.Context(), bulrushchute.KindSeeds, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(restored.Value), `1`)
	assert.Assert(t, restored.Version > lost.Version)
	assert.DeepEqual(t, eras, []uint64{1})

	again, err := m.Update(t.Context(), restored.WithValue([]byte(`3`)))
	assert.NilError(t, err)
	assert.Equal(t, bulrushchute.RevisionOf(again.Version), bulrushchute.RevisionOf(lost.Version))
	_, err = m.Update(t.Context(), lost.WithValue([]byte(`4`)))
	var conflict *bulrushchute.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	var gone *GoneError
	assert.Assert(t, errors.As(m.Watch(t.Context(), bulrushchute.KindSeeds, lost.Version, nil), &gone))
}

// Guards against two holders of a lease after the store was restored from a copy in
// which an earlier holder is named.
func TestLeaseIsVoidAfterARestore(t *testing.T) {
	ctx := context.Background()
	m := NewMemory()
	clock := bulrushchute.NewManualClock(1_000_000)
	settings := LeaseSettings{Name: "shard", Duration: 3000, RenewInterval: 1000, ClockMargin: 500}
	newLease := func(holder bulrushchute.InstanceID) *Lease {
		settings.Holder = holder
		lease := NewLease(m, clock, settings)
		m.OnEra(func(uint64) { lease.Void() })
		return lease
	}
	acquire := func(lease *Lease) bool {
		held, _ := lease.AcquireOrRenew(ctx)
		return held
	}
	former, current := newLease("former"), newLease("current")
	assert.Assert(t, acquire(former))
	copied := m.Copy()
	assert.NilError(t, former.Release(ctx))
	assert.Assert(t, acquire(current))
	m.Restore(copied)
	_, held := current.Held()
	assert.Assert(t, !held, "the holder must stop at once")
	for waited := bulrushchute.Millis(0); waited < 3500; waited += 500 {
		assert.Assert(t, !acquire(former) && !acquire(current), "acquired %d ms after the restore", waited)
		clock.Advance(500)
	}
	assert.Assert(t, acquire(former) || acquire(current), "not acquired again")
	_, formerHeld := former.Held()
	_, currentHeld := current.Held()
	assert.Assert(t, formerHeld != currentHeld)
}

// Guards against a fencing token that falls or repeats when the store is restored from
// a copy with an earlier epoch.
func TestLeaseTokenIncreasesAfterARestore(t *testing.T) {
	m := NewMemory()
	clock := bulrushchute.NewManualClock(1_000_000)
	lease := NewLease(m, clock, LeaseSettings{Name: "shard", Holder: "a", Duration: 3000, RenewInterval: 1000, ClockMargin: 500})
	m.OnEra(func(uint64) { lease.Void() })
	_, held := lease.Token()
	assert.Assert(t, !held)
	var tokens []uint64
	acquire := func() {
		_, err := lease.AcquireOrRenew(t.Context())
		assert.NilError(t, err)
		token, held := lease.Token()
		assert.Assert(t, held)
		tokens = append(tokens, token)
	}
	acquire()
	acquire()
	copied := m.Copy()
	clock.Advance(3000)
	_, held = lease.Token()
	assert.Assert(t, !held, "an expired term has no token")
	acquire()
	m.Restore(copied)
	_, held = lease.Token()
	assert.Assert(t, !held, "the restore ends the term")
	clock.Advance(3500)
	acquire()
	assert.DeepEqual(t, tokens, []uint64{1, 1, 2, 1<<40 | 2})
}
