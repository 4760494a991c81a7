package bulrushwire

import (
	"context"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmemory"
)

const (
	// partBytes is the size up to which the body of an attempt is sent in the attempt
	// itself. A larger one is sent before it, in parts of this size: messages of other
	// attempts are written between them, and only a part at a time is copied.
	partBytes = 256 << 10
	// MaxAttemptBodyBytes is the maximum size of the body of an attempt that is sent in
	// parts.
	MaxAttemptBodyBytes = 64 << 20
	// acceptsParts is the value of headerParts.
	acceptsParts = "1"
	// fieldCost is what a header field takes besides its bytes.
	fieldCost = 100
	// attemptAllowance is the size of an attempt that needs no memory of the account.
	attemptAllowance = 16 << 10
	// retryAfterMemory is the Retry-After of attempts for which there is no memory.
	retryAfterMemory = bulrushchute.Second
)

// Part is a part of the body of an attempt that follows on the same connection.
type Part struct {
	Attempt bulrushchute.AttemptID `cbor:"1,keyasint"`
	// Total is the size of the whole body, the same in each part.
	Total int    `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
}

func checkPart(part Part) error {
	if part.Total < 1 || part.Total > MaxAttemptBodyBytes || len(part.Data) == 0 {
		return &MessageError{Problem: "part of a body with a wrong size"}
	}
	return nil
}

// sendParts sends the body of an attempt, and returns the attempt that must follow. Its
// error is that of send.
func (p *dataPeer) sendParts(ctx context.Context, connection *dataConnection, attempt bulrushchute.Attempt) (bulrushchute.Attempt, error) {
	if len(attempt.Body) <= partBytes || !connection.acceptsParts {
		return attempt, nil
	}
	body := attempt.Body
	for start := 0; start < len(body); start += partBytes {
		part := Part{Attempt: attempt.ID, Total: len(body), Data: body[start:min(len(body), start+partBytes)]}
		if err := p.send(ctx, connection, Message{Part: &part}); err != nil {
			// The peer drops the parts that it has.
			p.sendCancel(connection, attempt.ID)
			return attempt, err
		}
	}
	attempt.Body, attempt.BodyBytes = nil, len(body)
	return attempt, nil
}

// assembly is a body of which a part has not arrived, and its memory. Without memory, the
// parts are dropped and the attempt is refused.
type assembly struct {
	data  []byte
	total int
	share *bulrushmemory.Share
}

// addPart adds a part to the body of its attempt. It does not block.
func (s *session) addPart(part Part) {
	body, exists := s.assemblies[part.Attempt]
	if !exists {
		body = &assembly{total: part.Total, share: s.server.reserve(int64(part.Total))}
		if body.share != nil {
			body.data = make([]byte, 0, part.Total)
		}
		s.assemblies[part.Attempt] = body
	}
	if body.share != nil && len(body.data)+len(part.Data) <= body.total {
		body.data = append(body.data, part.Data...)
	}
}

// dropParts drops the body of an attempt that will not follow.
func (s *session) dropParts(id bulrushchute.AttemptID) {
	if body, exists := s.assemblies[id]; exists {
		delete(s.assemblies, id)
		body.share.Release()
	}
}

// dropAllParts drops the bodies whose attempts cannot arrive on a closed connection.
func (s *session) dropAllParts() {
	for id := range s.assemblies {
		s.dropParts(id)
	}
}

// claimMemory returns the attempt with its whole body, and the memory that it takes, nil if
// it needs none of the account. It returns false if there is no memory or no whole body.
func (s *session) claimMemory(attempt bulrushchute.Attempt) (bulrushchute.Attempt, *bulrushmemory.Share, bool) {
	if attempt.BodyBytes > 0 {
		body, exists := s.assemblies[attempt.ID]
		delete(s.assemblies, attempt.ID)
		if !exists || body.share == nil || len(body.data) != attempt.BodyBytes {
			if exists {
				body.share.Release()
			}
			return attempt, nil, false
		}
		attempt.Body, attempt.BodyBytes = body.data, 0
		return attempt, body.share, true
	}
	cost := int64(len(attempt.Body) + len(attempt.Path))
	for _, field := range attempt.Header {
		cost += int64(len(field.Name) + len(field.Value) + fieldCost)
	}
	if cost <= attemptAllowance {
		return attempt, nil, true
	}
	share := s.server.reserve(cost)
	return attempt, share, share != nil
}

// reserve returns memory for what a peer has sent, or nil if there is none.
func (s *Server) reserve(bytes int64) *bulrushmemory.Share {
	return s.Memory.TryReserve(bytes)
}

// refuse replies that an attempt was not run because there is no memory for it.
func (s *session) refuse(id bulrushchute.AttemptID) {
	reply := bulrushchute.Reply{ID: id, Refusal: &bulrushchute.Refusal{Reason: bulrushchute.ReasonNoMemory, RetryAfter: retryAfterMemory}}
	s.server.tasks.Start(s.server.context, "refusal", func(ctx context.Context) error {
		return s.connection.write(ctx, Message{Reply: &reply})
	})
}
