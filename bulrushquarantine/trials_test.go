package bulrushquarantine

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// Guards against two suspect requests that run on a server at the same time, so that
// a crash accuses both, and against one that waits although the server is free.
func TestTrialsOneAtATime(t *testing.T) {
	id := func(number byte) bulrushchute.AttemptID { return bulrushchute.AttemptID{number} }
	trials := &Trials{}
	assert.Equal(t, trials.Enter(id(1), Suspect, true), EnterTrial)
	assert.Equal(t, trials.Enter(id(2), Suspect, true), EnterLater)
	assert.Equal(t, trials.Enter(id(3), Suspect, true), EnterLater)
	assert.Equal(t, trials.Enter(id(4), Free, false), Enter)
	assert.Equal(t, trials.Enter(id(5), Suspect, false), EnterNever)
	assert.Equal(t, trials.Enter(id(6), Quarantined, true), EnterNever)
	trials.Leave(id(1))
	assert.Equal(t, trials.Enter(id(3), Suspect, true), EnterLater, "the second in the queue")
	assert.Equal(t, trials.Enter(id(2), Suspect, true), EnterTrial)
	assert.Equal(t, trials.Enter(id(3), Free, true), Enter, "cleared while it waited")
	trials.Leave(id(2))
	assert.Equal(t, trials.Enter(id(7), Suspect, true), EnterTrial)
	for number := range 2 * maxWaitingTrials {
		trials.Enter(bulrushchute.AttemptID{8, byte(number)}, Suspect, true)
	}
	assert.Equal(t, len(trials.Waiting()), maxWaitingTrials)
}
