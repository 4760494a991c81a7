package bulrushmembership

import (
	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushspread"
)

const (
	// joinTimeout is the time after which a peer that has sent a part of its
	// records, and no more, is replaced by another.
	joinTimeout = 3 * bulrushchute.Second
	// copyTimeout bounds the time in which a peer answers a question. The records
	// of 23,000 members take 3.4 s at the rate of copies.
	copyTimeout = 5 * bulrushchute.Second
	// answerTimeout is the time after which a peer that has sent nothing is
	// replaced. It covers three round trips of the longest link, 300 ms.
	answerTimeout = bulrushchute.Second
	// contactTimeout is the time after which another peer is asked as well, before
	// any has answered. After a fault that ended many nodes at once, the first
	// peer asked is often not back yet.
	contactTimeout = 200 * bulrushchute.Millisecond
	// joinRounds is the number of comparisons after which remaining
	// differences are taken for changes under way.
	joinRounds = 3
	// joinPause is the time between two comparisons with the same peer.
	joinPause = 100 * bulrushchute.Millisecond
	// turnedAway is the number of differing buckets above which the answer was
	// no copy but a few members to copy from.
	turnedAway = bulrushspread.BucketCount / 2
)

// Stages of a join.
const (
	stageCopy = iota
	stageCompare
)

// join is the state of a node that is not yet ready.
type join struct {
	stage  int
	target bulrushchute.Address
	// copied is the peer that the records came from.
	copied bulrushchute.Address
	rounds int
	// answered is set when the target has answered the last digest.
	answered  bool
	differing int
	asked     bulrushchute.Millis
	deadline  bulrushchute.Millis
	next      bulrushchute.Millis
}

// advanceJoin takes the next step of the join, if one is due.
func (m *Membership) advanceJoin(now bulrushchute.Millis, actions []Action) []Action {
	if m.status.Joined {
		return actions
	}
	if len(m.otherSeeds()) == 0 {
		m.finishJoin(now)
		return actions
	}
	j := &m.join
	switch {
	case j.target == "" || now >= j.deadline:
		return m.startStage(now, actions)
	case !j.answered || now < j.next || m.table.Outstanding() > 0:
		return actions
	case j.stage == stageCopy && j.differing > turnedAway:
		return m.startStage(now, actions)
	case j.differing > 0 && j.rounds < joinRounds:
		return m.compareJoin(now, actions)
	}
	return m.endStage(now, actions)
}

// startStage begins the stage with another peer.
func (m *Membership) startStage(now bulrushchute.Millis, actions []Action) []Action {
	m.join.target = m.joinPeer()
	m.join.rounds = 0
	return m.compareJoin(now, actions)
}

func (m *Membership) compareJoin(now bulrushchute.Millis, actions []Action) []Action {
	m.join.answered = false
	m.join.rounds++
	m.join.asked = now
	m.join.deadline = now + answerTimeout
	if m.table.Stats().Records <= 1 && len(m.joinCandidates()) > 1 {
		m.join.deadline = now + contactTimeout
	}
	return append(actions, m.table.Compare(now, m.join.target)...)
}

func (m *Membership) endStage(now bulrushchute.Millis, actions []Action) []Action {
	if m.join.stage == stageCompare {
		m.finishJoin(now)
		return actions
	}
	m.join.stage = stageCompare
	m.join.copied = m.join.target
	if len(m.joinCandidates()) == 0 {
		m.finishJoin(now) // there is no second peer
		return actions
	}
	return m.startStage(now, actions)
}

// heardInJoin notes that a peer has sent records or a digest. Other peers send
// changes all the time, which do not show that the one that was asked is alive.
// It may send changes too, and not have got the question.
func (m *Membership) heardInJoin(now bulrushchute.Millis, from bulrushchute.Address) {
	if !m.status.Joined && from == m.join.target {
		m.join.deadline = min(now+joinTimeout, m.join.asked+copyTimeout)
	}
}

// compared follows the answer to a digest.
func (m *Membership) compared(now bulrushchute.Millis, comparison bulrushspread.Comparison) {
	if m.status.Joined || m.join.answered {
		return
	}
	if comparison.With != m.join.target {
		if m.join.stage != stageCopy {
			return
		}
		// The answer of a peer that was asked before, and is slow.
		m.join.target = comparison.With
	}
	m.join.answered = true
	m.join.differing = comparison.Differing
	m.join.next = now + joinPause
}

// finishJoin makes the node a part of the overlay. Its record is published
// again because nobody heard of the first one. A comparison with a neighbour
// brings the reachability reports of the data centre, which the peers of the
// join do not send because they may be in another one.
func (m *Membership) finishJoin(now bulrushchute.Millis) {
	m.status.Joined = true
	m.contact = now
	m.resumed = now
	m.overlayChanged = true
	m.updateOverlay(now)
	m.updateNeighbours(now)
	if !m.left {
		m.publishSelf(now)
	}
	m.catchUp = true
}

func (m *Membership) otherSeeds() []bulrushchute.Address {
	var others []bulrushchute.Address
	for _, seed := range m.seeds {
		if seed != m.self.Address {
			others = append(others, seed)
		}
	}
	return others
}

// joinPeer chooses a peer at random.
func (m *Membership) joinPeer() bulrushchute.Address {
	candidates := m.joinCandidates()
	if len(candidates) == 0 {
		return ""
	}
	return candidates[m.config.Random.IntN(len(candidates))]
}

// joinCandidates returns, for the copy, the seeds until one of them has named
// members. For the comparison it returns members of this data centre, or else
// any peer but the first.
func (m *Membership) joinCandidates() []bulrushchute.Address {
	seeds := m.otherSeeds()
	if m.join.stage == stageCopy {
		return m.copyCandidates(seeds)
	}
	candidates := m.candidatesIn(m.members.centre(m.self.DataCentre))
	if len(candidates) > 0 {
		return candidates
	}
	for _, seed := range seeds {
		if seed != m.join.copied {
			candidates = append(candidates, seed)
		}
	}
	return append(candidates, m.allCandidates()...)
}

func (m *Membership) copyCandidates(seeds []bulrushchute.Address) []bulrushchute.Address {
	if named := m.allCandidates(); len(named) > 0 {
		return named
	}
	return seeds
}

// allCandidates returns the members of all data centres, see candidatesIn.
func (m *Membership) allCandidates() []bulrushchute.Address {
	var candidates []bulrushchute.Address
	for _, dc := range m.members.centreOrder {
		candidates = append(candidates, m.candidatesIn(dc)...)
	}
	return candidates
}

// candidatesIn leaves out suspected members, which would cost a timeout each.
func (m *Membership) candidatesIn(dc *dataCentre) []bulrushchute.Address {
	var candidates []bulrushchute.Address
	for _, other := range dc.members {
		address := other.instance.Address
		_, suspect := m.members.suspicionOf(other.instance.ID, other.instance.Incarnation)
		if !suspect && address != m.self.Address && address != m.join.copied {
			candidates = append(candidates, address)
		}
	}
	return candidates
}
