package bulrushtask_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute/bulrushtask"
)

func ExampleGroup() {
	group := bulrushtask.NewGroup(func(end bulrushtask.Result) { fmt.Println(end.Name, end.Err) })
	group.Start(context.Background(), "reader", func(context.Context) error { return errors.New("connection lost") })
	group.Wait()
	// Output: reader connection lost
}

// Guards against a report that is lost or blocks for ever when more goroutines
// end than the buffer holds.
func TestWaitReadsEveryEnd(t *testing.T) {
	seen := 0
	group := bulrushtask.NewGroup(func(bulrushtask.Result) { seen++ })
	for i := 0; i < 1000; i++ {
		group.Start(context.Background(), "worker", func(context.Context) error { return nil })
	}
	group.Wait()
	assert.Equal(t, seen, 1000)
	assert.Equal(t, group.Running(), 0)
}

// Guards against a stop that waits for the end of a pause.
func TestPauseEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	begin := time.Now()
	bulrushtask.Pause(ctx, time.Hour)
	assert.Assert(t, time.Since(begin) < time.Minute)
}
