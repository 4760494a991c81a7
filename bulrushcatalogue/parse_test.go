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

func service(fields string) string {
	return `{"service": "ledger", "owner": "towpath"` + fields + `}`
}

// Guards against entries that are taken although a field is misspelt, repeated,
// of the wrong type, out of range or at odds with another field, and against
// errors that do not name the field.
func TestParseServiceRefuses(t *testing.T) {
	cases := map[string]struct {
		document, field string
	}{
		"not JSON":                     {`{`, "document"},
		"empty":                        {``, "document"},
		"two documents":                {service("") + "{}", "document"},
		"a list":                       {`[]`, "document"},
		"null":                         {`null`, "document"},
		"unknown field":                {service(`, "slots": 3`), "slots"},
		"unknown inner field":          {service(`, "limits": {"slot": 3}`), "limits.slot"},
		"other letter case":            {service(`, "Limits": {}`), "Limits"},
		"repeated field":               {service(`, "owner": "b"`), "owner"},
		"null field":                   {service(`, "move": null`), "move"},
		"wrong type":                   {service(`, "limits": {"slots": "3"}`), "limits.slots"},
		"fraction":                     {service(`, "limits": {"slots": 1.5}`), "limits.slots"},
		"explicit zero":                {service(`, "limits": {"cold_slots": 0}`), "limits.cold_slots"},
		"negative":                     {service(`, "limits": {"queue": -1}`), "limits.queue"},
		"huge number":                  {service(`, "timeout_ms": 99999999999999999999`), "timeout_ms"},
		"no owner":                     {`{"service": "ledger"}`, "owner"},
		"service name":                 {`{"service": "Ledger.x", "owner": "a"}`, "service"},
		"class name":                   {service(`, "class": "urgent"`), "class"},
		"cold slots over slots":        {service(`, "limits": {"slots": 2, "cold_slots": 3}`), "limits.cold_slots"},
		"connections under slots":      {service(`, "limits": {"slots": 300}`), "limits.connections"},
		"probe budget":                 {service(`, "probe": {"budget_per_s": -1}`), "probe.budget_per_s"},
		"health path":                  {service(`, "probe": {"health_path": "health"}`), "probe.health_path"},
		"route class":                  {service(`, "routes": [{"name": "a", "prefix": "/", "class": "x"}]`), "routes[0].class"},
		"route prefix with final /":    {service(`, "routes": [{"name": "a", "prefix": "/a/"}]`), "routes[0].prefix"},
		"route prefix with dots":       {service(`, "routes": [{"name": "a", "prefix": "/a/../b"}]`), "routes[0].prefix"},
		"route method":                 {service(`, "routes": [{"name": "a", "prefix": "/a", "methods": ["get"]}]`), "routes[0].methods[0]"},
		"route method twice":           {service(`, "routes": [{"name": "a", "prefix": "/a", "methods": ["GET", "GET"]}]`), "routes[0].methods"},
		"route name twice":             {service(`, "routes": [{"name": "a", "prefix": "/a"}, {"name": "a", "prefix": "/b"}]`), "routes[1].name"},
		"route prefix twice":           {service(`, "routes": [{"name": "a", "prefix": "/a"}, {"name": "b", "prefix": "/a"}]`), "routes[1].prefix"},
		"route method in two":          {service(`, "routes": [{"name": "a", "prefix": "/a", "methods": ["GET"]}, {"name": "b", "prefix": "/a", "methods": ["PUT", "GET"]}]`), "routes[1].methods[1]"},
		"default route with a prefix":  {service(`, "routes": [{"name": "default", "prefix": "/a"}]`), "routes[0].prefix"},
		"tenant weight":                {service(`, "tenants": [{"tenant": "a", "weight": 0}]`), "tenants[0].weight"},
		"tenant twice":                 {service(`, "tenants": [{"tenant": "a", "weight": 1}, {"tenant": "a", "weight": 2}]`), "tenants[1].tenant"},
		"move to the same version":     {service(`, "move": {"generation": 1, "from_version": "1", "to_version": "1", "complete_by_ms": 5}`), "move.to_version"},
		"move without generation":      {service(`, "move": {"from_version": "1", "to_version": "2", "complete_by_ms": 5}`), "move.generation"},
		"move without deadline":        {service(`, "move": {"generation": 1, "from_version": "1", "to_version": "2"}`), "move.complete_by_ms"},
		"move of another stable one":   {service(`, "stable_version": "0", "move": {"generation": 1, "from_version": "1", "to_version": "2", "complete_by_ms": 5}`), "stable_version"},
		"stable version with a space":  {service(`, "stable_version": "1 2"`), "stable_version"},
		"value over the object's size": {service(`, "class": "` + strings.Repeat("x", bulrushchute.MaxObjectBytes) + `"`), "document"},
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

// Guards against checks that refuse a complete, correct entry, and against
// defaults that are missing after parsing.
func TestParseServiceAccepts(t *testing.T) {
	entry, err := bulrushcatalogue.ParseService([]byte(service(`,
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

// Guards against a file whose errors do not say which entry is meant, and
// against two entries of one name, of which one would be lost.
func TestParseFile(t *testing.T) {
	one := service("")
	file, err := bulrushcatalogue.ParseFile([]byte(`{"services": [` + one + `], "data_centres": [{"data_centre": "ub-1", "region": "ub", "state": "withdrawn"}]}`))
	assert.NilError(t, err)
	assert.Equal(t, file.DataCentres[0].ReturnRampMs, bulrushcatalogue.DefaultReturnRampMs)

	cases := map[string]struct {
		document, field string
	}{
		"inner field":        {`{"services": [` + one + `, {"service": "b", "owner": "o", "subset": -1}]}`, "services[1].subset"},
		"service twice":      {`{"services": [` + one + `, ` + one + `]}`, "services[1].service"},
		"unknown field":      {`{"services": [{"x": 1}]}`, "services[0].x"},
		"data centre state":  {`{"data_centres": [{"data_centre": "a", "region": "r", "state": "off"}]}`, "data_centres[0].state"},
		"change":             {`{"services": [{"service": "a", "owner": "o", "change": {"writer": "w", "at_ms": 1}}]}`, "services[0].change.by"},
		"base kind":          {`{"based_on": [{"kind": "moves", "name": "a", "version": 1}]}`, "based_on[0].kind"},
		"base twice":         {`{"based_on": [{"kind": "services", "name": "a", "version": 1}, {"kind": "services", "name": "a", "version": 1}]}`, "based_on[1].name"},
		"base of another":    {`{"based_on": [{"kind": "services", "name": "a", "version": 1, "service": {"service": "b", "owner": "o"}}]}`, "based_on[0].service.service"},
		"data centre region": {`{"data_centres": [{"data_centre": "a", "state": "lost"}]}`, "data_centres[0].region"},
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

// Guards against a change record that the parser refuses or that shows up as a
// difference, since every write has another one.
func TestChangeIsNoDifference(t *testing.T) {
	plain, err := bulrushcatalogue.ParseService([]byte(service("")))
	assert.NilError(t, err)
	stored, err := bulrushcatalogue.ParseService([]byte(service(`, "change": {"writer": "w-1", "by": "ann", "at_ms": 5}`)))
	assert.NilError(t, err)
	assert.Equal(t, stored.Change.By, "ann")
	assert.Equal(t, len(bulrushcatalogue.Diff(plain, stored)), 0)
	assert.Equal(t, len(bulrushcatalogue.Diff(stored, plain)), 0)
}

// Guards against a generation that is used for two different moves.
func TestCheckChange(t *testing.T) {
	first := bulrushcatalogue.ServiceEntry{Service: "a", Move: &bulrushcatalogue.Move{Generation: 2, FromVersion: "1", ToVersion: "2", CompleteByMs: 9}}
	same, next := first, first
	same.Move = &bulrushcatalogue.Move{Generation: 2, FromVersion: "1", ToVersion: "3", CompleteByMs: 9}
	next.Move = &bulrushcatalogue.Move{Generation: 3, FromVersion: "1", ToVersion: "3", CompleteByMs: 9}
	assert.NilError(t, bulrushcatalogue.CheckChange(first, first))
	assert.NilError(t, bulrushcatalogue.CheckChange(first, next))
	assert.ErrorContains(t, bulrushcatalogue.CheckChange(first, same), "move.generation")
}

// Guards against panics and untyped errors on arbitrary input, and against
// accepted entries that do not survive being written and read again.
func FuzzParseService(f *testing.F) {
	f.Add([]byte(service(`, "limits": {"slots": 2}`)))
	f.Add([]byte(service(`, "routes": [{"name": "a", "prefix": "/", "methods": ["GET"], "idempotent": true}]`)))
	f.Add([]byte(service(`, "move": {"generation": 1, "from_version": "1", "to_version": "2", "complete_by_ms": 5}`)))
	f.Add([]byte(`{"service": "a", "service": 1e400, "x": [[[]]]}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		entry, err := bulrushcatalogue.ParseService(document)
		if err != nil {
			var field *bulrushchute.FieldError
			assert.Assert(t, errors.As(err, &field), "%v", err)
			return
		}
		written, err := json.Marshal(entry)
		assert.NilError(t, err)
		again, err := bulrushcatalogue.ParseService(written)
		assert.NilError(t, err)
		assert.Equal(t, bulrushcatalogue.Diff(entry, again).String(), "")
	})
}
