package bulrushmembership

import (
	"math/rand/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushspread"
)

// Membership is one node's view of the members of the fleet. It is not safe for
// concurrent use.
type Membership struct {
	config       Config
	table        *bulrushspread.Table
	members      members
	links        links
	inboundPeers []inboundPeer
	extraPeers   []bulrushchute.InstanceID
	seeds        []bulrushchute.Address

	self          bulrushchute.Instance
	recordCounter uint64
	// refuteIncarnation is the highest incarnation of this node that was
	// suspected or written by another node. The node has to exceed it.
	refuteIncarnation uint64
	left              bool

	status         Status
	reportedStatus Status
	join           join
	sequence       uint64
	sentHeartbeats [maxSentHeartbeats]sentHeartbeat
	// lastContact is the send time of the latest acknowledged heartbeat.
	lastContact bulrushchute.Millis
	lastTick    bulrushchute.Millis
	// resumedAt is the end of the last pause or of the join.
	resumedAt bulrushchute.Millis
	// degraded is set while more than half of the neighbours are unresponsive.
	degraded bool
	// comparePending requests a comparison of digests with a neighbour.
	comparePending bool
	// localComparePeer is the address of a new inbound peer in the local data
	// centre, to compare digests with on the next Tick.
	localComparePeer bulrushchute.Address
	nextLocalCompare bulrushchute.Millis

	// formerProcesses are other members with the address of this node. Their
	// processes have ended, or this one could not listen on the address.
	formerProcesses []bulrushchute.Instance

	overlayChanged      bool
	neighboursChanged   bool
	reachabilityChanged bool
	nextOverlay         bulrushchute.Millis
	nextExpiry          bulrushchute.Millis
}

// New returns a Membership that has not joined yet. The first Tick starts the
// join.
func New(now bulrushchute.Millis, config Config) *Membership {
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(1, randomSeed(config.Self.ID)))
	}
	m := &Membership{
		config:    config,
		members:   newMembers(),
		links:     links{byID: map[bulrushchute.InstanceID]*link{}},
		seeds:     config.Seeds,
		self:      config.Self,
		lastTick:  now,
		resumedAt: now,
	}
	m.self.Incarnation = max(1, m.self.Incarnation)
	m.table = bulrushspread.New(now, bulrushspread.Config{
		Self:       config.Self.ID,
		DataCentre: config.Self.DataCentre,
		Random:     config.Random,
		Accept:     m.acceptRecord,
		Obsolete:   m.obsoleteMember,
		OnChange:   m.recordChanged,
		OnCompare:  m.handleComparison,
	})
	m.publishSelf(now)
	return m
}

func randomSeed(id bulrushchute.InstanceID) uint64 {
	return uint64(monitorHash(id))
}

// Table returns the record table, for use of Publish, Get and Range with other
// topics. Only the Membership may call its Receive, Tick and SetNeighbours.
func (m *Membership) Table() *bulrushspread.Table {
	return m.table
}

// Receive handles a control message. It ignores messages for other packages.
func (m *Membership) Receive(now bulrushchute.Millis, from bulrushchute.Address, message bulrushchute.Control) []Action {
	switch {
	case message.Heartbeat != nil:
		return m.receiveHeartbeat(now, from, message)
	case message.HeartbeatAck != nil:
		m.receiveAck(now, from, message)
		return nil
	}
	m.extendJoinDeadline(now, from)
	_, known := m.members.byID[message.From]
	actions := m.table.Receive(now, from, message)
	if message.Records == nil || known {
		return actions
	}
	if _, added := m.members.byID[message.From]; added {
		if m.config.OnIntroduced != nil {
			m.config.OnIntroduced(now, from)
		}
		actions = append(actions, m.Introduce(now, []bulrushchute.Address{from})...)
	}
	return actions
}

// Introduce sends the record of this node to addresses at which other nodes may
// have started. A node that did not know this one replies with its own record.
// After a fault that stopped many nodes, they find each other faster this way
// than by a join, which copies all records.
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

// Tick performs all work that is due. It must be called once every
// bulrushspread.TickInterval. A gap of more than a second between two calls
// counts as a pause of this node.
func (m *Membership) Tick(now bulrushchute.Millis) []Action {
	m.detectPause(now)
	m.refuteSuspicion(now)
	m.markFormerProcessesDead(now)
	actions := m.advanceJoin(now, nil)
	m.updateOverlay(now)
	m.updateNeighbours(now)
	m.detectFailures(now)
	actions = m.sendHeartbeats(now, actions)
	if m.status.Joined && !m.left {
		actions = m.checkBridges(now, actions)
		actions = m.probeWhenDegraded(now, actions)
	}
	m.updateReachability(now)
	actions = m.runPendingComparisons(now, actions)
	m.expireSuspicions(now)
	m.updateIsolated(now)
	m.reportStatus(now)
	return append(actions, m.table.Tick(now)...)
}

// markFormerProcessesDead publishes the death of former processes at the address of
// this node. Monitors would detect it only some seconds later.
func (m *Membership) markFormerProcessesDead(now bulrushchute.Millis) {
	for _, dead := range m.formerProcesses {
		m.table.Publish(now, suspicionRecord(dead.ID, m.self.ID, dead.Incarnation, rankDead, now))
	}
	m.formerProcesses = nil
}

// runPendingComparisons compares digests immediately after a pause, in which the
// node may have missed many changes, after the join, and with a new inbound peer
// in the local data centre.
func (m *Membership) runPendingComparisons(now bulrushchute.Millis, actions []Action) []Action {
	if m.localComparePeer != "" {
		actions = append(actions, m.table.Compare(now, m.localComparePeer)...)
		m.localComparePeer = ""
	}
	neighbours := m.Neighbours()
	if !m.comparePending || len(neighbours) == 0 {
		return actions
	}
	m.comparePending = false
	id := neighbours[m.config.Random.IntN(len(neighbours))]
	return append(actions, m.table.Compare(now, m.links.byID[id].address)...)
}

func (m *Membership) reportStatus(now bulrushchute.Millis) {
	if m.status == m.reportedStatus {
		return
	}
	m.reportedStatus = m.status
	if m.config.OnStatus != nil {
		m.config.OnStatus(now, m.status)
	}
}

// Update publishes a new record of this node with the service, version, slots,
// start time and state of self. The ID, address, data centre and incarnation do
// not change.
func (m *Membership) Update(now bulrushchute.Millis, self bulrushchute.Instance) {
	if m.left {
		return
	}
	m.self = m.self.WithBackendServer(self.Service, self.Version, self.Slots).WithStartedAt(self.StartedAt).WithState(self.State)
	m.publishSelf(now)
}

func (m *Membership) publishSelf(now bulrushchute.Millis) {
	m.recordCounter++
	record, err := encodeMember(m.self, m.recordCounter)
	if err != nil {
		return // cannot happen: the value has only plain fields
	}
	m.table.Publish(now, record)
}

// isOwnVersion reports whether version is the one that this node last published
// for its own record.
func (m *Membership) isOwnVersion(version bulrushchute.RecordVersion) bool {
	return version == bulrushchute.RecordVersion{Epoch: m.self.Incarnation, Counter: m.recordCounter}
}

// Leave publishes that this node has left permanently. Call it after the last
// answer was sent, and keep calling Tick for about another second.
func (m *Membership) Leave(now bulrushchute.Millis) {
	if m.left {
		return
	}
	m.left = true
	m.table.Publish(now, suspicionRecord(m.self.ID, m.self.ID, m.self.Incarnation, rankDead, now))
}

// CompareWithNeighbour requests a comparison of digests with a random neighbour at
// the next Tick.
func (m *Membership) CompareWithNeighbour() {
	m.comparePending = true
}

// SetSeeds replaces the addresses to join through. Without any, the node joins
// alone.
func (m *Membership) SetSeeds(seeds []bulrushchute.Address) {
	m.seeds = seeds
	m.config.SeedsPending = false
}

// SeedsPending reports whether the addresses to join through are not known yet.
func (m *Membership) SeedsPending() bool {
	return m.config.SeedsPending
}

// SetExtraPeers sets the nodes to exchange heartbeats with in addition to the
// overlay neighbours: the lease monitors of a key home, and the homes that have
// this node as a lease monitor.
func (m *Membership) SetExtraPeers(peers []bulrushchute.InstanceID) {
	m.extraPeers = peers
	m.overlayChanged = true
}

// Self returns the last published record of this node.
func (m *Membership) Self() bulrushchute.Instance {
	return m.self
}

// Status returns the state of this node.
func (m *Membership) Status() Status {
	return m.status
}

// Member returns the member with an ID, unless it is dead or unknown.
func (m *Membership) Member(id bulrushchute.InstanceID) (bulrushchute.Instance, bool) {
	known, ok := m.members.byID[id]
	if !ok {
		return bulrushchute.Instance{}, false
	}
	return m.members.view(known), true
}

// Range calls visit for each member that is not dead, until visit returns false.
// The order depends only on the preceding calls, so simulations are reproducible.
func (m *Membership) Range(visit func(bulrushchute.Instance) bool) {
	for _, dc := range m.members.dataCentreOrder {
		for _, known := range dc.members {
			if !visit(m.members.view(known)) {
				return
			}
		}
	}
}

// Neighbours returns the overlay neighbours of this node in its data centre.
func (m *Membership) Neighbours() []bulrushchute.InstanceID {
	var ids []bulrushchute.InstanceID
	for _, l := range m.links.order {
		if l.kind == linkRing {
			ids = append(ids, l.id)
		}
	}
	return ids
}

// Reachable reports whether a data centre can be reached from the local one. A
// data centre that is not known counts as reachable.
func (m *Membership) Reachable(dataCentre bulrushchute.DataCentre) bool {
	dc, ok := m.members.dataCentres[dataCentre]
	return !ok || !dc.unreachable
}

// RoundTripMs returns the smoothed round-trip time to a peer in milliseconds.
func (m *Membership) RoundTripMs(id bulrushchute.InstanceID) (float64, bool) {
	l, ok := m.links.byID[id]
	if !ok {
		return 0, false
	}
	return l.rttMs, l.hasRTT
}

// DataCentreRoundTripMs returns the smallest smoothed round-trip time to a peer
// in a data centre, in milliseconds. For another data centre, only nodes that
// hold a bridge to it have a value.
func (m *Membership) DataCentreRoundTripMs(dataCentre bulrushchute.DataCentre) (float64, bool) {
	smallest, found := 0.0, false
	for _, l := range m.links.order {
		if l.dc.name == dataCentre && l.hasRTT && (!found || l.rttMs < smallest) {
			smallest, found = l.rttMs, true
		}
	}
	return smallest, found
}
