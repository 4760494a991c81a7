package bulrushkey

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// lease tracks a home's heartbeats and their acknowledgements. An
// acknowledgement extends the lease from the send time of its heartbeat, because
// the monitor may have given a promise at any later time.
type lease struct {
	settings Settings
	// epoch is the home's epoch, which heartbeats carry.
	epoch         uint64
	sequence      uint64
	nextHeartbeat bulrushchute.Millis
	// sentAt holds the send times of heartbeats that may still be acknowledged.
	sentAt map[uint64]bulrushchute.Millis
	// lastAck and lastRefusal hold, per monitor, the send time of the newest
	// heartbeat that extended the lease and of the newest that did not.
	lastAck     map[bulrushchute.InstanceID]bulrushchute.Millis
	lastRefusal map[bulrushchute.InstanceID]bulrushchute.Millis
	// missed counts the heartbeats sent to each target since it last extended the
	// lease.
	missed map[bulrushchute.InstanceID]int
}

func newLease(settings Settings) *lease {
	return &lease{
		settings:    settings,
		sentAt:      make(map[uint64]bulrushchute.Millis),
		lastAck:     make(map[bulrushchute.InstanceID]bulrushchute.Millis),
		lastRefusal: make(map[bulrushchute.InstanceID]bulrushchute.Millis),
		missed:      make(map[bulrushchute.InstanceID]int),
	}
}

// setEpoch sets the home's epoch. Refusals and missed heartbeats of an earlier
// epoch no longer count.
func (l *lease) setEpoch(epoch uint64) {
	if epoch == l.epoch {
		return
	}
	l.epoch = epoch
	clear(l.lastRefusal)
	clear(l.missed)
}

// heartbeats returns the heartbeats that are due.
func (l *lease) heartbeats(now bulrushchute.Millis, targets []LeaseMonitor) []Action {
	if now < l.nextHeartbeat || len(targets) == 0 {
		return nil
	}
	l.nextHeartbeat = now + l.settings.Heartbeat
	l.prune(now, targets)
	l.sequence++
	l.sentAt[l.sequence] = now
	actions := make([]Action, 0, len(targets))
	for _, target := range targets {
		heartbeat := &bulrushchute.Heartbeat{Sequence: l.sequence, SentAt: now, KeyLease: true, KeyEpoch: l.epoch}
		actions = append(actions, Action{To: target.ID, Heartbeat: heartbeat})
		l.missed[target.ID]++
	}
	return actions
}

// prune removes heartbeats whose acknowledgement could no longer extend the
// lease, and the state of monitors that are no longer targets.
func (l *lease) prune(now bulrushchute.Millis, targets []LeaseMonitor) {
	for id := range l.missed {
		if !slices.ContainsFunc(targets, func(m LeaseMonitor) bool { return m.ID == id }) {
			delete(l.missed, id)
			delete(l.lastAck, id)
			delete(l.lastRefusal, id)
		}
	}
	for sequence, sentAt := range l.sentAt {
		if now-sentAt >= l.settings.Lease {
			delete(l.sentAt, sequence)
		}
	}
}

// ack processes an acknowledgement. It ignores one that matches no heartbeat of
// this lease, because other parts of the node send heartbeats too.
func (l *lease) ack(from bulrushchute.InstanceID, ack bulrushchute.HeartbeatAck) {
	sentAt, known := l.sentAt[ack.Sequence]
	if !known || sentAt != ack.SentAt {
		return
	}
	if !ack.KeyLease {
		l.lastRefusal[from] = max(l.lastRefusal[from], sentAt)
		return
	}
	l.lastAck[from] = max(l.lastAck[from], sentAt)
	l.missed[from] = 0
}

// held reports whether a majority of the monitors extended the lease beyond now.
// A home without monitors needs no lease: it can be taken over only after an
// operator declares its data centre lost.
func (l *lease) held(now bulrushchute.Millis, monitors []LeaseMonitor) bool {
	if len(monitors) == 0 {
		return true
	}
	extended := 0
	for _, monitor := range monitors {
		if l.extendedBy(now, monitor.ID) {
			extended++
		}
	}
	return extended >= majority(len(monitors))
}

// extendedBy reports whether the monitor extended the lease with a heartbeat that
// was sent less than Settings.Lease ago.
func (l *lease) extendedBy(now bulrushchute.Millis, monitor bulrushchute.InstanceID) bool {
	at, acked := l.lastAck[monitor]
	return acked && now-at < l.settings.Lease
}

// unrenewable reports whether so many of the monitors refuse that no majority is
// left to renew the lease.
func (l *lease) unrenewable(monitors []LeaseMonitor) bool {
	refusing := 0
	for _, monitor := range monitors {
		if at, refused := l.lastRefusal[monitor.ID]; refused && at > l.lastAck[monitor.ID] {
			refusing++
		}
	}
	return len(monitors) > 0 && len(monitors)-refusing < majority(len(monitors))
}

func majority(count int) int {
	return count/2 + 1
}
