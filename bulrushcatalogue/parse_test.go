package bulrushcatalogue_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

func Example() {
	entry, err := bulrushcatalogue.ParseService([]byte(`{
		"service": "defect-board",
		"owner": "towpath",
		"routes": [{"name": "search", "prefix": "/defects/search", "idempotent": true, "class": "critical"}]
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	resolved := bulrushcatalogue.Resolve(entry, "POST", "/defects/search?open=1")
	fmt.Println(resolved.Route, resolved.Class, resolved.Idempotent, resolved.TimeoutMs)

	_, err = bulrushcatalogue.ParseService([]byte(`{"service": "defect-board", "owner": "towpath", "limits": {"cold_slots": 12}}`))
	fmt.Println(err)
	// Output:
	// search critical true 5000
	// field limits.cold_slots: value "12" is not allowed, want at most limits.slots, 10
}

func serviceDocument(fields string) string {
	return `{"service": "ledger", "owner": "towpath"` + fields + `}`
}

// Guards against accepting an entry with a field that is misspelled,
// duplicated, of the wrong type, out of range or inconsistent with another
// field, and against errors that do not name the field.
func TestParseServiceRejects(t *testing.T) {
	cases := map[string]struct {
		document, field string
	}{
		"not JSON":                       {`{`, "document"},
		"empty":                          {``, "document"},
		"two documents":                  {serviceDocument("") + "{}", "document"},
		"list":                           {`[]`, "document"},
		"null":                           {`null`, "document"},
		"unknown field":                  {serviceDocument(`, "slots": 3`), "slots"},
		"unknown nested field":           {serviceDocument(`, "limits": {"slot": 3}`), "limits.slot"},
		"wrong letter case":              {serviceDocument(`, "Limits": {}`), "Limits"},
		"duplicate field":                {serviceDocument(`, "owner": "b"`), "owner"},
		"null field":                     {serviceDocument(`, "move": null`), "move"},
		"wrong type":                     {serviceDocument(`, "limits": {"slots": "3"}`), "limits.slots"},
		"fraction":                       {serviceDocument(`, "limits": {"slots": 1.5}`), "limits.slots"},
		"explicit zero":                  {serviceDocument(`, "limits": {"cold_slots": 0}`), "limits.cold_slots"},
		"negative":                       {serviceDocument(`, "limits": {"queue": -1}`), "limits.queue"},
		"number too large":               {serviceDocument(`, "timeout_ms": 99999999999999999999`), "timeout_ms"},
		"missing owner":                  {`{"service": "ledger"}`, "owner"},
		"invalid service name":           {`{"service": "Ledger.x", "owner": "a"}`, "service"},
		"unknown class":                  {serviceDocument(`, "class": "urgent"`), "class"},
		"cold slots over slots":          {serviceDocument(`, "limits": {"slots": 2, "cold_slots": 3}`), "limits.cold_slots"},
		"connections under slots":        {serviceDocument(`, "limits": {"slots": 300}`), "limits.connections"},
		"negative probe budget":          {serviceDocument(`, "probe": {"budget_per_s": -1}`), "probe.budget_per_s"},
		"relative health path":           {serviceDocument(`, "probe": {"health_path": "health"}`), "probe.health_path"},
		"unknown route class":            {serviceDocument(`, "routes": [{"name": "a", "prefix": "/", "class": "x"}]`), "routes[0].class"},
		"route prefix with trailing /":   {serviceDocument(`, "routes": [{"name": "a", "prefix": "/a/"}]`), "routes[0].prefix"},
		"route prefix with dot segment":  {serviceDocument(`, "routes": [{"name": "a", "prefix": "/a/../b"}]`), "routes[0].prefix"},
		"lower-case route method":        {serviceDocument(`, "routes": [{"name": "a", "prefix": "/a", "methods": ["get"]}]`), "routes[0].methods[0]"},
		"duplicate route method":         {serviceDocument(`, "routes": [{"name": "a", "prefix": "/a", "methods": ["GET", "GET"]}]`), "routes[0].methods"},
		"duplicate route name":           {serviceDocument(`, "routes": [{"name": "a", "prefix": "/a"}, {"name": "a", "prefix": "/b"}]`), "routes[1].name"},
		"duplicate route prefix":         {serviceDocument(`, "routes": [{"name": "a", "prefix": "/a"}, {"name": "b", "prefix": "/a"}]`), "routes[1].prefix"},
		"duplicate prefix and method":    {serviceDocument(`, "routes": [{"name": "a", "prefix": "/a", "methods": ["GET"]}, {"name": "b", "prefix": "/a", "methods": ["PUT", "GET"]}]`), "routes[1].methods[1]"},
		"default route with a prefix":    {serviceDocument(`, "routes": [{"name": "default", "prefix": "/a"}]`), "routes[0].prefix"},
		"zero tenant weight":             {serviceDocument(`, "tenants": [{"tenant": "a", "weight": 0}]`), "tenants[0].weight"},
		"duplicate tenant":               {serviceDocument(`, "tenants": [{"tenant": "a", "weight": 1}, {"tenant": "a", "weight": 2}]`), "tenants[1].tenant"},
		"move to the same version":       {serviceDocument(`, "move": {"generation": 1, "from_version": "1", "to_version": "1", "complete_by_ms": 5}`), "move.to_version"},
		"move without generation":        {serviceDocument(`, "move": {"from_version": "1", "to_version": "2", "complete_by_ms": 5}`), "move.generation"},
		"move without deadline":          {serviceDocument(`, "move": {"generation": 1, "from_version": "1", "to_version": "2"}`), "move.complete_by_ms"},
		"stable version not in the move": {serviceDocument(`, "stable_version": "0", "move": {"generation": 1, "from_version": "1", "to_version": "2", "complete_by_ms": 5}`), "stable_version"},
		"stable version with a space":    {serviceDocument(`, "stable_version": "1 2"`), "stable_version"},
		"document too large":             {serviceDocument(`, "class": "` + strings.Repeat("x", bulrushchute.MaxObjectBytes) + `"`), "document"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := bulrushcatalogue.ParseService([]byte(tc.document))
			var field *bulrushchute.FieldError
			assert.Assert(t, errors.As(err, &field), "%v", err)
			assert.Equal(t, field.Field, tc.field, "%v", err)
			assert.Assert(t, field.Allowed != "")
		})
	}
}

// Guards against rejecting a complete, valid entry, and against defaults that
// are missing after parsing.
func TestParseServiceAccepts(t *testing.T) {
	entry, err := bulrushcatalogue.ParseService([]byte(serviceDocument(`,
		"class": "bulk", "timeout_ms": 100, "stable_version": "1.0", "subset": 4,
		"limits": {"slots": 20, "connections": 260, "cold_slots": 2},
		"probe": {"budget_per_s": 0.5},
		"routes": [{"name": "a", "prefix": "/a"}, {"name": "b", "prefix": "/a", "methods": ["POST"], "idempotent": false}],
		"tenants": [{"tenant": "CN=one", "weight": 3}],
		"move": {"generation": 18446744073709551615, "from_version": "1.0", "to_version": "1.1+x", "complete_by_ms": 1}`)))
	assert.NilError(t, err)
	assert.Equal(t, entry.Limits.WarmMs, bulrushcatalogue.DefaultWarmMs)
	assert.Equal(t, entry.Limits.ColdSlots, 2)
	assert.Equal(t, *entry.Routes[1].Idempotent, false)
}

// Guards against errors that do not identify the entry, and against two entries
// with the same name, of which one would be lost.
func TestParseFile(t *testing.T) {
	ledger := serviceDocument("")
	file, err := bulrushcatalogue.ParseFile([]byte(`{"services": [` + ledger + `], "data_centres": [{"data_centre": "ub-1", "region": "ub", "state": "withdrawn"}]}`))
	assert.NilError(t, err)
	assert.Equal(t, file.DataCentres[0].ReturnRampMs, bulrushcatalogue.DefaultReturnRampMs)

	cases := map[string]struct {
		document, field string
	}{
		"nested field":               {`{"services": [` + ledger + `, {"service": "b", "owner": "o", "subset": -1}]}`, "services[1].subset"},
		"duplicate service":          {`{"services": [` + ledger + `, ` + ledger + `]}`, "services[1].service"},
		"unknown field":              {`{"services": [{"x": 1}]}`, "services[0].x"},
		"unknown data centre state":  {`{"data_centres": [{"data_centre": "a", "region": "r", "state": "off"}]}`, "data_centres[0].state"},
		"incomplete change":          {`{"services": [{"service": "a", "owner": "o", "change": {"writer": "w", "at_ms": 1}}]}`, "services[0].change.by"},
		"unknown base kind":          {`{"based_on": [{"kind": "moves", "name": "a", "version": 1}]}`, "based_on[0].kind"},
		"duplicate base":             {`{"based_on": [{"kind": "services", "name": "a", "version": 1}, {"kind": "services", "name": "a", "version": 1}]}`, "based_on[1].name"},
		"base of another service":    {`{"based_on": [{"kind": "services", "name": "a", "version": 1, "service": {"service": "b", "owner": "o"}}]}`, "based_on[0].service.service"},
		"missing data centre region": {`{"data_centres": [{"data_centre": "a", "state": "lost"}]}`, "data_centres[0].region"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := bulrushcatalogue.ParseFile([]byte(tc.document))
			var field *bulrushchute.FieldError
			assert.Assert(t, errors.As(err, &field), "%v", err)
			assert.Equal(t, field.Field, tc.field)
		})
	}
}

// Guards against a parser that rejects the change field, and against a diff
// that reports this field, which differs after every write.
func TestDiffIgnoresLastChange(t *testing.T) {
	withoutChange, err := bulrushcatalogue.ParseService([]byte(serviceDocument("")))
	assert.NilError(t, err)
	withChange, err := bulrushcatalogue.ParseService([]byte(serviceDocument(`, "change": {"writer": "w-1", "by": "ann", "at_ms": 5}`)))
	assert.NilError(t, err)
	assert.Equal(t, withChange.LastChange.By, "ann")
	assert.Equal(t, len(bulrushcatalogue.Diff(withoutChange, withChange)), 0)
	assert.Equal(t, len(bulrushcatalogue.Diff(withChange, withoutChange)), 0)
}

// Guards against accepting an update that gives a different move the generation
// of the previous one.
func TestCheckUpdate(t *testing.T) {
	first := bulrushcatalogue.ServiceEntry{Service: "a", Move: &bulrushcatalogue.Move{Generation: 2, FromVersion: "1", ToVersion: "2", CompleteByMs: 9}}
	sameGeneration, nextGeneration := first, first
	sameGeneration.Move = &bulrushcatalogue.Move{Generation: 2, FromVersion: "1", ToVersion: "3", CompleteByMs: 9}
	nextGeneration.Move = &bulrushcatalogue.Move{Generation: 3, FromVersion: "1", ToVersion: "3", CompleteByMs: 9}
	assert.NilError(t, bulrushcatalogue.CheckUpdate(first, first))
	assert.NilError(t, bulrushcatalogue.CheckUpdate(first, nextGeneration))
	assert.ErrorContains(t, bulrushcatalogue.CheckUpdate(first, sameGeneration), "move.generation")
}

// Guards against panics and untyped errors on arbitrary input, and against
// accepted entries that change when they are encoded and parsed again.
func FuzzParseService(f *testing.F) {
	f.Add([]byte(serviceDocument(`, "limits": {"slots": 2}`)))
	f.Add([]byte(serviceDocument(`, "routes": [{"name": "a", "prefix": "/", "methods": ["GET"], "idempotent": true}]`)))
	f.Add([]byte(serviceDocument(`, "move": {"generation": 1, "from_version": "1", "to_version": "2", "complete_by_ms": 5}`)))
	f.Add([]byte(`{"service": "a", "service": 1e400, "x": [[[]]]}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		entry, err := bulrushcatalogue.ParseService(document)
		if err != nil {
			var field *bulrushchute.FieldError
			assert.Assert(t, errors.As(err, &field), "%v", err)
			return
		}
		encoded, err := json.Marshal(entry)
		assert.NilError(t, err)
		decoded, err := bulrushcatalogue.ParseService(encoded)
		assert.NilError(t, err)
		assert.Equal(t, bulrushcatalogue.Diff(entry, decoded).String(), "")
	})
}
