package bulrushcommand_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/cmd/bulrushctl/bulrushcommand"
)

// Guards against an edit of one field that reverts another operator's concurrent
// edit of a different field, that silently overwrites one of the same field, or
// that is applied twice after a lost response.
func TestWithdrawUnderFaults(t *testing.T) {
	const (
		otherFieldChanged = `{"data_centre": "ub-1", "region": "ub", "state": "serving", "return_ramp_ms": 9000}`
		sameFieldChanged  = `{"data_centre": "ub-1", "region": "ub", "state": "lost", "change": {"writer": "b", "by": "bob", "at_ms": 5}}`
	)
	cases := map[string]struct {
		faults          []bulrushstore.Fault
		concurrentEntry string
		wantStatus      bulrushcommand.ExitStatus
		wantState       bulrushcatalogue.DataCentreState
		wantReturnRamp  bulrushchute.Millis
		wantOutput      string
	}{
		"applied":                      {nil, "", bulrushcommand.ExitSuccess, "withdrawn", 30000, "~ state: serving -> withdrawn"},
		"other field edited":           {nil, otherFieldChanged, bulrushcommand.ExitSuccess, "withdrawn", 9000, "applied at version 3"},
		"same field edited":            {nil, sameFieldChanged, bulrushcommand.ExitLostRace, "lost", 30000, "stored by bob"},
		"response lost, in effect":     {[]bulrushstore.Fault{noFault, responseLostFault}, "", bulrushcommand.ExitSuccess, "withdrawn", 30000, "applied at version 2"},
		"response lost, not read back": {[]bulrushstore.Fault{noFault, responseLostFault, downFault}, "", bulrushcommand.ExitUnknown, "withdrawn", 30000, "read the entry with get"},
		"store down":                   {[]bulrushstore.Fault{noFault, downFault}, "", bulrushcommand.ExitFailed, "serving", 30000, "store unavailable"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.put(t, bulrushchute.KindDataCentres, "ub-1", dataCentreEntry)
			h.store.SetFaults(bulrushstore.ScriptedFaults(tc.faults...))
			if tc.concurrentEntry != "" {
				h.beforeFirst(bulrushstore.VerbUpdate, func() { h.put(t, bulrushchute.KindDataCentres, "ub-1", tc.concurrentEntry) })
			}
			got := h.run("ann", "withdraw", "ub-1")
			h.store.SetFaults(nil)
			assert.Equal(t, got.status, tc.wantStatus, "%s", got.stdout)
			assert.Assert(t, cmp.Contains(got.stdout, tc.wantOutput))
			entry := h.dataCentre(t, "ub-1").WithDefaults()
			assert.Equal(t, entry.State, tc.wantState)
			assert.Equal(t, entry.ReturnRampMs, tc.wantReturnRamp)
		})
	}
}

// Guards against a repeated withdrawal that stores a new version, and a return
// that does not bring the data centre back.
func TestWithdrawAndReturn(t *testing.T) {
	h := newHarness(t)
	h.put(t, bulrushchute.KindDataCentres, "ub-1", dataCentreEntry)
	for range 2 {
		assert.Equal(t, h.run("ann", "withdraw", "ub-1").status, bulrushcommand.ExitSuccess)
		assert.Equal(t, h.store.Revision(), uint64(2))
	}
	assert.Equal(t, h.run("ann", "return", "ub-1").status, bulrushcommand.ExitSuccess)
	assert.Equal(t, h.dataCentre(t, "ub-1").State, bulrushcatalogue.DataCentreServing)
}

// Guards against a move that starts from the wrong version or reuses a
// generation, and against a cancellation after which the new version still
// receives requests.
func TestMove(t *testing.T) {
	start := []string{"move", "ledger", "--to", "v3", "--complete-in", "1h"}
	cancel := []string{"move", "cancel", "ledger"}
	const moving = `"move": {"generation": 4, "from_version": "v1", "to_version": "v2", "complete_by_ms": 9}`
	state := func(fields string) string { return `{"service": "ledger", "generation": 4` + fields + `}` }
	cases := map[string]struct {
		arguments         []string
		entry             string
		state             string
		wantStatus        bulrushcommand.ExitStatus
		wantStableVersion bulrushchute.Version
		wantFromVersion   bulrushchute.Version
		wantGeneration    uint64
	}{
		"first move":              {start, `"stable_version": "v1"`, "", bulrushcommand.ExitSuccess, "v1", "v1", 2},
		"first move with --from":  {append(start, "--from", "v0"), `"subset": 4`, "", bulrushcommand.ExitSuccess, "v0", "v0", 2},
		"after a completed one":   {start, `"stable_version": "v1", ` + moving, state(`, "outcome": "completed"`), bulrushcommand.ExitSuccess, "v2", "v2", 5},
		"after a rollback":        {start, `"stable_version": "v1", ` + moving, state(`, "outcome": "rolled-back"`), bulrushcommand.ExitSuccess, "v1", "v1", 5},
		"after a cancellation":    {start, `"stable_version": "v1"`, state(`, "outcome": "cancelled"`), bulrushcommand.ExitSuccess, "v1", "v1", 5},
		"while one is under way":  {start, moving, state(""), bulrushcommand.ExitFailed, "", "v1", 4},
		"while one is requested":  {start, moving, "", bulrushcommand.ExitFailed, "", "v1", 4},
		"to the version in place": {start, `"stable_version": "v3"`, "", bulrushcommand.ExitUsage, "v3", "", 0},
		"cancel":                  {cancel, moving, state(""), bulrushcommand.ExitSuccess, "v1", "", 0},
		"cancel a completed one":  {cancel, moving, state(`, "outcome": "completed"`), bulrushcommand.ExitFailed, "", "v1", 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.put(t, bulrushchute.KindServices, "ledger", `{"service": "ledger", "owner": "o", `+tc.entry+`}`)
			if tc.state != "" {
				h.put(t, bulrushchute.KindMoves, "ledger", tc.state)
			}
			got := h.run("ann", tc.arguments...)
			assert.Equal(t, got.status, tc.wantStatus, "%s%s", got.stdout, got.stderr)
			entry := h.service(t, "ledger")
			assert.Equal(t, entry.StableVersion, tc.wantStableVersion)
			if tc.wantFromVersion == "" {
				assert.Assert(t, entry.Move == nil)
				return
			}
			assert.Equal(t, entry.Move.FromVersion, tc.wantFromVersion)
			assert.Equal(t, entry.Move.Generation, tc.wantGeneration)
		})
	}
}

// Guards against reusing the generation of a move that was cancelled before any
// node started it.
func TestMoveAfterEarlyCancellation(t *testing.T) {
	h := newHarness(t)
	h.put(t, bulrushchute.KindServices, "ledger", `{"service": "ledger", "owner": "o", "stable_version": "v1"}`)
	last := uint64(0)
	for range 3 {
		assert.Equal(t, h.run("ann", "move", "ledger", "--to", "v2", "--complete-in", "1h").status, bulrushcommand.ExitSuccess)
		generation := h.service(t, "ledger").Move.Generation
		assert.Assert(t, generation > last)
		last = generation
		assert.Equal(t, h.run("ann", "move", "cancel", "ledger").status, bulrushcommand.ExitSuccess)
	}
}

// Guards against starting a move although another operator has concurrently
// changed the version from which it starts.
func TestMoveLosesRace(t *testing.T) {
	h := newHarness(t)
	h.put(t, bulrushchute.KindServices, "ledger", `{"service": "ledger", "owner": "o", "stable_version": "v1"}`)
	h.beforeFirst(bulrushstore.VerbUpdate, func() {
		h.put(t, bulrushchute.KindServices, "ledger", `{"service": "ledger", "owner": "o", "stable_version": "v2"}`)
	})
	got := h.run("ann", "move", "ledger", "--to", "v3", "--complete-in", "1h")
	assert.Equal(t, got.status, bulrushcommand.ExitLostRace)
	assert.Assert(t, cmp.Contains(got.stdout, "~ stable_version: v1 -> v2"))
	assert.Assert(t, h.service(t, "ledger").Move == nil)
}
