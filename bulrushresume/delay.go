package bulrushresume

import (
	"bulrushchute.example/bulrushchute"
)

// driftAllowance is the time in which the clocks of two nodes may drift apart by a
// millisecond.
const driftAllowance = bulrushchute.Second

// DelayMeter tells by how much a message took longer than the fastest one of its
// connection, from the sender's clock at the sending and the receiver's at the arrival.
// The clocks need not agree. The zero value is ready for use.
type DelayMeter struct {
	// fastest is the smallest difference of the two clocks so far, measured at
	// measuredAt.
	fastest, measuredAt bulrushchute.Millis
	measured            bool
}

// Observe returns the delay of a message that was sent and arrived at the given times.
func (m *DelayMeter) Observe(sentAt, arrivedAt bulrushchute.Millis) bulrushchute.Millis {
	difference := arrivedAt - sentAt
	expected := m.fastest + (arrivedAt-m.measuredAt)/driftAllowance
	if !m.measured || difference <= expected {
		m.fastest, m.measuredAt, m.measured = difference, arrivedAt, true
		return 0
	}
	return difference - expected
}
