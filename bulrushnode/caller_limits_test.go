package bulrushnode

import (
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcaller"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Guards against limits of the routing table that are not in force, and against defaults
// that a caller within the limits of a deployment meets.
func TestCallerLimits(t *testing.T) {
	cases := map[string]struct {
		table bulrushcatalogue.CallerLimits
		want  bulrushcaller.Limits
	}{
		"no limits": {
			bulrushcatalogue.CallerLimits{},
			bulrushcaller.Limits{HeaderBytes: 64 << 10, BodyBytes: 64 << 20, HeaderTimeout: 10000, IdleTimeout: 300000},
		},
		"limits of a deployment": {
			bulrushcatalogue.CallerLimits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
			bulrushcaller.Limits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeout: 3000, IdleTimeout: 15000},
		},
		"over the node's limits": {
			bulrushcatalogue.CallerLimits{HeaderBytes: 1 << 30, BodyBytes: 1 << 40, HeaderTimeoutMs: 3600000, IdleTimeoutMs: 3600000},
			bulrushcaller.Limits{HeaderBytes: 1 << 20, BodyBytes: 64 << 20, HeaderTimeout: 3600000, IdleTimeout: 3600000},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := bulrushcatalogue.RoutingTable{Callers: c.table}
			set := bulrushcatalogue.Set{}.WithRouting(table, bulrushchute.RecordVersion{Epoch: 1, Counter: 1})
			assert.DeepEqual(t, callerLimits(set.Routing()), c.want)
		})
	}
}

// Guards against limits that leave callers no connection, or servers and nodes no descriptor.
func TestMaxCallerConnections(t *testing.T) {
	chosen := Settings{MaxCallerConnections: 7}.maxCallerConnections()
	assert.Equal(t, chosen, 7)
	derived := Settings{}.maxCallerConnections()
	assert.Assert(t, derived >= 1 && derived <= DefaultMaxConnections, "%d connections", derived)
}

// Guards against settings of which a node cannot serve callers.
func TestCallerMemorySettings(t *testing.T) {
	cases := map[string]struct {
		change func(s *Settings)
		field  string
	}{
		"too little memory":    {func(s *Settings) { s.CallerMemoryBytes = 1000 }, "caller_memory_bytes"},
		"negative memory":      {func(s *Settings) { s.CallerMemoryBytes = -1 }, "caller_memory_bytes"},
		"negative connections": {func(s *Settings) { s.MaxCallerConnections = -1 }, "max_caller_connections"},
		"too many connections": {func(s *Settings) { s.MaxCallerConnections = 2 << 20 }, "max_caller_connections"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			settings := Settings{
				DataCentre: "a", StoreURL: "http://127.0.0.1:1", GraceMs: DefaultGraceMs, ClockSkewMs: DefaultClockSkewMs,
			}
			c.change(&settings)
			var fieldErr *bulrushchute.FieldError
			assert.Assert(t, errors.As(settings.Validate(), &fieldErr))
			assert.Equal(t, fieldErr.Field, c.field)
		})
	}
}

// Guards against a refusal before the end of a body that does not say that the request has
// not run, or not when it may be sent again.
func TestRejectBody(t *testing.T) {
	cases := map[string]struct {
		err  *bulrushcaller.BodyError
		want rejection
	}{
		"too slow":  {&bulrushcaller.BodyError{Status: 408, Reason: bulrushchute.ReasonBodyTimeout}, rejection{status: http.StatusRequestTimeout, reason: bulrushchute.ReasonBodyTimeout}},
		"no memory": {&bulrushcaller.BodyError{Status: 503, Reason: bulrushchute.ReasonNoMemory, RetryAfter: 1000}, rejection{status: http.StatusServiceUnavailable, reason: bulrushchute.ReasonNoMemory, retryAfter: 1000}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := rejectBody(c.err)
			assert.Equal(t, got.status, c.want.status)
			assert.Equal(t, got.reason, c.want.reason)
			assert.Equal(t, got.retryAfter, c.want.retryAfter)
		})
	}
}
