package bulrushcommand_test

import (
	"context"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/cmd/bulrushctl/bulrushcommand"
)

const (
	operatorRounds = 150
	operatorSeed   = 67
	// firstValue differs from all values stored before, so that every applied
	// edit makes a version of its own.
	firstValue = 5000
)

// operator edits one field round by round and notes what it was told.
type operator struct {
	name  string
	field string
	// told is the outcome by the value that the operator wrote.
	told map[int]bulrushcommand.ExitStatus
}

func (o *operator) work(t *testing.T, r *rig) {
	for round := range operatorRounds {
		value := firstValue + round
		read := r.run(o.name, "get", "services", "ledger", "--json")
		if read.status != bulrushcommand.ExitDone {
			continue
		}
		file := decode[bulrushcatalogue.File](t, read.stdout)
		if o.field == "timeout_ms" {
			file.Services[0].TimeoutMs = bulrushchute.Millis(value)
		} else {
			file.Services[0].Limits.QueueMs = bulrushchute.Millis(value)
		}
		got := r.run(o.name, "apply", r.named(t, o.name+".json", encode(t, file)))
		o.told[value] = got.status
		if got.status == bulrushcommand.ExitLostRace {
			assert.Check(t, strings.Contains(got.stdout, "was stored by "), "%s", got.stdout)
		}
	}
}

// Guards against an accepted edit that another operator's edit undoes, and
// against an operator who is told something else than what became of the edit.
func TestTwoOperators(t *testing.T) {
	r := newRig(t)
	r.put(t, bulrushchute.KindServices, "ledger", ledgerRival)
	r.memory.SetHistory(4 * operatorRounds)
	r.memory.SetFaults(bulrushstore.SeededFaults(operatorSeed, bulrushstore.FaultRates{Down: 0.02, ResponseLost: 0.1, StaleRead: 0.05}))
	operators := []*operator{
		{name: "ann", field: "timeout_ms", told: map[int]bulrushcommand.ExitStatus{}},
		{name: "bob", field: "limits.queue_ms", told: map[int]bulrushcommand.ExitStatus{}},
	}
	var running sync.WaitGroup
	for _, o := range operators {
		running.Go(func() { o.work(t, r) })
	}
	running.Wait()
	r.memory.SetFaults(nil)

	versions := r.history(t)
	counts := map[bulrushcommand.ExitStatus]int{}
	for _, o := range operators {
		stored := o.stored(t, versions)
		for value, status := range o.told {
			counts[status]++
			if status == bulrushcommand.ExitDone {
				assert.Check(t, stored[value] == 1, "%s was told that %d is applied, it is stored %d times", o.name, value, stored[value])
			} else if status != bulrushcommand.ExitUnknown {
				assert.Check(t, stored[value] == 0, "%s was told %d for %d, which is stored", o.name, status, value)
			}
		}
	}
	t.Logf("outcomes by exit status: %v, versions: %d", counts, len(versions))
	assert.Assert(t, counts[bulrushcommand.ExitDone] > 0 && counts[bulrushcommand.ExitLostRace] > 0, "%v", counts)
}

// stored counts the values that the operator's writes put into the field, and
// checks that each write changed this field only.
func (o *operator) stored(t *testing.T, versions []bulrushcatalogue.ServiceEntry) map[int]int {
	counts := map[int]int{}
	for i := 1; i < len(versions); i++ {
		if versions[i].Change.By != o.name {
			continue
		}
		changes := bulrushcatalogue.Diff(versions[i-1], versions[i])
		assert.Check(t, len(changes) == 1 && changes[0].Field == o.field, "%s undid another edit: %s", o.name, changes)
		value := versions[i].TimeoutMs
		if o.field != "timeout_ms" {
			value = versions[i].Limits.QueueMs
		}
		counts[int(value)]++
	}
	return counts
}

// history returns all stored versions of the entry in order.
func (r *rig) history(t *testing.T) []bulrushcatalogue.ServiceEntry {
	var versions []bulrushcatalogue.ServiceEntry
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	last := r.memory.Revision()
	err := r.memory.Watch(ctx, bulrushchute.KindServices, 0, func(event bulrushchute.StoreEvent) {
		entry, err := bulrushcatalogue.ParseService(event.Object.Value)
		assert.Check(t, err)
		versions = append(versions, entry)
		if event.Object.Version == last {
			cancel()
		}
	})
	assert.ErrorContains(t, err, "context canceled")
	return versions
}
