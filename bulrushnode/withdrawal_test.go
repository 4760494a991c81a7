package bulrushnode

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmove"
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

// Guards against a non-idempotent request that waits for a slot, is not cancelled when
// its caller leaves, and reaches its backend server later.
func TestWaitingRequestReachesTheServerAfterItsCallerLeft(t *testing.T) {
	n := newKeyedNode(answered)
	started, cancelled := make(chan struct{}), make(chan struct{})
	n.runner.exchange = func(ctx context.Context, _ bulrushchute.Instance, _ bulrushchute.Attempt) (bulrushchute.Reply, error) {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return refusalReply(bulrushchute.ReasonCancelled, 0), nil
	}
	table := keyedTable("k-1")
	for i := range table.Routes {
		table.Routes[i].Idempotent = false
		table.Routes[i].TimeoutMs = bulrushchute.Minute
	}
	n.apply(table)
	ctx, leave := context.WithCancel(t.Context())
	request := httptest.NewRequest(http.MethodPost, "/view/1", nil).WithContext(ctx)
	request.Host = "a.example"
	request.Header.Set(headerAPIKey, "k-1")
	served := make(chan struct{})
	go func() {
		defer close(served)
		n.entryHandler.ServeHTTP(httptest.NewRecorder(), request)
	}()
	<-started
	leave()
	select {
	case <-cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Error("not cancelled within 500 ms")
	}
	<-served
}

// Guards against a cancelled attempt that was not run, or not even sent, and counts as
// evidence for the version of its instance.
func TestUnsentAttemptIsEvidence(t *testing.T) {
	cancelled := &bulrushchute.NotSentError{Address: "127.0.0.1:8000", Cause: context.Canceled}
	lost := &bulrushchute.NoReplyError{Address: "127.0.0.1:8000", Cause: context.Canceled}
	refusal := refusalReply(bulrushchute.ReasonCancelled, 0)
	cases := map[string]struct {
		reply bulrushchute.Reply
		err   error
		want  int
	}{
		"not sent":             {bulrushchute.Reply{}, cancelled, 0},
		"refused by its node":  {refusal, nil, 0},
		"cancelled on its way": {bulrushchute.Reply{}, lost, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			n := newKeyedNode(answered)
			samples := 0
			n.runner.observeSample = func(bulrushchute.Service, bulrushmove.Sample) { samples++ }
			n.runner.exchange = func(context.Context, bulrushchute.Instance, bulrushchute.Attempt) (bulrushchute.Reply, error) {
				return tc.reply, tc.err
			}
			ac := &activeCall{runner: n.runner, serviceState: n.runner.serviceStates.get("board", 0)}
			ac.exchange(t.Context(), 1, bulrushchute.Instance{ID: "127.0.0.1:8000/1", Service: "board", Version: "v1"}, bulrushchute.Attempt{Service: "board"})
			assert.Equal(t, samples, tc.want)
		})
	}
}
