package bulrushcatalogue_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Guards against applying the properties of the wrong route, most of all
// against retrying a request whose route is not idempotent.
func TestResolve(t *testing.T) {
	yes, no := true, false
	entry := bulrushcatalogue.ServiceEntry{Service: "payouts", TimeoutMs: 900, Routes: []bulrushcatalogue.Route{
		{Name: "all", Prefix: "/pay", TimeoutMs: 100},
		{Name: "post", Prefix: "/pay", Methods: []string{"POST"}},
		{Name: "quote", Prefix: "/pay/quote", Idempotent: &yes, Class: "bulk"},
		{Name: "claim", Prefix: "/claim", Idempotent: &no},
	}}
	cases := map[string]struct {
		method, path string
		want         bulrushcatalogue.RequestPolicy
	}{
		"prefix without method":       {"GET", "/pay", bulrushcatalogue.RequestPolicy{Route: "all", Idempotent: true, Class: bulrushchute.ClassStandard, TimeoutMs: 100}},
		"listed method wins":          {"POST", "/pay/1", bulrushcatalogue.RequestPolicy{Route: "post", Class: bulrushchute.ClassStandard, TimeoutMs: 900}},
		"longest prefix":              {"POST", "/pay/quote/2?a=/claim", bulrushcatalogue.RequestPolicy{Route: "quote", Idempotent: true, Class: bulrushchute.ClassBulk, TimeoutMs: 900}},
		"segment boundary":            {"DELETE", "/pay/quotes", bulrushcatalogue.RequestPolicy{Route: "all", Idempotent: true, Class: bulrushchute.ClassStandard, TimeoutMs: 100}},
		"no route":                    {"PATCH", "/payer", bulrushcatalogue.RequestPolicy{Route: "default", Class: bulrushchute.ClassStandard, TimeoutMs: 900}},
		"non-idempotent route":        {"GET", "/claim/1", bulrushcatalogue.RequestPolicy{Route: "claim", Class: bulrushchute.ClassStandard, TimeoutMs: 900}},
		"dot segment":                 {"POST", "/pay/quote/../1", bulrushcatalogue.RequestPolicy{Route: "quote", Class: bulrushchute.ClassBulk, TimeoutMs: 900}},
		"encoded non-idempotent path": {"GET", "/cl%61im", bulrushcatalogue.RequestPolicy{Route: "default", Class: bulrushchute.ClassStandard, TimeoutMs: 900}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, bulrushcatalogue.Resolve(entry, tc.method, tc.path), tc.want)
		})
	}
}

// Guards against changes that the operator is not shown, and against reporting
// a different order of routes as a change.
func TestDiff(t *testing.T) {
	yes := true
	old := bulrushcatalogue.ServiceEntry{Service: "a", Owner: "o", Subset: 3, Routes: []bulrushcatalogue.Route{{Name: "x", Prefix: "/x"}, {Name: "y", Prefix: "/y"}}}
	updated := bulrushcatalogue.ServiceEntry{Service: "a", Owner: "p", Routes: []bulrushcatalogue.Route{{Name: "y", Prefix: "/y"}, {Name: "x", Prefix: "/x", Idempotent: &yes}}}
	assert.Equal(t, bulrushcatalogue.Diff(old, updated).String(), "~ owner: o -> p\n- subset: 3\n+ routes[x].idempotent: true")
	assert.Equal(t, len(bulrushcatalogue.Diff(old, old)), 0)
	withdrawn := bulrushcatalogue.DataCentreEntry{DataCentre: "d", State: bulrushcatalogue.DataCentreWithdrawn}
	assert.Equal(t, bulrushcatalogue.Diff(bulrushcatalogue.DataCentreEntry{}, withdrawn).String(), "+ data_centre: d\n+ state: withdrawn")
}

// Guards against reverting to an older entry. In whatever order versions arrive
// and are repeated, the newest one must be in force, and an update must not
// modify the set that it starts from.
func TestSetNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set bulrushcatalogue.Set
		newest := uint64(0)
		for _, version := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "versions") {
			before, existedBefore := set.Service("a")
			next := set.WithService(bulrushcatalogue.ServiceEntry{Service: "a", Subset: int(version)}, version)
			if version%3 == 0 {
				next = set.WithoutService("a", version)
			}
			after, existsAfter := set.Service("a")
			assert.Equal(t, before.Subset, after.Subset)
			assert.Equal(t, existedBefore, existsAfter)
			set, newest = next, max(newest, version)
			entry, ok := set.Service("a")
			assert.Equal(t, set.ServiceVersion("a"), newest)
			assert.Equal(t, ok, newest%3 != 0)
			assert.Assert(t, !ok || entry.Subset == int(newest))
		}
	})
}

// Guards against callers that modify an entry inside a set through shared
// slices, and against an older deletion that arrives late and removes an entry.
func TestSetCopiesEntries(t *testing.T) {
	routes := []bulrushcatalogue.Route{{Name: "a", Prefix: "/a", Methods: []string{"GET"}}}
	var set bulrushcatalogue.Set
	set = set.WithService(bulrushcatalogue.ServiceEntry{Service: "s", Routes: routes}, 1)
	set = set.WithDataCentre(bulrushcatalogue.DataCentreEntry{DataCentre: "d"}, 4).WithoutDataCentre("d", 3)
	routes[0].Methods[0] = "PUT"
	entry, _ := set.Service("s")
	assert.Equal(t, entry.Routes[0].Methods[0], "GET")
	assert.DeepEqual(t, set.Services(), []bulrushchute.Service{"s"})
	assert.DeepEqual(t, set.DataCentres(), []bulrushchute.DataCentre{"d"})
	assert.Equal(t, set.DataCentreVersion("d"), uint64(4))
}

// Guards against a node that counts as ready although its catalogue contains
// only deleted entries.
func TestHasServices(t *testing.T) {
	set := bulrushcatalogue.Set{}
	assert.Assert(t, !set.HasServices())
	set = set.WithService(bulrushcatalogue.ServiceEntry{Service: "board"}, 1)
	assert.Assert(t, set.HasServices())
	assert.Assert(t, !set.WithoutService("board", 2).HasServices())
}
