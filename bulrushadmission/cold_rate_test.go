package bulrushadmission

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

const coldRateStart bulrushchute.Millis = 1_700_000_000_000

// Guards against a panic of the node when more requests wait for a cold server than
// it takes in a second, and none was dispatched in the last second.
func TestRetryAfterOfAColdServerWithoutDispatches(t *testing.T) {
	limiter := coldRateLimiter{until: coldRateStart + 10_000, perS: 4, factor: 1}
	cases := map[string]struct {
		requests int
		wait     bulrushchute.Millis
	}{
		"as many as a window":   {4, 0},
		"one more":              {5, coldRateWindow + 1},
		"two windows":           {8, coldRateWindow + 1},
		"in the window after":   {9, 2*coldRateWindow + 1},
		"until the end of cold": {400, 10_000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, limiter.waitFor(coldRateStart, tc.requests), tc.wait)
		})
	}
}

// Guards against a cold server that gets twice its limit in a second, because the
// node beside it restarts and has forgotten what it sent just before. The users'
// rule allows 12 a second at a factor of 1.5, and 5 more.
func TestColdRateHoldsOverARestartOfTheNode(t *testing.T) {
	const allowed = 12*1.5 + 5
	cases := map[string]struct {
		serverStartedBefore bool
		// least is the number of requests in the second after the restart.
		least int
	}{
		"server goes on running":       {serverStartedBefore: true, least: 4},
		"server started with the node": {least: 18},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			limits := reportingLimits()
			limits.ColdPerS = 12
			start := func(now bulrushchute.Millis, before bool) *Controller {
				c := New(now, Settings{ColdRateFactor: 1.5, Limits: limits})
				c.BackendStarted(now, Announcement{Slots: 9, StartedBefore: before})
				c.ObserveLoad(now, bulrushchute.BackendLoad{Slots: 9, Slowdown: 1})
				c.ObserveCold(now, 10_000)
				return c
			}
			now := coldRateStart
			var dispatched []bulrushchute.Millis
			if tc.serverStartedBefore {
				dispatched = dispatchCold(start(now, false), now)
				now = dispatched[len(dispatched)-1] + 100
			}
			after := dispatchCold(start(now, tc.serverStartedBefore), now)
			inSecond := 0
			for _, at := range after {
				if at < now+bulrushchute.Second {
					inSecond++
				}
			}
			assert.Assert(t, inSecond >= tc.least, "%d requests in the second after the restart", inSecond)
			dispatched = append(dispatched, after...)
			for i, first := range dispatched {
				count := 0
				for _, at := range dispatched[i:] {
					if at < first+bulrushchute.Second {
						count++
					}
				}
				assert.Assert(t, count <= allowed, "%d requests in one second", count)
			}
		})
	}
}

// Guards against tenants with many requests that use the whole rate of a cold server
// in the first moments of each window, and against requests that are held back while
// the server has been unused, as after an outage.
func TestColdRateIsSpreadBetweenTenants(t *testing.T) {
	cases := map[string]struct {
		tenants []bulrushchute.Tenant
		// second is the number of requests in the first moment of the second window.
		second int
	}{
		"no tenant":   {tenants: []bulrushchute.Tenant{""}, second: 9},
		"one tenant":  {tenants: []bulrushchute.Tenant{"a"}, second: 9},
		"two tenants": {tenants: []bulrushchute.Tenant{"a", "b"}, second: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			limiter := coldRateLimiter{until: coldRateStart + 10_000, perS: 9, factor: 1}
			dispatched := func(from, until bulrushchute.Millis) (count int) {
				for now := from; now <= until; now++ {
					for _, tenant := range append(tc.tenants, tc.tenants...) {
						limiter.observeTenant(now, tenant)
					}
					for ; limiter.allows(now); count++ {
						assert.Assert(t, now == from || limiter.nextDispatch(now-1) <= now || limiter.allows(now-1))
						limiter.recordDispatch(now)
					}
				}
				return count
			}
			for _, begin := range []bulrushchute.Millis{coldRateStart, coldRateStart + 5000} {
				assert.Equal(t, dispatched(begin, begin), 9)
				assert.Equal(t, dispatched(begin+1, begin+coldRateWindow-1), 0)
				second := dispatched(begin+coldRateWindow, begin+coldRateWindow)
				assert.Equal(t, second, tc.second)
				assert.Equal(t, second+dispatched(begin+coldRateWindow+1, begin+2*coldRateWindow-1), 9)
			}
		})
	}
}
