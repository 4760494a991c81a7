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
	group := bulrushtask.NewGroup(func(result bulrushtask.Result) { fmt.Println(result.Name, result.Err) })
	group.Start(context.Background(), "reader", func(context.Context) error { return errors.New("connection lost") })
	group.Wait()
	// Output: reader connection lost
}

// Guards against a result that is lost, or whose goroutine blocks forever, when
// more goroutines end than the buffer holds.
func TestWaitReadsEveryResult(t *testing.T) {
	count := 0
	group := bulrushtask.NewGroup(func(bulrushtask.Result) { count++ })
	for i := 0; i < 1000; i++ {
		group.Start(context.Background(), "worker", func(context.Context) error { return nil })
	}
	group.Wait()
	assert.Equal(t, count, 1000)
	assert.Equal(t, group.Running(), 0)
}

// Guards against a shutdown that is delayed until a pause has elapsed.
func TestPauseStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	start := time.Now()
	bulrushtask.Pause(ctx, time.Hour)
	assert.Assert(t, time.Since(start) < time.Minute)
}
