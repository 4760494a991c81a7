package bulrushcommand_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushnode"
	"bulrushchute.example/bulrushchute/cmd/bulrushctl/bulrushcommand"
)

// serveNode starts a server with one operator endpoint of a node and returns its
// address.
func serveNode(t *testing.T, path string, value any) string {
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(encode(t, value))) })
	node := httptest.NewServer(mux)
	t.Cleanup(node.Close)
	return strings.TrimPrefix(node.URL, "http://")
}

// lineOf returns the first line of a table that starts with a word, with single
// spaces between its columns.
func lineOf(text, word string) string {
	for line := range strings.Lines(text) {
		if fields := strings.Fields(line); len(fields) > 0 && fields[0] == word {
			return strings.Join(fields, " ")
		}
	}
	return ""
}

// Guards against a table that takes a tenant without a rank for one of the highest
// rank, and against output from which operators cannot tell whether keys are needed.
func TestTenants(t *testing.T) {
	rank := 0
	cases := map[string]struct {
		routing   *bulrushnode.RoutingInForce
		wantText  string
		wantLines map[string]string
	}{
		"no table":         {nil, "no routing table in force", nil},
		"no keys required": {&bulrushnode.RoutingInForce{Label: "16"}, "routing table 16, no API keys required", nil},
		"tenants": {
			&bulrushnode.RoutingInForce{Label: "16", RequiresKeys: true, Tenants: []bulrushnode.TenantInForce{
				{Tenant: "crew", Rank: &rank, Keys: 2}, {Tenant: "late", Keys: 0},
			}},
			"routing table 16, API keys required",
			map[string]string{"crew": "crew 0 2", "late": "late - 0"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			address := serveNode(t, "/v1/catalogue", bulrushnode.CatalogueEntries{Routing: tc.routing})
			got := h.run("ann", "tenants", "--node", address)
			assert.Equal(t, got.status, bulrushcommand.ExitSuccess, got.stderr)
			assert.Assert(t, cmp.Contains(got.stdout, tc.wantText))
			for word, want := range tc.wantLines {
				assert.Equal(t, lineOf(got.stdout, word), want)
			}
			view := decode[bulrushcommand.TenantsView](t, h.run("ann", "tenants", "--node", address, "--json").stdout)
			assert.DeepEqual(t, view, bulrushcommand.TenantsView{Address: address, Routing: tc.routing})
		})
	}
}

// Guards against windows that are shown as reported although only the holder knows
// it, and against missing windows that are not shown.
func TestUsage(t *testing.T) {
	holder := bulrushnode.UsageStatus{
		Holder: "n-1", HolderAddress: "10.0.0.1:7002", Token: 1<<40 + 3, HoldsDuty: true,
		SettledWindow: 120, SettledEndMs: 605_000, AcknowledgedWindow: 118, MissingWindows: []bulrushchute.UsageWindow{117, 119},
		IncompleteWindows: 4, ReportsSent: 30, RepeatsSent: 5, MessagesSent: 70,
		OpenWindow: 121, OpenCounts: bulrushchute.UsageCounts{"crew": 412, "late": 3}, OtherCount: 9,
	}
	other := bulrushnode.UsageStatus{
		Holder: "n-1", HolderAddress: "10.0.0.1:7002", Token: 7, SettledWindow: 120, SettledEndMs: 605_000, OpenWindow: 121,
	}
	complete := holder
	complete.MissingWindows = nil
	cases := map[string]struct {
		usage      *bulrushnode.UsageStatus
		wantHolder string
		wantText   []string
	}{
		"off": {nil, "", []string{"usage reports are off"}},
		"holder": {&holder, "n-1 10.0.0.1:7002 1099511627779 120 1970-01-01T00:10:05Z 118 117, 119", []string{
			"reports sent 30, repeats 5, incomplete windows 4", "messages sent 70, window 121 is open", "crew", "412", "(other)",
		}},
		"nothing missing": {&complete, "n-1 10.0.0.1:7002 1099511627779 120 1970-01-01T00:10:05Z 118 none", nil},
		"other node":      {&other, "n-1 10.0.0.1:7002 7 120 1970-01-01T00:10:05Z - -", nil},
		"no holder":       {&bulrushnode.UsageStatus{OpenWindow: 121}, "- - 0 - - - -", nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			address := serveNode(t, "/v1/status", bulrushnode.Status{Usage: tc.usage})
			got := h.run("ann", "usage", "--node", address)
			assert.Equal(t, got.status, bulrushcommand.ExitSuccess, got.stderr)
			for _, text := range tc.wantText {
				assert.Assert(t, cmp.Contains(got.stdout, text))
			}
			if tc.usage != nil {
				word, _, _ := strings.Cut(tc.wantHolder, " ")
				assert.Equal(t, lineOf(got.stdout, word), tc.wantHolder)
			}
			view := decode[bulrushcommand.UsageView](t, h.run("ann", "usage", "--node", address, "--json").stdout)
			assert.DeepEqual(t, view, bulrushcommand.UsageView{Address: address, Usage: tc.usage})
		})
	}
}

// Guards against an exit status of 0 and an empty table if the node was not read.
func TestNodeCommandErrors(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closedAddress := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	for _, command := range []string{"tenants", "usage"} {
		cases := map[string]struct {
			arguments []string
			want      bulrushcommand.ExitStatus
			wantText  string
		}{
			"no node":          {nil, bulrushcommand.ExitUsage, "--node"},
			"no port":          {[]string{"--node", "10.0.0.1"}, bulrushcommand.ExitUsage, "--node"},
			"argument":         {[]string{"--node", closedAddress, "crew"}, bulrushcommand.ExitUsage, "crew"},
			"node down":        {[]string{"--node", closedAddress}, bulrushcommand.ExitFailed, "read the node"},
			"another server":   {[]string{"--node", serveNode(t, "/", 7)}, bulrushcommand.ExitFailed, "parse the answer"},
			"without endpoint": {[]string{"--node", serveNode(t, "/v1/members", 7)}, bulrushcommand.ExitFailed, "status 404"},
		}
		for name, tc := range cases {
			t.Run(command+": "+name, func(t *testing.T) {
				got := newHarness(t).run("ann", append([]string{command}, tc.arguments...)...)
				assert.Equal(t, got.status, tc.want, got.stderr)
				assert.Equal(t, got.stdout, "")
				assert.Assert(t, cmp.Contains(got.stderr, tc.wantText))
			})
		}
	}
}
