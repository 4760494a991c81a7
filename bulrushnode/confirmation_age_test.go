package bulrushnode

import (
	"encoding/binary"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushfreshness"
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

// ageTest is a node that receives a confirmation of its copy, and sends it on.
type ageTest struct {
	node      *Node
	clock     *bulrushchute.ManualClock
	transport *capturingTransport
	record    bulrushchute.Record
}

func newAgeTest(t *testing.T) ageTest {
	at := ageTest{clock: bulrushchute.NewManualClock(1_000_000), transport: &capturingTransport{}}
	at.node = New(nodeSettings(t), bulrushstore.NewMemory(), at.clock)
	at.node.control.transport = at.transport
	at.clock.Advance(5000)
	at.record = bulrushchute.Record{
		Key:     confirmationKey,
		Version: bulrushchute.RecordVersion{Epoch: 7, Counter: 1},
		Value:   binary.LittleEndian.AppendUint64(nil, at.node.control.summarizeCatalogue().Hash),
	}
	return at
}

func (at ageTest) receive(stated, delay bulrushchute.Millis) {
	at.node.control.receive("127.0.0.1:9", bulrushchute.Control{
		From:    "other",
		Records: &bulrushchute.Records{Records: []bulrushchute.Record{at.record}, ConfirmationAge: stated},
		Delay:   delay,
	})
	at.node.control.handle(<-at.node.control.inbox)
}

// sentAge returns the age that the node states when it passes the confirmation on.
func (at ageTest) sentAge() bulrushchute.Millis {
	records := &bulrushchute.Records{Records: []bulrushchute.Record{at.record}}
	at.node.control.send([]bulrushmembership.Action{{Message: bulrushchute.Control{Records: records}}})
	return at.transport.sent[len(at.transport.sent)-1].Records.ConfirmationAge
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
			at := newAgeTest(t)
			at.receive(tc.stated, tc.delay)
			age := at.node.control.freshness.tracker.Age(at.clock.Now())
			assert.Assert(t, age >= tc.want && age < tc.want+50, "%d ms, want %d", age, tc.want)
			at.clock.Advance(30)
			passedOn := at.sentAge()
			assert.Assert(t, passedOn >= tc.want+30 && passedOn < tc.want+80, "%d ms", passedOn)
		})
	}
}

// Guards against an absurd age that overflows, so that the confirmation counts as fresh
// here or at the next node.
func TestAbsurdAgeOfAConfirmationCountsAsFresh(t *testing.T) {
	cases := map[string]struct{ stated, delay bulrushchute.Millis }{
		"age":   {math.MaxInt64, 0},
		"delay": {0, math.MaxInt64},
		"both":  {math.MaxInt64, math.MaxInt64},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			at := newAgeTest(t)
			at.receive(tc.stated, tc.delay)
			assert.Assert(t, !at.node.control.freshness.tracker.Confirmed())
			at.clock.Advance(30)
			assert.Assert(t, at.sentAge() > bulrushfreshness.MaxAge, "%d ms", at.sentAge())
		})
	}
}
