package bulrushfreshness

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

const testStart bulrushchute.Millis = 1_700_000_000_000

func newTestTracker(seed uint64) *Tracker {
	return NewTracker(testStart, 150, rand.New(rand.NewPCG(seed, 1)))
}

// Guards against a copy that counts as current although a change is missing, and
// against one that counts as outdated because it is ahead of the confirmation.
func TestConfirmationComparedWithCopy(t *testing.T) {
	cases := map[string]struct {
		copied       Summary
		confirmation Confirmation
		confirmed    bool
		behind       bool
	}{
		"same":              {Summary{Hash: 7, Newest: 4}, Confirmation{Revision: 9, Hash: 7}, true, false},
		"copy lacks change": {Summary{Hash: 7, Newest: 4}, Confirmation{Revision: 9, Hash: 8}, false, true},
		"copy is ahead":     {Summary{Hash: 7, Newest: 10}, Confirmation{Revision: 9, Hash: 8}, false, false},
		"empty copy":        {Summary{}, Confirmation{Revision: 9, Hash: 8}, false, true},
		"not in force":      {Summary{Hash: 7, Newest: 4, Incomplete: true}, Confirmation{Revision: 9, Hash: 7}, false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := newTestTracker(1)
			tracker.ObserveCopy(tc.copied)
			tracker.ObserveConfirmation(testStart+10, tc.confirmation)
			assert.Equal(t, tracker.Confirmed(), tc.confirmed)
			assert.Equal(t, tracker.isBehind, tc.behind)
		})
	}
}

// Guards against a repair that is put off by each further confirmation, and against
// one that goes on after the missing record has arrived.
func TestCopyBehindIsComparedAndThenRead(t *testing.T) {
	tracker := newTestTracker(1)
	tracker.ObserveCopy(Summary{Hash: 1, Newest: 4})
	tracker.ObserveConfirmation(testStart, Confirmation{Revision: 4, Hash: 1})
	tracker.ObserveConfirmation(testStart+10, Confirmation{Revision: 9, Hash: 2})
	tracker.ObserveConfirmation(testStart+100, Confirmation{Revision: 9, Hash: 2})
	role := Role{Nodes: 14}
	assert.Equal(t, tracker.Next(testStart+100, role), ActionNone)
	assert.Equal(t, tracker.Next(testStart+10+compareDelay, role), ActionCompare)
	assert.Equal(t, tracker.Next(testStart+10+compareDelay, role), ActionNone)
	assert.Equal(t, tracker.Next(testStart+10+behindReadDelay+readSpread, role), ActionRead)
	tracker.ReadEnded(testStart+800, testStart+750, false, role)
	tracker.ObserveCopy(Summary{Hash: 2, Newest: 9})
	assert.Equal(t, tracker.Age(testStart+800), bulrushchute.Millis(700))
	assert.Equal(t, tracker.Next(testStart+1000, role), ActionNone)
}

// Guards against a copy that counts as confirmed before it is in force, against reads
// that cannot help a node that is still applying it, and against a confirmation that is
// not counted from the read that it states.
func TestCopyIsConfirmedOnceInForce(t *testing.T) {
	cases := map[string]struct {
		observe func(tracker *Tracker)
		readAt  bulrushchute.Millis
	}{
		"confirmation of another node": {func(tracker *Tracker) {
			tracker.ObserveConfirmation(testStart+100, Confirmation{Revision: 9, Hash: 2, Age: 40})
		}, testStart + 60},
		"own read": {func(tracker *Tracker) {
			tracker.ReadEnded(testStart+100, testStart+60, true, Role{Nodes: 14})
		}, testStart + 60},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := newTestTracker(1)
			tracker.ObserveCopy(Summary{Hash: 1, Newest: 4})
			tracker.ObserveConfirmation(testStart, Confirmation{Revision: 4, Hash: 1})
			tracker.ObserveCopy(Summary{Hash: 2, Newest: 9, Incomplete: true})
			tc.observe(tracker)
			assert.Equal(t, tracker.Age(testStart+100), bulrushchute.Millis(100))
			for now := testStart + 100; now < testStart+300; now += 50 {
				assert.Equal(t, tracker.Next(now, Role{Nodes: 14}), ActionNone)
			}
			tracker.ObserveCopy(Summary{Hash: 2, Newest: 9})
			assert.Equal(t, tracker.Age(testStart+300), testStart+300-tc.readAt)
		})
	}
}

// Guards against a node that reads the store without pause because the newest version
// of an object cannot be read.
func TestUnreadableCopyIsReadAtABoundedRate(t *testing.T) {
	for seed := range uint64(20) {
		tracker := newTestTracker(seed)
		role := Role{Nodes: 85}
		tracker.ObserveCopy(Summary{Hash: 2, Newest: 9, Incomplete: true})
		reads := 0
		for now := testStart; now < testStart+bulrushchute.Minute; now += 50 {
			if now%1000 == 0 {
				tracker.ObserveConfirmation(now, Confirmation{Revision: 9, Hash: 2})
			}
			if tracker.Next(now, role) == ActionRead {
				reads++
				tracker.ReadEnded(now+20, now, true, role)
			}
		}
		assert.Assert(t, reads >= 25 && reads <= 65, "seed %d: %d reads in a minute", seed, reads)
		assert.Assert(t, !tracker.Confirmed())
	}
}

// Guards against a node that relies on a copy for longer than MaxAge without having
// read the store, whatever it hears or does not hear from others.
func TestUnconfirmedNodeReadsWithinMaxAge(t *testing.T) {
	for seed := range uint64(200) {
		tracker := newTestTracker(seed)
		tracker.ObserveCopy(Summary{Hash: 1, Newest: 4})
		tracker.ObserveConfirmation(testStart, Confirmation{Revision: 4, Hash: 1})
		role := Role{Nodes: 1 + int(seed*seed)}
		now := testStart
		for tracker.Next(now, role) != ActionRead {
			now += 50
			// It hears of changes all the time that it cannot place.
			tracker.ObserveConfirmation(now, Confirmation{Revision: 3, Hash: uint64(now)})
		}
		assert.Assert(t, now-testStart <= MaxAge, "seed %d: read after %d ms", seed, now-testStart)
	}
}

// Guards against retries that overload a store which is down, and against a first
// reader that notices its return late.
func TestFailedReadsAreRetriedAtABoundedRate(t *testing.T) {
	cases := map[string]struct {
		role Role
		// most is the maximum number of reads of the node in a minute.
		most, least int
	}{
		"first reader": {Role{FirstReader: true, Nodes: 23_000}, 130, 55},
		"small fleet":  {Role{Nodes: 14}, 65, 25},
		"target fleet": {Role{Nodes: 23_000}, 10, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				tracker := newTestTracker(seed)
				reads := 0
				for now := testStart; now < testStart+bulrushchute.Minute; now += 50 {
					if tracker.Next(now, tc.role) == ActionRead {
						reads++
						tracker.ReadEnded(now, now, false, tc.role)
					}
				}
				assert.Assert(t, reads >= tc.least && reads <= tc.most, "seed %d: %d reads in a minute", seed, reads)
			}
		})
	}
}

// spreadDelay is the time that a confirmation takes to all nodes of the simulation
// below.
const spreadDelay = 150 * bulrushchute.Millisecond

// Guards against many nodes that read the store at once when the first reader of
// the fleet is gone, and against none that does.
func TestFewNodesReplaceALostReader(t *testing.T) {
	// The mean number of reads is limited to half of the nodes of a small site, and
	// to a tenth of the 2,000 calls a second that the store takes, at 3 calls a read.
	cases := map[string]struct{ nodes, most int }{
		"small site":    {14, 7},
		"grown site":    {85, 66},
		"target region": {3_300, 66},
	}
	const seeds = 50
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			total := 0
			for seed := range uint64(seeds) {
				reads, oldest := simulateLostReader(seed, tc.nodes)
				assert.Assert(t, oldest <= MaxAge+spreadDelay, "seed %d: a copy was confirmed %d ms ago", seed, oldest)
				total += reads
			}
			assert.Assert(t, total <= tc.most*seeds, "%d reads in %d periods", total, seeds)
		})
	}
}

// Guards against the first readers of all data centres reading the store in each
// period, though one confirmation is enough, and against a period that is too long.
func TestOneReaderConfirmsForAllDataCentres(t *testing.T) {
	cases := map[string]struct{ dataCentres int }{
		"one":            {1},
		"small site":     {3},
		"grown site":     {5},
		"target regions": {26},
	}
	const span = bulrushchute.Minute
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			trackers := make([]*Tracker, tc.dataCentres)
			for i := range trackers {
				trackers[i] = newTestTracker(random.Uint64())
			}
			reads := 0
			arrivals := map[bulrushchute.Millis]bool{}
			var oldest bulrushchute.Millis
			for now := testStart; now < testStart+span; now += 10 {
				for turn, tracker := range trackers {
					role := Role{FirstReader: true, Turn: turn, Nodes: 100}
					if arrivals[now] {
						tracker.ObserveConfirmation(now, Confirmation{Revision: 1, Age: spreadDelay})
					}
					if tracker.Next(now, role) == ActionRead {
						reads++
						tracker.ReadEnded(now, now, true, role)
						arrivals[now+spreadDelay] = true
					}
					if now > testStart+bulrushchute.Second {
						oldest = max(oldest, tracker.Age(now))
					}
				}
			}
			assert.Assert(t, oldest < unconfirmedAfter, "a copy was confirmed %d ms ago", oldest)
			// One a period, and a few at the start.
			assert.Assert(t, reads <= int(span/ConfirmInterval)+tc.dataCentres, "%d reads in %d ms", reads, span)
		})
	}
}

// Guards against first readers of other data centres that read the store although the
// confirmation of the first one is on its way, because it took as long as the one before.
func TestTurnsCountFromTheArrivalOfAConfirmation(t *testing.T) {
	role := Role{FirstReader: true, Turn: 1, Nodes: 60}
	tracker := newTestTracker(1)
	tracker.ObserveConfirmation(testStart+spreadDelay, Confirmation{Revision: 1, Age: spreadDelay})
	nextArrival := testStart + ConfirmInterval + spreadDelay + 100
	assert.Equal(t, tracker.Next(nextArrival, role), ActionNone)
	// A confirmation that was late for another reason does not put off the read.
	tracker.ObserveConfirmation(nextArrival, Confirmation{Revision: 2, Age: nextArrival - testStart - 10})
	assert.Equal(t, tracker.Next(testStart+10+unconfirmedAfter, role), ActionRead)
}

// simulateLostReader runs nodes that were all confirmed at the same time and have no
// first reader any more. It returns the number of reads until all are confirmed
// again, and the greatest age of a confirmation.
func simulateLostReader(seed uint64, nodes int) (reads int, oldest bulrushchute.Millis) {
	random := rand.New(rand.NewPCG(seed, 1))
	trackers := make([]*Tracker, nodes)
	for i := range trackers {
		trackers[i] = newTestTracker(random.Uint64())
		trackers[i].ObserveConfirmation(testStart, Confirmation{Revision: 1})
	}
	role := Role{Nodes: nodes}
	confirmedAt := bulrushchute.Millis(0)
	for now := testStart; confirmedAt == 0 || now < confirmedAt+spreadDelay; now += 10 {
		for _, tracker := range trackers {
			oldest = max(oldest, tracker.Age(now))
			if tracker.Next(now, role) == ActionRead {
				reads++
				tracker.ReadEnded(now, now, true, role)
				if confirmedAt == 0 {
					confirmedAt = now
				}
			}
		}
	}
	return reads, oldest
}

// Guards against a copy that counts as current for longer than MaxAge after the read
// that confirmed it, because another node passed the confirmation on later.
func TestSentConfirmationKeepsItsAge(t *testing.T) {
	cases := map[string]struct {
		age       bulrushchute.Millis
		confirmed bool
	}{
		"fresh":    {0, true},
		"older":    {1200, true},
		"too old":  {MaxAge + 1, false},
		"outdated": {bulrushchute.Minute, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := newTestTracker(1)
			tracker.ObserveCopy(Summary{Hash: 7, Newest: 4})
			tracker.ObserveConfirmation(testStart+10, Confirmation{Revision: 4, Hash: 7, Age: tc.age})
			assert.Equal(t, tracker.Confirmed(), tc.confirmed)
			assert.Equal(t, tracker.Current(testStart+10), tc.confirmed)
			assert.Assert(t, !tracker.Current(testStart+10+MaxAge-tc.age+1))
		})
	}
}

// Guards against a fleet that restarts as a whole and whose nodes all read the store
// before the first confirmation reaches them, and against a first read that is late.
func TestFewNodesReadAfterARestart(t *testing.T) {
	cases := map[string]struct{ nodes, most int }{
		"small site":   {14, 7},
		"large site":   {300, 30},
		"target fleet": {23_000, 2300},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			const seeds = 20
			reads := 0
			for seed := range uint64(seeds) {
				random := rand.New(rand.NewPCG(seed, 1))
				firstReadAt := testStart + bulrushchute.Minute
				var readsAt []bulrushchute.Millis
				for range tc.nodes {
					tracker := NewTracker(testStart, 50, rand.New(rand.NewPCG(random.Uint64(), 1)))
					readsAt = append(readsAt, tracker.nextRead(Role{}))
					firstReadAt = min(firstReadAt, tracker.nextRead(Role{}))
				}
				for _, at := range readsAt {
					if at < firstReadAt+firstSpreadDelay {
						reads++
					}
				}
				assert.Assert(t, firstReadAt <= testStart+400)
			}
			assert.Assert(t, reads <= tc.most*seeds, "%d reads in %d restarts", reads, seeds)
		})
	}
}

// firstSpreadDelay is the time that a confirmation takes to nodes that have introduced
// themselves.
const firstSpreadDelay = 60 * bulrushchute.Millisecond
