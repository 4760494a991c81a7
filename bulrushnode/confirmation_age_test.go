package bulrushnode

import (
	"encoding/binary"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmembership"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// capturingTransport keeps the control messages that are sent.
type capturingTransport struct {
	bulrushchute.Transport
	sent []bulrushchute.Control
}

func (ct *capturingTransport) Send(_ bulrushchute.Address, message bulrushchute.Control) {
	ct.sent = append(ct.sent, message)
}

// Guards against a copy that counts as current for longer after a read of the store,
// because the confirmation of the read was on its way for long, or passed other nodes.
func TestLateConfirmationCountsAsFresh(t *testing.T) {
	cases := map[string]struct {
		stated, delay, want bulrushchute.Millis
	}{
		"just read":         {0, 0, 0},
		"passed on by many": {700, 0, 700},
		"held up":           {0, 900, 900},
		"both":              {700, 900, 1600},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			clock := bulrushchute.NewManualClock(1_000_000)
			n := New(nodeSettings(t), bulrushstore.NewMemory(), clock)
			transport := &capturingTransport{}
			n.control.transport = transport
			clock.Advance(5000)
			record := bulrushchute.Record{
				Key:     confirmationKey,
				Version: bulrushchute.RecordVersion{Epoch: 7, Counter: 1},
				Value:   binary.LittleEndian.AppendUint64(nil, n.control.summarizeCatalogue().Hash),
			}
			n.control.receive("127.0.0.1:9", bulrushchute.Control{
				From:    "other",
				Records: &bulrushchute.Records{Records: []bulrushchute.Record{record}, ConfirmationAge: tc.stated},
				Delay:   tc.delay,
			})
			n.control.handle(<-n.control.inbox)
			age := n.control.freshness.tracker.Age(clock.Now())
			assert.Assert(t, age >= tc.want && age < tc.want+50, "%d ms, want %d", age, tc.want)

			clock.Advance(30)
			n.control.send([]bulrushmembership.Action{{Message: bulrushchute.Control{Records: &bulrushchute.Records{Records: []bulrushchute.Record{record}}}}})
			passedOn := transport.sent[len(transport.sent)-1].Records.ConfirmationAge
			assert.Assert(t, passedOn >= tc.want+30 && passedOn < tc.want+80, "%d ms", passedOn)
		})
	}
}
