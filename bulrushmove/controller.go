package bulrushmove

import (
	"fmt"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Controller runs the moves of one service on the node that holds its move
// lease. Inputs only note what happened; Tick decides and returns actions. It
// is not safe for concurrent use.
type Controller struct {
	service bulrushchute.Service
	node    bulrushchute.InstanceID

	leaseUntil bulrushchute.Millis
	// move is what the catalogue asks for; entryKnown is false until it was read.
	move       *bulrushcatalogue.Move
	entryKnown bool
	servers    Servers
	// oldSeenAt is when the old version last had a backend server.
	oldSeenAt bulrushchute.Millis

	store    storeState
	judge    *Judge
	nextStep bulrushchute.Millis
	// sequences holds the last report of each node, to drop repeated ones.
	sequences map[bulrushchute.InstanceID]uint64
	// evidenceSince is when this holder began to gather evidence.
	evidenceSince bulrushchute.Millis
	// verdict is why the share must be 0, empty while there is no reason. Once
	// set for a generation it stays until the outcome is stored.
	verdict string
	// brake is the newest brake that was heard of, also before the state was read.
	brake ShareRecord
	// observedEpoch is the newest epoch that was heard of since the state was read.
	observedEpoch uint64
	// published is the last share that was spread by this holder.
	published ShareRecord
}

// NewController returns a controller for a service on a node. The node's id,
// which is never reused, marks its writes.
func NewController(service bulrushchute.Service, node bulrushchute.InstanceID) *Controller {
	c := &Controller{service: service, node: node}
	c.forgetEvidence(0)
	return c
}

// SetLease notes that the lease of the service's shard is held until an
// instant. A holder that loses a conditional update stops until the next call.
func (c *Controller) SetLease(until bulrushchute.Millis) {
	c.leaseUntil = until
}

// SetMove notes the move in the service's entry, nil when there is none.
func (c *Controller) SetMove(move *bulrushcatalogue.Move) {
	c.entryKnown = true
	c.move = nil
	if move != nil {
		copied := *move
		c.move = &copied
	}
}

// SetServers notes the backend servers that take work.
func (c *Controller) SetServers(now bulrushchute.Millis, servers Servers) {
	if servers.Old > 0 || c.servers.Old > 0 || c.oldSeenAt == 0 {
		c.oldSeenAt = now
	}
	c.servers = servers
}

// AddEvidence takes a report from a node. Reports that arrive twice, or about
// another generation, are dropped.
func (c *Controller) AddEvidence(from bulrushchute.InstanceID, evidence bulrushchute.Evidence) {
	state, ok := c.store.current()
	if !ok || evidence.Service != c.service || evidence.Generation != state.Generation {
		return
	}
	if evidence.Sequence <= c.sequences[from] {
		return
	}
	c.sequences[from] = evidence.Sequence
	switch evidence.Version {
	case state.FromVersion:
		c.judge.AddOld(evidence.Route, CountsOf(evidence))
	case state.ToVersion:
		c.judge.AddNew(evidence.Route, CountsOf(evidence))
	}
}

// ObserveShare takes a share that arrived from another node. A brake leads to
// a roll-back, whatever its epoch. A newer epoch than the known one means that
// a delayed write of a former holder has reached the store.
func (c *Controller) ObserveShare(record ShareRecord) {
	if record.Service != c.service {
		return
	}
	if record.Braked && record.Generation > c.brake.Generation {
		c.brake = record
	}
	c.observedEpoch = max(c.observedEpoch, record.Epoch)
}

// State returns the stored state as this holder knows it.
func (c *Controller) State() (State, bool) {
	return c.store.current()
}

// Finding returns the judge's last finding.
func (c *Controller) Finding() Finding {
	return c.judge.Finding()
}

// Tick decides what to do next. It is called after every input and at least
// once in each EvidencePeriod.
func (c *Controller) Tick(now bulrushchute.Millis) []Action {
	if now >= c.leaseUntil {
		c.release(now)
		return nil
	}
	if !c.store.ready(now) {
		return c.lowerWhileWaiting(now)
	}
	if state, _ := c.store.current(); !c.store.loaded || c.observedEpoch > state.Epoch {
		c.observedEpoch = 0
		return c.call(now, StoreGet, c.stateObject(), purposeLoad)
	}
	return c.decide(now)
}

// release forgets what only the holder may rely on. The evidence restarts from
// zero with the next lease.
func (c *Controller) release(now bulrushchute.Millis) {
	if c.store.loaded || c.store.pending != nil {
		c.store = storeState{lastID: c.store.lastID}
		c.forgetEvidence(now)
	}
}

func (c *Controller) forgetEvidence(now bulrushchute.Millis) {
	c.judge = NewJudge(HolderLimit)
	c.sequences = map[bulrushchute.InstanceID]uint64{}
	c.evidenceSince = now
	c.nextStep = 0
	c.verdict = ""
	c.published = ShareRecord{}
}

// lowerWhileWaiting goes on judging while the store is slow or down, because
// lowering the share needs no store.
func (c *Controller) lowerWhileWaiting(now bulrushchute.Millis) []Action {
	state, ok := c.store.current()
	if !ok || !judged(state) {
		return nil
	}
	c.judgeStep(now, state)
	return c.publishVerdict(state)
}

// judged reports whether the new version is still compared with the old one.
// After an ordered move the old version's servers stop at once, so that there
// is nothing to go back to.
func judged(state State) bool {
	if state.OrderedAtMs > 0 {
		return state.Outcome == OutcomeNone
	}
	return state.Outcome == OutcomeNone || state.Outcome == OutcomeCompleted
}

// publishVerdict spreads a share of 0 in the current epoch.
func (c *Controller) publishVerdict(state State) []Action {
	if c.verdict == "" {
		return nil
	}
	record := state.ShareRecord()
	record.Share, record.Braked, record.Reason = 0, true, c.verdict
	return c.publish(record)
}

func (c *Controller) publish(record ShareRecord) []Action {
	if record == c.published {
		return nil
	}
	c.published = record
	return []Action{{Publish: &record}}
}

// judgeStep updates the tests and the verdict.
func (c *Controller) judgeStep(now bulrushchute.Millis, state State) {
	if state.short() {
		c.judge.SetShort(shortLimit)
	}
	if now >= c.nextStep {
		c.nextStep = now + state.period()
		c.judge.SetShare(state.Share())
		c.judge.Step()
	}
	if c.verdict != "" {
		return
	}
	if finding := c.judge.Finding(); finding.Bad {
		c.verdict = "bad: " + finding.String()
	} else if c.brake.Generation == state.Generation {
		c.verdict = "braked: " + c.brake.Reason
	} else if state.Outcome == OutcomeNone && state.Stage < state.lastStage() && now >= state.CompleteByMs && !c.oldGone(now) {
		c.verdict = fmt.Sprintf("late: share %d of %d at the deadline", state.Share(), FullShare)
	} else if state.Outcome == OutcomeNone && state.Stage == state.lastStage() && now >= state.CompleteByMs && c.judge.Suspicious() {
		c.verdict = "suspicious at the deadline: " + finding.String()
	}
}

// oldGone reports whether the old version has had no backend server for
// goneTime while the new one has some.
func (c *Controller) oldGone(now bulrushchute.Millis) bool {
	return c.servers.Old == 0 && c.servers.New > 0 && now-c.oldSeenAt >= goneTime
}
