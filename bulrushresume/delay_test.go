package bulrushresume_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushresume"
)

// Guards against a delay that is taken from clocks that do not agree, and against one
// that grows by itself because the clocks drift apart.
func TestDelayMeter(t *testing.T) {
	type message struct {
		sentAt, arrivedAt, want bulrushchute.Millis
	}
	// The wanted delays are less by the allowance for drift, 1 ms a second.
	const hour = bulrushchute.Hour
	cases := map[string][]message{
		"clocks agree":               {{1000, 1002, 0}, {2000, 2003, 0}, {3000, 3500, 496}, {4000, 4002, 0}},
		"receiver's clock is behind": {{9000, 1002, 0}, {10000, 2502, 499}},
		"first message was delayed":  {{1000, 1700, 0}, {2000, 2002, 0}, {3000, 3700, 697}},
		"clocks drift apart":         {{0, 0, 0}, {hour, hour + 360, 0}, {2 * hour, 2*hour + 720, 0}},
		"delay after an hour":        {{0, 0, 0}, {hour, hour, 0}, {hour + 1000, hour + 2000, 998}},
	}
	for name, messages := range cases {
		t.Run(name, func(t *testing.T) {
			var meter bulrushresume.DelayMeter
			for _, m := range messages {
				assert.Equal(t, meter.Observe(m.sentAt, m.arrivedAt), m.want)
			}
		})
	}
}
