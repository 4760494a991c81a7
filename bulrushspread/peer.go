package bulrushspread

import (
	"cmp"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// Classes of records, in the order in which they are sent.
const (
	// classUrgent is for all topics but member.
	classUrgent = iota
	// classSmall is for member records that are sent inline: suspicions.
	classSmall
	// classMember is for other member records.
	classMember
	classCount
)

// inlineBytes is the largest record that is sent without being asked for.
const inlineBytes = 64

const (
	// maxQueued bounds each queue for one peer. What is dropped is repaired by digests.
	maxQueued = 32_768
	// maxGuests bounds the nodes served besides neighbours, most of which are joining.
	maxGuests = 16
	guestIdle = 30 * bulrushchute.Second
)

// peer is a node that this one exchanges records with.
type peer struct {
	neighbour Neighbour
	// guest marks a node that is not a neighbour. It is answered, but gets no announcements.
	guest    bool
	lastSeen bulrushchute.Millis
	announce [classCount]queue
	deliver  [classCount]queue
	want     [classCount][]bulrushchute.RecordKey
	digests  []bulrushchute.Digest
	transfer *transfer
}

// queue holds entries to send, each at most once, in the order of arrival.
type queue struct {
	items  []*entry
	member map[*entry]struct{}
}

// push adds an entry and returns false if the queue is full.
func (q *queue) push(e *entry) bool {
	if _, ok := q.member[e]; ok {
		return true
	}
	if len(q.items) >= maxQueued {
		return false
	}
	if q.member == nil {
		q.member = map[*entry]struct{}{}
	}
	q.member[e] = struct{}{}
	q.items = append(q.items, e)
	return true
}

// remove takes an entry out. Its place in items is skipped later.
func (q *queue) remove(e *entry) {
	delete(q.member, e)
}

// pop returns the first entry that is still queued.
func (q *queue) pop() (*entry, bool) {
	for len(q.items) > 0 {
		e := q.items[0]
		q.items[0] = nil
		q.items = q.items[1:]
		if _, ok := q.member[e]; ok {
			delete(q.member, e)
			if !e.forgotten {
				return e, true
			}
		}
	}
	q.items = nil
	return nil, false
}

func (q *queue) empty() bool {
	return len(q.member) == 0
}

// SetNeighbours replaces the nodes to which changes are announced.
func (t *Table) SetNeighbours(neighbours []Neighbour) {
	kept := make(map[bulrushchute.Address]bool, len(neighbours))
	for _, n := range neighbours {
		kept[n.Address] = true
		p, ok := t.peers[n.Address]
		if !ok {
			p = t.addPeer(n)
		}
		p.neighbour = n
		p.guest = false
	}
	for _, p := range t.order {
		if !kept[p.neighbour.Address] && !p.guest {
			p.guest = true
			p.announce = [classCount]queue{}
		}
	}
}

// Offer queues one record for a node whether or not it is a neighbour, for
// example a suspicion for the member that it concerns.
func (t *Table) Offer(now bulrushchute.Millis, to bulrushchute.Address, key bulrushchute.RecordKey) {
	e, ok := t.entries[key]
	if !ok {
		return
	}
	if p := t.peerAt(now, to); p != nil {
		p.announce[classOf(e)].push(e)
	}
}

func (t *Table) addPeer(n Neighbour) *peer {
	p := &peer{neighbour: n}
	t.peers[n.Address] = p
	t.order = append(t.order, p)
	return p
}

// peerAt returns the peer at an address and makes it a guest if it is new. It
// returns nil when there are too many guests and all of them are being served.
func (t *Table) peerAt(now bulrushchute.Millis, address bulrushchute.Address) *peer {
	p, ok := t.peers[address]
	if !ok {
		if !t.makeRoom() {
			return nil
		}
		p = t.addPeer(Neighbour{Address: address})
		p.guest = true
	}
	p.lastSeen = now
	return p
}

// makeRoom removes the idle guest that was silent for longest if there are too
// many. To a node that joins, all others are guests, and more of them write to it
// than there are places. A guest whose digest is awaited goes last.
func (t *Table) makeRoom() bool {
	var guests []*peer
	for _, p := range t.order {
		if p.guest {
			guests = append(guests, p)
		}
	}
	if len(guests) < maxGuests {
		return true
	}
	guests = slices.DeleteFunc(guests, func(p *peer) bool { return !p.idle() })
	if len(guests) == 0 {
		return false
	}
	longest := slices.MinFunc(guests, func(a, b *peer) int {
		if awaited := t.comparing[a.neighbour.Address]; awaited != t.comparing[b.neighbour.Address] {
			if awaited {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.lastSeen, b.lastSeen)
	})
	t.dropPeers(func(p *peer) bool { return p == longest })
	return true
}

// idle reports whether nothing is left to send to the peer.
func (p *peer) idle() bool {
	if p.transfer != nil || len(p.digests) > 0 {
		return false
	}
	for class := range classCount {
		if !p.announce[class].empty() || !p.deliver[class].empty() || len(p.want[class]) > 0 {
			return false
		}
	}
	return true
}

// dropGuests removes guests that have been silent for guestIdle.
func (t *Table) dropGuests(now bulrushchute.Millis) {
	t.dropPeers(func(p *peer) bool { return p.guest && now-p.lastSeen > guestIdle })
}

func (t *Table) dropPeers(dropped func(*peer) bool) {
	t.order = slices.DeleteFunc(t.order, func(p *peer) bool {
		if !dropped(p) {
			return false
		}
		delete(t.peers, p.neighbour.Address)
		delete(t.comparing, p.neighbour.Address)
		return true
	})
}

func classOf(e *entry) int {
	if e.record.Key.Topic != bulrushchute.TopicMember {
		return classUrgent
	}
	if sizeRecord(&e.record) <= inlineBytes {
		return classSmall
	}
	return classMember
}

// classOfKey is classOf for a record that this node does not hold.
func classOfKey(key bulrushchute.RecordKey) int {
	if key.Topic != bulrushchute.TopicMember {
		return classUrgent
	}
	return classMember
}
