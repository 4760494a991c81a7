package bulrushnode

import (
	"maps"

	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmove"
)

// The methods of moves in this file limit and observe what the backend server receives
// during a move, see versionTrial, and report it to the holder. dispatchStarted,
// dispatchEnded, takeGrant and returnGrant run on the data path, the others in
// control's goroutine.

func (m *moves) dispatchStarted(attempt bulrushchute.Attempt, version bulrushchute.Version) {
	m.record(attempt.Service, func(recorder *bulrushmove.Recorder) {
		recorder.Started(m.clock.Now(), attempt.ID, version, attempt.Route)
	})
}

func (m *moves) dispatchEnded(attempt bulrushchute.Attempt, sample *bulrushmove.Sample) {
	m.record(attempt.Service, func(recorder *bulrushmove.Recorder) {
		recorder.Ended(attempt.ID)
		if sample != nil {
			recorder.Observe(*sample)
		}
	})
}

// record calls an update with the recorder of the service's move, if there is one.
func (m *moves) record(service bulrushchute.Service, update func(recorder *bulrushmove.Recorder)) {
	move := m.moveOf(service)
	if move == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.recorder == nil || m.recorderGeneration != move.Generation {
		m.recorder = bulrushmove.NewRecorder(service, *move)
		m.recorderGeneration = move.Generation
	}
	update(m.recorder)
}

// takeGrant counts a request for this node's backend server. It returns false if
// the server's version is under trial in an ordered move and has received all
// requests that it may.
func (m *moves) takeGrant(service bulrushchute.Service, version bulrushchute.Version) (uint64, bool) {
	view := m.board.Read()
	entry, _ := view.Catalogue.Service(service)
	move := entry.Move
	if move == nil || move.WithinMs == 0 || version != move.ToVersion || move.Outcome == bulrushcatalogue.MoveCompleted {
		return 0, true
	}
	granted, limited := view.Shares.GrantOf(service, move.Generation, m.self.ID)
	if !limited {
		return 0, true
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return move.Generation, m.quota.Take(move.Generation, granted)
}

// returnGrant uncounts a request that was not sent to the backend server.
func (m *moves) returnGrant(generation uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.quota.Return(generation)
}

// sendEvidence sends this node's evidence to the holder of the move, and all of it
// to a new holder.
func (m *moves) sendEvidence() {
	holder, reports := m.takeReports()
	for _, report := range reports {
		if holder.ID == m.self.ID {
			m.onEvidence(m.self.ID, report)
			continue
		}
		m.control.transport.Send(holder.Address, bulrushchute.Control{From: m.self.ID, Evidence: &report})
	}
}

// takeReports returns the reports to send and their receiver. There are none while no
// holder is known.
func (m *moves) takeReports() (moveHolder, []bulrushchute.Evidence) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.recorder == nil {
		return moveHolder{}, nil
	}
	holder, known := m.holders[shardName(shardOf(m.recorder.Service()))]
	if !known {
		return moveHolder{}, nil
	}
	if m.reportedTo == holder.ID && m.reportedGeneration == m.recorderGeneration {
		return holder, m.recorder.TakeReports(m.clock.Now())
	}
	m.reportedTo, m.reportedGeneration = holder.ID, m.recorderGeneration
	return holder, m.recorder.TakeAllReports(m.clock.Now())
}

// recordProgress keeps what the holder knows of a move for the metrics, and logs
// it when that has changed.
func (m *moves) recordProgress(service bulrushchute.Service, controller *bulrushmove.Controller) {
	progress, judged := controller.Progress()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	previous := m.progress[service]
	if !judged {
		delete(m.progress, service)
		return
	}
	m.progress[service] = progress
	if progress == previous {
		return
	}
	klog.InfoS("move judged", "service", service, "generation", progress.Generation, "epoch", progress.Epoch,
		"share_bp", progress.Share, "requests", progress.Requests, "new_requests", progress.NewRequests,
		"new_failures", progress.NewFailures, "finding", progress.Finding, "suspicious", progress.Suspicious,
		"rollback_reason", progress.RollbackReason)
}

// metrics returns what this node last knew of each move that it decides on.
func (m *moves) metrics() map[bulrushchute.Service]bulrushmove.Progress {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return maps.Clone(m.progress)
}
