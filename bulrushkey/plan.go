package bulrushkey

import (
	"cmp"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// missedHeartbeatLimit is the number of consecutive heartbeats without an
// extension of the lease after which a lease monitor is replaced. It is twice the
// number of heartbeats in a lease of the default length, so that a monitor that
// loses contact briefly is kept.
const missedHeartbeatLimit = 6

// formerNeighbourHeartbeatLimit is the same limit for a monitor that is no longer
// among this node's neighbours. So many heartbeats take less time than a lease of
// the default length, so that the monitor is replaced before the lease that it
// extended expires.
const formerNeighbourHeartbeatLimit = 2

// plan returns the changed key map that this node should propose now, if any.
func (c *Controller) plan(now bulrushchute.Millis) (KeyMap, bool) {
	if !c.hasMap {
		return c.planFirst(now)
	}
	if m, found := c.planHandover(now); found {
		return m, true
	}
	if m, found := c.planMonitors(now); found {
		return m, true
	}
	return c.planTakeovers(now)
}

// planFirst returns the first map of a service. The proposer reads the store
// before that, because gossip may not have delivered an existing map yet.
func (c *Controller) planFirst(now bulrushchute.Millis) (KeyMap, bool) {
	if c.missingSince == 0 {
		c.missingSince = now
	}
	// One ProposeStep more than for other changes gives gossip time to deliver a
	// map.
	if !c.mayPropose(now, c.missingSince+c.settings.ProposeStep) {
		return KeyMap{}, false
	}
	if !c.proposal.mapAbsent {
		c.proposal.readNeeded = true
		return KeyMap{}, false
	}
	// Keys minted earlier may have run under a map that was deleted by mistake.
	return NewKeyMap(c.service, c.membersNotLost(), c.settings.earliestMint(now))
}

// mayPropose reports whether this node may propose a change that has been due
// since the given time. To avoid conflicting writes, each node waits one
// ProposeStep per node that ranks before it.
func (c *Controller) mayPropose(now, since bulrushchute.Millis) bool {
	rank, eligible := proposerRank(c.service, c.membersNotLost(), c.self)
	if !eligible || c.leaving {
		return false
	}
	return now >= since+bulrushchute.Millis(rank)*c.settings.ProposeStep
}

// planHandover reassigns this node's partitions if the node is leaving, or if it
// cannot renew its lease because its monitors gave promises to a successor that
// did not complete the takeover.
func (c *Controller) planHandover(now bulrushchute.Millis) (KeyMap, bool) {
	home, found := c.current.FindHome(c.self)
	if !found || !c.leaving && !c.lease.unrenewable(home.Monitors) {
		return KeyMap{}, false
	}
	successors := c.successors(c.self)
	if len(successors) == 0 {
		return KeyMap{}, false
	}
	m := c.current.reassignTo(c.self, successors, c.settings.earliestMint(now))
	if c.leaving {
		m = m.withPrevious(c.self, c.current.PartitionsOf(c.self))
	}
	return m, true
}

// successors returns the members that may become homes, except the excluded one.
func (c *Controller) successors(exclude bulrushchute.InstanceID) []Home {
	return slices.DeleteFunc(eligibleHomes(c.membersNotLost()), func(h Home) bool { return h.ID == exclude })
}

// planMonitors replaces unresponsive lease monitors with neighbours that extend
// the lease, or removes them if there are no such neighbours.
func (c *Controller) planMonitors(now bulrushchute.Millis) (KeyMap, bool) {
	home, found := c.current.FindHome(c.self)
	if !found || !c.needsMonitors(home) {
		return KeyMap{}, false
	}
	monitors := slices.DeleteFunc(slices.Clone(home.Monitors), c.unresponsive)
	responsive := len(monitors)
	for _, candidate := range c.neighbours() {
		acknowledged := c.lease.extendedBy(now, candidate.ID)
		if acknowledged && len(monitors) < MaxMonitors && !slices.Contains(monitors, candidate) {
			monitors = append(monitors, candidate)
		}
	}
	// Without a replacement, unresponsive monitors are removed only if the lease
	// cannot be renewed while they are listed and another monitor still answers.
	if len(monitors) == responsive && (responsive == 0 || responsive >= majority(len(home.Monitors))) {
		return KeyMap{}, false
	}
	return c.current.WithMonitors(c.self, monitors), true
}

// needsMonitors reports whether the home has fewer responsive lease monitors than
// it needs for a majority, or than it could have with its neighbours.
func (c *Controller) needsMonitors(home Home) bool {
	responsive := 0
	for _, monitor := range home.Monitors {
		if !c.unresponsive(monitor) {
			responsive++
		}
	}
	return responsive < max(majority(len(home.Monitors)), min(MaxMonitors, len(c.neighbours())))
}

func (c *Controller) unresponsive(monitor LeaseMonitor) bool {
	missed := c.lease.missed[monitor.ID]
	return missed >= missedHeartbeatLimit || missed >= formerNeighbourHeartbeatLimit && c.formerNeighbour(monitor)
}

// formerNeighbour reports whether a monitor is not among this node's neighbours.
func (c *Controller) formerNeighbour(monitor LeaseMonitor) bool {
	return !slices.Contains(c.neighbours(), monitor)
}

func (c *Controller) neighbours() []LeaseMonitor {
	self, known := c.member(c.self)
	if !known {
		return nil
	}
	return limitMonitors(self.Neighbours)
}

// heartbeatTargets returns the nodes that receive lease heartbeats: the monitors
// in the map, and the neighbours if a monitor may need to be replaced. A monitor
// that is no longer a neighbour is probably about to leave, so neighbours receive
// heartbeats while it still answers.
func (c *Controller) heartbeatTargets() []LeaseMonitor {
	home, found := c.current.FindHome(c.self)
	if !found {
		return nil
	}
	targets := slices.Clone(home.Monitors)
	if !c.needsMonitors(home) && !slices.ContainsFunc(home.Monitors, c.formerNeighbour) {
		return targets
	}
	for _, neighbour := range c.neighbours() {
		if !slices.Contains(targets, neighbour) {
			targets = append(targets, neighbour)
		}
	}
	return targets
}

// updateTakeovers starts a takeover for each home that needs one, and ends those
// that are no longer needed.
func (c *Controller) updateTakeovers(now bulrushchute.Millis) {
	for _, home := range c.current.Homes {
		_, started := c.takeovers[home.ID]
		if needed := c.needsTakeover(home); needed && !started {
			c.takeovers[home.ID] = newTakeover(now, home.Epoch)
		} else if !needed && started {
			delete(c.takeovers, home.ID)
		}
	}
}

// needsTakeover reports whether a home should be taken over. A suspect member
// keeps its partitions, because it may refute the suspicion.
func (c *Controller) needsTakeover(home Home) bool {
	if home.ID == c.self {
		return false
	}
	if _, lost := c.lostSince[home.DataCentre]; lost {
		return true
	}
	member, known := c.member(home.ID)
	return !known || member.State == bulrushchute.StateDead
}

// promiseRequests returns the promise requests that are due for the takeovers
// that this node may propose.
func (c *Controller) promiseRequests(now bulrushchute.Millis) []Action {
	var actions []Action
	for _, home := range c.homesToTakeOver(now) {
		ask := bulrushchute.PromiseAsk{Service: c.service, Home: home.ID, Epoch: home.Epoch}
		actions = append(actions, c.takeovers[home.ID].promiseRequests(now, ask, home.Monitors, c.settings)...)
	}
	return actions
}

// homesToTakeOver returns the homes whose takeover this node may propose, sorted
// by ID.
func (c *Controller) homesToTakeOver(now bulrushchute.Millis) []Home {
	var due []Home
	for _, home := range c.current.Homes {
		t, started := c.takeovers[home.ID]
		if started && c.mayPropose(now, t.startedAt) {
			due = append(due, home)
		}
	}
	slices.SortFunc(due, func(a, b Home) int { return cmp.Compare(a.ID, b.ID) })
	return due
}

// planTakeovers reassigns the partitions of all homes to take over whose leases
// have expired.
func (c *Controller) planTakeovers(now bulrushchute.Millis) (KeyMap, bool) {
	m, changed := c.current, false
	for _, home := range c.homesToTakeOver(now) {
		if !c.leaseExpired(now, home) {
			continue
		}
		successors := c.successors(home.ID)
		if len(successors) == 0 {
			continue
		}
		m, changed = m.reassignTo(home.ID, successors, c.settings.earliestMint(now)), true
	}
	return m, changed
}

// leaseExpired reports whether the home is certain to record no more keys,
// because its lease has expired since its data centre was declared lost or since a
// majority of its monitors promised not to extend it.
func (c *Controller) leaseExpired(now bulrushchute.Millis, home Home) bool {
	notExtendedSince, found := c.lostSince[home.DataCentre]
	if !found {
		notExtendedSince, found = c.takeovers[home.ID].majorityPromisedAt(home.Monitors, c.lostSince)
	}
	return found && now >= notExtendedSince+c.settings.leaseExpiryWait()
}
