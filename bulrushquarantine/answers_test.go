package bulrushquarantine

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// Guards against a frequent good request that becomes suspect at each crash, against
// one that is cleared by an old answer, and against answers that fill the memory.
func TestRecentAnswers(t *testing.T) {
	cases := map[string]struct {
		body  int
		more  int
		after bulrushchute.Millis
		want  bool
	}{
		"just answered":    {0, 0, 0, true},
		"nearly forgotten": {0, 0, answerMemory - 1, true},
		"forgotten":        {0, 0, answerMemory, false},
		"large":            {maxAnswerBodyBytes + 1, 0, 0, false},
		"many since":       {0, maxAnswers, 0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			answers := &Answers{}
			attempt := attemptOn(1, "/good")
			attempt.Body = make([]byte, tc.body)
			answers.Record(t0, attempt)
			for range tc.more {
				answers.Record(t0, attemptOn(2, "/other"))
			}
			assert.Equal(t, answers.Contents(t0 + tc.after)[ContentOf(attempt)], tc.want)
		})
	}
}
