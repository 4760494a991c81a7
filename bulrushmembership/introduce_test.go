package bulrushmembership

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

func memberAt(id, address string) bulrushchute.Instance {
	return bulrushchute.Instance{
		ID: bulrushchute.InstanceID(id), Address: bulrushchute.Address(address), DataCentre: "a",
		Service: "board", State: bulrushchute.StateReady, Incarnation: 1,
	}
}

// Guards against nodes that were ended together and know each other only after
// a join, which takes seconds.
func TestIntroduce(t *testing.T) {
	const now = bulrushchute.Millis(1000)
	first := New(now, Config{Self: memberAt("one", "10.0.0.1:1")})
	second := New(now, Config{Self: memberAt("two", "10.0.0.2:1")})
	actions := first.Introduce(now, []bulrushchute.Address{"10.0.0.1:1", "10.0.0.2:1"})
	assert.Equal(t, len(actions), 1, "not to itself")
	var reply []Action
	for _, a := range second.Receive(now, "10.0.0.1:1", actions[0].Message) {
		if a.Message.Records != nil && a.To == "10.0.0.1:1" {
			reply = append(reply, a)
		}
	}
	_, known := second.Member("one")
	assert.Assert(t, known)
	assert.Equal(t, len(reply), 1, "a node that was not known is answered")
	first.Receive(now, "10.0.0.2:1", reply[0].Message)
	_, known = first.Member("two")
	assert.Assert(t, known)
}

// Guards against a node that has been replaced at its address and keeps getting
// work for the time in which monitors find it dead.
func TestSuccessorBuriesItsPredecessor(t *testing.T) {
	now := bulrushchute.Millis(1000)
	observer := New(now, Config{Self: memberAt("observer", "10.0.0.9:1")})
	former := New(now, Config{Self: memberAt("former", "10.0.0.1:1")})
	successor := New(now, Config{Self: memberAt("successor", "10.0.0.1:1")})
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
