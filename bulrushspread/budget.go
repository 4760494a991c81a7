package bulrushspread

import (
	"bulrushchute.example/bulrushchute"
)

// Limits on the bandwidth that a node uses. The average over a long time stays
// below bytesPerSecond: unused tokens go to the bulk bucket, which pays for
// copies to joining nodes and for repairs.
const (
	bytesPerSecond = 8192
	burstBytes     = 8192
	// urgentReserveBytes is reserved for urgent messages, so that a catalogue
	// change need not wait behind member records.
	urgentReserveBytes = 2048
	// bulkBurstBytes is the capacity of the bulk bucket. It covers two copies
	// of all records of 23,000 members.
	bulkBurstBytes = 12 << 20
	// bulkBytesPerTick limits the share of a CPU core that is spent on copies.
	bulkBytesPerTick = 64 << 10
)

// budget is a token bucket for ordinary messages, in bytes, whose overflow
// fills a second bucket for bulk messages.
type budget struct {
	tokens     float64
	bulkTokens float64
	updated    bulrushchute.Millis
}

// newBudget returns a budget with a full bulk bucket. With an empty one, nodes
// of a fleet that start at the same time could not copy their records for
// several minutes.
func newBudget(now bulrushchute.Millis) budget {
	return budget{tokens: burstBytes, bulkTokens: bulkBurstBytes, updated: now}
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
		b.bulkTokens = min(b.bulkTokens+excess, bulkBurstBytes)
	}
}

// allows reports whether a message of a priority may be sent now. Urgent
// messages may also use bulk tokens: a routing table is larger than the
// ordinary tokens of one second, and has to be in force within seconds.
func (b *budget) allows(priority int) bool {
	if priority == priorityUrgent {
		return b.tokens > 0 || b.bulkTokens > 0
	}
	return b.tokens > urgentReserveBytes
}

// consume deducts the size of an allowed message. Tokens may become negative,
// because allows does not check the size.
func (b *budget) consume(bytes float64) {
	if b.tokens <= 0 && b.bulkTokens > 0 {
		b.bulkTokens -= bytes
		return
	}
	b.tokens -= bytes
}

// recentChanges counts record changes in the current and the previous period.
type recentChanges struct {
	start             bulrushchute.Millis
	current, previous int
}

// recentPeriod is approximately the time in which a change reaches all nodes.
const recentPeriod = 3 * bulrushchute.Second

func (rc *recentChanges) add(now bulrushchute.Millis) {
	rc.rotate(now)
	rc.current++
}

func (rc *recentChanges) count(now bulrushchute.Millis) int {
	rc.rotate(now)
	return rc.current + rc.previous
}

func (rc *recentChanges) rotate(now bulrushchute.Millis) {
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
