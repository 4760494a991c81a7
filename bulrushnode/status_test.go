package bulrushnode

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Guards against a status that reveals keys or their digests, and against one that
// takes a tenant without a rank for one of rank 0.
func TestTenantsInForce(t *testing.T) {
	rank := 0
	digest := bulrushcatalogue.DigestKey("k-1")
	tenants := []bulrushcatalogue.TenantEntry{
		{Tenant: "late"},
		{Tenant: "crew", Rank: &rank, Keys: []bulrushcatalogue.KeyDigest{digest, bulrushcatalogue.DigestKey("k-2")}},
	}
	cases := map[string]struct {
		table *bulrushcatalogue.RoutingTable
		want  string
	}{
		"no table": {nil, `null`},
		"no keys required": {
			&bulrushcatalogue.RoutingTable{Label: "7", Tenants: tenants},
			`{"label":"7","version":30,"operator_version":7,"requires_keys":false,"tenants":[]}`,
		},
		"tenants": {
			&bulrushcatalogue.RoutingTable{Label: "7", RequiresKeys: true, Tenants: tenants},
			`{"label":"7","version":30,"operator_version":7,"requires_keys":true,` +
				`"tenants":[{"tenant":"crew","rank":0,"keys":2},{"tenant":"late","keys":0}]}`,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			set := bulrushcatalogue.Set{}
			if tc.table != nil {
				set = set.WithRouting(*tc.table, bulrushchute.RecordVersion{Epoch: 7, Counter: 30})
			}
			data, err := json.Marshal(newRoutingInForce(set.Routing()))
			assert.NilError(t, err)
			assert.Equal(t, string(data), tc.want)
		})
	}
}

// Guards against a status that grows with the number of tenants, and against one that
// loses the counts of those it does not list.
func TestUsageStatusLimitsTenants(t *testing.T) {
	cases := map[string]struct {
		tenants, wantListed int
		wantOther           uint64
	}{
		"none":     {0, 0, 0},
		"as many":  {64, 64, 0},
		"one more": {65, 64, 1},
		"many":     {200, 64, 136 * 137 / 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			counts := bulrushchute.UsageCounts{}
			for i := range tc.tenants {
				counts[bulrushchute.Tenant(fmt.Sprintf("t-%03d", i))] = uint64(i + 1)
			}
			n := &Node{usageStatus: func() UsageStatus { return UsageStatus{OpenCounts: counts} }}
			status := n.readUsage()
			assert.Equal(t, len(status.OpenCounts), tc.wantListed)
			assert.Equal(t, status.OtherCount, tc.wantOther)
			assert.Equal(t, len(counts), tc.tenants, "the provider's counts were changed")
			if tc.tenants > 0 {
				highest := bulrushchute.Tenant(fmt.Sprintf("t-%03d", tc.tenants-1))
				assert.Equal(t, status.OpenCounts[highest], uint64(tc.tenants))
			}
		})
	}
}

// Guards against a status of usage reports on a node that takes no part in them.
func TestStatusWithoutUsageReports(t *testing.T) {
	data, err := json.Marshal(Status{Usage: (&Node{}).readUsage()})
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(data), `"usage"`), "%s", data)
}
