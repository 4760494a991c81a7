package bulrushcommand_test

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/cmd/bulrushctl/bulrushcommand"
)

const (
	ledgerFirst  = `{"service": "ledger", "owner": "towpath", "timeout_ms": 1000}`
	ledgerEdited = `{"service": "ledger", "owner": "towpath", "timeout_ms": 2000}`
	ledgerRival  = `{"service": "ledger", "owner": "towpath", "timeout_ms": 1000, "subset": 4,
		"change": {"writer": "bob-1", "by": "bob", "at_ms": 1799999999000}}`
	centre = `{"data_centre": "ub-1", "region": "ub", "state": "serving"}`
)

var (
	pass    = bulrushstore.Fault{}
	down    = bulrushstore.Fault{Kind: bulrushstore.FaultDown}
	lost    = bulrushstore.Fault{Kind: bulrushstore.FaultResponseLost}
	stalled = bulrushstore.Fault{Kind: bulrushstore.FaultSlow, Delay: bulrushchute.Hour}
)

// Guards against an edit that is overwritten, doubled or reported as something
// else than what became of it. The calls of an apply are: get (compare), get,
// update, and a get that reads back after a lost answer.
func TestApplyUnderFaults(t *testing.T) {
	cases := map[string]struct {
		faults  []bulrushstore.Fault
		rival   bool
		status  bulrushcommand.ExitStatus
		timeout bulrushchute.Millis
		subset  int
		writes  uint64
		says    string
	}{
		"applied":                       {nil, false, bulrushcommand.ExitDone, 2000, 16, 1, "~ timeout_ms: 1000 -> 2000"},
		"race lost":                     {nil, true, bulrushcommand.ExitLostRace, 1000, 4, 1, "~ subset: 16 -> 4"},
		"answer lost, in effect":        {[]bulrushstore.Fault{pass, pass, lost}, false, bulrushcommand.ExitDone, 2000, 16, 1, "applied"},
		"answer lost, not read back":    {[]bulrushstore.Fault{pass, pass, lost, down}, false, bulrushcommand.ExitUnknown, 2000, 16, 1, "unknown"},
		"down at the comparison":        {[]bulrushstore.Fault{down}, false, bulrushcommand.ExitFailed, 1000, 16, 0, "nothing was applied"},
		"down at the write":             {[]bulrushstore.Fault{pass, pass, down}, false, bulrushcommand.ExitFailed, 1000, 16, 0, "failed"},
		"stalled write, without effect": {[]bulrushstore.Fault{pass, pass, stalled}, false, bulrushcommand.ExitDone, 2000, 16, 1, "applied"},
		"stalled comparison":            {[]bulrushstore.Fault{stalled}, false, bulrushcommand.ExitFailed, 1000, 16, 0, "nothing was applied"},
		"stale answer at the write":     {[]bulrushstore.Fault{pass, {Kind: bulrushstore.FaultStaleRead}}, false, bulrushcommand.ExitFailed, 1000, 16, 0, "failed"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.put(t, bulrushchute.KindServices, "ledger", `{"service": "ledger", "owner": "nobody"}`)
			r.put(t, bulrushchute.KindServices, "ledger", ledgerFirst)
			before := r.memory.Revision()
			r.memory.SetFaults(bulrushstore.ScriptedFaults(tc.faults...))
			if tc.rival {
				r.before(bulrushstore.VerbUpdate, func() { r.put(t, bulrushchute.KindServices, "ledger", ledgerRival) })
			}
			got := r.run("ann", "apply", "--timeout", "1s", r.file(t, `{"services": [`+ledgerEdited+`]}`))
			r.memory.SetFaults(nil)
			assert.Equal(t, got.status, tc.status, "%s%s", got.stdout, got.stderr)
			assert.Assert(t, cmp.Contains(got.stdout+got.stderr, tc.says))
			assert.Equal(t, r.memory.Revision()-before, tc.writes)
			entry := r.service(t, "ledger").WithDefaults()
			assert.Equal(t, entry.TimeoutMs, tc.timeout)
			assert.Equal(t, entry.Subset, tc.subset)
		})
	}
}

// Guards against a loser who is not told which fields changed, by whom and
// when, with a base version alone and with the base entry.
func TestApplyNamesTheWinner(t *testing.T) {
	r := newRig(t)
	r.put(t, bulrushchute.KindServices, "ledger", ledgerFirst)
	got := r.run("ann", "get", "services", "ledger", "--json")
	assert.Equal(t, got.status, bulrushcommand.ExitDone, got.stderr)
	edited := r.file(t, strings.Replace(got.stdout, `"timeout_ms": 1000`, `"timeout_ms": 2000`, 1))
	r.put(t, bulrushchute.KindServices, "ledger", ledgerRival)

	for _, command := range []string{"diff", "apply"} {
		got = r.run("ann", command, edited)
		assert.Equal(t, got.status, bulrushcommand.ExitLostRace)
		for _, part := range []string{"version 2 was stored by bob at 2027-01-15T07:59:59Z", "fields that the other changed", "subset", "based on version 1", "the edit:\n    ~ timeout_ms: 1000 -> 2000\nb"} {
			assert.Assert(t, cmp.Contains(got.stdout+got.stderr, part))
		}
	}
	got = r.run("ann", "apply", "--json", r.file(t, `{"services": [`+ledgerEdited+`], "based_on": [{"kind": "services", "name": "ledger", "version": 1}]}`))
	assert.Equal(t, got.status, bulrushcommand.ExitLostRace)
	race := decode[bulrushcommand.EditResult](t, got.stdout).Entries[0].Race
	assert.Equal(t, race.By, "bob")
	assert.Equal(t, race.BaseKnown, false)
	assert.Equal(t, len(race.Changes), 2)
	assert.Equal(t, r.memory.Revision(), uint64(2))
}

// Guards against a file that get prints and apply does not take, and against
// writes that change nothing.
func TestGetAndApplyAgain(t *testing.T) {
	r := newRig(t)
	first := r.run("ann", "apply", r.file(t, `{"services": [`+ledgerFirst+`], "data_centres": [`+centre+`]}`))
	assert.Equal(t, first.status, bulrushcommand.ExitDone, first.stdout)
	assert.Equal(t, r.service(t, "ledger").Change.By, "ann")
	printed := r.run("ann", "get", "--json")
	again := r.run("bob", "apply", r.file(t, printed.stdout))
	assert.Equal(t, again.status, bulrushcommand.ExitDone, again.stdout)
	assert.Equal(t, strings.Count(again.stdout, "unchanged"), 2)
	assert.Equal(t, r.memory.Revision(), uint64(2))
	shown := r.run("ann", "get", "datacentres", "ub-1")
	assert.Assert(t, cmp.Contains(shown.stdout, "return_ramp_ms"))
}

// Guards against a report that hides which of several entries were applied.
func TestApplySeveral(t *testing.T) {
	r := newRig(t)
	r.put(t, bulrushchute.KindServices, "ledger", ledgerFirst)
	file := r.file(t, `{"services": [{"service": "board", "owner": "towpath"}, `+ledgerEdited+`], "data_centres": [`+centre+`]}`)
	r.before(bulrushstore.VerbUpdate, func() { r.put(t, bulrushchute.KindServices, "ledger", ledgerRival) })
	got := r.run("ann", "apply", "--json", file)
	assert.Equal(t, got.status, bulrushcommand.ExitLostRace)
	var outcomes []bulrushcommand.Outcome
	for _, entry := range decode[bulrushcommand.EditResult](t, got.stdout).Entries {
		outcomes = append(outcomes, entry.Outcome)
	}
	assert.DeepEqual(t, outcomes, []bulrushcommand.Outcome{"applied", "lost_race", "not_tried"})
	_, err := r.memory.Get(context.Background(), bulrushchute.KindDataCentres, "ub-1")
	assert.ErrorContains(t, err, "does not exist")
}

// Guards against two operators who create one entry and both believe in theirs.
func TestApplyCreatesOnce(t *testing.T) {
	cases := map[string]struct {
		faults []bulrushstore.Fault
		rival  bool
		status bulrushcommand.ExitStatus
		by     string
	}{
		"created":                     {nil, false, bulrushcommand.ExitDone, "ann"},
		"answer lost":                 {[]bulrushstore.Fault{pass, lost}, false, bulrushcommand.ExitDone, "ann"},
		"answer lost, not read back":  {[]bulrushstore.Fault{pass, lost, down}, false, bulrushcommand.ExitUnknown, "ann"},
		"created by another meantime": {nil, true, bulrushcommand.ExitLostRace, "bob"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.memory.SetFaults(bulrushstore.ScriptedFaults(tc.faults...))
			if tc.rival {
				r.before(bulrushstore.VerbCreate, func() { r.put(t, bulrushchute.KindServices, "ledger", ledgerRival) })
			}
			got := r.run("ann", "apply", r.file(t, `{"services": [`+ledgerFirst+`]}`))
			r.memory.SetFaults(nil)
			assert.Equal(t, got.status, tc.status, "%s", got.stdout)
			assert.Equal(t, r.service(t, "ledger").Change.By, tc.by)
			assert.Equal(t, r.memory.Revision(), uint64(1))
		})
	}
}

// Guards against refusals that store something, have the wrong exit status or
// do not name the field, the value and what is allowed.
func TestRefusals(t *testing.T) {
	file := func(text string) func(*testing.T, *rig) []string {
		return func(t *testing.T, r *rig) []string { return []string{"apply", r.file(t, text)} }
	}
	words := func(words ...string) func(*testing.T, *rig) []string {
		return func(*testing.T, *rig) []string { return words }
	}
	cases := map[string]struct {
		arguments func(*testing.T, *rig) []string
		status    bulrushcommand.ExitStatus
		says      string
	}{
		"not JSON":            {file(`{`), bulrushcommand.ExitFailed, "field document"},
		"unknown field":       {file(`{"services": [{"service": "a", "owner": "o", "slots": 3}]}`), bulrushcommand.ExitFailed, `field services[0].slots: value "slots" is not allowed, want one of the fields service`},
		"value out of range":  {file(`{"services": [{"service": "a", "owner": "o", "subset": 1001}]}`), bulrushcommand.ExitFailed, `field services[0].subset: value "1001" is not allowed, want at most 1000`},
		"generation reused":   {file(`{"services": [{"service": "moving", "owner": "o", "move": {"generation": 2, "from_version": "v1", "to_version": "v3", "complete_by_ms": 9}}]}`), bulrushcommand.ExitFailed, "move.generation"},
		"generation ended":    {file(`{"services": [{"service": "ledger", "owner": "o", "move": {"generation": 7, "from_version": "v1", "to_version": "v3", "complete_by_ms": 9}}]}`), bulrushcommand.ExitFailed, "more than 7, the generation of"},
		"base never stored":   {file(`{"services": [` + ledgerEdited + `], "based_on": [{"kind": "services", "name": "ledger", "version": 99}]}`), bulrushcommand.ExitFailed, `"99"`},
		"no file":             {words("apply", "none.json"), bulrushcommand.ExitFailed, "none.json"},
		"no such data centre": {words("withdraw", "none"), bulrushcommand.ExitFailed, "datacentres/none does not exist"},
		"unknown command":     {words("remove"), bulrushcommand.ExitUsage, "remove"},
		"unknown flag":        {words("get", "--all"), bulrushcommand.ExitUsage, "--all"},
		"missing argument":    {words("withdraw"), bulrushcommand.ExitUsage, "1 arg"},
		"kind":                {words("get", "moves"), bulrushcommand.ExitUsage, `"moves" is not allowed, want services or datacentres`},
		"store URL":           {words("get", "--store", "10.0.0.1:80"), bulrushcommand.ExitUsage, "--store"},
		"timeout":             {words("get", "--timeout", "0s"), bulrushcommand.ExitUsage, "1ms to 1h"},
		"no operator":         {words("withdraw", "ub-1", "--by", ""), bulrushcommand.ExitUsage, "--by"},
		"no version":          {words("move", "ledger", "--complete-in", "1h"), bulrushcommand.ExitUsage, "--to"},
		"no time":             {words("move", "ledger", "--to", "v2"), bulrushcommand.ExitUsage, "30s to 720h"},
		"move under way":      {words("move", "moving", "--to", "v3", "--complete-in", "1h"), bulrushcommand.ExitFailed, "cancel it first"},
		"no move to cancel":   {words("move", "cancel", "ledger"), bulrushcommand.ExitFailed, "has no move"},
		"version":             {words("move", "ledger", "--from", "v1", "--to", "v 2", "--complete-in", "1h"), bulrushcommand.ExitFailed, `field move.to_version: value "v 2"`},
		"start version":       {words("move", "ledger", "--to", "v2", "--complete-in", "1h"), bulrushcommand.ExitUsage, "--from"},
		"node address":        {words("status", "--node", "here"), bulrushcommand.ExitUsage, "--node"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.put(t, bulrushchute.KindServices, "ledger", ledgerFirst)
			r.put(t, bulrushchute.KindServices, "moving", `{"service": "moving", "owner": "o", "move": {"generation": 2, "from_version": "v1", "to_version": "v2", "complete_by_ms": 9}}`)
			r.put(t, bulrushchute.KindDataCentres, "ub-1", centre)
			r.put(t, bulrushchute.KindMoves, "ledger", `{"service": "ledger", "generation": 7, "outcome": "cancelled"}`)
			got := r.run("ann", tc.arguments(t, r)...)
			assert.Equal(t, got.status, tc.status, "%s%s", got.stdout, got.stderr)
			assert.Assert(t, cmp.Contains(got.stdout+got.stderr, tc.says))
			assert.Equal(t, r.memory.Revision(), uint64(4))
		})
	}
}

// Guards against an invalid stored entry that can no longer be replaced.
func TestApplyReplacesAnInvalidEntry(t *testing.T) {
	r := newRig(t)
	r.put(t, bulrushchute.KindServices, "ledger", `{"service": "ledger", "slots": 3}`)
	got := r.run("ann", "get")
	assert.Equal(t, got.status, bulrushcommand.ExitFailed)
	assert.Assert(t, cmp.Contains(got.stderr, "stored entry services/ledger is invalid: field slots"))
	got = r.run("ann", "apply", r.file(t, `{"services": [`+ledgerFirst+`]}`))
	assert.Equal(t, got.status, bulrushcommand.ExitDone, got.stdout)
	assert.Equal(t, r.service(t, "ledger").TimeoutMs, bulrushchute.Second)
}
