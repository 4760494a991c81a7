package bulrushmembership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"bulrushchute.example/bulrushchute"
)

const (
	// deadRetention is how long the record of a death is kept, so that a peer
	// that was cut off cannot bring the dead member back. Network partitions of
	// a region last for minutes.
	deadRetention = bulrushchute.Hour
	// refutedRetention is how long a refuted suspicion is kept.
	refutedRetention = 10 * bulrushchute.Minute
	// maxPause is the pause after which the table of a node is too old to be
	// merged.
	maxPause = deadRetention / 2
	// expiryInterval is the time between two scans for expired suspicions.
	expiryInterval = 10 * bulrushchute.Second
	// maxClockSkew is how far in the future the time of death in a received
	// record may be.
	maxClockSkew = bulrushchute.Minute
)

// member is a node that has not died or left.
type member struct {
	instance bulrushchute.Instance
	// hash determines the member's positions on the rings and its rank in the
	// choice of bridge nodes.
	hash uint64
	// ringPositions are the positions on the hash rings of the data centre.
	ringPositions [ringCount]uint64
	dc            *dataCentre
	// index is the position in dc.members.
	index int
}

// dataCentre holds the members of a data centre and the state of the bridges to
// it.
type dataCentre struct {
	name    bulrushchute.DataCentre
	hash    uint64
	members []*member
	// localBridgeNodes are the nodes of the local data centre that hold the
	// bridges to this one.
	localBridgeNodes [bridgeCount]*member
	unreachable      bool
	// ownBridges tells which of the bridges this node itself holds.
	ownBridges [bridgeCount]bool
	// lastContact is the send time of the latest heartbeat that a member of the
	// data centre acknowledged, or when this node took over a bridge to it.
	lastContact bulrushchute.Millis
	nextProbe   bulrushchute.Millis
}

// members holds the known members, the suspicions about them, and their data
// centres.
type members struct {
	byID       map[bulrushchute.InstanceID]*member
	suspicions map[bulrushchute.InstanceID]*suspicion
	// suspicionOrder lists the suspicions in the order in which they arrived.
	suspicionOrder  []*suspicion
	dataCentres     map[bulrushchute.DataCentre]*dataCentre
	dataCentreOrder []*dataCentre
	interned        map[string]string
}

func newMembers() members {
	return members{
		byID:        map[bulrushchute.InstanceID]*member{},
		suspicions:  map[bulrushchute.InstanceID]*suspicion{},
		dataCentres: map[bulrushchute.DataCentre]*dataCentre{},
		interned:    map[string]string{},
	}
}

// intern returns a shared copy of a string. Thousands of members have the same
// data centre, service and version.
func (ms *members) intern(text string) string {
	known, ok := ms.interned[text]
	if !ok {
		ms.interned[text] = text
		return text
	}
	return known
}

// ensureDataCentre returns the entry of a data centre and creates it if necessary.
func (ms *members) ensureDataCentre(name bulrushchute.DataCentre) *dataCentre {
	dc, ok := ms.dataCentres[name]
	if !ok {
		dc = &dataCentre{name: name, hash: xxhash.Sum64String(string(name))}
		ms.dataCentres[name] = dc
		ms.dataCentreOrder = append(ms.dataCentreOrder, dc)
	}
	return dc
}

// put adds or replaces a member and reports whether the overlay may have to
// change.
func (ms *members) put(instance bulrushchute.Instance) bool {
	instance.DataCentre = bulrushchute.DataCentre(ms.intern(string(instance.DataCentre)))
	instance.Service = bulrushchute.Service(ms.intern(string(instance.Service)))
	instance.Version = bulrushchute.Version(ms.intern(string(instance.Version)))
	old, ok := ms.byID[instance.ID]
	if ok && old.instance.DataCentre == instance.DataCentre && old.instance.Address == instance.Address {
		old.instance = instance
		return false
	}
	if ok {
		ms.remove(instance.ID)
	}
	m := &member{instance: instance, hash: xxhash.Sum64String(string(instance.ID))}
	for ring := range m.ringPositions {
		m.ringPositions[ring] = mix64(m.hash + uint64(ring+1)*goldenGamma)
	}
	m.dc = ms.ensureDataCentre(instance.DataCentre)
	m.index = len(m.dc.members)
	m.dc.members = append(m.dc.members, m)
	ms.byID[instance.ID] = m
	return true
}

func (ms *members) remove(id bulrushchute.InstanceID) bool {
	m, ok := ms.byID[id]
	if !ok {
		return false
	}
	delete(ms.byID, id)
	list := m.dc.members
	last := len(list) - 1
	list[m.index] = list[last]
	list[m.index].index = m.index
	list[last] = nil
	m.dc.members = list[:last]
	return true
}

// suspicionOf returns the suspicion of a member if it applies to the given
// incarnation or a later one.
func (ms *members) suspicionOf(id bulrushchute.InstanceID, incarnation uint64) (*suspicion, bool) {
	s, ok := ms.suspicions[id]
	if !ok || s.incarnation < incarnation {
		return nil, false
	}
	return s, true
}

// view returns the record of a member. A suspected member that takes work is in
// StateSuspect.
func (ms *members) view(m *member) bulrushchute.Instance {
	_, suspect := ms.suspicionOf(m.instance.ID, m.instance.Incarnation)
	if suspect && m.instance.State.TakesWork() {
		return m.instance.WithState(bulrushchute.StateSuspect)
	}
	return m.instance
}

// acceptRecord reports whether a received record may enter the table.
func (m *Membership) acceptRecord(now bulrushchute.Millis, record bulrushchute.Record) bool {
	switch record.Key.Topic {
	case bulrushchute.TopicMember:
		if _, ok := suspicionSubject(record.Key); ok {
			return m.acceptSuspicion(now, record)
		}
		return m.acceptMember(record)
	case bulrushchute.TopicDataCentre:
		_, _, ok := m.decodeReachability(record)
		return ok
	}
	return m.config.Accept == nil || m.config.Accept(now, record)
}

func (m *Membership) acceptMember(record bulrushchute.Record) bool {
	if record.Deleted {
		return false
	}
	if _, err := decodeMember(record); err != nil {
		return false
	}
	s, ok := m.members.suspicionOf(bulrushchute.InstanceID(record.Key.Name), record.Version.Epoch)
	return !ok || s.rank != rankDead
}

// obsoleteMember reports whether a version is the record of a member that is known to
// be dead. Nodes forget such records, so a request for one may never be answered.
func (m *Membership) obsoleteMember(version bulrushchute.VersionedKey) bool {
	if version.Key.Topic != bulrushchute.TopicMember {
		return false
	}
	if _, ok := suspicionSubject(version.Key); ok {
		return false
	}
	s, ok := m.members.suspicionOf(bulrushchute.InstanceID(version.Key.Name), version.Version.Epoch)
	return ok && s.rank == rankDead
}

func (m *Membership) acceptSuspicion(now bulrushchute.Millis, record bulrushchute.Record) bool {
	s, ok := decodeSuspicion(record)
	if !ok || record.Deleted {
		return false
	}
	if s.rank == rankDead && (now-s.diedAt >= deadRetention || s.diedAt-now > maxClockSkew) {
		return false
	}
	known, ok := m.members.byID[s.id]
	return !ok || known.instance.Incarnation <= s.incarnation
}

// recordChanged handles a new or changed record in the table.
func (m *Membership) recordChanged(now bulrushchute.Millis, record bulrushchute.Record) {
	switch record.Key.Topic {
	case bulrushchute.TopicMember:
		// Suspected members hold no bridges, and their reports do not count.
		m.reachabilityChanged = true
		m.overlayChanged = m.overlayChanged || m.changesSuspicion(record)
		if _, ok := suspicionSubject(record.Key); ok {
			m.suspicionChanged(now, record)
			return
		}
		m.memberChanged(now, record)
	case bulrushchute.TopicDataCentre:
		m.reachabilityChanged = true
	default:
		if m.config.OnRecord != nil {
			m.config.OnRecord(now, record)
		}
	}
}

// changesSuspicion reports whether a record may start or end a suspicion.
func (m *Membership) changesSuspicion(record bulrushchute.Record) bool {
	if _, ok := suspicionSubject(record.Key); ok {
		return true
	}
	_, ok := m.members.suspicions[bulrushchute.InstanceID(record.Key.Name)]
	return ok
}

func (m *Membership) memberChanged(now bulrushchute.Millis, record bulrushchute.Record) {
	instance, err := decodeMember(record)
	if err != nil {
		return
	}
	if instance.ID == m.self.ID && !m.isOwnVersion(record.Version) {
		// Only a faulty peer writes the record of this node. The node replaces
		// it with a higher incarnation.
		m.refuteIncarnation = max(m.refuteIncarnation, record.Version.Epoch)
		return
	}
	if instance.Address == m.self.Address && instance.ID != m.self.ID {
		m.formerProcesses = append(m.formerProcesses, instance)
	}
	if m.members.put(instance) {
		m.overlayChanged = true
	}
	m.notifyMember(now, instance.ID)
}

func (m *Membership) suspicionChanged(now bulrushchute.Millis, record bulrushchute.Record) {
	s, ok := decodeSuspicion(record)
	if !ok {
		return
	}
	if s.id == m.self.ID && s.incarnation >= m.self.Incarnation && !m.left {
		m.refuteIncarnation = max(m.refuteIncarnation, s.incarnation)
	}
	stored := m.storeSuspicion(now, s)
	if s.rank != rankDead || s.id == m.self.ID {
		m.notifyMember(now, s.id)
		return
	}
	if !m.removeDead(now, stored) {
		return
	}
	stored.confirmedAt = now
}

// storeSuspicion adds or replaces the suspicion of a member. The local times
// carry over if the incarnation is the same.
func (m *Membership) storeSuspicion(now bulrushchute.Millis, s suspicion) *suspicion {
	s.learnedAt = now
	old, ok := m.members.suspicions[s.id]
	if !ok {
		stored := &s
		m.members.suspicions[s.id] = stored
		m.members.suspicionOrder = append(m.members.suspicionOrder, stored)
		return stored
	}
	if old.incarnation == s.incarnation {
		s.learnedAt = old.learnedAt
		s.confirmedAt = old.confirmedAt
		s.dc = old.dc
	}
	*old = s
	return old
}

// removeDead removes a dead member and its record. Every node that knows of the
// death does so, and acceptMember rejects the record if it is received again.
func (m *Membership) removeDead(now bulrushchute.Millis, s *suspicion) bool {
	known, ok := m.members.byID[s.id]
	if !ok || known.instance.Incarnation > s.incarnation {
		return false
	}
	s.dc = known.dc
	m.members.remove(s.id)
	m.table.Forget(memberKey(s.id))
	m.overlayChanged = true
	if m.config.OnMember != nil {
		m.config.OnMember(now, known.instance.WithState(bulrushchute.StateDead))
	}
	return true
}

// notifyMember calls OnMember with the current view of a member.
func (m *Membership) notifyMember(now bulrushchute.Millis, id bulrushchute.InstanceID) {
	known, ok := m.members.byID[id]
	if ok && m.config.OnMember != nil {
		m.config.OnMember(now, m.members.view(known))
	}
}

// expireSuspicions removes suspicions whose retention period has ended.
func (m *Membership) expireSuspicions(now bulrushchute.Millis) {
	if now < m.nextExpiry {
		return
	}
	m.nextExpiry = now + expiryInterval
	m.members.suspicionOrder = slices.DeleteFunc(m.members.suspicionOrder, func(s *suspicion) bool {
		expired := m.suspicionExpired(now, s)
		if expired {
			delete(m.members.suspicions, s.id)
			m.table.Forget(suspicionKey(s.id))
		}
		return expired
	})
}

func (m *Membership) suspicionExpired(now bulrushchute.Millis, s *suspicion) bool {
	if s.rank == rankDead {
		return now-s.diedAt >= deadRetention
	}
	known, ok := m.members.byID[s.id]
	if !ok {
		return now-s.learnedAt >= deadRetention
	}
	return known.instance.Incarnation > s.incarnation && now-s.learnedAt >= refutedRetention
}
