package bulrushmove_test

import (
	"encoding/json"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmove"
)

// harness simulates one service with a store, its shares and a controller that can
// be replaced.
type harness struct {
	now          bulrushchute.Millis
	store        *memoryStore
	shares       bulrushmove.Shares
	controller   *bulrushmove.Controller
	servers      bulrushmove.ServerCounts
	lastSequence uint64
	// oldCounts and newCounts are the counts reported per second for each version.
	oldCounts, newCounts bulrushmove.Counts
	storeDown            bool
	// leaseLapsed is set while the controller's lease is not renewed.
	leaseLapsed bool
}

const testMoveDuration = 10 * bulrushchute.Minute

func newHarness(generation uint64) *harness {
	h := &harness{now: testStart, store: newMemoryStore(), servers: bulrushmove.ServerCounts{Old: 3, New: 3}}
	h.oldCounts, h.newCounts = goodCounts(1000), goodCounts(400)
	h.replaceController("a")
	h.setMove(generation)
	return h
}

func (h *harness) setMove(generation uint64) {
	move := testMove(generation, testMoveDuration)
	h.controller.SetMove(&move)
}

// replaceController starts a controller on another node, as after a crash.
func (h *harness) replaceController(node bulrushchute.InstanceID) {
	h.controller = bulrushmove.NewController(testService, node)
}

func goodCounts(requests float64) bulrushmove.Counts {
	counts := bulrushmove.Counts{Requests: requests}
	counts.Latencies[20] = requests
	return counts
}

func failingCounts(requests float64) bulrushmove.Counts {
	return bulrushmove.Counts{Requests: requests, Failures: requests}
}

// run advances the time in steps of one second. The new version gets requests only
// at a share above 0.
func (h *harness) run(duration bulrushchute.Millis) {
	for end := h.now + duration; h.now < end; h.now += bulrushchute.Second {
		if !h.leaseLapsed {
			h.controller.SetLease(h.now + 10*bulrushchute.Second)
		}
		h.controller.SetServers(h.now, h.servers)
		if h.storeDown {
			h.tickStoreDown()
		} else {
			h.shares = runUntilIdle(h.controller, h.now, h.store, h.shares)
		}
		share := h.shares.ShareOf(testService, 1)
		if share < bulrushmove.FullShare {
			h.report(0, h.oldCounts)
		}
		if share > 0 {
			h.report(1, h.newCounts)
		}
	}
}

// tickStoreDown ticks the controller and fails every store call as unavailable.
func (h *harness) tickStoreDown() {
	for _, action := range h.controller.Tick(h.now) {
		if action.Publish != nil {
			h.shares, _ = h.shares.WithRecord(*action.Publish)
		} else {
			h.controller.HandleStoreResult(h.now, bulrushmove.StoreResult{ID: action.Store.ID, Err: errUnavailable})
		}
	}
}

func (h *harness) report(version int, counts bulrushmove.Counts) {
	h.lastSequence++
	h.controller.AddEvidence("n", report(0, version, h.lastSequence, counts))
}

func (h *harness) state(t *testing.T) bulrushmove.State {
	t.Helper()
	state, err := bulrushmove.ParseState(h.store.objects["moves/"+string(testService)])
	assert.NilError(t, err)
	return state
}

func (h *harness) share() int {
	return h.shares.ShareOf(testService, 1)
}

// Guards against moves that end with the wrong outcome, announce it more than once
// or not at all, or keep a share that the outcome does not allow.
func TestOutcomes(t *testing.T) {
	const early, late = 3 * bulrushchute.Minute, testMoveDuration + bulrushchute.Minute
	cases := map[string]struct {
		during func(h *harness)
		events []string
		share  int
	}{
		"good version": {
			during: func(h *harness) { h.run(late) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"bad version": {
			during: func(h *harness) { h.newCounts = failingCounts(5); h.run(late) },
			events: []string{"routes-1-rolled-back"},
		},
		"service without requests": {
			during: func(h *harness) { h.oldCounts, h.newCounts = bulrushmove.Counts{}, bulrushmove.Counts{}; h.run(late) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"no reports of the new version": {
			during: func(h *harness) { h.newCounts = bulrushmove.Counts{}; h.run(late) },
			events: []string{"routes-1-rolled-back"},
		},
		"no backend server of the new version": {
			during: func(h *harness) { h.servers.New = 0; h.run(late) },
			events: []string{"routes-1-rolled-back"},
		},
		"new version starts late": {
			during: func(h *harness) { h.servers.New = 0; h.run(testMoveDuration / 2); h.servers.New = 3; h.run(late) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"new version loses its servers": {
			during: func(h *harness) { h.run(early); h.servers.New = 0; h.run(late) },
			events: []string{"routes-1-rolled-back"},
		},
		"new version loses its servers temporarily": {
			during: func(h *harness) { h.run(early); h.servers.New = 0; h.run(20_000); h.servers.New = 3; h.run(late) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"old version already gone": {
			during: func(h *harness) { h.servers.Old = 0; h.run(30_000) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"old version missing briefly": {
			during: func(h *harness) { h.run(early); h.servers.Old = 0; h.run(5_000); h.servers.Old = 3; h.run(10_000) },
			share:  500,
		},
		"old version removed at 100%": {
			during: func(h *harness) { h.run(8 * bulrushchute.Minute); h.servers.Old = 0; h.run(30_000) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"move removed from the entry": {
			during: func(h *harness) { h.run(early); h.controller.SetMove(nil); h.run(5_000) },
			events: []string{"routes-1-cancelled"},
		},
		"move removed after its end": {
			during: func(h *harness) { h.run(late); h.controller.SetMove(nil); h.run(5_000) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"newer generation during a move": {
			during: func(h *harness) { h.run(early); h.setMove(2); h.run(5_000) },
			events: []string{"routes-1-cancelled"},
		},
		"entry of an older generation": {
			during: func(h *harness) { h.run(early); h.setMove(0); h.run(5_000) },
			share:  500,
		},
		"bad only after 100%": {
			during: func(h *harness) { h.run(8 * bulrushchute.Minute); h.newCounts = failingCounts(50); h.run(late) },
			events: []string{"routes-1-rolled-back"},
		},
		"bad after completion": {
			during: func(h *harness) { h.run(late); h.newCounts = failingCounts(50); h.run(30_000) },
			events: []string{"routes-1-completed", "routes-1-reverted"},
		},
		"bad after completion, old version gone": {
			during: func(h *harness) {
				h.run(late)
				h.servers.Old = 0
				h.run(30_000)
				h.newCounts = failingCounts(50)
				h.run(30_000)
			},
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"another node brakes": {
			during: func(h *harness) {
				h.run(early)
				h.controller.ObserveShare(bulrushmove.ShareRecord{Service: testService, Generation: 1, Epoch: 1, Braked: true, Reason: "x"})
				h.run(5_000)
			},
			events: []string{"routes-1-rolled-back"},
		},
		"another node braked before this holder": {
			during: func(h *harness) {
				h.run(early)
				h.replaceController("b")
				h.setMove(1)
				h.controller.ObserveShare(bulrushmove.ShareRecord{Service: testService, Generation: 1, Epoch: 1, Braked: true, Reason: "x"})
				h.run(5_000)
			},
			events: []string{"routes-1-rolled-back"},
		},
		"store down past the deadline": {
			during: func(h *harness) { h.run(early); h.storeDown = true; h.run(late); h.storeDown = false; h.run(10_000) },
			events: []string{"routes-1-rolled-back"},
		},
		"store down temporarily": {
			during: func(h *harness) { h.run(early); h.storeDown = true; h.run(early); h.storeDown = false; h.run(late) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"holder replaced repeatedly": {
			during: func(h *harness) {
				for _, node := range []bulrushchute.InstanceID{"b", "c", "d", "e"} {
					h.run(bulrushchute.Minute)
					h.replaceController(node)
					h.setMove(1)
				}
				h.run(late)
			},
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"bad at 100% under a new holder": {
			during: func(h *harness) {
				h.run(8 * bulrushchute.Minute)
				h.replaceController("b")
				h.setMove(1)
				h.newCounts = failingCounts(50)
				h.run(10_000)
			},
			events: []string{"routes-1-rolled-back"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(1)
			tc.during(h)
			events := h.store.events()
			slices.Sort(events)
			assert.DeepEqual(t, events, tc.events)
			assert.Equal(t, h.share(), tc.share)
			for _, name := range events {
				assert.Equal(t, h.store.writes["events/"+name], 1)
			}
		})
	}
}

// Guards against a share that is not lowered until the store is available again.
func TestLowersShareWhileStoreIsDown(t *testing.T) {
	h := newHarness(1)
	h.run(3 * bulrushchute.Minute)
	assert.Equal(t, h.share(), 500)
	h.storeDown = true
	h.newCounts = failingCounts(50)
	h.run(6 * bulrushchute.Second)
	assert.Equal(t, h.share(), 0)
	assert.Equal(t, len(h.store.events()), 0)
	h.storeDown = false
	h.run(10 * bulrushchute.Second)
	assert.DeepEqual(t, h.store.events(), []string{"routes-1-rolled-back"})
}

// Guards against a share that stays in force on a bad version after the lease of
// the only node that knows its answers has lapsed.
func TestLowersShareWithoutLease(t *testing.T) {
	h := newHarness(1)
	h.run(30_000)
	assert.Assert(t, h.share() > 0)
	h.leaseLapsed, h.storeDown = true, true
	h.run(15_000)
	h.newCounts = failingCounts(100)
	h.run(10_000)
	assert.Equal(t, h.share(), 0)
}

// Guards against a new holder that raises the share before it has collected new
// evidence, or that does not fence the previous holder's epoch.
func TestNewHolderFencesAndWaits(t *testing.T) {
	h := newHarness(1)
	h.run(2*bulrushchute.Minute + 25*bulrushchute.Second)
	before := h.state(t)
	h.replaceController("b")
	h.setMove(1)
	h.run(bulrushchute.Second)
	after := h.state(t)
	assert.Equal(t, after.Epoch, before.Epoch+1)
	assert.Equal(t, after.Stage, before.Stage)
	h.run(8 * bulrushchute.Second)
	assert.Equal(t, h.state(t).Stage, before.Stage)
	h.run(bulrushchute.Minute)
	assert.Equal(t, h.state(t).Stage, before.Stage+1)
}

// Guards against a holder that is paused past the end of its lease and, when it
// resumes, raises the share with an update prepared before the pause.
func TestPausedHolderCannotRaise(t *testing.T) {
	h := newHarness(1)
	h.run(2*bulrushchute.Minute + 29*bulrushchute.Second)
	paused, pausedAt := h.controller, h.now+2*bulrushchute.Second
	paused.SetLease(pausedAt + bulrushchute.Second)
	actions := paused.Tick(pausedAt)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Store.Operation, bulrushmove.StoreUpdate)

	h.replaceController("b")
	h.setMove(1)
	h.run(2 * bulrushchute.Second)
	before := h.state(t)
	result := h.store.call(*actions[0].Store)
	// The clock reading of the paused node is still that of before the pause.
	assert.Equal(t, len(paused.HandleStoreResult(pausedAt, result)), 0)
	assert.Equal(t, len(paused.Tick(pausedAt)), 0)
	assert.DeepEqual(t, h.state(t), before)
}

// Guards against a new generation that starts with the epoch, share or outcome of
// the previous one.
func TestNextGeneration(t *testing.T) {
	h := newHarness(1)
	h.run(3 * bulrushchute.Minute)
	epoch := h.state(t).Epoch
	h.setMove(2)
	h.run(5 * bulrushchute.Second)
	state := h.state(t)
	assert.Equal(t, state.Generation, uint64(2))
	assert.Equal(t, state.Stage, 1)
	assert.Assert(t, state.Epoch > epoch)
	assert.Equal(t, h.shares.ShareOf(testService, 1), 0)
	assert.Equal(t, h.shares.ShareOf(testService, 2), 50)
}

// Guards against an event without the version, outcome, time or reason.
func TestEventContent(t *testing.T) {
	h := newHarness(1)
	h.newCounts = failingCounts(5)
	h.run(bulrushchute.Minute)
	var event bulrushmove.Event
	assert.NilError(t, json.Unmarshal(h.store.objects["events/routes-1-rolled-back"].Value, &event))
	assert.Equal(t, event.Service, testService)
	assert.Equal(t, event.ToVersion, bulrushchute.Version("2"))
	assert.Equal(t, event.Outcome, bulrushmove.OutcomeRolledBack)
	assert.Assert(t, event.AtMs > testStart && event.Reason != "")
}

// Guards against reports on a previous move that arrive while the next one is being
// stored and make the holder drop all reports on the next one as duplicates.
func TestNextGenerationAcceptsReports(t *testing.T) {
	h := newHarness(1)
	h.run(3 * bulrushchute.Minute)
	h.setMove(2)
	for range 10 {
		h.controller.SetLease(h.now + bulrushchute.Minute)
		for _, action := range h.controller.Tick(h.now) {
			// Arrives while the store call is pending.
			h.report(0, h.oldCounts)
			if action.Store != nil {
				h.controller.HandleStoreResult(h.now, h.store.call(*action.Store))
			}
		}
	}
	h.newCounts = failingCounts(5)
	for i := range uint64(20) {
		oldEvidence, newEvidence := report(0, 0, i+1, h.oldCounts), report(0, 1, i+1, h.newCounts)
		oldEvidence.Generation, newEvidence.Generation = 2, 2
		h.controller.AddEvidence("m", oldEvidence)
		h.controller.AddEvidence("n", newEvidence)
		h.now += bulrushchute.Second
		h.controller.SetLease(h.now + bulrushchute.Minute)
		h.shares = runUntilIdle(h.controller, h.now, h.store, h.shares)
	}
	assert.Equal(t, h.state(t).Outcome, bulrushmove.OutcomeRolledBack)
}

// Guards against a share that no node takes because the store was restored from a
// copy: the stored state, or its absence, leads to epochs that are earlier than that
// of the share in force.
func TestEpochsAfterARestoreOfTheStore(t *testing.T) {
	cases := map[string]struct {
		// ranFor is how long the move had run when the copy was made.
		ranFor bulrushchute.Millis
	}{
		"no state in the copy": {0},
		"first stage":          {20 * bulrushchute.Second},
		"later stage":          {2*bulrushchute.Minute + 25*bulrushchute.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			const inForce = 40
			h := newHarness(1)
			h.run(tc.ranFor)
			h.replaceController("b")
			h.setMove(1)
			h.controller.SetEpochFloor(inForce)
			h.run(bulrushchute.Second)
			assert.Assert(t, h.state(t).Epoch > inForce, "epoch %d", h.state(t).Epoch)
		})
	}
}
