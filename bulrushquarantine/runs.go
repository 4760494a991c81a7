package bulrushquarantine

import (
	"cmp"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// UnansweredMemory is the time for which a request that ended without an answer, as
// after a cancellation, may still be running on the backend server.
const UnansweredMemory = 2 * bulrushchute.Second

// Runs are the requests that a backend server runs, and those that it may still run
// although they have ended without an answer.
type Runs struct {
	running    map[bulrushchute.AttemptID]run
	unanswered []run
}

type run struct {
	attempt   bulrushchute.Attempt
	startedAt bulrushchute.Millis
	// endedAt is set for a request that has ended without an answer.
	endedAt bulrushchute.Millis
}

// NewRuns returns the runs of a backend server that runs nothing.
func NewRuns() *Runs {
	return &Runs{running: make(map[bulrushchute.AttemptID]run)}
}

// Start records that the backend server may run an attempt from now on.
func (r *Runs) Start(now bulrushchute.Millis, attempt bulrushchute.Attempt) {
	r.running[attempt.ID] = run{attempt: attempt, startedAt: now}
}

// End records that an attempt has ended. The server may still run it unless it is
// settled: answered, or certainly not run.
func (r *Runs) End(now bulrushchute.Millis, id bulrushchute.AttemptID, settled bool) {
	ended, running := r.running[id]
	if !running {
		return
	}
	delete(r.running, id)
	r.forget(now)
	if !settled {
		ended.endedAt = now
		r.unanswered = append(r.unanswered, ended)
	}
}

func (r *Runs) forget(now bulrushchute.Millis) {
	r.unanswered = slices.DeleteFunc(r.unanswered, func(ended run) bool {
		return now >= ended.endedAt+UnansweredMemory
	})
}

// TakeContents returns the contents of all requests that the backend server may be
// running, each once, and forgets the requests. It is called when the server has
// ended. The request that began last comes first, since a crash usually follows soon
// after the beginning of its cause.
func (r *Runs) TakeContents(now bulrushchute.Millis) []Content {
	r.forget(now)
	runs := r.unanswered
	for _, running := range r.running {
		runs = append(runs, running)
	}
	slices.SortFunc(runs, func(a, b run) int { return cmp.Compare(b.startedAt, a.startedAt) })
	clear(r.running)
	r.unanswered = nil
	var contents []Content
	known := make(map[Content]bool, len(runs))
	for _, taken := range runs {
		content := ContentOf(taken.attempt)
		if !known[content] {
			known[content] = true
			contents = append(contents, content)
		}
	}
	return contents
}
