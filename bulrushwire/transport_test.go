package bulrushwire_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushwire"
)

// fakeNode is a Handler that passes attempts to a function of the test and
// control messages to a channel.
type fakeNode struct {
	attempt func(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply
	control chan bulrushchute.Control
	// connections receives each accepted connection, for tests that close it.
	connections chan net.Conn
}

func (fn *fakeNode) HandleAttempt(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
	return fn.attempt(ctx, attempt)
}

func (fn *fakeNode) HandleControl(_ bulrushchute.Address, control bulrushchute.Control) {
	fn.control <- control
}

func echo(_ context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
	answer := bulrushwire.AddChecksum(bulrushchute.Answer{Status: 200, Body: attempt.Body})
	return bulrushchute.Reply{Answer: &answer}
}

func startNode(t testing.TB, node *fakeNode) (bulrushchute.Address, *httptest.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	node.connections = make(chan net.Conn, 16)
	server := httptest.NewUnstartedServer(bulrushwire.NewServer(ctx, node))
	server.Config.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		node.connections <- connection
		return ctx
	}
	server.Start()
	t.Cleanup(func() {
		cancel()
		server.Close()
	})
	return bulrushchute.Address(strings.TrimPrefix(server.URL, "http://")), server
}

func newClient(t testing.TB) *bulrushwire.Client {
	return newTLSClient(t, nil)
}

func newTLSClient(t testing.TB, config *tls.Config) *bulrushwire.Client {
	ctx, cancel := context.WithCancel(context.Background())
	client := bulrushwire.NewClient(ctx, "127.0.0.1:1", config)
	t.Cleanup(func() {
		cancel()
		client.Wait()
	})
	return client
}

func numberedAttempt(number byte) bulrushchute.Attempt {
	attempt := sampleAttempt()
	attempt.ID[0] = number
	attempt.Body = []byte{number}
	return attempt
}

// Guards against delivering an answer to the wrong attempt when answers arrive
// in a different order than the attempts were sent.
func TestAnswersOutOfOrder(t *testing.T) {
	const count = 50
	release := make(chan struct{})
	node := &fakeNode{attempt: func(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
		if attempt.ID[0] == count-1 {
			close(release)
		}
		<-release
		return echo(ctx, attempt)
	}}
	address, _ := startNode(t, node)
	client := newClient(t)
	failures := make(chan error, count)
	for number := range byte(count) {
		go func() {
			reply, err := client.Exchange(context.Background(), address, numberedAttempt(number))
			if err == nil && reply.Answer.Body[0] != number {
				err = errors.Errorf("attempt %d got the answer of %d", number, reply.Answer.Body[0])
			}
			failures <- err
		}()
	}
	for range count {
		assert.NilError(t, <-failures)
	}
}

// Guards against an attempt that waits for ever for a reply that is too large to be sent.
func TestReplyTooLarge(t *testing.T) {
	address, _ := startNode(t, &fakeNode{attempt: echo})
	attempt := sampleAttempt()
	attempt.Body = make([]byte, bulrushwire.MaxMessageBytes)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	reply, err := newClient(t).Exchange(ctx, address, attempt)
	assert.NilError(t, err)
	assert.DeepEqual(t, reply.Failure, &bulrushchute.Failure{Reason: bulrushchute.ReasonTooLarge})
}

// Guards against confusing errors after which an attempt may have run, and must
// not be retried, with errors after which it certainly did not run.
func TestExchangeClassifiesFailures(t *testing.T) {
	cases := map[string]struct {
		run      func(t *testing.T, client *bulrushwire.Client) error
		wantSent bool
	}{
		"no listener": {func(t *testing.T, client *bulrushwire.Client) error {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			assert.NilError(t, listener.Close())
			_, err = client.Exchange(context.Background(), bulrushchute.Address(listener.Addr().String()), sampleAttempt())
			return err
		}, false},
		"message too large": {func(t *testing.T, client *bulrushwire.Client) error {
			address, _ := startNode(t, &fakeNode{attempt: echo})
			attempt := sampleAttempt()
			attempt.Path = strings.Repeat("x", bulrushwire.MaxMessageBytes)
			_, err := client.Exchange(context.Background(), address, attempt)
			return err
		}, false},
		"body too large": {func(t *testing.T, client *bulrushwire.Client) error {
			address, _ := startNode(t, &fakeNode{attempt: echo})
			attempt := sampleAttempt()
			attempt.Body = make([]byte, bulrushwire.MaxAttemptBodyBytes+1)
			_, err := client.Exchange(context.Background(), address, attempt)
			return err
		}, false},
		"connection closed before the answer": {func(t *testing.T, client *bulrushwire.Client) error {
			node := &fakeNode{}
			listeners := make(chan net.Listener, 1)
			node.attempt = func(ctx context.Context, _ bulrushchute.Attempt) bulrushchute.Reply {
				// Without a listener, the attempt cannot be resumed on another connection.
				_ = (<-listeners).Close()
				_ = (<-node.connections).Close()
				<-ctx.Done()
				return bulrushchute.Reply{Refusal: &bulrushchute.Refusal{}}
			}
			address, server := startNode(t, node)
			listeners <- server.Listener
			_, err := client.Exchange(context.Background(), address, sampleAttempt())
			return err
		}, true},
		"truncated answer": {func(t *testing.T, client *bulrushwire.Client) error {
			address, _ := startNode(t, &fakeNode{attempt: func(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
				reply := echo(ctx, attempt)
				reply.Answer.Body = nil
				return reply
			}})
			_, err := client.Exchange(context.Background(), address, numberedAttempt(1))
			return err
		}, true},
		"context cancelled": {func(t *testing.T, client *bulrushwire.Client) error {
			ctx, cancel := context.WithCancel(context.Background())
			returned := make(chan struct{})
			address, _ := startNode(t, &fakeNode{attempt: func(attemptContext context.Context, _ bulrushchute.Attempt) bulrushchute.Reply {
				cancel()
				<-attemptContext.Done()
				// A reply that arrives first would be returned.
				<-returned
				return bulrushchute.Reply{Refusal: &bulrushchute.Refusal{}}
			}})
			defer close(returned)
			_, err := client.Exchange(ctx, address, sampleAttempt())
			return err
		}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			err := tc.run(t, newClient(t))
			var notSent *bulrushchute.NotSentError
			var noReply *bulrushchute.NoReplyError
			assert.Equal(t, errors.As(err, &notSent), !tc.wantSent, "got %v", err)
			assert.Equal(t, errors.As(err, &noReply), tc.wantSent, "got %v", err)
		})
	}
}

// Guards against delivering a late answer to a later attempt on the same
// connection.
func TestLateAnswerIsDropped(t *testing.T) {
	late := make(chan struct{})
	started := make(chan struct{})
	node := &fakeNode{attempt: func(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
		if attempt.ID[0] == 1 {
			close(started)
			<-late
		}
		return echo(ctx, attempt)
	}}
	address, _ := startNode(t, node)
	client := newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := client.Exchange(ctx, address, numberedAttempt(1))
		ended <- err
	}()
	<-started
	cancel()
	assert.Assert(t, <-ended != nil)
	close(late)
	for number := byte(2); client.LateReplies() == 0; number++ {
		// IDs are never reused.
		reply, err := client.Exchange(context.Background(), address, numberedAttempt(number))
		assert.NilError(t, err)
		assert.Equal(t, reply.Answer.Body[0], number)
	}
}

// Guards against keeping a connection open after a protocol violation, and
// against accepting a connection whose peer has not stated its address and so
// can't be answered.
func TestServerRejectsInvalidPeers(t *testing.T) {
	address, server := startNode(t, &fakeNode{attempt: echo})
	_, response, err := websocket.Dial(context.Background(), "ws://"+string(address)+bulrushwire.PeerPath, nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, response.StatusCode, 400)
	header := map[string][]string{"Bulrush-Peer-Address": {"127.0.0.1:1"}}
	socket, _, err := websocket.Dial(context.Background(), server.URL+bulrushwire.PeerPath, &websocket.DialOptions{HTTPHeader: header})
	assert.NilError(t, err)
	assert.NilError(t, socket.Write(context.Background(), websocket.MessageBinary, []byte("not CBOR")))
	_, _, err = socket.Read(context.Background())
	assert.Assert(t, err != nil, "the connection must be closed")
}

// Guards against losing control messages on a working connection.
func TestControlMessages(t *testing.T) {
	node := &fakeNode{control: make(chan bulrushchute.Control, 1)}
	address, _ := startNode(t, node)
	client := newClient(t)
	client.Send(address, bulrushchute.Control{From: "a", Heartbeat: &bulrushchute.Heartbeat{Sequence: 7}})
	control := <-node.control
	assert.Equal(t, control.Heartbeat.Sequence, uint64(7))
}

func BenchmarkExchange(b *testing.B) {
	address, _ := startNode(b, &fakeNode{attempt: echo})
	benchmarkExchange(b, newClient(b), address)
}

// BenchmarkExchangeTLS measures an attempt on an open connection with mutual
// TLS. Compare with BenchmarkExchange.
func BenchmarkExchangeTLS(b *testing.B) {
	address, config := startTLSNode(b, &fakeNode{attempt: echo})
	benchmarkExchange(b, newTLSClient(b, config), address)
}

// BenchmarkConnectTLS measures a new connection, with the TLS and WebSocket
// handshakes and one attempt. A restarted node has this cost for each peer.
func BenchmarkConnectTLS(b *testing.B) {
	address, config := startTLSNode(b, &fakeNode{attempt: echo})
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithCancel(context.Background())
		client := bulrushwire.NewClient(ctx, "127.0.0.1:1", config)
		_, err := client.Exchange(ctx, address, sampleAttempt())
		cancel()
		client.Wait()
		if err != nil {
			b.Fatal(err)
		}
	}
}

// startTLSNode also returns the TLS configuration for clients. Both sides use
// httptest's certificate, which is valid for 127.0.0.1.
func startTLSNode(t testing.TB, node *fakeNode) (bulrushchute.Address, *tls.Config) {
	ctx, cancel := context.WithCancel(context.Background())
	server := httptest.NewUnstartedServer(bulrushwire.NewServer(ctx, node))
	server.TLS = &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert}
	server.StartTLS()
	t.Cleanup(func() {
		cancel()
		server.Close()
	})
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots, Certificates: server.TLS.Certificates}
	return bulrushchute.Address(strings.TrimPrefix(server.URL, "https://")), config
}

func benchmarkExchange(b *testing.B, client *bulrushwire.Client, address bulrushchute.Address) {
	b.ReportAllocs()
	number := uint64(0)
	for b.Loop() {
		number++
		attempt := sampleAttempt()
		for i := range 8 {
			attempt.ID[i] = byte(number >> (8 * i))
		}
		if _, err := client.Exchange(context.Background(), address, attempt); err != nil {
			b.Fatal(err)
		}
	}
}
