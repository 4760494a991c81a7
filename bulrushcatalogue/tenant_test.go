package bulrushcatalogue

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

func tenantTable() RoutingTable {
	rank := 0
	return RoutingTable{
		Routes: []HostRoute{{
			Name: "view", Host: "a.example", Prefix: "/", TimeoutMs: 1000, Rank: 2,
			Targets: []Target{{Service: "board", Weight: 1}},
		}},
		Services:     []ServiceEntry{ServiceEntry{Service: "board", Owner: "o"}.WithDefaults()},
		RequiresKeys: true,
		Tenants: []TenantEntry{
			{Tenant: "late", Keys: []KeyDigest{DigestKey("k-3")}},
			{Tenant: "crew", Rank: &rank, Keys: []KeyDigest{DigestKey("k-1"), DigestKey("k-2")}},
		},
	}
}

// Guards against a table that loses its tenants on the way between nodes.
func TestTenantsOfAnEncodedTable(t *testing.T) {
	document, err := tenantTable().Encode()
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(document), "k-1"), "a key in the clear")
	table, err := ParseRouting(document)
	assert.NilError(t, err)
	routing := Set{}.WithRouting(table, bulrushchute.RecordVersion{Counter: 1}).Routing()
	assert.Assert(t, routing.RequiresKeys())
	cases := map[string]struct {
		tenant bulrushchute.Tenant
		class  bulrushchute.Class
	}{
		"k-1": {"crew", 0},
		"k-2": {"crew", 0},
		"k-3": {"late", 2},
		"k-4": {"", 2},
		"":    {"", 2},
	}
	for key, tc := range cases {
		t.Run(key, func(t *testing.T) {
			tenant := routing.Tenant(DigestKey(key))
			assert.Equal(t, tenant.Class(table.Routes[0].Class()), tc.class)
			if tc.tenant == "" {
				assert.Assert(t, tenant == nil)
				return
			}
			assert.Equal(t, tenant.Tenant, tc.tenant)
		})
	}
}

// Guards against a table in which a key belongs to two tenants, and against
// errors that print a key.
func TestInvalidTenants(t *testing.T) {
	cases := map[string]struct {
		change func(*RoutingTable)
		field  string
	}{
		"shared key":    {func(rt *RoutingTable) { rt.Tenants[1].Keys[0] = rt.Tenants[0].Keys[0] }, "tenants[1].key_digests[0]"},
		"repeated key":  {func(rt *RoutingTable) { rt.Tenants[1].Keys[0] = rt.Tenants[1].Keys[1] }, "tenants[1].key_digests[1]"},
		"repeated name": {func(rt *RoutingTable) { rt.Tenants[1].Tenant = "late" }, "tenants[1].tenant"},
		"no name":       {func(rt *RoutingTable) { rt.Tenants[0].Tenant = "" }, "tenants[0].tenant"},
		"too many keys": {func(rt *RoutingTable) { rt.Tenants[0].Keys = make([]KeyDigest, 1001) }, "tenants[0].key_digests: value \"1001 entries\""},
		"rank":          {func(rt *RoutingTable) { *rt.Tenants[1].Rank = -1 }, "tenants[1].rank"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			table := tenantTable()
			tc.change(&table)
			assert.ErrorContains(t, table.Validate(), "field "+tc.field)
		})
	}
	var digest KeyDigest
	err := digest.UnmarshalText([]byte("a key instead of its digest"))
	assert.ErrorContains(t, err, "key_digests")
	assert.Assert(t, !strings.Contains(err.Error(), "instead"))
}

// Guards against errors that print a key which stands where a digest belongs.
func TestErrorsContainNoKey(t *testing.T) {
	cases := map[string]struct{ digests, field string }{
		"text":        {`["s3cret"]`, "document"},
		"no list":     {`"s3cret"`, "tenants[0].key_digests"},
		"number":      {`[8675309]`, "tenants[0].key_digests[0]"},
		"number only": {`8675309`, "tenants[0].key_digests"},
		"nested list": {`[["s3cret"]]`, "tenants[0].key_digests[0]"},
		"null":        {`[null]`, "tenants[0].key_digests[0]"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseRouting([]byte(`{"label":"7","tenants":[{"tenant":"a","key_digests":` + tc.digests + `}]}`))
			var field *bulrushchute.FieldError
			assert.Assert(t, errors.As(err, &field), "%v", err)
			assert.Equal(t, field.Field, tc.field, "%v", err)
			assert.Assert(t, !strings.Contains(err.Error(), "s3cret") && !strings.Contains(err.Error(), "8675309"), "%v", err)
		})
	}
}

func BenchmarkTenantLookup(b *testing.B) {
	table := tenantTable()
	for i := range 1000 {
		table.Tenants[0].Keys = append(table.Tenants[0].Keys, DigestKey(strings.Repeat("x", i+10)))
	}
	routing := newRouting(table, bulrushchute.RecordVersion{})
	b.ReportAllocs()
	for b.Loop() {
		routing.Tenant(DigestKey("k-2"))
	}
}
