package bulrushnode

import (
	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushattempt"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushquarantine"
)

// assessAtEntry returns what this node knows, as entry node, of the content of an
// attempt.
func (q *quarantine) assessAtEntry(now bulrushchute.Millis, attempt bulrushchute.Attempt) (bulrushquarantine.Content, bulrushquarantine.Assessment) {
	if !q.active.Load() {
		return bulrushquarantine.Content{}, bulrushquarantine.Assessment{}
	}
	content := bulrushquarantine.ContentOf(attempt)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return content, q.ledger.AssessAtEntry(now, content)
}

// observeAtEntry marks the content of an attempt as suspect if the reply says so,
// until the reports of the crash arrive. An answer removes the mark.
func (q *quarantine) observeAtEntry(attempt bulrushchute.Attempt, result attemptResult) {
	suspect := result.end.Reason == bulrushchute.ReasonServerEnded || result.end.Reason == bulrushchute.ReasonOnTrial
	if !suspect && (result.answer == nil || !q.active.Load()) {
		return
	}
	content := bulrushquarantine.ContentOf(attempt)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if suspect {
		q.ledger.Mark(q.clock.Now(), content)
		q.active.Store(true)
		return
	}
	q.ledger.Unmark(content)
}

// down reports whether the backend server of an instance is known to have ended.
func (q *quarantine) down(instance bulrushchute.Instance) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.ledger.Down(instance.ID, instance.StartedAt)
}

// placeSuspect chooses the instance at which a suspect request is tried. It is of the
// version that a move in progress replaces, so that the trial says nothing about the
// new one.
func (ac *activeCall) placeSuspect(now bulrushchute.Millis, view bulrushboard.View, content bulrushquarantine.Content, assessment bulrushquarantine.Assessment, exclude []bulrushchute.InstanceID) (bulrushchute.Instance, bool) {
	service := ac.call.info.Service
	entry, _ := view.Catalogue.Service(service)
	excluded := make(map[bulrushchute.InstanceID]bool, len(exclude))
	for _, id := range exclude {
		excluded[id] = true
	}
	var servers []bulrushquarantine.Server
	for _, member := range view.Members(service).Instances {
		if !isTrialVersion(entry, member.Version) || member.State == bulrushchute.StateLeaving {
			continue
		}
		weight := view.DataCentres.Weights[member.DataCentre]
		up := member.State.TakesWork() && !weight.Withdrawn && !weight.Unreachable && !excluded[member.ID] &&
			assessment.At(member.Version) == bulrushquarantine.Suspect && !ac.runner.quarantine.down(member)
		servers = append(servers, bulrushquarantine.Server{Instance: member.ID, DataCentre: member.DataCentre, Up: up})
	}
	chosen, found := bulrushquarantine.Place(now, content, assessment, servers)
	if !found {
		return bulrushchute.Instance{}, false
	}
	return view.Member(service, chosen)
}

// isTrialVersion reports whether suspect requests may run on servers of a version.
func isTrialVersion(entry bulrushcatalogue.ServiceEntry, version bulrushchute.Version) bool {
	switch {
	case entry.Move == nil:
		return true
	case entry.Move.Outcome == bulrushcatalogue.MoveCompleted:
		return version == entry.Move.ToVersion
	default:
		return version != entry.Move.ToVersion
	}
}

// pickSuspect is pick for a request whose content is not free.
func (ac *activeCall) pickSuspect(now bulrushchute.Millis, view bulrushboard.View, action bulrushattempt.Action, content bulrushquarantine.Content, assessment bulrushquarantine.Assessment) (bulrushchute.Instance, bool) {
	ac.serviceState.mutex.Lock()
	defer ac.serviceState.mutex.Unlock()
	ac.serviceState.refresh(now, view, ac.call.info.Service)
	instance, found := ac.placeSuspect(now, view, content, assessment, action.Exclude)
	if !found {
		refusal := refusalOfContent(now, assessment)
		ac.machine.Refuse(action.Attempt, refusal.Reason, refusal.RetryAfter)
		return instance, false
	}
	if !ac.machine.Sent(now, action.Attempt, instance.ID) {
		return instance, false
	}
	ac.serviceState.router.Started(now, instance.ID)
	return instance, true
}
