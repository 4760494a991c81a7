package bulrushmembership

import (
	"slices"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushspread"
)

const (
	// ringCount is the number of hash rings in a data centre. Three rings give
	// each node up to 6 links, so that 885 nodes are about 5 hops apart.
	ringCount = 3
	// bridgeCount is the number of bridges between two data centres.
	bridgeCount = 3
	// goldenGamma is the increment of the splitmix64 generator.
	goldenGamma = 0x9e3779b97f4a7c15
	// overlayInterval is the minimum time between two computations of the
	// overlay.
	overlayInterval = 500 * bulrushchute.Millisecond
)

// mix64 is the output function of the splitmix64 generator.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ringNeighbours returns the predecessor and the successor of a member on each
// ring of its data centre, without duplicates.
func ringNeighbours(self *member) []*member {
	var found []*member
	for ring := range ringCount {
		before, after := adjacent(self, ring)
		found = appendUnique(found, before)
		found = appendUnique(found, after)
	}
	return found
}

// adjacent returns the predecessor and the successor of a member on a ring. The
// unsigned differences of positions are distances around the ring.
func adjacent(self *member, ring int) (before, after *member) {
	var nearestBefore, nearestAfter uint64
	position := self.ringPositions[ring]
	for _, m := range self.dc.members {
		if m == self {
			continue
		}
		if d := position - m.ringPositions[ring]; before == nil || d < nearestBefore {
			before, nearestBefore = m, d
		}
		if d := m.ringPositions[ring] - position; after == nil || d < nearestAfter {
			after, nearestAfter = m, d
		}
	}
	return before, after
}

func appendUnique(list []*member, m *member) []*member {
	if m == nil || slices.Contains(list, m) {
		return list
	}
	return append(list, m)
}

// bridgeNodes returns the members of one data centre that hold its bridges to
// another. They are chosen by rendezvous hashing over the pair of data centres.
// In a small data centre, a member may hold several bridges. Suspected members
// are chosen only if there are no others, because a suspicion can last a minute.
func (ms *members) bridgeNodes(from, to *dataCentre) [bridgeCount]*member {
	pair := mix64(from.hash) + mix64(to.hash)
	var best, suspects [bridgeCount]*member
	var scores, suspectScores [bridgeCount]uint64
	available := 0
	for _, m := range from.members {
		if _, suspect := ms.suspicionOf(m.instance.ID, m.instance.Incarnation); suspect {
			insertBest(&suspects, &suspectScores, m, mix64(m.hash^pair))
			continue
		}
		available++
		insertBest(&best, &scores, m, mix64(m.hash^pair))
	}
	if available == 0 {
		best, available = suspects, len(from.members)
	}
	filled := min(available, bridgeCount)
	for i := filled; i < bridgeCount && filled > 0; i++ {
		best[i] = best[i%filled]
	}
	return best
}

// insertBest inserts a member into best, which is sorted by descending score, and
// drops the last one.
func insertBest(best *[bridgeCount]*member, scores *[bridgeCount]uint64, m *member, score uint64) {
	for i := range best {
		if best[i] == nil || score > scores[i] {
			best[i], m = m, best[i]
			scores[i], score = score, scores[i]
		}
		if m == nil {
			return
		}
	}
}

// updateOverlay recomputes the links after a change of the members, suspicions or
// extra peers.
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
	m.links.unmarkAll()
	for _, n := range ringNeighbours(self) {
		m.links.mark(now, m, n, linkRing)
	}
	m.updateBridges(now, self)
	for _, id := range m.extraPeers {
		if peer, ok := m.members.byID[id]; ok && id != m.self.ID {
			m.links.mark(now, m, peer, linkExtra)
		}
	}
	m.links.sweep()
	m.neighboursChanged = true
	m.reachabilityChanged = true
}

// updateBridges recomputes the bridges from the local data centre to all others.
func (m *Membership) updateBridges(now bulrushchute.Millis, self *member) {
	for _, remote := range m.members.dataCentreOrder {
		if remote == self.dc || len(remote.members) == 0 {
			remote.ownBridges = [bridgeCount]bool{}
			continue
		}
		remote.localBridgeNodes = m.members.bridgeNodes(self.dc, remote)
		m.updateOwnBridges(now, self, remote)
	}
}

// updateOwnBridges adds the links for the bridges to remote that this node holds.
func (m *Membership) updateOwnBridges(now bulrushchute.Millis, self *member, remote *dataCentre) {
	held := remote.ownBridges != [bridgeCount]bool{}
	remote.ownBridges = [bridgeCount]bool{}
	var remoteBridgeNodes [bridgeCount]*member
	for bridge, node := range remote.localBridgeNodes {
		if node != self {
			continue
		}
		if remoteBridgeNodes[0] == nil {
			remoteBridgeNodes = m.members.bridgeNodes(remote, self.dc)
		}
		if !held {
			remote.lastContact = now
			held = true
		}
		remote.ownBridges[bridge] = true
		m.links.mark(now, m, remoteBridgeNodes[bridge], linkBridge)
	}
}

// updateNeighbours sets the neighbours to which the record table announces
// changes: the overlay neighbours and the inbound peers.
func (m *Membership) updateNeighbours(now bulrushchute.Millis) {
	if m.expireInboundPeers(now) {
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
	for _, in := range m.inboundPeers {
		if !m.links.has(in.id) {
			neighbours = append(neighbours, bulrushspread.Neighbour{ID: in.id, Address: in.address, Bridge: !in.local})
		}
	}
	m.table.SetNeighbours(neighbours)
}
