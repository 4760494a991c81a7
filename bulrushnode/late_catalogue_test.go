package bulrushnode

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// largeRouting returns a version of a routing table with many routes.
func largeRouting(t *testing.T, version, routes int) bulrushchute.Object {
	table := bulrushcatalogue.RoutingTable{
		Label:    strconv.Itoa(version),
		Services: []bulrushcatalogue.ServiceEntry{bulrushcatalogue.ServiceEntry{Service: "board", Owner: "test"}.WithDefaults()},
	}
	for i := range routes {
		table.Routes = append(table.Routes, bulrushcatalogue.HostRoute{
			Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("host-%d.example", i%50), Prefix: fmt.Sprintf("/prefix-%d/", i), TimeoutMs: 1000,
			Targets: []bulrushcatalogue.Target{{Service: "board", Weight: float64(1 + version)}},
		})
	}
	value, err := table.Encode()
	assert.NilError(t, err)
	return bulrushchute.Object{Kind: bulrushchute.KindRouting, Name: "main", Value: value, OperatorVersion: uint64(version)}
}

// timeToParse returns the time that a node takes to decompress and parse a table.
func timeToParse(t *testing.T, object bulrushchute.Object) time.Duration {
	packed := compressValue(object.Value)
	begin := time.Now()
	value, err := decompressValue(packed)
	assert.NilError(t, err)
	_, err = bulrushcatalogue.ParseRouting(value)
	assert.NilError(t, err)
	return time.Since(begin)
}

// routesToParseIn returns how many routes of a table a node parses in the given time,
// so that a test has the same load with and without the race detector.
func routesToParseIn(t *testing.T, span time.Duration) int {
	// An object of the store has 1 MB at most.
	const sample, most = 1000, 2500
	best := time.Hour
	for range 3 {
		best = min(best, timeToParse(t, largeRouting(t, 1, sample)))
	}
	return min(most, int(sample*span/best))
}

// write stores an object in place of its current version.
func (f *routingFleet) write(t *testing.T, object bulrushchute.Object) {
	current, err := f.memory.Get(t.Context(), object.Kind, object.Name)
	assert.NilError(t, err)
	object.Version = current.Version
	_, err = f.memory.Update(t.Context(), object)
	assert.NilError(t, err)
}

// Guards against control messages, such as heartbeats, confirmations and the records
// that are passed on, that wait while a large table is applied.
func TestControlWaitsForALargeTable(t *testing.T) {
	f := newRoutingFleet(t, 2)
	defer f.close(t)
	f.awaitReaders(t)
	routes := routesToParseIn(t, 250*time.Millisecond)
	last := f.nodes[1]
	toParse, shortest := time.Hour, time.Hour
	// The machine may delay a goroutine now and then. Control that applies the tables
	// itself is busy with each of them.
	for version := 2; version < 7; version++ {
		table := largeRouting(t, version, routes)
		toParse = min(toParse, timeToParse(t, table))
		f.write(t, table)
		var longest time.Duration
		for last.label() != strconv.Itoa(version) {
			begin := time.Now()
			last.control.do(t.Context(), func(bulrushchute.Millis) {})
			longest = max(longest, time.Since(begin))
			time.Sleep(time.Millisecond)
		}
		shortest = min(shortest, longest)
	}
	assert.Assert(t, shortest < toParse/2, "control was busy for %s, the table takes %s to parse", shortest, toParse)
}

// Guards against a node that says that its catalogue is current, and refuses a route
// for good, while the newest version cannot be read and an older one is in force.
func TestTableThatIsNotInForceCountsAsCurrent(t *testing.T) {
	f := newRoutingFleet(t, 2)
	defer f.close(t)
	f.awaitReaders(t)
	for _, node := range f.nodes {
		assert.Equal(t, node.statusOf(t, "unknown.example"), http.StatusNotFound)
	}
	object := routingOf(t, 2)
	object.Value = []byte(`{"label":"2","routes":[],"services":[],"unknown_field":true}`)
	f.write(t, object)
	time.Sleep(inForceWithin)
	for _, node := range f.nodes {
		assert.Equal(t, node.label(), "1")
		assert.Equal(t, node.statusOf(t, "unknown.example"), http.StatusServiceUnavailable)
	}
	f.write(t, routingOf(t, 3))
	for _, node := range f.nodes {
		node.assertInForce(t, "3")
	}
	time.Sleep(inForceWithin)
	for _, node := range f.nodes {
		assert.Equal(t, node.statusOf(t, "unknown.example"), http.StatusNotFound)
	}
}

// Guards against a node that counts as out of date for good, because of a record that does
// not decide routes and that this release cannot read.
func TestUnreadableRecordOfAnotherKindDoesNotMatter(t *testing.T) {
	cases := map[string]struct {
		name       string
		incomplete bool
	}{
		"routing table":           {"routing/main", true},
		"other routing object":    {"routing/other", false},
		"service":                 {"services/board", true},
		"data centre":             {"datacentres/ub-1", false},
		"move order":              {"moveorders/board", false},
		"kind of a later release": {"policies/board", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			n := New(nodeSettings(t), bulrushstore.NewMemory(), bulrushchute.NewManualClock(1_000_000))
			n.control.onCatalogue(1_000_000, bulrushchute.Record{
				Key:     bulrushchute.RecordKey{Topic: bulrushchute.TopicCatalogue, Name: tc.name},
				Version: bulrushchute.RecordVersion{Counter: 3},
				Value:   compressValue([]byte("unreadable")),
			})
			assert.Equal(t, n.control.summarizeCatalogue().Incomplete, tc.incomplete)
		})
	}
}

// Guards against versions that are parsed although a newer one has arrived, and against
// an older version that comes into force after a newer one.
func TestSupersededVersionsAreNotParsed(t *testing.T) {
	n := New(nodeSettings(t), bulrushstore.NewMemory(), bulrushchute.NewManualClock(1_000_000))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.control.run(ctx) }()
	defer func() {
		stop()
		assert.NilError(t, <-ended)
	}()
	publish := func(object bulrushchute.Object) {
		n.control.do(ctx, func(now bulrushchute.Millis) { n.control.publishObject(now, object, false) })
	}
	for version := 2; version < 50; version++ {
		object := largeRouting(t, version, 1000)
		object.Version = uint64(version)
		publish(object)
	}
	record, found := n.control.largeRecords.take()
	assert.Assert(t, found)
	assert.Equal(t, record.Version.Counter, uint64(49))
	_, found = n.control.largeRecords.take()
	assert.Assert(t, !found)

	small := routingOf(t, 50)
	small.Version = 50
	publish(small)
	n.control.do(ctx, func(now bulrushchute.Millis) {
		n.control.applyCatalogue(now, parseCatalogueRecord(record, bulrushcatalogue.ParseRouting))
	})
	assert.Equal(t, n.board.Read().Catalogue.Routing().Label, "50")
	assert.Equal(t, len(n.control.notInForce), 0)
}

// staleOnlyStore is a store that answers stale lists only.
type staleOnlyStore struct {
	*outageStore
}

func (s *staleOnlyStore) ListStale(ctx context.Context, kind bulrushchute.Kind) ([]bulrushchute.Object, uint64, error) {
	return s.Memory.List(ctx, kind)
}

// Guards against nodes that start from stale lists and take each other's equal copies
// for a confirmation: the table may have changed since.
func TestStaleStartsDoNotConfirmEachOther(t *testing.T) {
	memory := bulrushstore.NewMemory()
	_, err := memory.Create(t.Context(), routingOf(t, 1))
	assert.NilError(t, err)
	var nodes []runningNode
	var seeds []bulrushchute.Address
	for range 2 {
		store := &staleOnlyStore{&outageStore{Memory: memory}}
		store.down.Store(true)
		settings := nodeSettings(t)
		settings.SeedAddresses = seeds
		node := runNodeWithOptions(settings, store, Options{Kinds: []bulrushchute.Kind{bulrushchute.KindRouting}})
		defer node.stop()
		nodes = append(nodes, node)
		seeds = append(seeds, settings.PeerAddress)
	}
	nodes[0].waitForMember(t, nodes[1].id)
	time.Sleep(inForceWithin)
	for _, node := range nodes {
		assert.Equal(t, node.label(), "1")
		assert.Equal(t, node.statusOf(t, "unknown.example"), http.StatusServiceUnavailable)
	}
}
