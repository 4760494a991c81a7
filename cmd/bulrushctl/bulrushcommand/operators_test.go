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
	editsPerOperator = 150
	faultSeed        = 67
	// firstValue differs from all values stored before, so that every applied
	// edit creates a new version.
	firstValue = 5000
)

// operator edits one field repeatedly and records the reported exit statuses.
type operator struct {
	name  string
	field string
	// reported maps each value that the operator tried to store to the exit status
	// of the apply.
	reported map[int]bulrushcommand.ExitStatus
}

func (o *operator) editRepeatedly(t *testing.T, h *harness) {
	for round := range editsPerOperator {
		value := firstValue + round
		read := h.run(o.name, "get", "services", "ledger", "--json")
		if read.status != bulrushcommand.ExitSuccess {
			continue
		}
		file := decode[bulrushcatalogue.File](t, read.stdout)
		if o.field == "timeout_ms" {
			file.Services[0].TimeoutMs = bulrushchute.Millis(value)
		} else {
			file.Services[0].Limits.QueueMs = bulrushchute.Millis(value)
		}
		got := h.run(o.name, "apply", h.writeFile(t, o.name+".json", encode(t, file)))
		o.reported[value] = got.status
		if got.status == bulrushcommand.ExitLostRace {
			assert.Check(t, strings.Contains(got.stdout, "was stored by "), "%s", got.stdout)
		}
	}
}

// Guards against an accepted edit that another operator's edit reverts, and
// against an exit status that contradicts what is stored.
func TestConcurrentOperators(t *testing.T) {
	h := newHarness(t)
	h.put(t, bulrushchute.KindServices, "ledger", ledgerConcurrent)
	// The history must contain all versions, because entryHistory reads them.
	h.store.SetHistoryLength(4 * editsPerOperator)
	h.store.SetFaults(bulrushstore.SeededFaults(faultSeed, bulrushstore.FaultRates{Down: 0.02, ResponseLost: 0.1, StaleRead: 0.05}))
	operators := []*operator{
		{name: "ann", field: "timeout_ms", reported: map[int]bulrushcommand.ExitStatus{}},
		{name: "bob", field: "limits.queue_ms", reported: map[int]bulrushcommand.ExitStatus{}},
	}
	var wg sync.WaitGroup
	for _, o := range operators {
		wg.Go(func() { o.editRepeatedly(t, h) })
	}
	wg.Wait()
	h.store.SetFaults(nil)

	versions := h.entryHistory(t)
	counts := map[bulrushcommand.ExitStatus]int{}
	for _, o := range operators {
		storedCounts := o.countStored(t, versions)
		for value, status := range o.reported {
			counts[status]++
			if status == bulrushcommand.ExitSuccess {
				assert.Check(t, storedCounts[value] == 1, "%s: exit status 0 for value %d, which is stored %d times", o.name, value, storedCounts[value])
			} else if status != bulrushcommand.ExitUnknown {
				assert.Check(t, storedCounts[value] == 0, "%s: exit status %d for value %d, which is stored", o.name, status, value)
			}
		}
	}
	t.Logf("outcomes by exit status: %v, versions: %d", counts, len(versions))
	assert.Assert(t, counts[bulrushcommand.ExitSuccess] > 0 && counts[bulrushcommand.ExitLostRace] > 0, "%v", counts)
}

// countStored counts the versions in which the operator stored each value of the
// field, and checks that these writes changed only this field.
func (o *operator) countStored(t *testing.T, versions []bulrushcatalogue.ServiceEntry) map[int]int {
	counts := map[int]int{}
	for i := 1; i < len(versions); i++ {
		if versions[i].LastChange.By != o.name {
			continue
		}
		changes := bulrushcatalogue.Diff(versions[i-1], versions[i])
		assert.Check(t, len(changes) == 1 && changes[0].Field == o.field, "%s changed other fields than its own: %s", o.name, changes)
		value := versions[i].TimeoutMs
		if o.field != "timeout_ms" {
			value = versions[i].Limits.QueueMs
		}
		counts[int(value)]++
	}
	return counts
}

// entryHistory returns all stored versions of the entry, oldest first.
func (h *harness) entryHistory(t *testing.T) []bulrushcatalogue.ServiceEntry {
	var versions []bulrushcatalogue.ServiceEntry
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	last := h.store.Revision()
	err := h.store.Watch(ctx, bulrushchute.KindServices, 0, func(event bulrushchute.StoreEvent) {
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
