package bulrushlog

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that blocks because nothing reads its log any more.
func TestWriterNeverBlocks(t *testing.T) {
	w := NewWriter()
	for range 3 * maxQueuedLines {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Equal(t, w.Dropped(), int64(2*maxQueuedLines))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var output bytes.Buffer
	assert.NilError(t, w.Run(ctx, &output))
	assert.Equal(t, strings.Count(output.String(), "line\n"), maxQueuedLines)
	assert.Assert(t, strings.Contains(output.String(), "count=2048"), "the number of dropped lines is missing")
}

// Guards against unlimited log lines of one kind of event, and against skipped
// lines that are not counted.
func TestEventLoggerLimitsRate(t *testing.T) {
	e := NewEventLogger("request refused")
	allowed := 0
	for range 10 * eventBurst {
		if _, ok := e.limiter.Allow(time.Now()); ok {
			allowed++
		}
	}
	assert.Assert(t, allowed >= eventBurst && allowed < 2*eventBurst, "%d events", allowed)
	assert.Assert(t, e.limiter.skipped > 0)
}
