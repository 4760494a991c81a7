package bulrushmove

import (
	"errors"
	"fmt"

	"bulrushchute.example/bulrushchute"
)

const (
	// callTimeout is how long a controller waits for a result before it treats
	// the answer as lost.
	callTimeout = 15 * bulrushchute.Second
	// Failed calls are repeated after minBackoff, doubled up to maxBackoff.
	minBackoff = 500 * bulrushchute.Millisecond
	maxBackoff = 8 * bulrushchute.Second
)

// purpose is what a store call is for.
type purpose uint8

const (
	// purposeLoad reads the state, at the start and to settle a lost answer.
	purposeLoad purpose = iota
	purposeWrite
	// purposeAnnounce creates the event object.
	purposeAnnounce
	// purposeConfirm reads the event object after a lost answer.
	purposeConfirm
)

// storeState is what a holder knows of the stored state.
type storeState struct {
	// loaded is false at the start and after any answer that leaves the
	// stored state in doubt.
	loaded bool
	exists bool
	state  State
	// version is the store's version of the state.
	version uint64
	// fenced is set once this holder has written the state.
	fenced bool
	// confirm is set when an event's creation must be read back first.
	confirm bool
	// announced is set when the event of the current outcome exists.
	announced bool

	pending  *pendingCall
	lastID   uint64
	failures int
	retryAt  bulrushchute.Millis
	// writtenAs is the writer of the last write, to recognise it after a lost answer.
	writtenAs string
}

type pendingCall struct {
	id      uint64
	purpose purpose
	state   State
	since   bulrushchute.Millis
}

// current returns the state, false when none is stored or it was never read. A
// state in doubt is still the best known one for judging.
func (ss *storeState) current() (State, bool) {
	return ss.state, ss.exists
}

// ready reports whether a call may be made now.
func (ss *storeState) ready(now bulrushchute.Millis) bool {
	if ss.pending != nil && now-ss.pending.since >= callTimeout {
		ss.doubt(now, ss.pending.purpose)
	}
	return ss.pending == nil && now >= ss.retryAt
}

// doubt prepares the reading back after a call whose effect is not known.
func (ss *storeState) doubt(now bulrushchute.Millis, call purpose) {
	ss.pending = nil
	if call == purposeAnnounce || call == purposeConfirm {
		ss.confirm = true
	} else {
		ss.loaded = false
	}
	ss.backOff(now)
}

func (ss *storeState) backOff(now bulrushchute.Millis) {
	ss.retryAt = now + min(minBackoff<<min(ss.failures, 8), maxBackoff)
	ss.failures++
}

func (c *Controller) stateObject() bulrushchute.Object {
	return bulrushchute.Object{Kind: bulrushchute.KindMoves, Name: string(c.service)}
}

func (c *Controller) call(now bulrushchute.Millis, operation StoreOperation, object bulrushchute.Object, why purpose) []Action {
	c.store.lastID++
	c.store.pending = &pendingCall{id: c.store.lastID, purpose: why, since: now}
	return []Action{{Store: &StoreCall{ID: c.store.lastID, Operation: operation, Object: object}}}
}

// write stores a state, conditional on the version that was read.
func (c *Controller) write(now bulrushchute.Millis, state State) []Action {
	state.Writer = fmt.Sprintf("%s/%d", c.node, c.store.lastID+1)
	object := c.stateObject().WithValue(encode(state))
	operation := StoreCreate
	if c.store.exists {
		operation = StoreUpdate
		object.Version = c.store.version
	}
	actions := c.call(now, operation, object, purposeWrite)
	c.store.pending.state = state
	c.store.writtenAs = state.Writer
	return actions
}

// announce creates the event object, or reads it back after a lost answer, and
// then notes it in the state.
func (c *Controller) announce(now bulrushchute.Millis, state State) []Action {
	if c.store.announced {
		state.Announced = true
		return c.write(now, state)
	}
	object := state.eventObject()
	if c.store.confirm {
		return c.call(now, StoreGet, object.WithValue(nil), purposeConfirm)
	}
	return c.call(now, StoreCreate, object, purposeAnnounce)
}

// Stored takes the result of a store call. Results of calls that were given up
// are ignored. It returns the shares to spread.
func (c *Controller) Stored(now bulrushchute.Millis, result StoreResult) []Action {
	pending := c.store.pending
	if pending == nil || pending.id != result.ID || now >= c.leaseUntil {
		return nil
	}
	c.store.pending = nil
	switch pending.purpose {
	case purposeLoad:
		return c.storedLoad(now, result)
	case purposeWrite:
		return c.storedWrite(now, pending, result)
	default:
		c.storedEvent(now, pending.purpose, result)
		return nil
	}
}

func (c *Controller) storedLoad(now bulrushchute.Millis, result StoreResult) []Action {
	var missing *bulrushchute.NotFoundError
	if errors.As(result.Err, &missing) {
		c.store.loaded, c.store.exists, c.store.failures = true, false, 0
		return nil
	}
	if result.Err != nil {
		c.store.doubt(now, purposeLoad)
		return nil
	}
	state, err := ParseState(result.Object)
	if err != nil {
		c.store.doubt(now, purposeLoad)
		return nil
	}
	former, known := c.store.current()
	mine := c.store.writtenAs != "" && state.Writer == c.store.writtenAs
	if !mine && (!known || former.Writer != state.Writer) {
		// Another holder wrote last: its epoch has to be fenced, and the evidence
		// behind its decisions is not known here.
		c.store.fenced = false
		c.forgetEvidence(now)
		c.judge.Restore(state.Baselines)
	}
	return c.adopt(now, state, result.Object.Version, mine)
}

func (c *Controller) storedWrite(now bulrushchute.Millis, pending *pendingCall, result StoreResult) []Action {
	var unavailable *bulrushchute.UnavailableError
	switch {
	case result.Err == nil:
		return c.adopt(now, pending.state, result.Object.Version, true)
	case bulrushchute.LostRace(result.Err):
		// Another node writes as holder, so this one no longer is.
		c.leaseUntil = 0
		c.release(now)
	case errors.As(result.Err, &unavailable):
		c.store.backOff(now)
	default:
		c.store.doubt(now, purposeWrite)
	}
	return nil
}

// adopt takes over a state that the store confirmed and spreads its share.
func (c *Controller) adopt(now bulrushchute.Millis, state State, version uint64, mine bool) []Action {
	former, known := c.store.current()
	if !known || former.Generation != state.Generation || former.Outcome != state.Outcome {
		c.store.confirm = false
		c.store.announced = false
	}
	if mine && former.Generation != state.Generation {
		// Reports on the former move may have arrived until now, and each
		// recorder numbers those on the new one from 1.
		c.forgetEvidence(now)
	}
	if !judged(state) {
		// A verdict that was found while a completion was being stored holds.
		c.verdict = ""
	}
	if !known || former.Stage != state.Stage {
		c.judge.StartStage()
	}
	c.store.loaded, c.store.exists, c.store.failures = true, true, 0
	c.store.state, c.store.version = state, version
	c.store.retryAt = now
	if !mine {
		return nil
	}
	c.store.fenced = true
	if c.verdict != "" {
		return c.publishVerdict(state)
	}
	return c.publish(state.ShareRecord())
}

func (c *Controller) storedEvent(now bulrushchute.Millis, why purpose, result StoreResult) {
	var missing *bulrushchute.NotFoundError
	var exists *bulrushchute.ExistsError
	var unavailable *bulrushchute.UnavailableError
	switch {
	case result.Err == nil || errors.As(result.Err, &exists):
		c.store.failures = 0
		c.store.confirm = false
		c.store.announced = true
	case errors.As(result.Err, &missing):
		// The lost creation had no effect. Creating it again is safe, because
		// it succeeds only if the object is absent.
		c.store.confirm = false
	case errors.As(result.Err, &unavailable):
		c.store.backOff(now)
	default:
		c.store.doubt(now, why)
	}
}
