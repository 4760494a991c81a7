package bulrushfreshness

import (
	"math"
	"math/rand/v2"

	"bulrushchute.example/bulrushchute"
)

const (
	// ConfirmInterval is the age of the last confirmation at which the first reader
	// of a data centre reads the store.
	ConfirmInterval = 650 * bulrushchute.Millisecond
	// unconfirmedAfter is the age of the last confirmation at which any other node
	// starts to read the store itself. It allows for one confirmation that is lost
	// or late.
	unconfirmedAfter = 1250 * bulrushchute.Millisecond
	// turnDelay is the time that a confirmation takes to the first readers of other
	// data centres, and maxTurnDelay the longest delay of a first reader.
	turnDelay    = 150 * bulrushchute.Millisecond
	maxTurnDelay = 450 * bulrushchute.Millisecond
	// readSpread is the time over which the nodes that miss a confirmation spread
	// their reads, see readDelay.
	readSpread = 400 * bulrushchute.Millisecond
	// firstReadSpread replaces readSpread for the first read of a node that starts, of
	// at most maxNodes that may start at the same time.
	firstReadSpread = 300 * bulrushchute.Millisecond
	maxNodes        = 1 << 15
	// MaxAge is the age of the last confirmation up to which a copy counts as
	// current. Within it, a node that has missed confirmations has read the store
	// itself. A change must be in force 2 s after its acknowledgement.
	MaxAge = 1750 * bulrushchute.Millisecond
	// compareDelay is the time that the records themselves may take longer than the
	// confirmation that covers them.
	compareDelay = 150 * bulrushchute.Millisecond
	// behindReadDelay is the time after which a copy that is behind a confirmation,
	// and that a comparison with a neighbour has not repaired, is read from the
	// store.
	behindReadDelay = 300 * bulrushchute.Millisecond
	// Delays after failed reads. The maximum grows with the fleet, so that all nodes
	// together ask a store that is down at a bounded rate.
	minRetryDelay       = 500 * bulrushchute.Millisecond
	maxRetryDelay       = 2 * bulrushchute.Second
	maxReaderRetryDelay = bulrushchute.Second
	retryDelayPerNode   = 5 * bulrushchute.Millisecond
)

// Summary identifies a state of a copy of the catalogue.
type Summary struct {
	// Hash covers the keys and versions of all objects that exist.
	Hash uint64
	// Newest is the newest store version in the copy, including deletions.
	Newest uint64
	// Incomplete is set while an object of the copy is not in force in its newest
	// version, which waits to be applied or cannot be read.
	Incomplete bool
}

// matches reports whether the copy has what a confirmation covers, and all of it is in
// force.
func (s Summary) matches(confirmation Confirmation) bool {
	return s.Hash == confirmation.Hash && !s.Incomplete
}

// Confirmation states that a consistent read of the store at a revision found the
// objects that Hash covers.
type Confirmation struct {
	Revision uint64
	Hash     uint64
	// Age is the time since the read.
	Age bulrushchute.Millis
}

// Role is what a node knows of its part in the fleet.
type Role struct {
	// FirstReader is set for the first reader of a data centre, which confirms the
	// catalogue for the others.
	FirstReader bool
	// Turn is the position of the node's data centre among all of them. The first
	// reader of the first one confirms for the fleet unless it is late.
	Turn int
	// Nodes is the number of nodes known, including this one.
	Nodes int
}

// Action is what a node has to do next.
type Action uint8

// Actions of a Tracker.
const (
	ActionNone Action = iota
	// ActionCompare asks to compare records with a neighbour.
	ActionCompare
	// ActionRead asks to read the catalogue from the store. Its end is reported with
	// ReadEnded.
	ActionRead
)

// Tracker tracks the age of the last confirmation of one node's copy.
type Tracker struct {
	random *rand.Rand
	copied Summary
	// confirmedAt is when the copy was last known to be current, if confirmed is
	// set, or else when the wait for the first confirmation began.
	confirmedAt bulrushchute.Millis
	confirmed   bool
	// heardAt is when the node learned of it.
	heardAt bulrushchute.Millis
	// readAt is set after a failed read and for the first read. It replaces the time
	// that follows from confirmedAt.
	readAt   bulrushchute.Millis
	failures int
	reading  bool
	// draw is the random number, in (0, 1], from which the delay of the next read is
	// computed. It is drawn anew after each confirmation.
	draw float64
	// behind is the confirmation that the copy does not match, if isBehind is set,
	// readOfBehind the time of its read, and behindHeardAt the time at which it arrived.
	behind        Confirmation
	isBehind      bool
	behindSince   bulrushchute.Millis
	readOfBehind  bulrushchute.Millis
	behindHeardAt bulrushchute.Millis
	compared      bool
}

// NewTracker returns a Tracker for a node that starts. It asks for the first read
// after firstRead and a random delay unless a confirmation arrives before. With 0, the
// node waits for the confirmations of others as long as one that lost them.
func NewTracker(now, firstRead bulrushchute.Millis, random *rand.Rand) *Tracker {
	t := &Tracker{random: random, confirmedAt: now, heardAt: now}
	t.redraw()
	if firstRead > 0 {
		// The size of the fleet is not known yet.
		t.readAt = now + firstRead + t.readDelay(maxNodes)*firstReadSpread/readSpread
	}
	return t
}

func (t *Tracker) redraw() {
	t.draw = 1 - float64(t.random.Float64())
}

// Confirmed reports whether the copy has ever been confirmed.
func (t *Tracker) Confirmed() bool {
	return t.confirmed
}

// Current reports whether the copy was confirmed within MaxAge.
func (t *Tracker) Current(now bulrushchute.Millis) bool {
	return t.confirmed && t.Age(now) <= MaxAge
}

// Age returns the time since the last confirmation, or since the start if there was
// none.
func (t *Tracker) Age(now bulrushchute.Millis) bulrushchute.Millis {
	return max(0, now-t.confirmedAt)
}

// Behind reports whether a confirmation has shown that the copy is out of date, and
// for how long that has been known.
func (t *Tracker) Behind(now bulrushchute.Millis) (bulrushchute.Millis, bool) {
	if !t.isBehind {
		return 0, false
	}
	return max(0, now-t.behindSince), true
}

// ObserveCopy records that the node's copy has changed.
func (t *Tracker) ObserveCopy(copied Summary) {
	t.copied = copied
	if t.isBehind && copied.matches(t.behind) {
		t.confirm(t.readOfBehind, t.behindHeardAt)
	}
}

// ObserveConfirmation compares a received confirmation with the node's copy.
func (t *Tracker) ObserveConfirmation(now bulrushchute.Millis, confirmation Confirmation) {
	if confirmation.Age > MaxAge {
		return
	}
	if t.copied.matches(confirmation) {
		t.confirm(now-confirmation.Age, now)
		return
	}
	if t.copied.Hash != confirmation.Hash && t.copied.Newest > confirmation.Revision {
		// The copy holds a change that was made after the read. The next
		// confirmation covers both.
		return
	}
	t.setBehind(now, confirmation, now-confirmation.Age)
}

func (t *Tracker) setBehind(now bulrushchute.Millis, confirmation Confirmation, readAt bulrushchute.Millis) {
	if !t.isBehind {
		t.isBehind, t.behindSince, t.compared = true, now, false
	}
	t.behind, t.readOfBehind, t.behindHeardAt = confirmation, readAt, now
}

// lacksRecords reports whether the copy is behind because a record has not arrived.
// Others cannot help a copy that holds all records and is not in force yet.
func (t *Tracker) lacksRecords() bool {
	return t.isBehind && t.behind.Hash != t.copied.Hash
}

func (t *Tracker) confirm(at, heardAt bulrushchute.Millis) {
	if !t.confirmed || at > t.confirmedAt {
		t.confirmedAt, t.heardAt = at, heardAt
	}
	t.confirmed = true
	t.isBehind = false
	t.failures, t.readAt = 0, 0
	t.redraw()
}

// Next returns what is due. It has to be called every few dozen milliseconds.
func (t *Tracker) Next(now bulrushchute.Millis, role Role) Action {
	if t.reading {
		return ActionNone
	}
	if now >= t.nextRead(role) {
		t.reading = true
		return ActionRead
	}
	if t.lacksRecords() && !t.compared && now >= t.behindSince+compareDelay {
		t.compared = true
		return ActionCompare
	}
	return ActionNone
}

func (t *Tracker) nextRead(role Role) bulrushchute.Millis {
	if t.readAt > 0 {
		return t.readAt
	}
	if role.FirstReader {
		// The turns count from the arrival, because a confirmation takes as long as the
		// delay between two turns.
		turn := min(bulrushchute.Millis(role.Turn)*turnDelay, maxTurnDelay)
		return min(t.heardAt+ConfirmInterval+turn, t.confirmedAt+unconfirmedAfter)
	}
	delay := t.readDelay(role.Nodes)
	next := t.confirmedAt + unconfirmedAfter + delay
	if t.lacksRecords() {
		next = min(next, t.behindSince+behindReadDelay+delay)
	}
	return next
}

// readDelay returns the random delay of a read that many nodes may be about to make.
// Its distribution is exponential towards the end of readSpread, so that only a few
// of any number of nodes read before the first one's confirmation reaches them.
func (t *Tracker) readDelay(nodes int) bulrushchute.Millis {
	share := 1 + math.Log(t.draw)/math.Log(max(2, float64(nodes)))
	return bulrushchute.Millis(max(0, share) * float64(readSpread))
}

// ReadEnded reports the end of a read that began at the given time. A read that
// succeeded confirms the copy, which holds all that it found, once that is in force.
func (t *Tracker) ReadEnded(now, began bulrushchute.Millis, succeeded bool, role Role) {
	t.reading = false
	if succeeded && !t.copied.Incomplete {
		t.confirm(began, began)
		return
	}
	if succeeded {
		t.setBehind(now, Confirmation{Revision: t.copied.Newest, Hash: t.copied.Hash}, began)
	}
	delay := minRetryDelay << min(t.failures, 16)
	t.failures++
	limit := max(maxRetryDelay, bulrushchute.Millis(role.Nodes)*retryDelayPerNode)
	if role.FirstReader {
		limit = maxReaderRetryDelay
	}
	// Half of the delay is random, so that the retries of many nodes spread out.
	half := min(delay, limit) / 2
	t.readAt = now + half + bulrushchute.Millis(t.random.Float64()*float64(half))
}
