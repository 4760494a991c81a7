package bulrushmembership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"bulrushchute.example/bulrushchute"
)

const (
	// deadRetention is how long a dead member is remembered, so that a peer that was cut off
	// cannot bring its record back. Regions are cut off for minutes.
	deadRetention = bulrushchute.Hour
	// refutedRetention is how long a refuted suspicion is kept.
	refutedRetention = 10 * bulrushchute.Minute
	// maxPause is the pause after which a node's table is too old to be merged.
	maxPause = deadRetention / 2
	// expiryInterval is the time between two searches for what has expired.
	expiryInterval = 10 * bulrushchute.Second
	// maxClockSkew bounds the time of death in a received record.
	maxClockSkew = bulrushchute.Minute
)

// member is a node that is not dead.
type member struct {
	instance bulrushchute.Instance
	// hash is the base of the member's places in the overlay.
	hash uint64
	// rings holds the places on the hash rings of the member's data centre.
	rings [ringCount]uint64
	home  *dataCentre
	at    int
}

// dataCentre groups the members of one data centre.
type dataCentre struct {
	name    bulrushchute.DataCentre
	hash    uint64
	members []*member
	// holders are the nodes of this node's own data centre that hold the
	// bridges to this one.
	holders     [bridgeCount]*member
	unreachable bool
	// roles are the bridges that this node itself holds.
	roles [bridgeCount]bool
	// heard is when a member of the data centre last answered this node.
	heard     bulrushchute.Millis
	nextProbe bulrushchute.Millis
}

// members is the table of members and of what monitors say of them.
type members struct {
	byID       map[bulrushchute.InstanceID]*member
	suspicions map[bulrushchute.InstanceID]*suspicion
	// order lists suspicions in the order in which they were learned.
	order       []*suspicion
	centres     map[bulrushchute.DataCentre]*dataCentre
	centreOrder []*dataCentre
	texts       map[string]string
}

func newMembers() members {
	return members{
		byID:       map[bulrushchute.InstanceID]*member{},
		suspicions: map[bulrushchute.InstanceID]*suspicion{},
		centres:    map[bulrushchute.DataCentre]*dataCentre{},
		texts:      map[string]string{},
	}
}

// intern returns one shared copy of a text, because thousands of members have
// the same data centre, service and version.
func (ms *members) intern(text string) string {
	known, ok := ms.texts[text]
	if !ok {
		ms.texts[text] = text
		return text
	}
	return known
}

func (ms *members) centre(name bulrushchute.DataCentre) *dataCentre {
	dc, ok := ms.centres[name]
	if !ok {
		dc = &dataCentre{name: name, hash: xxhash.Sum64String(string(name))}
		ms.centres[name] = dc
		ms.centreOrder = append(ms.centreOrder, dc)
	}
	return dc
}

// put adds or replaces a member and reports whether the overlay may change.
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
	for ring := range m.rings {
		m.rings[ring] = mix(m.hash + uint64(ring+1)*ringStep)
	}
	m.home = ms.centre(instance.DataCentre)
	m.at = len(m.home.members)
	m.home.members = append(m.home.members, m)
	ms.byID[instance.ID] = m
	return true
}

func (ms *members) remove(id bulrushchute.InstanceID) bool {
	m, ok := ms.byID[id]
	if !ok {
		return false
	}
	delete(ms.byID, id)
	list := m.home.members
	last := len(list) - 1
	list[m.at] = list[last]
	list[m.at].at = m.at
	list[last] = nil
	m.home.members = list[:last]
	return true
}

// suspicionOf returns the current suspicion of an incarnation or a later one.
func (ms *members) suspicionOf(id bulrushchute.InstanceID, incarnation uint64) (*suspicion, bool) {
	s, ok := ms.suspicions[id]
	if !ok || s.incarnation < incarnation {
		return nil, false
	}
	return s, true
}

// view returns a member as others should see it.
func (ms *members) view(m *member) bulrushchute.Instance {
	_, suspect := ms.suspicionOf(m.instance.ID, m.instance.Incarnation)
	if suspect && m.instance.State.TakesWork() {
		return m.instance.WithState(bulrushchute.StateSuspect)
	}
	return m.instance
}

// accept decides whether a received record may enter the table.
func (m *Membership) accept(now bulrushchute.Millis, record bulrushchute.Record) bool {
	switch record.Key.Topic {
	case bulrushchute.TopicMember:
		if _, ok := suspected(record.Key); ok {
			return m.acceptSuspicion(now, record)
		}
		return m.acceptMember(record)
	case bulrushchute.TopicDataCentre:
		_, _, ok := m.decodeReach(record)
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

func (m *Membership) acceptSuspicion(now bulrushchute.Millis, record bulrushchute.Record) bool {
	s, ok := decodeSuspicion(record)
	if !ok || record.Deleted {
		return false
	}
	if s.rank == rankDead && (now-s.died >= deadRetention || s.died-now > maxClockSkew) {
		return false
	}
	known, ok := m.members.byID[s.id]
	return !ok || known.instance.Incarnation <= s.incarnation
}

// change follows a record that entered the table.
func (m *Membership) change(now bulrushchute.Millis, record bulrushchute.Record) {
	switch record.Key.Topic {
	case bulrushchute.TopicMember:
		// Suspected members hold no bridges and their reports do not count.
		m.reachChanged = true
		m.overlayChanged = m.overlayChanged || m.suspicionMatters(record)
		if _, ok := suspected(record.Key); ok {
			m.changeSuspicion(now, record)
			return
		}
		m.changeMember(now, record)
	case bulrushchute.TopicDataCentre:
		m.reachChanged = true
	default:
		if m.config.OnRecord != nil {
			m.config.OnRecord(now, record)
		}
	}
}

// suspicionMatters reports whether a record begins or ends a suspicion.
func (m *Membership) suspicionMatters(record bulrushchute.Record) bool {
	if _, ok := suspected(record.Key); ok {
		return true
	}
	_, ok := m.members.suspicions[bulrushchute.InstanceID(record.Key.Name)]
	return ok
}

func (m *Membership) changeMember(now bulrushchute.Millis, record bulrushchute.Record) {
	instance, err := decodeMember(record)
	if err != nil {
		return
	}
	if instance.ID == m.self.ID && !m.ownVersion(record.Version) {
		// Only a faulty peer writes this node's record. A newer incarnation replaces it.
		m.refute = max(m.refute, record.Version.Epoch)
		return
	}
	if instance.Address == m.self.Address && instance.ID != m.self.ID {
		m.predecessors = append(m.predecessors, instance)
	}
	if m.members.put(instance) {
		m.overlayChanged = true
	}
	m.notify(now, instance.ID)
}

func (m *Membership) changeSuspicion(now bulrushchute.Millis, record bulrushchute.Record) {
	s, ok := decodeSuspicion(record)
	if !ok {
		return
	}
	if s.id == m.self.ID && s.incarnation >= m.self.Incarnation && !m.left {
		m.refute = max(m.refute, s.incarnation)
	}
	kept := m.keepSuspicion(now, s)
	if s.rank != rankDead || s.id == m.self.ID {
		m.notify(now, s.id)
		return
	}
	if !m.bury(now, kept) {
		return
	}
	kept.confirmed = now
}

func (m *Membership) keepSuspicion(now bulrushchute.Millis, s suspicion) *suspicion {
	s.learned = now
	old, ok := m.members.suspicions[s.id]
	if !ok {
		kept := &s
		m.members.suspicions[s.id] = kept
		m.members.order = append(m.members.order, kept)
		return kept
	}
	if old.incarnation == s.incarnation {
		s.learned = old.learned
		s.confirmed = old.confirmed
		s.home = old.home
	}
	*old = s
	return old
}

// bury removes a dead member. Its record is dropped on every node that knows
// of the death, and acceptMember refuses its return.
func (m *Membership) bury(now bulrushchute.Millis, s *suspicion) bool {
	known, ok := m.members.byID[s.id]
	if !ok || known.instance.Incarnation > s.incarnation {
		return false
	}
	s.home = known.home
	m.members.remove(s.id)
	m.table.Forget(memberKey(s.id))
	m.overlayChanged = true
	if m.config.OnMember != nil {
		m.config.OnMember(now, known.instance.WithState(bulrushchute.StateDead))
	}
	return true
}

func (m *Membership) notify(now bulrushchute.Millis, id bulrushchute.InstanceID) {
	known, ok := m.members.byID[id]
	if ok && m.config.OnMember != nil {
		m.config.OnMember(now, m.members.view(known))
	}
}

// expire drops suspicions that no longer matter.
func (m *Membership) expire(now bulrushchute.Millis) {
	if now < m.nextExpiry {
		return
	}
	m.nextExpiry = now + expiryInterval
	m.members.order = slices.DeleteFunc(m.members.order, func(s *suspicion) bool {
		expired := m.expired(now, s)
		if expired {
			delete(m.members.suspicions, s.id)
			m.table.Forget(suspicionKey(s.id))
		}
		return expired
	})
}

func (m *Membership) expired(now bulrushchute.Millis, s *suspicion) bool {
	if s.rank == rankDead {
		return now-s.died >= deadRetention
	}
	known, ok := m.members.byID[s.id]
	if !ok {
		return now-s.learned >= deadRetention
	}
	return known.instance.Incarnation > s.incarnation && now-s.learned >= refutedRetention
}
