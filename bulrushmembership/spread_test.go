package bulrushmembership

import (
	"fmt"
	"testing"

	"bulrushchute.example/bulrushchute"
)

// BenchmarkHops measures path lengths in the overlay of the whole fleet.
func BenchmarkHops(b *testing.B) {
	var localHops, fleetHops int
	var links float64
	for b.Loop() {
		n := nodeWithMembers(fleetDataCentres * dataCentreNodes)
		edges := overlayEdges(&n.members)
		total := 0
		for _, to := range edges {
			total += len(to)
		}
		links = float64(total) / float64(len(edges))
		start := n.members.byID[n.self.ID]
		localHops, fleetHops = 0, 0
		for to, hops := range hopsFrom(edges, start) {
			fleetHops = max(fleetHops, hops)
			if to.dc == start.dc {
				localHops = max(localHops, hops)
			}
		}
	}
	b.ReportMetric(links, "links/node")
	b.ReportMetric(float64(localHops), "hops_centre")
	b.ReportMetric(float64(fleetHops), "hops_fleet")
}

func overlayEdges(ms *members) map[*member][]*member {
	edges := map[*member][]*member{}
	for _, dc := range ms.dataCentreOrder {
		for _, m := range dc.members {
			edges[m] = ringNeighbours(m)
		}
		for _, other := range ms.dataCentreOrder {
			if other == dc {
				continue
			}
			near, far := ms.bridgeNodes(dc, other), ms.bridgeNodes(other, dc)
			for i := range near {
				edges[near[i]] = appendUnique(edges[near[i]], far[i])
			}
		}
	}
	return edges
}

func hopsFrom(edges map[*member][]*member, start *member) map[*member]int {
	hops := map[*member]int{start: 0}
	for queue := []*member{start}; len(queue) > 0; queue = queue[1:] {
		for _, next := range edges[queue[0]] {
			if _, ok := hops[next]; !ok {
				hops[next] = hops[queue[0]] + 1
				queue = append(queue, next)
			}
		}
	}
	return hops
}

// settledFleet returns a fleet with a data centre of 885 nodes and one of 20,
// after the traffic of their start has ended, and the bytes that all nodes
// together send per second at rest.
func settledFleet(b *testing.B) (f *fleet, restBytesPerSecond int) {
	b.Helper()
	f = newFleet(11)
	for i := range dataCentreNodes {
		f.add(testInstance(0, i))
	}
	for i := range 20 {
		f.add(testInstance(1, i))
	}
	for _, n := range f.nodes {
		f.addMembers(n, f.nodes)
		n.status.Joined = true
		n.overlayChanged = true
	}
	f.run(5 * bulrushchute.Second)
	before := f.totalBytes
	f.run(20 * bulrushchute.Second)
	return f, (f.totalBytes - before) / 20
}

// measureSpread runs until done is true on all nodes of data centre 0 and then for
// 5 s, in which the traffic returns to rest. It reports the time until then and
// the bytes sent in excess of the traffic at rest.
func measureSpread(b *testing.B, f *fleet, restBytesPerSecond int, done func(n *testNode) bool) {
	start, before := f.now, f.totalBytes
	var elapsed bulrushchute.Millis
	for elapsed == 0 && f.now-start < 2*bulrushchute.Minute {
		f.step()
		if allDone(f, done) {
			elapsed = f.now - start
		}
	}
	f.run(5 * bulrushchute.Second)
	extra := f.totalBytes - before - int(f.now-start)*restBytesPerSecond/int(bulrushchute.Second)
	b.ReportMetric(float64(elapsed), "ms_to_all")
	b.ReportMetric(float64(extra)/dataCentreNodes, "B/node")
	b.ReportMetric(float64(restBytesPerSecond)/float64(len(f.nodes)), "rest_B/s/node")
}

func allDone(f *fleet, done func(n *testNode) bool) bool {
	for _, n := range f.nodes[:min(dataCentreNodes, len(f.nodes))] {
		if !n.stopped && !done(n) {
			return false
		}
	}
	return true
}

func hasRecord(record bulrushchute.Record) func(n *testNode) bool {
	return func(n *testNode) bool {
		held, ok := n.table.Get(record.Key)
		return ok && !held.Version.Less(record.Version)
	}
}

func BenchmarkSpreadSmallChange(b *testing.B) {
	for b.Loop() {
		f, rest := settledFleet(b)
		record := testCatalogueEntry(1, 1)
		record.Value = make([]byte, 8)
		f.nodes[7].table.Publish(f.now, record)
		measureSpread(b, f, rest, hasRecord(record))
	}
}

func BenchmarkSpreadKilobyte(b *testing.B) {
	for b.Loop() {
		f, rest := settledFleet(b)
		record := testCatalogueEntry(1, 1)
		f.nodes[7].table.Publish(f.now, record)
		measureSpread(b, f, rest, hasRecord(record))
	}
}

// BenchmarkRackLost measures the cost of 40 nodes that stop at once.
func BenchmarkRackLost(b *testing.B) {
	for b.Loop() {
		f, rest := settledFleet(b)
		for i := range 40 {
			f.nodes[i].stopped = true
		}
		measureSpread(b, f, rest, func(n *testNode) bool { return len(n.members.byID) == dataCentreNodes+20-40 })
	}
}

// BenchmarkDataCentreLost measures the cost of the loss of the small data centre.
// It does not depend on the size of the lost data centre, because none of its
// members is marked dead.
func BenchmarkDataCentreLost(b *testing.B) {
	for b.Loop() {
		f, rest := settledFleet(b)
		for _, n := range f.nodes[dataCentreNodes:] {
			n.stopped = true
		}
		measureSpread(b, f, rest, func(n *testNode) bool { return !n.Reachable("kgl-01") })
	}
}

// BenchmarkCatalogueRate publishes 0.78 catalogue changes of 1 KB and 26 beats per
// second for a minute in a data centre of 885 nodes. It reports the bytes sent by
// the average and by the busiest node.
func BenchmarkCatalogueRate(b *testing.B) {
	for b.Loop() {
		f, _ := settledFleet(b)
		reportRate(b, f, fleetDataCentres, func(dc int) *testNode { return f.nodes[(dc*31+5)%dataCentreNodes] })
	}
}

// BenchmarkFleetRate is like BenchmarkCatalogueRate, but for whole fleets in which
// each data centre publishes its own beat.
func BenchmarkFleetRate(b *testing.B) {
	for _, size := range []struct{ centres, each int }{{3, 4}, {4, 4}, {26, 4}, {26, 34}} {
		b.Run(fmt.Sprintf("centres=%d/each=%d", size.centres, size.each), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(13)
				f.populate(size.centres, size.each)
				for _, n := range f.nodes {
					n.status.Joined = true
					n.overlayChanged = true
				}
				f.run(20 * bulrushchute.Second)
				reportRate(b, f, size.centres, func(dc int) *testNode { return f.nodes[dc*size.each] })
			}
		})
	}
}

func reportRate(b *testing.B, f *fleet, centres int, beatPublisher func(dc int) *testNode) {
	start, before := f.now, f.totalBytes
	sent := make([]int, len(f.nodes))
	for i, n := range f.nodes {
		sent[i] = n.sentBytes
	}
	slowest := publishChanges(f, centres, beatPublisher)
	busiest := 0
	for i, n := range f.nodes {
		busiest = max(busiest, n.sentBytes-sent[i])
	}
	seconds := float64((f.now - start) / bulrushchute.Second)
	b.ReportMetric(float64(f.totalBytes-before)/seconds/float64(len(f.nodes)), "B/s/node")
	b.ReportMetric(float64(busiest)/seconds, "B/s_busiest")
	b.ReportMetric(float64(slowest), "ms_slowest")
}

// publishChanges publishes catalogue changes and beats for a minute. It returns
// the longest time in which a change reached all nodes, or the age of the oldest
// change that did not, whichever is greater.
func publishChanges(f *fleet, centres int, beatPublisher func(dc int) *testNode) (slowest bulrushchute.Millis) {
	type pending struct {
		record bulrushchute.Record
		at     bulrushchute.Millis
	}
	var outstanding []pending
	credit, revision := 0.0, uint64(0)
	for end := f.now + bulrushchute.Minute; f.now < end; {
		if f.now%bulrushchute.Second == 0 {
			for dc := range centres {
				beatPublisher(dc).table.Publish(f.now, testBeat(f.now, dc))
			}
			credit += 0.78
		}
		if credit >= 1 {
			credit--
			revision++
			record := testCatalogueEntry(revision, int(revision))
			f.nodes[f.random.IntN(min(dataCentreNodes, len(f.nodes)))].table.Publish(f.now, record)
			outstanding = append(outstanding, pending{record: record, at: f.now})
		}
		f.step()
		for len(outstanding) > 0 && allDone(f, hasRecord(outstanding[0].record)) {
			slowest = max(slowest, f.now-outstanding[0].at)
			outstanding = outstanding[1:]
		}
	}
	if len(outstanding) > 0 {
		slowest = max(slowest, f.now-outstanding[0].at)
	}
	return slowest
}

// BenchmarkFrozenShare freezes 40% of a data centre for 20 s. It reports the false
// deaths, summed over samples taken every second, the other nodes that count as
// isolated, and the time until no suspicion is left.
func BenchmarkFrozenShare(b *testing.B) {
	for b.Loop() {
		f, _ := settledFleet(b)
		frozen := dataCentreNodes * 2 / 5
		for _, n := range f.nodes[:frozen] {
			n.frozen = true
		}
		deaths := 0
		for range 20 {
			f.run(bulrushchute.Second)
			deaths += f.falseDeaths()
		}
		isolated := 0
		for _, n := range f.nodes[frozen:] {
			isolated += boolToInt(n.status.Isolated)
		}
		for _, n := range f.nodes[:frozen] {
			f.resume(n)
		}
		resumed := f.now
		for f.now-resumed < 2*bulrushchute.Minute && f.suspicions() > 0 {
			f.run(bulrushchute.Second)
			deaths += f.falseDeaths()
		}
		b.ReportMetric(float64(deaths), "false_deaths")
		b.ReportMetric(float64(isolated), "isolated_others")
		b.ReportMetric(float64(f.now-resumed), "ms_to_recover")
	}
}
