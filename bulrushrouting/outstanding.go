package bulrushrouting

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// outstanding holds the start instants of this node's unanswered attempts at
// one instance, oldest first.
type outstanding struct {
	starts []bulrushchute.Millis
}

func (o *outstanding) count() int {
	return len(o.starts)
}

func (o *outstanding) add(now bulrushchute.Millis) {
	at, _ := slices.BinarySearch(o.starts, now+1)
	o.starts = slices.Insert(o.starts, at, now)
}

// remove drops the attempt that started nearest to the given instant. An
// observation names no attempt, and any other choice would shift the ages of
// those that remain.
func (o *outstanding) remove(startedAt bulrushchute.Millis) {
	if len(o.starts) == 0 {
		return
	}
	at, _ := slices.BinarySearch(o.starts, startedAt)
	if at == len(o.starts) || at > 0 && startedAt-o.starts[at-1] < o.starts[at]-startedAt {
		at--
	}
	o.starts = slices.Delete(o.starts, at, at+1)
}

// oldestAge returns how long the oldest attempt has been unanswered, 0 if there is none.
func (o *outstanding) oldestAge(now bulrushchute.Millis) float64 {
	if len(o.starts) == 0 {
		return 0
	}
	return float64(max(now-o.starts[0], 0))
}
