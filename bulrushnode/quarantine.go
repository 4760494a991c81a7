package bulrushnode

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushquarantine"
)

const (
	// retryAfterOnTrial is the Retry-After of a suspect request that cannot be tried
	// now. Most contents are cleared within this time.
	retryAfterOnTrial = 500 * bulrushchute.Millisecond
	// compactInterval is the interval at which a node removes what has expired from
	// its report of crashes.
	compactInterval = bulrushchute.Second
)

// quarantine is the node's part in recognising requests that crash backend servers,
// as entry node and beside its own server.
type quarantine struct {
	clock bulrushchute.Clock
	// active is false while all contents are free, so that requests need no hash.
	active atomic.Bool
	// publish makes the changed report of this node known to others. It waits until
	// the report is on its way.
	publish func()

	mutex  sync.Mutex
	ledger *bulrushquarantine.Ledger
	runs   *bulrushquarantine.Runs
	// answers are the recent ones of the backend server beside this node.
	answers bulrushquarantine.Answers
	trials  *bulrushquarantine.Trials
	// version is that of the backend server beside this node.
	version bulrushchute.Version
	// onTrial is the content that runs as a trial, nil if none does.
	onTrial *bulrushquarantine.Content
	// changed is closed, and replaced, when a waiting request must be decided on
	// again.
	changed chan struct{}
	// reportChanged is set when the own report has changes that are not published, and
	// crashed when one of them is a crash.
	reportChanged bool
	crashed       bool
	compactedAt   bulrushchute.Millis
	// durable receives the part of the own report that is kept in the store, when it
	// has changed. It holds the latest one.
	durable     chan bulrushquarantine.Report
	lastDurable bulrushquarantine.Report
}

func newQuarantine(clock bulrushchute.Clock, id bulrushchute.InstanceID) *quarantine {
	return &quarantine{
		clock:   clock,
		publish: func() {},
		ledger:  bulrushquarantine.NewLedger(id),
		runs:    bulrushquarantine.NewRuns(),
		trials:  &bulrushquarantine.Trials{},
		changed: make(chan struct{}),
		durable: make(chan bulrushquarantine.Report, 1),
	}
}

// ledgerChanged updates what depends on the ledger. The mutex must be held.
func (q *quarantine) ledgerChanged() {
	q.active.Store(!q.ledger.Empty())
	close(q.changed)
	q.changed = make(chan struct{})
}

// trialPermit is held by an attempt from its arrival at the node beside its server.
type trialPermit struct {
	// trial is set if the attempt is the suspect one that may run now.
	trial bool
	// content is that of the attempt, nil if all contents were free at its arrival.
	content *bulrushquarantine.Content
}

// contentOf returns the content of the attempt that holds the permit.
func (tp trialPermit) contentOf(attempt bulrushchute.Attempt) bulrushquarantine.Content {
	if tp.content != nil {
		return *tp.content
	}
	return bulrushquarantine.ContentOf(attempt)
}

// enter decides whether an attempt may go on to the backend server, and waits until
// it may. A permit for a trial must be returned with leave.
func (q *quarantine) enter(ctx context.Context, attempt bulrushchute.Attempt, deadline bulrushchute.Millis) (trialPermit, *bulrushchute.Refusal) {
	if !q.active.Load() {
		return trialPermit{}, nil
	}
	content := bulrushquarantine.ContentOf(attempt)
	timer := time.NewTimer((deadline - q.clock.Now()).Duration())
	defer timer.Stop()
	for {
		entry, assessment, changed := q.tryEnter(attempt, content)
		switch entry {
		case bulrushquarantine.Enter, bulrushquarantine.EnterTrial:
			return trialPermit{trial: entry == bulrushquarantine.EnterTrial, content: &content}, nil
		case bulrushquarantine.EnterNever:
			return trialPermit{}, refusalOfContent(q.clock.Now(), assessment)
		}
		reason := bulrushchute.ReasonCancelled
		select {
		case <-changed:
			continue
		case <-timer.C:
			reason = bulrushchute.ReasonDeadline
		case <-ctx.Done():
		}
		q.leave(attempt.ID, trialPermit{})
		return trialPermit{}, &bulrushchute.Refusal{Reason: reason}
	}
}

func (q *quarantine) tryEnter(attempt bulrushchute.Attempt, content bulrushquarantine.Content) (bulrushquarantine.Entry, bulrushquarantine.Assessment, <-chan struct{}) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	assessment := q.ledger.Assess(q.clock.Now(), content)
	entry := q.trials.Enter(attempt.ID, assessment.At(q.version), attempt.Trial)
	if entry == bulrushquarantine.EnterTrial {
		q.onTrial = &content
		contentOnTrial.Log("content", content, "request", attempt.RequestID, "crashes", assessment.Crashes)
	}
	return entry, assessment, q.changed
}

// refusalOfContent returns the refusal of a request that must not run now.
func refusalOfContent(now bulrushchute.Millis, assessment bulrushquarantine.Assessment) *bulrushchute.Refusal {
	if assessment.Verdict == bulrushquarantine.Quarantined {
		return &bulrushchute.Refusal{Reason: bulrushchute.ReasonQuarantined, RetryAfter: max(1, assessment.Until-now)}
	}
	return &bulrushchute.Refusal{Reason: bulrushchute.ReasonOnTrial, RetryAfter: retryAfterOnTrial}
}

// setServer sets the service and the version of the backend server beside this node.
func (q *quarantine) setServer(service bulrushchute.Service, version bulrushchute.Version) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.version = version
	q.ledger.SetService(service)
}

// leave ends the trial of an attempt, or its wait for one.
func (q *quarantine) leave(id bulrushchute.AttemptID, permit trialPermit) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.trials.Leave(id)
	if permit.trial {
		q.onTrial = nil
	}
	q.ledgerChanged()
}

// start records that an attempt is about to be sent to the backend server. It
// refuses one of which more is known now than when it entered.
func (q *quarantine) start(attempt bulrushchute.Attempt, permit trialPermit) *bulrushchute.Refusal {
	now := q.clock.Now()
	active := q.active.Load()
	var content bulrushquarantine.Content
	if active {
		content = permit.contentOf(attempt)
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if active {
		assessment := q.ledger.Assess(now, content)
		verdict := assessment.At(q.version)
		if verdict == bulrushquarantine.Quarantined || verdict == bulrushquarantine.Suspect && !permit.trial {
			return refusalOfContent(now, assessment)
		}
	}
	q.runs.Start(now, attempt)
	return nil
}

// ended records the end of an attempt on the backend server.
func (q *quarantine) ended(attempt bulrushchute.Attempt, permit trialPermit, result dispatchResult) {
	now := q.clock.Now()
	answered := result.answer != nil
	clears := answered && q.active.Load()
	var content bulrushquarantine.Content
	if clears {
		content = permit.contentOf(attempt)
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.runs.End(now, attempt.ID, answered || !result.mayHaveRun)
	if answered {
		q.answers.Record(now, attempt)
	}
	if clears && q.ledger.RecordAnswer(now, content) {
		q.reportChanged = true
		q.ledgerChanged()
	}
}

// recordEnd records that the backend server has ended, and returns the contents of
// the requests that may have caused it. With announced set, the server had said that
// it leaves.
func (q *quarantine) recordEnd(startedAt bulrushchute.Millis, announced bool) ([]bulrushquarantine.Content, *bulrushquarantine.Content) {
	now := q.clock.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	contents := q.runs.TakeContents(now)
	answered := q.answers.Contents(now)
	contents = slices.DeleteFunc(contents, func(content bulrushquarantine.Content) bool { return answered[content] })
	if len(contents) == 0 && announced {
		return nil, nil
	}
	q.reportChanged = true
	if len(contents) == 0 {
		q.ledger.RecordEnd(now)
		return nil, nil
	}
	q.ledger.RecordCrash(bulrushquarantine.Crash{ID: newCrashID(), At: now, StartedAt: startedAt, Version: q.version, Contents: contents, Trial: q.onTrial})
	q.crashed = true
	q.ledgerChanged()
	return contents, q.onTrial
}

func newCrashID() bulrushquarantine.CrashID {
	var random [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(random[:])
	return bulrushquarantine.CrashID(binary.LittleEndian.Uint64(random[:]))
}

// apply processes the report of another node. It returns false if there is no room
// for it now.
func (q *quarantine) apply(now bulrushchute.Millis, node bulrushchute.InstanceID, report bulrushquarantine.Report) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	kept := q.ledger.Apply(node, report)
	q.clearAnswered(now, report)
	q.reportChanged = q.ledger.Compact(now) || q.reportChanged
	q.ledgerChanged()
	return kept
}

// clearAnswered clears contents of a report that this node's server has answered
// lately. The mutex must be held.
func (q *quarantine) clearAnswered(now bulrushchute.Millis, report bulrushquarantine.Report) {
	if len(report.Crashes) == 0 {
		return
	}
	for content := range q.answers.Contents(now) {
		if report.Names(content) && q.ledger.RecordAnswer(now, content) {
			q.reportChanged = true
		}
	}
}

// takeReport returns the own report, whether it has changed since the last call, and
// whether that is because of a crash.
func (q *quarantine) takeReport(now bulrushchute.Millis) (report bulrushquarantine.Report, changed, crashed bool) {
	if !q.active.Load() && !q.hasChangedReport() {
		return report, false, false
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if now >= q.compactedAt+compactInterval {
		q.compactedAt = now
		q.reportChanged = q.ledger.Compact(now) || q.reportChanged
		q.ledgerChanged()
	}
	changed, crashed = q.reportChanged, q.crashed
	q.reportChanged, q.crashed = false, false
	if changed || now == q.compactedAt {
		q.updateDurable(now)
	}
	return q.ledger.Own(), changed, crashed
}

// updateDurable passes a changed durable part of the own report to the writer, in
// place of an earlier one that the writer has not taken. The mutex must be held.
func (q *quarantine) updateDurable(now bulrushchute.Millis) {
	durable := q.ledger.Durable(now)
	if durable.Equal(q.lastDurable) {
		return
	}
	q.lastDurable = durable
	select {
	case <-q.durable:
	default:
	}
	q.durable <- durable
}

func (q *quarantine) hasChangedReport() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.reportChanged
}

// QuarantineStatus states how many contents are not free, and how often the backend
// server beside the node has ended.
type QuarantineStatus struct {
	bulrushquarantine.Counts
	ServerEndStatus
}

func (n *Node) quarantineStatus() QuarantineStatus {
	n.quarantine.mutex.Lock()
	counts := n.quarantine.ledger.Counts(n.clock.Now())
	n.quarantine.mutex.Unlock()
	return QuarantineStatus{Counts: counts, ServerEndStatus: n.admission.serverEndStatus()}
}
