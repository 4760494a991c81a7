package bulrushmove

import (
	"errors"
	"fmt"

	"bulrushchute.example/bulrushchute"
)

const (
	// storeCallTimeout is how long a controller waits for a result before it treats
	// the response as lost.
	storeCallTimeout = 15 * bulrushchute.Second
	// Failed calls are retried with an exponential delay between minRetryDelay and
	// maxRetryDelay.
	minRetryDelay = 500 * bulrushchute.Millisecond
	maxRetryDelay = 8 * bulrushchute.Second
)

// purpose selects how the result of a store call is handled.
type purpose uint8

const (
	// purposeLoad reads the state, initially and after a lost response.
	purposeLoad purpose = iota
	purposeWrite
	// purposeAnnounce creates the event object.
	purposeAnnounce
	// purposeConfirm reads the event object after a lost response.
	purposeConfirm
)

// storeState holds a holder's knowledge of the stored state and its pending call.
type storeState struct {
	// loaded is false initially and after any result that leaves the stored state
	// uncertain.
	loaded bool
	// exists is set if the store holds a state.
	exists bool
	state  State
	// version is the object version of the state, for conditional updates.
	version uint64
	// fenced is set once this holder has written the state, see Controller.fence.
	fenced bool
	// confirmEvent is set when the event must be read, because it is unknown
	// whether a call has created it.
	confirmEvent bool
	// eventExists is set when the event of the current outcome exists.
	eventExists bool

	pending *pendingCall
	lastID  uint64
	// failedCalls counts the calls that failed since the last success.
	failedCalls int
	retryAt     bulrushchute.Millis
	// lastWriter is the Writer of the last write, to recognise it after a lost
	// response.
	lastWriter string
}

type pendingCall struct {
	id      uint64
	purpose purpose
	// state is the state that a call with purposeWrite stores.
	state     State
	startedAt bulrushchute.Millis
}

// current returns the state, or false if none is stored or it was never read. An
// uncertain state is returned too, as the best one available for judging.
func (ss *storeState) current() (State, bool) {
	return ss.state, ss.exists
}

// canCall reports whether a store call may be made now. It treats a pending call
// past storeCallTimeout as lost.
func (ss *storeState) canCall(now bulrushchute.Millis) bool {
	if ss.pending != nil && now-ss.pending.startedAt >= storeCallTimeout {
		ss.markUncertain(now, ss.pending.purpose)
	}
	return ss.pending == nil && now >= ss.retryAt
}

// markUncertain schedules a read after a call whose effect is unknown.
func (ss *storeState) markUncertain(now bulrushchute.Millis, callPurpose purpose) {
	ss.pending = nil
	if callPurpose == purposeAnnounce || callPurpose == purposeConfirm {
		ss.confirmEvent = true
	} else {
		ss.loaded = false
	}
	ss.scheduleRetry(now)
}

func (ss *storeState) scheduleRetry(now bulrushchute.Millis) {
	ss.retryAt = now + min(minRetryDelay<<min(ss.failedCalls, 8), maxRetryDelay)
	ss.failedCalls++
}

func (c *Controller) stateObject() bulrushchute.Object {
	return bulrushchute.Object{Kind: bulrushchute.KindMoves, Name: string(c.service)}
}

func (c *Controller) startCall(now bulrushchute.Millis, operation StoreOperation, object bulrushchute.Object, callPurpose purpose) []Action {
	c.store.lastID++
	c.store.pending = &pendingCall{id: c.store.lastID, purpose: callPurpose, startedAt: now}
	return []Action{{Store: &StoreCall{ID: c.store.lastID, Operation: operation, Object: object}}}
}

// writeState stores a state, conditional on the version last read or written.
func (c *Controller) writeState(now bulrushchute.Millis, state State) []Action {
	state.Writer = fmt.Sprintf("%s/%d", c.node, c.store.lastID+1)
	if c.store.exists && c.store.state.Generation == state.Generation && state.ordered() {
		state.Requests = c.serviceRequests()
	}
	object := c.stateObject().WithValue(encode(state))
	operation := StoreCreate
	if c.store.exists {
		operation = StoreUpdate
		object.Version = c.store.version
	}
	actions := c.startCall(now, operation, object, purposeWrite)
	c.store.pending.state = state
	c.store.lastWriter = state.Writer
	return actions
}

// announce creates the event object, or reads it back after a lost response, and
// then sets Announced in the stored state.
func (c *Controller) announce(now bulrushchute.Millis, state State) []Action {
	if c.store.eventExists {
		state.Announced = true
		return c.writeState(now, state)
	}
	object := state.eventObject()
	if c.store.confirmEvent {
		return c.startCall(now, StoreGet, object.WithValue(nil), purposeConfirm)
	}
	return c.startCall(now, StoreCreate, object, purposeAnnounce)
}

// HandleStoreResult processes the result of a store call and returns the shares to
// publish. Results of abandoned calls are ignored.
func (c *Controller) HandleStoreResult(now bulrushchute.Millis, result StoreResult) []Action {
	pending := c.store.pending
	if pending == nil || pending.id != result.ID || now >= c.leaseUntil {
		return nil
	}
	c.store.pending = nil
	switch pending.purpose {
	case purposeLoad:
		return c.handleLoad(now, result)
	case purposeWrite:
		return c.handleWrite(now, pending, result)
	default:
		c.handleEvent(now, pending.purpose, result)
		return nil
	}
}

func (c *Controller) handleLoad(now bulrushchute.Millis, result StoreResult) []Action {
	var notFound *bulrushchute.NotFoundError
	if errors.As(result.Err, &notFound) {
		c.store.loaded, c.store.exists, c.store.failedCalls = true, false, 0
		return nil
	}
	if result.Err != nil {
		c.store.markUncertain(now, purposeLoad)
		return nil
	}
	state, err := ParseState(result.Object)
	if err != nil {
		c.store.markUncertain(now, purposeLoad)
		return nil
	}
	previous, known := c.store.current()
	ownWrite := c.store.lastWriter != "" && state.Writer == c.store.lastWriter
	if !ownWrite && (!known || previous.Writer != state.Writer) {
		// Another holder wrote last. It must be fenced, and the evidence behind
		// its decisions is not known here.
		c.store.fenced = false
		c.resetEvidence(now)
		c.judge.RestoreBaselines(state.Baselines)
		c.requestsBefore = state.Requests
	}
	return c.adopt(now, state, result.Object.Version, ownWrite)
}

func (c *Controller) handleWrite(now bulrushchute.Millis, pending *pendingCall, result StoreResult) []Action {
	var unavailable *bulrushchute.UnavailableError
	switch {
	case result.Err == nil:
		return c.adopt(now, pending.state, result.Object.Version, true)
	case bulrushchute.LostRace(result.Err):
		// Another node has written as holder, so this node no longer is the
		// holder.
		c.leaseUntil = 0
		c.loseLease(now)
	case errors.As(result.Err, &unavailable):
		c.store.scheduleRetry(now)
	default:
		c.store.markUncertain(now, purposeWrite)
	}
	return nil
}

// adopt replaces the known state with one confirmed by the store. It publishes the
// share if this holder wrote the state.
func (c *Controller) adopt(now bulrushchute.Millis, state State, version uint64, ownWrite bool) []Action {
	previous, known := c.store.current()
	if !known || previous.Generation != state.Generation || previous.Outcome != state.Outcome {
		c.store.confirmEvent = false
		c.store.eventExists = false
	}
	if ownWrite && previous.Generation != state.Generation {
		// Reports on the previous move may have arrived until now, and each
		// recorder numbers its reports on the new move from 1.
		c.resetEvidence(now)
	}
	if !needsJudging(state) {
		// While the move is still judged, a rollback reason found during the write
		// of its completion remains in force.
		c.rollbackReason = ""
	}
	if !known || previous.Stage != state.Stage {
		c.judge.StartStage()
	}
	c.store.loaded, c.store.exists, c.store.failedCalls = true, true, 0
	c.store.state, c.store.version = state, version
	c.store.retryAt = now
	c.addEarly()
	if !ownWrite {
		return nil
	}
	c.store.fenced = true
	if c.rollbackReason != "" {
		return c.publishRollback(state)
	}
	return c.publish(state.ShareRecord())
}

func (c *Controller) handleEvent(now bulrushchute.Millis, callPurpose purpose, result StoreResult) {
	var notFound *bulrushchute.NotFoundError
	var alreadyExists *bulrushchute.ExistsError
	var unavailable *bulrushchute.UnavailableError
	switch {
	case result.Err == nil || errors.As(result.Err, &alreadyExists):
		c.store.failedCalls = 0
		c.store.confirmEvent = false
		c.store.eventExists = true
	case errors.As(result.Err, &notFound):
		// The uncertain creation had no effect. Retrying it is safe, because it
		// succeeds only if the object does not exist.
		c.store.confirmEvent = false
	case errors.As(result.Err, &unavailable):
		c.store.scheduleRetry(now)
	default:
		c.store.markUncertain(now, callPurpose)
	}
}
