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
	ledgerOriginal   = `{"service": "ledger", "owner": "towpath", "timeout_ms": 1000}`
	ledgerEdited     = `{"service": "ledger", "owner": "towpath", "timeout_ms": 2000}`
	ledgerConcurrent = `{"service": "ledger", "owner": "towpath", "timeout_ms": 1000, "subset": 4,
		"change": {"writer": "bob-1", "by": "bob", "at_ms": 1799999999000}}`
	dataCentreEntry = `{"data_centre": "ub-1", "region": "ub", "state": "serving"}`
)

var (
	noFault           = bulrushstore.Fault{}
	downFault         = bulrushstore.Fault{Kind: bulrushstore.FaultDown}
	responseLostFault = bulrushstore.Fault{Kind: bulrushstore.FaultResponseLost}
	stallFault        = bulrushstore.Fault{Kind: bulrushstore.FaultSlow, Delay: bulrushchute.Hour}
)

// Guards against an edit that is overwritten, applied twice or reported with the
// wrong outcome when calls to the store fail. An apply calls get for the
// comparison with the file, then get and update. After a lost response it calls
// get once more to read the entry back.
func TestApplyUnderFaults(t *testing.T) {
	cases := map[string]struct {
		faults          []bulrushstore.Fault
		concurrentWrite bool
		wantStatus      bulrushcommand.ExitStatus
		wantTimeout     bulrushchute.Millis
		wantSubset      int
		wantWrites      uint64
		wantOutput      string
	}{
		"applied":                       {nil, false, bulrushcommand.ExitSuccess, 2000, 16, 1, "~ timeout_ms: 1000 -> 2000"},
		"concurrent edit":               {nil, true, bulrushcommand.ExitLostRace, 1000, 4, 1, "~ subset: 16 -> 4"},
		"response lost, in effect":      {[]bulrushstore.Fault{noFault, noFault, responseLostFault}, false, bulrushcommand.ExitSuccess, 2000, 16, 1, "applied"},
		"response lost, not read back":  {[]bulrushstore.Fault{noFault, noFault, responseLostFault, downFault}, false, bulrushcommand.ExitUnknown, 2000, 16, 1, "unknown"},
		"store down at the comparison":  {[]bulrushstore.Fault{downFault}, false, bulrushcommand.ExitFailed, 1000, 16, 0, "nothing was applied"},
		"store down at the write":       {[]bulrushstore.Fault{noFault, noFault, downFault}, false, bulrushcommand.ExitFailed, 1000, 16, 0, "failed"},
		"stalled write, without effect": {[]bulrushstore.Fault{noFault, noFault, stallFault}, false, bulrushcommand.ExitSuccess, 2000, 16, 1, "applied"},
		"stalled comparison":            {[]bulrushstore.Fault{stallFault}, false, bulrushcommand.ExitFailed, 1000, 16, 0, "nothing was applied"},
		"stale read before the write":   {[]bulrushstore.Fault{noFault, {Kind: bulrushstore.FaultStaleRead}}, false, bulrushcommand.ExitFailed, 1000, 16, 0, "failed"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			// A stale read returns this older version.
			h.put(t, bulrushchute.KindServices, "ledger", `{"service": "ledger", "owner": "nobody"}`)
			h.put(t, bulrushchute.KindServices, "ledger", ledgerOriginal)
			revisionBefore := h.store.Revision()
			h.store.SetFaults(bulrushstore.ScriptedFaults(tc.faults...))
			if tc.concurrentWrite {
				h.beforeFirst(bulrushstore.VerbUpdate, func() { h.put(t, bulrushchute.KindServices, "ledger", ledgerConcurrent) })
			}
			got := h.run("ann", "apply", "--timeout", "1s", h.writeCatalogue(t, `{"services": [`+ledgerEdited+`]}`))
			h.store.SetFaults(nil)
			assert.Equal(t, got.status, tc.wantStatus, "%s%s", got.stdout, got.stderr)
			assert.Assert(t, cmp.Contains(got.stdout+got.stderr, tc.wantOutput))
			assert.Equal(t, h.store.Revision()-revisionBefore, tc.wantWrites)
			entry := h.service(t, "ledger").WithDefaults()
			assert.Equal(t, entry.TimeoutMs, tc.wantTimeout)
			assert.Equal(t, entry.Subset, tc.wantSubset)
		})
	}
}

// Guards against a conflict report that does not tell which fields another
// operator changed, who that was and when. The file's base is first a whole entry,
// then only a version.
func TestApplyReportsConflictingWrite(t *testing.T) {
	h := newHarness(t)
	h.put(t, bulrushchute.KindServices, "ledger", ledgerOriginal)
	got := h.run("ann", "get", "services", "ledger", "--json")
	assert.Equal(t, got.status, bulrushcommand.ExitSuccess, got.stderr)
	edited := h.writeCatalogue(t, strings.Replace(got.stdout, `"timeout_ms": 1000`, `"timeout_ms": 2000`, 1))
	h.put(t, bulrushchute.KindServices, "ledger", ledgerConcurrent)

	for _, command := range []string{"diff", "apply"} {
		got = h.run("ann", command, edited)
		assert.Equal(t, got.status, bulrushcommand.ExitLostRace)
		for _, text := range []string{"version 2 was stored by bob at 2027-01-15T07:59:59Z", "fields that the other changed", "subset", "based on version 1", "the edit:\n    ~ timeout_ms: 1000 -> 2000\nb"} {
			assert.Assert(t, cmp.Contains(got.stdout+got.stderr, text))
		}
	}
	got = h.run("ann", "apply", "--json", h.writeCatalogue(t, `{"services": [`+ledgerEdited+`], "based_on": [{"kind": "services", "name": "ledger", "version": 1}]}`))
	assert.Equal(t, got.status, bulrushcommand.ExitLostRace)
	race := decode[bulrushcommand.EditResult](t, got.stdout).Entries[0].Race
	assert.Equal(t, race.By, "bob")
	assert.Equal(t, race.BaseKnown, false)
	assert.Equal(t, len(race.Changes), 2)
	assert.Equal(t, h.store.Revision(), uint64(2))
}

// Guards against an apply that rejects the output of get, and against writes that
// change nothing.
func TestApplyAcceptsGetOutput(t *testing.T) {
	h := newHarness(t)
	first := h.run("ann", "apply", h.writeCatalogue(t, `{"services": [`+ledgerOriginal+`], "data_centres": [`+dataCentreEntry+`]}`))
	assert.Equal(t, first.status, bulrushcommand.ExitSuccess, first.stdout)
	assert.Equal(t, h.service(t, "ledger").LastChange.By, "ann")
	printed := h.run("ann", "get", "--json")
	again := h.run("bob", "apply", h.writeCatalogue(t, printed.stdout))
	assert.Equal(t, again.status, bulrushcommand.ExitSuccess, again.stdout)
	assert.Equal(t, strings.Count(again.stdout, "unchanged"), 2)
	assert.Equal(t, h.store.Revision(), uint64(2))
	shown := h.run("ann", "get", "datacentres", "ub-1")
	assert.Assert(t, cmp.Contains(shown.stdout, "return_ramp_ms"))
}

// Guards against a report that does not show which of several entries were
// applied.
func TestApplyReportsEachEntry(t *testing.T) {
	h := newHarness(t)
	h.put(t, bulrushchute.KindServices, "ledger", ledgerOriginal)
	file := h.writeCatalogue(t, `{"services": [{"service": "board", "owner": "towpath"}, `+ledgerEdited+`], "data_centres": [`+dataCentreEntry+`]}`)
	h.beforeFirst(bulrushstore.VerbUpdate, func() { h.put(t, bulrushchute.KindServices, "ledger", ledgerConcurrent) })
	got := h.run("ann", "apply", "--json", file)
	assert.Equal(t, got.status, bulrushcommand.ExitLostRace)
	var outcomes []bulrushcommand.Outcome
	for _, entry := range decode[bulrushcommand.EditResult](t, got.stdout).Entries {
		outcomes = append(outcomes, entry.Outcome)
	}
	assert.DeepEqual(t, outcomes, []bulrushcommand.Outcome{"applied", "lost_race", "not_tried"})
	_, err := h.store.Get(context.Background(), bulrushchute.KindDataCentres, "ub-1")
	assert.ErrorContains(t, err, "does not exist")
}

// Guards against two operators who create the same entry and are both told that
// theirs was stored.
func TestApplyCreatesOnce(t *testing.T) {
	cases := map[string]struct {
		faults          []bulrushstore.Fault
		concurrentWrite bool
		wantStatus      bulrushcommand.ExitStatus
		wantBy          string
	}{
		"created":                      {nil, false, bulrushcommand.ExitSuccess, "ann"},
		"response lost":                {[]bulrushstore.Fault{noFault, responseLostFault}, false, bulrushcommand.ExitSuccess, "ann"},
		"response lost, not read back": {[]bulrushstore.Fault{noFault, responseLostFault, downFault}, false, bulrushcommand.ExitUnknown, "ann"},
		"created concurrently":         {nil, true, bulrushcommand.ExitLostRace, "bob"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.store.SetFaults(bulrushstore.ScriptedFaults(tc.faults...))
			if tc.concurrentWrite {
				h.beforeFirst(bulrushstore.VerbCreate, func() { h.put(t, bulrushchute.KindServices, "ledger", ledgerConcurrent) })
			}
			got := h.run("ann", "apply", h.writeCatalogue(t, `{"services": [`+ledgerOriginal+`]}`))
			h.store.SetFaults(nil)
			assert.Equal(t, got.status, tc.wantStatus, "%s", got.stdout)
			assert.Equal(t, h.service(t, "ledger").LastChange.By, tc.wantBy)
			assert.Equal(t, h.store.Revision(), uint64(1))
		})
	}
}

// Guards against rejected commands that store something, return the wrong exit
// status or do not report the field, its value and the allowed values.
func TestInvalidCommands(t *testing.T) {
	file := func(text string) func(*testing.T, *harness) []string {
		return func(t *testing.T, h *harness) []string { return []string{"apply", h.writeCatalogue(t, text)} }
	}
	args := func(args ...string) func(*testing.T, *harness) []string {
		return func(*testing.T, *harness) []string { return args }
	}
	cases := map[string]struct {
		arguments  func(*testing.T, *harness) []string
		wantStatus bulrushcommand.ExitStatus
		wantOutput string
	}{
		"not JSON":                    {file(`{`), bulrushcommand.ExitFailed, "field document"},
		"unknown field":               {file(`{"services": [{"service": "a", "owner": "o", "slots": 3}]}`), bulrushcommand.ExitFailed, `field services[0].slots: value "slots" is not allowed, want one of the fields service`},
		"value out of range":          {file(`{"services": [{"service": "a", "owner": "o", "subset": 1001}]}`), bulrushcommand.ExitFailed, `field services[0].subset: value "1001" is not allowed, want at most 1000`},
		"generation reused":           {file(`{"services": [{"service": "moving", "owner": "o", "move": {"generation": 2, "from_version": "v1", "to_version": "v3", "complete_by_ms": 9}}]}`), bulrushcommand.ExitFailed, "move.generation"},
		"generation of an ended move": {file(`{"services": [{"service": "ledger", "owner": "o", "move": {"generation": 7, "from_version": "v1", "to_version": "v3", "complete_by_ms": 9}}]}`), bulrushcommand.ExitFailed, "more than 7, the generation of"},
		"base version never stored":   {file(`{"services": [` + ledgerEdited + `], "based_on": [{"kind": "services", "name": "ledger", "version": 99}]}`), bulrushcommand.ExitFailed, `"99"`},
		"missing file":                {args("apply", "none.json"), bulrushcommand.ExitFailed, "none.json"},
		"missing data centre":         {args("withdraw", "none"), bulrushcommand.ExitFailed, "datacentres/none does not exist"},
		"unknown command":             {args("remove"), bulrushcommand.ExitUsage, "remove"},
		"unknown flag":                {args("get", "--all"), bulrushcommand.ExitUsage, "--all"},
		"missing argument":            {args("withdraw"), bulrushcommand.ExitUsage, "1 arg"},
		"unknown kind":                {args("get", "moves"), bulrushcommand.ExitUsage, `"moves" is not allowed, want services or datacentres`},
		"invalid store URL":           {args("get", "--store", "10.0.0.1:80"), bulrushcommand.ExitUsage, "--store"},
		"timeout out of range":        {args("get", "--timeout", "0s"), bulrushcommand.ExitUsage, "1ms to 1h"},
		"missing operator":            {args("withdraw", "ub-1", "--by", ""), bulrushcommand.ExitUsage, "--by"},
		"missing version":             {args("move", "ledger", "--complete-in", "1h"), bulrushcommand.ExitUsage, "--to"},
		"missing duration":            {args("move", "ledger", "--to", "v2"), bulrushcommand.ExitUsage, "30s to 720h"},
		"move under way":              {args("move", "moving", "--to", "v3", "--complete-in", "1h"), bulrushcommand.ExitFailed, "cancel it first"},
		"no move to cancel":           {args("move", "cancel", "ledger"), bulrushcommand.ExitFailed, "has no move"},
		"invalid version":             {args("move", "ledger", "--from", "v1", "--to", "v 2", "--complete-in", "1h"), bulrushcommand.ExitFailed, `field move.to_version: value "v 2"`},
		"missing start version":       {args("move", "ledger", "--to", "v2", "--complete-in", "1h"), bulrushcommand.ExitUsage, "--from"},
		"invalid node address":        {args("status", "--node", "here"), bulrushcommand.ExitUsage, "--node"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.put(t, bulrushchute.KindServices, "ledger", ledgerOriginal)
			h.put(t, bulrushchute.KindServices, "moving", `{"service": "moving", "owner": "o", "move": {"generation": 2, "from_version": "v1", "to_version": "v2", "complete_by_ms": 9}}`)
			h.put(t, bulrushchute.KindDataCentres, "ub-1", dataCentreEntry)
			h.put(t, bulrushchute.KindMoves, "ledger", `{"service": "ledger", "generation": 7, "outcome": "cancelled"}`)
			got := h.run("ann", tc.arguments(t, h)...)
			assert.Equal(t, got.status, tc.wantStatus, "%s%s", got.stdout, got.stderr)
			assert.Assert(t, cmp.Contains(got.stdout+got.stderr, tc.wantOutput))
			assert.Equal(t, h.store.Revision(), uint64(4))
		})
	}
}

// Guards against an invalid stored entry that get does not report or that apply
// cannot replace.
func TestApplyReplacesAnInvalidEntry(t *testing.T) {
	h := newHarness(t)
	h.put(t, bulrushchute.KindServices, "ledger", `{"service": "ledger", "slots": 3}`)
	got := h.run("ann", "get")
	assert.Equal(t, got.status, bulrushcommand.ExitFailed)
	assert.Assert(t, cmp.Contains(got.stderr, "stored entry services/ledger is invalid: field slots"))
	got = h.run("ann", "apply", h.writeCatalogue(t, `{"services": [`+ledgerOriginal+`]}`))
	assert.Equal(t, got.status, bulrushcommand.ExitSuccess, got.stdout)
	assert.Equal(t, h.service(t, "ledger").TimeoutMs, bulrushchute.Second)
}
