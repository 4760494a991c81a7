package bulrushrouting

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// outstandingAttempts holds the start times of this node's unanswered attempts
// at one instance, oldest first.
type outstandingAttempts struct {
	starts []bulrushchute.Millis
}

func (o *outstandingAttempts) count() int {
	return len(o.starts)
}

func (o *outstandingAttempts) add(now bulrushchute.Millis) {
	i, _ := slices.BinarySearch(o.starts, now+1)
	o.starts = slices.Insert(o.starts, i, now)
}

// remove deletes the attempt whose start is closest to startedAt. An
// observation does not identify its attempt, and deleting any other one would
// falsify the ages of those that remain.
func (o *outstandingAttempts) remove(startedAt bulrushchute.Millis) {
	if len(o.starts) == 0 {
		return
	}
	i, _ := slices.BinarySearch(o.starts, startedAt)
	if i == len(o.starts) || i > 0 && startedAt-o.starts[i-1] < o.starts[i]-startedAt {
		i--
	}
	o.starts = slices.Delete(o.starts, i, i+1)
}

// oldestAgeMs returns the age of the oldest attempt, 0 if there is none.
func (o *outstandingAttempts) oldestAgeMs(now bulrushchute.Millis) float64 {
	if len(o.starts) == 0 {
		return 0
	}
	return float64(max(now-o.starts[0], 0))
}
