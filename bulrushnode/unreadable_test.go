package bulrushnode

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// unreadableStore is a store whose lists have no readable routing table while unreadable is set.
type unreadableStore struct {
	*bulrushstore.Memory
	unreadable atomic.Bool
	lists      atomic.Int64
}

func (s *unreadableStore) List(ctx context.Context, kind bulrushchute.Kind) ([]bulrushchute.Object, uint64, error) {
	objects, revision, err := s.Memory.List(ctx, kind)
	if kind == bulrushchute.KindRouting && s.unreadable.Load() {
		s.lists.Add(1)
		for i := range objects {
			objects[i].Value, objects[i].Unreadable = nil, true
		}
	}
	return objects, revision, err
}

func (s *unreadableStore) Watch(ctx context.Context, _ bulrushchute.Kind, _ uint64, _ func(bulrushchute.StoreEvent)) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a routing table that is taken for deleted, or replaced by nothing,
// because its latest version in the store cannot be read: on a node that has the last
// valid one, and on one that starts meanwhile and gets it from the first.
func TestUnreadableTableReplacesTheLastValidOne(t *testing.T) {
	store := &unreadableStore{Memory: bulrushstore.NewMemory()}
	created, err := store.Create(t.Context(), routingOf(t, 1))
	assert.NilError(t, err)
	first := runRoutingNode(t, store)
	defer first.stop()
	first.waitForLabel(t, "1")
	store.unreadable.Store(true)
	changed := routingOf(t, 2)
	changed.Version = created.Version
	_, err = store.Update(t.Context(), changed)
	assert.NilError(t, err)
	for store.lists.Load() < 3 {
		time.Sleep(10 * time.Millisecond)
	}
	second := runRoutingNode(t, store)
	defer second.stop()
	second.waitForLabel(t, "1")
	assert.Equal(t, first.label(), "1")
}
