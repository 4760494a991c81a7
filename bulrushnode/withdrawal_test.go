package bulrushnode

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// Guards against a request that reaches the backend server although it was cancelled
// before, and against a cancel that ends non-idempotent work which has begun.
func TestCancelledAttemptReachesTheServer(t *testing.T) {
	cases := map[string]struct {
		idempotent, begun bool
		wantRuns          int64
	}{
		"idempotent":                {true, false, 0},
		"not idempotent":            {false, false, 0},
		"not idempotent, has begun": {false, true, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			ctx, cancel := context.WithCancel(t.Context())
			a, clock, _ := newTestAdmission(t, func(http.ResponseWriter, *http.Request) {
				if runs.Add(1) > 1 {
					cancel()
				}
			})
			// It leaves a connection to the server open.
			a.serve(t.Context(), attemptTo("board", 2, clock))
			if !tc.begun {
				cancel()
			}
			attempt := attemptTo("board", 1, clock)
			attempt.Idempotent = tc.idempotent
			reply := a.serve(ctx, attempt)
			assert.Equal(t, runs.Load()-1, tc.wantRuns)
			if tc.begun {
				assert.Equal(t, reply.Answer.Status, http.StatusOK)
				return
			}
			assert.Equal(t, reply.Refusal.Reason, bulrushchute.ReasonCancelled)
			assert.Equal(t, a.load().InFlight, 0)
		})
	}
}
