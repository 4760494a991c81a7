package bulrushcatalogue

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

func entryOf(service bulrushchute.Service) ServiceEntry {
	return ServiceEntry{Service: service, Owner: "towpath"}.WithDefaults()
}

func tableOf(prefixes ...string) RoutingTable {
	table := RoutingTable{Label: "7", Services: []ServiceEntry{entryOf("board")}}
	for _, prefix := range prefixes {
		table.Routes = append(table.Routes, HostRoute{
			Name: "r" + prefix, Host: "Board.example", Prefix: prefix, TimeoutMs: 1000,
			Targets: []Target{{Service: "board", Weight: 1}},
		})
	}
	return table
}

// Guards against a request that goes to a shorter prefix's route, or to the
// route of another host.
func TestRoutingMatch(t *testing.T) {
	routing := newRouting(tableOf("/a/", "/", "/a/b/"), 1)
	cases := map[string]struct{ host, path, want string }{
		"longest prefix":       {"board.example", "/a/b/c", "r/a/b/"},
		"shorter prefix":       {"board.example", "/a/c", "r/a/"},
		"prefix ends in slash": {"board.example", "/ab", "r/"},
		"host with a port":     {"BOARD.example:8080", "/a/", "r/a/"},
		"another host":         {"other.example", "/a/", ""},
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

// Guards against a table that takes effect in part: a service that the new
// table no longer holds, or an older table that comes late.
func TestWithRouting(t *testing.T) {
	first := tableOf("/a/")
	second := tableOf()
	second.Services = []ServiceEntry{entryOf("ledger")}
	set := Set{}.WithRouting(first, 4).WithRouting(second, 6).WithRouting(first, 5)
	_, board := set.Service("board")
	_, ledger := set.Service("ledger")
	assert.Assert(t, !board && ledger)
	assert.Equal(t, set.Routing().Version, uint64(6))
	assert.Assert(t, set.Routing().Match("board.example", "/a/") == nil)
}

// Guards against a table that names unknown services or no weight, in force.
func TestParseRoutingRefuses(t *testing.T) {
	cases := map[string]func(*RoutingTable){
		"unknown service": func(rt *RoutingTable) { rt.Routes[0].Targets[0].Service = "other" },
		"no weight":       func(rt *RoutingTable) { rt.Routes[0].Targets[0].Weight = 0 },
		"no timeout":      func(rt *RoutingTable) { rt.Routes[0].TimeoutMs = 0 },
		"prefix":          func(rt *RoutingTable) { rt.Routes[0].Prefix = "a" },
		"two of a name":   func(rt *RoutingTable) { rt.Services = append(rt.Services, rt.Services[0]) },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			table := tableOf("/a/")
			spoil(&table)
			document, err := table.Encode()
			assert.NilError(t, err)
			_, err = ParseRouting(document)
			assert.ErrorType(t, err, (*bulrushchute.FieldError)(nil))
		})
	}
}

// Guards against an ordered move that is not seen, or that outlives its order.
func TestMoveOrder(t *testing.T) {
	set := Set{}.WithRouting(tableOf("/a/"), 4)
	order := MoveOrder{Service: "board", Generation: 9, ToVersion: "v2", WithinMs: 12_000}
	entry, _ := set.WithMoveOrder(order, 9).Service("board")
	assert.Assert(t, entry.Move != nil && entry.Move.ToVersion == "v2")
	assert.Assert(t, entry.Move.IsOld("v1") && !entry.Move.IsOld("v2"))
	entry, _ = set.WithMoveOrder(order, 9).WithoutMoveOrder("board", 10).Service("board")
	assert.Assert(t, entry.Move == nil)
}
