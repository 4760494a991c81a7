package bulrushwire_test

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushwire"
)

// Guards against an answer that another node, of an earlier release, passes on although its
// backend server violated HTTP. The request may have run.
func TestMalformedAnswersOfOtherNodes(t *testing.T) {
	cases := map[string]struct {
		answer bulrushchute.Answer
		wantOK bool
	}{
		"whole":                {bulrushchute.Answer{Status: 200, Header: []bulrushchute.HeaderField{{Name: "X-A", Value: "1"}}}, true},
		"failure":              {bulrushchute.Answer{Status: 500}, true},
		"status zero":          {bulrushchute.Answer{Status: 0}, false},
		"status of two digits": {bulrushchute.Answer{Status: 42}, false},
		"interim":              {bulrushchute.Answer{Status: 103}, false},
		"blank in a name":      {bulrushchute.Answer{Status: 200, Header: []bulrushchute.HeaderField{{Name: "X A", Value: "1"}}}, false},
		"control byte":         {bulrushchute.Answer{Status: 200, Header: []bulrushchute.HeaderField{{Name: "X\x01A", Value: "1"}}}, false},
		"no name":              {bulrushchute.Answer{Status: 200, Header: []bulrushchute.HeaderField{{Value: "1"}}}, false},
		"above the highest":    {bulrushchute.Answer{Status: 600}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			address, _ := startNode(t, &fakeNode{attempt: func(_ context.Context, _ bulrushchute.Attempt) bulrushchute.Reply {
				answer := bulrushwire.AddChecksum(tc.answer)
				return bulrushchute.Reply{Answer: &answer}
			}})
			reply, err := newClient(t).Exchange(t.Context(), address, numberedAttempt(1))
			if tc.wantOK {
				assert.NilError(t, err)
				assert.DeepEqual(t, reply.Answer.Header, tc.answer.Header)
				return
			}
			var lost *bulrushchute.NoReplyError
			assert.Assert(t, errors.As(err, &lost), "%v", err)
		})
	}
}
