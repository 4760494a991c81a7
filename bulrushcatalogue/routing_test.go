package bulrushcatalogue

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

func newEntry(service bulrushchute.Service) ServiceEntry {
	return ServiceEntry{Service: service, Owner: "towpath"}.WithDefaults()
}

func storeVersion(version uint64) bulrushchute.RecordVersion {
	return bulrushchute.RecordVersion{Counter: version}
}

func newTable(prefixes ...string) RoutingTable {
	table := RoutingTable{Label: "7", Services: []ServiceEntry{newEntry("board")}}
	for _, prefix := range prefixes {
		table.Routes = append(table.Routes, HostRoute{
			Name: "r" + prefix, Host: "Board.example", Prefix: prefix, TimeoutMs: 1000,
			Targets: []Target{{Service: "board", Weight: 1}},
		})
	}
	return table
}

// Guards against sending a request to the route of a shorter prefix or of
// another host.
func TestRoutingMatch(t *testing.T) {
	routing := newRouting(newTable("/a/", "/", "/a/b/"), storeVersion(1))
	cases := map[string]struct{ host, path, want string }{
		"longest prefix":   {"board.example", "/a/b/c", "r/a/b/"},
		"shorter prefix":   {"board.example", "/a/c", "r/a/"},
		"segment boundary": {"board.example", "/ab", "r/"},
		"host with a port": {"BOARD.example:8080", "/a/", "r/a/"},
		"unknown host":     {"other.example", "/a/", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if route := routing.Match(tc.host, tc.path); route != nil {
				got = route.Name
			}
			assert.Equal(t, got, tc.want)
		})
	}
}

// Guards against a new table that takes effect only in part, so that services
// and routes of the previous table remain, and against an older table that
// arrives late and replaces a newer one.
func TestWithRouting(t *testing.T) {
	first := newTable("/a/")
	second := newTable()
	second.Services = []ServiceEntry{newEntry("ledger")}
	set := Set{}.WithRouting(first, storeVersion(4)).WithRouting(second, storeVersion(6)).WithRouting(first, storeVersion(5))
	_, board := set.Service("board")
	_, ledger := set.Service("ledger")
	assert.Assert(t, !board && ledger)
	assert.Equal(t, set.Routing().Version, storeVersion(6))
	assert.Assert(t, set.Routing().Match("board.example", "/a/") == nil)
}

// Guards against accepting an invalid table, such as one that refers to unknown
// services or has no weights.
func TestParseRoutingRejects(t *testing.T) {
	cases := map[string]func(*RoutingTable){
		"unknown service":   func(rt *RoutingTable) { rt.Routes[0].Targets[0].Service = "other" },
		"zero weight":       func(rt *RoutingTable) { rt.Routes[0].Targets[0].Weight = 0 },
		"zero timeout":      func(rt *RoutingTable) { rt.Routes[0].TimeoutMs = 0 },
		"relative prefix":   func(rt *RoutingTable) { rt.Routes[0].Prefix = "a" },
		"duplicate service": func(rt *RoutingTable) { rt.Services = append(rt.Services, rt.Services[0]) },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTable("/a/")
			invalidate(&table)
			document, err := table.Encode()
			assert.NilError(t, err)
			_, err = ParseRouting(document)
			assert.ErrorType(t, err, (*bulrushchute.FieldError)(nil))
		})
	}
}

// Guards against an ordered move that the service's entry does not include, or
// still includes after its order was deleted.
func TestMoveOrder(t *testing.T) {
	set := Set{}.WithRouting(newTable("/a/"), storeVersion(4))
	order := MoveOrder{Service: "board", Generation: 9, ToVersion: "v2", WithinMs: 12_000}
	entry, _ := set.WithMoveOrder(order, 9).Service("board")
	assert.Assert(t, entry.Move != nil && entry.Move.ToVersion == "v2")
	assert.Assert(t, entry.Move.IsOldVersion("v1") && !entry.Move.IsOldVersion("v2"))
	entry, _ = set.WithMoveOrder(order, 9).WithoutMoveOrder("board", 10).Service("board")
	assert.Assert(t, entry.Move == nil)
}

// Guards against a move that starts again, or loses its outcome, because the store
// was restored from a copy and the operator wrote the order again at another
// revision. An order for another version is a new move.
func TestMoveOrderSurvivesARestoreOfTheStore(t *testing.T) {
	order := MoveOrder{Service: "board", Generation: bulrushchute.StoreVersion(1, 70), ToVersion: "v2", WithinMs: 16_000, Outcome: MoveRolledBack}
	set := Set{}.WithMoveOrder(order, bulrushchute.StoreVersion(1, 80))

	again := order
	again.Generation, again.Outcome = bulrushchute.StoreVersion(2, 65), ""
	restored := set.WithMoveOrder(again, bulrushchute.StoreVersion(2, 65)).OrderedMove("board")
	assert.Equal(t, restored.Generation, order.Generation)
	assert.Equal(t, restored.Outcome, MoveRolledBack)

	next := again
	next.ToVersion = "v3"
	replaced := set.WithMoveOrder(next, bulrushchute.StoreVersion(2, 66)).OrderedMove("board")
	assert.Equal(t, replaced.Generation, next.Generation)
	assert.Equal(t, replaced.Outcome, MoveOutcome(""))
}

// Guards against a document that is accepted without a check of its structure but
// would not pass it.
func FuzzDecodeCanonical(f *testing.F) {
	document, err := tenantTable().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(document)
	for _, text := range []string{`{"label":"7","routes":null,"services":[]}`, `{"label":"null","routes":[],"services":[]}`, `{"label":"","label":""}`, `{}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		if _, ok := decodeCanonical[RoutingTable](document); ok {
			assert.NilError(t, checkStructure(document, &RoutingTable{}))
		}
	})
}

// Guards against tables of other nodes that take the slow path of decode.
func TestEncodedTableIsCanonical(t *testing.T) {
	for name, table := range map[string]RoutingTable{"routes": newTable("/a/", "/é<&/"), "tenants": tenantTable()} {
		t.Run(name, func(t *testing.T) {
			document, err := table.Encode()
			assert.NilError(t, err)
			_, ok := decodeCanonical[RoutingTable](document)
			assert.Assert(t, ok, "%s", document)
		})
	}
}
