package bulrushnode

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushattempt"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushmemory"
	"bulrushchute.example/bulrushchute/bulrushmove"
	"bulrushchute.example/bulrushchute/bulrushquarantine"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// retryAfterDefault is the Retry-After of refusals without a better estimate.
// Within this time, nodes learn about failed instances and changed load.
const retryAfterDefault = bulrushchute.Second

// retryAfterStarting is the Retry-After while a node starts, which usually
// takes less than half a second.
const retryAfterStarting = 150 * bulrushchute.Millisecond

// exchanger sends an attempt to an instance, over the network or directly to
// this node, and returns the reply.
type exchanger func(ctx context.Context, instance bulrushchute.Instance, attempt bulrushchute.Attempt) (bulrushchute.Reply, error)

// runner runs calls on the backend servers of any service.
type runner struct {
	clock         bulrushchute.Clock
	board         *bulrushboard.Board
	serviceStates *serviceStates
	exchange      exchanger
	tasks         *bulrushtask.Group
	quarantine    *quarantine
	// observeSample records the result of each attempt, so that the versions of a
	// move can be compared.
	observeSample func(service bulrushchute.Service, sample bulrushmove.Sample)
}

// call is a request that this node runs, as entry node or as the home of its
// key.
type call struct {
	info bulrushchute.RequestInfo
	// template holds the fields that all attempts of the call have in common.
	template bulrushchute.Attempt
	// subset is the subset size of the service's catalogue entry.
	subset int
	// arrivedAt is the time at which the entry node received the request, 0 at the
	// home of a key.
	arrivedAt bulrushchute.Millis
	// firstRequestedAt is the estimated time at which the caller first sent the
	// request, which is earlier than arrivedAt for a retry. It is 0 at the home of a
	// key.
	firstRequestedAt bulrushchute.Millis
	// unresolved is set if the catalogue has no service for the request, or no tenant
	// for its API key, but may be out of date.
	unresolved bool
	// caller is who sent the request. It is zero at the home of a key.
	caller callerIdentity
}

// newAttempt returns a new attempt of the call, for one instance.
func (c call) newAttempt(now bulrushchute.Millis, target bulrushchute.InstanceID, retry bool) bulrushchute.Attempt {
	attempt := c.template
	attempt.ID = newAttemptID()
	attempt.Target = target
	attempt.Retry = retry
	attempt.Deadline = c.info.Deadline
	attempt.Remaining = c.info.Deadline - now
	return attempt
}

// callResult describes how a call ended. The answer is set for OutcomeAnswered.
type callResult struct {
	final  bulrushattempt.FinalResult
	answer *bulrushchute.Answer
	// attempts is the number of attempts that were sent.
	attempts int
}

// attemptResult describes how an attempt ended.
type attemptResult struct {
	// number is the number of the attempt within its call, from 1.
	number int
	end    bulrushattempt.End
	answer *bulrushchute.Answer
}

// activeCall is a call in progress. Its maps are keyed by attempt number.
type activeCall struct {
	runner       *runner
	call         call
	serviceState *serviceState
	machine      *bulrushattempt.Machine
	results      chan attemptResult
	cancels      map[int]context.CancelFunc
	answers      map[int]*bulrushchute.Answer
}

// run runs a call until the attempt machine returns its final result.
func (r *runner) run(ctx context.Context, request call) callResult {
	serviceState := r.serviceStates.get(request.info.Service, request.subset)
	serviceState.mutex.Lock()
	machine := bulrushattempt.New(request.info, serviceState.budgets, r.clock.Now())
	serviceState.mutex.Unlock()
	ac := &activeCall{
		runner:       r,
		call:         request,
		serviceState: serviceState,
		machine:      machine,
		results:      make(chan attemptResult, bulrushattempt.MaxAttempts+bulrushattempt.MaxSlowRefusals),
		cancels:      make(map[int]context.CancelFunc),
		answers:      make(map[int]*bulrushchute.Answer),
	}
	return ac.loop(ctx)
}

// expectedLatency returns the p95 of the latencies of a request's service, and false
// while there are too few samples.
func (r *runner) expectedLatency(now bulrushchute.Millis, request call) (bulrushchute.Millis, bool) {
	serviceState := r.serviceStates.get(request.info.Service, request.subset)
	serviceState.mutex.Lock()
	defer serviceState.mutex.Unlock()
	return serviceState.budgets.HedgeDelay(now)
}

func (ac *activeCall) loop(ctx context.Context) callResult {
	for {
		action := ac.nextAction()
		switch action.Kind {
		case bulrushattempt.ActionSend:
			ac.send(ctx, action)
		case bulrushattempt.ActionCancel:
			ac.cancels[action.Attempt]()
		case bulrushattempt.ActionFinish:
			return callResult{final: action.FinalResult, answer: ac.answers[action.FinalResult.Attempt], attempts: len(ac.cancels)}
		default:
			ac.wait(ctx, action.Until)
		}
	}
}

func (ac *activeCall) nextAction() bulrushattempt.Action {
	ac.serviceState.mutex.Lock()
	defer ac.serviceState.mutex.Unlock()
	return ac.machine.Next(ac.runner.clock.Now())
}

// send picks an instance and starts an attempt on it.
func (ac *activeCall) send(ctx context.Context, action bulrushattempt.Action) {
	instance, insist, trial, found := ac.pick(action)
	if !found {
		return
	}
	now := ac.runner.clock.Now()
	attempt := ac.call.newAttempt(now, instance.ID, action.Retry)
	attempt.Insist = insist
	attempt.Trial = trial
	if attempt.Objective > 0 {
		attempt.Objective = max(1, ac.call.firstRequestedAt+attempt.Objective-now)
	}
	// The context of an attempt does not end with that of the caller:
	// non-idempotent work runs to completion, and the machine cancels idempotent
	// attempts explicitly.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), attempt.Remaining.Duration())
	ac.cancels[action.Attempt] = cancel
	// The attempt may go on after the caller has left, with the request in memory.
	share := bulrushmemory.ShareOf(ctx)
	share.Hold()
	ac.runner.tasks.Start(ctx, "attempt", func(ctx context.Context) error {
		defer share.Release()
		defer cancel()
		ac.results <- ac.exchange(ctx, action.Attempt, instance, attempt)
		return nil
	})
}

func newAttemptID() bulrushchute.AttemptID {
	var id bulrushchute.AttemptID
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return id
}

// pick chooses an instance for an attempt. It reports whether the attempt should
// insist because no other instance can take the request, and whether it is a trial
// of a suspect content. The last result is false if no attempt can be sent.
func (ac *activeCall) pick(action bulrushattempt.Action) (instance bulrushchute.Instance, insist, trial, found bool) {
	now := ac.runner.clock.Now()
	view := ac.runner.board.Read()
	service := ac.call.info.Service
	if !ac.call.caller.allowed(view.Catalogue.Routing()) {
		ac.serviceState.mutex.Lock()
		defer ac.serviceState.mutex.Unlock()
		ac.machine.Refuse(action.Attempt, bulrushchute.ReasonUnknownKey, 0)
		return instance, false, false, false
	}
	if content, assessment := ac.runner.quarantine.assessAtEntry(now, ac.call.template); assessment.Verdict != bulrushquarantine.Free {
		instance, found = ac.pickSuspect(now, view, action, content, assessment)
		return instance, true, true, found
	}
	ac.serviceState.mutex.Lock()
	defer ac.serviceState.mutex.Unlock()
	ac.serviceState.refresh(now, view, service)
	query := bulrushchute.PickQuery{Service: service, Exclude: action.Exclude}
	instance, found = ac.serviceState.pick(now, view, query)
	if !found {
		ac.machine.NoBackend(now, action.Attempt)
		return instance, false, false, false
	}
	insist = action.Last || ac.serviceState.isOnlyChoice(now, query, instance.ID)
	if !ac.machine.Sent(now, action.Attempt, instance.ID) {
		return instance, false, false, false
	}
	ac.serviceState.router.Started(now, instance.ID)
	return instance, insist, false, true
}

// exchange runs one attempt and reports its result to the router, even if
// nothing waits for the attempt any more.
func (ac *activeCall) exchange(ctx context.Context, number int, instance bulrushchute.Instance, attempt bulrushchute.Attempt) attemptResult {
	begin := time.Now()
	epoch := shareEpoch(ac.runner.board.Read(), attempt.Service)
	reply, err := ac.runner.exchange(ctx, instance, attempt)
	result := attemptResultOf(number, reply, err)
	ac.logAttempt(instance, attempt, result)
	ac.runner.quarantine.observeAtEntry(attempt, result)
	observation := bulrushchute.Observation{
		Instance:  instance.ID,
		ElapsedMs: milliseconds(time.Since(begin)),
		Result:    result.end.Result,
	}
	if err == nil {
		observation.Load = &reply.Load
	}
	if result.end.Reason == bulrushchute.ReasonCancelled {
		// It is no fault of the instance, even if nothing was sent.
		observation.Result = bulrushchute.ResultCancelled
	}
	if result.end.Reason == bulrushchute.ReasonSlow || result.end.Reason == bulrushchute.ReasonServerLimit {
		observation.SlowFor = result.end.RetryAfter
	}
	if result.end.Reason == bulrushchute.ReasonVersionLimit {
		ac.serviceState.observeSpentGrant(ac.runner.clock.Now(), instance.ID, epoch)
	}
	ac.serviceState.observe(ac.runner.clock.Now(), observation)
	sample, ok := bulrushmove.SampleOf(instance.Version, attempt.Route, result.end.Result, observation.ElapsedMs)
	if ok {
		sample.Warming = ac.warming(instance)
		ac.runner.observeSample(attempt.Service, sample)
	}
	return result
}

// warming reports whether the instance's backend server started less than
// warm_ms ago. Any version may be slow during that time.
func (ac *activeCall) warming(instance bulrushchute.Instance) bool {
	entry, _ := ac.runner.board.Read().Catalogue.Service(instance.Service)
	return ac.runner.clock.Now() < instance.StartedAt+entry.WithDefaults().Limits.WarmMs
}

func attemptResultOf(number int, reply bulrushchute.Reply, err error) attemptResult {
	result := attemptResult{number: number, answer: reply.Answer}
	var notSent *bulrushchute.NotSentError
	switch {
	case errors.As(err, &notSent):
		result.end = bulrushattempt.End{Result: bulrushchute.ResultNotSent, Reason: bulrushchute.ReasonUnreachable}
		if errors.Is(err, context.Canceled) {
			result.end.Reason = bulrushchute.ReasonCancelled
		}
	case errors.Is(err, context.Canceled):
		result.end = bulrushattempt.End{Result: bulrushchute.ResultCancelled, Reason: bulrushchute.ReasonCancelled}
	case errors.Is(err, context.DeadlineExceeded):
		result.end = bulrushattempt.End{Result: bulrushchute.ResultUnknown, Reason: bulrushchute.ReasonDeadline}
	case err != nil:
		result.end = bulrushattempt.End{Result: bulrushchute.ResultUnknown, Reason: bulrushchute.ReasonConnectionLost}
	case reply.Refusal != nil:
		result.end = bulrushattempt.End{
			Result:     bulrushchute.ResultNotRun,
			Reason:     reply.Refusal.Reason,
			RetryAfter: reply.Refusal.RetryAfter,
			Reached:    reply.Refusal.Reached,
		}
	case reply.Failure != nil:
		result.end = bulrushattempt.End{Result: bulrushchute.ResultUnknown, Reason: reply.Failure.Reason}
	case reply.Answer.Status >= http.StatusInternalServerError:
		result.end = bulrushattempt.End{Result: bulrushchute.ResultServerError}
	default:
		result.end = bulrushattempt.End{Result: bulrushchute.ResultAnswered}
	}
	return result
}

// wait blocks until an attempt ends, the given time is reached or the caller
// disconnects.
func (ac *activeCall) wait(ctx context.Context, until bulrushchute.Millis) {
	timer := time.NewTimer((until - ac.runner.clock.Now()).Duration())
	defer timer.Stop()
	select {
	case result := <-ac.results:
		ac.handleResult(result)
	case <-timer.C:
	case <-ctx.Done():
		ac.serviceState.mutex.Lock()
		defer ac.serviceState.mutex.Unlock()
		ac.machine.CallerGone(ac.runner.clock.Now())
	}
}

func (ac *activeCall) handleResult(result attemptResult) {
	ac.serviceState.mutex.Lock()
	defer ac.serviceState.mutex.Unlock()
	if ac.machine.Ended(ac.runner.clock.Now(), result.number, result.end) {
		ac.answers[result.number] = result.answer
	}
}
