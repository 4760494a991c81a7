package bulrushnode

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushadmission"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmove"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// cancelGrace keeps the slot of a cancelled request for the time in which the
// backend server may still be working on it.
const cancelGrace = 50 * time.Millisecond

// guard is the admission side of the node: the only path to its backend server.
type guard struct {
	clock     bulrushchute.Clock
	clockSkew bulrushchute.Millis
	dialect   dialect
	tasks     *bulrushtask.Group
	// context ends when the node has stopped, after all requests.
	context context.Context

	mutex      sync.Mutex
	controller *bulrushadmission.Controller
	waiting    map[bulrushchute.AttemptID]chan bulrushadmission.Release
	backend    Announcement
	client     *backendClient
	// configured is set once the catalogue has told the service's limits.
	configured bool
	isolated   bool
	healthy    bool
	// draining is set for good when the node leaves; an announcement of its
	// backend server does not end that.
	draining bool
	warmMs   bulrushchute.Millis
	// reading is closed when the reading of the backend server's load that is
	// under way ends, nil when there is none.
	reading chan struct{}
	// firstReading asks for a reading of the load of a server that has just started.
	firstReading bool
	// held wakes the goroutine that watches over held requests.
	held chan struct{}
	// healthPath is where the load is read.
	healthPath string
	// observe takes note of each dispatch for the judgement of versions.
	observe func(service bulrushchute.Service, sample bulrushmove.Sample)
}

func newGuard(ctx context.Context, clock bulrushchute.Clock, clockSkew bulrushchute.Millis, dialect dialect) *guard {
	return &guard{
		clock:      clock,
		clockSkew:  clockSkew,
		dialect:    dialect,
		context:    ctx,
		tasks:      bulrushtask.NewGroup(nil),
		controller: bulrushadmission.New(clock.Now(), bulrushadmission.Settings{}),
		waiting:    make(map[bulrushchute.AttemptID]chan bulrushadmission.Release),
		held:       make(chan struct{}, 1),
		healthPath: bulrushcatalogue.DefaultHealthPath,
		observe:    func(bulrushchute.Service, bulrushmove.Sample) {},
	}
}

// announce takes the backend server's announcement. Another address, version
// or start means another life of the backend server, which starts cold.
func (g *guard) announce(announcement Announcement) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	limits := bulrushadmission.Announcement{
		Slots:       announcement.Slots,
		Connections: announcement.Connections,
		Cold:        announcement.Cold,
	}
	if announcement.sameLife(g.backend) {
		g.release(g.controller.UpdateAnnouncement(now, limits))
	} else {
		g.release(g.controller.BackendStarted(now, limits))
		g.replaceClient(announcement.Address)
		g.firstReading = g.dialect.backend.ReportsLoad()
	}
	g.release(g.controller.ObserveCold(now, announcement.ColdMs))
	g.backend = announcement
	g.healthy = true
	if announcement.State == BackendDraining || g.draining {
		g.controller.Drain(now)
	} else {
		g.controller.Resume(now)
	}
}

// replaceClient gives the connections the limit that is in force. Those of the
// former client end with their requests.
func (g *guard) replaceClient(address bulrushchute.Address) {
	if g.client != nil {
		g.client.close()
	}
	g.client = newBackendClient(address, g.controller.ConnectionLimit(), g.dialect)
}

func (g *guard) announced() Announcement {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.backend
}

func (g *guard) configure(entry bulrushcatalogue.ServiceEntry) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.configured = true
	settings := bulrushadmission.SettingsOf(entry)
	g.warmMs = settings.Limits.WarmMs
	g.healthPath = entry.WithDefaults().Probe.HealthPath
	before := g.controller.ConnectionLimit()
	g.release(g.controller.SetSettings(g.clock.Now(), settings))
	if g.client != nil && g.controller.ConnectionLimit() != before {
		g.replaceClient(g.backend.Address)
	}
}

func (g *guard) withdraw(withdrawn bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.controller.SetWithdrawn(g.clock.Now(), withdrawn)
}

func (g *guard) setIsolated(isolated bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.isolated = isolated
}

func (g *guard) drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = true
	g.controller.Drain(g.clock.Now())
}

func (g *guard) empty() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.controller.Empty()
}

func (g *guard) load() bulrushchute.Load {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.controller.Load()
}

// tick ends the waits that are over.
func (g *guard) tick() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	if g.controller.NextTick() <= now {
		g.release(g.controller.Tick(now))
	}
}

func (g *guard) takeProbe(kind bulrushadmission.ProbeKind) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.controller.AllowProbe(g.clock.Now(), kind)
}

// observeProbe takes a probe's result. A backend server that reports that it
// is draining leaves, even if it did not announce it.
func (g *guard) observeProbe(report bulrushadmission.ProbeReport, draining bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	g.release(g.controller.ObserveProbe(now, report))
	if draining && g.backend.State == BackendServing {
		g.backend.State = BackendDraining
		g.controller.Drain(now)
	}
}

func (g *guard) setHealthy(healthy bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.healthy = healthy
}

// state is what the node announces of its backend server.
func (g *guard) state() (Announcement, bulrushchute.InstanceState) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case g.backend.Service == "" || !g.healthy:
		return g.backend, bulrushchute.StateStarting
	case g.backend.State == BackendDraining:
		return g.backend, bulrushchute.StateLeaving
	case g.controller.Load().Cold:
		return g.backend, bulrushchute.StateCold
	default:
		return g.backend, bulrushchute.StateReady
	}
}

// release tells waiting requests how their wait ended.
func (g *guard) release(releases []bulrushadmission.Release) {
	for _, r := range releases {
		if wait, exists := g.waiting[r.ID]; exists {
			delete(g.waiting, r.ID)
			wait <- r
		}
	}
}

// serve runs an attempt on the backend server, or refuses it before it is dispatched.
func (g *guard) serve(ctx context.Context, attempt bulrushchute.Attempt) bulrushchute.Reply {
	reply := g.serveUntil(ctx, attempt, deadlineHere(g.clock.Now(), attempt, g.clockSkew))
	reply.ID = attempt.ID
	reply.Load = g.load()
	return reply
}

// deadlineHere returns the deadline of an attempt that has just been received,
// on this node's clock.
func deadlineHere(now bulrushchute.Millis, attempt bulrushchute.Attempt, clockSkew bulrushchute.Millis) bulrushchute.Millis {
	return min(now+attempt.Remaining, attempt.Deadline+clockSkew)
}

func (g *guard) serveUntil(ctx context.Context, attempt bulrushchute.Attempt, deadline bulrushchute.Millis) bulrushchute.Reply {
	g.refreshPace(ctx)
	if refusal := g.admit(ctx, attempt, deadline); refusal != nil {
		g.logRefusal(attempt, *refusal)
		return bulrushchute.Reply{Refusal: refusal}
	}
	// The check comes last, because this process may have been paused since
	// the request was admitted.
	if g.clock.Now() >= deadline {
		g.done(attempt.ID, bulrushadmission.Result{Kind: bulrushchute.ResultNotSent})
		return refused(bulrushchute.ReasonDeadline, 0)
	}
	return g.dispatch(ctx, attempt, deadline)
}

// admit returns nil when the attempt holds a slot.
func (g *guard) admit(ctx context.Context, attempt bulrushchute.Attempt, deadline bulrushchute.Millis) *bulrushchute.Refusal {
	decision, wait := g.offer(attempt, deadline)
	switch decision.Verdict {
	case bulrushadmission.Admitted:
		return nil
	case bulrushadmission.Queued:
		return g.await(ctx, attempt.ID, wait)
	default:
		return &decision.Refusal
	}
}

func (g *guard) offer(attempt bulrushchute.Attempt, deadline bulrushchute.Millis) (bulrushadmission.Decision, <-chan bulrushadmission.Release) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if refusal := g.unfit(attempt); refusal != nil {
		return bulrushadmission.Decision{Verdict: bulrushadmission.Refused, Refusal: *refusal}, nil
	}
	decision := g.controller.Offer(g.clock.Now(), bulrushadmission.Request{
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
		g.waiting[attempt.ID] = wait
		g.wakePacer()
	}
	g.release(decision.Releases)
	return decision, wait
}

// unfit refuses attempts that this node cannot serve at all.
func (g *guard) unfit(attempt bulrushchute.Attempt) *bulrushchute.Refusal {
	switch {
	case g.isolated:
		return &bulrushchute.Refusal{Reason: bulrushchute.ReasonIsolated, RetryAfter: retryAfterDefault}
	case g.backend.Service == "":
		return &bulrushchute.Refusal{Reason: bulrushchute.ReasonNotReady, RetryAfter: retryAfterDefault}
	case g.backend.Cold && !g.configured && !g.draining:
		// A cold server crashes above its cold limit, which the catalogue tells.
		return &bulrushchute.Refusal{Reason: bulrushchute.ReasonNotReady, RetryAfter: retryAfterStart}
	case g.backend.Service != attempt.Service:
		return &bulrushchute.Refusal{Reason: bulrushchute.ReasonWrongService, RetryAfter: retryAfterDefault}
	}
	return nil
}

func (g *guard) await(ctx context.Context, id bulrushchute.AttemptID, wait <-chan bulrushadmission.Release) *bulrushchute.Refusal {
	select {
	case r := <-wait:
		return outcomeOf(r)
	case <-ctx.Done():
	}
	g.mutex.Lock()
	g.release(g.controller.Cancel(g.clock.Now(), id))
	g.mutex.Unlock()
	// The release may have come at the same time as the cancellation, so its
	// verdict counts and not the context's.
	return outcomeOf(<-wait)
}

func outcomeOf(release bulrushadmission.Release) *bulrushchute.Refusal {
	if release.Admitted {
		return nil
	}
	return &release.Refusal
}

func (g *guard) done(id bulrushchute.AttemptID, result bulrushadmission.Result) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.release(g.controller.Done(g.clock.Now(), id, result))
}

func (g *guard) target() (Announcement, *backendClient) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.backend, g.client
}

func (g *guard) dispatch(ctx context.Context, attempt bulrushchute.Attempt, deadline bulrushchute.Millis) bulrushchute.Reply {
	backend, client := g.target()
	if !attempt.Idempotent {
		// Cutting off a non-idempotent request could leave it half done.
		ctx = context.WithoutCancel(ctx)
	}
	remaining := deadline - g.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	begin := time.Now()
	result := client.dispatch(ctx, bulrushchute.Dispatch{
		Attempt:   attempt,
		Server:    backend.Server,
		Deadline:  deadline,
		Remaining: remaining,
	})
	elapsed := time.Since(begin)
	g.takeReport(result.report)
	end := admissionResult(result, elapsed)
	g.finish(attempt, result, end)
	g.logFailure(attempt, backend.Server, result, end.ElapsedMs)
	g.report(attempt, backend, result, end)
	return replyOf(result)
}

// finish frees the slot, later if the backend server may still be at work.
func (g *guard) finish(attempt bulrushchute.Attempt, result dispatchResult, end bulrushadmission.Result) {
	if result.answer != nil || !result.started {
		g.done(attempt.ID, end)
		return
	}
	g.tasks.Start(g.context, "cancelled slot", func(ctx context.Context) error {
		bulrushtask.Pause(ctx, cancelGrace)
		g.done(attempt.ID, end)
		return nil
	})
}

// report notes the end of a dispatch for the judgement of versions.
func (g *guard) report(attempt bulrushchute.Attempt, backend Announcement, result dispatchResult, end bulrushadmission.Result) {
	kind := end.Kind
	if kind == bulrushchute.ResultNotSent && result.reason == bulrushchute.ReasonConnectionLost {
		// A version whose servers accept no connections is bad, although no
		// request ran.
		kind = bulrushchute.ResultUnknown
	}
	sample, useful := bulrushmove.SampleOf(backend.Version, attempt.Route, kind, end.ElapsedMs)
	if !useful {
		return
	}
	sample.Warming = g.warming(backend)
	g.observe(attempt.Service, sample)
}

// warming reports whether the backend server started less than warm_ms ago. A
// server that seems cold later may as well be a bad version.
func (g *guard) warming(backend Announcement) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.clock.Now() < backend.StartedAtMs+g.warmMs
}

func admissionResult(result dispatchResult, elapsed time.Duration) bulrushadmission.Result {
	end := bulrushadmission.Result{Kind: bulrushchute.ResultAnswered, ElapsedMs: milliseconds(elapsed)}
	switch {
	case result.answer != nil:
		end.Overloaded = result.answer.Status == http.StatusServiceUnavailable || result.answer.Status == http.StatusTooManyRequests
		if result.answer.Status >= http.StatusInternalServerError {
			end.Kind = bulrushchute.ResultServerError
		}
	case !result.started:
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
	if !result.started {
		reply := refused(refusalReason(result), retryAfterDefault)
		reply.Refusal.Reached = result.full || result.report.Misdirected
		return reply
	}
	return bulrushchute.Reply{Failure: &bulrushchute.Failure{Reason: result.reason}}
}

func refusalReason(result dispatchResult) bulrushchute.Reason {
	if result.full || result.report.Misdirected {
		return result.reason
	}
	return bulrushchute.ReasonUnreachable
}

func refused(reason bulrushchute.Reason, retryAfter bulrushchute.Millis) bulrushchute.Reply {
	return bulrushchute.Reply{Refusal: &bulrushchute.Refusal{Reason: reason, RetryAfter: retryAfter}}
}

func milliseconds(span time.Duration) float64 {
	return float64(span) / float64(time.Millisecond)
}
