package bulrushmembership

import (
	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushspread"
)

const (
	// joinIdleTimeout is the time after which a peer that stopped sending
	// records is replaced by another.
	joinIdleTimeout = 3 * bulrushchute.Second
	// joinRequestTimeout bounds the total time for the answer to one digest. The
	// records of 23,000 members take 3.4 s at the rate limit of copies.
	joinRequestTimeout = 5 * bulrushchute.Second
	// joinFirstResponseTimeout is the time after which a peer that has sent
	// nothing is replaced. It covers three round trips on the longest link
	// (300 ms).
	joinFirstResponseTimeout = bulrushchute.Second
	// joinFirstContactTimeout replaces joinFirstResponseTimeout until any peer
	// has answered. After a fault that stopped many nodes at once, the first
	// peer asked is often not back yet. Late answers still count.
	joinFirstContactTimeout = 200 * bulrushchute.Millisecond
	// maxJoinRounds is the number of comparisons after which the remaining
	// differences are assumed to be changes in flight.
	maxJoinRounds = 3
	// joinWantTimeout is the longest time without a record arriving for which a join
	// waits for the records that it has requested, and maxJoinWantTime the longest
	// time in all. While many nodes join at once, their peers deliver late, and
	// changes arrive all the time. What is missing then arrives after the join.
	joinWantTimeout = 300 * bulrushchute.Millisecond
	maxJoinWantTime = bulrushchute.Second
	// joinRoundDelay is the delay between two comparisons with the same peer.
	joinRoundDelay = 100 * bulrushchute.Millisecond
	// redirectThreshold is the number of differing buckets above which the peer
	// did not send a copy, but only a few members to copy from instead.
	redirectThreshold = bulrushspread.BucketCount / 2
)

// Phases of a join. A node copies all records from one peer and then compares
// digests with a second one.
const (
	phaseCopy = iota
	phaseCompare
)

// join is the state of the join procedure.
type join struct {
	phase  int
	target bulrushchute.Address
	// copiedFrom is the peer that sent its records in phaseCopy.
	copiedFrom bulrushchute.Address
	rounds     int
	// answered is set once the target has answered the last digest.
	answered bool
	// differingBuckets is the number of differing buckets in that answer.
	differingBuckets int
	askedAt          bulrushchute.Millis
	deadline         bulrushchute.Millis
	nextCompare      bulrushchute.Millis
	// pendingWants is the number of requested records at the last step, and wantsSince
	// is when it last fell, or when the target answered.
	pendingWants int
	wantsSince   bulrushchute.Millis
	answeredAt   bulrushchute.Millis
}

// advanceJoin performs the next step of the join if one is due.
func (m *Membership) advanceJoin(now bulrushchute.Millis, actions []Action) []Action {
	if m.status.Joined {
		return actions
	}
	if len(m.otherSeeds()) == 0 {
		if !m.config.SeedsPending {
			m.finishJoin(now)
		}
		return actions
	}
	j := &m.join
	switch {
	case j.target == "" || now >= j.deadline:
		return m.startPhase(now, actions)
	case !j.answered && j.rounds > 1 && now >= j.askedAt+joinFirstResponseTimeout:
		// The target has answered an earlier comparison and is slow to repeat it.
		return m.endPhase(now, actions)
	case !j.answered || now < j.nextCompare || m.awaitsWants(now):
		return actions
	case j.phase == phaseCopy && j.differingBuckets > redirectThreshold:
		return m.startPhase(now, actions)
	case j.differingBuckets > 0 && j.rounds < maxJoinRounds:
		return m.compareWithTarget(now, actions)
	}
	return m.endPhase(now, actions)
}

// awaitsWants reports whether the join waits for requested records.
func (m *Membership) awaitsWants(now bulrushchute.Millis) bool {
	j := &m.join
	pending := m.table.PendingWants()
	if pending < j.pendingWants {
		j.wantsSince = now
	}
	j.pendingWants = pending
	return pending > 0 && now < min(j.wantsSince+joinWantTimeout, j.answeredAt+maxJoinWantTime)
}

// startPhase starts or restarts the current phase with a new peer.
func (m *Membership) startPhase(now bulrushchute.Millis, actions []Action) []Action {
	m.join.target = m.pickJoinPeer()
	m.join.rounds = 0
	return m.compareWithTarget(now, actions)
}

func (m *Membership) compareWithTarget(now bulrushchute.Millis, actions []Action) []Action {
	m.join.answered = false
	m.join.rounds++
	m.join.askedAt = now
	m.join.deadline = now + joinFirstResponseTimeout
	if m.table.Stats().Records <= 1 && len(m.joinCandidates()) > 1 {
		m.join.deadline = now + joinFirstContactTimeout
	}
	return append(actions, m.table.Compare(now, m.join.target)...)
}

func (m *Membership) endPhase(now bulrushchute.Millis, actions []Action) []Action {
	if m.join.phase == phaseCompare {
		m.finishJoin(now)
		return actions
	}
	m.join.phase = phaseCompare
	m.join.copiedFrom = m.join.target
	if len(m.joinCandidates()) == 0 {
		m.finishJoin(now) // no second peer to compare with
		return actions
	}
	return m.startPhase(now, actions)
}

// extendJoinDeadline extends the deadline when the join target sends a message.
// Messages of other peers do not count: they send changes all the time, which
// does not show that the target is alive. The target may send changes too
// without having received the digest, so joinRequestTimeout bounds the total.
func (m *Membership) extendJoinDeadline(now bulrushchute.Millis, from bulrushchute.Address) {
	if !m.status.Joined && from == m.join.target {
		m.join.deadline = min(now+joinIdleTimeout, m.join.askedAt+joinRequestTimeout)
	}
}

// handleComparison handles the answer to a digest.
func (m *Membership) handleComparison(now bulrushchute.Millis, comparison bulrushspread.Comparison) {
	if m.status.Joined || m.join.answered {
		return
	}
	if comparison.Peer != m.join.target {
		if m.join.phase != phaseCopy {
			return
		}
		// A slow answer from a peer that was asked earlier.
		m.join.target = comparison.Peer
	}
	m.join.answered = true
	m.join.differingBuckets = comparison.DifferingBuckets
	m.join.nextCompare = now + joinRoundDelay
	m.join.pendingWants, m.join.wantsSince, m.join.answeredAt = m.table.PendingWants(), now, now
}

// finishJoin adds the node to the overlay. It publishes the node's record again
// because the first one had no neighbours to go to. It schedules a comparison
// with a neighbour to get the reachability reports of this data centre, which
// the join peers do not send because they may be in another one.
func (m *Membership) finishJoin(now bulrushchute.Millis) {
	m.status.Joined = true
	m.lastContact = now
	m.resumedAt = now
	m.overlayChanged = true
	m.updateOverlay(now)
	m.updateNeighbours(now)
	if !m.left {
		m.publishSelf(now)
	}
	m.comparePending = true
}

// otherSeeds returns the seeds without this node's own address.
func (m *Membership) otherSeeds() []bulrushchute.Address {
	var others []bulrushchute.Address
	for _, seed := range m.seeds {
		if seed != m.self.Address {
			others = append(others, seed)
		}
	}
	return others
}

// pickJoinPeer returns a random candidate, or "" if there is none.
func (m *Membership) pickJoinPeer() bulrushchute.Address {
	candidates := m.joinCandidates()
	if len(candidates) == 0 {
		return ""
	}
	return candidates[m.config.Random.IntN(len(candidates))]
}

// joinCandidates returns the peers to ask in the current phase. In phaseCopy
// these are the seeds until one of them has sent members, then the members. In
// phaseCompare these are the members of this data centre, or if there are none
// all seeds and members, in each case without the peer copied from.
func (m *Membership) joinCandidates() []bulrushchute.Address {
	seeds := m.otherSeeds()
	if m.join.phase == phaseCopy {
		return m.copyCandidates(seeds)
	}
	candidates := m.candidatesIn(m.members.ensureDataCentre(m.self.DataCentre))
	if len(candidates) > 0 {
		return candidates
	}
	for _, seed := range seeds {
		if seed != m.join.copiedFrom {
			candidates = append(candidates, seed)
		}
	}
	return append(candidates, m.allCandidates()...)
}

func (m *Membership) copyCandidates(seeds []bulrushchute.Address) []bulrushchute.Address {
	if members := m.allCandidates(); len(members) > 0 {
		return members
	}
	return seeds
}

// allCandidates returns the candidates in all data centres.
func (m *Membership) allCandidates() []bulrushchute.Address {
	var candidates []bulrushchute.Address
	for _, dc := range m.members.dataCentreOrder {
		candidates = append(candidates, m.candidatesIn(dc)...)
	}
	return candidates
}

// candidatesIn returns the addresses of a data centre's members, without this
// node and the peer copied from. It skips suspected members because each would
// cost a timeout.
func (m *Membership) candidatesIn(dc *dataCentre) []bulrushchute.Address {
	var candidates []bulrushchute.Address
	for _, other := range dc.members {
		address := other.instance.Address
		_, suspect := m.members.suspicionOf(other.instance.ID, other.instance.Incarnation)
		if !suspect && address != m.self.Address && address != m.join.copiedFrom {
			candidates = append(candidates, address)
		}
	}
	return candidates
}
