package bulrushkey

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// lease is the home's view of its heartbeats and their acknowledgements. An
// acknowledgement counts from the time at which its heartbeat was sent: the
// monitor may have promised the lease away at any time after that.
type lease struct {
	settings Settings
	// epoch is the home's epoch that heartbeats carry.
	epoch    uint64
	sequence uint64
	nextBeat bulrushchute.Millis
	// sent holds the send times of heartbeats that may still be acknowledged.
	sent map[uint64]bulrushchute.Millis
	// acked and refused hold, for each monitor, the send time of the newest
	// heartbeat that extended the lease and that did not.
	acked   map[bulrushchute.InstanceID]bulrushchute.Millis
	refused map[bulrushchute.InstanceID]bulrushchute.Millis
	// missed counts the heartbeats to each target since the last extension.
	missed map[bulrushchute.InstanceID]int
}

func newLease(settings Settings) *lease {
	return &lease{
		settings: settings,
		sent:     make(map[uint64]bulrushchute.Millis),
		acked:    make(map[bulrushchute.InstanceID]bulrushchute.Millis),
		refused:  make(map[bulrushchute.InstanceID]bulrushchute.Millis),
		missed:   make(map[bulrushchute.InstanceID]int),
	}
}

// setEpoch starts over with monitors that refused an earlier epoch.
func (l *lease) setEpoch(epoch uint64) {
	if epoch == l.epoch {
		return
	}
	l.epoch = epoch
	clear(l.refused)
	clear(l.missed)
}

// beat returns the heartbeats that are due.
func (l *lease) beat(now bulrushchute.Millis, targets []LeaseMonitor) []Action {
	if now < l.nextBeat || len(targets) == 0 {
		return nil
	}
	l.nextBeat = now + l.settings.Heartbeat
	l.forget(now, targets)
	l.sequence++
	l.sent[l.sequence] = now
	actions := make([]Action, 0, len(targets))
	for _, target := range targets {
		heartbeat := &bulrushchute.Heartbeat{Sequence: l.sequence, SentAt: now, KeyLease: true, KeyEpoch: l.epoch}
		actions = append(actions, Action{To: target.ID, Heartbeat: heartbeat})
		l.missed[target.ID]++
	}
	return actions
}

// forget drops what no longer matters: heartbeats whose acknowledgement would
// extend nothing, and monitors that neither answer nor get heartbeats.
func (l *lease) forget(now bulrushchute.Millis, targets []LeaseMonitor) {
	for id := range l.missed {
		if !slices.ContainsFunc(targets, func(m LeaseMonitor) bool { return m.ID == id }) {
			delete(l.missed, id)
			delete(l.acked, id)
			delete(l.refused, id)
		}
	}
	for sequence, sentAt := range l.sent {
		if now-sentAt >= l.settings.Lease {
			delete(l.sent, sequence)
		}
	}
}

// ack takes an acknowledgement. One that matches no heartbeat of this lease
// belongs to another user of heartbeats and is ignored.
func (l *lease) ack(from bulrushchute.InstanceID, ack bulrushchute.HeartbeatAck) {
	sentAt, known := l.sent[ack.Sequence]
	if !known || sentAt != ack.SentAt {
		return
	}
	if !ack.KeyLease {
		l.refused[from] = max(l.refused[from], sentAt)
		return
	}
	l.acked[from] = max(l.acked[from], sentAt)
	l.missed[from] = 0
}

// held reports whether a majority of the monitors extended the lease to now.
// A home without monitors cannot be taken over but on the operator's word, so
// it needs no lease.
func (l *lease) held(now bulrushchute.Millis, monitors []LeaseMonitor) bool {
	if len(monitors) == 0 {
		return true
	}
	fresh := 0
	for _, monitor := range monitors {
		if l.extends(now, monitor.ID) {
			fresh++
		}
	}
	return fresh >= majority(len(monitors))
}

// extends reports whether the monitor acknowledged a heartbeat sent within the lease.
func (l *lease) extends(now bulrushchute.Millis, monitor bulrushchute.InstanceID) bool {
	at, acked := l.acked[monitor]
	return acked && now-at < l.settings.Lease
}

// lockedOut reports whether so many monitors refuse that the lease cannot be
// renewed with this list of monitors.
func (l *lease) lockedOut(monitors []LeaseMonitor) bool {
	refusing := 0
	for _, monitor := range monitors {
		if at, refused := l.refused[monitor.ID]; refused && at > l.acked[monitor.ID] {
			refusing++
		}
	}
	return len(monitors) > 0 && len(monitors)-refusing < majority(len(monitors))
}

func majority(count int) int {
	return count/2 + 1
}
