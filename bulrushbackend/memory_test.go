package bulrushbackend

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmemory"
)

const (
	largeBody     = 4 << 20
	largeRequests = 12
	// settleTime is longer than loopback takes for all bodies.
	settleTime = 500 * time.Millisecond
	// settleLimit is the time after which a heap that still changes is measured as it is.
	settleLimit = 20 * time.Second
)

// startPausingServer starts a server that sends all but the last byte of a body of
// largeBody bytes, and the last one once resume is closed.
func startPausingServer(t *testing.T, head, tail string, resume <-chan struct{}) bulrushchute.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	block := bytes.Repeat([]byte("x"), 32<<10)
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = socket.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(socket)); err != nil {
					return
				}
				_, _ = socket.Write([]byte(head))
				for sent := 0; sent < largeBody-len(block); sent += len(block) {
					_, _ = socket.Write(block)
				}
				_, _ = socket.Write(block[1:])
				<-resume
				_, _ = socket.Write([]byte("x" + tail))
			}()
		}
	}()
	return bulrushchute.Address(listener.Addr().String())
}

func newLimitedClient(t *testing.T, address bulrushchute.Address, memory *bulrushmemory.Budget) *Client {
	client := NewClient(Settings{
		Address: address, Connections: largeRequests, MaxBodyBytes: largeBody,
		Memory: memory, Protocol: idHeaderProtocol{closeDelimited: true},
	})
	t.Cleanup(client.Close)
	return client
}

func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// settledHeap returns the live heap once it has stopped changing. What is allocated while
// garbage is collected counts as live, also if it is garbage by then.
func settledHeap() int64 {
	const maxChange = smallBodyBytes
	begin := time.Now()
	for previous := liveHeap(); ; {
		time.Sleep(settleTime)
		current := liveHeap()
		if max(current-previous, previous-current) < maxChange || time.Since(begin) > settleLimit {
			return current
		}
		previous = current
	}
}

// Guards against many large answers that fill the memory together, and against answers that
// wait for each other's memory without an end.
func TestLargeAnswersWaitForMemory(t *testing.T) {
	limits := bulrushmemory.Limits{MediumBytes: 4 * smallBodyBytes, MediumTotal: largeRequests * 4 * smallBodyBytes, LargeTotal: 2 * largeBody}
	cases := map[string]struct{ head, tail string }{
		"length":          {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", largeBody), ""},
		"chunked":         {fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", largeBody), "\r\n0\r\n\r\n"},
		"close-delimited": {"HTTP/1.1 200 OK\r\n\r\n", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			resume := make(chan struct{})
			client := newLimitedClient(t, startPausingServer(t, tc.head, tc.tail, resume), bulrushmemory.NewBudget(limits))
			before := liveHeap()
			sizes := make(chan int, largeRequests)
			for range largeRequests {
				go func() {
					answer, err := client.Do(t.Context(), newTestRequest("a", true))
					if err != nil {
						t.Error(err)
					}
					sizes <- len(answer.Body)
				}()
			}
			// A buffer of unknown size may grow to twice the size of the body.
			kept := settledHeap() - before
			assert.Check(t, kept < 2*(limits.MediumTotal+limits.LargeTotal), "%d bytes", kept)
			close(resume)
			for range largeRequests {
				assert.Equal(t, <-sizes, largeBody)
			}
		})
	}
}

// Guards against a request that waits for memory beyond its deadline, and against memory
// that is not freed: after an answer, after one that is too large, and when its reader
// leaves.
func TestMemoryOfLargeAnswersIsFreed(t *testing.T) {
	resume := make(chan struct{})
	close(resume)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", largeBody)
	memory := bulrushmemory.NewBudget(bulrushmemory.Limits{MediumBytes: 1 << 20, MediumTotal: 1 << 20, LargeTotal: largeBody})
	client := newLimitedClient(t, startPausingServer(t, whole, "", resume), memory)
	do := func(client *Client, ctx context.Context) *Error {
		ctx, cancel := context.WithTimeout(ctx, settleTime)
		defer cancel()
		_, err := client.Do(ctx, newTestRequest("a", true))
		var failed *Error
		assert.Assert(t, err == nil || errors.As(err, &failed))
		return failed
	}
	ctx, hold := bulrushmemory.WithHold(t.Context())
	assert.Assert(t, do(client, ctx) == nil)
	waited := do(client, t.Context())
	assert.Assert(t, waited != nil && waited.Sent && waited.Reason == bulrushchute.ReasonDeadline, "%v", waited)
	hold.Release()
	assert.Assert(t, do(client, t.Context()) == nil)

	endless := newLimitedClient(t, startPausingServer(t, "HTTP/1.1 200 OK\r\n\r\n", "xx", resume), memory)
	ctx, hold = bulrushmemory.WithHold(t.Context())
	tooLarge := do(endless, ctx)
	assert.Assert(t, tooLarge != nil && tooLarge.Reason == bulrushchute.ReasonTooLarge, "%v", tooLarge)
	assert.Assert(t, do(client, t.Context()) == nil, "before the hold of the failed request is released")
	hold.Release()
}

// Guards against a health check whose answer takes the memory of answers to callers.
func TestHealthCheckNeedsNoMemory(t *testing.T) {
	resume := make(chan struct{})
	close(resume)
	memory := bulrushmemory.NewBudget(bulrushmemory.Limits{MediumBytes: 1 << 20, MediumTotal: 1 << 20, LargeTotal: largeBody})
	for _, bytes := range []int64{1 << 20, largeBody} {
		reservation, err := memory.Reserve(t.Context(), bytes)
		assert.NilError(t, err)
		defer reservation.Release()
	}
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", largeBody)} {
		client := newLimitedClient(t, startPausingServer(t, head, "", resume), memory)
		request := newTestRequest("a", true)
		request.Attempt = nil
		begin := time.Now()
		_, err := client.Do(t.Context(), request)
		var failed *Error
		assert.Assert(t, errors.As(err, &failed) && failed.Reason == bulrushchute.ReasonTooLarge, "%v", err)
		assert.Assert(t, time.Since(begin) < settleTime)
	}
}
