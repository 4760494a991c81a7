package bulrushmembership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushspread"
)

// The fleet of the capacity measurements: 26 data centres of 885 nodes, as far as members suffice.
const (
	fleetCentres = 26
	centreNodes  = 885
)

var memberCounts = []int{100, 1_000, 10_000, 23_000}

// knowing returns a joined node in data centre 0 that knows a number of members.
func knowing(count int) *testNode {
	f := newFleet(9)
	n := f.add(testInstance(0, 0))
	for i := 1; i < count; i++ {
		record, _ := encodeMember(testInstance(i%fleetCentres, i/fleetCentres), 1)
		n.table.Publish(f.now, record)
	}
	return n
}

func forMembers(b *testing.B, run func(b *testing.B, count int)) {
	for _, count := range memberCounts {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) { run(b, count) })
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkMemory(b *testing.B) {
	forMembers(b, func(b *testing.B, count int) {
		var used uint64
		for b.Loop() {
			before := heapBytes()
			n := knowing(count)
			used = heapBytes() - before
			runtime.KeepAlive(n)
		}
		b.ReportMetric(float64(used)/1e6, "MB")
		b.ReportMetric(float64(used)/float64(count), "B/member")
	})
}

// BenchmarkAtRest runs one node for a minute. All its neighbours answer its
// heartbeats, send as many and announce 0.78 catalogue changes of 1 KB and 26
// beats a second; the node serves the wants of one neighbour. Each message is
// encoded and decoded once, which stands for encoding what is sent and decoding what arrives.
func BenchmarkAtRest(b *testing.B) {
	forMembers(b, func(b *testing.B, count int) {
		n := knowing(count)
		now := testStart
		quiet := &restLoad{node: n}
		for range 200 {
			now += bulrushspread.TickInterval
			quiet.tick(now)
		}
		before := n.table.Stats()
		seconds, busy := 0, time.Duration(0)
		for b.Loop() {
			start := time.Now()
			for range 60 * 20 {
				now += bulrushspread.TickInterval
				quiet.tick(now)
			}
			busy += time.Since(start)
			seconds += 60
		}
		after := n.table.Stats()
		sent := after.SentBytes + after.ChargedBytes + after.BulkBytes - before.SentBytes - before.ChargedBytes - before.BulkBytes
		b.ReportMetric(float64(sent)/float64(seconds), "B/s")
		b.ReportMetric(100*busy.Seconds()/float64(seconds), "%core")
	})
}

// restLoad plays the neighbours of one node.
type restLoad struct {
	node     *testNode
	sequence uint64
	revision uint64
	tickets  float64
}

func (rl *restLoad) tick(now bulrushchute.Millis) {
	for _, a := range rl.node.Tick(now) {
		rl.answer(now, a)
	}
	if now%bulrushchute.Second == 0 {
		rl.second(now)
	}
}

func (rl *restLoad) answer(now bulrushchute.Millis, a Action) {
	message := recode(a.Message)
	from := rl.owner(a.To)
	switch {
	case message.Heartbeat != nil:
		ack := &bulrushchute.HeartbeatAck{Sequence: message.Heartbeat.Sequence, SentAt: message.Heartbeat.SentAt}
		rl.node.Receive(now+1, a.To, bulrushchute.Control{From: from, HeartbeatAck: ack})
		rl.sequence++
		beat := &bulrushchute.Heartbeat{Sequence: rl.sequence, Incarnation: 1, SentAt: now}
		rl.node.Receive(now+1, a.To, bulrushchute.Control{From: from, Heartbeat: beat})
	case message.Digest != nil && message.Digest.Reply:
		rl.node.Receive(now+1, a.To, bulrushchute.Control{From: from, Digest: &bulrushchute.Digest{}})
	case message.Have != nil && a.To == rl.node.links.order[0].address:
		var keys []bulrushchute.RecordKey
		for _, v := range message.Have.Versions {
			keys = append(keys, v.Key)
		}
		rl.node.Receive(now+1, a.To, bulrushchute.Control{From: from, Want: &bulrushchute.Want{Keys: keys}})
	}
}

func recode(message bulrushchute.Control) (decoded bulrushchute.Control) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	if err := cbor.Unmarshal(encoded, &decoded); err != nil {
		panic(err)
	}
	return decoded
}

func (rl *restLoad) owner(address bulrushchute.Address) bulrushchute.InstanceID {
	for _, l := range rl.node.links.order {
		if l.address == address {
			return l.id
		}
	}
	return ""
}

// second brings the changes of one second, each from one of two neighbours.
func (rl *restLoad) second(now bulrushchute.Millis) {
	if len(rl.node.links.order) < 2 {
		return
	}
	l := rl.node.links.order[len(rl.node.links.order)-1]
	var records []bulrushchute.Record
	for dc := range fleetCentres {
		records = append(records, testBeat(now, dc))
	}
	rl.tickets += 0.78
	if rl.tickets >= 1 {
		rl.tickets--
		rl.revision++
		records = append(records, testEntry(rl.revision, int(rl.revision%1900)))
	}
	for _, r := range records {
		rl.node.Receive(now, l.address, bulrushchute.Control{From: l.id, Records: &bulrushchute.Records{Records: []bulrushchute.Record{r}}})
	}
}

func testBeat(now bulrushchute.Millis, dataCentre int) bulrushchute.Record {
	return bulrushchute.Record{
		Key:     bulrushchute.RecordKey{Topic: bulrushchute.TopicBeat, Name: fmt.Sprintf("kgl-%02d", dataCentre)},
		Version: bulrushchute.RecordVersion{Counter: uint64(now)},
		Value:   make([]byte, 10),
	}
}

func testEntry(revision uint64, service int) bulrushchute.Record {
	return bulrushchute.Record{
		Key:     bulrushchute.RecordKey{Topic: bulrushchute.TopicCatalogue, Name: fmt.Sprintf("service-%04d", service)},
		Version: bulrushchute.RecordVersion{Counter: 1_000_000 + revision},
		Value:   make([]byte, 1000),
	}
}

// BenchmarkJoin copies all records and 1,900 catalogue entries of 1 KB from
// one peer and compares digests with a second, 1 to 5 ms away. Only these two
// peers run; all other members are in other data centres.
func BenchmarkJoin(b *testing.B) {
	forMembers(b, func(b *testing.B, count int) {
		var elapsed bulrushchute.Millis
		var bytes int
		for b.Loop() {
			b.StopTimer()
			f := newFleet(4)
			for i := range 2 {
				n := f.add(testInstance(0, i))
				for j := 2; j < count; j++ {
					record, _ := encodeMember(testInstance(1+j%(fleetCentres-1), j), 1)
					n.table.Publish(f.now, record)
				}
				for s := range 1900 {
					n.table.Publish(f.now, testEntry(1, s))
				}
			}
			f.know(f.nodes[0], f.nodes)
			f.know(f.nodes[1], f.nodes)
			f.run(bulrushchute.Second)
			joiner := f.add(testInstance(0, 90_000), f.nodes[0].self.Address)
			start, before := f.now, f.bytes
			b.StartTimer()
			for !joiner.status.Joined {
				f.step()
			}
			elapsed, bytes = f.now-start, f.bytes-before
		}
		b.ReportMetric(float64(elapsed), "ms_to_ready")
		b.ReportMetric(float64(bytes)/1e6, "MB")
	})
}
