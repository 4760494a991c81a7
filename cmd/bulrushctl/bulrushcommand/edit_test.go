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

// Guards against an edit of one field that undoes another operator's edit of
// another field, that wins silently over one of the same field, or that is
// made twice after a lost answer.
func TestWithdrawUnderFaults(t *testing.T) {
	const (
		otherField = `{"data_centre": "ub-1", "region": "ub", "state": "serving", "return_ramp_ms": 9000}`
		sameField  = `{"data_centre": "ub-1", "region": "ub", "state": "lost", "change": {"writer": "b", "by": "bob", "at_ms": 5}}`
	)
	cases := map[string]struct {
		faults []bulrushstore.Fault
		rival  string
		status bulrushcommand.ExitStatus
		state  bulrushcatalogue.DataCentreState
		ramp   bulrushchute.Millis
		says   string
	}{
		"applied":                    {nil, "", bulrushcommand.ExitDone, "withdrawn", 30000, "~ state: serving -> withdrawn"},
		"other field edited":         {nil, otherField, bulrushcommand.ExitDone, "withdrawn", 9000, "applied at version 3"},
		"same field edited":          {nil, sameField, bulrushcommand.ExitLostRace, "lost", 30000, "stored by bob"},
		"answer lost, in effect":     {[]bulrushstore.Fault{pass, lost}, "", bulrushcommand.ExitDone, "withdrawn", 30000, "applied at version 2"},
		"answer lost, not read back": {[]bulrushstore.Fault{pass, lost, down}, "", bulrushcommand.ExitUnknown, "withdrawn", 30000, "read the entry with get"},
		"down":                       {[]bulrushstore.Fault{pass, down}, "", bulrushcommand.ExitFailed, "serving", 30000, "store unavailable"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.put(t, bulrushchute.KindDataCentres, "ub-1", centre)
			r.memory.SetFaults(bulrushstore.ScriptedFaults(tc.faults...))
			if tc.rival != "" {
				r.before(bulrushstore.VerbUpdate, func() { r.put(t, bulrushchute.KindDataCentres, "ub-1", tc.rival) })
			}
			got := r.run("ann", "withdraw", "ub-1")
			r.memory.SetFaults(nil)
			assert.Equal(t, got.status, tc.status, "%s", got.stdout)
			assert.Assert(t, cmp.Contains(got.stdout, tc.says))
			entry := r.dataCentre(t, "ub-1").WithDefaults()
			assert.Equal(t, entry.State, tc.state)
			assert.Equal(t, entry.ReturnRampMs, tc.ramp)
		})
	}
}

// Guards against a repeated withdrawal that stores a new version, and a return
// that does not bring the data centre back.
func TestWithdrawAndReturn(t *testing.T) {
	r := newRig(t)
	r.put(t, bulrushchute.KindDataCentres, "ub-1", centre)
	for range 2 {
		assert.Equal(t, r.run("ann", "withdraw", "ub-1").status, bulrushcommand.ExitDone)
		assert.Equal(t, r.memory.Revision(), uint64(2))
	}
	assert.Equal(t, r.run("ann", "return", "ub-1").status, bulrushcommand.ExitDone)
	assert.Equal(t, r.dataCentre(t, "ub-1").State, bulrushcatalogue.DataCentreServing)
}

// Guards against a move that starts from the wrong version or reuses a
// generation, and against a cancellation that lets requests reach the version
// the operator wants to be rid of.
func TestMove(t *testing.T) {
	start := []string{"move", "ledger", "--to", "v3", "--complete-in", "1h"}
	cancel := []string{"move", "cancel", "ledger"}
	const moving = `"move": {"generation": 4, "from_version": "v1", "to_version": "v2", "complete_by_ms": 9}`
	state := func(fields string) string { return `{"service": "ledger", "generation": 4` + fields + `}` }
	cases := map[string]struct {
		arguments   []string
		entry       string
		state       string
		status      bulrushcommand.ExitStatus
		stable      bulrushchute.Version
		from        bulrushchute.Version
		generations uint64
	}{
		"first move":              {start, `"stable_version": "v1"`, "", bulrushcommand.ExitDone, "v1", "v1", 2},
		"first from a flag":       {append(start, "--from", "v0"), `"subset": 4`, "", bulrushcommand.ExitDone, "v0", "v0", 2},
		"after a completed one":   {start, `"stable_version": "v1", ` + moving, state(`, "outcome": "completed"`), bulrushcommand.ExitDone, "v2", "v2", 5},
		"after a roll-back":       {start, `"stable_version": "v1", ` + moving, state(`, "outcome": "rolled-back"`), bulrushcommand.ExitDone, "v1", "v1", 5},
		"after a cancellation":    {start, `"stable_version": "v1"`, state(`, "outcome": "cancelled"`), bulrushcommand.ExitDone, "v1", "v1", 5},
		"while one is under way":  {start, moving, state(""), bulrushcommand.ExitFailed, "", "v1", 4},
		"while one is requested":  {start, moving, "", bulrushcommand.ExitFailed, "", "v1", 4},
		"to the version in place": {start, `"stable_version": "v3"`, "", bulrushcommand.ExitUsage, "v3", "", 0},
		"cancel":                  {cancel, moving, state(""), bulrushcommand.ExitDone, "v1", "", 0},
		"cancel a completed one":  {cancel, moving, state(`, "outcome": "completed"`), bulrushcommand.ExitFailed, "", "v1", 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.put(t, bulrushchute.KindServices, "ledger", `{"service": "ledger", "owner": "o", `+tc.entry+`}`)
			if tc.state != "" {
				r.put(t, bulrushchute.KindMoves, "ledger", tc.state)
			}
			got := r.run("ann", tc.arguments...)
			assert.Equal(t, got.status, tc.status, "%s%s", got.stdout, got.stderr)
			entry := r.service(t, "ledger")
			assert.Equal(t, entry.StableVersion, tc.stable)
			if tc.from == "" {
				assert.Assert(t, entry.Move == nil)
				return
			}
			assert.Equal(t, entry.Move.FromVersion, tc.from)
			assert.Equal(t, entry.Move.Generation, tc.generations)
		})
	}
}

// Guards against a generation that is used for a second move when the first
// was cancelled before any node began it.
func TestMoveAfterEarlyCancellation(t *testing.T) {
	r := newRig(t)
	r.put(t, bulrushchute.KindServices, "ledger", `{"service": "ledger", "owner": "o", "stable_version": "v1"}`)
	last := uint64(0)
	for range 3 {
		assert.Equal(t, r.run("ann", "move", "ledger", "--to", "v2", "--complete-in", "1h").status, bulrushcommand.ExitDone)
		generation := r.service(t, "ledger").Move.Generation
		assert.Assert(t, generation > last)
		last = generation
		assert.Equal(t, r.run("ann", "move", "cancel", "ledger").status, bulrushcommand.ExitDone)
	}
}

// Guards against a move that starts although another operator changed the
// version from which it was to start.
func TestMoveLosesRace(t *testing.T) {
	r := newRig(t)
	r.put(t, bulrushchute.KindServices, "ledger", `{"service": "ledger", "owner": "o", "stable_version": "v1"}`)
	r.before(bulrushstore.VerbUpdate, func() {
		r.put(t, bulrushchute.KindServices, "ledger", `{"service": "ledger", "owner": "o", "stable_version": "v2"}`)
	})
	got := r.run("ann", "move", "ledger", "--to", "v3", "--complete-in", "1h")
	assert.Equal(t, got.status, bulrushcommand.ExitLostRace)
	assert.Assert(t, cmp.Contains(got.stdout, "~ stable_version: v1 -> v2"))
	assert.Assert(t, r.service(t, "ledger").Move == nil)
}
