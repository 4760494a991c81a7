package bulrushkey

import (
	"fmt"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// Delays between retries while the store fails. They double up to the maximum,
// so that the proposers of all services do not overload a store that recovers.
const (
	minRetryDelay = 500 * bulrushchute.Millisecond
	maxRetryDelay = 8 * bulrushchute.Second
)

// proposal is the state of a change of the key map that this node proposes.
type proposal struct {
	// candidate is the changed map, at the version that it replaces. It is nil
	// if there is no change that may take effect.
	candidate *KeyMap
	// outcomeUnknown is set when the response to a write was lost. The change may
	// then take effect until the map is observed at another version.
	outcomeUnknown bool
	// writing and reading are set while a call to the store is in progress.
	writing bool
	reading bool
	// readNeeded is set when the store may hold another map than the known one.
	readNeeded bool
	// mapAbsent is set when a read found no map in the store.
	mapAbsent  bool
	failures   int
	retryAt    bulrushchute.Millis
	writeCount int
}

// resolve removes the candidate if a newer map shows that it took effect or that
// it never can, because the version that it replaces is no longer current.
func (p *proposal) resolve(m KeyMap) {
	p.mapAbsent = false
	if p.candidate == nil || m.Version <= p.candidate.Version {
		return
	}
	p.candidate = nil
	p.outcomeUnknown = false
	p.readNeeded = false
	p.failures = 0
}

// propose returns the read or write of the store that is due, if any.
func (c *Controller) propose(now bulrushchute.Millis) []Action {
	p := &c.proposal
	if p.writing || p.reading || now < p.retryAt {
		return nil
	}
	if p.readNeeded {
		p.reading = true
		return []Action{{Read: true}}
	}
	if p.candidate == nil {
		candidate, found := c.plan(now)
		if !found {
			return nil
		}
		p.writeCount++
		candidate = candidate.WithWriter(fmt.Sprintf("%s/%d", c.self, p.writeCount))
		p.candidate = &candidate
	}
	return c.writeCandidate()
}

// writeCandidate returns the write of the candidate. After a lost response it
// repeats the same candidate at the same version, so that at most one of the
// writes can take effect.
func (c *Controller) writeCandidate() []Action {
	p := &c.proposal
	object, err := p.candidate.Object()
	if err != nil {
		p.candidate = nil
		c.backOff()
		return nil
	}
	p.writing = true
	return []Action{{Write: &Write{Create: p.candidate.Version == 0, Object: object}}}
}

// HandleWriteResult processes the store's response to a Write, or its error.
func (c *Controller) HandleWriteResult(now bulrushchute.Millis, object bulrushchute.Object, err error) {
	now = c.advanceClock(now)
	p := &c.proposal
	p.writing = false
	if p.candidate == nil {
		// A newer map arrived by gossip before the response.
		return
	}
	var (
		unavailable *bulrushchute.UnavailableError
		notFound    *bulrushchute.NotFoundError
	)
	switch {
	case err == nil:
		c.SetMap(now, p.candidate.WithVersion(object.Version))
	case bulrushchute.LostRace(err) || errors.As(err, &notFound):
		p.readNeeded = true
		p.discard()
	case errors.As(err, &unavailable):
		p.readNeeded = p.outcomeUnknown
		p.discard()
		c.backOff()
	default:
		p.outcomeUnknown = true
		p.readNeeded = true
		c.backOff()
	}
}

// discard removes the candidate after a write without effect, unless an earlier
// write of it may still take effect.
func (p *proposal) discard() {
	if !p.outcomeUnknown {
		p.candidate = nil
	}
}

// HandleReadResult processes the store's response to a Read, or its error.
func (c *Controller) HandleReadResult(now bulrushchute.Millis, object bulrushchute.Object, err error) {
	now = c.advanceClock(now)
	p := &c.proposal
	p.reading = false
	var notFound *bulrushchute.NotFoundError
	if errors.As(err, &notFound) && !c.hasMap {
		p.readNeeded = false
		p.mapAbsent = true
		return
	}
	var m KeyMap
	if err == nil {
		m, err = ParseMap(object)
	}
	if err != nil || m.Version < c.current.Version {
		c.backOff()
		return
	}
	p.readNeeded = false
	c.SetMap(now, m)
}

// backOff delays the next call to the store. The delay has random jitter, so that
// nodes do not retry at the same time.
func (c *Controller) backOff() {
	p := &c.proposal
	// The shift is limited so that it cannot overflow.
	delay := min(maxRetryDelay, minRetryDelay<<min(p.failures, 5))
	p.failures++
	jitter := bulrushchute.Millis(c.random.Int64N(int64(delay)/2 + 1))
	p.retryAt = c.now + delay/2 + jitter
}
