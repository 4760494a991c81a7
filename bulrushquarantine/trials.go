package bulrushquarantine

import (
	"slices"

	"bulrushchute.example/bulrushchute"
)

// maxWaitingTrials bounds the suspect requests that wait for a trial at one server.
const maxWaitingTrials = 64

// Entry tells what becomes of a request at the node beside its backend server.
type Entry uint8

// Entries of requests.
const (
	// Enter lets a request run like any other, EnterTrial as the only suspect one.
	Enter Entry = iota
	EnterTrial
	// EnterLater means that another suspect request is on trial.
	EnterLater
	// EnterNever means that the request is refused.
	EnterNever
)

// Trials lets suspect requests run one at a time on a backend server, so that a
// crash during a trial has one suspect.
type Trials struct {
	current *bulrushchute.AttemptID
	waiting []bulrushchute.AttemptID
}

// Enter decides on a request. It is called again when a trial ends and when what is
// known of the request changes, for those that wait in the order of arrival. With
// placed set, the sender has chosen this server for the trial.
func (t *Trials) Enter(id bulrushchute.AttemptID, verdict Verdict, placed bool) Entry {
	switch {
	case verdict == Free:
		t.leaveQueue(id)
		return Enter
	case verdict == Quarantined || !placed:
		t.leaveQueue(id)
		return EnterNever
	case t.current == nil && (len(t.waiting) == 0 || t.waiting[0] == id):
		t.leaveQueue(id)
		t.current = &id
		return EnterTrial
	case slices.Contains(t.waiting, id):
		return EnterLater
	case len(t.waiting) >= maxWaitingTrials:
		return EnterNever
	}
	t.waiting = append(t.waiting, id)
	return EnterLater
}

// Leave ends a trial, or the wait for one.
func (t *Trials) Leave(id bulrushchute.AttemptID) {
	t.leaveQueue(id)
	if t.current != nil && *t.current == id {
		t.current = nil
	}
}

func (t *Trials) leaveQueue(id bulrushchute.AttemptID) {
	t.waiting = slices.DeleteFunc(t.waiting, func(other bulrushchute.AttemptID) bool { return other == id })
}

// Waiting returns the requests that wait for a trial, in the order of arrival.
func (t *Trials) Waiting() []bulrushchute.AttemptID {
	return slices.Clone(t.waiting)
}
