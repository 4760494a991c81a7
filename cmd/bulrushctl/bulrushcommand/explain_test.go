package bulrushcommand_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute/cmd/bulrushctl/bulrushcommand"
)

const refusedLog = `  23.2317 node-a I0611 18:56:22.231588   11741 decision.go:46] "request refused" request="31073d02" service="routes" route="r1" catalogue="16" attempts=1 elapsed_ms=3 reason="busy" retry_after_ms=242
  23.2302 node-d I0611 18:56:22.230113   11740 decision.go:65] "attempt refused" request="31073d02" service="routes" reason="busy" in_flight=12 limit=15 queued=10 cold=false leaving=false slowdown=5 reading_age_ms=16
  23.2302 node-d I0611 18:56:22.230113   11740 decision.go:65] "attempt refused" request="310" service="routes" reason="busy"
`

const nestedLog = `I0611 18:56:02.333785 1 decision.go:46] "request refused" request="d58d.1" service="stock" reason="busy"
I0611 18:56:02.433785 1 decision.go:92] "backend server failed a request" request="d58d" server="i-2" route="r" reason="" status=500 started=true elapsed_ms=373
`

const deadlineLog = `I0611 18:56:28.226839 1 decision.go:95] "attempt failed" request="6bd9" server="i-2c" route="r" reason="deadline" status=0 started=true elapsed_ms=1867
I0611 18:56:28.226271 1 decision.go:48] "request failed" request="6bd9" service="routes" attempts=1 elapsed_ms=2001 reason="deadline" time_left_ms=-1
`

// Guards against an explanation that states a wrong cause, contains lines of other
// requests or is not sorted by time.
func TestExplain(t *testing.T) {
	cases := map[string]struct {
		id, log   string
		wantCause string
		wantLines int
	}{
		"refused":       {"31073d02", refusedLog, "not run: no server of the service had room (in flight 12 of 15, 10 waiting, slowdown 5, cold false)", 2},
		"nested call":   {"d58d", nestedLog, "backend server i-2 answered 500 because its call to stock ended: busy", 2},
		"deadline":      {"6bd9", deadlineLog, "its time ended after 1867 ms at backend server i-2c", 2},
		"lines missing": {"other", refusedLog, "no line names the request", 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var output bytes.Buffer
			environment := bulrushcommand.Environment{
				Stdin: strings.NewReader(tc.log), Stdout: &output, Stderr: &output, Getenv: func(string) string { return "" },
			}
			status := bulrushcommand.Run(context.Background(), environment, []string{"explain", tc.id})
			assert.Equal(t, status, bulrushcommand.ExitSuccess)
			lines := strings.Split(strings.TrimSpace(output.String()), "\n")
			assert.Equal(t, len(lines), tc.wantLines+1)
			assert.Assert(t, strings.HasPrefix(lines[tc.wantLines], "cause: "+tc.wantCause), "%s", lines[tc.wantLines])
			if tc.wantLines == 2 {
				assert.Assert(t, lines[0] < lines[1], "lines are not sorted by timestamp")
			}
		})
	}
}
