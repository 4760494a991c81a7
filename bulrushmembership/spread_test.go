package bulrushmembership

import (
	"fmt"
	"testing"

	"bulrushchute.example/bulrushchute"
)

// BenchmarkHops walks the overlay of the whole fleet as the nodes compute it.
func BenchmarkHops(b *testing.B) {
	var near, far int
	var links float64
	for b.Loop() {
		n := knowing(fleetCentres * centreNodes)
		edges := overlayEdges(&n.members)
		total := 0
		for _, to := range edges {
			total += len(to)
		}
		links = float64(total) / float64(len(edges))
		start := n.members.byID[n.self.ID]
		near, far = 0, 0
		for to, hops := range hopsFrom(edges, start) {
			far = max(far, hops)
			if to.home == start.home {
				near = max(near, hops)
			}
		}
	}
	b.ReportMetric(links, "links/node")
	b.ReportMetric(float64(near), "hops_centre")
	b.ReportMetric(float64(far), "hops_fleet")
}

func overlayEdges(ms *members) map[*member][]*member {
	edges := map[*member][]*member{}
	for _, dc := range ms.centreOrder {
		for _, m := range dc.members {
			edges[m] = ringNeighbours(m)
		}
		for _, other := range ms.centreOrder {
			if other == dc {
				continue
			}
			near, far := ms.bridgeNodes(dc, other), ms.bridgeNodes(other, dc)
			for slot := range near {
				edges[near[slot]] = addMember(edges[near[slot]], far[slot])
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

// quietCentre returns a data centre of 885 nodes and one of 20, after the
// burst of their start, and the bytes that all nodes send per second at rest.
func quietCentre(b *testing.B) (f *fleet, restBytes int) {
	b.Helper()
	f = newFleet(11)
	for i := range centreNodes {
		f.add(testInstance(0, i))
	}
	for i := range 20 {
		f.add(testInstance(1, i))
	}
	for _, n := range f.nodes {
		f.know(n, f.nodes)
		n.status.Joined = true
		n.overlayChanged = true
	}
	f.run(5 * bulrushchute.Second)
	before := f.bytes
	f.run(20 * bulrushchute.Second)
	return f, (f.bytes - before) / 20
}

// spreadCost runs until done holds on all nodes of data centre 0, and then until
// the traffic has returned to rest, and reports the time and the bytes above rest.
func spreadCost(b *testing.B, f *fleet, restBytes int, done func(n *testNode) bool) {
	start, before := f.now, f.bytes
	var reached bulrushchute.Millis
	for reached == 0 && f.now-start < 2*bulrushchute.Minute {
		f.step()
		if allDone(f, done) {
			reached = f.now - start
		}
	}
	f.run(5 * bulrushchute.Second)
	extra := f.bytes - before - int(f.now-start)*restBytes/int(bulrushchute.Second)
	b.ReportMetric(float64(reached), "ms_to_all")
	b.ReportMetric(float64(extra)/centreNodes, "B/node")
	b.ReportMetric(float64(restBytes)/float64(len(f.nodes)), "rest_B/s/node")
}

func allDone(f *fleet, done func(n *testNode) bool) bool {
	for _, n := range f.nodes[:min(centreNodes, len(f.nodes))] {
		if !n.stopped && !done(n) {
			return false
		}
	}
	return true
}

func has(record bulrushchute.Record) func(n *testNode) bool {
	return func(n *testNode) bool {
		held, ok := n.table.Get(record.Key)
		return ok && !held.Version.Less(record.Version)
	}
}

func BenchmarkSpreadSmallChange(b *testing.B) {
	for b.Loop() {
		f, rest := quietCentre(b)
		record := testEntry(1, 1)
		record.Value = make([]byte, 8)
		f.nodes[7].table.Publish(f.now, record)
		spreadCost(b, f, rest, has(record))
	}
}

func BenchmarkSpreadKilobyte(b *testing.B) {
	for b.Loop() {
		f, rest := quietCentre(b)
		record := testEntry(1, 1)
		f.nodes[7].table.Publish(f.now, record)
		spreadCost(b, f, rest, has(record))
	}
}

// BenchmarkRackLost stops 40 nodes at once.
func BenchmarkRackLost(b *testing.B) {
	for b.Loop() {
		f, rest := quietCentre(b)
		for i := range 40 {
			f.nodes[i].stopped = true
		}
		spreadCost(b, f, rest, func(n *testNode) bool { return len(n.members.byID) == centreNodes+20-40 })
	}
}

// BenchmarkDataCentreLost stops the small data centre. The cost does not
// depend on its size, because none of its members is marked dead.
func BenchmarkDataCentreLost(b *testing.B) {
	for b.Loop() {
		f, rest := quietCentre(b)
		for _, n := range f.nodes[centreNodes:] {
			n.stopped = true
		}
		spreadCost(b, f, rest, func(n *testNode) bool { return !n.Reachable("kgl-01") })
	}
}

// BenchmarkCatalogueRate publishes 0.78 changes of 1 KB and 26 beats a second for
// a minute in one data centre of 885 nodes and reports what the average and
// the busiest node send.
func BenchmarkCatalogueRate(b *testing.B) {
	for b.Loop() {
		f, _ := quietCentre(b)
		reportRate(b, f, fleetCentres, func(dc int) *testNode { return f.nodes[(dc*31+5)%centreNodes] })
	}
}

// BenchmarkFleetRate does the same in whole fleets, each beat starting in its data centre.
func BenchmarkFleetRate(b *testing.B) {
	for _, size := range []struct{ centres, each int }{{3, 4}, {4, 4}, {26, 4}, {26, 34}} {
		b.Run(fmt.Sprintf("centres=%d/each=%d", size.centres, size.each), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(13)
				f.fill(size.centres, size.each)
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

func reportRate(b *testing.B, f *fleet, centres int, beats func(dc int) *testNode) {
	start, before := f.now, f.bytes
	sent := make([]int, len(f.nodes))
	for i, n := range f.nodes {
		sent[i] = n.sent
	}
	slowest := changeRate(f, centres, beats)
	most := 0
	for i, n := range f.nodes {
		most = max(most, n.sent-sent[i])
	}
	seconds := float64((f.now - start) / bulrushchute.Second)
	b.ReportMetric(float64(f.bytes-before)/seconds/float64(len(f.nodes)), "B/s/node")
	b.ReportMetric(float64(most)/seconds, "B/s_busiest")
	b.ReportMetric(float64(slowest), "ms_slowest")
}

// changeRate returns the longest time in which a catalogue change reached all
// nodes in a minute, or the age of the oldest that did not.
func changeRate(f *fleet, centres int, beats func(dc int) *testNode) (slowest bulrushchute.Millis) {
	type pending struct {
		record bulrushchute.Record
		at     bulrushchute.Millis
	}
	var open []pending
	tickets, revision := 0.0, uint64(0)
	for end := f.now + bulrushchute.Minute; f.now < end; {
		if f.now%bulrushchute.Second == 0 {
			for dc := range centres {
				beats(dc).table.Publish(f.now, testBeat(f.now, dc))
			}
			tickets += 0.78
		}
		if tickets >= 1 {
			tickets--
			revision++
			record := testEntry(revision, int(revision))
			f.nodes[f.random.IntN(min(centreNodes, len(f.nodes)))].table.Publish(f.now, record)
			open = append(open, pending{record: record, at: f.now})
		}
		f.step()
		for len(open) > 0 && allDone(f, has(open[0].record)) {
			slowest = max(slowest, f.now-open[0].at)
			open = open[1:]
		}
	}
	if len(open) > 0 {
		slowest = max(slowest, f.now-open[0].at)
	}
	return slowest
}

// BenchmarkFrozenShare freezes 40% of a data centre for 20 s and reports the
// live members held for dead at any time and the time until no suspicion is left.
func BenchmarkFrozenShare(b *testing.B) {
	for b.Loop() {
		f, _ := quietCentre(b)
		frozen := centreNodes * 2 / 5
		for _, n := range f.nodes[:frozen] {
			n.frozen = true
		}
		deaths := 0
		for range 20 {
			f.run(bulrushchute.Second)
			deaths += f.deaths()
		}
		isolated := 0
		for _, n := range f.nodes[frozen:] {
			isolated += count(n.status.Isolated)
		}
		for _, n := range f.nodes[:frozen] {
			f.resume(n)
		}
		resumed := f.now
		for f.now-resumed < 2*bulrushchute.Minute && f.suspicions() > 0 {
			f.run(bulrushchute.Second)
			deaths += f.deaths()
		}
		b.ReportMetric(float64(deaths), "false_deaths")
		b.ReportMetric(float64(isolated), "isolated_others")
		b.ReportMetric(float64(f.now-resumed), "ms_to_recover")
	}
}
