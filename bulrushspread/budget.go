package bulrushspread

import (
	"bulrushchute.example/bulrushchute"
)

// Bounds on what a node sends. The sum over any long time stays under
// bytesPerSecond: what is not used fills the bulk allowance, which pays for copies to
// joining nodes and for repairs.
const (
	bytesPerSecond = 8192
	burstBytes     = 8192
	// urgentReserve is kept back from member records, so that a catalogue
	// change need not wait behind them.
	urgentReserve = 2048
	// bulkBytes covers two copies of all records of 23,000 members.
	bulkBytes = 12 << 20
	// bulkTickBytes bounds the part of a core spent on copies.
	bulkTickBytes = 64 << 10
)

// budget is a token bucket for ordinary messages whose overflow fills a second one.
type budget struct {
	tokens  float64
	bulk    float64
	updated bulrushchute.Millis
}

// newBudget starts with a full bulk allowance. Without it, a fleet that
// starts as a whole could not copy its records for several minutes.
func newBudget(now bulrushchute.Millis) budget {
	return budget{tokens: burstBytes, bulk: bulkBytes, updated: now}
}

func (b *budget) refill(now bulrushchute.Millis) {
	elapsed := now - b.updated
	b.updated = now
	if elapsed <= 0 {
		return
	}
	b.tokens += float64(elapsed) * bytesPerSecond / float64(bulrushchute.Second)
	if excess := b.tokens - burstBytes; excess > 0 {
		b.tokens = burstBytes
		b.bulk = min(b.bulk+excess, bulkBytes)
	}
}

// allows reports whether a message of a class may be sent now. Urgent messages
// may use the bulk allowance too: a routing table is larger than what the
// ordinary tokens pay for in a second, and has to be in force within seconds.
func (b *budget) allows(class int) bool {
	if class == classUrgent {
		return b.tokens > 0 || b.bulk > 0
	}
	return b.tokens > urgentReserve
}

// pay takes the bytes of a message that was allowed.
func (b *budget) pay(bytes float64) {
	if b.tokens <= 0 && b.bulk > 0 {
		b.bulk -= bytes
		return
	}
	b.tokens -= bytes
}

// recentChanges counts changes in the current and the previous period.
type recentChanges struct {
	start             bulrushchute.Millis
	current, previous int
}

// recentPeriod is about the time in which a change reaches every node.
const recentPeriod = 3 * bulrushchute.Second

func (rc *recentChanges) add(now bulrushchute.Millis) {
	rc.roll(now)
	rc.current++
}

func (rc *recentChanges) count(now bulrushchute.Millis) int {
	rc.roll(now)
	return rc.current + rc.previous
}

func (rc *recentChanges) roll(now bulrushchute.Millis) {
	elapsed := now - rc.start
	if elapsed < recentPeriod {
		return
	}
	rc.previous = rc.current
	if elapsed >= 2*recentPeriod {
		rc.previous = 0
	}
	rc.current = 0
	rc.start = now
}
