package bulrushmove_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmove"
)

// world runs two controllers against one store whose calls can be delayed, fail
// without effect, or lose their answer after the effect.
type world struct {
	now    bulrushchute.Millis
	store  *memoryStore
	nodes  [2]worldNode
	holder int
	until  bulrushchute.Millis
	lives  int
	shares bulrushmove.Shares
	// generation is the move in the entry, 0 for none, asked the latest one.
	generation uint64
	asked      uint64
	sequence   uint64
	epochs     map[uint64]bulrushmove.State
	highest    bulrushmove.State
}

type worldNode struct {
	c *bulrushmove.Controller
	// now is the time as the node knows it. It stands still while the node is paused.
	now    bulrushchute.Millis
	paused bool
	// calls wait for the store.
	calls []bulrushmove.StoreCall
}

const worldLease = 10 * bulrushchute.Second

func newWorld() *world {
	w := &world{now: fakeStart, store: newMemoryStore(), generation: 1, asked: 1, epochs: map[uint64]bulrushmove.State{}}
	w.restart(0)
	w.restart(1)
	return w
}

func (w *world) restart(i int) {
	w.lives++
	w.nodes[i] = worldNode{c: bulrushmove.NewController(fakeService, bulrushchute.InstanceID(fmt.Sprint("n", w.lives))), now: w.now}
	w.enter(i)
}

func (w *world) enter(i int) {
	c := w.nodes[i].c
	c.SetServers(w.nodes[i].now, bulrushmove.Servers{Old: 3, New: 3})
	if w.generation == 0 {
		c.SetMove(nil)
		return
	}
	move := fakeMove(w.generation, benchSpan)
	c.SetMove(&move)
}

// renew gives the lease to its holder, or to the next node once it has expired.
func (w *world) renew() {
	if w.now >= w.until && w.nodes[w.holder].paused {
		w.holder = 1 - w.holder
	}
	if object, ok := w.store.objects["moves/"+string(fakeService)]; ok {
		// A reader spreads what it sees in the store.
		state, _ := bulrushmove.ParseState(object)
		w.nodes[w.holder].c.ObserveShare(state.ShareRecord())
	}
	if !w.nodes[w.holder].paused {
		w.until = w.now + worldLease
		w.nodes[w.holder].c.SetLease(w.until)
	}
}

// apply checks and carries out a node's actions.
func (w *world) apply(t *rapid.T, i int, actions []bulrushmove.Action) {
	for _, action := range actions {
		if action.Store != nil {
			w.nodes[i].calls = append(w.nodes[i].calls, *action.Store)
			continue
		}
		published := *action.Publish
		if published.Share > 0 {
			stored, ok := w.epochs[published.Epoch]
			assert.Assert(t, ok, "epoch %d was published but never stored", published.Epoch)
			assert.Equal(t, stored.Generation, published.Generation)
			assert.Assert(t, published.Share <= stored.Share(), "share above the stored one of its epoch")
		}
		before, _ := w.shares.Latest(fakeService)
		w.shares, _ = w.shares.With(published)
		after, _ := w.shares.Latest(fakeService)
		assert.Assert(t, after.Share <= before.Share || after.Epoch > before.Epoch, "share rose within an epoch")
	}
}

// deliver makes a node's oldest waiting call. A delayed call of a paused or
// dead node takes effect all the same.
func (w *world) deliver(t *rapid.T, i int, failure string) {
	node := &w.nodes[i]
	if len(node.calls) == 0 {
		return
	}
	call := node.calls[0]
	node.calls = node.calls[1:]
	result := bulrushmove.StoreResult{ID: call.ID, Err: errUnavailable}
	switch failure {
	case "none":
		result = w.store.call(call)
	case "lost":
		w.store.call(call)
		result = bulrushmove.StoreResult{ID: call.ID, Err: errLost}
	case "lost before":
		result.Err = errLost
	}
	w.checkStored(t)
	w.apply(t, i, node.c.Stored(node.now, result))
}

// checkStored checks the history of the stored state.
func (w *world) checkStored(t *rapid.T) {
	object, ok := w.store.objects["moves/"+string(fakeService)]
	if !ok {
		return
	}
	state, err := bulrushmove.ParseState(object)
	assert.NilError(t, err)
	last := w.highest
	assert.Assert(t, state.Epoch >= last.Epoch && state.Generation >= last.Generation, "epoch or generation fell")
	if state.Generation == last.Generation {
		assert.Assert(t, state.Share() <= last.Share() || state.Epoch > last.Epoch, "share rose within an epoch")
		kept := last.Outcome == bulrushmove.OutcomeNone || last.Outcome == state.Outcome
		reverted := last.Outcome == bulrushmove.OutcomeCompleted && state.Outcome == bulrushmove.OutcomeReverted
		assert.Assert(t, kept || reverted, "outcome %s became %s", last.Outcome, state.Outcome)
	}
	if known, ok := w.epochs[state.Epoch]; !ok || state.Share() > known.Share() {
		w.epochs[state.Epoch] = state
	}
	w.highest = state
}

// checkEvents checks that each generation has one outcome, announced once.
func (w *world) checkEvents(t *rapid.T) {
	outcomes := map[uint64]int{}
	for _, name := range w.store.events() {
		assert.Equal(t, w.store.creates["events/"+name], 1, name)
		var generation uint64
		var outcome string
		_, err := fmt.Sscanf(name, string(fakeService)+"-%d-%s", &generation, &outcome)
		assert.NilError(t, err)
		if outcome != string(bulrushmove.OutcomeReverted) {
			outcomes[generation]++
		}
	}
	for generation, count := range outcomes {
		assert.Equal(t, count, 1, "generation %d", generation)
	}
}

func (w *world) tick(t *rapid.T, i int) {
	node := &w.nodes[i]
	if !node.paused {
		node.now = w.now
	}
	// A paused node may still finish what it had begun at its own time.
	w.apply(t, i, node.c.Tick(node.now))
}

func (w *world) evidence(newVersion bulrushmove.Counts) {
	for i := range w.nodes {
		w.sequence += 2
		old, fresh := report(0, 0, w.sequence, good(1000)), report(0, 1, w.sequence+1, newVersion)
		old.Generation, fresh.Generation = w.generation, w.generation
		w.nodes[i].c.AddEvidence("n", old)
		w.nodes[i].c.AddEvidence("n", fresh)
	}
}

func (w *world) step(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "node")
	switch rapid.IntRange(0, 13).Draw(t, "step") {
	case 0:
		w.nodes[i].paused = true
	case 1:
		w.nodes[i].paused = false
	case 2:
		w.restart(i)
	case 3:
		w.deliver(t, i, rapid.SampledFrom([]string{"lost", "lost before", "unavailable"}).Draw(t, "failure"))
	case 4:
		// Operators remove the move, or ask for the latest or the next one.
		w.generation = rapid.SampledFrom([]uint64{0, w.asked, w.asked + 1}).Draw(t, "generation")
		w.asked = max(w.asked, w.generation)
		w.enter(0)
		w.enter(1)
	case 5:
		w.evidence(failing(5))
	case 6:
		w.nodes[i].c.ObserveShare(bulrushmove.ShareRecord{Service: fakeService, Generation: w.highest.Generation, Epoch: 1, Braked: true})
	case 7:
		w.now += rapid.SampledFrom([]bulrushchute.Millis{1000, 5000, 11_000, 40_000, 120_000}).Draw(t, "span")
	default:
		w.now += bulrushchute.Second
		w.evidence(good(500))
		w.renew()
		w.tick(t, i)
		w.deliver(t, i, "none")
		w.tick(t, i)
	}
}

// Guards against shares that rise without the holder's new epoch, outcomes that
// change and announcements that are made twice or never, under crashes, pauses
// past the lease, lost and delayed store calls, and two controllers at once.
func TestControllersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.step(t)
			w.checkEvents(t)
		}
		// Without further faults the move ends and is announced.
		w.nodes[0].paused, w.nodes[1].paused = false, false
		for range 2 * benchSpan / bulrushchute.Second {
			w.now += bulrushchute.Second
			w.evidence(good(500))
			w.renew()
			for i := range w.nodes {
				w.tick(t, i)
				w.deliver(t, i, "none")
			}
		}
		w.checkEvents(t)
		if w.highest.Generation == 0 {
			return
		}
		assert.Assert(t, w.highest.Outcome != bulrushmove.OutcomeNone && w.highest.Announced, "%+v", w.highest)
		name := fmt.Sprintf("%s-%d-%s", fakeService, w.highest.Generation, w.highest.Outcome)
		assert.Equal(t, w.store.creates["events/"+name], 1)
	})
}
