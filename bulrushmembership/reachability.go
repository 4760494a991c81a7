package bulrushmembership

import (
	"fmt"
	"strconv"
	"strings"

	"bulrushchute.example/bulrushchute"
)

const (
	// unreachableAfter is the silence after which a bridge node reports a data
	// centre as unreachable.
	unreachableAfter = 3 * bulrushchute.Second
	// probeAfter is the silence after which a bridge node also probes other
	// members of the data centre, so that a failure of only the remote bridge
	// nodes is not reported as a failure of the data centre.
	probeAfter    = 1500 * bulrushchute.Millisecond
	probeInterval = 500 * bulrushchute.Millisecond
	// ownAnswerWindow is how long an answer that a degraded node itself received
	// from a data centre overrides the reports of the bridges. When half of a
	// small data centre fails at once, all bridge nodes may be among the failed
	// members, and no monitor suspects them.
	ownAnswerWindow = 15 * bulrushchute.Second
	probeCount      = 2
)

// The local node of each bridge publishes its reports in a separate record named
// "from>to/bridge". A data centre is unreachable if all bridges to it report so.
// A single shared record would require the bridge nodes to agree first.

func reachabilityKey(from, to bulrushchute.DataCentre, bridge int) bulrushchute.RecordKey {
	return bulrushchute.RecordKey{Topic: bulrushchute.TopicDataCentre, Name: fmt.Sprintf("%s>%s/%d", from, to, bridge)}
}

// Values of reachability records.
const (
	reachUp   = 1
	reachDown = 0
)

// decodeReachability decodes the report of a bridge. It returns false if the
// record is invalid or is not about a bridge of the local data centre.
func (m *Membership) decodeReachability(record bulrushchute.Record) (to bulrushchute.DataCentre, up bool, ok bool) {
	rest, ok := strings.CutPrefix(record.Key.Name, string(m.self.DataCentre)+">")
	separator := strings.LastIndexByte(rest, '/')
	if !ok || separator <= 0 || len(record.Value) != 1 || record.Value[0] > reachUp {
		return "", false, false
	}
	bridge, err := strconv.Atoi(rest[separator+1:])
	if err != nil || bridge < 0 || bridge >= bridgeCount {
		return "", false, false
	}
	return bulrushchute.DataCentre(rest[:separator]), record.Value[0] == reachUp, true
}

// checkBridges probes the data centres to which this node holds bridges and
// reports their reachability.
func (m *Membership) checkBridges(now bulrushchute.Millis, actions []Action) []Action {
	for _, dc := range m.members.dataCentreOrder {
		if dc.ownBridges == [bridgeCount]bool{} {
			continue
		}
		silence := now - max(dc.lastContact, m.resumedAt)
		if silence >= probeAfter && now >= dc.nextProbe {
			dc.nextProbe = now + probeInterval
			actions = m.probe(now, actions, dc)
		}
		m.reportReachability(now, dc, silence)
	}
	return actions
}

// probeWhenDegraded probes random members of the local data centre and of another
// one while this node is degraded. When 40% of a data centre freezes, some nodes
// lose all six neighbours and would otherwise refuse work as isolated. The other
// data centre is needed because the last node of a data centre may not hold a
// bridge.
func (m *Membership) probeWhenDegraded(now bulrushchute.Millis, actions []Action) []Action {
	local := m.members.ensureDataCentre(m.self.DataCentre)
	if !m.degraded || now < local.nextProbe {
		return actions
	}
	local.nextProbe = now + probeInterval
	actions = m.probe(now, actions, local)
	other := m.members.dataCentreOrder[m.config.Random.IntN(len(m.members.dataCentreOrder))]
	if other == local {
		return actions
	}
	return m.probe(now, actions, other)
}

// probe sends heartbeats to up to probeCount random members of a data centre.
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

// reportReachability publishes the state of the bridges that this node holds to
// dc, if it changed. It reports nothing if the silence is inconclusive, or if the
// data centre seems unreachable but this node is degraded.
func (m *Membership) reportReachability(now bulrushchute.Millis, dc *dataCentre, silence bulrushchute.Millis) {
	up := silence < unreachableAfter
	if (!up && m.degraded) || (up && silence >= probeAfter) {
		return
	}
	for bridge, held := range dc.ownBridges {
		if held && m.bridgeUp(dc, bridge) != up {
			m.publishReachability(now, dc, bridge, up)
		}
	}
}

func (m *Membership) publishReachability(now bulrushchute.Millis, dc *dataCentre, bridge int, up bool) {
	key := reachabilityKey(m.self.DataCentre, dc.name, bridge)
	version := bulrushchute.RecordVersion{Counter: uint64(now)}
	if old, ok := m.table.Get(key); ok && !old.Version.Less(version) {
		// The clock of the former bridge node is ahead.
		version.Counter = old.Version.Counter + 1
	}
	m.table.Publish(now, bulrushchute.Record{Key: key, Version: version, Value: []byte{byte(boolToInt(up))}})
}

// bridgeUp reports whether the last report of a bridge is reachUp. A bridge
// without a report counts as up.
func (m *Membership) bridgeUp(dc *dataCentre, bridge int) bool {
	record, ok := m.table.Get(reachabilityKey(m.self.DataCentre, dc.name, bridge))
	return !ok || len(record.Value) != 1 || record.Value[0] == reachUp
}

// updateReachability recomputes the reachability of all data centres.
func (m *Membership) updateReachability(now bulrushchute.Millis) {
	if !m.reachabilityChanged && !m.degraded {
		return
	}
	m.reachabilityChanged = false
	for _, dc := range m.members.dataCentreOrder {
		answered := m.degraded && now-dc.lastContact < ownAnswerWindow
		unreachable := m.allBridgesDown(dc) && !answered
		if unreachable == dc.unreachable {
			continue
		}
		dc.unreachable = unreachable
		if m.config.OnDataCentre != nil {
			m.config.OnDataCentre(now, dc.name, !unreachable)
		}
	}
}

// allBridgesDown reports whether all bridges to a data centre are down. It skips
// bridges whose local node is suspected, because such a node cannot report. If
// all are skipped, the previous state is kept.
func (m *Membership) allBridgesDown(dc *dataCentre) bool {
	if dc.name == m.self.DataCentre || len(dc.members) == 0 {
		return false
	}
	reporting := 0
	for bridge, node := range dc.localBridgeNodes {
		if node == nil {
			continue
		}
		if _, suspect := m.members.suspicionOf(node.instance.ID, node.instance.Incarnation); suspect {
			continue
		}
		reporting++
		if m.bridgeUp(dc, bridge) {
			return false
		}
	}
	return reporting > 0 || dc.unreachable
}
