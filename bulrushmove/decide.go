package bulrushmove

import (
	"bulrushchute.example/bulrushchute"
)

// decide compares the stored state with what the catalogue asks for. It is
// called when the state is known and no store call is under way.
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
	case !judged(state):
		return nil
	case state.Outcome == OutcomeCompleted && c.oldGone(now):
		return nil
	case !c.store.fenced:
		return c.fence(now, state)
	default:
		return c.advance(now, state)
	}
}

// superseded reports whether the entry asks for something else than the stored move.
func (c *Controller) superseded(state State) bool {
	if c.move == nil {
		return state.Outcome == OutcomeNone
	}
	return c.move.Generation > state.Generation
}

// supersede ends a move that operators removed or replaced, and begins the
// next one when the former is announced. A move that had reached 100% counts
// as completed when the next one starts from its version.
func (c *Controller) supersede(now bulrushchute.Millis, state State) []Action {
	if state.Outcome != OutcomeNone {
		return c.begin(now, state)
	}
	if c.verdict != "" {
		return c.finish(now, state, OutcomeRolledBack, c.verdict)
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

// begin stores the start of the entry's move, at a share of 0.
func (c *Controller) begin(now bulrushchute.Millis, former State) []Action {
	if c.move == nil {
		return nil
	}
	return c.write(now, former.withMove(c.service, *c.move, now))
}

// fence stores a new epoch before the first decision of a holder. From then on
// a former holder's conditional update fails, even if it was paused in the
// middle of it.
func (c *Controller) fence(now bulrushchute.Millis, state State) []Action {
	state.Epoch++
	return c.write(now, state)
}

// advance judges the move and takes its next step.
func (c *Controller) advance(now bulrushchute.Millis, state State) []Action {
	c.judgeStep(now, state)
	if c.verdict != "" {
		return c.rollBack(now, state)
	}
	if state.Outcome == OutcomeCompleted {
		return nil
	}
	switch {
	case c.oldGone(now) && state.Stage < state.lastStage():
		// Without the old version there is nothing to compare with and nowhere
		// else to send requests.
		return c.raise(now, state, state.lastStage())
	case c.servers.New == 0 && state.Stage > 0:
		return c.pause(now, state)
	case state.Stage == state.lastStage():
		return c.complete(now, state)
	case c.mayRaise(now, state):
		return c.raise(now, state, state.Stage+1)
	default:
		return nil
	}
}

func (c *Controller) rollBack(now bulrushchute.Millis, state State) []Action {
	outcome := OutcomeRolledBack
	if state.Outcome == OutcomeCompleted {
		outcome = OutcomeReverted
	}
	return c.finish(now, state, outcome, c.verdict)
}

// finish stores an outcome. A lower share is spread at once, without waiting
// for the store.
func (c *Controller) finish(now bulrushchute.Millis, state State, outcome Outcome, reason string) []Action {
	ended := state.withOutcome(outcome, reason, now)
	var actions []Action
	if ended.Share() < state.Share() || c.verdict != "" {
		actions = c.publish(ended.ShareRecord())
	}
	return append(actions, c.write(now, ended)...)
}

// pause lowers the share to 0 while the new version has no backend server. The
// move starts again from the first stage, with the time that is left.
func (c *Controller) pause(now bulrushchute.Millis, state State) []Action {
	paused := state.withStage(0, now)
	paused.Reason = "no backend server of the new version"
	return append(c.publish(paused.ShareRecord()), c.write(now, paused)...)
}

// raise stores the next share in a new epoch. It is spread when the store has
// confirmed it.
func (c *Controller) raise(now bulrushchute.Millis, state State, next int) []Action {
	raised := state.withStage(next, now)
	raised.Reason = ""
	raised.Baselines = c.judge.Baselines()
	return c.write(now, raised)
}

// mayRaise decides on the next stage below 100%.
func (c *Controller) mayRaise(now bulrushchute.Millis, state State) bool {
	if c.servers.New == 0 || now >= state.CompleteByMs {
		return false
	}
	if state.Stage == 0 {
		return true
	}
	next := state.plan()[state.Stage+1]
	since := max(state.StageSinceMs, c.evidenceSince)
	if now-since < state.stageTime() || now < state.at(next.earliest) || c.judge.Suspicious() {
		return false
	}
	return now >= state.latestAt(state.Stage+1) || (c.judge.Clear() && c.hasCapacity(next.share))
}

// hasCapacity reports whether the new version has servers in proportion to the
// share. A good version on too few servers would look bad.
func (c *Controller) hasCapacity(share int) bool {
	return c.servers.New*FullShare >= share*c.servers.Old
}

// complete stores the outcome of a move at 100%: when the old version is gone,
// otherwise shortly before the deadline, so that the time until then is used
// to judge the new version under full load.
func (c *Controller) complete(now bulrushchute.Millis, state State) []Action {
	if c.oldGone(now) {
		return c.finish(now, state, OutcomeCompleted, "the old version is gone")
	}
	settled := now-state.StageSinceMs >= state.stageTime() && !c.judge.Suspicious()
	if now >= state.CompleteByMs || (now >= state.finishAt() && settled) {
		return c.finish(now, state, OutcomeCompleted, "all requests on the new version")
	}
	return nil
}
