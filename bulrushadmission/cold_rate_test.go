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
