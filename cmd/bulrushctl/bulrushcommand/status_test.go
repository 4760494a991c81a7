package bulrushcommand_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushnode"
	"bulrushchute.example/bulrushchute/cmd/bulrushctl/bulrushcommand"
)

// newNodeServer starts a server with the operator endpoints of a node and returns
// its address.
func newNodeServer(t *testing.T) string {
	mux := http.NewServeMux()
	serve := func(path string, value any) {
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(encode(t, value))) })
	}
	instance := bulrushchute.Instance{ID: "n-1", Address: "10.0.0.1:7002", DataCentre: "ub-1", Service: "ledger", Version: "v1", State: bulrushchute.StateCold, Slots: 10}
	serve("/v1/status", bulrushnode.Status{Instance: instance, State: "ready", DataCentres: []bulrushnode.DataCentreStatus{
		{DataCentre: "ub-1", State: "serving", Reachable: true, Weight: 0.5, Members: 1},
	}})
	serve("/v1/members", bulrushnode.MemberList{Members: []bulrushchute.Instance{instance}})
	node := httptest.NewServer(mux)
	t.Cleanup(node.Close)
	return strings.TrimPrefix(node.URL, "http://")
}

// Guards against a status that is empty when either the store or the node is down,
// and against one that does not report which is down.
func TestStatus(t *testing.T) {
	cases := map[string]struct {
		storeDown  bool
		node       bool
		wantStatus bulrushcommand.ExitStatus
		wantOutput []string
	}{
		"store and node": {false, true, bulrushcommand.ExitSuccess, []string{"ledger-4", "25%", "under_way", "board-1", "requested", "0.50", "cold"}},
		"store alone":    {false, false, bulrushcommand.ExitSuccess, []string{"ub-1", "ledger-4"}},
		"store down":     {true, true, bulrushcommand.ExitFailed, []string{"ready", "10.0.0.1:7002", "store unavailable"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.put(t, bulrushchute.KindDataCentres, "ub-1", dataCentreEntry)
			h.put(t, bulrushchute.KindServices, "board", `{"service": "board", "owner": "o", "move": {"generation": 1, "from_version": "v1", "to_version": "v2", "complete_by_ms": 9}}`)
			h.put(t, bulrushchute.KindMoves, "ledger", `{"service": "ledger", "generation": 4, "stage": 4}`)
			h.store.SetDown(tc.storeDown)
			arguments := []string{"status"}
			if tc.node {
				arguments = append(arguments, "--node", newNodeServer(t))
			}
			got := h.run("ann", arguments...)
			assert.Equal(t, got.status, tc.wantStatus, got.stderr)
			for _, text := range tc.wantOutput {
				assert.Assert(t, cmp.Contains(got.stdout+got.stderr, text))
			}
			status := decode[bulrushcommand.Status](t, h.run("ann", append(arguments, "--json")...).stdout)
			assert.Equal(t, status.Store == nil, tc.storeDown)
			assert.Equal(t, status.Node != nil, tc.node)
		})
	}
}

// Guards against events that are missed or printed twice after the store was
// unavailable.
func TestEventsFollow(t *testing.T) {
	h := newHarness(t)
	putEvent := func(name string) {
		h.put(t, bulrushchute.KindEvents, name, `{"service": "ledger", "generation": 4, "outcome": "completed", "at_ms": 5}`)
	}
	putEvent("ledger-1-completed")
	var stdout, stderr syncBuffer
	ctx, cancel := context.WithCancel(t.Context())
	exited := make(chan bulrushcommand.ExitStatus)
	go func() {
		exited <- bulrushcommand.Run(ctx, h.environment("ann", &stdout, &stderr), []string{"events", "--follow", "--json"})
	}()
	waitFor := func(name string, from *syncBuffer) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if strings.Contains(from.String(), name) {
				return poll.Success()
			}
			return poll.Continue("%s is not printed", name)
		}, poll.WithTimeout(time.Minute))
	}
	waitFor("ledger-1-completed", &stdout)
	putEvent("ledger-2-completed")
	waitFor("ledger-2-completed", &stdout)
	h.store.SetDown(true)
	waitFor("trying again", &stderr)
	h.store.SetDown(false)
	putEvent("ledger-3-completed")
	waitFor("ledger-3-completed", &stdout)
	cancel()
	assert.Equal(t, <-exited, bulrushcommand.ExitSuccess)
	assert.Equal(t, strings.Count(stdout.String(), "\n"), 3, stdout.String())
}
