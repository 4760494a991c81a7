package bulrushwire

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// delayHandler keeps the delays of the control messages that it is given.
type delayHandler struct {
	delays []bulrushchute.Millis
}

func (h *delayHandler) HandleAttempt(context.Context, bulrushchute.Attempt) bulrushchute.Reply {
	return bulrushchute.Reply{}
}

func (h *delayHandler) HandleControl(_ bulrushchute.Address, control bulrushchute.Control) {
	h.delays = append(h.delays, control.Delay)
}

// Guards against a control message that was held up on its way and counts as fresh.
func TestHeldUpControlMessageStatesItsDelay(t *testing.T) {
	handler := &delayHandler{}
	server := NewServer(t.Context(), handler)
	clock := bulrushchute.NewManualClock(50_000)
	server.bootClock = clock
	s := &session{server: server, connection: &connection{}}
	receive := func(sentAt bulrushchute.Millis) {
		s.handle(Message{Control: &bulrushchute.Control{From: "a", Confirmation: &bulrushchute.Confirmation{}}, SentAt: sentAt})
	}
	receive(1000)
	clock.Advance(1900)
	receive(2000)
	receive(0)
	assert.DeepEqual(t, handler.delays, []bulrushchute.Millis{0, 899, 0})
}
