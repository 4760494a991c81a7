package bulrushnode

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// routingOf returns the routing table of an operator version.
func routingOf(t *testing.T, version int) bulrushchute.Object {
	table := bulrushcatalogue.RoutingTable{
		Label: strconv.Itoa(version),
		Routes: []bulrushcatalogue.HostRoute{{
			Name: "r", Host: "a.example", Prefix: "/", TimeoutMs: 1000, Targets: []bulrushcatalogue.Target{{Service: "board", Weight: 1}},
		}},
		Services: []bulrushcatalogue.ServiceEntry{{Service: "board", Owner: "test"}},
	}
	value, err := table.Encode()
	assert.NilError(t, err)
	return bulrushchute.Object{Kind: bulrushchute.KindRouting, Name: "main", Value: value, OperatorVersion: uint64(version)}
}

func runRoutingNode(t *testing.T, store bulrushchute.Store) runningNode {
	return runNodeWithOptions(nodeSettings(t), store, Options{Kinds: []bulrushchute.Kind{bulrushchute.KindRouting}})
}

func (r runningNode) label() string {
	return r.board.Read().Catalogue.Routing().Label
}

func (r runningNode) waitForLabel(t *testing.T, want string) {
	for range 1000 {
		if r.label() == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("routing table %s in force, want %s", r.label(), want)
}

// Guards against going back to an older configuration, and against ignoring newer
// ones, after the store was restored from a copy: on a node that reads the store and
// on one that starts meanwhile.
func TestConfigurationSurvivesARestoreOfTheStore(t *testing.T) {
	store := bulrushstore.NewMemory()
	write := func(version int) {
		object := routingOf(t, version)
		current, err := store.Get(t.Context(), object.Kind, object.Name)
		if err != nil {
			_, err = store.Create(t.Context(), object)
		} else {
			object.Version = current.Version
			_, err = store.Update(t.Context(), object)
		}
		assert.NilError(t, err)
	}
	write(1)
	copied := store.Copy()
	write(2)
	first := runRoutingNode(t, store)
	defer first.stop()
	first.waitForLabel(t, "2")
	store.Restore(copied)
	second := runRoutingNode(t, store)
	defer second.stop()
	second.waitForLabel(t, "2")
	time.Sleep(3500 * time.Millisecond) // several reads of the restored copy
	assert.Equal(t, first.label(), "2", "the configuration went back to the copy")
	assert.Equal(t, second.label(), "2")
	write(2)
	write(3)
	first.waitForLabel(t, "3")
	second.waitForLabel(t, "3")
}

// Guards against taking for deleted what a restored copy lacks, and against keeping
// it for good.
func TestRestoredCopyHoldsDeletions(t *testing.T) {
	var restored restoredCopy
	restored.observe(1000, 3)
	assert.Assert(t, !restored.holds(1000, bulrushchute.StoreVersion(3, 9)), "deleted in the same era")
	restored.observe(2000, 4)
	assert.Assert(t, restored.holds(2000+restoreHold-1, bulrushchute.StoreVersion(3, 9)))
	assert.Assert(t, !restored.holds(2000+restoreHold, bulrushchute.StoreVersion(3, 9)))
	assert.Assert(t, !restored.holds(2000, bulrushchute.StoreVersion(4, 9)))
}
