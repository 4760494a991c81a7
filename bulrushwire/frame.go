package bulrushwire

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// MaxFrameBytes is the maximum size of one encoded message between nodes.
const MaxFrameBytes = 8 << 20

// MaxBodyBytes is the maximum size of a request or answer body. It leaves room
// in a frame for the header.
const MaxBodyBytes = MaxFrameBytes - 1<<20

// Limits on decoded messages. A control message of 8 KB cannot hold more
// elements than this.
const (
	maxArrayElements = 1 << 16
	maxNestedLevels  = 16
)

// Frame is one message between nodes. Exactly one field is set.
type Frame struct {
	Attempt *bulrushchute.Attempt   `cbor:"1,keyasint,omitempty"`
	Reply   *bulrushchute.Reply     `cbor:"2,keyasint,omitempty"`
	Cancel  *bulrushchute.AttemptID `cbor:"3,keyasint,omitempty"`
	Control *bulrushchute.Control   `cbor:"4,keyasint,omitempty"`
}

// FrameError reports a message that violates the protocol.
type FrameError struct {
	Problem string
}

// Error implements error.
func (e *FrameError) Error() string {
	return "malformed message: " + e.Problem
}

// TruncatedError reports an answer whose body does not match its length or
// checksum.
type TruncatedError struct {
	Want int
	Got  int
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("answer body has %d of %d bytes or a wrong checksum", e.Got, e.Want)
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxArrayElements,
		MaxNestedLevels:  maxNestedLevels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode serialises a frame as CBOR. A frame larger than MaxFrameBytes is a
// *FrameError.
func Encode(frame Frame) ([]byte, error) {
	data, err := encoder.Marshal(frame)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(data) > MaxFrameBytes {
		return nil, &FrameError{Problem: fmt.Sprintf("%d bytes exceed the limit of %d", len(data), MaxFrameBytes)}
	}
	return data, nil
}

// Decode parses and validates a frame. Invalid data is a *FrameError.
func Decode(data []byte) (Frame, error) {
	var frame Frame
	if len(data) > MaxFrameBytes {
		return frame, &FrameError{Problem: "exceeds the size limit"}
	}
	if err := decoder.Unmarshal(data, &frame); err != nil {
		return Frame{}, &FrameError{Problem: err.Error()}
	}
	if err := frame.check(); err != nil {
		return Frame{}, err
	}
	return frame, nil
}

func (f Frame) check() error {
	set := countTrue(f.Attempt != nil, f.Reply != nil, f.Cancel != nil, f.Control != nil)
	if set != 1 {
		return &FrameError{Problem: fmt.Sprintf("%d content fields are set, want 1", set)}
	}
	switch {
	case f.Attempt != nil:
		return checkAttempt(*f.Attempt)
	case f.Reply != nil:
		return checkReply(*f.Reply)
	case f.Control != nil:
		return checkControl(*f.Control)
	}
	return nil
}

func checkAttempt(attempt bulrushchute.Attempt) error {
	switch {
	case attempt.Service == "":
		return &FrameError{Problem: "attempt without a service"}
	case attempt.Method == "":
		return &FrameError{Problem: "attempt without a method"}
	case attempt.Class >= bulrushchute.ClassCount:
		return &FrameError{Problem: "attempt with an unknown class"}
	case attempt.Depth < 0:
		return &FrameError{Problem: "attempt with a negative depth"}
	}
	return nil
}

func checkReply(reply bulrushchute.Reply) error {
	if countTrue(reply.Answer != nil, reply.Refusal != nil, reply.Failure != nil) != 1 {
		return &FrameError{Problem: "reply without exactly one of answer, refusal and failure"}
	}
	return nil
}

func checkControl(control bulrushchute.Control) error {
	set := countTrue(control.Heartbeat != nil, control.HeartbeatAck != nil, control.Have != nil,
		control.Want != nil, control.Records != nil, control.Digest != nil,
		control.Evidence != nil, control.PromiseAsk != nil, control.Promise != nil)
	if set != 1 {
		return &FrameError{Problem: "control message without exactly one content field"}
	}
	if control.From == "" {
		return &FrameError{Problem: "control message without a sender"}
	}
	return nil
}

func countTrue(conditions ...bool) int {
	count := 0
	for _, c := range conditions {
		if c {
			count++
		}
	}
	return count
}

// AddChecksum returns the answer with Length and Checksum set from its body.
func AddChecksum(answer bulrushchute.Answer) bulrushchute.Answer {
	answer.Length = len(answer.Body)
	answer.Checksum = xxhash.Sum64(answer.Body)
	return answer
}

// VerifyChecksum returns a *TruncatedError if the body does not match the
// answer's length or checksum.
func VerifyChecksum(answer bulrushchute.Answer) error {
	if len(answer.Body) == answer.Length && xxhash.Sum64(answer.Body) == answer.Checksum {
		return nil
	}
	return &TruncatedError{Want: answer.Length, Got: len(answer.Body)}
}
