package bulrushkey

import (
	"bulrushchute.example/bulrushchute"
)

// Monitor is a node's part as lease monitor of other homes. A promise lasts
// as long as the monitor: a restarted node has a new identity, which no key
// map names as a monitor.
type Monitor struct {
	settings Settings
	heard    map[bulrushchute.InstanceID]bulrushchute.Millis
	// promised holds the last epoch of each home that was promised away.
	promised map[bulrushchute.InstanceID]uint64
	// pruneAt is the size of heard at which homes that fell silent are dropped.
	pruneAt int
}

// leastPruned keeps pruning rare while a node monitors its usual few homes.
const leastPruned = 64

// NewMonitor returns a monitor that has promised nothing.
func NewMonitor(settings Settings) *Monitor {
	return &Monitor{
		settings: settings,
		heard:    make(map[bulrushchute.InstanceID]bulrushchute.Millis),
		promised: make(map[bulrushchute.InstanceID]uint64),
		pruneAt:  leastPruned,
	}
}

// Heartbeat answers a heartbeat. The lease is extended when the heartbeat asks
// for it, unless an earlier promise forbids it.
func (m *Monitor) Heartbeat(now bulrushchute.Millis, from bulrushchute.InstanceID, heartbeat bulrushchute.Heartbeat) bulrushchute.HeartbeatAck {
	ack := bulrushchute.HeartbeatAck{Sequence: heartbeat.Sequence, SentAt: heartbeat.SentAt}
	if !heartbeat.KeyLease {
		return ack
	}
	if m.Promised(from, heartbeat.KeyEpoch) {
		return ack
	}
	m.hear(now, from)
	ack.KeyLease = true
	return ack
}

// Ask answers a promise request. The promise is refused while the home still
// renews its lease with this monitor, unless this node's membership holds the
// home for dead. That keeps a node with a wrong view from ending a lease that
// works. A promise once given is repeated to every successor that asks. It
// covers the epoch and all earlier ones.
func (m *Monitor) Ask(now bulrushchute.Millis, ask bulrushchute.PromiseAsk, dead bool) bulrushchute.Promise {
	promise := bulrushchute.Promise{Home: ask.Home, Epoch: ask.Epoch}
	promise.Granted = m.Promised(ask.Home, ask.Epoch) || dead || !m.hears(now, ask.Home)
	if promise.Granted && !m.Promised(ask.Home, ask.Epoch) {
		m.promised[ask.Home] = ask.Epoch
		delete(m.heard, ask.Home)
	}
	return promise
}

// Promised reports whether the monitor has stopped extending the lease of the
// home's epoch.
func (m *Monitor) Promised(home bulrushchute.InstanceID, epoch uint64) bool {
	last, promised := m.promised[home]
	return promised && epoch <= last
}

func (m *Monitor) hear(now bulrushchute.Millis, home bulrushchute.InstanceID) {
	m.heard[home] = now
	if len(m.heard) < m.pruneAt {
		return
	}
	for id := range m.heard {
		if !m.hears(now, id) {
			delete(m.heard, id)
		}
	}
	m.pruneAt = max(leastPruned, 2*len(m.heard))
}

func (m *Monitor) hears(now bulrushchute.Millis, home bulrushchute.InstanceID) bool {
	at, heard := m.heard[home]
	return heard && now-at < m.settings.Lease
}
