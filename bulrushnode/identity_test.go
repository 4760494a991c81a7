package bulrushnode

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// keyedTable is a routing table with one tenant, and a second anonymous route.
func keyedTable(keys ...string) bulrushcatalogue.RoutingTable {
	rank := 0
	table := bulrushcatalogue.RoutingTable{
		Services:     []bulrushcatalogue.ServiceEntry{bulrushcatalogue.ServiceEntry{Service: "board", Owner: "o"}.WithDefaults()},
		RequiresKeys: true,
		Tenants:      []bulrushcatalogue.TenantEntry{{Tenant: "crew", Rank: &rank}},
	}
	for name, anonymous := range map[string]bool{"view": false, "check": true} {
		table.Routes = append(table.Routes, bulrushcatalogue.HostRoute{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Idempotent: true, TimeoutMs: 1000, Rank: 2,
			Anonymous: anonymous, Targets: []bulrushcatalogue.Target{{Service: "board", Weight: 1}},
		})
	}
	for _, key := range keys {
		table.Tenants[0].Keys = append(table.Tenants[0].Keys, bulrushcatalogue.DigestKey(key))
	}
	return table
}

// keyedNode is a node with two backend servers of the service board, whose attempts
// end with the reply that answer returns.
type keyedNode struct {
	*Node
	version  uint64
	attempts []bulrushchute.Attempt
}

func newKeyedNode(answer func(attempt int) bulrushchute.Reply) *keyedNode {
	n := &keyedNode{Node: newTestNode("dc-1")}
	n.runner.exchange = func(_ context.Context, _ bulrushchute.Instance, attempt bulrushchute.Attempt) (bulrushchute.Reply, error) {
		n.attempts = append(n.attempts, attempt)
		return answer(len(n.attempts)), nil
	}
	var servers []bulrushchute.Instance
	for i := range 2 {
		id := fmt.Sprintf("127.0.0.1:800%d/1", i)
		servers = append(servers, bulrushchute.Instance{ID: bulrushchute.InstanceID(id), DataCentre: "dc-1", Service: "board", State: bulrushchute.StateReady, Slots: 9})
	}
	n.board.Update(func(view bulrushboard.View) bulrushboard.View {
		return view.WithMembers(map[bulrushchute.Service][]bulrushchute.Instance{"board": servers}).
			WithState(bulrushboard.NodeReady).WithCatalogueCurrent(true)
	})
	return n
}

func (n *keyedNode) apply(table bulrushcatalogue.RoutingTable) {
	n.version++
	n.board.Update(func(view bulrushboard.View) bulrushboard.View {
		return view.WithCatalogue(view.Catalogue.WithRouting(table, bulrushchute.RecordVersion{Counter: n.version}))
	})
}

func (n *keyedNode) get(path, key string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodGet, path, nil)
	request.Host = "a.example"
	request.Header.Set(headerTenant, "forged")
	if key != "" {
		request.Header.Set(headerAPIKey, key)
	}
	recorder := httptest.NewRecorder()
	n.entryHandler.ServeHTTP(recorder, request)
	return recorder
}

func answered(int) bulrushchute.Reply {
	return bulrushchute.Reply{Answer: &bulrushchute.Answer{Status: http.StatusOK}}
}

// Guards against requests that run for a tenant without its key, against keys that
// reach a backend server or another node, and against a 401 from a node whose
// catalogue may be out of date.
func TestAPIKeys(t *testing.T) {
	cases := map[string]struct {
		path, key string
		change    func(bulrushboard.View) bulrushboard.View
		status    int
		tenant    bulrushchute.Tenant
		class     bulrushchute.Class
	}{
		"key":                      {"/view/1", "k-1", nil, 200, "crew", 0},
		"no key":                   {"/view/1", "", nil, 401, "", 0},
		"unknown key":              {"/view/1", "k-2", nil, 401, "", 0},
		"anonymous":                {"/check/1", "", nil, 200, "", 2},
		"anonymous, unknown key":   {"/check/1", "k-2", nil, 200, "", 2},
		"anonymous, known key":     {"/check/1", "k-1", nil, 200, "crew", 0},
		"unknown route":            {"/other/1", "k-2", nil, 404, "", 0},
		"unknown key, not current": {"/view/1", "k-2", func(v bulrushboard.View) bulrushboard.View { return v.WithCatalogueCurrent(false) }, 503, "", 0},
		"key, not current":         {"/view/1", "k-1", func(v bulrushboard.View) bulrushboard.View { return v.WithCatalogueCurrent(false) }, 200, "crew", 0},
		"unknown key, starting":    {"/view/1", "k-2", func(v bulrushboard.View) bulrushboard.View { return v.WithState(bulrushboard.NodeStarting) }, 503, "", 0},
		"key, starting":            {"/view/1", "k-1", func(v bulrushboard.View) bulrushboard.View { return v.WithState(bulrushboard.NodeStarting) }, 503, "", 0},
		"no catalogue": {"/view/1", "k-1", func(v bulrushboard.View) bulrushboard.View {
			return v.WithCatalogue(bulrushcatalogue.Set{}).WithState(bulrushboard.NodeStarting)
		}, 503, "", 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			n := newKeyedNode(answered)
			n.apply(keyedTable("k-1"))
			if tc.change != nil {
				n.board.Update(tc.change)
			}
			response := n.get(tc.path, tc.key)
			assert.Equal(t, response.Code, tc.status)
			assert.Assert(t, tc.key == "" || !strings.Contains(response.Body.String(), tc.key))
			if tc.status != http.StatusOK {
				assert.Equal(t, len(n.attempts), 0)
				return
			}
			attempt := n.attempts[0]
			assert.Equal(t, attempt.Tenant, tc.tenant)
			assert.Equal(t, attempt.Class, tc.class)
			for _, field := range attempt.Header {
				assert.Assert(t, field.Name != headerAPIKey && field.Name != headerTenant, "%s is passed on", field.Name)
			}
		})
	}
}

// Guards against a key that still works after its removal: for the next request of
// an open connection, and for a request that waits for another attempt.
func TestRemovedAPIKey(t *testing.T) {
	var n *keyedNode
	n = newKeyedNode(func(int) bulrushchute.Reply {
		n.apply(keyedTable("k-2"))
		return refusalReply(bulrushchute.ReasonBusy, 0)
	})
	n.apply(keyedTable("k-1", "k-2"))
	assert.Equal(t, n.get("/view/1", "k-1").Code, http.StatusUnauthorized)
	assert.Equal(t, len(n.attempts), 1, "an attempt after the removal of the key")
	assert.Equal(t, n.get("/view/1", "k-1").Code, http.StatusUnauthorized)
	assert.Equal(t, len(n.attempts), 1)
	n.get("/view/1", "k-2")
	assert.Equal(t, len(n.attempts), 3, "the other key, two attempts")
}

// Guards against an older table that brings a removed key back.
func TestOlderTableDoesNotRestoreKeys(t *testing.T) {
	n := newKeyedNode(answered)
	n.apply(keyedTable("k-1"))
	n.apply(keyedTable("k-2"))
	n.version = 0
	n.apply(keyedTable("k-1"))
	assert.Equal(t, n.get("/view/1", "k-1").Code, http.StatusUnauthorized)
	assert.Equal(t, n.get("/view/1", "k-2").Code, http.StatusOK)
}

// Guards against headers that disappear where the table requires no keys.
func TestHeadersWithoutAPIKeys(t *testing.T) {
	eh := &entryHandler{protocol: passingProtocol{}}
	header := http.Header{"Test-Key": {"k"}, "Test-Tenant": {"crew"}, "Test-Other": {"1"}}
	assert.Equal(t, len(forwardedFields(header, eh.notForwarded(callerIdentity{}))), 3)
	assert.Equal(t, len(forwardedFields(header, eh.notForwarded(callerIdentity{keysRequired: true}))), 1)
}

// passingProtocol identifies tenants by headers that it does not reserve.
type passingProtocol struct {
	nativeProtocol
}

func (passingProtocol) IdentifiesTenant(name string) bool {
	return name == "Test-Key" || name == "Test-Tenant"
}
