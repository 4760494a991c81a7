package bulrushresume

import (
	"encoding/hex"
	"strconv"

	"bulrushchute.example/bulrushchute"
)

// ConnectionID identifies a connection between two nodes. The node that opens the
// connection chooses it at random.
type ConnectionID [16]byte

// ConnectionIDError reports a text that is no connection ID.
type ConnectionIDError struct {
	Text string
}

// Error implements error.
func (e *ConnectionIDError) Error() string {
	return "no connection ID: " + strconv.Quote(e.Text)
}

// String returns the ID in hexadecimal digits.
func (id ConnectionID) String() string {
	return hex.EncodeToString(id[:])
}

// ParseConnectionID is the inverse of ConnectionID.String.
func ParseConnectionID(text string) (ConnectionID, error) {
	var id ConnectionID
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(id) {
		return id, &ConnectionIDError{Text: text}
	}
	copy(id[:], data)
	return id, nil
}

const (
	// fenceDuration is the time for which a fence is kept at least, and until the
	// connection has ended. It is longer than the opening of a connection may take.
	fenceDuration = 15 * bulrushchute.Second
	// rememberFor is the time for which the ID of an attempt is remembered after its
	// deadline. A sender whose machine was suspended may ask late, and must not be told
	// that an attempt never arrived.
	rememberFor = bulrushchute.Minute
	// connectionMemory is the time for which a connection is remembered after its end.
	// It is shorter than rememberFor.
	connectionMemory = 30 * bulrushchute.Second
	// ResumeWait is the time for which an attempt goes on whose connection was lost,
	// so that its sender can ask for it on another one.
	ResumeWait = 300 * bulrushchute.Millisecond
)

// Limits of a Ledger.
type Limits struct {
	// KeptBytes is the maximum size of the bodies of kept answers together, KeptFor
	// the longest time for which an answer is kept.
	KeptBytes int
	KeptFor   bulrushchute.Millis
}

// DefaultLimits are the Limits unless others are set.
var DefaultLimits = Limits{KeptBytes: 8 << 20, KeptFor: 5 * bulrushchute.Second}

// State is what a Ledger knows of an attempt.
type State uint8

// States of an attempt.
const (
	// StateNeverSeen means that the attempt has not arrived and never will.
	StateNeverSeen State = iota
	// StateRunning means that the reply will be sent on the new connection.
	StateRunning
	// StateReplied means that the reply is returned, to be sent again.
	StateReplied
	// StateGone means that the attempt has arrived and that its reply is not kept any
	// more, or that it is not known whether it has arrived.
	StateGone
)

// Ledger is what a node knows of the attempts that other nodes sent to it.
type Ledger struct {
	limits   Limits
	attempts map[bulrushchute.AttemptID]*entry
	// ended are the attempts that have ended, in this order, and kept those of them
	// whose reply may still be kept.
	ended []bulrushchute.AttemptID
	kept  []bulrushchute.AttemptID
	bytes int
	// lost are the running attempts whose connection was lost.
	lost   map[bulrushchute.AttemptID]bulrushchute.Millis
	fences map[ConnectionID]bulrushchute.Millis
	// connections are the known connections: when they ended, or 0.
	connections map[ConnectionID]bulrushchute.Millis
	// endings are the ends of connections that may still be known, oldest first.
	endings []ending
}

type ending struct {
	connection ConnectionID
	at         bulrushchute.Millis
}

type entry struct {
	connection ConnectionID
	running    bool
	reply      *bulrushchute.Reply
	// deadline is that of the attempt, and keptUntil when the reply is dropped.
	deadline, keptUntil bulrushchute.Millis
}

// NewLedger returns an empty ledger.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{
		limits:      limits,
		attempts:    make(map[bulrushchute.AttemptID]*entry),
		lost:        make(map[bulrushchute.AttemptID]bulrushchute.Millis),
		fences:      make(map[ConnectionID]bulrushchute.Millis),
		connections: make(map[ConnectionID]bulrushchute.Millis),
	}
}

// Opened records a connection before the first attempt on it. It returns false if the
// connection is fenced, because its sender has given it up.
func (l *Ledger) Opened(connection ConnectionID) bool {
	l.connections[connection] = 0
	return !l.Fenced(connection)
}

// Begin records an attempt that arrives on a connection. It returns false if the
// attempt must not run: its connection is fenced, or it has arrived before.
func (l *Ledger) Begin(now bulrushchute.Millis, connection ConnectionID, id bulrushchute.AttemptID, remaining bulrushchute.Millis) bool {
	if l.Fenced(connection) || l.attempts[id] != nil {
		return false
	}
	l.attempts[id] = &entry{connection: connection, running: true, deadline: now + max(remaining, 0)}
	return true
}

// Fenced reports whether no attempt may arrive on a connection any more.
func (l *Ledger) Fenced(connection ConnectionID) bool {
	_, fenced := l.fences[connection]
	return fenced
}

// End records the reply of a running attempt, and returns the connection on which to
// send it.
func (l *Ledger) End(now bulrushchute.Millis, id bulrushchute.AttemptID, reply bulrushchute.Reply) ConnectionID {
	ended := l.attempts[id]
	ended.running = false
	delete(l.lost, id)
	l.ended = append(l.ended, id)
	ended.keptUntil = min(ended.deadline, now+l.limits.KeptFor)
	if now < ended.keptUntil {
		ended.reply = &reply
		l.kept = append(l.kept, id)
		l.bytes += replyBytes(ended.reply)
		l.evict()
	}
	return ended.connection
}

// evict drops the oldest replies beyond the limit.
func (l *Ledger) evict() {
	for l.bytes > l.limits.KeptBytes && len(l.kept) > 0 {
		l.drop(l.attempts[l.kept[0]])
		l.kept = l.kept[1:]
	}
}

func (l *Ledger) drop(dropped *entry) {
	if dropped.reply != nil {
		l.bytes -= replyBytes(dropped.reply)
		dropped.reply = nil
	}
}

// replyBytes returns the size of a kept reply, with an allowance for all but the body.
func replyBytes(reply *bulrushchute.Reply) int {
	const overheadBytes = 512
	if reply.Answer == nil {
		return overheadBytes
	}
	return overheadBytes + len(reply.Answer.Body)
}

// Fence ensures that no attempt that arrives later on the given connections begins. It
// returns false if this process does not know all of them, so that it cannot say what
// has arrived on them.
func (l *Ledger) Fence(now bulrushchute.Millis, connections []ConnectionID) bool {
	known := true
	for _, connection := range connections {
		_, remembered := l.connections[connection]
		known = known && remembered
		l.fences[connection] = now + fenceDuration
	}
	return known
}

// Resume moves an attempt that was sent on fenced connections to another one. known is
// the result of Fence. It returns the kept reply, which is not kept any longer.
func (l *Ledger) Resume(now bulrushchute.Millis, known bool, current ConnectionID, id bulrushchute.AttemptID) (State, *bulrushchute.Reply) {
	asked := l.attempts[id]
	switch {
	case asked == nil && known:
		return StateNeverSeen, nil
	case asked == nil:
		return StateGone, nil
	case asked.running:
		asked.connection = current
		delete(l.lost, id)
		return StateRunning, nil
	case asked.reply == nil || now >= asked.keptUntil:
		return StateGone, nil
	}
	reply := asked.reply
	l.drop(asked)
	return StateReplied, reply
}

// Lost records that a connection has ended. Its running attempts may be resumed for a
// short time.
func (l *Ledger) Lost(now bulrushchute.Millis, connection ConnectionID) {
	l.connections[connection] = now
	l.endings = append(l.endings, ending{connection: connection, at: now})
	for id, attempt := range l.attempts {
		if attempt.running && attempt.connection == connection {
			l.lost[id] = now
		}
	}
}

// Expire removes what is not needed any more, and returns the attempts to cancel
// because nobody has resumed them.
func (l *Ledger) Expire(now bulrushchute.Millis) []bulrushchute.AttemptID {
	var abandoned []bulrushchute.AttemptID
	for id, lostAt := range l.lost {
		if now >= lostAt+ResumeWait {
			delete(l.lost, id)
			abandoned = append(abandoned, id)
		}
	}
	for len(l.kept) > 0 && now >= l.attempts[l.kept[0]].keptUntil {
		l.drop(l.attempts[l.kept[0]])
		l.kept = l.kept[1:]
	}
	for len(l.ended) > 0 && now >= l.attempts[l.ended[0]].deadline+rememberFor {
		l.drop(l.attempts[l.ended[0]])
		delete(l.attempts, l.ended[0])
		l.ended = l.ended[1:]
	}
	for len(l.endings) > 0 && now >= l.endings[0].at+connectionMemory {
		// A connection that was opened again since has another time.
		if oldest := l.endings[0]; l.connections[oldest.connection] == oldest.at {
			delete(l.connections, oldest.connection)
		}
		l.endings = l.endings[1:]
	}
	for connection, until := range l.fences {
		if endedAt, known := l.connections[connection]; now >= until && (!known || endedAt > 0) {
			delete(l.fences, connection)
		}
	}
	return abandoned
}

// Len returns the number of attempts that are remembered.
func (l *Ledger) Len() int { return len(l.attempts) }

// Bytes returns the size of the kept replies.
func (l *Ledger) Bytes() int { return l.bytes }
