package bulrushkey

import (
	"fmt"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// Spans between tries of a store that fails. They double up to the longest, so
// that the proposers of all services do not overload a store that returns.
const (
	shortestRetry = 500 * bulrushchute.Millisecond
	longestRetry  = 8 * bulrushchute.Second
)

// proposal is a change of the key map that this node is writing.
type proposal struct {
	// candidate is the changed map at the version that it replaces, nil when
	// there is no change that may take effect.
	candidate *KeyMap
	// mayLand is set when the answer of a try was lost. The change may then
	// take effect until the map is seen at another version.
	mayLand bool
	// writing and reading are set during a call to the store.
	writing bool
	reading bool
	// readNeeded is set when the map in the store may differ from the known one.
	readNeeded bool
	// absent is set when the store was seen to hold no map.
	absent   bool
	failures int
	retryAt  bulrushchute.Millis
	writes   int
}

// settle ends the candidate when a newer map shows that it took effect or that
// it never can, because its condition has failed.
func (p *proposal) settle(m KeyMap) {
	p.absent = false
	if p.candidate == nil || m.Version <= p.candidate.Version {
		return
	}
	p.candidate = nil
	p.mayLand = false
	p.readNeeded = false
	p.failures = 0
}

// propose returns the call to the store that is due, if any.
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
		p.writes++
		candidate = candidate.WithWriter(fmt.Sprintf("%s/%d", c.self, p.writes))
		p.candidate = &candidate
	}
	return c.write()
}

// write sends the candidate. After a lost answer it is the same candidate
// again, at the same version, so that at most one try can take effect.
func (c *Controller) write() []Action {
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

// Wrote reports the end of a Write with the store's answer or error.
func (c *Controller) Wrote(now bulrushchute.Millis, object bulrushchute.Object, err error) {
	now = c.advance(now)
	p := &c.proposal
	p.writing = false
	if p.candidate == nil {
		// Gossip brought a newer map before the answer came.
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
		p.withdraw()
	case errors.As(err, &unavailable):
		p.readNeeded = p.mayLand
		p.withdraw()
		c.backOff()
	default:
		p.mayLand = true
		p.readNeeded = true
		c.backOff()
	}
}

// withdraw drops the candidate after a try without effect, unless an earlier
// try of it may still take effect.
func (p *proposal) withdraw() {
	if !p.mayLand {
		p.candidate = nil
	}
}

// WasRead reports the end of a Read with the store's answer or error.
func (c *Controller) WasRead(now bulrushchute.Millis, object bulrushchute.Object, err error) {
	now = c.advance(now)
	p := &c.proposal
	p.reading = false
	var notFound *bulrushchute.NotFoundError
	if errors.As(err, &notFound) && !c.known {
		p.readNeeded = false
		p.absent = true
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

// backOff delays the next call to the store, by a random share of the span so
// that nodes do not return together.
func (c *Controller) backOff() {
	p := &c.proposal
	span := min(longestRetry, shortestRetry<<min(p.failures, 5))
	p.failures++
	jitter := bulrushchute.Millis(c.random.Int64N(int64(span)/2 + 1))
	p.retryAt = c.now + span/2 + jitter
}
