package bulrushwire_test

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushwire"
)

func ExampleAddChecksum() {
	answer := bulrushwire.AddChecksum(bulrushchute.Answer{Status: 200, Body: []byte("whole")})
	fmt.Println(bulrushwire.VerifyChecksum(answer))
	answer.Body = answer.Body[:3]
	fmt.Println(bulrushwire.VerifyChecksum(answer))
	// Output:
	// <nil>
	// answer body has 3 of 5 bytes or a wrong checksum
}

func sampleAttempt() bulrushchute.Attempt {
	return bulrushchute.Attempt{Service: "board", Method: "GET", Path: "/", Remaining: 1000}
}

// Guards against passing malformed messages from peers on to the packages that
// act on them.
func TestDecodeRejectsMalformedMessages(t *testing.T) {
	attempt := sampleAttempt()
	noService := attempt
	noService.Service = ""
	badClass := attempt
	badClass.Class = bulrushchute.ClassCount
	negativeDepth := attempt
	negativeDepth.Depth = -1
	cases := map[string]bulrushwire.Message{
		"empty":                     {},
		"two content fields":        {Attempt: &attempt, Cancel: &attempt.ID},
		"attempt without a service": {Attempt: &noService},
		"unknown class":             {Attempt: &badClass},
		"negative depth":            {Attempt: &negativeDepth},
		"reply without content":     {Reply: &bulrushchute.Reply{}},
		"reply with two content fields": {Reply: &bulrushchute.Reply{
			Refusal: &bulrushchute.Refusal{}, Failure: &bulrushchute.Failure{}}},
		"control without content":               {Control: &bulrushchute.Control{From: "a"}},
		"recorded confirmation from the future": {Control: &bulrushchute.Control{From: "a", Records: &bulrushchute.Records{ConfirmationAge: -1}}},
		"confirmation from the future":          {Control: &bulrushchute.Control{From: "a", Confirmation: &bulrushchute.Confirmation{Age: -1}}},
		"control without a sender":              {Control: &bulrushchute.Control{Want: &bulrushchute.Want{}}},
	}
	for name, message := range cases {
		t.Run(name, func(t *testing.T) {
			data, err := bulrushwire.Encode(message)
			assert.NilError(t, err)
			_, err = bulrushwire.Decode(data)
			var malformed *bulrushwire.MessageError
			assert.Assert(t, errors.As(err, &malformed), "got %v", err)
		})
	}
}

// Guards against a panic on arbitrary input and against a decoded message that
// can't be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	attempt := sampleAttempt()
	for _, message := range []bulrushwire.Message{
		{Attempt: &attempt},
		{Cancel: &attempt.ID},
		{Reply: &bulrushchute.Reply{Refusal: &bulrushchute.Refusal{Reason: bulrushchute.ReasonBusy}}},
		{Control: &bulrushchute.Control{From: "a", Heartbeat: &bulrushchute.Heartbeat{Sequence: 1}}},
	} {
		data, err := bulrushwire.Encode(message)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := bulrushwire.Decode(data)
		if err != nil {
			return
		}
		again, err := bulrushwire.Encode(message)
		assert.NilError(t, err)
		_, err = bulrushwire.Decode(again)
		assert.NilError(t, err)
	})
}

func BenchmarkAttemptMessage(b *testing.B) {
	attempt := sampleAttempt()
	attempt.Header = []bulrushchute.HeaderField{{Name: "Accept", Value: "application/json"}, {Name: "X-Request-Id", Value: "0123456789"}}
	attempt.Body = make([]byte, 512)
	b.ReportAllocs()
	for b.Loop() {
		data, err := bulrushwire.Encode(bulrushwire.Message{Attempt: &attempt})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := bulrushwire.Decode(data); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes/message")
	}
}
