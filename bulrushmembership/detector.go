package bulrushmembership

import (
	"bulrushchute.example/bulrushchute"
)

const (
	// suspectAfter is the silence after which a monitor suspects a member.
	suspectAfter = 3 * bulrushchute.Second
	// quietAfter is the silence after which a neighbour counts as lost in the
	// test for the monitor's own isolation. It is shorter than suspectAfter
	// because the last answers of the neighbours lie up to a second apart.
	quietAfter = 1600 * bulrushchute.Millisecond
	// confirmAfter is how long a suspicion must stand before a second monitor confirms it.
	confirmAfter  = 2 * bulrushchute.Second
	confirmJitter = 400 * bulrushchute.Millisecond
	// massHold replaces confirmAfter while many members are suspected at once,
	// and for a member that has no second monitor. A fault of the network or
	// the platform that freezes many nodes passes within this time.
	massHold = bulrushchute.Minute
	// doubtHold is the silence after which a monitor suspects a member even
	// though it lost most of its neighbours. Otherwise a data centre that was
	// restarted as a whole could never remove its old members.
	doubtHold = 5 * bulrushchute.Minute
	// massShare is the share of a data centre, as a divisor, above which
	// confirmation is held. A rack of 40 of 885 nodes is below it.
	massShare = 10
	massFloor = 2
	// recentDeath is how long a death counts among the suspected members.
	recentDeath = 30 * bulrushchute.Second
	// pauseGap is the time between ticks that is taken as a pause of this node.
	pauseGap = bulrushchute.Second
)

// noticePause clears the timers after a pause of this node, during which it
// could not hear its neighbours.
func (m *Membership) noticePause(now bulrushchute.Millis) {
	gap := now - m.lastTick
	m.lastTick = now
	if gap <= pauseGap {
		return
	}
	m.resumed = now
	if gap > maxPause {
		m.status.Expired = true
	}
	if gap > suspectAfter {
		m.catchUp = true
	}
}

// silence is how long a link was silent while this node was able to hear it.
func (m *Membership) silence(now bulrushchute.Millis, l *link) bulrushchute.Millis {
	return now - max(l.heard, l.since, m.resumed)
}

// detect suspects and confirms silent members.
func (m *Membership) detect(now bulrushchute.Millis) {
	if !m.status.Joined || m.left {
		return
	}
	doubtful, held := m.judgeSelf(now)
	for _, l := range m.links.order {
		if l.kind != linkRing {
			continue
		}
		silence := m.silence(now, l)
		if silence < suspectAfter || (doubtful && silence < doubtHold) {
			continue
		}
		m.judge(now, l, held)
	}
}

// judgeSelf reports whether this node lost more than half of its neighbours,
// so that it is probably cut off itself, and whether it lost more than a
// quarter of those in its data centre, so that many members may be affected.
func (m *Membership) judgeSelf(now bulrushchute.Millis) (doubtful, held bool) {
	total, quiet, ring, ringQuiet := 0, 0, 0, 0
	for _, l := range m.links.order {
		if l.kind == linkExtra {
			continue
		}
		lost := m.silence(now, l) >= quietAfter
		total++
		quiet += count(lost)
		if l.kind == linkRing {
			ring++
			ringQuiet += count(lost)
		}
	}
	m.doubtful = quiet*2 > total
	return m.doubtful, ringQuiet > max(1, ring/4)
}

func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

func (m *Membership) judge(now bulrushchute.Millis, l *link, held bool) {
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
	if s.rank == rankSuspect && m.confirmable(now, l, s, held) {
		m.table.Publish(now, suspicionRecord(l.id, m.self.ID, s.incarnation, rankDead, now))
	}
}

// confirmable applies the rule of two monitors, and the longer wait when many
// members are suspected or this node alone suspects the member.
func (m *Membership) confirmable(now bulrushchute.Millis, l *link, s *suspicion, held bool) bool {
	age := now - s.learned
	if age < confirmAfter+l.jitter {
		return false
	}
	if age >= massHold+l.jitter {
		return true
	}
	return s.monitor != monitorHash(m.self.ID) && !held && !m.massSuspicion(now)
}

// massSuspicion reports whether more members of this data centre are
// suspected or lately dead than a rack holds.
func (m *Membership) massSuspicion(now bulrushchute.Millis) bool {
	home := m.members.centre(m.self.DataCentre)
	affected := 0
	for _, s := range m.members.order {
		if s.rank == rankDead {
			affected += count(s.home == home && !s.withdrawn() && now-s.confirmed < recentDeath)
			continue
		}
		known, ok := m.members.byID[s.id]
		affected += count(ok && known.home == home && known.instance.Incarnation <= s.incarnation)
	}
	return affected > max(massFloor, len(home.members)/massShare)
}

// refuteSuspicion raises this node's incarnation when it was suspected.
func (m *Membership) refuteSuspicion(now bulrushchute.Millis) {
	if m.refute < m.self.Incarnation || m.left {
		return
	}
	m.self.Incarnation = m.refute + 1
	m.publishSelf(now)
}

// updateContact tracks whether any peer answered a heartbeat that was sent in
// the last 3 s. After a pause the node counts as isolated until an answer
// comes, because it may have missed a change of the catalogue.
func (m *Membership) updateContact(now bulrushchute.Millis) {
	m.status.Isolated = m.status.Joined && len(m.links.order) > 0 && now-m.contact > suspectAfter
}
