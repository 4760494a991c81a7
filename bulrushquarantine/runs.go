package bulrushquarantine

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// UnansweredMemory is the time for which a request that ended without an answer, as
// after a cancellation, may still be running on the backend server.
const UnansweredMemory = 2 * bulrushchute.Second

// Runs are the requests that a backend server runs, and those that it may still run
// although they have ended without an answer.
type Runs struct {
	running    map[bulrushchute.AttemptID]bulrushchute.Attempt
	unanswered []unansweredRun
}

type unansweredRun struct {
	attempt bulrushchute.Attempt
	endedAt bulrushchute.Millis
}

// NewRuns returns the runs of a backend server that runs nothing.
func NewRuns() *Runs {
	return &Runs{running: make(map[bulrushchute.AttemptID]bulrushchute.Attempt)}
}

// Start records that the backend server may run an attempt from now on.
func (r *Runs) Start(attempt bulrushchute.Attempt) {
	r.running[attempt.ID] = attempt
}

// End records that an attempt has ended. The server may still run it unless it is
// settled: answered, or certainly not run.
func (r *Runs) End(now bulrushchute.Millis, id bulrushchute.AttemptID, settled bool) {
	attempt, running := r.running[id]
	if !running {
		return
	}
	delete(r.running, id)
	r.forget(now)
	if !settled {
		r.unanswered = append(r.unanswered, unansweredRun{attempt: attempt, endedAt: now})
	}
}

func (r *Runs) forget(now bulrushchute.Millis) {
	r.unanswered = slices.DeleteFunc(r.unanswered, func(run unansweredRun) bool {
		return now >= run.endedAt+UnansweredMemory
	})
}

// TakeContents returns the contents of all requests that the backend server may be
// running, each once and in order, and forgets the requests. It is called when the
// server has ended.
func (r *Runs) TakeContents(now bulrushchute.Millis) []Content {
	r.forget(now)
	contents := make([]Content, 0, len(r.running)+len(r.unanswered))
	for _, attempt := range r.running {
		contents = append(contents, ContentOf(attempt))
	}
	for _, run := range r.unanswered {
		contents = append(contents, ContentOf(run.attempt))
	}
	clear(r.running)
	r.unanswered = nil
	slices.SortFunc(contents, func(a, b Content) int { return slices.Compare(a[:], b[:]) })
	return slices.Compact(contents)
}
