package bulrushmembership

import (
	"fmt"
	"strconv"
	"strings"

	"bulrushchute.example/bulrushchute"
)

const (
	// unreachableAfter is the silence after which a bridge reports a data centre.
	unreachableAfter = 3 * bulrushchute.Second
	// probeAfter is the silence after which a bridge also asks other members
	// of the data centre, so that a failure of the bridge nodes alone is not
	// taken for one of the data centre.
	probeAfter    = 1500 * bulrushchute.Millisecond
	probeInterval = 500 * bulrushchute.Millisecond
	// ownEvidence is how long a doubtful node trusts an answer from a data
	// centre more than the reports. When half of a small data centre fails at
	// once, all holders of a bridge may be among them, and nobody suspects them.
	ownEvidence = 15 * bulrushchute.Second
	probeCount  = 2
)

// Each bridge reports in a record of its own, named "from>to/slot". A data
// centre is unreachable when all bridges to it say so. One record for all
// three would need an agreement among the bridge nodes first.

func reachKey(from, to bulrushchute.DataCentre, slot int) bulrushchute.RecordKey {
	return bulrushchute.RecordKey{Topic: bulrushchute.TopicDataCentre, Name: fmt.Sprintf("%s>%s/%d", from, to, slot)}
}

// Values of reachability records.
const (
	reachUp   = 1
	reachDown = 0
)

// decodeReach returns false for a record that does not concern this data centre.
func (m *Membership) decodeReach(record bulrushchute.Record) (to bulrushchute.DataCentre, up bool, ok bool) {
	rest, ok := strings.CutPrefix(record.Key.Name, string(m.self.DataCentre)+">")
	at := strings.LastIndexByte(rest, '/')
	if !ok || at <= 0 || len(record.Value) != 1 || record.Value[0] > reachUp {
		return "", false, false
	}
	slot, err := strconv.Atoi(rest[at+1:])
	if err != nil || slot < 0 || slot >= bridgeCount {
		return "", false, false
	}
	return bulrushchute.DataCentre(rest[:at]), record.Value[0] == reachUp, true
}

// watchBridges probes and reports the data centres that this node holds bridges to.
func (m *Membership) watchBridges(now bulrushchute.Millis, actions []Action) []Action {
	for _, dc := range m.members.centreOrder {
		if dc.roles == [bridgeCount]bool{} {
			continue
		}
		silence := now - max(dc.heard, m.resumed)
		if silence >= probeAfter && now >= dc.nextProbe {
			dc.nextProbe = now + probeInterval
			actions = m.probe(now, actions, dc)
		}
		m.reportReach(now, dc, silence)
	}
	return actions
}

// probeHome asks random members of this data centre and of another when this
// node lost most of its neighbours. When 40% of a data centre freezes, some
// nodes lose all six neighbours and would otherwise refuse work as isolated;
// the last node of a data centre may hold no bridge.
func (m *Membership) probeHome(now bulrushchute.Millis, actions []Action) []Action {
	home := m.members.centre(m.self.DataCentre)
	if !m.doubtful || now < home.nextProbe {
		return actions
	}
	home.nextProbe = now + probeInterval
	actions = m.probe(now, actions, home)
	other := m.members.centreOrder[m.config.Random.IntN(len(m.members.centreOrder))]
	if other == home {
		return actions
	}
	return m.probe(now, actions, other)
}

func (m *Membership) probe(now bulrushchute.Millis, actions []Action, dc *dataCentre) []Action {
	for range min(probeCount, len(dc.members)) {
		target := dc.members[m.config.Random.IntN(len(dc.members))]
		if target.instance.ID == m.self.ID {
			continue
		}
		actions = m.sendHeartbeat(now, actions, target.instance.ID, target.instance.Address)
	}
	return actions
}

func (m *Membership) reportReach(now bulrushchute.Millis, dc *dataCentre, silence bulrushchute.Millis) {
	up := silence < unreachableAfter
	if (!up && m.doubtful) || (up && silence >= probeAfter) {
		return
	}
	for slot, held := range dc.roles {
		if held && m.slotUp(dc, slot) != up {
			m.publishReach(now, dc, slot, up)
		}
	}
}

func (m *Membership) publishReach(now bulrushchute.Millis, dc *dataCentre, slot int, up bool) {
	key := reachKey(m.self.DataCentre, dc.name, slot)
	version := bulrushchute.RecordVersion{Counter: uint64(now)}
	if old, ok := m.table.Get(key); ok && !old.Version.Less(version) {
		// The slot's former holder has a faster clock.
		version.Counter = old.Version.Counter + 1
	}
	m.table.Publish(now, bulrushchute.Record{Key: key, Version: version, Value: []byte{byte(count(up))}})
}

// slotUp tells what the bridge in a slot last reported.
func (m *Membership) slotUp(dc *dataCentre, slot int) bool {
	record, ok := m.table.Get(reachKey(m.self.DataCentre, dc.name, slot))
	return !ok || len(record.Value) != 1 || record.Value[0] == reachUp
}

// updateReach computes the reachability of all data centres from the reports.
func (m *Membership) updateReach(now bulrushchute.Millis) {
	if !m.reachChanged && !m.doubtful {
		return
	}
	m.reachChanged = false
	for _, dc := range m.members.centreOrder {
		answered := m.doubtful && now-dc.heard < ownEvidence
		unreachable := m.allSlotsDown(dc) && !answered
		if unreachable == dc.unreachable {
			continue
		}
		dc.unreachable = unreachable
		if m.config.OnDataCentre != nil {
			m.config.OnDataCentre(now, dc.name, !unreachable)
		}
	}
}

// allSlotsDown leaves out bridges whose holder is suspected, because they
// cannot report. If no bridge can, the last state stands.
func (m *Membership) allSlotsDown(dc *dataCentre) bool {
	if dc.name == m.self.DataCentre || len(dc.members) == 0 {
		return false
	}
	able := 0
	for slot, holder := range dc.holders {
		if holder == nil {
			continue
		}
		if _, suspect := m.members.suspicionOf(holder.instance.ID, holder.instance.Incarnation); suspect {
			continue
		}
		able++
		if m.slotUp(dc, slot) {
			return false
		}
	}
	return able > 0 || dc.unreachable
}
