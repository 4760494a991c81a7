package bulrushwire

import (
	"time"

	"bulrushchute.example/bulrushchute"
)

// HeldUpThreshold is the shortest time for which a message counts as held up.
const HeldUpThreshold = 100 * bulrushchute.Millisecond

// Stage is where a message was held up.
type Stage string

// Stages of a message, in the order in which it passes them.
const (
	// StageQueue is the wait for other messages to be written to the connection.
	StageQueue Stage = "write_queue"
	// StageWrite is the write to the socket.
	StageWrite Stage = "write"
	// StagePath is the time from the sending of an attempt or a control message until it
	// was read, compared with the fastest one of its connection. It includes the stages
	// at the sender.
	StagePath Stage = "path"
	// StageRead is the handling by the loop that reads the connection, which reads
	// nothing meanwhile.
	StageRead Stage = "read"
	// StageControl is the wait of a received control message for the goroutine that
	// handles it.
	StageControl Stage = "control"
)

// HeldUp reports a message that was held up.
type HeldUp struct {
	Peer    bulrushchute.Address
	Message string
	Stage   Stage
	For     bulrushchute.Millis
}

// report calls the observer if the message was held up.
func (c *connection) report(message Message, stage Stage, held bulrushchute.Millis) {
	if held >= HeldUpThreshold && c.onHeldUp != nil {
		c.onHeldUp(HeldUp{Peer: c.peer, Message: message.name(), Stage: stage, For: held})
	}
}

func (c *connection) reportSince(message Message, stage Stage, begin time.Time) {
	c.report(message, stage, bulrushchute.MillisOf(time.Since(begin)))
}
