package bulrushmove_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmove"
)

// cluster runs two controllers against one store whose calls can be delayed, fail
// without effect, or lose their response after the effect.
type cluster struct {
	now   bulrushchute.Millis
	store *memoryStore
	nodes [2]clusterNode
	// holder is the index of the node that holds the move lease.
	holder     int
	leaseUntil bulrushchute.Millis
	// starts counts the started controllers, to give each its own node ID.
	starts int
	shares bulrushmove.Shares
	// entryGeneration is the generation of the move in the catalogue entry, 0 for
	// none. latestGeneration is the highest one so far.
	entryGeneration  uint64
	latestGeneration uint64
	lastSequence     uint64
	// statesByEpoch holds the stored state with the highest share of each epoch.
	statesByEpoch map[uint64]bulrushmove.State
	lastStored    bulrushmove.State
}

type clusterNode struct {
	controller *bulrushmove.Controller
	// now is the time seen by the node. It does not advance while the node is
	// paused.
	now    bulrushchute.Millis
	paused bool
	// calls are the store calls that have not been delivered yet.
	calls []bulrushmove.StoreCall
}

const leaseDuration = 10 * bulrushchute.Second

func newCluster() *cluster {
	c := &cluster{now: testStart, store: newMemoryStore(), entryGeneration: 1, latestGeneration: 1, statesByEpoch: map[uint64]bulrushmove.State{}}
	c.restart(0)
	c.restart(1)
	return c
}

func (c *cluster) restart(i int) {
	c.starts++
	c.nodes[i] = clusterNode{controller: bulrushmove.NewController(testService, bulrushchute.InstanceID(fmt.Sprint("n", c.starts))), now: c.now}
	c.setEntry(i)
}

func (c *cluster) setEntry(i int) {
	controller := c.nodes[i].controller
	controller.SetServers(c.nodes[i].now, bulrushmove.ServerCounts{Old: 3, New: 3})
	if c.entryGeneration == 0 {
		controller.SetMove(nil)
		return
	}
	move := testMove(c.entryGeneration, testMoveDuration)
	controller.SetMove(&move)
}

// renewLease renews the holder's lease. If the holder is paused and the lease has
// expired, the other node becomes the holder.
func (c *cluster) renewLease() {
	if c.now >= c.leaseUntil && c.nodes[c.holder].paused {
		c.holder = 1 - c.holder
	}
	if object, ok := c.store.objects["moves/"+string(testService)]; ok {
		// A reader spreads the share of the stored state.
		state, _ := bulrushmove.ParseState(object)
		c.nodes[c.holder].controller.ObserveShare(state.ShareRecord())
	}
	if !c.nodes[c.holder].paused {
		c.leaseUntil = c.now + leaseDuration
		c.nodes[c.holder].controller.SetLease(c.leaseUntil)
	}
}

// applyActions validates and performs a node's actions.
func (c *cluster) applyActions(t *rapid.T, i int, actions []bulrushmove.Action) {
	for _, action := range actions {
		if action.Store != nil {
			c.nodes[i].calls = append(c.nodes[i].calls, *action.Store)
			continue
		}
		published := *action.Publish
		if published.Share > 0 {
			stored, ok := c.statesByEpoch[published.Epoch]
			assert.Assert(t, ok, "epoch %d was published but never stored", published.Epoch)
			assert.Equal(t, stored.Generation, published.Generation)
			assert.Assert(t, published.Share <= stored.Share(), "share above the stored one of its epoch")
		}
		before, _ := c.shares.Latest(testService)
		c.shares, _ = c.shares.WithRecord(published)
		after, _ := c.shares.Latest(testService)
		assert.Assert(t, after.Share <= before.Share || after.Epoch > before.Epoch, "share rose within an epoch")
	}
}

// deliverCall delivers a node's oldest store call. Delayed calls of a paused node
// take effect too. With the failure "lost" the response is lost after the effect.
// With "lost before" and "unavailable" the call has no effect, but only the latter
// tells the node so.
func (c *cluster) deliverCall(t *rapid.T, i int, failure string) {
	node := &c.nodes[i]
	if len(node.calls) == 0 {
		return
	}
	call := node.calls[0]
	node.calls = node.calls[1:]
	result := bulrushmove.StoreResult{ID: call.ID, Err: errUnavailable}
	switch failure {
	case "none":
		result = c.store.call(call)
	case "lost":
		c.store.call(call)
		result = bulrushmove.StoreResult{ID: call.ID, Err: errLost}
	case "lost before":
		result.Err = errLost
	}
	c.checkStored(t)
	c.applyActions(t, i, node.controller.HandleStoreResult(node.now, result))
}

// checkStored checks the transition to the current stored state.
func (c *cluster) checkStored(t *rapid.T) {
	object, ok := c.store.objects["moves/"+string(testService)]
	if !ok {
		return
	}
	state, err := bulrushmove.ParseState(object)
	assert.NilError(t, err)
	previous := c.lastStored
	assert.Assert(t, state.Epoch >= previous.Epoch && state.Generation >= previous.Generation, "epoch or generation fell")
	if state.Generation == previous.Generation {
		assert.Assert(t, state.Share() <= previous.Share() || state.Epoch > previous.Epoch, "share rose within an epoch")
		consistent := previous.Outcome == bulrushmove.OutcomeNone || previous.Outcome == state.Outcome
		reverted := previous.Outcome == bulrushmove.OutcomeCompleted && state.Outcome == bulrushmove.OutcomeReverted
		assert.Assert(t, consistent || reverted, "outcome %s became %s", previous.Outcome, state.Outcome)
	}
	if stored, ok := c.statesByEpoch[state.Epoch]; !ok || state.Share() > stored.Share() {
		c.statesByEpoch[state.Epoch] = state
	}
	c.lastStored = state
}

// checkEvents checks that each generation has at most one outcome besides reverted,
// and that each event was created once.
func (c *cluster) checkEvents(t *rapid.T) {
	outcomes := map[uint64]int{}
	for _, name := range c.store.events() {
		assert.Equal(t, c.store.writes["events/"+name], 1, name)
		var generation uint64
		var outcome string
		_, err := fmt.Sscanf(name, string(testService)+"-%d-%s", &generation, &outcome)
		assert.NilError(t, err)
		if outcome != string(bulrushmove.OutcomeReverted) {
			outcomes[generation]++
		}
	}
	for generation, count := range outcomes {
		assert.Equal(t, count, 1, "generation %d", generation)
	}
}

func (c *cluster) tick(t *rapid.T, i int) {
	node := &c.nodes[i]
	if !node.paused {
		node.now = c.now
	}
	// A paused node still ticks, at the time at which it was paused: it may have
	// been paused in the middle of a tick.
	c.applyActions(t, i, node.controller.Tick(node.now))
}

func (c *cluster) addEvidence(newCounts bulrushmove.Counts) {
	for i := range c.nodes {
		c.lastSequence += 2
		oldEvidence, newEvidence := report(0, 0, c.lastSequence, goodCounts(1000)), report(0, 1, c.lastSequence+1, newCounts)
		oldEvidence.Generation, newEvidence.Generation = c.entryGeneration, c.entryGeneration
		c.nodes[i].controller.AddEvidence("n", oldEvidence)
		c.nodes[i].controller.AddEvidence("n", newEvidence)
	}
}

func (c *cluster) step(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "node")
	switch rapid.IntRange(0, 13).Draw(t, "step") {
	case 0:
		c.nodes[i].paused = true
	case 1:
		c.nodes[i].paused = false
	case 2:
		c.restart(i)
	case 3:
		c.deliverCall(t, i, rapid.SampledFrom([]string{"lost", "lost before", "unavailable"}).Draw(t, "failure"))
	case 4:
		// Operators remove the move, or set the latest or the next generation.
		c.entryGeneration = rapid.SampledFrom([]uint64{0, c.latestGeneration, c.latestGeneration + 1}).Draw(t, "generation")
		c.latestGeneration = max(c.latestGeneration, c.entryGeneration)
		c.setEntry(0)
		c.setEntry(1)
	case 5:
		c.addEvidence(failingCounts(5))
	case 6:
		c.nodes[i].controller.ObserveShare(bulrushmove.ShareRecord{Service: testService, Generation: c.lastStored.Generation, Epoch: 1, Braked: true})
	case 7:
		c.now += rapid.SampledFrom([]bulrushchute.Millis{1000, 5000, 11_000, 40_000, 120_000}).Draw(t, "span")
	default:
		c.now += bulrushchute.Second
		c.addEvidence(goodCounts(500))
		c.renewLease()
		c.tick(t, i)
		c.deliverCall(t, i, "none")
		c.tick(t, i)
	}
}

// Guards against shares that rise without a new epoch of the holder, outcomes that
// change, and outcomes that are announced twice or never. The faults are crashes,
// pauses past the end of the lease, lost and delayed store calls, and two active
// controllers.
func TestControllersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster()
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			c.step(t)
			c.checkEvents(t)
		}
		// Without further faults the move ends and is announced.
		c.nodes[0].paused, c.nodes[1].paused = false, false
		for range 2 * testMoveDuration / bulrushchute.Second {
			c.now += bulrushchute.Second
			c.addEvidence(goodCounts(500))
			c.renewLease()
			for i := range c.nodes {
				c.tick(t, i)
				c.deliverCall(t, i, "none")
			}
		}
		c.checkEvents(t)
		if c.lastStored.Generation == 0 {
			return
		}
		assert.Assert(t, c.lastStored.Outcome != bulrushmove.OutcomeNone && c.lastStored.Announced, "%+v", c.lastStored)
		name := fmt.Sprintf("%s-%d-%s", testService, c.lastStored.Generation, c.lastStored.Outcome)
		assert.Equal(t, c.store.writes["events/"+name], 1)
	})
}
