package bulrushwire

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushresponse"
	"bulrushchute.example/bulrushchute/bulrushresume"
)

// maxConnects limits the connections on which an attempt is tried to be sent that are
// lost before.
const maxConnects = 3

func newConnectionID() bulrushresume.ConnectionID {
	var id bulrushresume.ConnectionID
	// It never returns an error.
	_, _ = rand.Read(id[:])
	return id
}

// Resumptions counts what became of attempts whose connection was lost or silent.
type Resumptions struct {
	// Replaced counts the connections, Silent those of them that were silent.
	Replaced int64 `json:"replaced"`
	Silent   int64 `json:"silent"`
	// Attempts counts the attempts that were asked for, NotRun those that had not
	// arrived, and Unknown those whose outcome stays unknown.
	Attempts int64 `json:"attempts"`
	NotRun   int64 `json:"not_run"`
	Unknown  int64 `json:"unknown"`
}

type resumptionCounters struct {
	replaced, silent, attempts, notRun, unknown atomic.Int64
}

// Resumptions returns the counts since the start.
func (c *Client) Resumptions() Resumptions {
	return Resumptions{
		Replaced: c.resumptions.replaced.Load(),
		Silent:   c.resumptions.silent.Load(),
		Attempts: c.resumptions.attempts.Load(),
		NotRun:   c.resumptions.notRun.Load(),
		Unknown:  c.resumptions.unknown.Load(),
	}
}

// attemptEnd is how an attempt ended: with a reply, or with a *NotSentError or
// *NoReplyError.
type attemptEnd struct {
	reply bulrushchute.Reply
	err   error
}

// pendingAttempt is an attempt that awaits its end, and the connection to which it
// belongs. A cancelled one stays pending until the peer has ended it, so that the cancel
// is repeated if its connection is lost or silent.
type pendingAttempt struct {
	connection *dataConnection
	end        chan attemptEnd
	cancelled  bool
	// deadline is that of the attempt.
	deadline bulrushchute.Millis
}

// dataConnection is a connection that carries attempts.
type dataConnection struct {
	*connection
	silence *bulrushresume.Silence
	// former are the connections that this one replaced, until the peer has confirmed
	// that nothing is accepted on them.
	former []bulrushresume.ConnectionID
	// watched is set while a goroutine watches the connection, replacing while another
	// one is opened.
	watched, replacing bool
}

// dataPeer manages the connection that carries attempts to one peer. It dials
// again when the connection has been lost.
type dataPeer struct {
	client  *Client
	address bulrushchute.Address
	// dialMutex is held while dialling, so that concurrent attempts share one
	// connection.
	dialMutex sync.Mutex
	// mutex guards the fields below and those of the connections.
	mutex   sync.Mutex
	current *dataConnection
	pending map[bulrushchute.AttemptID]pendingAttempt
	// acks pass the acknowledgements of parts to the attempts that send them.
	acks map[bulrushchute.AttemptID]chan PartAck
}

func (p *dataPeer) connect(ctx context.Context) (*dataConnection, error) {
	if connection := p.openConnection(); connection != nil {
		return connection, nil
	}
	p.dialMutex.Lock()
	defer p.dialMutex.Unlock()
	if connection := p.openConnection(); connection != nil {
		return connection, nil
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	connection, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.use(connection)
	return connection, nil
}

func (p *dataPeer) dial(ctx context.Context) (*dataConnection, error) {
	began := p.client.clock.Now()
	opened, err := p.client.dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	now := p.client.clock.Now()
	return &dataConnection{connection: opened, silence: bulrushresume.NewSilence(now, now-began)}, nil
}

// use makes a connection the current one and reads it. The mutex is held.
func (p *dataPeer) use(connection *dataConnection) {
	p.current = connection
	p.client.tasks.Start(p.client.context, "replies", func(ctx context.Context) error {
		return p.readReplies(ctx, connection)
	})
}

func (p *dataPeer) openConnection() *dataConnection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.current == nil || p.current.isClosed() {
		return nil
	}
	return p.current
}

func (p *dataPeer) readReplies(ctx context.Context, connection *dataConnection) error {
	err := connection.read(ctx, func() { p.heard(connection) }, func(message Message) { p.deliver(connection, message) })
	p.replace(ctx, connection)
	return err
}

// heard records that a message or a part of one has arrived.
func (p *dataPeer) heard(connection *dataConnection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	connection.silence.Heard(p.client.clock.Now())
}

// deliver handles a message from the peer. Replies to attempts that have ended are
// counted and dropped.
func (p *dataPeer) deliver(connection *dataConnection, message Message) {
	p.heard(connection)
	switch {
	case message.Reply != nil:
		if !p.end(message.Reply.ID, attemptEnd{reply: *message.Reply}) {
			p.client.lateReplies.Add(1)
		}
	case message.PartAck != nil:
		p.deliverAck(*message.PartAck)
	case message.Resumed != nil:
		p.mutex.Lock()
		connection.former = nil
		p.mutex.Unlock()
		for _, id := range message.Resumed.NeverSeen {
			if p.end(id, attemptEnd{err: &bulrushchute.NotSentError{Address: p.address, Cause: errors.New("lost on a silent connection")}}) {
				p.client.resumptions.notRun.Add(1)
			}
		}
		for _, id := range message.Resumed.Gone {
			if p.end(id, attemptEnd{err: p.noReply("the peer has no reply any more")}) {
				p.client.resumptions.unknown.Add(1)
			}
		}
	}
}

func (p *dataPeer) noReply(cause string) error {
	return &bulrushchute.NoReplyError{Address: p.address, Cause: errors.New(cause)}
}

// end ends a pending attempt. It returns false if the attempt has ended before.
func (p *dataPeer) end(id bulrushchute.AttemptID, end attemptEnd) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	pending, exists := p.pending[id]
	if exists {
		delete(p.pending, id)
		pending.end <- end
	}
	return exists && !pending.cancelled
}

func (p *dataPeer) exchange(ctx context.Context, attempt bulrushchute.Attempt) (bulrushchute.Reply, error) {
	begin := p.client.bootClock.Now()
	connection, end, err := p.add(ctx, attempt)
	if err != nil {
		return bulrushchute.Reply{}, &bulrushchute.NotSentError{Address: p.address, Cause: err}
	}
	attempt, err = p.sendParts(ctx, connection, attempt, end)
	if err != nil {
		p.removePending(attempt.ID)
		return bulrushchute.Reply{}, err
	}
	// The connection may just have been dialled.
	sentAt := p.client.bootClock.Now()
	attempt = attempt.WithDelay(sentAt - begin)
	if err := p.send(ctx, connection, Message{Attempt: &attempt, SentAt: sentAt}); err != nil {
		p.removePending(attempt.ID)
		return bulrushchute.Reply{}, err
	}
	select {
	case ended := <-end:
		return p.verify(ended)
	case <-ctx.Done():
	}
	p.cancel(attempt.ID)
	if attempt.Idempotent || attempt.Key != "" {
		return bulrushchute.Reply{}, &bulrushchute.NoReplyError{Address: p.address, Cause: ctx.Err()}
	}
	// The peer lets a non-idempotent attempt that has begun run to its end.
	select {
	case ended := <-end:
		return p.verify(ended)
	case <-untilDeadline(ctx):
		return bulrushchute.Reply{}, &bulrushchute.NoReplyError{Address: p.address, Cause: ctx.Err()}
	}
}

// untilDeadline returns a channel that receives at the deadline of a context that may
// have ended before. Without a deadline, it receives at once.
func untilDeadline(ctx context.Context) <-chan time.Time {
	deadline, _ := ctx.Deadline()
	return time.After(time.Until(deadline))
}

// add makes an attempt pending on an open connection.
func (p *dataPeer) add(ctx context.Context, attempt bulrushchute.Attempt) (*dataConnection, chan attemptEnd, error) {
	for range maxConnects {
		connection, err := p.connect(ctx)
		if err != nil {
			return nil, nil, err
		}
		p.mutex.Lock()
		if connection == p.current && !connection.isClosed() {
			end := make(chan attemptEnd, 1)
			p.pending[attempt.ID] = pendingAttempt{
				connection: connection, end: end, deadline: p.client.clock.Now() + attempt.Remaining,
			}
			p.watch(connection)
			p.mutex.Unlock()
			return connection, end, nil
		}
		p.mutex.Unlock()
	}
	return nil, nil, errors.New("connection closed before sending")
}

// send writes a message, unless the context ends while it waits for others to be
// written. A write that fails closes the connection, whose attempts are then resumed on
// another one. It returns only a *NotSentError.
func (p *dataPeer) send(ctx context.Context, connection *dataConnection, message Message) error {
	err := connection.write(ctx, message)
	var malformed *MessageError
	var notWritten *notWrittenError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &malformed), ctx.Err() != nil && errors.As(err, &notWritten):
		return &bulrushchute.NotSentError{Address: p.address, Cause: err}
	}
	connection.close()
	return nil
}

func (p *dataPeer) verify(ended attemptEnd) (bulrushchute.Reply, error) {
	if ended.err != nil || ended.reply.Answer == nil {
		return ended.reply, ended.err
	}
	if err := verifyAnswer(*ended.reply.Answer); err != nil {
		return bulrushchute.Reply{}, &bulrushchute.NoReplyError{Address: p.address, Cause: err}
	}
	return ended.reply, nil
}

// verifyAnswer checks the body of an answer, and what nodes of earlier releases pass on
// unchecked from their backend servers.
func verifyAnswer(answer bulrushchute.Answer) error {
	if err := VerifyChecksum(answer); err != nil {
		return err
	}
	for _, field := range answer.Header {
		if err := bulrushresponse.CheckFieldName(field.Name); err != nil {
			return err
		}
	}
	return bulrushresponse.CheckFinalStatus(answer.Status)
}

func (p *dataPeer) removePending(id bulrushchute.AttemptID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.pending, id)
}

// cancel asks the peer to end an attempt, if it has not ended.
func (p *dataPeer) cancel(id bulrushchute.AttemptID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	pending, exists := p.pending[id]
	if !exists {
		return
	}
	pending.cancelled = true
	p.pending[id] = pending
	p.sendCancel(pending.connection, id)
}

// sendCancel starts the writing of a cancel, which may block.
func (p *dataPeer) sendCancel(connection *dataConnection, id bulrushchute.AttemptID) {
	p.client.tasks.Start(p.client.context, "cancel", func(ctx context.Context) error {
		return p.send(ctx, connection, Message{Cancel: &id})
	})
}
