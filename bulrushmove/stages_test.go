package bulrushmove

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// Guards against a move that waits so long for evidence that the remaining stages
// no longer fit in before its deadline, above all a short one.
func TestLatestStagesFitBeforeTheDeadline(t *testing.T) {
	cases := map[string]bulrushchute.Millis{
		"half a minute": 30 * bulrushchute.Second,
		"a minute":      bulrushchute.Minute,
		"ten minutes":   10 * bulrushchute.Minute,
		"eight hours":   8 * bulrushchute.Hour,
	}
	for name, duration := range cases {
		t.Run(name, func(t *testing.T) {
			state := State{StartedAtMs: 1000, CompleteByMs: 1000 + duration}
			for next := 3; next < state.lastStage(); next++ {
				earliestEnd := state.latestStart(next) + state.minStageDuration()
				assert.Assert(t, earliestEnd <= state.latestStart(next+1), "stage %d ends after stage %d begins", next, next+1)
			}
			assert.Assert(t, state.latestStart(state.lastStage())+state.minStageDuration() <= state.completeAt())
		})
	}
}
