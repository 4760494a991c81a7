package bulrushmove

import (
	"bulrushchute.example/bulrushchute"
)

// decide compares the stored state with the catalogue entry. It is called when
// the state is known and no store call is pending.
func (c *Controller) decide(now bulrushchute.Millis) []Action {
	state, stored := c.store.current()
	switch {
	case !c.entryKnown:
		return nil
	case !stored:
		return c.begin(now, State{})
	case state.Outcome != OutcomeNone && !state.Announced:
		return c.announce(now, state)
	case c.superseded(state):
		return c.supersede(now, state)
	case c.move == nil || c.move.Generation != state.Generation:
		// The move has ended, or the entry is older than the stored move.
		return nil
	case !needsJudging(state):
		return nil
	case state.Outcome == OutcomeCompleted && c.oldGone(now):
		return nil
	case !c.store.fenced:
		return c.fence(now, state)
	default:
		return c.advance(now, state)
	}
}

// superseded reports whether the stored move was removed from the catalogue entry
// or replaced by a newer generation.
func (c *Controller) superseded(state State) bool {
	if c.move == nil {
		return state.Outcome == OutcomeNone
	}
	return c.move.Generation > state.Generation
}

// supersede ends a move that operators removed or replaced, and begins the next
// one once the outcome of the previous one has been announced. A move that had
// reached 100% counts as completed if the next one starts from its version.
func (c *Controller) supersede(now bulrushchute.Millis, state State) []Action {
	if state.Outcome != OutcomeNone {
		return c.begin(now, state)
	}
	if c.rollbackReason != "" {
		return c.finish(now, state, OutcomeRolledBack, c.rollbackReason)
	}
	if c.move != nil && state.Stage == state.lastStage() && c.move.FromVersion == state.ToVersion {
		return c.finish(now, state, OutcomeCompleted, "the next move starts from this version")
	}
	reason := "move removed from the entry"
	if c.move != nil {
		reason = "replaced by a newer generation"
	}
	return c.finish(now, state, OutcomeCancelled, reason)
}

// begin stores the initial state of the move in the catalogue entry, with a share
// of 0.
func (c *Controller) begin(now bulrushchute.Millis, previous State) []Action {
	if c.move == nil {
		return nil
	}
	previous.Epoch = max(previous.Epoch, c.epochFloor)
	orderedAt := now
	if c.orderedAt > 0 {
		orderedAt = min(c.orderedAt, now)
	}
	return c.writeState(now, previous.withMove(c.service, *c.move, now, orderedAt))
}

// fence stores a new epoch before a holder's first decision. From then on a
// conditional update of a previous holder fails, even if that holder was paused
// in the middle of the update.
func (c *Controller) fence(now bulrushchute.Millis, state State) []Action {
	state.Epoch = max(state.Epoch, c.epochFloor) + 1
	return c.writeState(now, state)
}

// advance judges the move and performs its next transition, if any.
func (c *Controller) advance(now bulrushchute.Millis, state State) []Action {
	c.evaluate(now, state)
	c.checkDeadline(now, state)
	if c.rollbackReason != "" {
		return c.rollBack(now, state)
	}
	if state.Outcome == OutcomeCompleted {
		return nil
	}
	switch {
	case c.oldGone(now) && state.Stage < state.lastStage():
		// Without the old version there is nothing to compare with, and no
		// other server to send requests to.
		return c.raiseShare(now, state, state.lastStage())
	case c.servers.New == 0 && state.Stage > 0:
		return c.pause(now, state)
	case state.Stage == state.lastStage():
		return c.completeIfDue(now, state)
	case c.mayRaiseShare(now, state):
		return c.raiseShare(now, state, state.Stage+1)
	}
	if grants, enlarged := c.enlargedGrants(state); enlarged {
		return c.enlargeGrants(now, state, grants)
	}
	return nil
}

func (c *Controller) rollBack(now bulrushchute.Millis, state State) []Action {
	outcome := OutcomeRolledBack
	if state.Outcome == OutcomeCompleted {
		outcome = OutcomeReverted
	}
	return c.finish(now, state, outcome, c.rollbackReason)
}

// finish stores an outcome. A lower share is published immediately, without
// waiting for the store.
func (c *Controller) finish(now bulrushchute.Millis, state State, outcome Outcome, reason string) []Action {
	ended := state.withOutcome(outcome, reason, now)
	var actions []Action
	if ended.Share() < state.Share() || c.rollbackReason != "" {
		actions = c.publish(ended.ShareRecord())
	}
	return append(actions, c.writeState(now, ended)...)
}

// pause sets the share to 0 while the new version has no backend server. The
// move restarts from the first stage, with the remaining time.
func (c *Controller) pause(now bulrushchute.Millis, state State) []Action {
	paused := state.withStage(0, now)
	paused.Reason = "no backend server of the new version"
	return append(c.publish(paused.ShareRecord()), c.writeState(now, paused)...)
}

// raiseShare stores the share of a later stage in a new epoch. The share is
// published once the store has confirmed it.
func (c *Controller) raiseShare(now bulrushchute.Millis, state State, stage int) []Action {
	raised := state.withStage(stage, now)
	raised.Grants = c.grantsFor(state, stage)
	raised.Reason = ""
	raised.Baselines = c.judge.Baselines()
	return c.writeState(now, raised)
}

// mayRaiseShare reports whether a move below 100% may enter its next stage.
func (c *Controller) mayRaiseShare(now bulrushchute.Millis, state State) bool {
	if c.servers.New == 0 || now >= state.CompleteByMs {
		return false
	}
	if state.Stage == 0 {
		return true
	}
	next := state.stages()[state.Stage+1]
	since := max(state.StageSinceMs, c.evidenceSince)
	if now-since < state.minStageDuration() || now < state.timeAt(next.earliest) || c.judge.Suspicious() {
		return false
	}
	if next.share == FullShare && !c.mayServeAll(now, state) {
		return false
	}
	return now >= state.latestStart(state.Stage+1) || (c.judge.EnoughEvidence() && c.hasCapacity(next.share))
}

// hasCapacity reports whether the new version has enough servers for the share,
// in proportion to those of the old version. A good version with too few servers
// would appear bad.
func (c *Controller) hasCapacity(share int) bool {
	return c.servers.New*FullShare >= share*c.servers.Old
}

// completeIfDue stores the outcome of a move at 100% once the old version is
// gone, and otherwise shortly before the deadline, so that the time until then is
// used to judge the new version under full load.
func (c *Controller) completeIfDue(now bulrushchute.Millis, state State) []Action {
	if c.oldGone(now) {
		return c.finish(now, state, OutcomeCompleted, "the old version is gone")
	}
	settled := now-state.StageSinceMs >= state.minStageDuration() && !c.judge.Suspicious()
	if now >= state.CompleteByMs || (now >= state.completeAt() && settled) {
		return c.finish(now, state, OutcomeCompleted, "all requests on the new version")
	}
	return nil
}
