package bulrushmembership

import (
	"slices"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushspread"
)

const (
	heartbeatInterval = bulrushchute.Second
	// hurryInterval is the time between heartbeats to a quiet link, until the
	// member would be confirmed dead.
	hurryInterval = 300 * bulrushchute.Millisecond
	hurryUntil    = 2 * (suspectAfter + confirmAfter)
	// sentCount is how many sent heartbeats are remembered to check acknowledgements.
	sentCount = 512
	// roundTripGain is the weight of a new round-trip time, the usual one eighth.
	roundTripGain = 0.125
	// maxInbound and inboundIdle bound the nodes that are neighbours only
	// because they exchanged a heartbeat with this node.
	maxInbound  = 8
	inboundIdle = 5 * bulrushchute.Second
	// nearInterval bounds how often digests are compared at once with a new
	// inbound peer of this data centre, which may be the only one left that
	// has its reachability reports.
	nearInterval = 5 * bulrushchute.Second
)

type linkKind uint8

// Kinds of links. Only members on ring links are monitored.
const (
	linkRing linkKind = iota
	linkBridge
	linkExtra
)

// link is a node that this one sends heartbeats to.
type link struct {
	id      bulrushchute.InstanceID
	address bulrushchute.Address
	home    *dataCentre
	kind    linkKind
	since   bulrushchute.Millis
	heard   bulrushchute.Millis
	next    bulrushchute.Millis
	// jitter delays this node's confirmation, so that not all monitors confirm at once.
	jitter   bulrushchute.Millis
	rttMs    float64
	measured bool
	kept     bool
}

// links holds the links in a fixed order.
type links struct {
	byID  map[bulrushchute.InstanceID]*link
	order []*link
}

func (ls *links) has(id bulrushchute.InstanceID) bool {
	_, ok := ls.byID[id]
	return ok
}

// begin starts a replacement of the set of links.
func (ls *links) begin() {
	for _, l := range ls.order {
		l.kept = false
	}
}

// keep adds a link or carries it over. A link named twice keeps its first kind.
func (ls *links) keep(now bulrushchute.Millis, m *Membership, to *member, kind linkKind) {
	if to == nil {
		return
	}
	l, ok := ls.byID[to.instance.ID]
	if !ok {
		l = &link{id: to.instance.ID, since: now}
		l.next = now + bulrushchute.Millis(m.config.Random.Int64N(int64(heartbeatInterval)))
		l.jitter = bulrushchute.Millis(m.config.Random.Int64N(int64(confirmJitter)))
		ls.byID[l.id] = l
		ls.order = append(ls.order, l)
	}
	if !l.kept {
		if ok && l.kind == linkExtra && kind != linkExtra {
			l.since = now
		}
		l.kind = kind
	}
	l.kept = true
	l.address = to.instance.Address
	l.home = to.home
}

// end drops the links that were not kept.
func (ls *links) end() {
	ls.order = slices.DeleteFunc(ls.order, func(l *link) bool {
		if !l.kept {
			delete(ls.byID, l.id)
		}
		return !l.kept
	})
}

// sentBeat remembers a heartbeat until its acknowledgement.
type sentBeat struct {
	sequence uint64
	to       bulrushchute.InstanceID
	at       bulrushchute.Millis
}

func (m *Membership) sendHeartbeats(now bulrushchute.Millis, actions []Action) []Action {
	for _, l := range m.links.order {
		if now < l.next-m.hurry(now, l) {
			continue
		}
		l.next += heartbeatInterval
		if l.next <= now || l.next > now+heartbeatInterval {
			l.next = now + heartbeatInterval
		}
		actions = m.sendHeartbeat(now, actions, l.id, l.address)
	}
	return actions
}

// hurry is how much earlier the next heartbeat to a quiet link is due. When
// one message in five is lost, two monitors would otherwise now and then miss
// a running member for 5 s.
func (m *Membership) hurry(now bulrushchute.Millis, l *link) bulrushchute.Millis {
	silence := m.silence(now, l)
	if silence < quietAfter || silence > hurryUntil {
		return 0
	}
	return heartbeatInterval - hurryInterval
}

func (m *Membership) sendHeartbeat(now bulrushchute.Millis, actions []Action, to bulrushchute.InstanceID, address bulrushchute.Address) []Action {
	m.sequence++
	m.sent[m.sequence%sentCount] = sentBeat{sequence: m.sequence, to: to, at: now}
	beat := &bulrushchute.Heartbeat{Sequence: m.sequence, Incarnation: m.self.Incarnation, SentAt: now}
	beat.KeyLease = m.config.AskKeyLease != nil && m.config.AskKeyLease(now, to)
	return m.send(actions, address, bulrushchute.Control{Heartbeat: beat})
}

// send charges a message to the budget that the record table keeps.
// Heartbeats are never held back, because a late one looks like a failure.
func (m *Membership) send(actions []Action, to bulrushchute.Address, message bulrushchute.Control) []Action {
	message.From = m.self.ID
	m.table.Charge(bulrushspread.Size(message))
	return append(actions, Action{To: to, Message: message})
}

func (m *Membership) receiveHeartbeat(now bulrushchute.Millis, from bulrushchute.Address, message bulrushchute.Control) []Action {
	beat := message.Heartbeat
	ack := &bulrushchute.HeartbeatAck{Sequence: beat.Sequence, SentAt: beat.SentAt}
	if beat.KeyLease && m.config.GrantKeyLease != nil {
		ack.KeyLease = m.config.GrantKeyLease(now, message.From)
	}
	if l, ok := m.links.byID[message.From]; ok {
		l.heard = now
	}
	m.tellSuspected(now, from, message.From, beat.Incarnation)
	m.addInbound(now, from, message.From)
	return m.send(nil, from, bulrushchute.Control{HeartbeatAck: ack})
}

// tellSuspected sends a suspicion to the member that it is about. A member
// marked dead has no overlay neighbours that would tell it.
func (m *Membership) tellSuspected(now bulrushchute.Millis, from bulrushchute.Address, id bulrushchute.InstanceID, incarnation uint64) {
	if _, ok := m.members.suspicionOf(id, incarnation); ok {
		m.table.Offer(now, from, suspicionKey(id))
	}
}

func (m *Membership) receiveAck(now bulrushchute.Millis, from bulrushchute.Address, message bulrushchute.Control) {
	ack := message.HeartbeatAck
	sent := &m.sent[ack.Sequence%sentCount]
	if sent.sequence != ack.Sequence || sent.to != message.From || sent.at != ack.SentAt {
		return // doubled, too late, or not an answer to this node
	}
	*sent = sentBeat{}
	m.contact = max(m.contact, ack.SentAt)
	if l, ok := m.links.byID[message.From]; ok {
		l.heard = now
		l.measure(float64(now - ack.SentAt))
	}
	if known, ok := m.members.byID[message.From]; ok {
		known.home.heard = max(known.home.heard, ack.SentAt)
	}
	m.addInbound(now, from, message.From)
	if m.config.OnAck != nil {
		m.config.OnAck(now, message.From, *ack)
	}
}

func (l *link) measure(elapsedMs float64) {
	if !l.measured {
		l.rttMs = elapsedMs
		l.measured = true
		return
	}
	l.rttMs += roundTripGain * (elapsedMs - l.rttMs)
}

// inboundPeer is a node that exchanged a heartbeat with this node and is not a
// link. After a long cut the two sides may choose different bridges; then each
// side follows the other's choice too. A node whose ring neighbours all failed at
// once stays connected by the members that answer its probes.
type inboundPeer struct {
	id      bulrushchute.InstanceID
	address bulrushchute.Address
	until   bulrushchute.Millis
	// near marks a node of the same data centre.
	near bool
}

func (m *Membership) addInbound(now bulrushchute.Millis, from bulrushchute.Address, id bulrushchute.InstanceID) {
	if !m.status.Joined || m.links.has(id) || id == m.self.ID {
		return // a joining node would announce each record that it copies
	}
	for i := range m.inbound {
		if m.inbound[i].id == id {
			m.inbound[i].until = now + inboundIdle
			return
		}
	}
	if len(m.inbound) < maxInbound {
		in := inboundPeer{id: id, address: from, until: now + inboundIdle}
		known, ok := m.members.byID[id]
		in.near = ok && known.home.name == m.self.DataCentre
		m.inbound = append(m.inbound, in)
		if in.near && now >= m.nextNear {
			m.nextNear = now + nearInterval
			m.near = from
		}
		m.neighboursChanged = true
	}
}

func (m *Membership) dropInbound(now bulrushchute.Millis) bool {
	before := len(m.inbound)
	m.inbound = slices.DeleteFunc(m.inbound, func(in inboundPeer) bool {
		return now >= in.until || m.links.has(in.id)
	})
	return len(m.inbound) < before
}
