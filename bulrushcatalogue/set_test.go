package bulrushcatalogue_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Guards against a request that gets the properties of the wrong route, above
// all one that is repeated although its route is not idempotent.
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
		want         bulrushcatalogue.Resolved
	}{
		"prefix alone":             {"GET", "/pay", bulrushcatalogue.Resolved{Route: "all", Idempotent: true, Class: bulrushchute.ClassStandard, TimeoutMs: 100}},
		"method outranks none":     {"POST", "/pay/1", bulrushcatalogue.Resolved{Route: "post", Class: bulrushchute.ClassStandard, TimeoutMs: 900}},
		"longest prefix":           {"POST", "/pay/quote/2?a=/claim", bulrushcatalogue.Resolved{Route: "quote", Idempotent: true, Class: bulrushchute.ClassBulk, TimeoutMs: 900}},
		"segment bound":            {"DELETE", "/pay/quotes", bulrushcatalogue.Resolved{Route: "all", Idempotent: true, Class: bulrushchute.ClassStandard, TimeoutMs: 100}},
		"no route":                 {"PATCH", "/payer", bulrushcatalogue.Resolved{Route: "default", Class: bulrushchute.ClassStandard, TimeoutMs: 900}},
		"route denies":             {"GET", "/claim/1", bulrushcatalogue.Resolved{Route: "claim", Class: bulrushchute.ClassStandard, TimeoutMs: 900}},
		"dots may lead elsewhere":  {"POST", "/pay/quote/../1", bulrushcatalogue.Resolved{Route: "quote", Class: bulrushchute.ClassBulk, TimeoutMs: 900}},
		"encoding of a denied one": {"GET", "/cl%61im", bulrushcatalogue.Resolved{Route: "default", Class: bulrushchute.ClassStandard, TimeoutMs: 900}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, bulrushcatalogue.Resolve(entry, tc.method, tc.path), tc.want)
		})
	}
}

// Guards against changes that the operator is not shown, and against a change
// of order that is shown as one.
func TestDiff(t *testing.T) {
	yes := true
	old := bulrushcatalogue.ServiceEntry{Service: "a", Owner: "o", Subset: 3, Routes: []bulrushcatalogue.Route{{Name: "x", Prefix: "/x"}, {Name: "y", Prefix: "/y"}}}
	changed := bulrushcatalogue.ServiceEntry{Service: "a", Owner: "p", Routes: []bulrushcatalogue.Route{{Name: "y", Prefix: "/y"}, {Name: "x", Prefix: "/x", Idempotent: &yes}}}
	assert.Equal(t, bulrushcatalogue.Diff(old, changed).String(), "~ owner: o -> p\n- subset: 3\n+ routes[x].idempotent: true")
	assert.Equal(t, len(bulrushcatalogue.Diff(old, old)), 0)
	off := bulrushcatalogue.DataCentreEntry{DataCentre: "d", State: bulrushcatalogue.DataCentreWithdrawn}
	assert.Equal(t, bulrushcatalogue.Diff(bulrushcatalogue.DataCentreEntry{}, off).String(), "+ data_centre: d\n+ state: withdrawn")
}

// Guards against an entry that reverts: whatever the order in which versions
// arrive and are repeated, the newest one is in force and the set that was
// built on stays as it was.
func TestSetNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set bulrushcatalogue.Set
		newest := uint64(0)
		for _, version := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "versions") {
			before, known := set.Service("a")
			next := set.WithService(bulrushcatalogue.ServiceEntry{Service: "a", Subset: int(version)}, version)
			if version%3 == 0 {
				next = set.WithoutService("a", version)
			}
			after, still := set.Service("a")
			assert.Equal(t, before.Subset, after.Subset)
			assert.Equal(t, known, still)
			set, newest = next, max(newest, version)
			entry, ok := set.Service("a")
			assert.Equal(t, set.ServiceVersion("a"), newest)
			assert.Equal(t, ok, newest%3 != 0)
			assert.Assert(t, !ok || entry.Subset == int(newest))
		}
	})
}

// Guards against callers that change an entry inside a set through shared slices.
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

// Guards against a node that counts as ready with a catalogue of deleted entries only.
func TestHasServices(t *testing.T) {
	set := bulrushcatalogue.Set{}
	assert.Assert(t, !set.HasServices())
	set = set.WithService(bulrushcatalogue.ServiceEntry{Service: "board"}, 1)
	assert.Assert(t, set.HasServices())
	assert.Assert(t, !set.WithoutService("board", 2).HasServices())
}
