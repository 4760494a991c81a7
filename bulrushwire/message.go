package bulrushwire

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushresume"
)

// MaxMessageBytes is the maximum size of an encoded message.
const MaxMessageBytes = 8 << 20

// MaxBodyBytes is the maximum size of a body in a message. It leaves room in the message
// for the header.
const MaxBodyBytes = MaxMessageBytes - 1<<20

// Limits on decoded messages. maxArrayElements is more than a control message
// of 8 KB can hold.
const (
	maxArrayElements = 1 << 16
	maxNestedLevels  = 16
)

// Message is a message between nodes, sent as one binary WebSocket message.
// Exactly one field besides SentAt is set.
type Message struct {
	Attempt *bulrushchute.Attempt   `cbor:"1,keyasint,omitempty"`
	Reply   *bulrushchute.Reply     `cbor:"2,keyasint,omitempty"`
	Cancel  *bulrushchute.AttemptID `cbor:"3,keyasint,omitempty"`
	Control *bulrushchute.Control   `cbor:"4,keyasint,omitempty"`
	// Ping asks for a Pong, which shows that the connection and the process work.
	Ping *Ping `cbor:"5,keyasint,omitempty"`
	Pong *Ping `cbor:"6,keyasint,omitempty"`
	// Resume asks for attempts that were sent on other connections, and Resumed is
	// its answer.
	Resume  *Resume  `cbor:"7,keyasint,omitempty"`
	Resumed *Resumed `cbor:"8,keyasint,omitempty"`
	// SentAt is set besides on attempts, and on control messages with a confirmation of
	// the catalogue: the time on the sender's clock at which Attempt.Remaining was
	// determined or the control message was queued. It is 0 if the sender does not state
	// it.
	SentAt bulrushchute.Millis `cbor:"9,keyasint,omitempty"`
	// Part is sent only to nodes that accept it.
	Part    *Part    `cbor:"10,keyasint,omitempty"`
	PartAck *PartAck `cbor:"11,keyasint,omitempty"`
}

// Ping has no content.
type Ping struct{}

// Resume asks the receiver to move attempts to the connection on which it arrives.
type Resume struct {
	// Connections are those on which the attempts were sent, or asked for before.
	// Nothing that arrives on them later may run.
	Connections []bulrushresume.ConnectionID `cbor:"1,keyasint"`
	Attempts    []bulrushchute.AttemptID     `cbor:"2,keyasint"`
}

// Resumed names the attempts for which no reply follows.
type Resumed struct {
	// NeverSeen are those that have not run and never will.
	NeverSeen []bulrushchute.AttemptID `cbor:"1,keyasint,omitempty"`
	// Gone are those of which the outcome is not known.
	Gone []bulrushchute.AttemptID `cbor:"2,keyasint,omitempty"`
}

// MessageError reports a message that violates the protocol.
type MessageError struct {
	Problem string
}

// Error implements error.
func (e *MessageError) Error() string {
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

// Encode serialises a message as CBOR. It returns a *MessageError if the result
// is larger than MaxMessageBytes.
func Encode(message Message) ([]byte, error) {
	data, err := encoder.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(data) > MaxMessageBytes {
		return nil, &MessageError{Problem: fmt.Sprintf("%d bytes exceed the limit of %d", len(data), MaxMessageBytes)}
	}
	return data, nil
}

// Decode parses and validates a message. It returns a *MessageError if the data
// is invalid.
func Decode(data []byte) (Message, error) {
	var message Message
	if len(data) > MaxMessageBytes {
		return message, &MessageError{Problem: "exceeds the size limit"}
	}
	if err := decoder.Unmarshal(data, &message); err != nil {
		return Message{}, &MessageError{Problem: err.Error()}
	}
	if err := message.check(); err != nil {
		return Message{}, err
	}
	return message, nil
}

// name returns the kind of message.
func (m Message) name() string {
	switch {
	case m.Attempt != nil:
		return "attempt"
	case m.Reply != nil:
		return "reply"
	case m.Cancel != nil:
		return "cancel"
	case m.Control != nil:
		return "control"
	case m.Ping != nil:
		return "ping"
	case m.Pong != nil:
		return "pong"
	case m.Resume != nil:
		return "resume"
	case m.Part != nil:
		return "part"
	case m.PartAck != nil:
		return "part acknowledgement"
	default:
		return "resumed"
	}
}

func (m Message) check() error {
	set := countTrue(m.Attempt != nil, m.Reply != nil, m.Cancel != nil, m.Control != nil,
		m.Ping != nil, m.Pong != nil, m.Resume != nil, m.Resumed != nil, m.Part != nil, m.PartAck != nil)
	if set != 1 {
		return &MessageError{Problem: fmt.Sprintf("%d content fields are set, want 1", set)}
	}
	switch {
	case m.Attempt != nil:
		return checkAttempt(*m.Attempt)
	case m.Reply != nil:
		return checkReply(*m.Reply)
	case m.Control != nil:
		return checkControl(*m.Control)
	case m.Part != nil:
		return checkPart(*m.Part)
	}
	return nil
}

func checkAttempt(attempt bulrushchute.Attempt) error {
	switch {
	case attempt.Service == "":
		return &MessageError{Problem: "attempt without a service"}
	case attempt.Method == "":
		return &MessageError{Problem: "attempt without a method"}
	case attempt.Class >= bulrushchute.ClassCount:
		return &MessageError{Problem: "attempt with an unknown class"}
	case attempt.Depth < 0:
		return &MessageError{Problem: "attempt with a negative depth"}
	case attempt.BodyBytes < 0 || attempt.BodyBytes > 0 && len(attempt.Body) > 0:
		return &MessageError{Problem: "attempt with two bodies"}
	}
	return nil
}

func checkReply(reply bulrushchute.Reply) error {
	if countTrue(reply.Answer != nil, reply.Refusal != nil, reply.Failure != nil) != 1 {
		return &MessageError{Problem: "reply without exactly one of answer, refusal and failure"}
	}
	return nil
}

func checkControl(control bulrushchute.Control) error {
	set := countTrue(control.Heartbeat != nil, control.HeartbeatAck != nil, control.Have != nil,
		control.Want != nil, control.Records != nil, control.Digest != nil,
		control.Evidence != nil, control.PromiseAsk != nil, control.Promise != nil, control.Confirmation != nil, control.Usage != nil)
	if set != 1 {
		return &MessageError{Problem: "control message without exactly one content field"}
	}
	if control.From == "" {
		return &MessageError{Problem: "control message without a sender"}
	}
	if control.Confirmation != nil && control.Confirmation.Age < 0 {
		return &MessageError{Problem: "confirmation with a negative age"}
	}
	if control.Records != nil && control.Records.ConfirmationAge < 0 {
		return &MessageError{Problem: "records with a confirmation of a negative age"}
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
