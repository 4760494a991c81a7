package bulrushmembership

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

func testMember(id, address string) bulrushchute.Instance {
	return bulrushchute.Instance{
		ID: bulrushchute.InstanceID(id), Address: bulrushchute.Address(address), DataCentre: "a",
		Service: "board", State: bulrushchute.StateReady, Incarnation: 1,
	}
}

// Guards against nodes that were stopped together and find each other again only
// by a join, which takes seconds.
func TestIntroduce(t *testing.T) {
	const now = bulrushchute.Millis(1000)
	first := New(now, Config{Self: testMember("one", "10.0.0.1:1")})
	second := New(now, Config{Self: testMember("two", "10.0.0.2:1")})
	actions := first.Introduce(now, []bulrushchute.Address{"10.0.0.1:1", "10.0.0.2:1"})
	assert.Equal(t, len(actions), 1, "a node does not send its record to itself")
	var reply []Action
	for _, a := range second.Receive(now, "10.0.0.1:1", actions[0].Message) {
		if a.Message.Records != nil && a.To == "10.0.0.1:1" {
			reply = append(reply, a)
		}
	}
	_, known := second.Member("one")
	assert.Assert(t, known)
	assert.Equal(t, len(reply), 1, "an unknown node gets a reply")
	first.Receive(now, "10.0.0.2:1", reply[0].Message)
	_, known = first.Member("two")
	assert.Assert(t, known)
}

// Guards against a node that was replaced by another at its address and keeps
// getting work until monitors detect its death.
func TestSuccessorMarksPredecessorDead(t *testing.T) {
	now := bulrushchute.Millis(1000)
	observer := New(now, Config{Self: testMember("observer", "10.0.0.9:1")})
	former := New(now, Config{Self: testMember("former", "10.0.0.1:1")})
	successor := New(now, Config{Self: testMember("successor", "10.0.0.1:1")})
	introduction := former.Introduce(now, []bulrushchute.Address{"10.0.0.9:1"})[0].Message
	observer.Receive(now, "10.0.0.1:1", introduction)
	successor.Receive(now, "10.0.0.9:1", introduction)
	successor.Tick(now + 50)
	_, known := successor.Member("former")
	assert.Assert(t, !known)
	record, found := successor.Table().Get(suspicionKey("former"))
	assert.Assert(t, found)
	observer.Receive(now+50, "10.0.0.1:1", bulrushchute.Control{From: "successor", Records: &bulrushchute.Records{Records: []bulrushchute.Record{record}}})
	_, known = observer.Member("former")
	assert.Assert(t, !known)
}
