package bulrushmembership

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// Guards against suspicions of running members and against a crash that is not
// detected.
func TestCrashIsConfirmed(t *testing.T) {
	f := newFleet(1)
	f.populate(2, 30)
	f.run(10 * bulrushchute.Second)
	assert.Equal(t, f.suspicions(), 0)
	f.nodes[3].stopped = true
	f.run(8 * bulrushchute.Second)
	assertMemberCount(t, f, 59)
}

// Guards against the removal of many members when a platform fault freezes them
// temporarily, and against a burst of messages that exceeds the bandwidth budget.
func TestFrozenNodesAreNotRemoved(t *testing.T) {
	f := newFleet(2)
	f.populate(1, 200)
	f.run(5 * bulrushchute.Second)
	for i := range 80 {
		f.nodes[i].frozen = true
	}
	f.run(20 * bulrushchute.Second)
	assert.Equal(t, f.falseDeaths(), 0)
	for i := range 80 {
		f.resume(f.nodes[i])
	}
	f.run(30 * bulrushchute.Second)
	assert.Equal(t, f.falseDeaths(), 0)
	assert.Equal(t, f.suspicions(), 0)
	assertMemberCount(t, f, 200)
	for _, n := range f.nodes {
		stats := n.table.Stats()
		limit := uint64(8192 * (f.now - testStart + 2*bulrushchute.Second) / bulrushchute.Second)
		assert.Assert(t, stats.SentBytes+stats.ChargedBytes <= limit, "%s exceeds its budget: %+v", n.self.ID, stats)
	}
}

// Guards against members declared dead during a network partition between data
// centres, and against a partition whose end is not detected.
func TestPartitionBetweenDataCentres(t *testing.T) {
	f := newFleet(3)
	f.populate(3, 20)
	f.run(5 * bulrushchute.Second)
	f.blocked = func(from, to *testNode) bool {
		return from.self.DataCentre != to.self.DataCentre && min(from.self.DataCentre, to.self.DataCentre) == "kgl-00"
	}
	f.run(5 * bulrushchute.Second)
	for _, n := range f.nodes {
		local := n.self.DataCentre
		assert.Equal(t, n.Reachable("kgl-00"), local == "kgl-00", "from %s", n.self.ID)
		assert.Equal(t, n.Reachable("kgl-02"), local != "kgl-00", "from %s", n.self.ID)
	}
	f.run(3 * bulrushchute.Minute)
	assert.Equal(t, f.falseDeaths(), 0)
	f.blocked = nil
	f.run(5 * bulrushchute.Second)
	for _, n := range f.nodes {
		assert.Assert(t, n.Reachable("kgl-00") && n.Reachable("kgl-02"))
	}
	assertMemberCount(t, f, 60)
}

// Guards against suspicions by a node that was paused and has received messages
// from only some of its neighbours since.
func TestPauseResetsSilence(t *testing.T) {
	f := newFleet(10)
	f.maxDelay = 900
	f.populate(1, 24)
	f.run(5 * bulrushchute.Second)
	for _, n := range f.nodes {
		n.frozen = true
		f.run(4 * bulrushchute.Second)
		n.backlog = nil
		f.resume(n)
		resumed := f.now
		f.run(4 * bulrushchute.Second)
		for _, s := range n.members.suspicionOrder {
			own := s.learnedAt >= resumed && s.monitor == monitorHash(n.self.ID)
			assert.Assert(t, !own, "%s suspects %s", n.self.ID, s.id)
		}
	}
}

// Guards against a data centre that stays unreachable after the node that holds
// the only working bridge to it has refuted a suspicion.
func TestReachabilityAfterRefutation(t *testing.T) {
	f := newFleet(15)
	f.populate(2, 6)
	f.run(5 * bulrushchute.Second)
	n := f.nodes[0]
	remote := n.members.ensureDataCentre("kgl-01")
	bridgeNode := remote.localBridgeNodes[0].instance.ID
	for bridge := 1; bridge < bridgeCount; bridge++ {
		key := reachabilityKey("kgl-00", "kgl-01", bridge)
		version := bulrushchute.RecordVersion{Counter: uint64(f.now + 50_000)}
		n.table.Publish(f.now, bulrushchute.Record{Key: key, Version: version, Value: []byte{reachDown}})
	}
	n.table.Publish(f.now, suspicionRecord(bridgeNode, n.self.ID, 1, rankSuspect, f.now))
	n.updateReachability(f.now)
	assert.Assert(t, !n.Reachable("kgl-01"))
	refuted, err := encodeMember(remote.localBridgeNodes[0].instance.WithIncarnation(2), 1)
	assert.NilError(t, err)
	n.table.Publish(f.now, refuted)
	n.updateReachability(f.now)
	assert.Assert(t, n.Reachable("kgl-01"))
}
