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

// newNode serves the operator endpoints of a node and returns its address.
func newNode(t *testing.T) string {
	mux := http.NewServeMux()
	serve := func(path string, value any) {
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(encode(t, value))) })
	}
	server := bulrushchute.Instance{ID: "n-1", Address: "10.0.0.1:7002", DataCentre: "ub-1", Service: "ledger", Version: "v1", State: bulrushchute.StateCold, Slots: 10}
	serve("/v1/status", bulrushnode.Status{Instance: server, State: "ready", DataCentres: []bulrushnode.DataCentreStatus{
		{DataCentre: "ub-1", State: "serving", Reachable: true, Weight: 0.5, Members: 1},
	}})
	serve("/v1/members", bulrushnode.MemberList{Members: []bulrushchute.Instance{server}})
	node := httptest.NewServer(mux)
	t.Cleanup(node.Close)
	return strings.TrimPrefix(node.URL, "http://")
}

// Guards against a status that shows nothing when one of its sources is down,
// and against one that hides that a source is down.
func TestStatus(t *testing.T) {
	cases := map[string]struct {
		storeDown bool
		node      bool
		status    bulrushcommand.ExitStatus
		shows     []string
	}{
		"store and node": {false, true, bulrushcommand.ExitDone, []string{"ledger-4", "25%", "under_way", "board-1", "requested", "0.50", "cold"}},
		"store alone":    {false, false, bulrushcommand.ExitDone, []string{"ub-1", "ledger-4"}},
		"store down":     {true, true, bulrushcommand.ExitFailed, []string{"ready", "10.0.0.1:7002", "store unavailable"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.put(t, bulrushchute.KindDataCentres, "ub-1", centre)
			r.put(t, bulrushchute.KindServices, "board", `{"service": "board", "owner": "o", "move": {"generation": 1, "from_version": "v1", "to_version": "v2", "complete_by_ms": 9}}`)
			r.put(t, bulrushchute.KindMoves, "ledger", `{"service": "ledger", "generation": 4, "stage": 4}`)
			r.memory.SetDown(tc.storeDown)
			arguments := []string{"status"}
			if tc.node {
				arguments = append(arguments, "--node", newNode(t))
			}
			got := r.run("ann", arguments...)
			assert.Equal(t, got.status, tc.status, got.stderr)
			for _, part := range tc.shows {
				assert.Assert(t, cmp.Contains(got.stdout+got.stderr, part))
			}
			status := decode[bulrushcommand.Status](t, r.run("ann", append(arguments, "--json")...).stdout)
			assert.Equal(t, status.Store == nil, tc.storeDown)
			assert.Equal(t, status.Node != nil, tc.node)
		})
	}
}

// Guards against events that are missed or shown twice while the store is away.
func TestEventsFollow(t *testing.T) {
	r := newRig(t)
	event := func(name string) {
		r.put(t, bulrushchute.KindEvents, name, `{"service": "ledger", "generation": 4, "outcome": "completed", "at_ms": 5}`)
	}
	event("ledger-1-completed")
	var stdout, stderr output
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bulrushcommand.ExitStatus)
	go func() {
		ended <- bulrushcommand.Run(ctx, r.environment("ann", &stdout, &stderr), []string{"events", "--follow", "--json"})
	}()
	waitFor := func(name string, from *output) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if strings.Contains(from.String(), name) {
				return poll.Success()
			}
			return poll.Continue("%s is not shown", name)
		}, poll.WithTimeout(time.Minute))
	}
	waitFor("ledger-1-completed", &stdout)
	event("ledger-2-completed")
	waitFor("ledger-2-completed", &stdout)
	r.memory.SetDown(true)
	waitFor("trying again", &stderr)
	r.memory.SetDown(false)
	event("ledger-3-completed")
	waitFor("ledger-3-completed", &stdout)
	cancel()
	assert.Equal(t, <-ended, bulrushcommand.ExitDone)
	assert.Equal(t, strings.Count(stdout.String(), "\n"), 3, stdout.String())
}
