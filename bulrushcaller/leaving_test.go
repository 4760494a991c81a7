package bulrushcaller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a close that is not noticed because the caller has sent more requests
// than are read ahead: the first one then runs on for a caller that has left.
func TestCloseBehindUnreadRequests(t *testing.T) {
	const leavingNoticedWithin = 500 * time.Millisecond
	tc := newTestCaller(t, testSettings())
	tc.send("POST /first HTTP/1.1\nHost: a\nContent-Length: 0\n\n")
	for len(tc.handler.startedPaths()) == 0 {
		time.Sleep(time.Millisecond)
	}
	body := make([]byte, testLimits().BodyBytes)
	// More bytes would wait at the caller, and the close behind them.
	for range 4 {
		tc.send(fmt.Sprintf("POST /next HTTP/1.1\nHost: a\nContent-Length: %d\n\n%s", len(body), body))
	}
	// The bytes arrive before the close.
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, tc.socket.Close())
	closedAt := time.Now()
	for tc.handler.endedCount() == 0 {
		assert.Assert(t, time.Since(closedAt) < leavingNoticedWithin, "the first request still runs")
		time.Sleep(time.Millisecond)
	}
	assert.DeepEqual(t, tc.handler.startedPaths(), []string{"/first"})
}
