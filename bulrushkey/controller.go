package bulrushkey

import (
	"math/rand/v2"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// Controller maintains the key map of the node's own service. It renews the
// node's lease, hands the node's partitions over when the node leaves, replaces
// lease monitors that do not answer, and takes over the partitions of homes
// that are dead or in a lost data centre. It compares the newest map that it
// knows with the desired state and proposes at most one change at a time. It is
// not safe for concurrent use.
type Controller struct {
	settings Settings
	service  bulrushchute.Service
	self     bulrushchute.InstanceID
	random   *rand.Rand
	// now is the highest reading of the node's clock so far. It does not go back
	// with the clock, which would prolong leases and waits.
	now bulrushchute.Millis

	members []Member
	// lostSince holds the time at which this node learned that a data centre was
	// declared lost.
	lostSince map[bulrushchute.DataCentre]bulrushchute.Millis
	leaving   bool

	current KeyMap
	hasMap  bool
	// missingSince is the time at which the controller first needed a map and had
	// none.
	missingSince bulrushchute.Millis

	// handedOver holds the mint times that this node still serves in partitions
	// that it handed over.
	handedOver map[int]mintRange

	lease     *lease
	takeovers map[bulrushchute.InstanceID]*takeover
	proposal  proposal
}

// mintRange is the half-open range of mint times whose keys only this node may
// run although it has handed their partition over. These keys need no lease:
// the conditional update that started the range of the next home has succeeded,
// so the range of no other home can overlap.
type mintRange struct {
	since bulrushchute.Millis
	until bulrushchute.Millis
}

// NewController returns a controller without members and without a key map. It
// uses random, which the caller seeds, for the jitter of retries.
func NewController(settings Settings, service bulrushchute.Service, self bulrushchute.InstanceID, random *rand.Rand) *Controller {
	return &Controller{
		settings:   settings,
		service:    service,
		self:       self,
		random:     random,
		lostSince:  make(map[bulrushchute.DataCentre]bulrushchute.Millis),
		handedOver: make(map[int]mintRange),
		lease:      newLease(settings),
		takeovers:  make(map[bulrushchute.InstanceID]*takeover),
	}
}

// advanceClock raises the controller's time to now and returns the result.
func (c *Controller) advanceClock(now bulrushchute.Millis) bulrushchute.Millis {
	c.now = max(c.now, now)
	return c.now
}

// SetMembers replaces the members of the service, which include this node, and
// the data centres that operators declared lost.
func (c *Controller) SetMembers(now bulrushchute.Millis, members []Member, lost []bulrushchute.DataCentre) {
	now = c.advanceClock(now)
	c.members = slices.Clone(members)
	for dataCentre := range c.lostSince {
		if !slices.Contains(lost, dataCentre) {
			delete(c.lostSince, dataCentre)
		}
	}
	for _, dataCentre := range lost {
		if _, known := c.lostSince[dataCentre]; !known {
			c.lostSince[dataCentre] = now
		}
	}
}

// SetMap applies a key map received by gossip. It ignores a version that is not
// newer than the current one.
func (c *Controller) SetMap(now bulrushchute.Millis, m KeyMap) {
	c.advanceClock(now)
	if c.hasMap && m.Version <= c.current.Version {
		return
	}
	c.saveHandedOver(m)
	c.current, c.hasMap = m, true
	c.proposal.resolve(m)
	for id, t := range c.takeovers {
		if home, found := m.FindHome(id); !found || home.Epoch != t.epoch {
			delete(c.takeovers, id)
		}
	}
	if home, found := m.FindHome(c.self); found {
		c.lease.setEpoch(home.Epoch)
	}
}

// saveHandedOver saves the mint ranges of the partitions that this node hands
// over to other homes in the next map.
func (c *Controller) saveHandedOver(next KeyMap) {
	for p, assignment := range next.Partitions {
		home, old, found := c.current.HomeOf(p)
		if found && home.ID == c.self && assignment.Previous == c.self {
			c.handedOver[p] = mintRange{since: old.Since, until: assignment.Since}
		}
	}
}

// Leave starts the handover of all partitions. It cannot be undone.
func (c *Controller) Leave(now bulrushchute.Millis) {
	c.advanceClock(now)
	c.leaving = true
}

// HandleHeartbeatAck processes a lease monitor's acknowledgement of a heartbeat.
func (c *Controller) HandleHeartbeatAck(now bulrushchute.Millis, from bulrushchute.InstanceID, ack bulrushchute.HeartbeatAck) {
	c.advanceClock(now)
	c.lease.ack(from, ack)
}

// HandlePromise processes a lease monitor's answer to a promise request.
func (c *Controller) HandlePromise(now bulrushchute.Millis, from bulrushchute.InstanceID, promise bulrushchute.Promise) {
	now = c.advanceClock(now)
	t, found := c.takeovers[promise.Home]
	if !found || !promise.Granted || promise.Epoch < t.epoch {
		return
	}
	if _, known := t.promisedAt[from]; !known {
		t.promisedAt[from] = now
	}
}

// Tick returns the actions that are due. The node calls it at least four times
// per heartbeat interval, and after each call of SetMembers, SetMap, Leave,
// HandleHeartbeatAck and HandlePromise.
func (c *Controller) Tick(now bulrushchute.Millis) []Action {
	now = c.advanceClock(now)
	actions := c.lease.heartbeats(now, c.heartbeatTargets())
	c.updateTakeovers(now)
	actions = append(actions, c.promiseRequests(now)...)
	return append(actions, c.propose(now)...)
}

// Permit returns which new keys of the partition this node may record now.
// While a change that the node proposed may still take effect, the permit is
// limited to what the changed map allows too.
func (c *Controller) Permit(now bulrushchute.Millis, partition int) Permit {
	now = c.advanceClock(now)
	permit := Permit{At: now, RetryAfter: c.settings.Heartbeat}
	if mints, handedOver := c.handedOver[partition]; handedOver {
		permit.IsHome, permit.LeaseHeld = true, true
		permit.Since, permit.Until = mints.since, mints.until
		return permit
	}
	home, assignment, found := c.current.HomeOf(partition)
	if !found || home.ID != c.self {
		return permit
	}
	permit.IsHome = true
	permit.Since = assignment.Since
	permit.LeaseHeld = c.lease.held(now, home.Monitors)
	return c.restrictToProposal(permit, partition)
}

// restrictToProposal limits a permit to what the proposed map allows too.
func (c *Controller) restrictToProposal(permit Permit, partition int) Permit {
	if c.proposal.candidate == nil {
		return permit
	}
	home, assignment, found := c.proposal.candidate.HomeOf(partition)
	switch {
	case found && home.ID == c.self:
		permit.LeaseHeld = permit.LeaseHeld && c.lease.held(permit.At, home.Monitors)
	case found && assignment.Previous == c.self:
		permit.Until = assignment.Since
	default:
		permit.LeaseHeld = false
	}
	return permit
}

// Map returns the newest key map that the controller knows.
func (c *Controller) Map() (KeyMap, bool) {
	return c.current, c.hasMap
}

// IsHome reports whether a partition is or may be assigned to this node, or was
// handed over so recently that keys of this node may still arrive. A leaving
// node waits until it returns false.
func (c *Controller) IsHome() bool {
	for _, mints := range c.handedOver {
		// Callers' clocks may be slow, so keys minted before the end of the range
		// may arrive up to the clock skew later.
		if c.now < mints.until+c.settings.ClockSkew {
			return true
		}
	}
	if _, found := c.current.FindHome(c.self); found {
		return true
	}
	if c.proposal.candidate == nil {
		return false
	}
	_, found := c.proposal.candidate.FindHome(c.self)
	return found
}

// membersNotLost returns the members outside lost data centres.
func (c *Controller) membersNotLost() []Member {
	return slices.DeleteFunc(slices.Clone(c.members), func(m Member) bool {
		_, lost := c.lostSince[m.DataCentre]
		return lost
	})
}

// member returns the member with the given ID.
func (c *Controller) member(id bulrushchute.InstanceID) (Member, bool) {
	index := slices.IndexFunc(c.members, func(m Member) bool { return m.ID == id })
	if index < 0 {
		return Member{}, false
	}
	return c.members[index], true
}
