package bulrushwire_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// silentProxy passes connections on until they are silenced: they stay open, and what
// is sent on them is lost.
type silentProxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	passing  []*atomic.Bool
	opened   []net.Conn
	accepted atomic.Int64
}

func newSilentProxy(t *testing.T, target bulrushchute.Address) *silentProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &silentProxy{listener: listener, target: string(target)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.accept()
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		p.mutex.Lock()
		for _, connection := range p.opened {
			_ = connection.Close()
		}
		p.mutex.Unlock()
		<-ended
	})
	return p
}

func (p *silentProxy) address() bulrushchute.Address {
	return bulrushchute.Address(p.listener.Addr().String())
}

func (p *silentProxy) accept() {
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		inbound, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.accepted.Add(1)
		p.mutex.Lock()
		target := p.target
		p.mutex.Unlock()
		outbound, err := net.Dial("tcp", target)
		if err != nil {
			_ = inbound.Close()
			continue
		}
		passing := &atomic.Bool{}
		passing.Store(true)
		p.mutex.Lock()
		p.passing = append(p.passing, passing)
		p.opened = append(p.opened, inbound, outbound)
		p.mutex.Unlock()
		connections.Add(2)
		go p.copy(&connections, outbound, inbound, passing)
		go p.copy(&connections, inbound, outbound, passing)
	}
}

// copy passes bytes on in one direction. The end of a silent connection is not passed
// on either.
func (p *silentProxy) copy(connections *sync.WaitGroup, to, from net.Conn, passing *atomic.Bool) {
	defer connections.Done()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if passing.Load() {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			if passing.Load() || !errors.Is(err, io.EOF) {
				_ = to.Close()
			}
			_ = from.Close()
			return
		}
	}
}

// silence silences all open connections.
func (p *silentProxy) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, passing := range p.passing {
		passing.Store(false)
	}
}

// resumeDelay is the longest time by which a silent connection may delay an attempt.
const resumeDelay = 150 * time.Millisecond

// Guards against an attempt that waits for its deadline, is lost with an unknown
// outcome or runs twice because its connection has gone silent: before it is sent,
// while it runs, or before its answer is sent.
func TestAttemptsOutliveSilentConnections(t *testing.T) {
	const work = 300 * time.Millisecond
	cases := map[string]struct {
		silentAfter time.Duration
		wantSent    bool
	}{
		"before sending":     {-1, false},
		"just after sending": {10 * time.Millisecond, true},
		"while running":      {work / 2, true},
		"before the answer":  {work - 10*time.Millisecond, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			node := &fakeNode{attempt: func(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
				runs.Add(1)
				select {
				case <-time.After(work):
				case <-ctx.Done():
				}
				return echo(ctx, attempt)
			}}
			address, _ := startNode(t, node)
			proxy := newSilentProxy(t, address)
			client := newClient(t)
			first := numberedAttempt(1)
			first.Remaining = 5000
			_, err := client.Exchange(context.Background(), proxy.address(), first)
			assert.NilError(t, err)
			runs.Store(0)
			if tc.silentAfter < 0 {
				proxy.silence()
			} else {
				time.AfterFunc(tc.silentAfter, proxy.silence)
			}
			attempt := numberedAttempt(2)
			attempt.Remaining = 5000
			began := time.Now()
			reply, err := client.Exchange(context.Background(), proxy.address(), attempt)
			elapsed := time.Since(began)
			if !tc.wantSent {
				var notSent *bulrushchute.NotSentError
				assert.Assert(t, errors.As(err, &notSent), "got %v", err)
				assert.Assert(t, elapsed <= resumeDelay, "took %s", elapsed)
				time.Sleep(work)
				assert.Equal(t, runs.Load(), int64(0))
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, reply.Answer.Body[0], byte(2))
			assert.Equal(t, runs.Load(), int64(1))
			assert.Assert(t, elapsed <= work+resumeDelay, "took %s", elapsed)
		})
	}
}

// Guards against attempts of which some run twice, get the answer of another one or
// are reported as not run although they ran, when many connections go silent in turn.
func TestManyAttemptsOverSilentConnections(t *testing.T) {
	const count = 200
	var mutex sync.Mutex
	runs := map[byte]int{}
	node := &fakeNode{attempt: func(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
		mutex.Lock()
		runs[attempt.ID[0]]++
		mutex.Unlock()
		select {
		case <-time.After(time.Duration(attempt.ID[0]) * time.Millisecond):
		case <-ctx.Done():
		}
		return echo(ctx, attempt)
	}}
	address, _ := startNode(t, node)
	proxy := newSilentProxy(t, address)
	client := newClient(t)
	type end struct {
		number byte
		reply  bulrushchute.Reply
		err    error
	}
	ends := make(chan end, count)
	for number := range byte(count) {
		go func() {
			time.Sleep(time.Duration(number) * 8 * time.Millisecond)
			attempt := numberedAttempt(number)
			attempt.Remaining = 5000
			reply, err := client.Exchange(context.Background(), proxy.address(), attempt)
			ends <- end{number, reply, err}
		}()
	}
	stop := make(chan struct{})
	silenced := make(chan struct{})
	go func() {
		defer close(silenced)
		for {
			select {
			case <-time.After(400 * time.Millisecond):
				proxy.silence()
			case <-stop:
				return
			}
		}
	}()
	answered := 0
	for range count {
		e := <-ends
		mutex.Lock()
		ran := runs[e.number]
		mutex.Unlock()
		var notSent *bulrushchute.NotSentError
		switch {
		case e.err == nil:
			answered++
			assert.Equal(t, e.reply.Answer.Body[0], e.number)
			assert.Equal(t, ran, 1)
		case errors.As(e.err, &notSent):
			assert.Equal(t, ran, 0)
		default:
			t.Errorf("attempt %d has an unknown outcome: %v", e.number, e.err)
		}
	}
	close(stop)
	<-silenced
	assert.Assert(t, answered >= count/2, "%d of %d answered", answered, count)
	mutex.Lock()
	defer mutex.Unlock()
	for number, ran := range runs {
		assert.Assert(t, ran == 1, "attempt %d ran %d times", number, ran)
	}
}

// Guards against an attempt that is reported as not run, or sent again, after the
// process that may have run it was replaced by another one.
func TestOutcomeStaysUnknownAfterARestart(t *testing.T) {
	started := make(chan struct{}, 1)
	former := &fakeNode{attempt: func(ctx context.Context, _ bulrushchute.Attempt) bulrushchute.Reply {
		started <- struct{}{}
		<-ctx.Done()
		return bulrushchute.Reply{Refusal: &bulrushchute.Refusal{}}
	}}
	var runs atomic.Int64
	next := &fakeNode{attempt: func(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
		runs.Add(1)
		return echo(ctx, attempt)
	}}
	formerAddress, _ := startNode(t, former)
	nextAddress, _ := startNode(t, next)
	proxy := newSilentProxy(t, formerAddress)
	client := newClient(t)
	ended := make(chan error, 1)
	attempt := numberedAttempt(1)
	attempt.Remaining = 5000
	go func() {
		_, err := client.Exchange(context.Background(), proxy.address(), attempt)
		ended <- err
	}()
	<-started
	proxy.mutex.Lock()
	proxy.target = string(nextAddress)
	proxy.mutex.Unlock()
	proxy.silence()
	var noReply *bulrushchute.NoReplyError
	assert.Assert(t, errors.As(<-ended, &noReply))
	assert.Equal(t, runs.Load(), int64(0))
}

// Guards against a slow peer, which is not silent, whose attempts are cut, and against
// a second connection that is kept although the first one works.
func TestSlowPeerKeepsItsConnection(t *testing.T) {
	node := &fakeNode{attempt: func(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
		select {
		case <-time.After(700 * time.Millisecond):
		case <-ctx.Done():
		}
		return echo(ctx, attempt)
	}}
	address, _ := startNode(t, node)
	proxy := newSilentProxy(t, address)
	client := newClient(t)
	attempt := numberedAttempt(1)
	attempt.Remaining = 5000
	_, err := client.Exchange(context.Background(), proxy.address(), attempt)
	assert.NilError(t, err)
	assert.Equal(t, proxy.accepted.Load(), int64(1))
}
