package bulrushwire

import (
	"context"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushresume"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// watch starts the goroutine that watches a connection while attempts are pending on
// it. The mutex is held.
func (p *dataPeer) watch(connection *dataConnection) {
	if connection.watched || connection.process == "" {
		return
	}
	connection.watched = true
	connection.silence.Begin(p.client.clock.Now())
	p.client.tasks.Start(p.client.context, "silence", func(ctx context.Context) error {
		p.runWatch(ctx, connection)
		return nil
	})
}

func (p *dataPeer) runWatch(ctx context.Context, connection *dataConnection) {
	for ctx.Err() == nil {
		p.mutex.Lock()
		p.forgetCancelled(p.client.clock.Now())
		if connection.isClosed() || len(p.pendingOn(connection)) == 0 {
			connection.watched = false
			p.mutex.Unlock()
			return
		}
		now := p.client.clock.Now()
		action, due := connection.silence.Next(now), connection.silence.Due()
		p.mutex.Unlock()
		switch action {
		case bulrushresume.SilencePing:
			// The write may block on a silent connection.
			p.client.tasks.Start(ctx, "ping", func(ctx context.Context) error {
				return p.send(ctx, connection, Message{Ping: &Ping{}})
			})
		case bulrushresume.SilenceReplace:
			p.replace(ctx, connection)
		default:
			bulrushtask.Pause(ctx, max(due-now, bulrushchute.Millisecond).Duration())
		}
	}
}

// forgetCancelled removes the cancelled attempts whose deadline has passed. The mutex is
// held.
func (p *dataPeer) forgetCancelled(now bulrushchute.Millis) {
	for id, pending := range p.pending {
		if pending.cancelled && now >= pending.deadline {
			delete(p.pending, id)
		}
	}
}

// pendingOn returns the attempts that are pending on a connection. The mutex is held.
func (p *dataPeer) pendingOn(connection *dataConnection) []bulrushchute.AttemptID {
	var ids []bulrushchute.AttemptID
	for id, pending := range p.pending {
		if pending.connection == connection {
			ids = append(ids, id)
		}
	}
	return ids
}

// replace opens another connection beside one that is silent or lost, and moves the
// pending attempts to it. A silent connection is kept if no other can be opened or if
// the peer has shown life meanwhile: then the process is slow, not the connection.
func (p *dataPeer) replace(ctx context.Context, old *dataConnection) {
	p.mutex.Lock()
	if old.replacing || len(p.pendingOn(old)) == 0 {
		p.mutex.Unlock()
		return
	}
	old.replacing = true
	p.mutex.Unlock()
	began := p.client.clock.Now()
	next, err := p.dial(ctx)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	old.replacing = false
	silent := !old.isClosed()
	now := p.client.clock.Now()
	switch {
	case err != nil && silent:
		old.silence.Alive(now)
		return
	case err != nil:
		p.fail(old, "connection lost")
		return
	case silent && old.silence.HeardSince(began):
		old.silence.Alive(now)
		next.close()
		return
	}
	p.move(old, next, silent)
}

// move makes next the current connection and asks the peer there for the attempts that
// are pending on old. The mutex is held.
func (p *dataPeer) move(old, next *dataConnection, silent bool) {
	p.use(next)
	ids := p.pendingOn(old)
	p.client.countReplaced(p.address, silent, len(ids))
	if next.process == "" || next.process != old.process {
		p.fail(old, "the peer was restarted")
		old.close()
		return
	}
	var cancelled []bulrushchute.AttemptID
	for _, id := range ids {
		pending := p.pending[id]
		pending.connection = next
		p.pending[id] = pending
		if pending.cancelled {
			cancelled = append(cancelled, id)
		}
	}
	next.former = append(next.former, old.former...)
	next.former = append(next.former, old.id)
	resume := Resume{Connections: next.former, Attempts: ids}
	p.watch(next)
	p.client.tasks.Start(p.client.context, "resume", func(ctx context.Context) error {
		err := p.send(ctx, next, Message{Resume: &resume})
		// What the peer has sent on the old connection it keeps, and sends again.
		old.close()
		for _, id := range cancelled {
			p.sendCancel(next, id)
		}
		return err
	})
}

// fail ends the attempts that are pending on a connection with an unknown outcome. The
// mutex is held.
func (p *dataPeer) fail(connection *dataConnection, cause string) {
	for _, id := range p.pendingOn(connection) {
		p.pending[id].end <- attemptEnd{err: p.noReply(cause)}
		delete(p.pending, id)
		p.client.resumptions.unknown.Add(1)
	}
}

func (c *Client) countReplaced(to bulrushchute.Address, silent bool, attempts int) {
	c.resumptions.replaced.Add(1)
	if silent {
		c.resumptions.silent.Add(1)
	}
	c.resumptions.attempts.Add(int64(attempts))
	if c.OnReplaced != nil {
		c.OnReplaced(to, silent, attempts)
	}
}
