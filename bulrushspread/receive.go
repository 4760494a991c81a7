package bulrushspread

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// Retries of wants. Each retry goes to another announcer if there is one. The
// delay grows exponentially after the first retry.
const (
	retryCheckInterval = 250 * bulrushchute.Millisecond
	initialRetryDelay  = bulrushchute.Second
	// urgentRetryDelay replaces initialRetryDelay for urgent records. A change of the
	// catalogue must be in force 2 s after its acknowledgement, also if the first
	// announcer is gone. A table of 1,400 routes is on its way for 0.3 s at most.
	urgentRetryDelay = 500 * bulrushchute.Millisecond
	maxWantSends     = 4
	maxAnnouncers    = 4
	// maxWants limits the memory that a peer can use up by announcing records
	// that do not exist.
	maxWants = 65_536
)

// want is a request for a record that has not arrived. Its announcers are the
// peers that hold the version.
type want struct {
	key        bulrushchute.RecordKey
	version    bulrushchute.RecordVersion
	announcers []bulrushchute.Address
	sends      int
	retryAt    bulrushchute.Millis
	// since is when the first version that has not arrived was requested, and requests
	// the number of requests since then.
	since    bulrushchute.Millis
	requests int
}

// Receive processes have, want, records and digest messages and ignores others.
func (t *Table) Receive(now bulrushchute.Millis, from bulrushchute.Address, message bulrushchute.Control) []Action {
	if message.Have == nil && message.Want == nil && message.Records == nil && message.Digest == nil {
		return nil
	}
	if !validMessage(message) {
		t.stats.RefusedInput++
		return nil
	}
	p := t.getOrAddPeer(now, from)
	if p == nil {
		t.stats.RefusedInput++
		return nil
	}
	t.dispatch(now, p, message)
	return t.flushReplies(now)
}

func (t *Table) dispatch(now bulrushchute.Millis, p *peer, message bulrushchute.Control) {
	switch {
	case message.Have != nil:
		for i := range message.Have.Versions {
			t.handleHave(now, p, &message.Have.Versions[i])
		}
	case message.Want != nil:
		for _, key := range message.Want.Keys {
			t.handleWant(p, key)
		}
	case message.Records != nil:
		for i := range message.Records.Records {
			t.handleRecord(now, p, &message.Records.Records[i])
		}
	case message.Digest != nil:
		t.handleDigest(now, p, message.Digest)
	}
}

func (t *Table) handleHave(now bulrushchute.Millis, p *peer, have *bulrushchute.VersionedKey) {
	if !validKey(have.Key) || !validVersion(now, have.Key, have.Version) {
		t.stats.RefusedInput++
		return
	}
	e, ok := t.entries[have.Key]
	if ok && t.handleKnownVersion(p, e, have.Version) || t.obsolete(*have) {
		return
	}
	w, ok := t.pendingWants[have.Key]
	if ok && !w.version.Less(have.Version) {
		w.addAnnouncer(p.neighbour.Address)
		return
	}
	t.registerWant(now, p, have)
}

// handleKnownVersion handles a version from a peer that is not newer than the one
// in the table. If it is older, the version in the table is announced to the
// peer; if it is the same, a queued announcement to the peer is cancelled.
// handleKnownVersion returns false if the peer's version is newer.
func (t *Table) handleKnownVersion(p *peer, e *entry, version bulrushchute.RecordVersion) bool {
	if e.record.Version.Less(version) {
		return false
	}
	priority := priorityOf(e)
	if version.Less(e.record.Version) {
		if e.record.Key.Topic != bulrushchute.TopicBeat {
			p.announcements[priority].push(e)
		}
		return true
	}
	p.announcements[priority].remove(e)
	return true
}

func (t *Table) registerWant(now bulrushchute.Millis, p *peer, have *bulrushchute.VersionedKey) {
	w, ok := t.pendingWants[have.Key]
	if !ok {
		if len(t.pendingWants) >= maxWants {
			t.stats.DroppedQueued++
			return
		}
		w = &want{key: have.Key, since: now}
		t.pendingWants[have.Key] = w
		t.wantOrder = append(t.wantOrder, w)
	}
	w.version = have.Version
	w.announcers = append(w.announcers[:0], p.neighbour.Address)
	w.sends = 1
	w.requests++
	w.retryAt = now + w.firstRetryDelay()
	p.queueWant(have.Key)
}

func (w *want) firstRetryDelay() bulrushchute.Millis {
	if priorityOfKey(w.key) == priorityUrgent {
		return urgentRetryDelay
	}
	return initialRetryDelay
}

func (w *want) addAnnouncer(address bulrushchute.Address) {
	if len(w.announcers) < maxAnnouncers && !slices.Contains(w.announcers, address) {
		w.announcers = append(w.announcers, address)
	}
}

func (p *peer) queueWant(key bulrushchute.RecordKey) {
	priority := priorityOfKey(key)
	if len(p.wants[priority]) >= maxQueued {
		return
	}
	p.wants[priority] = append(p.wants[priority], key)
}

func (t *Table) handleWant(p *peer, key bulrushchute.RecordKey) {
	if !validKey(key) {
		t.stats.RefusedInput++
		return
	}
	e, ok := t.entries[key]
	if !ok {
		return
	}
	if !p.deliveries[priorityOf(e)].push(e) {
		t.stats.DroppedQueued++
	}
}

func (t *Table) handleRecord(now bulrushchute.Millis, p *peer, record *bulrushchute.Record) {
	if !validRecord(now, record) {
		t.stats.RefusedInput++
		return
	}
	e, ok := t.entries[record.Key]
	if ok && t.handleKnownVersion(p, e, record.Version) {
		return
	}
	if t.config.Accept != nil && !t.config.Accept(now, *record) {
		t.resolveWant(*record)
		return
	}
	t.store(now, *record, p)
}

// requestedFor describes the request that a record satisfies.
func (t *Table) requestedFor(now bulrushchute.Millis, record bulrushchute.Record) Requested {
	w, ok := t.pendingWants[record.Key]
	if !ok {
		return Requested{}
	}
	return Requested{For: max(0, now-w.since), Count: w.requests}
}

// resolveWant removes the want that a record satisfies.
func (t *Table) resolveWant(record bulrushchute.Record) {
	w, ok := t.pendingWants[record.Key]
	if ok && !record.Version.Less(w.version) {
		delete(t.pendingWants, record.Key)
	}
}

// PendingWants returns the number of records that were requested and have not
// arrived.
func (t *Table) PendingWants() int {
	return len(t.pendingWants)
}

// retryWants requests records that did not arrive in time from another
// announcer.
func (t *Table) retryWants(now bulrushchute.Millis) {
	if now < t.nextRetry {
		return
	}
	t.nextRetry = now + retryCheckInterval
	t.wantOrder = slices.DeleteFunc(t.wantOrder, func(w *want) bool {
		if t.pendingWants[w.key] != w {
			return true
		}
		abandoned := t.obsolete(bulrushchute.VersionedKey{Key: w.key, Version: w.version}) || now >= w.retryAt && !t.retryWant(now, w)
		if abandoned {
			delete(t.pendingWants, w.key)
		}
		return abandoned
	})
}

func (t *Table) obsolete(version bulrushchute.VersionedKey) bool {
	return t.config.Obsolete != nil && t.config.Obsolete(version)
}

// retryWant returns false if the want is abandoned. A digest comparison finds
// the record again.
func (t *Table) retryWant(now bulrushchute.Millis, w *want) bool {
	if w.sends >= maxWantSends {
		return false
	}
	address := w.announcers[w.sends%len(w.announcers)]
	w.sends++
	w.requests++
	w.retryAt = now + w.firstRetryDelay()<<w.sends
	p := t.getOrAddPeer(now, address)
	if p == nil {
		return true
	}
	p.queueWant(w.key)
	t.stats.RetriedWants++
	return true
}
