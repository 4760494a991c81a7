package bulrushwire_test

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushwire"
)

// withdrawalDelay is the longest time after which the node beside a backend server may
// learn that a caller has left.
const withdrawalDelay = 500 * time.Millisecond

// proxyBufferBytes is the size of the proxy's socket buffers and of its reads.
const proxyBufferBytes = 16 << 10

// linkDirection is one direction of a link that all connections share.
type linkDirection struct {
	mutex sync.Mutex
	// bytesPerSecond is the rate of the link, 0 for no limit.
	bytesPerSecond int
	// passable is closed while bytes pass.
	passable chan struct{}
	// arrived counts the bytes that have arrived at the link.
	arrived atomic.Int64
}

func newLinkDirection(bytesPerSecond int) *linkDirection {
	direction := &linkDirection{bytesPerSecond: bytesPerSecond, passable: make(chan struct{})}
	direction.open()
	return direction
}

// close holds up all bytes until open, like other traffic that fills the link.
func (ld *linkDirection) close() {
	ld.mutex.Lock()
	defer ld.mutex.Unlock()
	ld.passable = make(chan struct{})
}

func (ld *linkDirection) open() {
	ld.mutex.Lock()
	defer ld.mutex.Unlock()
	close(ld.passable)
}

func (ld *linkDirection) setRate(bytesPerSecond int) {
	ld.mutex.Lock()
	defer ld.mutex.Unlock()
	ld.bytesPerSecond = bytesPerSecond
}

// pass blocks until the link has carried n bytes.
func (ld *linkDirection) pass(n int) {
	ld.arrived.Add(int64(n))
	ld.mutex.Lock()
	passable := ld.passable
	ld.mutex.Unlock()
	<-passable
	ld.mutex.Lock()
	defer ld.mutex.Unlock()
	if ld.bytesPerSecond > 0 {
		time.Sleep(time.Second * time.Duration(n) / time.Duration(ld.bytesPerSecond))
	}
}

// linkProxy passes connections on over one link.
type linkProxy struct {
	listener               net.Listener
	target                 string
	fromClient, fromServer *linkDirection
	// refusing is set while new connections are closed at once.
	refusing atomic.Bool
	accepted atomic.Int64
}

func newLinkProxy(t *testing.T, target bulrushchute.Address, bytesPerSecond int) *linkProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	proxy := &linkProxy{
		listener: listener, target: string(target),
		fromClient: newLinkDirection(0), fromServer: newLinkDirection(bytesPerSecond),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		proxy.accept()
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return proxy
}

func (lp *linkProxy) address() bulrushchute.Address {
	return bulrushchute.Address(lp.listener.Addr().String())
}

func (lp *linkProxy) accept() {
	for {
		inbound, err := lp.listener.Accept()
		if err != nil {
			return
		}
		lp.accepted.Add(1)
		outbound, err := net.Dial("tcp", lp.target)
		if err != nil || lp.refusing.Load() {
			_ = inbound.Close()
			continue
		}
		_ = inbound.(*net.TCPConn).SetReadBuffer(16 * proxyBufferBytes)
		_ = outbound.(*net.TCPConn).SetReadBuffer(proxyBufferBytes)
		go copyOverLink(outbound, inbound, lp.fromClient)
		go copyOverLink(inbound, outbound, lp.fromServer)
	}
}

func copyOverLink(to, from net.Conn, link *linkDirection) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		link.pass(n)
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// Numbers of the attempts of a linkFixture.
const (
	echoAttempt = iota + 1
	largeAttempt
	slowAttempt
)

// linkFixture is a client and a server with a link in between. Slow attempts run until
// they are cancelled, large ones are answered at once with answerBytes.
type linkFixture struct {
	proxy              *linkProxy
	client             *bulrushwire.Client
	answerBytes        int
	started, cancelled chan bulrushchute.Attempt
}

func newLinkFixture(t *testing.T, answerBytes, bytesPerSecond int) *linkFixture {
	fixture := &linkFixture{
		answerBytes: answerBytes,
		started:     make(chan bulrushchute.Attempt, 16), cancelled: make(chan bulrushchute.Attempt, 16),
	}
	node := &fakeNode{attempt: fixture.run}
	address, _ := startNode(t, node)
	fixture.proxy = newLinkProxy(t, address, bytesPerSecond)
	fixture.client = newClient(t)
	_, err := fixture.exchange(context.Background(), echoAttempt, nil)
	assert.NilError(t, err)
	<-fixture.started
	connection := <-node.connections
	assert.NilError(t, connection.(*net.TCPConn).SetWriteBuffer(proxyBufferBytes))
	return fixture
}

func (lf *linkFixture) run(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
	lf.started <- attempt
	switch attempt.ID[0] {
	case largeAttempt:
		attempt.Body = bytes.Repeat([]byte("x"), lf.answerBytes)
	case slowAttempt:
		<-ctx.Done()
		lf.cancelled <- attempt
	default:
	}
	return echo(ctx, attempt)
}

func (lf *linkFixture) exchange(ctx context.Context, number byte, body []byte) (bulrushchute.Reply, error) {
	return lf.exchangeWithID(ctx, [2]byte{number}, body)
}

// exchangeWithID sends an attempt whose ID begins with the given bytes.
func (lf *linkFixture) exchangeWithID(ctx context.Context, id [2]byte, body []byte) (bulrushchute.Reply, error) {
	attempt := numberedAttempt(id[0])
	attempt.ID[1] = id[1]
	attempt.Idempotent = true
	attempt.Remaining = 5000
	if body != nil {
		attempt.Body = body
	}
	return lf.client.Exchange(ctx, lf.proxy.address(), attempt)
}

// startExchange starts exchange in a goroutine, and returns its error on a channel.
func (lf *linkFixture) startExchange(ctx context.Context, number byte, body []byte) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := lf.exchange(ctx, number, body)
		ended <- err
	}()
	return ended
}

// startLargeMessage is like startExchange, for an attempt that is one message of the largest
// size: a body of that size would be sent in parts.
func (lf *linkFixture) startLargeMessage(number byte) <-chan error {
	attempt := numberedAttempt(number)
	attempt.Idempotent = true
	attempt.Remaining = 5000
	attempt.Path = "/" + strings.Repeat("x", bulrushwire.MaxBodyBytes)
	ended := make(chan error, 1)
	go func() {
		_, err := lf.client.Exchange(context.Background(), lf.proxy.address(), attempt)
		ended <- err
	}()
	return ended
}

// receive returns the next element, or fails the test after the limit.
func receive[T any](t *testing.T, channel <-chan T, limit time.Duration, what string) T {
	t.Helper()
	select {
	case received := <-channel:
		return received
	case <-time.After(limit):
		t.Fatalf("%s: not within %s", what, limit)
		panic("unreachable")
	}
}

// fillLink makes a large answer wait for the link from the server for so long that the
// client has sent a ping.
func (lf *linkFixture) fillLink(t *testing.T) {
	lf.proxy.fromServer.close()
	t.Cleanup(lf.proxy.fromServer.open)
	lf.startExchange(context.Background(), largeAttempt, nil)
	receive(t, lf.started, withdrawalDelay, "start of the large attempt")
	time.Sleep(200 * time.Millisecond)
}

// Guards against a cancel that is not read while the answers in the other direction
// wait for a full link: the backend server goes on working for a caller that has left.
func TestCancelWaitsForAFullLink(t *testing.T) {
	fixture := newLinkFixture(t, 4<<20, 0)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	fixture.startExchange(ctx, slowAttempt, nil)
	receive(t, fixture.started, withdrawalDelay, "start of the attempt")
	fixture.fillLink(t)
	leave()
	receive(t, fixture.cancelled, withdrawalDelay, "end of the attempt after its caller left")
}

// Guards against an attempt that is not read while the answers in the other direction
// wait for a full link, and runs after its caller has left.
func TestAttemptWaitsForAFullLink(t *testing.T) {
	fixture := newLinkFixture(t, 4<<20, 0)
	fixture.fillLink(t)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	fixture.startExchange(ctx, slowAttempt, nil)
	receive(t, fixture.started, withdrawalDelay, "start of the attempt")
}

// Guards against an attempt that is held up on its way and gets its whole time again
// when it arrives, so that it runs past the deadline of its caller.
func TestHeldUpAttemptGetsItsWholeTimeAgain(t *testing.T) {
	const heldUp = 700 * time.Millisecond
	fixture := newLinkFixture(t, 0, 0)
	fixture.proxy.refusing.Store(true)
	fixture.proxy.fromClient.close()
	ended := fixture.startExchange(context.Background(), echoAttempt+100, nil)
	// The time that the attempt takes to be sent, and that of the fastest one before it.
	const slack = 50 * time.Millisecond
	time.AfterFunc(heldUp+slack, fixture.proxy.fromClient.open)
	attempt := receive(t, fixture.started, 2*heldUp, "start of the attempt")
	limit := 5000 - bulrushchute.MillisOf(heldUp)
	assert.Assert(t, attempt.Remaining <= limit, "%d ms left, %d at most", attempt.Remaining, limit)
	assert.NilError(t, receive(t, ended, heldUp, "reply"))
}

// Guards against an attempt that is sent although its caller left while it waited for
// an earlier one to be written.
func TestAttemptIsSentAfterItsCallerLeft(t *testing.T) {
	fixture := newLinkFixture(t, 0, 0)
	link := fixture.proxy.fromClient
	fixture.proxy.refusing.Store(true)
	// The link takes longer for the large attempt than the test, so it is still being
	// written when the first bytes have arrived. It is closed only then: on a closed link
	// nothing arrives after the first read, which may be that of a ping.
	link.setRate(16 * proxyBufferBytes)
	before := link.arrived.Load()
	large := fixture.startLargeMessage(echoAttempt + 100)
	for link.arrived.Load() < before+proxyBufferBytes/2 {
		time.Sleep(time.Millisecond)
	}
	link.close()
	ctx, leave := context.WithCancel(context.Background())
	second := fixture.startExchange(ctx, slowAttempt, nil)
	time.Sleep(100 * time.Millisecond)
	leave()
	var notSent *bulrushchute.NotSentError
	err := receive(t, second, 500*time.Millisecond, "end of the attempt while the link is closed")
	assert.Assert(t, errors.As(err, &notSent), "got %v", err)
	link.setRate(0)
	link.open()
	assert.NilError(t, receive(t, large, 5*time.Second, "reply to the large attempt"))
	first := receive(t, fixture.started, time.Second, "start of the large attempt")
	assert.Equal(t, first.ID[0], byte(echoAttempt+100))
	select {
	case started := <-fixture.started:
		t.Fatalf("attempt %d was sent", started.ID[0])
	case <-time.After(200 * time.Millisecond):
	}
}

// Guards against a cancel that is lost because its connection is silent, so that the
// attempt runs to its end for a caller that has left.
func TestCancelIsLostOnASilentConnection(t *testing.T) {
	started, cancelled := make(chan struct{}, 1), make(chan struct{}, 1)
	node := &fakeNode{attempt: func(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
		started <- struct{}{}
		<-ctx.Done()
		cancelled <- struct{}{}
		return echo(ctx, attempt)
	}}
	address, _ := startNode(t, node)
	proxy := newSilentProxy(t, address)
	client := newClient(t)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	ended := make(chan error, 1)
	go func() {
		attempt := numberedAttempt(1)
		attempt.Remaining = 5000
		attempt.Idempotent = true
		_, err := client.Exchange(ctx, proxy.address(), attempt)
		ended <- err
	}()
	<-started
	proxy.silence()
	leave()
	assert.ErrorIs(t, receive(t, ended, withdrawalDelay, "end of the exchange"), context.Canceled)
	receive(t, cancelled, withdrawalDelay, "end of the attempt after its caller left")
}

// Guards against a connection that is taken for silent, and replaced, while a large
// answer arrives on it: the answer is sent again from its beginning or lost.
func TestLargeAnswerIsTakenForSilence(t *testing.T) {
	const narrow = 17_000_000 / 8
	cases := map[string]struct {
		answers, bytes int
	}{
		"one of 200 KB":  {1, 200_000},
		"four of 200 KB": {4, 200_000},
		"one of 540 KB":  {1, 540_000},
		"four of 540 KB": {4, 540_000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			fixture := newLinkFixture(t, tc.bytes, narrow)
			ends := make(chan error, tc.answers)
			for i := range tc.answers {
				go func() {
					reply, err := fixture.exchangeWithID(context.Background(), [2]byte{largeAttempt, byte(i)}, nil)
					if err == nil && len(reply.Answer.Body) != tc.bytes {
						err = errors.Errorf("answer of %d bytes", len(reply.Answer.Body))
					}
					ends <- err
				}()
			}
			for range tc.answers {
				assert.NilError(t, receive(t, ends, 5*time.Second, "answer"))
			}
			assert.Equal(t, fixture.client.Resumptions().Replaced, int64(0))
		})
	}
}

// Guards against a connection that is taken for silent, and replaced, while large bodies
// leave on it: their attempts are refused or sent again from the beginning.
func TestLargeBodyIsTakenForSilence(t *testing.T) {
	const narrow = 17_000_000 / 8
	cases := map[string]struct {
		attempts, bytes int
	}{
		"one of 200 KB":  {1, 200_000},
		"one of 3 MB":    {1, 3_000_000},
		"four of 700 KB": {4, 700_000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			fixture := newLinkFixture(t, 0, 0)
			fixture.proxy.fromClient.setRate(narrow)
			ends := make(chan error, tc.attempts)
			for i := range tc.attempts {
				go func() {
					_, err := fixture.exchangeWithID(context.Background(), [2]byte{largeAttempt, byte(i)}, make([]byte, tc.bytes))
					ends <- err
				}()
			}
			for range tc.attempts {
				assert.NilError(t, receive(t, ends, 5*time.Second, "answer"))
			}
			assert.Equal(t, fixture.client.Resumptions().Replaced, int64(0))
		})
	}
}

// Guards against the loss of the reply to a non-idempotent attempt whose caller has left:
// it may have begun, so that the peer alone knows whether it runs to its end.
func TestCancelledAttemptReplyIsLost(t *testing.T) {
	cases := map[string]struct {
		idempotent bool
		wantReply  bool
	}{
		"idempotent":     {true, false},
		"not idempotent": {false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			started := make(chan struct{})
			address, _ := startNode(t, &fakeNode{attempt: func(ctx context.Context, _ bulrushchute.Attempt) bulrushchute.Reply {
				close(started)
				<-ctx.Done()
				return bulrushchute.Reply{Refusal: &bulrushchute.Refusal{Reason: bulrushchute.ReasonCancelled}}
			}})
			attempt := numberedAttempt(1)
			attempt.Idempotent = tc.idempotent
			attempt.Remaining = 5000
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			go func() {
				<-started
				cancel()
			}()
			reply, err := newClient(t).Exchange(ctx, address, attempt)
			if tc.wantReply {
				assert.NilError(t, err)
				assert.Equal(t, reply.Refusal.Reason, bulrushchute.ReasonCancelled)
				return
			}
			assert.ErrorIs(t, err, context.Canceled)
		})
	}
}
