package bulrushquarantine

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

func attemptOn(number byte, path string) bulrushchute.Attempt {
	return bulrushchute.Attempt{ID: bulrushchute.AttemptID{number}, Service: "board", Method: "GET", Path: path}
}

// Guards against a crash whose cause is overlooked: the request had been cancelled,
// or its connection was the first one to be lost.
func TestContentsAtACrash(t *testing.T) {
	cases := map[string]struct {
		steps func(r *Runs)
		want  []string
	}{
		"running":            {func(r *Runs) { r.Start(1000, attemptOn(1, "/a")) }, []string{"/a"}},
		"answered":           {func(r *Runs) { r.Start(1000, attemptOn(1, "/a")); r.End(1900, bulrushchute.AttemptID{1}, true) }, nil},
		"cancelled just now": {func(r *Runs) { r.Start(1000, attemptOn(1, "/a")); r.End(1900, bulrushchute.AttemptID{1}, false) }, []string{"/a"}},
		"cancelled long ago": {func(r *Runs) {
			r.Start(1000, attemptOn(1, "/a"))
			r.End(2000-UnansweredMemory, bulrushchute.AttemptID{1}, false)
		}, nil},
		"same content twice": {func(r *Runs) { r.Start(1000, attemptOn(1, "/a")); r.Start(1000, attemptOn(2, "/a")) }, []string{"/a"}},
		"latest first": {func(r *Runs) {
			r.Start(1000, attemptOn(1, "/a"))
			r.Start(1200, attemptOn(2, "/b"))
			r.Start(1100, attemptOn(3, "/c"))
		}, []string{"/b", "/c", "/a"}},
		"crashed once before": {func(r *Runs) {
			r.Start(1000, attemptOn(1, "/a"))
			r.TakeContents(1999)
			r.Start(1000, attemptOn(2, "/b"))
		}, []string{"/b"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewRuns()
			tc.steps(r)
			contents := r.TakeContents(2000)
			assert.Equal(t, len(contents), len(tc.want))
			for i, path := range tc.want {
				assert.Equal(t, contents[i], ContentOf(attemptOn(0, path)))
			}
		})
	}
}
