package bulrushmembership

import (
	"slices"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushspread"
)

const (
	heartbeatInterval = bulrushchute.Second
	// fastHeartbeatInterval is the heartbeat interval of an unresponsive link.
	// It applies until the member would have been confirmed dead, with a margin.
	fastHeartbeatInterval = 300 * bulrushchute.Millisecond
	fastHeartbeatUntil    = 2 * (suspectAfter + confirmAfter)
	// maxSentHeartbeats bounds the sent heartbeats that are kept to validate
	// acknowledgements.
	maxSentHeartbeats = 512
	// rttSmoothing is the EWMA weight of one sample in the round-trip time, 1/8 as
	// in RFC 6298.
	rttSmoothing = 0.125
	// maxInboundPeers and inboundIdleTimeout limit the number and the lifetime of
	// neighbours that were added only because they exchanged a heartbeat with
	// this node.
	maxInboundPeers    = 8
	inboundIdleTimeout = 5 * bulrushchute.Second
	// localCompareInterval limits how often this node compares digests
	// immediately with a new inbound peer of its data centre. That peer may be
	// the only one left that has the reachability reports of the data centre.
	localCompareInterval = 5 * bulrushchute.Second
)

type linkKind uint8

// Kinds of links. Only members on ring links are monitored for failures.
const (
	linkRing linkKind = iota
	linkBridge
	linkExtra // from SetExtraPeers
)

// link is the state kept for an overlay neighbour or an extra peer, to which this
// node sends heartbeats. It is not a transport connection.
type link struct {
	id      bulrushchute.InstanceID
	address bulrushchute.Address
	dc      *dataCentre
	kind    linkKind
	// startedAt is when the link was added, or when it became an overlay link
	// after it was a linkExtra.
	startedAt bulrushchute.Millis
	// lastHeard is when the last heartbeat or acknowledgement arrived.
	lastHeard     bulrushchute.Millis
	nextHeartbeat bulrushchute.Millis
	// jitter delays a confirmation by this node so that monitors do not all
	// confirm at the same time.
	jitter bulrushchute.Millis
	rttMs  float64
	hasRTT bool
	marked bool
}

// links is a set of links with a stable iteration order. It is updated by mark
// and sweep.
type links struct {
	byID  map[bulrushchute.InstanceID]*link
	order []*link
}

func (ls *links) has(id bulrushchute.InstanceID) bool {
	_, ok := ls.byID[id]
	return ok
}

// unmarkAll starts an update of the set.
func (ls *links) unmarkAll() {
	for _, l := range ls.order {
		l.marked = false
	}
}

// mark adds a link or retains an existing one. A link marked twice keeps the
// first kind.
func (ls *links) mark(now bulrushchute.Millis, m *Membership, to *member, kind linkKind) {
	if to == nil {
		return
	}
	l, ok := ls.byID[to.instance.ID]
	if !ok {
		l = &link{id: to.instance.ID, startedAt: now}
		l.nextHeartbeat = now + bulrushchute.Millis(m.config.Random.Int64N(int64(heartbeatInterval)))
		l.jitter = bulrushchute.Millis(m.config.Random.Int64N(int64(confirmJitter)))
		ls.byID[l.id] = l
		ls.order = append(ls.order, l)
	}
	if !l.marked {
		if ok && l.kind == linkExtra && kind != linkExtra {
			l.startedAt = now
		}
		l.kind = kind
	}
	l.marked = true
	l.address = to.instance.Address
	l.dc = to.dc
}

// sweep removes the links that were not marked.
func (ls *links) sweep() {
	ls.order = slices.DeleteFunc(ls.order, func(l *link) bool {
		if !l.marked {
			delete(ls.byID, l.id)
		}
		return !l.marked
	})
}

// sentHeartbeat is a heartbeat that was not yet acknowledged.
type sentHeartbeat struct {
	sequence uint64
	to       bulrushchute.InstanceID
	sentAt   bulrushchute.Millis
}

func (m *Membership) sendHeartbeats(now bulrushchute.Millis, actions []Action) []Action {
	for _, l := range m.links.order {
		if now < l.nextHeartbeat-m.heartbeatAdvance(now, l) {
			continue
		}
		l.nextHeartbeat += heartbeatInterval
		if l.nextHeartbeat <= now || l.nextHeartbeat > now+heartbeatInterval {
			l.nextHeartbeat = now + heartbeatInterval
		}
		actions = m.sendHeartbeat(now, actions, l.id, l.address)
	}
	return actions
}

// heartbeatAdvance returns how much earlier the next heartbeat on an
// unresponsive link is due. Without it, at a message loss of 20%, two monitors
// would occasionally both miss a running member for 5 s.
func (m *Membership) heartbeatAdvance(now bulrushchute.Millis, l *link) bulrushchute.Millis {
	silence := m.silence(now, l)
	if silence < unresponsiveAfter || silence > fastHeartbeatUntil {
		return 0
	}
	return heartbeatInterval - fastHeartbeatInterval
}

func (m *Membership) sendHeartbeat(now bulrushchute.Millis, actions []Action, to bulrushchute.InstanceID, address bulrushchute.Address) []Action {
	m.sequence++
	m.sentHeartbeats[m.sequence%maxSentHeartbeats] = sentHeartbeat{sequence: m.sequence, to: to, sentAt: now}
	heartbeat := &bulrushchute.Heartbeat{Sequence: m.sequence, Incarnation: m.self.Incarnation, SentAt: now}
	heartbeat.KeyLease = m.config.RequestKeyLease != nil && m.config.RequestKeyLease(now, to)
	return m.send(actions, address, bulrushchute.Control{Heartbeat: heartbeat})
}

// send appends a message to actions and charges it to the bandwidth budget of
// the record table. It never delays a message, because a late heartbeat looks
// like a failure.
func (m *Membership) send(actions []Action, to bulrushchute.Address, message bulrushchute.Control) []Action {
	message.From = m.self.ID
	m.table.Charge(bulrushspread.Size(message))
	return append(actions, Action{To: to, Message: message})
}

func (m *Membership) receiveHeartbeat(now bulrushchute.Millis, from bulrushchute.Address, message bulrushchute.Control) []Action {
	heartbeat := message.Heartbeat
	ack := &bulrushchute.HeartbeatAck{Sequence: heartbeat.Sequence, SentAt: heartbeat.SentAt}
	if heartbeat.KeyLease && m.config.GrantKeyLease != nil {
		ack.KeyLease = m.config.GrantKeyLease(now, message.From)
	}
	if l, ok := m.links.byID[message.From]; ok {
		l.lastHeard = now
	}
	m.sendSuspicion(now, from, message.From, heartbeat.Incarnation)
	m.addInboundPeer(now, from, message.From)
	return m.send(nil, from, bulrushchute.Control{HeartbeatAck: ack})
}

// sendSuspicion sends a member the suspicion about it, if there is one. A member
// marked dead has no overlay neighbours that could forward it.
func (m *Membership) sendSuspicion(now bulrushchute.Millis, to bulrushchute.Address, id bulrushchute.InstanceID, incarnation uint64) {
	if _, ok := m.members.suspicionOf(id, incarnation); ok {
		m.table.AnnounceTo(now, to, suspicionKey(id))
	}
}

func (m *Membership) receiveAck(now bulrushchute.Millis, from bulrushchute.Address, message bulrushchute.Control) {
	ack := message.HeartbeatAck
	sent := &m.sentHeartbeats[ack.Sequence%maxSentHeartbeats]
	if sent.sequence != ack.Sequence || sent.to != message.From || sent.sentAt != ack.SentAt {
		return // duplicate, late, or not for a heartbeat of this node
	}
	*sent = sentHeartbeat{}
	m.lastContact = max(m.lastContact, ack.SentAt)
	if l, ok := m.links.byID[message.From]; ok {
		l.lastHeard = now
		l.updateRTT(float64(now - ack.SentAt))
	}
	if known, ok := m.members.byID[message.From]; ok {
		known.dc.lastContact = max(known.dc.lastContact, ack.SentAt)
	}
	m.addInboundPeer(now, from, message.From)
	if m.config.OnAck != nil {
		m.config.OnAck(now, message.From, *ack)
	}
}

func (l *link) updateRTT(elapsedMs float64) {
	if !l.hasRTT {
		l.rttMs = elapsedMs
		l.hasRTT = true
		return
	}
	l.rttMs += float64(rttSmoothing * (elapsedMs - l.rttMs))
}

// inboundPeer is a node without a link that exchanged a heartbeat with this node.
// After a long network partition, the two sides may choose different bridges;
// inbound peers make each side use the other's choice as well. They also keep a
// node connected if all its ring neighbours failed at once: the members that
// answer its probes become inbound peers.
type inboundPeer struct {
	id        bulrushchute.InstanceID
	address   bulrushchute.Address
	expiresAt bulrushchute.Millis
	// local is set for a node of the local data centre.
	local bool
}

func (m *Membership) addInboundPeer(now bulrushchute.Millis, from bulrushchute.Address, id bulrushchute.InstanceID) {
	if !m.status.Joined || m.links.has(id) || id == m.self.ID {
		return // a joining node would announce each record that it copies
	}
	for i := range m.inboundPeers {
		if m.inboundPeers[i].id == id {
			m.inboundPeers[i].expiresAt = now + inboundIdleTimeout
			return
		}
	}
	if len(m.inboundPeers) < maxInboundPeers {
		in := inboundPeer{id: id, address: from, expiresAt: now + inboundIdleTimeout}
		known, ok := m.members.byID[id]
		in.local = ok && known.dc.name == m.self.DataCentre
		m.inboundPeers = append(m.inboundPeers, in)
		if in.local && now >= m.nextLocalCompare {
			m.nextLocalCompare = now + localCompareInterval
			m.localComparePeer = from
		}
		m.neighboursChanged = true
	}
}

// expireInboundPeers removes inbound peers that were silent for too long or have
// a link now, and reports whether it removed any.
func (m *Membership) expireInboundPeers(now bulrushchute.Millis) bool {
	before := len(m.inboundPeers)
	m.inboundPeers = slices.DeleteFunc(m.inboundPeers, func(in inboundPeer) bool {
		return now >= in.expiresAt || m.links.has(in.id)
	})
	return len(m.inboundPeers) < before
}
