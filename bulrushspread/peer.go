package bulrushspread

import (
	"cmp"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// Send priorities of records, highest first.
const (
	// priorityUrgent is for records of all topics except TopicMember.
	priorityUrgent = iota
	// prioritySmallMember is for member records that are sent inline:
	// suspicions.
	prioritySmallMember
	// priorityMember is for all other member records.
	priorityMember
	priorityCount
)

// maxInlineBytes is the size of the largest record that is sent inline: to
// announce a change, the record itself is sent instead of its version.
const maxInlineBytes = 64

const (
	// maxQueued limits the length of each queue of a peer. Digest comparisons
	// repair what is dropped.
	maxQueued = 32_768
	// maxTransientPeers limits the number of peers besides neighbours, most of
	// which are joining.
	maxTransientPeers    = 16
	transientPeerTimeout = 30 * bulrushchute.Second
)

// peer is a node with which this node exchanges records.
type peer struct {
	neighbour Neighbour
	// transient marks a peer that is not a neighbour. Its messages are
	// answered, but changes are not announced to it.
	transient bool
	lastSeen  bulrushchute.Millis
	// announcements are the changes to announce to the peer, deliveries the
	// records that it requested, and wants the records to request from it.
	announcements [priorityCount]queue
	deliveries    [priorityCount]queue
	wants         [priorityCount][]bulrushchute.RecordKey
	// digests contains the digest to send next, if any.
	digests  []bulrushchute.Digest
	transfer *transfer
}

// queue is a FIFO queue of entries to send, each queued at most once.
type queue struct {
	items  []*entry
	queued map[*entry]struct{}
}

// push adds an entry if it is not queued yet. It returns false if the queue is
// full.
func (q *queue) push(e *entry) bool {
	if _, ok := q.queued[e]; ok {
		return true
	}
	if len(q.items) >= maxQueued {
		return false
	}
	if q.queued == nil {
		q.queued = map[*entry]struct{}{}
	}
	q.queued[e] = struct{}{}
	q.items = append(q.items, e)
	return true
}

// remove takes an entry out of the queue. Its position in items is skipped by
// pop.
func (q *queue) remove(e *entry) {
	delete(q.queued, e)
}

// pop removes and returns the first entry that is still queued.
func (q *queue) pop() (*entry, bool) {
	for len(q.items) > 0 {
		e := q.items[0]
		q.items[0] = nil
		q.items = q.items[1:]
		if _, ok := q.queued[e]; ok {
			delete(q.queued, e)
			if !e.forgotten {
				return e, true
			}
		}
	}
	q.items = nil
	return nil, false
}

func (q *queue) empty() bool {
	return len(q.queued) == 0
}

// SetNeighbours replaces the nodes to which changes are announced.
func (t *Table) SetNeighbours(neighbours []Neighbour) {
	current := make(map[bulrushchute.Address]bool, len(neighbours))
	for _, n := range neighbours {
		current[n.Address] = true
		p, ok := t.peers[n.Address]
		if !ok {
			p = t.addPeer(n)
		}
		p.neighbour = n
		p.transient = false
	}
	for _, p := range t.peerOrder {
		if !current[p.neighbour.Address] && !p.transient {
			p.transient = true
			p.announcements = [priorityCount]queue{}
		}
	}
}

// AnnounceTo queues an announcement of one record to a node that need not be a
// neighbour, for example of a suspicion to the member that it concerns.
func (t *Table) AnnounceTo(now bulrushchute.Millis, to bulrushchute.Address, key bulrushchute.RecordKey) {
	e, ok := t.entries[key]
	if !ok {
		return
	}
	if p := t.getOrAddPeer(now, to); p != nil {
		p.announcements[priorityOf(e)].push(e)
	}
}

func (t *Table) addPeer(n Neighbour) *peer {
	p := &peer{neighbour: n}
	t.peers[n.Address] = p
	t.peerOrder = append(t.peerOrder, p)
	return p
}

// getOrAddPeer returns the peer at an address and adds it as a transient peer
// if it is unknown. It returns nil if there are too many transient peers and
// none of them is idle.
func (t *Table) getOrAddPeer(now bulrushchute.Millis, address bulrushchute.Address) *peer {
	p, ok := t.peers[address]
	if !ok {
		if !t.ensurePeerCapacity() {
			return nil
		}
		p = t.addPeer(Neighbour{Address: address})
		p.transient = true
	}
	p.lastSeen = now
	return p
}

// ensurePeerCapacity removes the idle transient peer that has been silent for
// longest if there are too many, and returns false if none is idle. To a
// joining node all others are transient peers, and more of them send to it than
// maxTransientPeers. A peer whose reply to a comparison is pending is removed
// last.
func (t *Table) ensurePeerCapacity() bool {
	var transientPeers []*peer
	for _, p := range t.peerOrder {
		if p.transient {
			transientPeers = append(transientPeers, p)
		}
	}
	if len(transientPeers) < maxTransientPeers {
		return true
	}
	transientPeers = slices.DeleteFunc(transientPeers, func(p *peer) bool { return !p.idle() })
	if len(transientPeers) == 0 {
		return false
	}
	victim := slices.MinFunc(transientPeers, func(a, b *peer) int {
		if pending := t.pendingComparisons[a.neighbour.Address]; pending != t.pendingComparisons[b.neighbour.Address] {
			if pending {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.lastSeen, b.lastSeen)
	})
	t.removePeers(func(p *peer) bool { return p == victim })
	return true
}

// idle reports whether nothing is left to send to the peer.
func (p *peer) idle() bool {
	if p.transfer != nil || len(p.digests) > 0 {
		return false
	}
	for priority := range priorityCount {
		if !p.announcements[priority].empty() || !p.deliveries[priority].empty() || len(p.wants[priority]) > 0 {
			return false
		}
	}
	return true
}

// removeSilentPeers removes transient peers that have been silent for more than
// transientPeerTimeout.
func (t *Table) removeSilentPeers(now bulrushchute.Millis) {
	t.removePeers(func(p *peer) bool { return p.transient && now-p.lastSeen > transientPeerTimeout })
}

func (t *Table) removePeers(remove func(*peer) bool) {
	t.peerOrder = slices.DeleteFunc(t.peerOrder, func(p *peer) bool {
		if !remove(p) {
			return false
		}
		delete(t.peers, p.neighbour.Address)
		delete(t.pendingComparisons, p.neighbour.Address)
		return true
	})
}

func priorityOf(e *entry) int {
	if e.record.Key.Topic != bulrushchute.TopicMember {
		return priorityUrgent
	}
	if sizeRecord(&e.record) <= maxInlineBytes {
		return prioritySmallMember
	}
	return priorityMember
}

// priorityOfKey returns the priority of a record that this node does not hold.
func priorityOfKey(key bulrushchute.RecordKey) int {
	if key.Topic != bulrushchute.TopicMember {
		return priorityUrgent
	}
	return priorityMember
}
