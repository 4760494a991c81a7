package bulrushkey

import (
	"bulrushchute.example/bulrushchute"
)

// Monitor is this node's role as the lease monitor of homes. Its promises need
// not be stored across restarts, because a restarted node has a new ID, which no
// key map lists as a monitor.
type Monitor struct {
	settings      Settings
	lastHeartbeat map[bulrushchute.InstanceID]bulrushchute.Millis
	// promisedEpoch holds, per home, the highest epoch for which a promise was
	// given.
	promisedEpoch map[bulrushchute.InstanceID]uint64
	// pruneSize is the size of lastHeartbeat at which homes that no longer renew
	// their lease are removed.
	pruneSize int
}

// minPruneSize is well above the few homes that a node usually monitors, so that
// pruning is rare.
const minPruneSize = 64

// NewMonitor returns a monitor that has given no promises.
func NewMonitor(settings Settings) *Monitor {
	return &Monitor{
		settings:      settings,
		lastHeartbeat: make(map[bulrushchute.InstanceID]bulrushchute.Millis),
		promisedEpoch: make(map[bulrushchute.InstanceID]uint64),
		pruneSize:     minPruneSize,
	}
}

// HandleHeartbeat returns the acknowledgement of a heartbeat. The acknowledgement
// extends the lease if the heartbeat asks for that and no earlier promise forbids
// it.
func (m *Monitor) HandleHeartbeat(now bulrushchute.Millis, from bulrushchute.InstanceID, heartbeat bulrushchute.Heartbeat) bulrushchute.HeartbeatAck {
	ack := bulrushchute.HeartbeatAck{Sequence: heartbeat.Sequence, SentAt: heartbeat.SentAt}
	if !heartbeat.KeyLease {
		return ack
	}
	if m.Promised(from, heartbeat.KeyEpoch) {
		return ack
	}
	m.recordHeartbeat(now, from)
	ack.KeyLease = true
	return ack
}

// HandlePromiseAsk returns the answer to a promise request. It refuses the promise
// while the home still renews its lease with this monitor, so that a node with a
// wrong view cannot end a lease that works. It gives the promise anyway if
// homeDead is set, which means that this node's membership considers the home
// dead. Once given, a promise is repeated to every successor that asks. It covers
// the requested epoch and all earlier ones.
func (m *Monitor) HandlePromiseAsk(now bulrushchute.Millis, ask bulrushchute.PromiseAsk, homeDead bool) bulrushchute.Promise {
	promise := bulrushchute.Promise{Home: ask.Home, Epoch: ask.Epoch}
	promise.Granted = m.Promised(ask.Home, ask.Epoch) || homeDead || !m.leaseActive(now, ask.Home)
	if promise.Granted && !m.Promised(ask.Home, ask.Epoch) {
		m.promisedEpoch[ask.Home] = ask.Epoch
		delete(m.lastHeartbeat, ask.Home)
	}
	return promise
}

// Promised reports whether the monitor promised not to extend the home's lease
// in the given epoch.
func (m *Monitor) Promised(home bulrushchute.InstanceID, epoch uint64) bool {
	last, promised := m.promisedEpoch[home]
	return promised && epoch <= last
}

func (m *Monitor) recordHeartbeat(now bulrushchute.Millis, home bulrushchute.InstanceID) {
	m.lastHeartbeat[home] = now
	if len(m.lastHeartbeat) < m.pruneSize {
		return
	}
	for id := range m.lastHeartbeat {
		if !m.leaseActive(now, id) {
			delete(m.lastHeartbeat, id)
		}
	}
	m.pruneSize = max(minPruneSize, 2*len(m.lastHeartbeat))
}

func (m *Monitor) leaseActive(now bulrushchute.Millis, home bulrushchute.InstanceID) bool {
	at, found := m.lastHeartbeat[home]
	return found && now-at < m.settings.Lease
}
