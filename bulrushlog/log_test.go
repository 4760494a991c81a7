package bulrushlog

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a log whose reader has stopped and that holds up the node.
func TestWriterNeverBlocks(t *testing.T) {
	w := NewWriter()
	for range 3 * queueLines {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Equal(t, w.Dropped(), int64(2*queueLines))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var output bytes.Buffer
	assert.NilError(t, w.Run(ctx, &output))
	assert.Equal(t, strings.Count(output.String(), "line\n"), queueLines)
	assert.Assert(t, strings.Contains(output.String(), "count=2048"), "the loss is told")
}

// Guards against a flood of one kind of event, and against a silent gap.
func TestEventsKeepTheirBudget(t *testing.T) {
	e := NewEventLogger("request refused")
	allowed := 0
	for range 10 * eventBurst {
		if _, ok := e.budget.Allow(time.Now()); ok {
			allowed++
		}
	}
	assert.Assert(t, allowed >= eventBurst && allowed < 2*eventBurst, "%d events", allowed)
	assert.Assert(t, e.budget.skipped > 0)
}
