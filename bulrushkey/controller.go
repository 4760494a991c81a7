package bulrushkey

import (
	"math/rand/v2"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// Controller is one node's part in keeping the key map of its own service: it
// holds the node's lease, hands its partitions over when it leaves, replaces
// lease monitors that do not answer, and takes over from homes that have gone.
// It compares the newest map that it knows with what should be, and proposes
// at most one change at a time. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	service  bulrushchute.Service
	self     bulrushchute.InstanceID
	random   *rand.Rand
	// now is the latest reading of the node's clock. A clock that is set back
	// stands still here, so that leases and waits never grow longer by it.
	now bulrushchute.Millis

	members []Member
	lost    map[bulrushchute.DataCentre]bulrushchute.Millis
	leaving bool

	current KeyMap
	known   bool
	// missingSince is when the controller first needed a map and had none.
	missingSince bulrushchute.Millis

	// eras holds the partitions that this node handed over.
	eras map[int]era

	lease     *lease
	takeovers map[bulrushchute.InstanceID]*takeover
	proposal  proposal
}

// era is the range of mint times, without its end, whose keys only this node
// may run although it has handed their partition over. No lease is needed for
// them: the conditional update that began the next home's range has succeeded,
// so no other home's range can overlap.
type era struct {
	since bulrushchute.Millis
	until bulrushchute.Millis
}

// NewController returns a controller that knows no members and no key map. The
// source of randomness spreads retries; the caller seeds it.
func NewController(settings Settings, service bulrushchute.Service, self bulrushchute.InstanceID, random *rand.Rand) *Controller {
	return &Controller{
		settings:  settings,
		service:   service,
		self:      self,
		random:    random,
		lost:      make(map[bulrushchute.DataCentre]bulrushchute.Millis),
		eras:      make(map[int]era),
		lease:     newLease(settings),
		takeovers: make(map[bulrushchute.InstanceID]*takeover),
	}
}

// advance moves the controller's time forward and returns it.
func (c *Controller) advance(now bulrushchute.Millis) bulrushchute.Millis {
	c.now = max(c.now, now)
	return c.now
}

// SetMembers replaces the members of the service, this node included, and the
// data centres that operators declared lost.
func (c *Controller) SetMembers(now bulrushchute.Millis, members []Member, lost []bulrushchute.DataCentre) {
	now = c.advance(now)
	c.members = slices.Clone(members)
	for dataCentre := range c.lost {
		if !slices.Contains(lost, dataCentre) {
			delete(c.lost, dataCentre)
		}
	}
	for _, dataCentre := range lost {
		if _, known := c.lost[dataCentre]; !known {
			c.lost[dataCentre] = now
		}
	}
}

// SetMap takes a key map from gossip. Versions that are not newer are ignored.
func (c *Controller) SetMap(now bulrushchute.Millis, m KeyMap) {
	c.advance(now)
	if c.known && m.Version <= c.current.Version {
		return
	}
	c.keepEras(m)
	c.current, c.known = m, true
	c.proposal.settle(m)
	for id, t := range c.takeovers {
		if home, named := m.Find(id); !named || home.Epoch != t.epoch {
			delete(c.takeovers, id)
		}
	}
	if home, named := m.Find(c.self); named {
		c.lease.setEpoch(home.Epoch)
	}
}

// keepEras notes the partitions that a new map takes from this node by its own
// handover.
func (c *Controller) keepEras(next KeyMap) {
	for p, assignment := range next.Partitions {
		home, old, found := c.current.HomeOf(p)
		if found && home.ID == c.self && assignment.Previous == c.self {
			c.eras[p] = era{since: old.Since, until: assignment.Since}
		}
	}
}

// Leave starts the handover of all partitions. It is final.
func (c *Controller) Leave(now bulrushchute.Millis) {
	c.advance(now)
	c.leaving = true
}

// Acked takes a lease monitor's acknowledgement of a heartbeat.
func (c *Controller) Acked(now bulrushchute.Millis, from bulrushchute.InstanceID, ack bulrushchute.HeartbeatAck) {
	c.advance(now)
	c.lease.ack(from, ack)
}

// Promised takes a lease monitor's answer to a promise request.
func (c *Controller) Promised(now bulrushchute.Millis, from bulrushchute.InstanceID, promise bulrushchute.Promise) {
	now = c.advance(now)
	t, wanted := c.takeovers[promise.Home]
	if !wanted || !promise.Granted || promise.Epoch < t.epoch {
		return
	}
	if _, known := t.promised[from]; !known {
		t.promised[from] = now
	}
}

// Tick returns the steps that are due. The node calls it at least four times
// in each heartbeat interval, and after each of the calls above.
func (c *Controller) Tick(now bulrushchute.Millis) []Action {
	now = c.advance(now)
	actions := c.lease.beat(now, c.beatTargets())
	c.findGone(now)
	actions = append(actions, c.askPromises(now)...)
	return append(actions, c.propose(now)...)
}

// Permit says which new keys of the partition this node may record now. While
// a change that the node proposed may still take effect, it must hold under
// the changed map too.
func (c *Controller) Permit(now bulrushchute.Millis, partition int) Permit {
	now = c.advance(now)
	permit := Permit{At: now, RetryAfter: c.settings.Heartbeat}
	if past, handedOver := c.eras[partition]; handedOver {
		permit.Home, permit.Lease = true, true
		permit.Since, permit.Until = past.since, past.until
		return permit
	}
	home, assignment, found := c.current.HomeOf(partition)
	if !found || home.ID != c.self {
		return permit
	}
	permit.Home = true
	permit.Since = assignment.Since
	permit.Lease = c.lease.held(now, home.Monitors)
	return c.restrict(permit, partition)
}

// restrict narrows a permit to what holds under the proposed map as well.
func (c *Controller) restrict(permit Permit, partition int) Permit {
	if c.proposal.candidate == nil {
		return permit
	}
	home, assignment, found := c.proposal.candidate.HomeOf(partition)
	switch {
	case found && home.ID == c.self:
		permit.Lease = permit.Lease && c.lease.held(permit.At, home.Monitors)
	case found && assignment.Previous == c.self:
		permit.Until = assignment.Since
	default:
		permit.Lease = false
	}
	return permit
}

// Map returns the newest key map that the controller knows.
func (c *Controller) Map() (KeyMap, bool) {
	return c.current, c.known
}

// IsHome reports whether any partition is, or may be, assigned to this node,
// or was until a moment ago. A leaving node waits until it is false.
func (c *Controller) IsHome() bool {
	for _, past := range c.eras {
		// Callers' clocks count too, so their keys come a skew later.
		if c.now < past.until+c.settings.ClockSkew {
			return true
		}
	}
	if _, named := c.current.Find(c.self); named {
		return true
	}
	if c.proposal.candidate == nil {
		return false
	}
	_, named := c.proposal.candidate.Find(c.self)
	return named
}

// serving returns the members that are not in a lost data centre.
func (c *Controller) serving() []Member {
	return slices.DeleteFunc(slices.Clone(c.members), func(m Member) bool {
		_, lost := c.lost[m.DataCentre]
		return lost
	})
}

// member returns what is known of an instance of the service.
func (c *Controller) member(id bulrushchute.InstanceID) (Member, bool) {
	index := slices.IndexFunc(c.members, func(m Member) bool { return m.ID == id })
	if index < 0 {
		return Member{}, false
	}
	return c.members[index], true
}
