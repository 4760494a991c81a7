package bulrushusage

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// Figures of the fleet for which the collection is designed.
const (
	designNodes        = 23_000
	designDataCentres  = 26
	designTenants      = 200
	designRequestsPerS = 4_100_000
	// controlBytesPerS is what a node may use for control.
	controlBytesPerS = 8000
)

// designFleet is a fleet in which only the nodes of one data centre run. The others
// are members only, and copies of the messages of its collector stand for theirs.
func designFleet() *fleet {
	local := designNodes / designDataCentres
	f := newFleet(1, local, 1, designTenants)
	members := designMembers()
	for _, n := range f.order {
		members = append(members, n.instance)
	}
	// Nodes with other duties need only the members of their own data centre.
	f.holder.collector.SetMembers(members)
	f.dataCentreCollector("dc0").collector.SetMembers(members)
	return f
}

func designMembers() []bulrushchute.Instance {
	var members []bulrushchute.Instance
	for i := range designNodes - designNodes/designDataCentres {
		id := fmt.Sprintf("10000000-0000-4000-8000-%012x", i)
		members = append(members, bulrushchute.Instance{
			ID:         bulrushchute.InstanceID(id),
			Address:    "10.10.10.10:7100",
			DataCentre: bulrushchute.DataCentre(fmt.Sprintf("dc%d", 1+i%(designDataCentres-1))),
			State:      bulrushchute.StateReady,
		})
	}
	return members
}

func messageSize(t *testing.T, from bulrushchute.InstanceID, usage bulrushchute.Usage) int {
	encoded, err := cbor.Marshal(map[int]bulrushchute.Control{4: {From: from, Usage: &usage}})
	assert.NilError(t, err)
	return len(encoded)
}

// Collection must leave room for the other control messages of a node, also at the
// nodes that hear the most.
func TestBytesPerSecond(t *testing.T) {
	f := designFleet()
	byNode := make(map[bulrushchute.InstanceID]int)
	holderBytes := 0
	f.sent = func(from, to bulrushchute.InstanceID, usage bulrushchute.Usage) {
		size := messageSize(t, from, usage)
		if to == f.holder.instance.ID || from == f.holder.instance.ID {
			parts := slices.ContainsFunc(usage.Parts, func(p Part) bool { return p.Key.Level == bulrushchute.UsageDataCentre })
			receipts := slices.ContainsFunc(usage.Receipts, func(r Receipt) bool { return r.Key.Level == bulrushchute.UsageDataCentre })
			if parts || receipts {
				holderBytes += size
			}
		}
		byNode[from] += size
		byNode[to] += size
	}
	perNode := int(math.Ceil(designRequestsPerS / float64(designNodes) * float64(f.tick) / 1000))
	step := func(ticks int) {
		for range ticks {
			for _, n := range f.order {
				for range perNode {
					f.count(n, f.tenants[f.random.IntN(designTenants)], 1)
				}
			}
			f.run(f.tick, 0)
		}
	}
	const windows = 3
	// The first windows have no estimate of the size of messages yet.
	step(30)
	clear(byNode)
	holderBytes = 0
	step(windows * 20)
	seconds := windows * 5
	rate := func(n *fleetNode) int { return byNode[n.instance.ID] / seconds }

	collectors := make(map[*fleetNode]int)
	for number := range f.order[0].collector.tree.groupsOf(f.order[0].collector.tree.bits) {
		at := place{bulrushchute.UsageGroup, "dc0", group{f.order[0].collector.tree.bits, number}}
		collectors[f.nodes[f.order[0].collector.tree.collector(at).id]]++
	}
	most, mostGroups, busiest := 0, 0, 0
	for n, groups := range collectors {
		if groups == 1 {
			most = max(most, rate(n))
		}
		mostGroups = max(mostGroups, groups)
		busiest = max(busiest, rate(n))
	}
	dataCentre := rate(f.dataCentreCollector("dc0"))
	holder := holderBytes * designDataCentres / seconds
	t.Logf("bytes a second, sent and received: %d group collectors, at most %d (%d with %d groups), data centre collector %d, holder %d",
		len(collectors), most, busiest, mostGroups, dataCentre, holder)
	for _, figure := range []int{most, busiest, dataCentre, holder} {
		assert.Assert(t, figure > 0 && figure < controlBytesPerS)
	}
}

// BenchmarkCounter measures what counting costs each request.
func BenchmarkCounter(b *testing.B) {
	counter := NewCounter(testSettings)
	f := newFleet(1, 1, 1, designTenants)
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			counter.Began(testStart, f.tenants[i%designTenants])
		}
	})
}

// BenchmarkTick measures the ticks of the busiest node, without and with a change of
// members before each.
func BenchmarkTick(b *testing.B) {
	f := designFleet()
	f.run(7000, 2000)
	members := append(designMembers(), f.order[0].instance)
	for _, n := range f.order[1:] {
		members = append(members, n.instance)
	}
	busiest := f.dataCentreCollector("dc0")
	b.Run("tick", func(b *testing.B) {
		for range b.N {
			busiest.collector.Tick(f.now)
		}
	})
	b.Run("change of members", func(b *testing.B) {
		now := f.now
		for range b.N {
			now += rebuildInterval
			busiest.collector.SetMembers(members)
			busiest.collector.Tick(now)
		}
	})
}
