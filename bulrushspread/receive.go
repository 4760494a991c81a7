package bulrushspread

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// Times after which a want is sent again, to another announcer if there is one.
const (
	retryCheck    = 250 * bulrushchute.Millisecond
	retryAfter    = bulrushchute.Second
	maxAttempts   = 4
	maxAnnouncers = 4
	// maxWants bounds what a peer that announces made-up names can cost.
	maxWants = 65_536
)

// want is a record that was asked for and has not arrived.
type want struct {
	key        bulrushchute.RecordKey
	version    bulrushchute.RecordVersion
	announcers []bulrushchute.Address
	attempts   int
	retryAt    bulrushchute.Millis
}

// Receive handles have, want, records and digest messages and ignores others.
func (t *Table) Receive(now bulrushchute.Millis, from bulrushchute.Address, message bulrushchute.Control) []Action {
	if message.Have == nil && message.Want == nil && message.Records == nil && message.Digest == nil {
		return nil
	}
	if !validMessage(message) {
		t.stats.RefusedInput++
		return nil
	}
	p := t.peerAt(now, from)
	if p == nil {
		t.stats.RefusedInput++
		return nil
	}
	t.handle(now, p, message)
	return t.flushReplies(now)
}

func (t *Table) handle(now bulrushchute.Millis, p *peer, message bulrushchute.Control) {
	switch {
	case message.Have != nil:
		for i := range message.Have.Versions {
			t.receiveHave(now, p, &message.Have.Versions[i])
		}
	case message.Want != nil:
		for _, key := range message.Want.Keys {
			t.receiveWant(p, key)
		}
	case message.Records != nil:
		for i := range message.Records.Records {
			t.receiveRecord(now, p, &message.Records.Records[i])
		}
	case message.Digest != nil:
		t.receiveDigest(now, p, message.Digest)
	}
}

func (t *Table) receiveHave(now bulrushchute.Millis, p *peer, have *bulrushchute.VersionedKey) {
	if !validKey(have.Key) || !validVersion(now, have.Key, have.Version) {
		t.stats.RefusedInput++
		return
	}
	e, ok := t.entries[have.Key]
	if ok && t.answerKnown(p, e, have.Version) {
		return
	}
	w, ok := t.wants[have.Key]
	if ok && !w.version.Less(have.Version) {
		w.addAnnouncer(p.neighbour.Address)
		return
	}
	t.ask(now, p, have)
}

// answerKnown handles an announced version that is not newer than this node's
// own. It returns false if the announced version is newer.
func (t *Table) answerKnown(p *peer, e *entry, version bulrushchute.RecordVersion) bool {
	if e.record.Version.Less(version) {
		return false
	}
	class := classOf(e)
	if version.Less(e.record.Version) {
		if e.record.Key.Topic != bulrushchute.TopicBeat {
			p.announce[class].push(e)
		}
		return true
	}
	p.announce[class].remove(e)
	return true
}

func (t *Table) ask(now bulrushchute.Millis, p *peer, have *bulrushchute.VersionedKey) {
	w, ok := t.wants[have.Key]
	if !ok {
		if len(t.wants) >= maxWants {
			t.stats.DroppedQueued++
			return
		}
		w = &want{key: have.Key}
		t.wants[have.Key] = w
		t.wantOrder = append(t.wantOrder, w)
	}
	w.version = have.Version
	w.announcers = append(w.announcers[:0], p.neighbour.Address)
	w.attempts = 1
	w.retryAt = now + retryAfter
	p.askFor(have.Key)
}

func (w *want) addAnnouncer(address bulrushchute.Address) {
	if len(w.announcers) < maxAnnouncers && !slices.Contains(w.announcers, address) {
		w.announcers = append(w.announcers, address)
	}
}

func (p *peer) askFor(key bulrushchute.RecordKey) {
	class := classOfKey(key)
	if len(p.want[class]) >= maxQueued {
		return
	}
	p.want[class] = append(p.want[class], key)
}

func (t *Table) receiveWant(p *peer, key bulrushchute.RecordKey) {
	if !validKey(key) {
		t.stats.RefusedInput++
		return
	}
	e, ok := t.entries[key]
	if !ok {
		return
	}
	if !p.deliver[classOf(e)].push(e) {
		t.stats.DroppedQueued++
	}
}

func (t *Table) receiveRecord(now bulrushchute.Millis, p *peer, record *bulrushchute.Record) {
	if !validRecord(now, record) {
		t.stats.RefusedInput++
		return
	}
	e, ok := t.entries[record.Key]
	if ok && t.answerKnown(p, e, record.Version) {
		return
	}
	if t.config.Accept != nil && !t.config.Accept(now, *record) {
		t.settleWant(*record)
		return
	}
	t.store(now, *record, p)
}

// settleWant ends the want that a record answers.
func (t *Table) settleWant(record bulrushchute.Record) {
	w, ok := t.wants[record.Key]
	if ok && !record.Version.Less(w.version) {
		delete(t.wants, record.Key)
	}
}

// Outstanding returns the number of records that were asked for and have not arrived.
func (t *Table) Outstanding() int {
	return len(t.wants)
}

// retryWants asks another announcer for what did not arrive in time.
func (t *Table) retryWants(now bulrushchute.Millis) {
	if now < t.nextRetry {
		return
	}
	t.nextRetry = now + retryCheck
	t.wantOrder = slices.DeleteFunc(t.wantOrder, func(w *want) bool {
		if t.wants[w.key] != w {
			return true
		}
		givenUp := now >= w.retryAt && !t.retry(now, w)
		if givenUp {
			delete(t.wants, w.key)
		}
		return givenUp
	})
}

// retry returns false when a want is given up. A digest finds the record again.
func (t *Table) retry(now bulrushchute.Millis, w *want) bool {
	if w.attempts >= maxAttempts {
		return false
	}
	address := w.announcers[w.attempts%len(w.announcers)]
	w.attempts++
	w.retryAt = now + retryAfter<<w.attempts
	p := t.peerAt(now, address)
	if p == nil {
		return true
	}
	p.askFor(w.key)
	t.stats.RetriedWants++
	return true
}
