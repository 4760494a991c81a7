package bulrushwire_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// BenchmarkSlowReply measures the processor time of an attempt, at both ends, whose
// reply takes a while. Connections with one attempt at a time are pinged meanwhile.
func BenchmarkSlowReply(b *testing.B) {
	const peers = 100
	for _, delay := range []time.Duration{10 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond} {
		b.Run(strconv.Itoa(int(delay.Milliseconds()))+"ms", func(b *testing.B) {
			slowEcho := func(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
				time.Sleep(delay)
				return echo(ctx, attempt)
			}
			addresses := make([]bulrushchute.Address, peers)
			for i := range addresses {
				addresses[i], _ = startNode(b, &fakeNode{attempt: slowEcho})
			}
			client := newClient(b)
			var left, number atomic.Int64
			left.Store(int64(b.N))
			before := processorTime(b)
			var senders sync.WaitGroup
			for _, address := range addresses {
				senders.Go(func() {
					for left.Add(-1) >= 0 {
						attempt := sampleAttempt()
						id := number.Add(1)
						for i := range 8 {
							attempt.ID[i] = byte(id >> (8 * i))
						}
						if _, err := client.Exchange(context.Background(), address, attempt); err != nil {
							b.Error(err)
						}
					}
				})
			}
			senders.Wait()
			b.ReportMetric(float64(processorTime(b)-before)/float64(time.Microsecond)/float64(b.N), "cpu_us/op")
		})
	}
}

// processorTime returns the time that the process has used so far.
func processorTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	assert.NilError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
