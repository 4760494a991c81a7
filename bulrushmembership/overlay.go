package bulrushmembership

import (
	"slices"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushspread"
)

const (
	// ringCount is the number of hash rings inside a data centre. Three rings
	// give 6 links, so 885 nodes are about 5 hops apart.
	ringCount = 3
	// bridgeCount is the number of bridge pairs between two data centres.
	bridgeCount = 3
	// ringStep is the odd constant of the splitmix64 sequence.
	ringStep = 0x9e3779b97f4a7c15
	// overlayInterval bounds how often the overlay is computed.
	overlayInterval = 500 * bulrushchute.Millisecond
)

// mix is the output function of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ringNeighbours returns the members before and after a member on each ring of
// its data centre, each once.
func ringNeighbours(self *member) []*member {
	var found []*member
	for ring := range ringCount {
		before, after := adjacent(self, ring)
		found = addMember(found, before)
		found = addMember(found, after)
	}
	return found
}

// adjacent compares distances around the ring, which wrap like unsigned numbers.
func adjacent(self *member, ring int) (before, after *member) {
	var nearestBefore, nearestAfter uint64
	place := self.rings[ring]
	for _, m := range self.home.members {
		if m == self {
			continue
		}
		if d := place - m.rings[ring]; before == nil || d < nearestBefore {
			before, nearestBefore = m, d
		}
		if d := m.rings[ring] - place; after == nil || d < nearestAfter {
			after, nearestAfter = m, d
		}
	}
	return before, after
}

func addMember(list []*member, m *member) []*member {
	if m == nil || slices.Contains(list, m) {
		return list
	}
	return append(list, m)
}

// bridgeNodes returns the members of one data centre that hold its bridges to
// another: those with the highest rendezvous hashes for this pair. A small
// data centre has one member hold several. Suspected members are left out
// while there are others, because a suspicion can stand for a minute.
func (ms *members) bridgeNodes(from, to *dataCentre) [bridgeCount]*member {
	pair := mix(from.hash) + mix(to.hash)
	var best, suspects [bridgeCount]*member
	var scores, suspectScores [bridgeCount]uint64
	able := 0
	for _, m := range from.members {
		if _, suspect := ms.suspicionOf(m.instance.ID, m.instance.Incarnation); suspect {
			insertBest(&suspects, &suspectScores, m, mix(m.hash^pair))
			continue
		}
		able++
		insertBest(&best, &scores, m, mix(m.hash^pair))
	}
	if able == 0 {
		best, able = suspects, len(from.members)
	}
	count := min(able, bridgeCount)
	for slot := count; slot < bridgeCount && count > 0; slot++ {
		best[slot] = best[slot%count]
	}
	return best
}

func insertBest(best *[bridgeCount]*member, scores *[bridgeCount]uint64, m *member, score uint64) {
	for slot := range best {
		if best[slot] == nil || score > scores[slot] {
			best[slot], m = m, best[slot]
			scores[slot], score = score, scores[slot]
		}
		if m == nil {
			return
		}
	}
}

// updateOverlay computes the links again after members came or went.
func (m *Membership) updateOverlay(now bulrushchute.Millis) {
	if !m.status.Joined || !m.overlayChanged || now < m.nextOverlay {
		return
	}
	m.overlayChanged = false
	m.nextOverlay = now + overlayInterval
	self, ok := m.members.byID[m.self.ID]
	if !ok {
		return
	}
	m.links.begin()
	for _, n := range ringNeighbours(self) {
		m.links.keep(now, m, n, linkRing)
	}
	m.updateBridges(now, self)
	for _, id := range m.peers {
		if peer, ok := m.members.byID[id]; ok && id != m.self.ID {
			m.links.keep(now, m, peer, linkExtra)
		}
	}
	m.links.end()
	m.neighboursChanged = true
	m.reachChanged = true
}

func (m *Membership) updateBridges(now bulrushchute.Millis, self *member) {
	for _, dc := range m.members.centreOrder {
		if dc == self.home || len(dc.members) == 0 {
			dc.roles = [bridgeCount]bool{}
			continue
		}
		dc.holders = m.members.bridgeNodes(self.home, dc)
		m.updateRoles(now, self, dc)
	}
}

func (m *Membership) updateRoles(now bulrushchute.Millis, self *member, dc *dataCentre) {
	held := dc.roles != [bridgeCount]bool{}
	dc.roles = [bridgeCount]bool{}
	var far [bridgeCount]*member
	for slot, holder := range dc.holders {
		if holder != self {
			continue
		}
		if far[0] == nil {
			far = m.members.bridgeNodes(dc, self.home)
		}
		if !held {
			dc.heard = now
			held = true
		}
		dc.roles[slot] = true
		m.links.keep(now, m, far[slot], linkBridge)
	}
}

// updateNeighbours tells the record table whom to announce changes to: the
// overlay neighbours and the inbound peers.
func (m *Membership) updateNeighbours(now bulrushchute.Millis) {
	if m.dropInbound(now) {
		m.neighboursChanged = true
	}
	if !m.neighboursChanged {
		return
	}
	m.neighboursChanged = false
	var neighbours []bulrushspread.Neighbour
	for _, l := range m.links.order {
		if l.kind == linkExtra {
			continue
		}
		neighbours = append(neighbours, bulrushspread.Neighbour{ID: l.id, Address: l.address, Bridge: l.kind == linkBridge})
	}
	for _, in := range m.inbound {
		if !m.links.has(in.id) {
			neighbours = append(neighbours, bulrushspread.Neighbour{ID: in.id, Address: in.address, Bridge: !in.near})
		}
	}
	m.table.SetNeighbours(neighbours)
}
