package bulrushmove

import (
	"fmt"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Controller runs the moves of one service on the node that holds its move
// lease. The input methods update its state; Tick makes the decisions and
// returns actions. It is not safe for concurrent use.
type Controller struct {
	service bulrushchute.Service
	node    bulrushchute.InstanceID

	leaseUntil bulrushchute.Millis
	// move is the move in the catalogue entry, nil if there is none. It is valid
	// once entryKnown is set.
	move       *bulrushcatalogue.Move
	entryKnown bool
	// orderedAt is the time at which this node learned of the move, 0 if it is not
	// known.
	orderedAt bulrushchute.Millis
	servers   ServerCounts
	// oldLastSeenAt is the last time at which the old version had a backend
	// server.
	oldLastSeenAt bulrushchute.Millis

	store      storeState
	judge      *Judge
	nextStepAt bulrushchute.Millis
	// lastSequences holds the sequence number of each node's last report, to drop
	// duplicates.
	lastSequences map[bulrushchute.InstanceID]uint64
	// evidenceSince is the time at which this holder began to collect evidence.
	evidenceSince bulrushchute.Millis
	// rollbackReason says why the share must be 0, empty if there is no reason.
	// Once set for a generation it stays until the outcome is stored.
	rollbackReason string
	// newestBrake is the newest brake received, including those received before
	// the state was read.
	newestBrake ShareRecord
	// epochFloor is the newest epoch of a share in force. The stored state may have an
	// earlier one after the store was restored from a copy.
	epochFloor uint64
	// observedEpoch is the newest epoch received since the state was last read.
	observedEpoch uint64
	// lastPublished is the last share record that this holder published.
	lastPublished ShareRecord
	// exposure limits the requests of the new version.
	exposure ExposureLimit
	// requestsBefore is the number of the service's requests since the order that a
	// previous holder knew of. The nodes report them to this one too.
	requestsBefore float64
	// early holds reports on the move in the catalogue entry that arrived before its
	// state was known.
	early []earlyEvidence
}

type earlyEvidence struct {
	from     bulrushchute.InstanceID
	evidence bulrushchute.Evidence
}

// maxEarlyReports limits the reports that are kept until the state is known.
const maxEarlyReports = 4096

// NewController returns a controller for a service on a node. The node's ID,
// which is never reused, identifies its writes.
func NewController(service bulrushchute.Service, node bulrushchute.InstanceID) *Controller {
	c := &Controller{service: service, node: node, exposure: ExposureLimit{}.withDefaults()}
	c.resetEvidence(0)
	return c
}

// SetLease sets the expiry of the move lease, which covers all services of a
// shard. A holder whose write fails because another node has written in the
// meantime stops until the next call.
func (c *Controller) SetLease(until bulrushchute.Millis) {
	c.leaseUntil = until
}

// SetMove sets the move in the service's catalogue entry, nil if there is none.
func (c *Controller) SetMove(move *bulrushcatalogue.Move) {
	c.entryKnown = true
	c.move = nil
	if move != nil {
		copied := *move
		c.move = &copied
	}
}

// SetOrderedAt sets the time at which this node learned of the move in the entry. By
// default, it is the time of the holder's first decision.
func (c *Controller) SetOrderedAt(at bulrushchute.Millis) {
	c.orderedAt = at
}

// SetExposureLimit sets the limit on the requests of the new version.
func (c *Controller) SetExposureLimit(limit ExposureLimit) {
	c.exposure = limit.withDefaults()
}

// SetEpochFloor sets the epoch of the share in force. The epochs that this holder
// writes are later.
func (c *Controller) SetEpochFloor(epoch uint64) {
	c.epochFloor = epoch
}

// SetServers sets the number of backend servers that accept requests.
func (c *Controller) SetServers(now bulrushchute.Millis, servers ServerCounts) {
	if servers.Old > 0 || c.servers.Old > 0 || c.oldLastSeenAt == 0 {
		c.oldLastSeenAt = now
	}
	c.servers = servers
}

// AddEvidence adds a node's report. Duplicate reports and reports about another
// generation are dropped.
func (c *Controller) AddEvidence(from bulrushchute.InstanceID, evidence bulrushchute.Evidence) {
	if evidence.Service != c.service {
		return
	}
	state, ok := c.store.current()
	if !ok || evidence.Generation != state.Generation {
		c.keepEarly(from, evidence)
		return
	}
	if evidence.Sequence <= c.lastSequences[from] {
		return
	}
	c.lastSequences[from] = evidence.Sequence
	switch evidence.Version {
	case state.FromVersion:
		c.judge.AddOld(evidence.Route, CountsOf(evidence))
	case state.ToVersion:
		c.judge.AddNew(evidence.Route, CountsOf(evidence))
		c.judge.SetRunning(from, evidence.Route, evidence.RunningAges)
	}
}

func (c *Controller) keepEarly(from bulrushchute.InstanceID, evidence bulrushchute.Evidence) {
	expected := c.move != nil && evidence.Generation == c.move.Generation
	if expected && len(c.early) < maxEarlyReports {
		c.early = append(c.early, earlyEvidence{from: from, evidence: evidence})
	}
}

// addEarly adds the reports that arrived before the state was known.
func (c *Controller) addEarly() {
	early := c.early
	c.early = nil
	for _, report := range early {
		c.AddEvidence(report.from, report.evidence)
	}
}

// ObserveShare processes a share record received from another node. A brake
// causes a rollback regardless of its epoch. An epoch newer than the known one
// means that a delayed write of a previous holder has reached the store.
func (c *Controller) ObserveShare(record ShareRecord) {
	if record.Service != c.service {
		return
	}
	if record.Braked && record.Generation > c.newestBrake.Generation {
		c.newestBrake = record
	}
	c.observedEpoch = max(c.observedEpoch, record.Epoch)
}

// State returns the last known stored state, or false if there is none.
func (c *Controller) State() (State, bool) {
	return c.store.current()
}

// Finding returns the judge's last finding.
func (c *Controller) Finding() Finding {
	return c.judge.Finding()
}

// Tick decides what to do next. It must be called after every input and at least
// once per evidence period.
func (c *Controller) Tick(now bulrushchute.Millis) []Action {
	if now >= c.leaseUntil {
		c.loseLease(now)
		return c.lowerShareOnEvidence(now)
	}
	if !c.store.canCall(now) {
		return c.lowerShareWhileWaiting(now)
	}
	if state, _ := c.store.current(); !c.store.loaded || c.observedEpoch > state.Epoch {
		c.observedEpoch = 0
		return c.startCall(now, StoreGet, c.stateObject(), purposeLoad)
	}
	return c.decide(now)
}

// loseLease discards what is valid only while the lease is held. The evidence is
// kept: it may still lower the share, and it continues to count if no other holder
// has written the state by the time this one holds the lease again.
func (c *Controller) loseLease(now bulrushchute.Millis) {
	if c.store.pending != nil {
		c.store.markUncertain(now, c.store.pending.purpose)
	}
	c.store.loaded, c.store.fenced = false, false
	c.store.retryAt, c.store.failedCalls = now, 0
}

func (c *Controller) resetEvidence(now bulrushchute.Millis) {
	c.judge = NewJudge(HolderThreshold)
	c.lastSequences = map[bulrushchute.InstanceID]uint64{}
	c.evidenceSince = now
	c.nextStepAt = 0
	c.rollbackReason = ""
	c.lastPublished = ShareRecord{}
	c.requestsBefore = 0
}

// lowerShareWhileWaiting continues to judge the move while the store is slow or
// unavailable, because the share can be lowered without the store.
func (c *Controller) lowerShareWhileWaiting(now bulrushchute.Millis) []Action {
	state, ok := c.store.current()
	if !ok || !needsJudging(state) {
		return nil
	}
	c.evaluate(now, state)
	c.checkDeadline(now, state)
	return c.publishRollback(state)
}

// lowerShareOnEvidence continues to judge the move without the lease. Any node may
// lower the share on evidence; only the holder may do so because of the deadline.
func (c *Controller) lowerShareOnEvidence(now bulrushchute.Millis) []Action {
	state, ok := c.store.current()
	if !ok || !needsJudging(state) {
		return nil
	}
	c.evaluate(now, state)
	return c.publishRollback(state)
}

// needsJudging reports whether the new version is still compared with the old
// one. A completed move is judged further so that it can be reverted, except for
// an ordered move: its old version's servers stop at once, which leaves nothing
// to revert to.
func needsJudging(state State) bool {
	if state.ordered() {
		return state.Outcome == OutcomeNone
	}
	return state.Outcome == OutcomeNone || state.Outcome == OutcomeCompleted
}

// publishRollback publishes a share of 0 in the current epoch.
func (c *Controller) publishRollback(state State) []Action {
	if c.rollbackReason == "" {
		return nil
	}
	record := state.ShareRecord()
	record.Share, record.Braked, record.Reason = 0, true, c.rollbackReason
	return c.publish(record)
}

func (c *Controller) publish(record ShareRecord) []Action {
	if record.equal(c.lastPublished) {
		return nil
	}
	c.lastPublished = record
	return []Action{{Publish: &record}}
}

// evaluate updates the sequential tests, and the rollback reason if the evidence or
// a brake gives one.
func (c *Controller) evaluate(now bulrushchute.Millis, state State) {
	if state.short() {
		c.judge.SetShort(shortHolderThreshold)
	}
	if now >= c.nextStepAt {
		c.nextStepAt = now + state.evidencePeriod()
		c.judge.SetShare(state.Share())
		c.judge.SetGranted(totalGranted(state.Grants), state.limited())
		c.judge.Step()
	}
	if c.rollbackReason != "" {
		return
	}
	if finding := c.judge.Finding(); finding.Bad {
		c.rollbackReason = "bad: " + finding.String()
	} else if c.newestBrake.Generation == state.Generation {
		c.rollbackReason = "braked: " + c.newestBrake.Reason
	}
}

// checkDeadline sets the rollback reason of a move that must not go on at its
// deadline.
func (c *Controller) checkDeadline(now bulrushchute.Millis, state State) {
	if c.rollbackReason != "" || state.Outcome != OutcomeNone || now < state.CompleteByMs {
		return
	}
	if state.Stage < state.lastStage() && !c.oldGone(now) {
		c.rollbackReason = fmt.Sprintf("late: share %d of %d at the deadline", state.Share(), FullShare)
	} else if state.Stage == state.lastStage() && c.judge.Suspicious() {
		c.rollbackReason = "suspicious at the deadline: " + c.judge.Finding().String()
	}
}

// oldGone reports whether the old version has had no backend server for
// goneAfter while the new version has at least one.
func (c *Controller) oldGone(now bulrushchute.Millis) bool {
	return c.servers.Old == 0 && c.servers.New > 0 && now-c.oldLastSeenAt >= goneAfter
}
