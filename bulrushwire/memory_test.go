package bulrushwire_test

import (
	"bytes"
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmemory"
	"bulrushchute.example/bulrushchute/bulrushwire"
)

// Guards against large replies that pile up in memory while the peer does not read: the
// memory of an answer must stay reserved until its reply has been written.
func TestRepliesHoldMemoryUntilTheyAreWritten(t *testing.T) {
	const (
		attempts  = 8
		bodyBytes = 6 << 20
		// unread is how many replies the sockets' buffers may hold, besides those in
		// the budget.
		unread = 2
	)
	budget := bulrushmemory.NewBudget(bulrushmemory.Limits{LargeTotal: 2 * bodyBytes})
	var answered atomic.Int64
	address, _ := startNode(t, &fakeNode{attempt: func(ctx context.Context, _ bulrushchute.Attempt) bulrushchute.Reply {
		reservation, err := budget.Reserve(ctx, bodyBytes)
		if err != nil {
			return bulrushchute.Reply{Refusal: &bulrushchute.Refusal{Reason: bulrushchute.ReasonCancelled}}
		}
		bulrushmemory.HoldOf(ctx).Keep(reservation)
		answered.Add(1)
		answer := bulrushwire.AddChecksum(bulrushchute.Answer{Status: 200, Body: bytes.Repeat([]byte("x"), bodyBytes)})
		return bulrushchute.Reply{Answer: &answer}
	}})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	socket, response, err := websocket.Dial(ctx, "ws://"+string(address)+bulrushwire.PeerPath, &websocket.DialOptions{
		HTTPHeader:      http.Header{"Bulrush-Peer-Address": {"127.0.0.1:1"}},
		CompressionMode: websocket.CompressionDisabled,
	})
	assert.NilError(t, err)
	if response.Body != nil {
		_ = response.Body.Close()
	}
	defer func() { _ = socket.CloseNow() }()
	socket.SetReadLimit(bulrushwire.MaxMessageBytes)
	for number := range attempts {
		attempt := numberedAttempt(byte(number + 1))
		attempt.Remaining = 10_000
		message, err := bulrushwire.Encode(bulrushwire.Message{Attempt: &attempt})
		assert.NilError(t, err)
		assert.NilError(t, socket.Write(ctx, websocket.MessageBinary, message))
	}
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, answered.Load() <= 2+unread, "%d answers in memory", answered.Load())
	for range attempts {
		_, data, err := socket.Read(ctx)
		assert.NilError(t, err)
		message, err := bulrushwire.Decode(data)
		assert.NilError(t, err)
		assert.Equal(t, len(message.Reply.Answer.Body), bodyBytes)
	}
}
