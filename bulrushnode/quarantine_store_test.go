package bulrushnode

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushquarantine"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// listQuarantines returns the stored objects.
func listQuarantines(t *testing.T, store *bulrushstore.Memory) []bulrushchute.Object {
	objects, _, err := store.List(t.Context(), bulrushchute.KindQuarantines)
	assert.NilError(t, err)
	return objects
}

// Guards against a request that crashes servers again because all nodes lost power at
// once and nothing remembers it, and against stored objects that are never removed.
func TestQuarantineOutlivesTheLossOfAllNodes(t *testing.T) {
	attempt := attemptTo("board", 1, bulrushchute.NewManualClock(1_000_000))
	cases := map[string]struct {
		trial bool
		after bulrushchute.Millis
		want  bulrushquarantine.Verdict
		kept  int
	}{
		"cause known":       {true, bulrushchute.Second, bulrushquarantine.Quarantined, 1},
		"ran at one crash":  {false, bulrushchute.Second, bulrushquarantine.Free, 0},
		"more than a day":   {true, 25 * bulrushchute.Hour, bulrushquarantine.Free, 0},
		"next trial is due": {true, 11 * bulrushchute.Minute, bulrushquarantine.Suspect, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			store := bulrushstore.NewMemory()
			former := newTestNode("a")
			for _, at := range []bulrushchute.Millis{1_000_000, 1_000_001} {
				former.quarantine.ledger.RecordCrash(reportAgainst(attempt, at, tc.trial).Crashes[0])
			}
			writer := &quarantineWriter{store: store, instance: former.id}
			assert.NilError(t, writer.write(t.Context(), former.quarantine.ledger.Durable(1_000_000)))

			clock := bulrushchute.NewManualClock(1_000_000 + tc.after)
			n := New(former.settings, store, clock)
			go func() { _ = n.control.run(t.Context()) }()
			r := &reader{node: n}
			assert.NilError(t, r.publishStoredQuarantines(t.Context()))
			_, assessment := n.quarantine.assessAtEntry(clock.Now(), attempt)
			assert.Equal(t, assessment.Verdict, tc.want)
			assert.Equal(t, len(listQuarantines(t, store)), tc.kept)
		})
	}
}

// Guards against an object that is missing or left over in the store because the
// answers to calls were lost.
func TestQuarantineIsStoredThoughAnswersAreLost(t *testing.T) {
	attempt := attemptTo("board", 1, bulrushchute.NewManualClock(1_000_000))
	for seed := range uint64(20) {
		store := bulrushstore.NewMemory()
		store.SetFaults(bulrushstore.SeededFaults(seed, bulrushstore.FaultRates{ResponseLost: 0.4, Down: 0.2}))
		writer := &quarantineWriter{store: store, instance: "10.0.0.1:7000/ab"}
		reports := []bulrushquarantine.Report{reportAgainst(attempt, 1, true), reportAgainst(attempt, 2, true), {}, reportAgainst(attempt, 3, true), {}}
		for i, report := range reports {
			for writer.write(t.Context(), report) != nil {
			}
			store.SetFaults(nil)
			assert.Equal(t, len(listQuarantines(t, store)), len(report.Crashes), "seed %d, report %d", seed, i)
			store.SetFaults(bulrushstore.SeededFaults(seed+uint64(i), bulrushstore.FaultRates{ResponseLost: 0.4, Down: 0.2}))
		}
	}
}

// Guards against a writer that stores an old report last, or none at all, when reports
// come faster than the store takes them.
func TestLatestQuarantineIsStored(t *testing.T) {
	store := bulrushstore.NewMemory()
	ctx, cancel := context.WithCancel(t.Context())
	q := newQuarantine(bulrushchute.NewManualClock(1_000_000), "n")
	ended := make(chan error, 1)
	go func() { ended <- (&quarantineWriter{store: store, instance: "n"}).run(ctx, q.durable) }()
	attempt := attemptTo("board", 1, bulrushchute.NewManualClock(1_000_000))
	for at := range bulrushchute.Millis(20) {
		q.ledger.RecordCrash(reportAgainst(attempt, 1_000_000+at, true).Crashes[0])
		q.updateDurable(1_000_000)
	}
	const latest = 1_000_019
	stored := func() bulrushchute.Millis {
		objects := listQuarantines(t, store)
		if len(objects) == 0 {
			return 0
		}
		report, err := parseStoredQuarantine(objects[0])
		assert.NilError(t, err)
		return report.Report.LastCrashAt()
	}
	for deadline := time.Now().Add(10 * time.Second); stored() < latest; {
		assert.Assert(t, time.Now().Before(deadline), "stored up to %d", stored())
		time.Sleep(time.Millisecond)
	}
	cancel()
	assert.NilError(t, <-ended)
}
