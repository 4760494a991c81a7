package bulrushnode

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// withdrawalOf returns an object that withdraws a data centre.
func withdrawalOf(t *testing.T, name bulrushchute.DataCentre, version uint64) bulrushchute.Object {
	value, err := json.Marshal(bulrushcatalogue.DataCentreEntry{DataCentre: name, Region: "mn", State: bulrushcatalogue.DataCentreWithdrawn})
	assert.NilError(t, err)
	return bulrushchute.Object{Kind: bulrushchute.KindDataCentres, Name: string(name), Version: version, Value: value}
}

func (r runningNode) waitForWithdrawal(t *testing.T, name bulrushchute.DataCentre, want bool) {
	t.Helper()
	begin := time.Now()
	for dataCentreWithdrawn(r.board.Read().Catalogue, name) != want && time.Since(begin) < inForceWithin {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, dataCentreWithdrawn(r.board.Read().Catalogue, name), want, "after %s", time.Since(begin))
}

// Guards against an entry that stays deleted on all nodes, although it exists in the store,
// because one node spread a deletion with a later version than the object's.
func TestFalseDeletionIsRepaired(t *testing.T) {
	memory := bulrushstore.NewMemory()
	_, err := memory.Create(t.Context(), routingOf(t, 1))
	assert.NilError(t, err)
	kinds := []bulrushchute.Kind{bulrushchute.KindRouting, bulrushchute.KindDataCentres}
	settings := nodeSettings(t)
	first := runNodeWithOptions(settings, memory, Options{Kinds: kinds})
	defer first.stop()
	joining := nodeSettings(t)
	joining.SeedAddresses = []bulrushchute.Address{settings.PeerAddress}
	second := runNodeWithOptions(joining, memory, Options{Kinds: kinds})
	defer second.stop()
	first.waitForMember(t, second.id)
	second.waitForMember(t, first.id)
	_, err = memory.Create(t.Context(), withdrawalOf(t, "ub-2", 0))
	assert.NilError(t, err)
	time.Sleep(settleDuration.Duration() + rankInterval)
	first.waitForWithdrawal(t, "ub-2", true)
	second.waitForWithdrawal(t, "ub-2", true)
	_, err = memory.Create(t.Context(), bulrushchute.Object{Kind: bulrushchute.KindSeeds, Name: "ub-3", Value: []byte(`{}`)})
	assert.NilError(t, err)
	// As nodes of an earlier release spread it.
	first.control.do(t.Context(), func(now bulrushchute.Millis) {
		deletion := bulrushchute.Object{Kind: bulrushchute.KindDataCentres, Name: "ub-2", Version: memory.Revision()}
		first.control.publishObject(now, deletion, true)
	})
	_, err = memory.Create(t.Context(), bulrushchute.Object{Kind: bulrushchute.KindSeeds, Name: "ub-4", Value: []byte(`{}`)})
	assert.NilError(t, err)
	time.Sleep(inForceWithin)
	first.waitForWithdrawal(t, "ub-2", true)
	second.waitForWithdrawal(t, "ub-2", true)
}

// newDeletingNode returns a node on which the withdrawal of a data centre was deleted at a
// version. Only its control runs.
func newDeletingNode(t *testing.T, store bulrushchute.Store, deleted uint64) *Node {
	n := New(nodeSettings(t), store, bulrushchute.NewManualClock(1_000_000))
	n.control.publishObject(1_000_000, withdrawalOf(t, "ub-2", 7), false)
	n.control.publishObject(1_000_000, bulrushchute.Object{Kind: bulrushchute.KindDataCentres, Name: "ub-2", Version: deleted}, true)
	assert.Assert(t, !dataCentreWithdrawn(n.board.Read().Catalogue, "ub-2"))
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { ended <- n.control.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-ended == nil)
	})
	return n
}

// Guards against a repair on the word of a list that is older than the deletion, and
// against one with a version that a later change of the object may have as well.
func TestRepairsOfList(t *testing.T) {
	type list struct{ stored, revision uint64 }
	cases := map[string]struct {
		deleted uint64
		lists   []list
		// want is the version in force after the lists, 0 if the entry stays deleted.
		want  uint64
		found uint64
	}{
		"later deletion":             {12, []list{{9, 13}}, 13, 1},
		"same version":               {9, []list{{9, 13}}, 13, 1},
		"list before the deletion":   {12, []list{{9, 11}}, 0, 0},
		"list at the deletion":       {12, []list{{9, 12}, {9, 12}}, 0, 1},
		"next list":                  {12, []list{{9, 12}, {9, 15}}, 15, 1},
		"created again":              {12, []list{{13, 14}}, 13, 0},
		"repeated":                   {12, []list{{9, 13}, {9, 14}}, 13, 1},
		"changed after":              {12, []list{{9, 13}, {14, 14}}, 14, 1},
		"earlier era":                {12, []list{{bulrushchute.StoreVersion(1, 4), bulrushchute.StoreVersion(1, 5)}}, bulrushchute.StoreVersion(1, 4), 0},
		"list of an earlier era":     {bulrushchute.StoreVersion(1, 4), []list{{9, 13}}, 0, 0},
		"deletion in the era before": {bulrushchute.StoreVersion(1, 4), []list{{bulrushchute.StoreVersion(1, 2), bulrushchute.StoreVersion(1, 6)}}, bulrushchute.StoreVersion(1, 6), 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			n := newDeletingNode(t, bulrushstore.NewMemory(), tc.deleted)
			r := &reader{node: n}
			for _, l := range tc.lists {
				objects := []bulrushchute.Object{withdrawalOf(t, "ub-2", l.stored)}
				r.publishConsistentList(t.Context(), bulrushchute.KindDataCentres, objects, l.revision)
			}
			set := n.board.Read().Catalogue
			assert.Equal(t, dataCentreWithdrawn(set, "ub-2"), tc.want > 0)
			if tc.want > 0 {
				assert.Equal(t, set.DataCentreVersion("ub-2"), tc.want)
			}
			var found uint64
			n.control.do(t.Context(), func(bulrushchute.Millis) { found = n.control.deletionRepair.found })
			assert.Equal(t, found, tc.found)
		})
	}
}

// replayedStore is a store whose stale lists have the given objects and revision.
type replayedStore struct {
	*bulrushstore.Memory
	objects  []bulrushchute.Object
	revision uint64
}

func (s *replayedStore) ListStale(context.Context, bulrushchute.Kind) ([]bulrushchute.Object, uint64, error) {
	return s.objects, s.revision, nil
}

// Guards against a stale list, as nodes read at their start, that counts as proof that a
// deletion is false.
func TestStaleListRepairsNothing(t *testing.T) {
	store := &replayedStore{Memory: bulrushstore.NewMemory(), objects: []bulrushchute.Object{withdrawalOf(t, "ub-2", 9)}, revision: 13}
	n := newDeletingNode(t, store, 12)
	r := &reader{node: n}
	assert.NilError(t, r.listAndPublish(t.Context(), bulrushchute.KindDataCentres))
	assert.Assert(t, !dataCentreWithdrawn(n.board.Read().Catalogue, "ub-2"))
}
