package bulrushresume

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// Guards against a silent connection that is found late, against a slow peer that is
// taken for a silent connection again and again, and against pings on a connection on
// which messages arrive.
func TestSilenceIsFound(t *testing.T) {
	// With the time to open another connection, an attempt ends within 150 ms more
	// than its work.
	const foundWithin = 140 * bulrushchute.Millisecond
	cases := map[string]struct {
		answersAfter, silentFrom bulrushchute.Millis
		maxReplaced              int
	}{
		"silent at once":  {1, 0, 1},
		"silent later":    {1, 2000, 1},
		"fast peer":       {1, 10_000, 0},
		"slow peer":       {60, 10_000, 0},
		"peer that hangs": {500, 10_000, 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			silence := NewSilence(testStart, 1)
			replaced, pings := 0, 0
			var answerAt bulrushchute.Millis
			for now := testStart; now < testStart+10_000; now += 10 {
				if answerAt > 0 && now >= answerAt {
					silence.Heard(now)
					answerAt = 0
				}
				switch silence.Next(now) {
				case SilencePing:
					pings++
					if now-testStart < tc.silentFrom {
						answerAt = now + tc.answersAfter
					}
				case SilenceReplace:
					replaced++
					if tc.silentFrom < 10_000 {
						assert.Assert(t, now-testStart-tc.silentFrom <= foundWithin, "found after %d ms", now-testStart-tc.silentFrom)
						return
					}
					silence.Alive(now)
				}
			}
			assert.Assert(t, replaced <= tc.maxReplaced, "%d replacements", replaced)
			assert.Assert(t, tc.silentFrom >= 10_000, "not found")
			assert.Assert(t, pings <= 10_000/int(pingAfter), "%d pings", pings)
		})
	}
}
