package bulrushmembership

import (
	"math/rand/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushspread"
)

// Membership is one node's view of the fleet. It is not safe for concurrent use.
type Membership struct {
	config  Config
	table   *bulrushspread.Table
	members members
	links   links
	inbound []inboundPeer
	peers   []bulrushchute.InstanceID
	seeds   []bulrushchute.Address

	self    bulrushchute.Instance
	counter uint64
	// refute is the highest suspected incarnation of this node.
	refute uint64
	left   bool

	status    Status
	published Status
	join      join
	sequence  uint64
	sent      [sentCount]sentBeat
	// contact is the latest instant at which a peer that answered was asked.
	contact  bulrushchute.Millis
	lastTick bulrushchute.Millis
	resumed  bulrushchute.Millis
	doubtful bool
	catchUp  bool
	// near is a new inbound peer of this data centre to compare digests with.
	near     bulrushchute.Address
	nextNear bulrushchute.Millis

	// predecessors are members at this node's own address. Their processes have
	// ended, or this one could not listen there.
	predecessors []bulrushchute.Instance

	overlayChanged    bool
	neighboursChanged bool
	reachChanged      bool
	nextOverlay       bulrushchute.Millis
	nextExpiry        bulrushchute.Millis
}

// New returns a Membership that has not yet joined. The first Tick starts the join.
func New(now bulrushchute.Millis, config Config) *Membership {
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(1, monitorSeed(config.Self.ID)))
	}
	m := &Membership{
		config:   config,
		members:  newMembers(),
		links:    links{byID: map[bulrushchute.InstanceID]*link{}},
		seeds:    config.Seeds,
		self:     config.Self,
		lastTick: now,
		resumed:  now,
	}
	m.self.Incarnation = max(1, m.self.Incarnation)
	m.table = bulrushspread.New(now, bulrushspread.Config{
		Self:       config.Self.ID,
		DataCentre: config.Self.DataCentre,
		Random:     config.Random,
		Accept:     m.accept,
		OnChange:   m.change,
		OnCompare:  m.compared,
	})
	m.publishSelf(now)
	return m
}

func monitorSeed(id bulrushchute.InstanceID) uint64 {
	return uint64(monitorHash(id))
}

// Table returns the record table, for Publish, Get and Range on other topics.
// Its Receive, Tick and SetNeighbours belong to the Membership.
func (m *Membership) Table() *bulrushspread.Table {
	return m.table
}

// Receive handles a control message and ignores those that concern other packages.
func (m *Membership) Receive(now bulrushchute.Millis, from bulrushchute.Address, message bulrushchute.Control) []Action {
	switch {
	case message.Heartbeat != nil:
		return m.receiveHeartbeat(now, from, message)
	case message.HeartbeatAck != nil:
		m.receiveAck(now, from, message)
		return nil
	}
	m.heardInJoin(now, from)
	_, known := m.members.byID[message.From]
	actions := m.table.Receive(now, from, message)
	if message.Records == nil || known {
		return actions
	}
	if _, introduced := m.members.byID[message.From]; introduced {
		actions = append(actions, m.Introduce(now, []bulrushchute.Address{from})...)
	}
	return actions
}

// Introduce sends this node's own record to addresses at which other nodes may
// have started. A node that did not know this one answers with its record. This
// is how nodes meet again at once after a fault that ended many of them; a
// join takes longer, because it copies all records.
func (m *Membership) Introduce(_ bulrushchute.Millis, addresses []bulrushchute.Address) []Action {
	record, ok := m.table.Get(memberKey(m.self.ID))
	if !ok || m.left {
		return nil
	}
	var actions []Action
	for _, address := range addresses {
		if address == m.self.Address {
			continue
		}
		records := &bulrushchute.Records{Records: []bulrushchute.Record{record}}
		actions = m.send(actions, address, bulrushchute.Control{Records: records})
	}
	return actions
}

// Tick does what is due. It is to be called every bulrushspread.TickInterval.
// A gap of more than a second between calls is taken as a pause of this node.
func (m *Membership) Tick(now bulrushchute.Millis) []Action {
	m.noticePause(now)
	m.refuteSuspicion(now)
	m.buryPredecessors(now)
	actions := m.advanceJoin(now, nil)
	m.updateOverlay(now)
	m.updateNeighbours(now)
	m.detect(now)
	actions = m.sendHeartbeats(now, actions)
	if m.status.Joined && !m.left {
		actions = m.watchBridges(now, actions)
		actions = m.probeHome(now, actions)
	}
	m.updateReach(now)
	actions = m.compareNow(now, actions)
	m.expire(now)
	m.updateContact(now)
	m.reportStatus(now)
	return append(actions, m.table.Tick(now)...)
}

// buryPredecessors tells all nodes that the former processes at this node's
// address are dead, which monitors would find out only some seconds later.
func (m *Membership) buryPredecessors(now bulrushchute.Millis) {
	for _, dead := range m.predecessors {
		m.table.Publish(now, suspicionRecord(dead.ID, m.self.ID, dead.Incarnation, rankDead, now))
	}
	m.predecessors = nil
}

// compareNow compares digests at once after a pause, in which the node may
// have missed many changes, after the join, and with a new near peer.
func (m *Membership) compareNow(now bulrushchute.Millis, actions []Action) []Action {
	if m.near != "" {
		actions = append(actions, m.table.Compare(now, m.near)...)
		m.near = ""
	}
	neighbours := m.Neighbours()
	if !m.catchUp || len(neighbours) == 0 {
		return actions
	}
	m.catchUp = false
	id := neighbours[m.config.Random.IntN(len(neighbours))]
	return append(actions, m.table.Compare(now, m.links.byID[id].address)...)
}

func (m *Membership) reportStatus(now bulrushchute.Millis) {
	if m.status == m.published {
		return
	}
	m.published = m.status
	if m.config.OnStatus != nil {
		m.config.OnStatus(now, m.status)
	}
}

// Update publishes a new own record: service, version, state, slots. ID,
// address, data centre and incarnation are kept.
func (m *Membership) Update(now bulrushchute.Millis, self bulrushchute.Instance) {
	if m.left {
		return
	}
	m.self = m.self.WithBackendServer(self.Service, self.Version, self.Slots).WithStartedAt(self.StartedAt).WithState(self.State)
	m.publishSelf(now)
}

func (m *Membership) publishSelf(now bulrushchute.Millis) {
	m.counter++
	record, err := encodeMember(m.self, m.counter)
	if err != nil {
		return // a struct of plain fields always encodes
	}
	m.table.Publish(now, record)
}

// ownVersion reports whether a version of this node's record is its own latest one.
func (m *Membership) ownVersion(version bulrushchute.RecordVersion) bool {
	return version == bulrushchute.RecordVersion{Epoch: m.self.Incarnation, Counter: m.counter}
}

// Leave publishes that this node has gone for good. It is to be called after
// the last answer was sent, with Tick called for about a second more.
func (m *Membership) Leave(now bulrushchute.Millis) {
	if m.left {
		return
	}
	m.left = true
	m.table.Publish(now, suspicionRecord(m.self.ID, m.self.ID, m.self.Incarnation, rankDead, now))
}

// SetSeeds replaces the addresses to join through.
func (m *Membership) SetSeeds(seeds []bulrushchute.Address) {
	m.seeds = seeds
}

// SetPeers names further nodes to exchange heartbeats with, besides the
// overlay neighbours: lease monitors of a key home and the homes that name
// this node as monitor.
func (m *Membership) SetPeers(peers []bulrushchute.InstanceID) {
	m.peers = peers
	m.overlayChanged = true
}

// Self returns the node's own record as last published.
func (m *Membership) Self() bulrushchute.Instance {
	return m.self
}

// Status returns the state of this node.
func (m *Membership) Status() Status {
	return m.status
}

// Member returns a member that is not dead.
func (m *Membership) Member(id bulrushchute.InstanceID) (bulrushchute.Instance, bool) {
	known, ok := m.members.byID[id]
	if !ok {
		return bulrushchute.Instance{}, false
	}
	return m.members.view(known), true
}

// Range calls visit for each member that is not dead until visit returns
// false. The order is the same for the same history of calls.
func (m *Membership) Range(visit func(bulrushchute.Instance) bool) {
	for _, dc := range m.members.centreOrder {
		for _, known := range dc.members {
			if !visit(m.members.view(known)) {
				return
			}
		}
	}
}

// Neighbours returns the overlay neighbours inside the data centre.
func (m *Membership) Neighbours() []bulrushchute.InstanceID {
	var ids []bulrushchute.InstanceID
	for _, l := range m.links.order {
		if l.kind == linkRing {
			ids = append(ids, l.id)
		}
	}
	return ids
}

// Reachable reports whether a data centre can be reached from this one.
func (m *Membership) Reachable(dataCentre bulrushchute.DataCentre) bool {
	dc, ok := m.members.centres[dataCentre]
	return !ok || !dc.unreachable
}

// RoundTripMs returns the smoothed round-trip time to a peer in milliseconds.
func (m *Membership) RoundTripMs(id bulrushchute.InstanceID) (float64, bool) {
	l, ok := m.links.byID[id]
	if !ok {
		return 0, false
	}
	return l.rttMs, l.measured
}

// DataCentreRoundTripMs returns the smallest smoothed round-trip time to a
// peer in a data centre, in milliseconds. Only nodes that hold a bridge to
// another data centre know its time.
func (m *Membership) DataCentreRoundTripMs(dataCentre bulrushchute.DataCentre) (float64, bool) {
	least, found := 0.0, false
	for _, l := range m.links.order {
		if l.home.name == dataCentre && l.measured && (!found || l.rttMs < least) {
			least, found = l.rttMs, true
		}
	}
	return least, found
}
