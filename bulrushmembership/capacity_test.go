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

// Size of the full fleet in the capacity benchmarks. With fewer members, the data
// centres are filled evenly.
const (
	fleetDataCentres = 26
	dataCentreNodes  = 885
)

var memberCounts = []int{100, 1_000, 10_000, 23_000}

// nodeWithMembers returns a node in data centre 0 that knows count members,
// including itself. It joins at its first tick.
func nodeWithMembers(count int) *testNode {
	f := newFleet(9)
	n := f.add(testInstance(0, 0))
	for i := 1; i < count; i++ {
		record, _ := encodeMember(testInstance(i%fleetDataCentres, i/fleetDataCentres), 1)
		n.table.Publish(f.now, record)
	}
	return n
}

// benchMemberCounts runs a sub-benchmark for each number of members.
func benchMemberCounts(b *testing.B, run func(b *testing.B, count int)) {
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
	benchMemberCounts(b, func(b *testing.B, count int) {
		var used uint64
		for b.Loop() {
			before := heapBytes()
			n := nodeWithMembers(count)
			used = heapBytes() - before
			runtime.KeepAlive(n)
		}
		b.ReportMetric(float64(used)/1e6, "MB")
		b.ReportMetric(float64(used)/float64(count), "B/member")
	})
}

// BenchmarkAtRest runs one node for a minute. All its neighbours acknowledge its
// heartbeats, send as many of their own, and announce 0.78 catalogue changes of
// 1 KB and 26 beats per second. The node serves the wants of one neighbour. Each
// sent message is encoded and decoded once, which approximates the cost of
// encoding sent messages and decoding received ones.
func BenchmarkAtRest(b *testing.B) {
	benchMemberCounts(b, func(b *testing.B, count int) {
		n := nodeWithMembers(count)
		now := testStart
		load := &neighbourLoad{node: n}
		for range 200 {
			now += bulrushspread.TickInterval
			load.tick(now)
		}
		before := n.table.Stats()
		seconds, busy := 0, time.Duration(0)
		for b.Loop() {
			start := time.Now()
			for range 60 * 20 {
				now += bulrushspread.TickInterval
				load.tick(now)
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

// neighbourLoad simulates the neighbours of one node.
type neighbourLoad struct {
	node         *testNode
	sequence     uint64
	revision     uint64
	changeCredit float64
}

func (nl *neighbourLoad) tick(now bulrushchute.Millis) {
	for _, a := range nl.node.Tick(now) {
		nl.answer(now, a)
	}
	if now%bulrushchute.Second == 0 {
		nl.deliverChanges(now)
	}
}

func (nl *neighbourLoad) answer(now bulrushchute.Millis, a Action) {
	message := roundTrip(a.Message)
	from := nl.idAt(a.To)
	switch {
	case message.Heartbeat != nil:
		ack := &bulrushchute.HeartbeatAck{Sequence: message.Heartbeat.Sequence, SentAt: message.Heartbeat.SentAt}
		nl.node.Receive(now+1, a.To, bulrushchute.Control{From: from, HeartbeatAck: ack})
		nl.sequence++
		heartbeat := &bulrushchute.Heartbeat{Sequence: nl.sequence, Incarnation: 1, SentAt: now}
		nl.node.Receive(now+1, a.To, bulrushchute.Control{From: from, Heartbeat: heartbeat})
	case message.Digest != nil && message.Digest.Reply:
		nl.node.Receive(now+1, a.To, bulrushchute.Control{From: from, Digest: &bulrushchute.Digest{}})
	case message.Have != nil && a.To == nl.node.links.order[0].address:
		var keys []bulrushchute.RecordKey
		for _, v := range message.Have.Versions {
			keys = append(keys, v.Key)
		}
		nl.node.Receive(now+1, a.To, bulrushchute.Control{From: from, Want: &bulrushchute.Want{Keys: keys}})
	}
}

// roundTrip encodes and decodes a message.
func roundTrip(message bulrushchute.Control) (decoded bulrushchute.Control) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	if err := cbor.Unmarshal(encoded, &decoded); err != nil {
		panic(err)
	}
	return decoded
}

func (nl *neighbourLoad) idAt(address bulrushchute.Address) bulrushchute.InstanceID {
	for _, l := range nl.node.links.order {
		if l.address == address {
			return l.id
		}
	}
	return ""
}

// deliverChanges delivers the changes of one second from one neighbour.
func (nl *neighbourLoad) deliverChanges(now bulrushchute.Millis) {
	if len(nl.node.links.order) < 2 {
		return
	}
	l := nl.node.links.order[len(nl.node.links.order)-1]
	var records []bulrushchute.Record
	for dc := range fleetDataCentres {
		records = append(records, testBeat(now, dc))
	}
	nl.changeCredit += 0.78
	if nl.changeCredit >= 1 {
		nl.changeCredit--
		nl.revision++
		records = append(records, testCatalogueEntry(nl.revision, int(nl.revision%1900)))
	}
	for _, r := range records {
		nl.node.Receive(now, l.address, bulrushchute.Control{From: l.id, Records: &bulrushchute.Records{Records: []bulrushchute.Record{r}}})
	}
}

func testBeat(now bulrushchute.Millis, dataCentre int) bulrushchute.Record {
	return bulrushchute.Record{
		Key:     bulrushchute.RecordKey{Topic: bulrushchute.TopicBeat, Name: fmt.Sprintf("kgl-%02d", dataCentre)},
		Version: bulrushchute.RecordVersion{Counter: uint64(now)},
		Value:   make([]byte, 10),
	}
}

func testCatalogueEntry(revision uint64, service int) bulrushchute.Record {
	return bulrushchute.Record{
		Key:     bulrushchute.RecordKey{Topic: bulrushchute.TopicCatalogue, Name: fmt.Sprintf("service-%04d", service)},
		Version: bulrushchute.RecordVersion{Counter: 1_000_000 + revision},
		Value:   make([]byte, 1000),
	}
}

// BenchmarkJoin measures a join that copies all member records and 1,900 catalogue
// entries of 1 KB from one peer and compares digests with a second one. Messages
// take 1 to 5 ms. Only these two peers run; all other members are in other data
// centres.
func BenchmarkJoin(b *testing.B) {
	benchMemberCounts(b, func(b *testing.B, count int) {
		var elapsed bulrushchute.Millis
		var bytes int
		for b.Loop() {
			b.StopTimer()
			f := newFleet(4)
			for i := range 2 {
				n := f.add(testInstance(0, i))
				for j := 2; j < count; j++ {
					record, _ := encodeMember(testInstance(1+j%(fleetDataCentres-1), j), 1)
					n.table.Publish(f.now, record)
				}
				for s := range 1900 {
					n.table.Publish(f.now, testCatalogueEntry(1, s))
				}
			}
			f.addMembers(f.nodes[0], f.nodes)
			f.addMembers(f.nodes[1], f.nodes)
			f.run(bulrushchute.Second)
			joiner := f.add(testInstance(0, 90_000), f.nodes[0].self.Address)
			start, before := f.now, f.totalBytes
			b.StartTimer()
			for !joiner.status.Joined {
				f.step()
			}
			elapsed, bytes = f.now-start, f.totalBytes-before
		}
		b.ReportMetric(float64(elapsed), "ms_to_ready")
		b.ReportMetric(float64(bytes)/1e6, "MB")
	})
}
