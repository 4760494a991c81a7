package bulrushmembership

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// suspectAfter is the silence after which a monitor suspects a member.
	// Monitors are the ring neighbours of a member.
	suspectAfter = 3 * bulrushchute.Second
	// unresponsiveAfter is the silence after which a neighbour counts as
	// unresponsive when a monitor checks whether it is cut off itself. It is
	// shorter than suspectAfter because the last answers of the neighbours are up
	// to one second apart.
	unresponsiveAfter = 1600 * bulrushchute.Millisecond
	// confirmAfter is the age at which a second monitor may confirm a suspicion.
	confirmAfter  = 2 * bulrushchute.Second
	confirmJitter = 400 * bulrushchute.Millisecond
	// massFailureConfirmAfter replaces confirmAfter while many members are
	// suspected at once, and if there is no second monitor. Network or platform
	// faults that freeze many nodes are over within this time.
	massFailureConfirmAfter = bulrushchute.Minute
	// degradedSuspectAfter is the silence after which a monitor suspects a
	// member even if the monitor itself is degraded. Without this limit, a data
	// centre that was restarted as a whole could never remove its old members.
	degradedSuspectAfter = 5 * bulrushchute.Minute
	// massFailureDivisor sets the threshold of a mass failure: more than one in
	// massFailureDivisor members of the data centre. The loss of a rack of 40
	// out of 885 nodes stays below it.
	massFailureDivisor = 10
	// massFailureMin is the lower bound of the threshold, in members.
	massFailureMin = 2
	// recentDeathWindow is how long a confirmed death counts towards a mass
	// failure.
	recentDeathWindow = 30 * bulrushchute.Second
	// pauseThreshold is the gap between ticks above which this node counts as
	// paused.
	pauseThreshold = bulrushchute.Second
)

// detectPause resets the silence of all links after a pause of this node,
// because it could not receive heartbeats in the meantime.
func (m *Membership) detectPause(now bulrushchute.Millis) {
	elapsed := now - m.lastTick
	m.lastTick = now
	if elapsed <= pauseThreshold {
		return
	}
	m.resumedAt = now
	if elapsed > maxPause {
		m.status.Expired = true
	}
	if elapsed > suspectAfter {
		m.comparePending = true
	}
}

// silence returns how long a link has been silent, counted from the end of this
// node's last pause at the earliest.
func (m *Membership) silence(now bulrushchute.Millis, l *link) bulrushchute.Millis {
	return now - max(l.lastHeard, l.startedAt, m.resumedAt)
}

// detectFailures suspects silent ring neighbours and confirms suspicions.
func (m *Membership) detectFailures(now bulrushchute.Millis) {
	if !m.status.Joined || m.left {
		return
	}
	degraded, delayConfirm := m.checkLocalHealth(now)
	for _, l := range m.links.order {
		if l.kind != linkRing {
			continue
		}
		silence := m.silence(now, l)
		if silence < suspectAfter || (degraded && silence < degradedSuspectAfter) {
			continue
		}
		m.suspectOrConfirm(now, l, delayConfirm)
	}
}

// checkLocalHealth sets degraded if more than half of the neighbours are
// unresponsive, which means that this node is probably cut off itself. It sets
// delayConfirm, so that confirmations wait for massFailureConfirmAfter, if more
// than one, and more than a quarter, of the ring neighbours are unresponsive,
// which may be part of a mass failure.
func (m *Membership) checkLocalHealth(now bulrushchute.Millis) (degraded, delayConfirm bool) {
	total, unresponsive, ringTotal, ringUnresponsive := 0, 0, 0, 0
	for _, l := range m.links.order {
		if l.kind == linkExtra {
			continue
		}
		isUnresponsive := m.silence(now, l) >= unresponsiveAfter
		total++
		unresponsive += boolToInt(isUnresponsive)
		if l.kind == linkRing {
			ringTotal++
			ringUnresponsive += boolToInt(isUnresponsive)
		}
	}
	m.degraded = unresponsive*2 > total
	return m.degraded, ringUnresponsive > max(1, ringTotal/4)
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// suspectOrConfirm publishes a suspicion of a silent member, or confirms an
// existing one.
func (m *Membership) suspectOrConfirm(now bulrushchute.Millis, l *link, delayConfirm bool) {
	known, ok := m.members.byID[l.id]
	if !ok {
		return
	}
	incarnation := known.instance.Incarnation
	s, ok := m.members.suspicionOf(l.id, incarnation)
	if !ok {
		m.table.Publish(now, suspicionRecord(l.id, m.self.ID, incarnation, rankSuspect, now))
		return
	}
	if s.rank == rankSuspect && m.canConfirm(now, l, s, delayConfirm) {
		m.table.Publish(now, suspicionRecord(l.id, m.self.ID, s.incarnation, rankDead, now))
	}
}

// canConfirm reports whether this node may declare a suspected member dead. Two
// monitors must agree. A single monitor, or any monitor during a mass failure,
// has to wait for massFailureConfirmAfter.
func (m *Membership) canConfirm(now bulrushchute.Millis, l *link, s *suspicion, delayConfirm bool) bool {
	age := now - s.learnedAt
	if age < confirmAfter+l.jitter {
		return false
	}
	if age >= massFailureConfirmAfter+l.jitter {
		return true
	}
	return s.monitor != monitorHash(m.self.ID) && !delayConfirm && !m.massFailure(now)
}

// massFailure reports whether more members of this data centre are suspected
// or recently died than the loss of a single rack explains.
func (m *Membership) massFailure(now bulrushchute.Millis) bool {
	local := m.members.ensureDataCentre(m.self.DataCentre)
	affected := 0
	for _, s := range m.members.suspicionOrder {
		if s.rank == rankDead {
			affected += boolToInt(s.dc == local && !s.left() && now-s.confirmedAt < recentDeathWindow)
			continue
		}
		known, ok := m.members.byID[s.id]
		affected += boolToInt(ok && known.dc == local && known.instance.Incarnation <= s.incarnation)
	}
	return affected > max(massFailureMin, len(local.members)/massFailureDivisor)
}

// refuteSuspicion refutes a suspicion of this node by publishing a higher
// incarnation.
func (m *Membership) refuteSuspicion(now bulrushchute.Millis) {
	if m.refuteIncarnation < m.self.Incarnation || m.left {
		return
	}
	m.self.Incarnation = m.refuteIncarnation + 1
	m.publishSelf(now)
}

// updateIsolated sets Status.Isolated unless a peer acknowledged a heartbeat
// sent in the last 3 s. After a longer pause the node stays isolated until the
// next acknowledgement, because it may have missed a catalogue change.
func (m *Membership) updateIsolated(now bulrushchute.Millis) {
	m.status.Isolated = m.status.Joined && len(m.links.order) > 0 && now-m.lastContact > suspectAfter
}
