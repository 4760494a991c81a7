package bulrushkey

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// Memory in bytes that the table accounts for per recorded key, per waiting
// request, per stored reply without its header and body, and per header field
// without its name and value. The sizes are upper bounds of the heap growth that
// BenchmarkTable reports.
const (
	recordBytes      = 192
	waiterBytes      = 16
	replyBytes       = 160
	headerFieldBytes = 32
)

// maxWaitersPerKey limits the requests that wait for one key, so that repeats of
// a slow request cannot exhaust the table's memory.
const maxWaitersPerKey = 32

// retryAfterFull is the retry delay for requests that exceed a limit of the
// table.
const retryAfterFull = bulrushchute.Second

// replyNotStored is the reply to repeats of a key whose answer did not fit into
// the table. All such records share it, so it takes no memory per record.
var replyNotStored = unknownReply(bulrushchute.ReasonTooLarge)

// Table holds the keys that one home has recorded. It is not safe for
// concurrent use.
type Table struct {
	settings Settings
	// expiredMint is the latest mint time whose retention has ended. It does not go
	// back with the clock, because a key whose record was removed must not be
	// treated as new.
	expiredMint bulrushchute.Millis
	bytes       int

	records map[Key]record
	// keysBySecond holds the keys by mint time in seconds.
	keysBySecond map[bulrushchute.Millis][]Key
	// oldestSecond is the first second for which keysBySecond may have keys.
	oldestSecond bulrushchute.Millis
}

// record is the state of one key. The key is running while reply is nil.
type record struct {
	fingerprint uint64
	reply       *bulrushchute.Reply
	waiters     []bulrushchute.AttemptID
	bytes       int
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{
		settings:     settings,
		records:      make(map[Key]record),
		keysBySecond: make(map[bulrushchute.Millis][]Key),
	}
}

// Len returns the number of recorded keys.
func (t *Table) Len() int {
	return len(t.records)
}

// Bytes returns the memory in bytes that the table accounts for. It never exceeds
// Settings.MaxBytes.
func (t *Table) Bytes() int {
	return t.bytes
}

// Begin decides how to handle a keyed request, and records a key that is to run.
// The permit must be for the key's partition and for the same reading of the clock
// as now; an older permit only makes the decision stricter.
func (t *Table) Begin(now bulrushchute.Millis, request Request, permit Permit) Decision {
	t.advanceExpiry(now)
	mint := request.Key.MintTime()
	latestMint := min(now, permit.At) + t.settings.ClockSkew
	if mint <= t.expiredMint {
		return decideReply(unknownReply(bulrushchute.ReasonKeyTooOld))
	}
	if rec, found := t.records[request.Key]; found {
		return t.beginRepeat(request, rec)
	}
	switch {
	case !permit.IsHome:
		return decideRefusal(bulrushchute.ReasonKeyHome, permit.RetryAfter)
	case mint < permit.Since:
		// The key belongs to an earlier home, which may have run it.
		return decideReply(unknownReply(bulrushchute.ReasonKeyTooOld))
	case permit.Until != 0 && mint >= permit.Until:
		// The key belongs to the home that takes the partition over from this node.
		return decideRefusal(bulrushchute.ReasonKeyHome, permit.RetryAfter)
	case mint > latestMint:
		// A later home could be assigned a range that includes this mint time.
		return decideRefusal(bulrushchute.ReasonKeyFromFuture, mint-latestMint)
	case !permit.LeaseHeld:
		return decideRefusal(bulrushchute.ReasonKeyHome, permit.RetryAfter)
	case len(t.records) >= t.settings.MaxKeys || !t.fits(recordBytes):
		return decideRefusal(bulrushchute.ReasonKeyRecordFull, retryAfterFull)
	}
	t.add(request)
	return Decision{Kind: DecisionRun}
}

// beginRepeat decides how to handle a request whose key is already recorded.
func (t *Table) beginRepeat(request Request, rec record) Decision {
	switch {
	case rec.fingerprint != request.Fingerprint:
		return decideRefusal(bulrushchute.ReasonMalformed, 0)
	case rec.reply != nil:
		return decideReply(*rec.reply)
	case len(rec.waiters) >= maxWaitersPerKey || !t.fits(waiterBytes):
		return decideRefusal(bulrushchute.ReasonBusy, retryAfterFull)
	}
	rec.waiters = append(rec.waiters, request.Attempt)
	t.charge(&rec, waiterBytes)
	t.records[request.Key] = rec
	return Decision{Kind: DecisionWait}
}

// Complete records the reply of the running attempt of a key and returns the
// requests that waited for it. A refusal removes the key, because the request did
// not run and may be retried. An answer that does not fit is not stored, and
// repeats get the unknown outcome.
func (t *Table) Complete(now bulrushchute.Millis, key Key, reply bulrushchute.Reply) Release {
	t.advanceExpiry(now)
	rec, found := t.records[key]
	if !found || rec.reply != nil {
		return Release{}
	}
	release := Release{Attempts: rec.waiters, Reply: reply}
	t.charge(&rec, -waiterBytes*len(rec.waiters))
	rec.waiters = nil
	if reply.Refusal != nil {
		t.remove(key, rec)
		return release
	}
	rec.reply = &replyNotStored
	if size := replySize(reply); t.fits(size) {
		t.charge(&rec, size)
		rec.reply = &bulrushchute.Reply{Answer: reply.Answer, Failure: reply.Failure}
	}
	t.records[key] = rec
	return release
}

// CancelWait removes a waiting request whose caller has disconnected.
func (t *Table) CancelWait(key Key, attempt bulrushchute.AttemptID) {
	rec, found := t.records[key]
	index := slices.Index(rec.waiters, attempt)
	if !found || index < 0 {
		return
	}
	rec.waiters = slices.Delete(rec.waiters, index, index+1)
	t.charge(&rec, -waiterBytes)
	t.records[key] = rec
}

// Tick removes the keys whose retention has ended and returns the requests that
// were still waiting for them.
func (t *Table) Tick(now bulrushchute.Millis) []Release {
	t.advanceExpiry(now)
	var releases []Release
	end := secondOf(t.expiredMint)
	if len(t.records) == 0 {
		t.oldestSecond = end
	}
	for ; t.oldestSecond < end; t.oldestSecond++ {
		for _, key := range t.keysBySecond[t.oldestSecond] {
			releases = t.expireKey(key, releases)
		}
		delete(t.keysBySecond, t.oldestSecond)
	}
	return releases
}

// expireKey removes a key whose retention has ended. It appends the requests that
// wait for it to releases.
func (t *Table) expireKey(key Key, releases []Release) []Release {
	rec := t.records[key]
	t.bytes -= rec.bytes
	delete(t.records, key)
	if len(rec.waiters) == 0 {
		return releases
	}
	return append(releases, Release{
		Attempts: rec.waiters,
		Reply:    unknownReply(bulrushchute.ReasonKeyTooOld),
	})
}

func (t *Table) advanceExpiry(now bulrushchute.Millis) {
	t.expiredMint = max(t.expiredMint, now-t.settings.Retention)
}

func (t *Table) add(request Request) {
	second := secondOf(request.Key.MintTime())
	if len(t.records) == 0 || second < t.oldestSecond {
		t.oldestSecond = second
	}
	t.keysBySecond[second] = append(t.keysBySecond[second], request.Key)
	rec := record{fingerprint: request.Fingerprint}
	t.charge(&rec, recordBytes)
	t.records[request.Key] = rec
}

// remove deletes a key that did not run.
func (t *Table) remove(key Key, rec record) {
	second := secondOf(key.MintTime())
	keys := t.keysBySecond[second]
	if index := slices.Index(keys, key); index >= 0 {
		keys[index] = keys[len(keys)-1]
		keys = keys[:len(keys)-1]
		t.keysBySecond[second] = keys
	}
	if len(keys) == 0 {
		delete(t.keysBySecond, second)
	}
	t.bytes -= rec.bytes
	delete(t.records, key)
}

func (t *Table) fits(size int) bool {
	return t.bytes+size <= t.settings.MaxBytes
}

func (t *Table) charge(rec *record, size int) {
	rec.bytes += size
	t.bytes += size
}

func secondOf(instant bulrushchute.Millis) bulrushchute.Millis {
	return instant / bulrushchute.Second
}

// replySize returns the memory in bytes that a recorded reply accounts for.
func replySize(reply bulrushchute.Reply) int {
	size := replyBytes
	if reply.Answer == nil {
		return size
	}
	size += len(reply.Answer.Body)
	for _, field := range reply.Answer.Header {
		size += headerFieldBytes + len(field.Name) + len(field.Value)
	}
	return size
}
