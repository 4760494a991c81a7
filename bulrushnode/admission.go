package bulrushnode

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushadmission"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmemory"
	"bulrushchute.example/bulrushchute/bulrushmove"
	"bulrushchute.example/bulrushchute/bulrushquarantine"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// unansweredSlotDelay is how long a request that ended without an answer keeps
// its slot, since the backend server may still be working on it.
const unansweredSlotDelay = 50 * time.Millisecond

// minConfirmationDelay is the time after the first announcement until a further one confirms
// the backend server. It is longer than a health check takes.
const minConfirmationDelay = 2 * bulrushchute.Millis(loadReadTimeout/time.Millisecond)

// maxAnnouncementDelay is that time if the server fails its health checks: an announcement
// from before the start of the node may be late by seconds.
const maxAnnouncementDelay = 6 * bulrushchute.Second

// formerProcessMargin is how long before the node its backend server must have started
// for a former process of the node to have sent it requests. A node and its server
// that start together are not exactly simultaneous.
const formerProcessMargin = bulrushchute.Second

// admission is the admission node's part of a Node. All requests to its backend
// server pass through it.
type admission struct {
	clock bulrushchute.Clock
	// createdAt is when this process started.
	createdAt bulrushchute.Millis
	clockSkew bulrushchute.Millis
	protocols protocols
	tasks     *bulrushtask.Group
	// context is cancelled at the end of the drain.
	context context.Context
	// memory limits the large answers of all clients.
	memory *bulrushmemory.Budget

	// mutex guards the fields below, except pollWake, trial and usage.
	mutex      sync.Mutex
	controller *bulrushadmission.Controller
	// waiters receive the releases of queued requests.
	waiters map[bulrushchute.AttemptID]chan bulrushadmission.Release
	// backend is the latest announcement. Its Service is empty until the first one.
	backend Announcement
	client  *backendClient
	// configured is set once the catalogue has provided the service's limits.
	configured bool
	// isolated is set while the node refuses requests because it reaches no peer.
	isolated bool
	// healthy is cleared after maxFailedProbes consecutive failed probes.
	healthy bool
	// draining is set permanently when the node leaves. An announcement of its
	// backend server does not reset it.
	draining bool
	// warmMs is warm_ms of the service's catalogue entry.
	warmMs bulrushchute.Millis
	// loadReading is closed when the current reading of the backend server's load
	// ends. It is nil when there is none.
	loadReading chan struct{}
	// initialReadNeeded is set when the load of a backend server that has just
	// started must be read.
	initialReadNeeded bool
	// unconfirmed is set from the first announcement after the start of this process
	// until the server's health check succeeds or a further announcement arrives that
	// confirms it. The first ones may have been delayed, and a former process may have
	// acknowledged that the server is leaving.
	unconfirmed bool
	// firstAnnouncedAt is when the first announcement arrived, and healthDenied is set if
	// the server has failed a health check since.
	firstAnnouncedAt bulrushchute.Millis
	healthDenied     bool
	// statedLeaving is set once the backend server process has said in an answer that
	// it leaves.
	statedLeaving bool
	// pollWake wakes runLoadPoller when a request is queued.
	pollWake chan struct{}
	// coldRateFactor is Settings.ColdRateFactor.
	coldRateFactor float64
	// healthPath is the path from which the load is read.
	healthPath string
	// trial is told of each dispatch.
	trial versionTrial
	// usage counts each dispatch. It is nil if usage reports are off.
	usage *usage
	// serverEnd is what is known of the latest end of the backend server.
	serverEnd  serverEnd
	quarantine *quarantine
}

// versionTrial limits and observes what the backend server receives, so that the
// versions of a move can be compared.
type versionTrial interface {
	// takeGrant counts a request for the backend server's version, and reports
	// whether a move permits it. returnGrant uncounts one that was not sent.
	takeGrant(service bulrushchute.Service, version bulrushchute.Version) (generation uint64, granted bool)
	returnGrant(generation uint64)
	// dispatchStarted and dispatchEnded enclose a dispatch. The sample is nil if it
	// says nothing about the version.
	dispatchStarted(attempt bulrushchute.Attempt, version bulrushchute.Version)
	dispatchEnded(attempt bulrushchute.Attempt, sample *bulrushmove.Sample)
}

// noTrial is a versionTrial that permits everything.
type noTrial struct{}

func (noTrial) takeGrant(bulrushchute.Service, bulrushchute.Version) (uint64, bool) { return 0, true }
func (noTrial) returnGrant(uint64)                                                  {}
func (noTrial) dispatchStarted(bulrushchute.Attempt, bulrushchute.Version)          {}
func (noTrial) dispatchEnded(bulrushchute.Attempt, *bulrushmove.Sample)             {}

func newAdmission(ctx context.Context, clock bulrushchute.Clock, clockSkew bulrushchute.Millis, protocols protocols) *admission {
	return &admission{
		clock:      clock,
		createdAt:  clock.Now(),
		clockSkew:  clockSkew,
		protocols:  protocols,
		context:    ctx,
		memory:     bulrushmemory.NewBudget(answerMemory),
		tasks:      bulrushtask.NewGroup(nil),
		controller: bulrushadmission.New(clock.Now(), bulrushadmission.Settings{}),
		waiters:    make(map[bulrushchute.AttemptID]chan bulrushadmission.Release),
		pollWake:   make(chan struct{}, 1),
		healthPath: bulrushcatalogue.DefaultHealthPath,
		trial:      noTrial{},
		quarantine: newQuarantine(clock, ""),
	}
}

// announce processes an announcement of the backend server. Another service,
// version, address, start time or server ID means a new backend server process,
// which starts cold.
func (a *admission) announce(announcement Announcement) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.Now()
	limits := bulrushadmission.Announcement{
		Slots:       announcement.Slots,
		Connections: announcement.Connections,
		Cold:        announcement.Cold,
	}
	limits.StartedBefore = a.backend.Service == "" && announcement.StartedAtMs > 0 && announcement.StartedAtMs < a.createdAt-formerProcessMargin
	announcement = a.withStatedLeaving(announcement)
	if a.backend.Service == "" {
		a.unconfirmed, a.firstAnnouncedAt = a.protocols.backend.ReportsLoad(), now
	}
	if announcement.sameProcess(a.backend) {
		a.notifyWaiters(a.controller.UpdateAnnouncement(now, limits))
	} else {
		a.statedLeaving = false
		a.unconfirmed = a.unconfirmed && a.backend.Service == ""
		a.notifyWaiters(a.controller.BackendStarted(now, limits))
		a.replaceClient(announcement.Address)
		a.initialReadNeeded = a.protocols.backend.ReportsLoad()
	}
	a.notifyWaiters(a.controller.ObserveCold(now, announcement.ColdMs))
	a.backend = announcement
	a.quarantine.setServer(announcement.Service, announcement.Version)
	a.healthy = true
	a.serverEnd.awaited = false
	if announcement.State == BackendDraining || a.draining {
		a.controller.Drain(now)
	} else {
		a.controller.Resume(now)
	}
}

// withStatedLeaving returns an announcement as draining if the process that it is of
// has said in an answer that it leaves. An announcement may be older than the answer.
func (a *admission) withStatedLeaving(announcement Announcement) Announcement {
	if a.statedLeaving && announcement.sameProcess(a.backend) {
		announcement.State = BackendDraining
	}
	return announcement
}

// isLatest reports whether an announcement changes nothing.
func (a *admission) isLatest(announcement Announcement) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.withStatedLeaving(announcement) == a.backend
}

// observeLeaving takes no new requests from the moment at which an answer of the
// backend server states that it leaves.
func (a *admission) observeLeaving(backend Announcement, report bulrushchute.BackendReport) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !report.Leaving || a.statedLeaving || !backend.sameProcess(a.backend) {
		return
	}
	a.statedLeaving = true
	a.backend.State = BackendDraining
	a.controller.Drain(a.clock.Now())
	klog.InfoS("backend server says that it leaves", "server", backend.Server)
}

// heard records that the backend server has announced itself, perhaps as it did
// before.
func (a *admission) heard() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.serverEnd.awaited = false
	if a.backend.Service == "" {
		return
	}
	// A server that is leaving fails its health check and sends no more announcements, but
	// several of them may be late.
	needed := minConfirmationDelay
	if a.healthDenied {
		needed = maxAnnouncementDelay
	}
	if a.clock.Now()-a.firstAnnouncedAt >= needed {
		a.unconfirmed = false
	}
}

// observeHealth records what the answer to a health check says of a server, whether or not
// the server reports its load.
func (a *admission) observeHealth(backend Announcement, status int, header http.Header) {
	if !a.protocols.backend.ReportsLoad() {
		return
	}
	report := a.protocols.backend.ReadReport(nil, status, header)
	if report.Mismatched || report.Server != "" && report.Server != backend.Server {
		return
	}
	healthy := status < http.StatusInternalServerError
	if report.Cold > 0 || healthy {
		a.observeCold(report)
	}
	a.observeLeaving(backend, report)
	if !healthy && !report.NotRun {
		a.denyHealth(backend)
	}
}

// denyHealth records that a server has failed a health check.
func (a *admission) denyHealth(backend Announcement) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.healthDenied = a.healthDenied || backend.sameProcess(a.backend)
}

// confirm records that the backend server has answered since the start of this node.
func (a *admission) confirm() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.unconfirmed = false
}

// awaitsServer reports whether the backend server has ended, and no process has
// announced itself since. One that listens already is colder than what is known of
// the former one.
func (a *admission) awaitsServer() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.serverEnd.awaited
}

// replaceClient creates a client with the connection limit in force. The
// connections of the previous client close when their requests end.
func (a *admission) replaceClient(address bulrushchute.Address) {
	if a.client != nil {
		a.client.close()
	}
	a.client = newBackendClient(address, a.controller.ConnectionLimit(), a.protocols, a.memory)
}

func (a *admission) latestAnnouncement() Announcement {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.backend
}

// configure applies a version of the service's catalogue entry.
func (a *admission) configure(entry bulrushcatalogue.ServiceEntry) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.configured = true
	settings := bulrushadmission.SettingsOf(entry)
	settings.ColdRateFactor = a.coldRateFactor
	a.warmMs = settings.Limits.WarmMs
	a.healthPath = entry.WithDefaults().Probe.HealthPath
	before := a.controller.ConnectionLimit()
	a.notifyWaiters(a.controller.SetSettings(a.clock.Now(), settings))
	if a.client != nil && a.controller.ConnectionLimit() != before {
		a.replaceClient(a.backend.Address)
	}
}

func (a *admission) setWithdrawn(withdrawn bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.controller.SetWithdrawn(a.clock.Now(), withdrawn)
}

func (a *admission) setIsolated(isolated bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.isolated = isolated
}

func (a *admission) drain() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.draining = true
	a.controller.Drain(a.clock.Now())
}

func (a *admission) empty() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.controller.Empty()
}

func (a *admission) load() bulrushchute.Load {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.controller.Load()
}

// tick expires queued requests whose wait is over, and runs whatever else is due
// in the controller.
func (a *admission) tick() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.Now()
	if a.controller.NextTick() <= now {
		a.notifyWaiters(a.controller.Tick(now))
	}
}

func (a *admission) allowProbe(kind bulrushadmission.ProbeKind) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.controller.AllowProbe(a.clock.Now(), kind)
}

// observeProbe processes the result of a probe. A backend server that reports
// that it is draining counts as draining, even if it did not announce it.
func (a *admission) observeProbe(report bulrushadmission.ProbeReport, draining bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.Now()
	a.notifyWaiters(a.controller.ObserveProbe(now, report))
	if draining && a.backend.State == BackendServing {
		a.backend.State = BackendDraining
		a.controller.Drain(now)
	}
}

func (a *admission) setHealthy(healthy bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.healthy = healthy
}

// state returns the backend server's announcement and the state that the node
// announces for it.
func (a *admission) state() (Announcement, bulrushchute.InstanceState) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case a.backend.Service == "" || !a.healthy || a.unconfirmed || a.serverEnd.awaited:
		return a.backend, bulrushchute.StateStarting
	case a.backend.State == BackendDraining:
		return a.backend, bulrushchute.StateLeaving
	case a.controller.Load().Cold:
		return a.backend, bulrushchute.StateCold
	default:
		return a.backend, bulrushchute.StateReady
	}
}

// notifyWaiters passes releases to the queued requests that wait for them.
func (a *admission) notifyWaiters(releases []bulrushadmission.Release) {
	for _, r := range releases {
		if wait, exists := a.waiters[r.ID]; exists {
			delete(a.waiters, r.ID)
			wait <- r
		}
	}
}

// serve runs an attempt on the backend server, or refuses it before dispatch.
func (a *admission) serve(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
	reply := a.serveUntil(ctx, attempt, localDeadline(a.clock.Now(), attempt, a.clockSkew))
	reply.ID = attempt.ID
	reply.Load = a.load()
	return reply
}

// localDeadline returns the deadline of an attempt that has just been received,
// on this node's clock.
func localDeadline(now bulrushchute.Millis, attempt bulrushchute.Attempt, clockSkew bulrushchute.Millis) bulrushchute.Millis {
	return min(now+attempt.Remaining, attempt.Deadline+clockSkew)
}

func (a *admission) serveUntil(ctx context.Context, attempt bulrushchute.Attempt, deadline bulrushchute.Millis) bulrushchute.Reply {
	permit, refusal := a.quarantine.enter(ctx, attempt, deadline)
	if refusal != nil {
		a.logRefusal(attempt, *refusal)
		return bulrushchute.Reply{Refusal: refusal}
	}
	reply := a.servePermitted(ctx, attempt, deadline, permit)
	if permit.trial {
		a.endTrial(attempt.ID, permit, reply)
	}
	return reply
}

// endTrial ends the trial of a suspect request, with a delay if the backend server may
// still be working on it.
func (a *admission) endTrial(id bulrushchute.AttemptID, permit trialPermit, reply bulrushchute.Reply) {
	if reply.Failure == nil || reply.Failure.Reason == bulrushchute.ReasonServerEnded {
		a.quarantine.leave(id, permit)
		return
	}
	a.tasks.Start(a.context, "unanswered trial", func(ctx context.Context) error {
		bulrushtask.Pause(ctx, bulrushquarantine.UnansweredMemory.Duration())
		a.quarantine.leave(id, permit)
		return nil
	})
}

// servePermitted runs an attempt that need not wait for a trial, if a move permits it.
func (a *admission) servePermitted(ctx context.Context, attempt bulrushchute.Attempt, deadline bulrushchute.Millis, permit trialPermit) bulrushchute.Reply {
	generation, granted := a.trial.takeGrant(attempt.Service, a.latestAnnouncement().Version)
	if !granted {
		reply := refusalReply(bulrushchute.ReasonVersionLimit, retryAfterDefault)
		a.logRefusal(attempt, *reply.Refusal)
		return reply
	}
	reply := a.serveGranted(ctx, attempt, deadline, permit)
	if reply.Refusal != nil && !reply.Refusal.Reached {
		a.trial.returnGrant(generation)
	}
	return reply
}

// serveGranted runs an attempt that the grants of a move permit.
func (a *admission) serveGranted(ctx context.Context, attempt bulrushchute.Attempt, deadline bulrushchute.Millis, permit trialPermit) bulrushchute.Reply {
	a.refreshLoad(ctx)
	if refusal := a.admit(ctx, attempt, deadline); refusal != nil {
		a.logRefusal(attempt, *refusal)
		return bulrushchute.Reply{Refusal: refusal}
	}
	// The deadline is checked last, because this process may have been paused
	// since the request was admitted.
	if a.clock.Now() >= deadline {
		a.done(attempt.ID, bulrushadmission.Result{Kind: bulrushchute.ResultNotSent})
		return refusalReply(bulrushchute.ReasonDeadline, 0)
	}
	if ctx.Err() != nil {
		a.done(attempt.ID, bulrushadmission.Result{Kind: bulrushchute.ResultCancelled})
		reply := refusalReply(bulrushchute.ReasonCancelled, 0)
		a.logRefusal(attempt, *reply.Refusal)
		return reply
	}
	if a.awaitsServer() {
		a.done(attempt.ID, bulrushadmission.Result{Kind: bulrushchute.ResultNotSent})
		return refusalReply(bulrushchute.ReasonNotReady, retryAfterDefault)
	}
	if refusal := a.quarantine.start(attempt, permit); refusal != nil {
		a.done(attempt.ID, bulrushadmission.Result{Kind: bulrushchute.ResultNotSent})
		a.logRefusal(attempt, *refusal)
		return bulrushchute.Reply{Refusal: refusal}
	}
	return a.dispatch(ctx, attempt, deadline, permit)
}

// admit requests a slot and waits for it. It returns nil when the attempt holds
// one.
func (a *admission) admit(ctx context.Context, attempt bulrushchute.Attempt, deadline bulrushchute.Millis) *bulrushchute.Refusal {
	decision, wait := a.requestSlot(attempt, deadline)
	switch decision.Verdict {
	case bulrushadmission.Admitted:
		return nil
	case bulrushadmission.Queued:
		return a.awaitRelease(ctx, attempt.ID, wait)
	default:
		return &decision.Refusal
	}
}

func (a *admission) requestSlot(attempt bulrushchute.Attempt, deadline bulrushchute.Millis) (bulrushadmission.Decision, <-chan bulrushadmission.Release) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if refusal := a.precheck(attempt); refusal != nil {
		return bulrushadmission.Decision{Verdict: bulrushadmission.Refused, Refusal: *refusal}, nil
	}
	decision := a.controller.Offer(a.clock.Now(), bulrushadmission.Request{
		ID:       attempt.ID,
		Route:    attempt.Route,
		Tenant:   attempt.Tenant,
		Class:    attempt.Class,
		Deadline: deadline,

		Objective: attempt.Objective,
		Insist:    attempt.Insist,
	})
	var wait chan bulrushadmission.Release
	if decision.Verdict == bulrushadmission.Queued {
		wait = make(chan bulrushadmission.Release, 1)
		a.waiters[attempt.ID] = wait
		a.wakeLoadPoller()
	}
	a.notifyWaiters(decision.Releases)
	return decision, wait
}

// precheck refuses attempts that this node cannot serve in its current state.
func (a *admission) precheck(attempt bulrushchute.Attempt) *bulrushchute.Refusal {
	switch {
	case a.isolated:
		return &bulrushchute.Refusal{Reason: bulrushchute.ReasonIsolated, RetryAfter: retryAfterDefault}
	case a.backend.Service == "":
		return &bulrushchute.Refusal{Reason: bulrushchute.ReasonNotReady, RetryAfter: retryAfterDefault}
	case a.serverEnd.awaited:
		return &bulrushchute.Refusal{Reason: bulrushchute.ReasonNotReady, RetryAfter: retryAfterDefault}
	case a.unconfirmed && !a.draining:
		return &bulrushchute.Refusal{Reason: bulrushchute.ReasonNotReady, RetryAfter: retryAfterStarting}
	case a.backend.Cold && !a.configured && !a.draining:
		// A cold server crashes above its cold limit, which only the catalogue
		// states.
		return &bulrushchute.Refusal{Reason: bulrushchute.ReasonNotReady, RetryAfter: retryAfterStarting}
	case a.backend.Service != attempt.Service:
		return &bulrushchute.Refusal{Reason: bulrushchute.ReasonWrongService, RetryAfter: retryAfterDefault}
	}
	return nil
}

func (a *admission) awaitRelease(ctx context.Context, id bulrushchute.AttemptID, wait <-chan bulrushadmission.Release) *bulrushchute.Refusal {
	select {
	case r := <-wait:
		return refusalOf(r)
	case <-ctx.Done():
	}
	a.mutex.Lock()
	a.notifyWaiters(a.controller.Cancel(a.clock.Now(), id))
	a.mutex.Unlock()
	// The request may have been released before it was cancelled. The result of
	// the release counts, not that of the context.
	return refusalOf(<-wait)
}

func refusalOf(release bulrushadmission.Release) *bulrushchute.Refusal {
	if release.Admitted {
		return nil
	}
	return &release.Refusal
}

func (a *admission) done(id bulrushchute.AttemptID, result bulrushadmission.Result) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.notifyWaiters(a.controller.Done(a.clock.Now(), id, result))
}

func (a *admission) currentBackend() (Announcement, *backendClient) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.backend, a.client
}

func (a *admission) dispatch(ctx context.Context, attempt bulrushchute.Attempt, deadline bulrushchute.Millis, permit trialPermit) bulrushchute.Reply {
	backend, client := a.currentBackend()
	if !attempt.Idempotent {
		// Cancelling a non-idempotent request could leave it half done.
		ctx = context.WithoutCancel(ctx)
	}
	remaining := deadline - a.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	a.trial.dispatchStarted(attempt, backend.Version)
	window := a.usage.began(attempt.Tenant)
	begin := time.Now()
	result := client.dispatch(ctx, bulrushchute.Dispatch{
		Attempt:   attempt,
		Server:    backend.Server,
		Deadline:  deadline,
		Remaining: remaining,
	})
	elapsed := time.Since(begin)
	a.usage.ended(window, attempt.Tenant, result.mayHaveRun)
	a.quarantine.ended(attempt, permit, result)
	if result.lostConnection() && a.checkServerEnd(backend) && result.mayHaveRun {
		result.reason = bulrushchute.ReasonServerEnded
	}
	a.observeReport(result.report)
	if result.answer != nil || result.refusedByServer {
		a.observeNamedLimit(backend, result.report, true)
		a.observeLeaving(backend, result.report)
	}
	end := admissionResult(result, elapsed)
	load := a.load()
	a.freeSlot(attempt, result, end)
	a.logFailure(attempt, backend.Server, result, end.ElapsedMs)
	a.recordSample(attempt, backend, result, end)
	reply := replyOf(result)
	if result.refusedByServer {
		reply.Refusal.RetryAfter = bulrushadmission.ServerRefusalDelay(load, rand.Float64())
	}
	return reply
}

// freeSlot frees the slot of a request, with a delay if the backend server may
// still be working on it.
func (a *admission) freeSlot(attempt bulrushchute.Attempt, result dispatchResult, end bulrushadmission.Result) {
	if result.answer != nil || !result.mayHaveRun {
		a.done(attempt.ID, end)
		return
	}
	a.tasks.Start(a.context, "cancelled slot", func(ctx context.Context) error {
		bulrushtask.Pause(ctx, unansweredSlotDelay)
		a.done(attempt.ID, end)
		return nil
	})
}

// recordSample records the result of a dispatch, so that the versions of a move
// can be compared.
func (a *admission) recordSample(attempt bulrushchute.Attempt, backend Announcement, result dispatchResult, end bulrushadmission.Result) {
	kind := end.Kind
	if kind == bulrushchute.ResultNotSent && result.reason == bulrushchute.ReasonConnectionLost {
		// A version whose servers accept no connections is bad, even though no
		// request ran.
		kind = bulrushchute.ResultUnknown
	}
	sample, ok := bulrushmove.SampleOf(backend.Version, attempt.Route, kind, end.ElapsedMs)
	if !ok {
		a.trial.dispatchEnded(attempt, nil)
		return
	}
	sample.Warming = a.warming(backend)
	a.trial.dispatchEnded(attempt, &sample)
}

// warming reports whether the backend server started less than warm_ms ago. Any
// version may be slow during that time. If the server still seems cold after
// that, its version may be bad.
func (a *admission) warming(backend Announcement) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.clock.Now() < backend.StartedAtMs+a.warmMs
}

func admissionResult(result dispatchResult, elapsed time.Duration) bulrushadmission.Result {
	end := bulrushadmission.Result{Kind: bulrushchute.ResultAnswered, ElapsedMs: milliseconds(elapsed)}
	switch {
	case result.answer != nil:
		end.Overloaded = result.answer.Status == http.StatusServiceUnavailable || result.answer.Status == http.StatusTooManyRequests
		if result.answer.Status >= http.StatusInternalServerError {
			end.Kind = bulrushchute.ResultServerError
		}
	case !result.mayHaveRun:
		end.Kind = bulrushchute.ResultNotSent
	case result.reason == bulrushchute.ReasonCancelled:
		end.Kind = bulrushchute.ResultCancelled
	default:
		end.Kind = bulrushchute.ResultUnknown
	}
	return end
}

func replyOf(result dispatchResult) bulrushchute.Reply {
	if result.answer != nil {
		return bulrushchute.Reply{Answer: result.answer}
	}
	if !result.mayHaveRun {
		reply := refusalReply(refusalReason(result), retryAfterDefault)
		reply.Refusal.Reached = result.refusedByServer || result.report.Misdirected
		return reply
	}
	return bulrushchute.Reply{Failure: &bulrushchute.Failure{Reason: result.reason}}
}

func refusalReason(result dispatchResult) bulrushchute.Reason {
	if result.refusedByServer || result.report.Misdirected {
		return result.reason
	}
	return bulrushchute.ReasonUnreachable
}

func refusalReply(reason bulrushchute.Reason, retryAfter bulrushchute.Millis) bulrushchute.Reply {
	return bulrushchute.Reply{Refusal: &bulrushchute.Refusal{Reason: reason, RetryAfter: retryAfter}}
}

func milliseconds(span time.Duration) float64 {
	return float64(span) / float64(time.Millisecond)
}
