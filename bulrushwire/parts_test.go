package bulrushwire

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmemory"
)

// sizeNode answers with the body of an attempt, if it is small, or an empty body.
type sizeNode struct {
	received atomic.Int64
	wait     chan struct{}
}

func (sn *sizeNode) HandleAttempt(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
	sn.received.Store(int64(len(attempt.Body)))
	if sn.wait != nil {
		select {
		case <-sn.wait:
		case <-ctx.Done():
		}
	}
	answer := AddChecksum(bulrushchute.Answer{Status: 200, Body: attempt.Body[:min(len(attempt.Body), 3*partBytes)]})
	return bulrushchute.Reply{Answer: &answer}
}

func (sn *sizeNode) HandleControl(bulrushchute.Address, bulrushchute.Control) {}

func newPartsPeers(t *testing.T, node *sizeNode, memory int64) (*Client, *Server, bulrushchute.Address) {
	ctx, cancel := context.WithCancel(context.Background())
	server := NewServer(ctx, node)
	server.Memory = bulrushmemory.NewAccount(memory, bulrushchute.NewMonotonicClock())
	listener := httptest.NewServer(server)
	client := NewClient(ctx, "127.0.0.1:1", nil)
	t.Cleanup(func() {
		cancel()
		client.Wait()
		server.Wait()
		listener.Close()
	})
	return client, server, bulrushchute.Address(strings.TrimPrefix(listener.URL, "http://"))
}

func newPartsAttempt(body []byte) bulrushchute.Attempt {
	attempt := bulrushchute.Attempt{Service: "s", Method: "PUT", Path: "/", Body: body, Remaining: 20 * bulrushchute.Second, Idempotent: true}
	attempt.ID[0] = byte(len(body))
	return attempt
}

// Guards against bodies that are larger than a message and do not arrive as they were sent.
func TestBodiesInParts(t *testing.T) {
	cases := map[string]int{
		"in the attempt": partBytes, "two parts": partBytes + 1, "whole parts": 3 * partBytes, "more than a message": 20 << 20,
	}
	for name, size := range cases {
		t.Run(name, func(t *testing.T) {
			node := &sizeNode{}
			client, server, address := newPartsPeers(t, node, 64<<20)
			body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
			reply, err := client.Exchange(t.Context(), address, newPartsAttempt(body))
			assert.NilError(t, err)
			assert.Equal(t, int(node.received.Load()), size)
			assert.Assert(t, bytes.Equal(reply.Answer.Body, body[:min(size, 3*partBytes)]))
			awaitFree(t, server, 64<<20)
		})
	}
}

// awaitFree waits until nothing of the server's memory is reserved.
func awaitFree(t *testing.T, server *Server, bytes int64) {
	for range 500 {
		if share := server.Memory.TryReserve(bytes); share != nil {
			share.Release()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("memory is still reserved")
}

// Guards against attempts of several peers that exceed the memory of a node together, and
// against a refusal that does not say that the attempt has not run.
func TestBodiesOfPeersShareMemory(t *testing.T) {
	node := &sizeNode{wait: make(chan struct{})}
	const memory = 2<<20 + 100<<10
	client, server, address := newPartsPeers(t, node, memory)
	done := make(chan error, 1)
	go func() {
		_, err := client.Exchange(t.Context(), address, newPartsAttempt(make([]byte, 2<<20)))
		done <- err
	}()
	for node.received.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	attempt := newPartsAttempt(make([]byte, 2<<20+1))
	reply, err := client.Exchange(t.Context(), address, attempt)
	assert.NilError(t, err)
	assert.DeepEqual(t, reply.Refusal, &bulrushchute.Refusal{Reason: bulrushchute.ReasonNoMemory, RetryAfter: retryAfterMemory})
	assert.Equal(t, node.received.Load(), int64(2<<20))

	long := newPartsAttempt(nil)
	long.ID[0] = 9
	for range 2000 {
		long.Header = append(long.Header, bulrushchute.HeaderField{Name: "A"})
	}
	reply, err = client.Exchange(t.Context(), address, long)
	assert.NilError(t, err)
	assert.Equal(t, reply.Refusal.Reason, bulrushchute.ReasonNoMemory)
	close(node.wait)
	assert.NilError(t, <-done)
	awaitFree(t, server, memory)
}

// Guards against parts that a node keeps although their attempt will not follow.
func TestPartsWithoutAttemptAreDropped(t *testing.T) {
	cases := map[string]func(s *session, id bulrushchute.AttemptID){
		"cancelled":       func(s *session, id bulrushchute.AttemptID) { s.handle(Message{Cancel: &id}) },
		"connection ends": func(s *session, _ bulrushchute.AttemptID) { s.dropAllParts() },
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			server := NewServer(t.Context(), &sizeNode{})
			server.Memory = bulrushmemory.NewAccount(100, bulrushchute.NewMonotonicClock())
			s := &session{server: server, assemblies: make(map[bulrushchute.AttemptID]*assembly), acks: newAckQueue()}
			id := bulrushchute.AttemptID{1}
			s.handle(Message{Part: &Part{Attempt: id, Total: 100, Data: []byte("x")}})
			assert.Assert(t, server.Memory.TryReserve(1) == nil)
			end(s, id)
			assert.Assert(t, server.Memory.TryReserve(100) != nil)
		})
	}
}
