package bulrushmove_test

import (
	"encoding/json"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmove"
)

// bench is one service with a store, a share table and a controller that can
// be replaced.
type bench struct {
	now      bulrushchute.Millis
	store    *memoryStore
	shares   bulrushmove.Shares
	c        *bulrushmove.Controller
	servers  bulrushmove.Servers
	sequence uint64
	// answers counts requests that each second brings to each version.
	old, fresh bulrushmove.Counts
	down       bool
}

const benchSpan = 10 * bulrushchute.Minute

func newBench(generation uint64) *bench {
	b := &bench{now: fakeStart, store: newMemoryStore(), servers: bulrushmove.Servers{Old: 3, New: 3}}
	b.old, b.fresh = good(1000), good(400)
	b.replace("a")
	b.setMove(generation)
	return b
}

func (b *bench) setMove(generation uint64) {
	move := fakeMove(generation, benchSpan)
	b.c.SetMove(&move)
}

// replace starts a controller on another node, as after a crash.
func (b *bench) replace(node bulrushchute.InstanceID) {
	b.c = bulrushmove.NewController(fakeService, node)
}

func good(requests float64) bulrushmove.Counts {
	counts := bulrushmove.Counts{Requests: requests}
	counts.Latencies[20] = requests
	return counts
}

func failing(requests float64) bulrushmove.Counts {
	return bulrushmove.Counts{Requests: requests, Failures: requests}
}

// run lets seconds pass. The new version gets requests only at a share above 0.
func (b *bench) run(span bulrushchute.Millis) {
	for end := b.now + span; b.now < end; b.now += bulrushchute.Second {
		b.c.SetLease(b.now + 10*bulrushchute.Second)
		b.c.SetServers(b.now, b.servers)
		if b.down {
			b.tickDown()
		} else {
			b.shares = settle(b.c, b.now, b.store, b.shares)
		}
		share := b.shares.Of(fakeService, 1)
		if share < bulrushmove.FullShare {
			b.report(0, b.old)
		}
		if share > 0 {
			b.report(1, b.fresh)
		}
	}
}

// tickDown answers every store call as unavailable.
func (b *bench) tickDown() {
	for _, action := range b.c.Tick(b.now) {
		if action.Publish != nil {
			b.shares, _ = b.shares.With(*action.Publish)
		} else {
			b.c.Stored(b.now, bulrushmove.StoreResult{ID: action.Store.ID, Err: errUnavailable})
		}
	}
}

func (b *bench) report(version int, counts bulrushmove.Counts) {
	b.sequence++
	b.c.AddEvidence("n", report(0, version, b.sequence, counts))
}

func (b *bench) state(t *testing.T) bulrushmove.State {
	t.Helper()
	state, err := bulrushmove.ParseState(b.store.objects["moves/"+string(fakeService)])
	assert.NilError(t, err)
	return state
}

func (b *bench) share() int {
	return b.shares.Of(fakeService, 1)
}

// Guards against moves that end with the wrong outcome, announce it more than
// once or not at all, or leave the share where the outcome forbids it.
func TestOutcomes(t *testing.T) {
	const early, late = 3 * bulrushchute.Minute, benchSpan + bulrushchute.Minute
	cases := map[string]struct {
		during func(b *bench)
		events []string
		share  int
	}{
		"good version": {
			during: func(b *bench) { b.run(late) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"bad version": {
			during: func(b *bench) { b.fresh = failing(5); b.run(late) },
			events: []string{"routes-1-rolled-back"},
		},
		"service without requests": {
			during: func(b *bench) { b.old, b.fresh = bulrushmove.Counts{}, bulrushmove.Counts{}; b.run(late) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"new version of which nothing is heard": {
			during: func(b *bench) { b.fresh = bulrushmove.Counts{}; b.run(late) },
			events: []string{"routes-1-rolled-back"},
		},
		"no backend server of the new version": {
			during: func(b *bench) { b.servers.New = 0; b.run(late) },
			events: []string{"routes-1-rolled-back"},
		},
		"new version starts late": {
			during: func(b *bench) { b.servers.New = 0; b.run(benchSpan / 2); b.servers.New = 3; b.run(late) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"new version vanishes": {
			during: func(b *bench) { b.run(early); b.servers.New = 0; b.run(late) },
			events: []string{"routes-1-rolled-back"},
		},
		"new version vanishes for a while": {
			during: func(b *bench) { b.run(early); b.servers.New = 0; b.run(20_000); b.servers.New = 3; b.run(late) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"old version already gone": {
			during: func(b *bench) { b.servers.Old = 0; b.run(30_000) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"old version missing for a moment": {
			during: func(b *bench) { b.run(early); b.servers.Old = 0; b.run(5_000); b.servers.Old = 3; b.run(10_000) },
			share:  500,
		},
		"old version removed at 100%": {
			during: func(b *bench) { b.run(8 * bulrushchute.Minute); b.servers.Old = 0; b.run(30_000) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"move removed from the entry": {
			during: func(b *bench) { b.run(early); b.c.SetMove(nil); b.run(5_000) },
			events: []string{"routes-1-cancelled"},
		},
		"move removed after its end": {
			during: func(b *bench) { b.run(late); b.c.SetMove(nil); b.run(5_000) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"newer generation while one is under way": {
			during: func(b *bench) { b.run(early); b.setMove(2); b.run(5_000) },
			events: []string{"routes-1-cancelled"},
		},
		"entry of an older generation": {
			during: func(b *bench) { b.run(early); b.setMove(0); b.run(5_000) },
			share:  500,
		},
		"bad only after 100%": {
			during: func(b *bench) { b.run(8 * bulrushchute.Minute); b.fresh = failing(50); b.run(late) },
			events: []string{"routes-1-rolled-back"},
		},
		"bad after completion": {
			during: func(b *bench) { b.run(late); b.fresh = failing(50); b.run(30_000) },
			events: []string{"routes-1-completed", "routes-1-reverted"},
		},
		"bad after completion, old version gone": {
			during: func(b *bench) { b.run(late); b.servers.Old = 0; b.run(30_000); b.fresh = failing(50); b.run(30_000) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"another node brakes": {
			during: func(b *bench) {
				b.run(early)
				b.c.ObserveShare(bulrushmove.ShareRecord{Service: fakeService, Generation: 1, Epoch: 1, Braked: true, Reason: "x"})
				b.run(5_000)
			},
			events: []string{"routes-1-rolled-back"},
		},
		"another node braked before this holder": {
			during: func(b *bench) {
				b.run(early)
				b.replace("b")
				b.setMove(1)
				b.c.ObserveShare(bulrushmove.ShareRecord{Service: fakeService, Generation: 1, Epoch: 1, Braked: true, Reason: "x"})
				b.run(5_000)
			},
			events: []string{"routes-1-rolled-back"},
		},
		"store down past the deadline": {
			during: func(b *bench) { b.run(early); b.down = true; b.run(late); b.down = false; b.run(10_000) },
			events: []string{"routes-1-rolled-back"},
		},
		"store down for a while": {
			during: func(b *bench) { b.run(early); b.down = true; b.run(early); b.down = false; b.run(late) },
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"holder replaced again and again": {
			during: func(b *bench) {
				for _, node := range []bulrushchute.InstanceID{"b", "c", "d", "e"} {
					b.run(bulrushchute.Minute)
					b.replace(node)
					b.setMove(1)
				}
				b.run(late)
			},
			events: []string{"routes-1-completed"}, share: bulrushmove.FullShare,
		},
		"bad at 100% under a new holder": {
			during: func(b *bench) {
				b.run(8 * bulrushchute.Minute)
				b.replace("b")
				b.setMove(1)
				b.fresh = failing(50)
				b.run(10_000)
			},
			events: []string{"routes-1-rolled-back"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(1)
			tc.during(b)
			events := b.store.events()
			slices.Sort(events)
			assert.DeepEqual(t, events, tc.events)
			assert.Equal(t, b.share(), tc.share)
			for _, name := range events {
				assert.Equal(t, b.store.creates["events/"+name], 1)
			}
		})
	}
}

// Guards against a share that waits for the store before it is lowered.
func TestLowersWhileStoreIsDown(t *testing.T) {
	b := newBench(1)
	b.run(3 * bulrushchute.Minute)
	assert.Equal(t, b.share(), 500)
	b.down = true
	b.fresh = failing(50)
	b.run(6 * bulrushchute.Second)
	assert.Equal(t, b.share(), 0)
	assert.Equal(t, len(b.store.events()), 0)
	b.down = false
	b.run(10 * bulrushchute.Second)
	assert.DeepEqual(t, b.store.events(), []string{"routes-1-rolled-back"})
}

// Guards against a new holder that raises before its evidence is rebuilt, and
// against one that leaves the former holder's epoch open.
func TestNewHolderFencesAndWaits(t *testing.T) {
	b := newBench(1)
	b.run(2*bulrushchute.Minute + 25*bulrushchute.Second)
	before := b.state(t)
	b.replace("b")
	b.setMove(1)
	b.run(bulrushchute.Second)
	after := b.state(t)
	assert.Equal(t, after.Epoch, before.Epoch+1)
	assert.Equal(t, after.Stage, before.Stage)
	b.run(8 * bulrushchute.Second)
	assert.Equal(t, b.state(t).Stage, before.Stage)
	b.run(bulrushchute.Minute)
	assert.Equal(t, b.state(t).Stage, before.Stage+1)
}

// Guards against a holder that was paused past its lease and raises the share
// when it resumes with an update that it had prepared.
func TestPausedHolderCannotRaise(t *testing.T) {
	b := newBench(1)
	b.run(2*bulrushchute.Minute + 29*bulrushchute.Second)
	paused, pausedAt := b.c, b.now+2*bulrushchute.Second
	paused.SetLease(pausedAt + bulrushchute.Second)
	prepared := paused.Tick(pausedAt)
	assert.Equal(t, len(prepared), 1)
	assert.Equal(t, prepared[0].Store.Operation, bulrushmove.StoreUpdate)

	b.replace("b")
	b.setMove(1)
	b.run(2 * bulrushchute.Second)
	before := b.state(t)
	result := b.store.call(*prepared[0].Store)
	// The paused node does not know the time yet.
	assert.Equal(t, len(paused.Stored(pausedAt, result)), 0)
	assert.Equal(t, len(paused.Tick(pausedAt)), 0)
	assert.DeepEqual(t, b.state(t), before)
}

// Guards against a new generation that starts with the old one's epoch, share
// or outcome.
func TestNextGeneration(t *testing.T) {
	b := newBench(1)
	b.run(3 * bulrushchute.Minute)
	epoch := b.state(t).Epoch
	b.setMove(2)
	b.run(5 * bulrushchute.Second)
	state := b.state(t)
	assert.Equal(t, state.Generation, uint64(2))
	assert.Equal(t, state.Stage, 1)
	assert.Assert(t, state.Epoch > epoch)
	assert.Equal(t, b.shares.Of(fakeService, 1), 0)
	assert.Equal(t, b.shares.Of(fakeService, 2), 50)
}

// Guards against an announcement that does not say what happened.
func TestEventContent(t *testing.T) {
	b := newBench(1)
	b.fresh = failing(5)
	b.run(bulrushchute.Minute)
	var event bulrushmove.Event
	assert.NilError(t, json.Unmarshal(b.store.objects["events/routes-1-rolled-back"].Value, &event))
	assert.Equal(t, event.Service, fakeService)
	assert.Equal(t, event.ToVersion, bulrushchute.Version("2"))
	assert.Equal(t, event.Outcome, bulrushmove.OutcomeRolledBack)
	assert.Assert(t, event.AtMs > fakeStart && event.Reason != "")
}

// Guards against reports on a former move, sent while the next one is being
// stored, that make the holder drop all reports on the next one as repeated.
func TestNextGenerationTakesReports(t *testing.T) {
	b := newBench(1)
	b.run(3 * bulrushchute.Minute)
	b.setMove(2)
	for range 10 {
		b.c.SetLease(b.now + bulrushchute.Minute)
		for _, action := range b.c.Tick(b.now) {
			// Arrives while the store call is under way.
			b.report(0, b.old)
			if action.Store != nil {
				b.c.Stored(b.now, b.store.call(*action.Store))
			}
		}
	}
	b.fresh = failing(5)
	for i := range uint64(20) {
		old, fresh := report(0, 0, i+1, b.old), report(0, 1, i+1, b.fresh)
		old.Generation, fresh.Generation = 2, 2
		b.c.AddEvidence("m", old)
		b.c.AddEvidence("n", fresh)
		b.now += bulrushchute.Second
		b.c.SetLease(b.now + bulrushchute.Minute)
		b.shares = settle(b.c, b.now, b.store, b.shares)
	}
	assert.Equal(t, b.state(t).Outcome, bulrushmove.OutcomeRolledBack)
}
