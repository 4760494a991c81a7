package bulrushkey

import (
	"cmp"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// silentBeats is the number of heartbeats in a row that a lease monitor leaves
// without an extension before it is replaced. It is twice what a lease of the
// default length spans, so that a monitor that only lost contact briefly stays.
const silentBeats = 6

// goneBeats is the same for a monitor that is no longer among this node's
// neighbours, so that it is replaced before the lease that it supported ends.
const goneBeats = 2

// plan returns the change of the key map that this node should make now.
func (c *Controller) plan(now bulrushchute.Millis) (KeyMap, bool) {
	if !c.known {
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

// planFirst creates the map of a service that has none. The first to propose
// reads the store before it creates, because gossip may be late.
func (c *Controller) planFirst(now bulrushchute.Millis) (KeyMap, bool) {
	if c.missingSince == 0 {
		c.missingSince = now
	}
	// One step more than for other changes gives gossip the time to bring a map.
	if !c.isTurn(now, c.missingSince+c.settings.ProposeStep) {
		return KeyMap{}, false
	}
	if !c.proposal.absent {
		c.proposal.readNeeded = true
		return KeyMap{}, false
	}
	// Keys minted earlier may have run under a map that was deleted by mistake.
	return NewKeyMap(c.service, c.serving(), c.settings.since(now))
}

// isTurn reports whether this node may propose a change that is due since the
// given time. Nodes take turns by rank, a step apart, so that they do not race.
func (c *Controller) isTurn(now, since bulrushchute.Millis) bool {
	rank, eligible := rankOf(c.service, c.serving(), c.self)
	if !eligible || c.leaving {
		return false
	}
	return now >= since+bulrushchute.Millis(rank)*c.settings.ProposeStep
}

// planHandover gives this node's partitions away when it leaves, or when its
// lease monitors have promised them to a successor that never came.
func (c *Controller) planHandover(now bulrushchute.Millis) (KeyMap, bool) {
	home, named := c.current.Find(c.self)
	if !named || !c.leaving && !c.lease.lockedOut(home.Monitors) {
		return KeyMap{}, false
	}
	successors := c.successors(c.self)
	if len(successors) == 0 {
		return KeyMap{}, false
	}
	m := c.current.withSuccessors(c.self, successors, c.settings.since(now))
	if c.leaving {
		m = m.withPrevious(c.self, c.current.PartitionsOf(c.self))
	}
	return m, true
}

// successors returns the members that may become homes, without the excluded one.
func (c *Controller) successors(exclude bulrushchute.InstanceID) []Home {
	return slices.DeleteFunc(homesOf(c.serving()), func(h Home) bool { return h.ID == exclude })
}

// planMonitors replaces lease monitors that have been silent, once others
// acknowledge heartbeats, or drops them if there are no others.
func (c *Controller) planMonitors(now bulrushchute.Millis) (KeyMap, bool) {
	home, named := c.current.Find(c.self)
	if !named || !c.wantsMonitors(home) {
		return KeyMap{}, false
	}
	monitors := slices.DeleteFunc(slices.Clone(home.Monitors), c.silent)
	answering := len(monitors)
	for _, candidate := range c.ownNeighbours() {
		fresh := c.lease.extends(now, candidate.ID)
		if fresh && len(monitors) < MaxMonitors && !slices.Contains(monitors, candidate) {
			monitors = append(monitors, candidate)
		}
	}
	// Without a replacement, silent monitors are dropped only if the lease
	// cannot be renewed with them.
	if len(monitors) == answering && (answering == 0 || answering >= majority(len(home.Monitors))) {
		return KeyMap{}, false
	}
	return c.current.WithMonitors(c.self, monitors), true
}

// wantsMonitors reports whether the home has fewer lease monitors that answer
// than it needs or could have.
func (c *Controller) wantsMonitors(home Home) bool {
	answering := 0
	for _, monitor := range home.Monitors {
		if !c.silent(monitor) {
			answering++
		}
	}
	return answering < max(majority(len(home.Monitors)), min(MaxMonitors, len(c.ownNeighbours())))
}

func (c *Controller) silent(monitor LeaseMonitor) bool {
	missed := c.lease.missed[monitor.ID]
	return missed >= silentBeats || missed >= goneBeats && c.departing(monitor)
}

// departing reports whether a monitor is no longer among this node's neighbours.
func (c *Controller) departing(monitor LeaseMonitor) bool {
	return !slices.Contains(c.ownNeighbours(), monitor)
}

func (c *Controller) ownNeighbours() []LeaseMonitor {
	self, known := c.member(c.self)
	if !known {
		return nil
	}
	return firstMonitors(self.Monitors)
}

// beatTargets returns the monitors that get lease heartbeats: those of the
// map, and those that may replace silent ones. Once a monitor is no longer a
// neighbour it is about to go, so its replacement is prepared while it answers.
func (c *Controller) beatTargets() []LeaseMonitor {
	home, named := c.current.Find(c.self)
	if !named {
		return nil
	}
	targets := slices.Clone(home.Monitors)
	if !c.wantsMonitors(home) && !slices.ContainsFunc(home.Monitors, c.departing) {
		return targets
	}
	for _, neighbour := range c.ownNeighbours() {
		if !slices.Contains(targets, neighbour) {
			targets = append(targets, neighbour)
		}
	}
	return targets
}

// findGone keeps one takeover for each home that has gone.
func (c *Controller) findGone(now bulrushchute.Millis) {
	for _, home := range c.current.Homes {
		_, started := c.takeovers[home.ID]
		if gone := c.isGone(home); gone && !started {
			c.takeovers[home.ID] = newTakeover(now, home.Epoch)
		} else if !gone && started {
			delete(c.takeovers, home.ID)
		}
	}
}

// isGone reports whether a home should be taken over. A member that is only
// suspect may refute that and stays.
func (c *Controller) isGone(home Home) bool {
	if home.ID == c.self {
		return false
	}
	if _, lost := c.lost[home.DataCentre]; lost {
		return true
	}
	member, known := c.member(home.ID)
	return !known || member.State == bulrushchute.StateDead
}

// askPromises returns the promise requests of the takeovers that are this
// node's to propose.
func (c *Controller) askPromises(now bulrushchute.Millis) []Action {
	var actions []Action
	for _, home := range c.dueHomes(now) {
		ask := bulrushchute.PromiseAsk{Service: c.service, Home: home.ID, Epoch: home.Epoch}
		actions = append(actions, c.takeovers[home.ID].asks(now, ask, home.Monitors, c.settings)...)
	}
	return actions
}

// dueHomes returns the homes whose takeover is this node's to propose.
func (c *Controller) dueHomes(now bulrushchute.Millis) []Home {
	var due []Home
	for _, home := range c.current.Homes {
		t, started := c.takeovers[home.ID]
		if started && c.isTurn(now, t.goneSince) {
			due = append(due, home)
		}
	}
	slices.SortFunc(due, func(a, b Home) int { return cmp.Compare(a.ID, b.ID) })
	return due
}

// planTakeovers gives away the partitions of all homes whose leases are over.
func (c *Controller) planTakeovers(now bulrushchute.Millis) (KeyMap, bool) {
	m, changed := c.current, false
	for _, home := range c.dueHomes(now) {
		if !c.leaseIsOver(now, home) {
			continue
		}
		successors := c.successors(home.ID)
		if len(successors) == 0 {
			continue
		}
		m, changed = m.withSuccessors(home.ID, successors, c.settings.since(now)), true
	}
	return m, changed
}

// leaseIsOver reports whether the home certainly records no more keys.
func (c *Controller) leaseIsOver(now bulrushchute.Millis, home Home) bool {
	over, declared := c.lost[home.DataCentre]
	if !declared {
		over, declared = c.takeovers[home.ID].promisedSince(home.Monitors, c.lost)
	}
	return declared && now >= over+c.settings.leaseWait()
}
