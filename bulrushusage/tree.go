package bulrushusage

import (
	"github.com/cespare/xxhash/v2"

	"bulrushchute.example/bulrushchute"
)

// Constants of the tree's shape.
const (
	// maxGroupMembers is the highest average number of members of a group.
	maxGroupMembers = 16
	// maxBits allows a million nodes in a data centre.
	maxBits = 16
	// rebuildInterval limits how often the tree is computed from the members.
	rebuildInterval = bulrushchute.Second
	// rememberMs is how long a former member is still accepted as a sender.
	rememberMs = 2 * bulrushchute.Minute
)

// group identifies a group of a data centre: the members for which the first bits
// of the hash of their ID equal number.
type group struct {
	bits   int
	number uint32
}

func groupOf(id bulrushchute.InstanceID, bits int) group {
	if bits == 0 {
		return group{}
	}
	hash := xxhash.Sum64String("usage/group/" + string(id))
	return group{bits: bits, number: uint32(hash >> (64 - bits))}
}

// Ranks of members in the choice of a collector. The hash decides between members
// of the same rank.
const (
	rankReliable = iota
	rankSuspect
	rankLeaving
)

// member is a member of the node's own data centre that is not dead.
type member struct {
	id      bulrushchute.InstanceID
	address bulrushchute.Address
	rank    int
}

// tree is the shape of the tree as this node sees it. It contains the node itself
// even if the list of members does not.
type tree struct {
	self       bulrushchute.InstanceID
	dataCentre bulrushchute.DataCentre
	// stopping is set if the node itself is no longer a collector.
	stopping bool

	pending   []bulrushchute.Instance
	changed   bool
	rebuiltAt bulrushchute.Millis

	// version increases with each change of the fields below.
	version uint64
	local   []member
	living  map[bulrushchute.InstanceID]bool
	// lastSeen and lastSeenIn hold when each member of the node's own data centre, and
	// each data centre, was last in the list, also as dead.
	lastSeen   map[bulrushchute.InstanceID]bulrushchute.Millis
	lastSeenIn map[bulrushchute.DataCentre]bulrushchute.Millis
	// sizes is the number of members of each data centre that are not dead.
	sizes map[bulrushchute.DataCentre]int
	bits  int

	// collectors and groups are computed when they are needed.
	collectors map[place]member
	groups     map[int]map[uint32][]bulrushchute.InstanceID
}

func newTree(self bulrushchute.InstanceID, dataCentre bulrushchute.DataCentre) *tree {
	t := &tree{
		self:       self,
		dataCentre: dataCentre,
		lastSeen:   make(map[bulrushchute.InstanceID]bulrushchute.Millis),
		lastSeenIn: make(map[bulrushchute.DataCentre]bulrushchute.Millis),
	}
	t.rebuild(0)
	return t
}

func (t *tree) setMembers(members []bulrushchute.Instance) {
	t.pending, t.changed = members, true
}

// refresh takes a new list of members into account. A stopping node must know its
// successor before it ends.
func (t *tree) refresh(now bulrushchute.Millis) {
	if t.changed && (t.version == 1 || t.stopping || now >= t.rebuiltAt+rebuildInterval) {
		t.rebuild(now)
	}
}

func (t *tree) rebuild(now bulrushchute.Millis) {
	t.version++
	t.changed, t.rebuiltAt = false, now
	t.local = t.local[:0]
	t.living = make(map[bulrushchute.InstanceID]bool)
	t.sizes = make(map[bulrushchute.DataCentre]int)
	t.collectors = make(map[place]member)
	t.groups = make(map[int]map[uint32][]bulrushchute.InstanceID)
	t.lastSeen[t.self], t.lastSeenIn[t.dataCentre] = now, now
	t.add(member{id: t.self, rank: t.selfRank()})
	for i := range t.pending {
		t.addInstance(now, &t.pending[i])
	}
	forgetBefore(t.lastSeen, now-rememberMs)
	forgetBefore(t.lastSeenIn, now-rememberMs)
	t.bits = bitsFor(len(t.local))
}

func forgetBefore[K comparable](lastSeen map[K]bulrushchute.Millis, limit bulrushchute.Millis) {
	for key, seen := range lastSeen {
		if seen < limit {
			delete(lastSeen, key)
		}
	}
}

func (t *tree) selfRank() int {
	if t.stopping {
		return rankLeaving
	}
	return rankReliable
}

func (t *tree) addInstance(now bulrushchute.Millis, instance *bulrushchute.Instance) {
	if instance.ID == t.self {
		return
	}
	local := instance.DataCentre == t.dataCentre
	if local {
		t.lastSeen[instance.ID] = now
	} else if t.sizes[instance.DataCentre] == 0 {
		t.lastSeenIn[instance.DataCentre] = now
	}
	switch {
	case instance.State == bulrushchute.StateDead:
	case local:
		t.add(memberOf(instance))
	default:
		t.sizes[instance.DataCentre]++
	}
}

func memberOf(instance *bulrushchute.Instance) member {
	rank := rankReliable
	switch instance.State {
	case bulrushchute.StateSuspect:
		rank = rankSuspect
	case bulrushchute.StateLeaving:
		rank = rankLeaving
	}
	return member{id: instance.ID, address: instance.Address, rank: rank}
}

func (t *tree) add(m member) {
	t.local = append(t.local, m)
	t.sizes[t.dataCentre]++
	t.living[m.id] = true
}

// bitsFor returns the smallest b for which members / 2^b is at most
// maxGroupMembers.
func bitsFor(members int) int {
	bits := 0
	for bits < maxBits && members > maxGroupMembers<<bits {
		bits++
	}
	return bits
}

// collector returns the member of the place's data centre that comes first in the
// order of the place.
func (t *tree) collector(at place) member {
	if cached, exists := t.collectors[at]; exists {
		return cached
	}
	members := t.local
	if at.dataCentre != t.dataCentre {
		members = t.membersIn(at.dataCentre)
	}
	purpose := at.purpose()
	buffer := []byte(purpose)
	var first member
	var firstHash uint64
	for i, m := range members {
		buffer = append(buffer[:len(purpose)], m.id...)
		hash := xxhash.Sum64(buffer)
		if i == 0 || m.rank < first.rank || m.rank == first.rank && hash < firstHash {
			first, firstHash = m, hash
		}
	}
	t.collectors[at] = first
	return first
}

// membersIn returns the members of another data centre.
func (t *tree) membersIn(dataCentre bulrushchute.DataCentre) []member {
	var members []member
	for _, instance := range t.pending {
		if instance.DataCentre == dataCentre && instance.State != bulrushchute.StateDead {
			members = append(members, memberOf(&instance))
		}
	}
	return members
}

// membersOf returns the members of a group.
func (t *tree) membersOf(g group) []bulrushchute.InstanceID {
	return t.groupsOf(g.bits)[g.number]
}

// groupsOf returns the members of each group that has any.
func (t *tree) groupsOf(bits int) map[uint32][]bulrushchute.InstanceID {
	groups, exists := t.groups[bits]
	if !exists {
		groups = make(map[uint32][]bulrushchute.InstanceID)
		for _, m := range t.local {
			number := groupOf(m.id, bits).number
			groups[number] = append(groups[number], m.id)
		}
		t.groups[bits] = groups
	}
	return groups
}

// knows reports whether a node is, or recently was, a member of the data centre.
func (t *tree) knows(id bulrushchute.InstanceID) bool {
	_, known := t.lastSeen[id]
	return known
}

// knowsDataCentre reports whether a data centre has, or recently had, members.
func (t *tree) knowsDataCentre(dataCentre bulrushchute.DataCentre) bool {
	_, known := t.lastSeenIn[dataCentre]
	return known
}

// alone reports whether the node knows no other member of its data centre.
func (t *tree) alone() bool {
	return len(t.local) == 1
}
