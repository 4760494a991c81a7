package bulrushkey_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushkey"
)

// Guards against a key that runs twice and against a false "not run", with
// stale maps, skewed clocks, frozen nodes, lost and doubled messages, lost
// answers of the store, takeovers and repeats.
func TestKeyRunsAtMostOnce(t *testing.T) {
	var total simStats
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.advance(600)
		for range rapid.IntRange(20, 100).Draw(t, "steps") {
			s.step(rapid.IntRange(0, 99).Draw(t, "operation"))
		}
		for _, n := range s.nodes {
			s.resume(n)
		}
		s.advance(2_000)
		total.add(s.stats)
	})
	t.Logf("%+v", total)
	for name, count := range map[string]int{
		"runs": total.runs, "recorded answers": total.answered, "waits": total.waited, "too old": total.tooOld,
		"not run": total.notRun, "partitions moved": total.moved, "refused by admission": total.refusedRuns,
	} {
		assert.Check(t, count > 0, "the runs reached no %s", name)
	}
}

func (st *simStats) add(other simStats) {
	st.runs += other.runs
	st.answered += other.answered
	st.waited += other.waited
	st.tooOld += other.tooOld
	st.notRun += other.notRun
	st.moved += other.moved
	st.refusedRuns += other.refusedRuns
}

// step makes one random operation and lets some time pass.
func (s *sim) step(operation int) {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	switch {
	case operation < 20:
		s.race()
	case operation < 40:
		s.repeat()
	case operation < 50:
		s.submitNew()
	case operation < 58:
		n.frozen = true
	case operation < 68:
		s.resume(n)
	case operation < 76:
		s.suspect(n)
	case operation < 79:
		n.cut = !n.cut
	case operation < 82:
		s.down = !s.down
	case operation < 84:
		n.offset = s.drawOffset()
	case operation < 86:
		n.neighbours = s.drawNeighbours(n)
	case operation < 88:
		s.crash(n)
	case operation < 89:
		s.loseDataCentre(n.dataCentre)
	case operation < 91:
		s.leave(n)
	}
	s.advance(s.upTo(150))
	s.race()
	s.advance(s.upTo(30))
}

func (s *sim) anyMap() (bulrushkey.KeyMap, bool) {
	if len(s.maps) == 0 {
		return bulrushkey.KeyMap{}, false
	}
	return s.maps[s.random.IntN(len(s.maps))], true
}

// newKey mints a key in a random partition, around the present or around the
// time since which the partition has its home.
func (s *sim) newKey(m bulrushkey.KeyMap, partition int) bulrushkey.Key {
	mint := s.now + s.upTo(4*simSettings.ClockSkew) - 2*simSettings.ClockSkew
	if _, assignment, found := m.HomeOf(partition); found && s.chance(50) {
		mint = assignment.Since + s.upTo(100) - 20
	}
	if s.chance(5) {
		mint = s.now + s.upTo(2_000)
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

func (s *sim) submitNew() {
	if m, found := s.anyMap(); found {
		s.submit(s.newKey(m, s.random.IntN(bulrushkey.Partitions)), m)
	}
}

// repeat sends a known key again, through an entry node with any map.
func (s *sim) repeat() {
	m, found := s.anyMap()
	if !found || len(s.keys) == 0 {
		return
	}
	s.submit(s.keys[s.random.IntN(len(s.keys))], m)
	latest := s.keys[max(0, len(s.keys)-1-s.random.IntN(5)):][0]
	s.submit(latest, m)
}

// race sends one key through entry nodes with the newest and an older map, in
// a partition that has moved between them if there is one.
func (s *sim) race() {
	older, found := s.anyMap()
	if !found {
		return
	}
	newest := s.maps[len(s.maps)-1]
	if s.chance(60) && len(s.maps) > 1 {
		older = s.maps[len(s.maps)-2]
	}
	partition := s.random.IntN(bulrushkey.Partitions)
	for _, p := range s.random.Perm(bulrushkey.Partitions) {
		oldHome, _, _ := older.HomeOf(p)
		newHome, _, _ := newest.HomeOf(p)
		if oldHome.ID != newHome.ID {
			partition = p
			break
		}
	}
	key := s.newKey(newest, partition)
	s.submit(key, older)
	s.submit(key, newest)
}

// suspect makes nodes hold another for dead, rightly or not, or drop that.
func (s *sim) suspect(n *simNode) {
	dead := s.chance(70)
	for _, other := range s.nodes {
		if other != n && s.chance(80) && !n.crashed {
			other.dead[n.id] = dead
		}
	}
}

// crash ends a node for good. A node with a new identity replaces a member.
func (s *sim) crash(n *simNode) {
	if n.crashed || len(s.nodes) >= simMaxMembers+simOnlyWatch {
		return
	}
	n.crashed = true
	for _, other := range s.nodes {
		s.after(nil, s.upTo(300), func() { other.dead[n.id] = true })
	}
	replacement := s.addNode(n.controller != nil)
	replacement.neighbours = s.drawNeighbours(replacement)
}

// loseDataCentre ends all nodes of a data centre; then operators declare it lost.
func (s *sim) loseDataCentre(dataCentre bulrushchute.DataCentre) {
	for _, n := range s.nodes {
		if n.dataCentre == dataCentre {
			n.crashed = true
		}
	}
	for _, n := range s.nodes {
		s.after(nil, s.upTo(300), func() { n.lost = append(n.lost, dataCentre) })
	}
}

func (s *sim) leave(n *simNode) {
	if n.controller != nil && !n.crashed && !n.frozen {
		n.leaving = true
		n.controller.Leave(s.clock(n))
	}
}
