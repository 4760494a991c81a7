package bulrushkey

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// Sizes that the table accounts for. They are rounded up from the heap growth
// that BenchmarkTable measures.
const (
	recordBytes = 192
	waiterBytes = 16
	answerBytes = 160
	headerBytes = 32
)

// maxWaiters bounds the requests that wait for one key, so that repeats of a
// slow request cannot fill the table's memory.
const maxWaiters = 32

// fullRetry is when a request that found the table full may try again.
const fullRetry = bulrushchute.Second

// notKept is the reply to repeats of a key whose answer did not fit. All such
// records share it, so that they need no memory of their own.
var notKept = unknown(bulrushchute.ReasonTooLarge)

// Table holds the keys that one home has recorded. It is not safe for
// concurrent use.
type Table struct {
	settings Settings
	// floor is the latest mint time that is past its retention. It does not go
	// back with the clock, because a record that was dropped must not look new
	// again.
	floor bulrushchute.Millis
	bytes int

	records map[Key]record
	// minted lists the keys by the second of their mint time.
	minted map[bulrushchute.Millis][]Key
	// oldest is the first second that minted may have keys of.
	oldest bulrushchute.Millis
}

// record is what is known of one key. It is running while reply is nil.
type record struct {
	fingerprint uint64
	reply       *bulrushchute.Reply
	waiters     []bulrushchute.AttemptID
	bytes       int
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{
		settings: settings,
		records:  make(map[Key]record),
		minted:   make(map[bulrushchute.Millis][]Key),
	}
}

// Len returns the number of recorded keys.
func (t *Table) Len() int {
	return len(t.records)
}

// Bytes returns the memory that the table accounts for. It never exceeds
// Settings.MaxBytes.
func (t *Table) Bytes() int {
	return t.bytes
}

// Offer decides on a keyed request. The permit is that of the key's partition,
// and the one given for the same reading of the clock; an older permit only
// makes the decision stricter.
func (t *Table) Offer(now bulrushchute.Millis, request Request, permit Permit) Verdict {
	t.advance(now)
	mint := request.Key.Mint()
	horizon := min(now, permit.At) + t.settings.ClockSkew
	if mint <= t.floor {
		return settled(unknown(bulrushchute.ReasonKeyTooOld))
	}
	if known, found := t.records[request.Key]; found {
		return t.repeat(request, known)
	}
	switch {
	case !permit.Home:
		return refusal(bulrushchute.ReasonKeyHome, permit.RetryAfter)
	case mint < permit.Since:
		// The key belongs to an earlier home, which may have run it.
		return settled(unknown(bulrushchute.ReasonKeyTooOld))
	case permit.Until != 0 && mint >= permit.Until:
		// The key belongs to the home that this node hands the partition to.
		return refusal(bulrushchute.ReasonKeyHome, permit.RetryAfter)
	case mint > horizon:
		// A later home could be given the partition from before this mint time.
		return refusal(bulrushchute.ReasonKeyFromFuture, mint-horizon)
	case !permit.Lease:
		return refusal(bulrushchute.ReasonKeyHome, permit.RetryAfter)
	case len(t.records) >= t.settings.MaxKeys || !t.fits(recordBytes):
		return refusal(bulrushchute.ReasonKeyRecordFull, fullRetry)
	}
	t.add(request)
	return Verdict{Kind: VerdictRun}
}

// repeat decides on a request whose key is recorded.
func (t *Table) repeat(request Request, known record) Verdict {
	switch {
	case known.fingerprint != request.Fingerprint:
		return refusal(bulrushchute.ReasonMalformed, 0)
	case known.reply != nil:
		return settled(*known.reply)
	case len(known.waiters) >= maxWaiters || !t.fits(waiterBytes):
		return refusal(bulrushchute.ReasonBusy, fullRetry)
	}
	known.waiters = append(known.waiters, request.Attempt)
	t.charge(&known, waiterBytes)
	t.records[request.Key] = known
	return Verdict{Kind: VerdictWait}
}

// Done records how the running attempt of a key ended and returns the requests
// that waited for it. A refusal removes the key, which did not run and may
// still do so. An answer that does not fit is not kept: repeats get the
// unknown outcome.
func (t *Table) Done(now bulrushchute.Millis, key Key, reply bulrushchute.Reply) Release {
	t.advance(now)
	known, found := t.records[key]
	if !found || known.reply != nil {
		return Release{}
	}
	release := Release{Attempts: known.waiters, Reply: reply}
	t.charge(&known, -waiterBytes*len(known.waiters))
	known.waiters = nil
	if reply.Refusal != nil {
		t.remove(key, known)
		return release
	}
	known.reply = &notKept
	if size := sizeOf(reply); t.fits(size) {
		t.charge(&known, size)
		known.reply = &bulrushchute.Reply{Answer: reply.Answer, Failure: reply.Failure}
	}
	t.records[key] = known
	return release
}

// Abandon removes a waiting request whose caller has gone.
func (t *Table) Abandon(key Key, attempt bulrushchute.AttemptID) {
	known, found := t.records[key]
	index := slices.Index(known.waiters, attempt)
	if !found || index < 0 {
		return
	}
	known.waiters = slices.Delete(known.waiters, index, index+1)
	t.charge(&known, -waiterBytes)
	t.records[key] = known
}

// Tick drops keys that are past their retention and returns the requests that
// still waited for them.
func (t *Table) Tick(now bulrushchute.Millis) []Release {
	t.advance(now)
	var releases []Release
	last := secondOf(t.floor)
	if len(t.records) == 0 {
		t.oldest = last
	}
	for ; t.oldest < last; t.oldest++ {
		for _, key := range t.minted[t.oldest] {
			releases = t.drop(key, releases)
		}
		delete(t.minted, t.oldest)
	}
	return releases
}

// drop removes one key that is past its retention.
func (t *Table) drop(key Key, releases []Release) []Release {
	known := t.records[key]
	t.bytes -= known.bytes
	delete(t.records, key)
	if len(known.waiters) == 0 {
		return releases
	}
	return append(releases, Release{
		Attempts: known.waiters,
		Reply:    unknown(bulrushchute.ReasonKeyTooOld),
	})
}

func (t *Table) advance(now bulrushchute.Millis) {
	t.floor = max(t.floor, now-t.settings.Retention)
}

func (t *Table) add(request Request) {
	second := secondOf(request.Key.Mint())
	if len(t.records) == 0 || second < t.oldest {
		t.oldest = second
	}
	t.minted[second] = append(t.minted[second], request.Key)
	known := record{fingerprint: request.Fingerprint}
	t.charge(&known, recordBytes)
	t.records[request.Key] = known
}

// remove takes a key out that did not run.
func (t *Table) remove(key Key, known record) {
	second := secondOf(key.Mint())
	keys := t.minted[second]
	if index := slices.Index(keys, key); index >= 0 {
		keys[index] = keys[len(keys)-1]
		keys = keys[:len(keys)-1]
		t.minted[second] = keys
	}
	if len(keys) == 0 {
		delete(t.minted, second)
	}
	t.bytes -= known.bytes
	delete(t.records, key)
}

func (t *Table) fits(size int) bool {
	return t.bytes+size <= t.settings.MaxBytes
}

func (t *Table) charge(known *record, size int) {
	known.bytes += size
	t.bytes += size
}

func secondOf(instant bulrushchute.Millis) bulrushchute.Millis {
	return instant / bulrushchute.Second
}

// sizeOf returns the memory of a recorded reply.
func sizeOf(reply bulrushchute.Reply) int {
	size := answerBytes
	if reply.Answer == nil {
		return size
	}
	size += len(reply.Answer.Body)
	for _, field := range reply.Answer.Header {
		size += headerBytes + len(field.Name) + len(field.Value)
	}
	return size
}
