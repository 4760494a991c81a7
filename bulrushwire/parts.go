package bulrushwire

import (
	"context"
	"fmt"
	"sync"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmemory"
)

const (
	// partBytes is the size up to which the body of an attempt is sent in the attempt
	// itself. A larger one is sent before it, in parts of this size: messages of other
	// attempts are written between them, and only a part at a time is copied. On a link of
	// 17 Mbit/s its acknowledgement comes before the connection is taken for silent.
	partBytes = 64 << 10
	// MaxAttemptBodyBytes is the maximum size of the body of an attempt that is sent in
	// parts.
	MaxAttemptBodyBytes = 64 << 20
	// maxUnconfirmedBytes is what is sent of a body before the peer has confirmed what came
	// before. More would hold up the pings of the connection, which would be replaced.
	maxUnconfirmedBytes = 16 * partBytes
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

// PartAck confirms the parts that a peer has read.
type PartAck struct {
	Attempt bulrushchute.AttemptID `cbor:"1,keyasint"`
	// Bytes is how much of the body the peer has read. With Refused, there is no memory for
	// it, and no further part is needed.
	Bytes   int  `cbor:"2,keyasint"`
	Refused bool `cbor:"3,keyasint,omitempty"`
}

func checkPart(part Part) error {
	if part.Total < 1 || part.Total > MaxAttemptBodyBytes || len(part.Data) == 0 {
		return &MessageError{Problem: "part of a body with a wrong size"}
	}
	return nil
}

// sendParts sends the body of an attempt, and returns the attempt that must follow. Its
// error is that of send. ended is the channel for the end of the attempt.
func (p *dataPeer) sendParts(ctx context.Context, connection *dataConnection, attempt bulrushchute.Attempt, ended chan attemptEnd) (bulrushchute.Attempt, error) {
	body := attempt.Body
	switch {
	case len(body) <= partBytes || !connection.acceptsParts:
		return attempt, nil
	case len(body) > MaxAttemptBodyBytes:
		cause := &MessageError{Problem: fmt.Sprintf("a body of %d bytes exceeds the limit of %d", len(body), MaxAttemptBodyBytes)}
		return attempt, &bulrushchute.NotSentError{Address: p.address, Cause: cause}
	}
	acks := p.addAcks(attempt.ID)
	defer p.removeAcks(attempt.ID)
	var confirmed PartAck
	for start := 0; start < len(body) && !confirmed.Refused; start += partBytes {
		part := Part{Attempt: attempt.ID, Total: len(body), Data: body[start:min(len(body), start+partBytes)]}
		if err := p.send(ctx, connection, Message{Part: &part}); err != nil {
			p.sendCancel(connection, attempt.ID)
			return attempt, err
		}
		for start+len(part.Data)-confirmed.Bytes > maxUnconfirmedBytes && !confirmed.Refused {
			select {
			case confirmed = <-acks:
				continue
			case <-ctx.Done():
				p.sendCancel(connection, attempt.ID)
				return attempt, &bulrushchute.NotSentError{Address: p.address, Cause: ctx.Err()}
			case end := <-ended:
				// The connection was replaced, and the peer has not seen the attempt.
				ended <- end
			case <-connection.closed:
			}
			// What follows cannot be written, or is dropped: exchange awaits the end.
			confirmed.Bytes = len(body)
		}
	}
	attempt.Body, attempt.BodyBytes = nil, len(body)
	return attempt, nil
}

// addAcks returns the channel for the acknowledgements of an attempt's parts.
func (p *dataPeer) addAcks(id bulrushchute.AttemptID) <-chan PartAck {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	acks := make(chan PartAck, 1)
	p.acks[id] = acks
	return acks
}

func (p *dataPeer) removeAcks(id bulrushchute.AttemptID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.acks, id)
}

// deliverAck passes an acknowledgement on, in place of an earlier one that nobody has read.
func (p *dataPeer) deliverAck(ack PartAck) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	acks, exists := p.acks[ack.Attempt]
	if !exists {
		return
	}
	select {
	case <-acks:
	default:
	}
	acks <- ack
}

// ackQueue holds the acknowledgements that have to be written, the latest of each attempt.
type ackQueue struct {
	mutex  sync.Mutex
	latest map[bulrushchute.AttemptID]PartAck
	// due has an element while the queue is not empty.
	due chan struct{}
}

func newAckQueue() *ackQueue {
	return &ackQueue{latest: make(map[bulrushchute.AttemptID]PartAck), due: make(chan struct{}, 1)}
}

func (aq *ackQueue) add(ack PartAck) {
	aq.mutex.Lock()
	defer aq.mutex.Unlock()
	aq.latest[ack.Attempt] = ack
	select {
	case aq.due <- struct{}{}:
	default:
	}
}

func (aq *ackQueue) take() map[bulrushchute.AttemptID]PartAck {
	aq.mutex.Lock()
	defer aq.mutex.Unlock()
	taken := aq.latest
	aq.latest = make(map[bulrushchute.AttemptID]PartAck)
	return taken
}

// sendAcks writes acknowledgements until the connection ends.
func (s *session) sendAcks(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.acks.due:
		}
		for _, ack := range s.acks.take() {
			if err := s.connection.write(ctx, Message{PartAck: &ack}); err != nil {
				return err
			}
		}
	}
}

// assembly is a body of which a part has not arrived, and its memory. Without memory, the
// parts are dropped and the attempt is refused.
type assembly struct {
	data  []byte
	total int
	share *bulrushmemory.Share
	// read counts the bytes of all parts, also of those that were dropped.
	read int
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
	body.read += len(part.Data)
	s.acks.add(PartAck{Attempt: part.Attempt, Bytes: body.read, Refused: body.share == nil})
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
