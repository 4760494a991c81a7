package bulrushkey_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushkey"
)

// Guards against a key that runs twice and against a wrong "not run". The
// simulation has stale key maps, skewed clocks, frozen nodes, lost and duplicated
// messages, lost answers from the store, takeovers and repeated requests.
func TestKeyRunsAtMostOnce(t *testing.T) {
	var total simStats
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.advance(600)
		for range rapid.IntRange(20, 100).Draw(t, "steps") {
			s.step(rapid.IntRange(0, 99).Draw(t, "operation"))
		}
		s.checkRecovery()
		total.add(s.stats)
	})
	t.Logf("%+v", total)
	for name, count := range map[string]int{
		"runs": total.runs, "answers": total.answered, "waits": total.waited, "too old": total.tooOld,
		"not run": total.notRun, "partitions reassigned": total.reassigned, "refused by admission": total.refusedRuns,
	} {
		assert.Check(t, count > 0, "no simulation covered: %s", name)
	}
}

// checkRecovery ends all faults and asserts that each partition gets a working
// home again, unless too few of the old home's monitors are left to give promises.
func (s *sim) checkRecovery() {
	s.faultsOff = true
	// The second round ends faults that were scheduled before the first and began
	// during it.
	for range 2 {
		s.storeDown = false
		for _, n := range s.nodes {
			n.disconnected, n.freezeOnAck = false, false
			for _, other := range s.nodes {
				n.dead[other.id] = other.crashed
			}
			n.neighbours = s.drawNeighbours(n)
			s.resume(n)
		}
		s.advance(3_000)
	}
	s.advance(15_000)
	if len(s.maps) == 0 || s.activeMembers() < 2 {
		return
	}
	newest := s.maps[len(s.maps)-1]
	for _, home := range newest.Homes {
		n := s.findNode(home.ID)
		stuck := n.crashed && !s.canBeTakenOver(home)
		assert.Check(s.t, stuck || !n.crashed, "%s has crashed and is still a home", home.ID)
		permit := bulrushkey.Permit{}
		if n.controller != nil {
			permit = n.controller.Permit(s.clock(n), newest.PartitionsOf(n.id)[0])
		}
		assert.Check(s.t, n.crashed || n.frozen || permit.LeaseHeld, "%s has no lease", home.ID)
	}
}

func (s *sim) activeMembers() int {
	count := 0
	for _, n := range s.nodes {
		if n.controller != nil && !n.crashed && !n.leaving && !n.frozen {
			count++
		}
	}
	return count
}

func (s *sim) findNode(id bulrushchute.InstanceID) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// canBeTakenOver reports whether a majority of a home's monitors can still give
// promises.
func (s *sim) canBeTakenOver(home bulrushkey.Home) bool {
	alive := 0
	for _, monitor := range home.Monitors {
		if n := s.findNode(monitor.ID); !n.crashed && !n.frozen {
			alive++
		}
	}
	return 2*alive > len(home.Monitors)
}

func (st *simStats) add(other simStats) {
	st.runs += other.runs
	st.answered += other.answered
	st.waited += other.waited
	st.tooOld += other.tooOld
	st.notRun += other.notRun
	st.reassigned += other.reassigned
	st.refusedRuns += other.refusedRuns
}

// step performs one random operation and advances the time by up to 150 ms.
func (s *sim) step(operation int) {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	switch {
	case operation < 20:
		s.repeat()
	case operation < 40:
		s.submitNew()
	case operation < 48:
		s.freeze(n)
	case operation < 56:
		s.markDead(n)
	case operation < 66:
		s.markDead(n)
		n.freezeOnAck = true
	case operation < 68:
		s.markDead(n)
		s.freeze(n)
	case operation < 70:
		n.disconnected = true
		s.after(nil, s.randomUpTo(1_000), func() { n.disconnected = false })
	case operation < 72:
		s.storeDown = true
		s.after(nil, s.randomUpTo(1_000), func() { s.storeDown = false })
	case operation < 76:
		n.clockOffset = s.drawClockOffset()
	case operation < 79:
		n.neighbours = s.drawNeighbours(n)
	case operation < 82:
		s.crash(n)
	case operation < 83:
		s.loseDataCentre(n.dataCentre)
	case operation < 86:
		s.leave(n)
	}
	s.advance(s.randomUpTo(150))
}

func (s *sim) randomMap() (bulrushkey.KeyMap, bool) {
	if len(s.maps) == 0 {
		return bulrushkey.KeyMap{}, false
	}
	return s.maps[s.random.IntN(len(s.maps))], true
}

// newKey returns a new key in the given partition. Its mint time is close to the
// current time or to the start of the home's range, or sometimes in the future.
func (s *sim) newKey(m bulrushkey.KeyMap, partition int) bulrushkey.Key {
	mint := s.now + s.randomUpTo(4*simSettings.ClockSkew) - 2*simSettings.ClockSkew
	if _, assignment, found := m.HomeOf(partition); found && s.chance(50) {
		mint = assignment.Since + s.randomUpTo(100) - 20
	}
	if s.chance(5) {
		mint = s.now + s.randomUpTo(2_000)
	}
	for {
		var random [10]byte
		for i := range random {
			random[i] = byte(s.random.Uint32())
		}
		if key := bulrushkey.NewKey(mint, random); key.Partition() == partition {
			s.keys = append(s.keys, key)
			return key
		}
	}
}

// submitNew sends two requests with the same new key.
func (s *sim) submitNew() {
	if m, found := s.randomMap(); found {
		key := s.newKey(m, s.random.IntN(bulrushkey.PartitionCount))
		s.submit(key, m)
		s.submit(key, m)
	}
}

// repeat sends a known key again through an entry node with a random map version.
func (s *sim) repeat() {
	m, found := s.randomMap()
	if !found || len(s.keys) == 0 {
		return
	}
	s.submit(s.keys[s.random.IntN(len(s.keys))], m)
}

// submitToBothHomes tries to make both homes of a reassigned partition run the
// same key. It sends new keys to both homes within the given time, and repeats
// recent keys at the new home.
func (s *sim) submitToBothHomes(older, newest bulrushkey.KeyMap, partition int, within bulrushchute.Millis) {
	for range 3 {
		s.after(nil, s.randomUpTo(within), func() {
			key := s.newKey(newest, partition)
			s.submit(key, older)
			s.after(nil, s.randomUpTo(100), func() { s.submit(key, newest) })
		})
	}
	s.resubmitToNewHome(newest, partition)
}

// submitAfterResume calls submitToBothHomes for a partition that was reassigned
// from a resumed node, which may not know that yet.
func (s *sim) submitAfterResume(n *simNode) {
	newest := s.maps[len(s.maps)-1]
	for i := len(s.maps) - 1; i >= 0; i-- {
		for _, p := range s.maps[i].PartitionsOf(n.id) {
			if home, _, _ := newest.HomeOf(p); home.ID != n.id {
				s.submitToBothHomes(s.maps[i], newest, p, simSettings.Lease/2)
				return
			}
		}
	}
}

// resubmitToNewHome repeats recent keys of a partition, routed by the newest map.
func (s *sim) resubmitToNewHome(newest bulrushkey.KeyMap, partition int) {
	for _, key := range s.keys[max(0, len(s.keys)-100):] {
		if key.Partition() == partition {
			s.after(nil, s.randomUpTo(2*simSettings.Lease), func() { s.submit(key, newest) })
		}
	}
}

// markDead makes most nodes consider n dead for some time, either simultaneously
// or one after the other.
func (s *sim) markDead(n *simNode) {
	if n.crashed {
		return
	}
	spread := bulrushchute.Millis(0)
	if s.chance(50) {
		spread = 2 * simSettings.Lease
	}
	for _, other := range s.nodes {
		if other != n && s.chance(80) {
			s.after(nil, s.randomUpTo(spread), func() { other.dead[n.id] = true })
			s.after(nil, spread+s.randomUpTo(5*simSettings.Lease), func() { other.dead[n.id] = n.crashed })
		}
	}
}

// crash stops a node permanently and adds a replacement with a new ID.
func (s *sim) crash(n *simNode) {
	if n.crashed || len(s.nodes) >= simMaxMembers+simMonitorCount {
		return
	}
	n.crashed = true
	for _, other := range s.nodes {
		s.after(nil, s.randomUpTo(300), func() { other.dead[n.id] = true })
	}
	replacement := s.addNode(n.controller != nil)
	replacement.neighbours = s.drawNeighbours(replacement)
}

// loseDataCentre crashes all nodes of a data centre. Operators then declare it
// lost.
func (s *sim) loseDataCentre(dataCentre bulrushchute.DataCentre) {
	if s.lost != "" {
		return
	}
	s.lost = dataCentre
	for _, n := range s.nodes {
		if n.dataCentre == dataCentre {
			n.crashed = true
		}
	}
	for _, n := range s.nodes {
		s.after(nil, s.randomUpTo(300), func() { n.lost = append(n.lost, dataCentre) })
	}
}

func (s *sim) leave(n *simNode) {
	if n.controller != nil && !n.crashed && !n.frozen {
		n.leaving = true
		n.controller.Leave(s.clock(n))
	}
}
