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
	"bulrushchute.example/bulrushchute/bulrushmove"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// retryAfterDefault is told when nothing better is known. Within it, nodes
// learn of failed instances and of changed load.
const retryAfterDefault = bulrushchute.Second

// retryAfterStart is told by a node that starts, which takes less than a second.
const retryAfterStart = 300 * bulrushchute.Millisecond

// exchanger sends an attempt to an instance, over the network or to this node itself.
type exchanger func(ctx context.Context, instance bulrushchute.Instance, attempt bulrushchute.Attempt) (bulrushchute.Reply, error)

// caller runs requests on the backend servers of any service.
type caller struct {
	clock    bulrushchute.Clock
	board    *bulrushboard.Board
	lanes    *lanes
	exchange exchanger
	tasks    *bulrushtask.Group
	// observe takes note of each attempt for the judgement of versions.
	observe func(service bulrushchute.Service, sample bulrushmove.Sample)
}

// call is one request that this node runs, for a caller or as a key's home.
type call struct {
	info bulrushchute.RequestInfo
	// template is the attempt without what differs between attempts.
	template bulrushchute.Attempt
	subset   int
	arrived  bulrushchute.Millis
	// wantedFrom is when the caller first asked, as far as this can be told.
	wantedFrom bulrushchute.Millis
}

// attempt returns an attempt of the call on an instance.
func (c call) attempt(now bulrushchute.Millis, target bulrushchute.InstanceID, retry bool) bulrushchute.Attempt {
	attempt := c.template
	attempt.ID = newAttemptID()
	attempt.Target = target
	attempt.Retry = retry
	attempt.Deadline = c.info.Deadline
	attempt.Remaining = c.info.Deadline - now
	return attempt
}

// callResult is the end of a call. Answer is set for OutcomeAnswered.
type callResult struct {
	final  bulrushattempt.FinalResult
	answer *bulrushchute.Answer
	// attempts is the number of attempts that were sent.
	attempts int
}

// attemptEnd is the end of one attempt.
type attemptEnd struct {
	number int
	end    bulrushattempt.End
	answer *bulrushchute.Answer
}

// running is a call under way.
type running struct {
	caller  *caller
	call    call
	lane    *lane
	machine *bulrushattempt.Machine
	ends    chan attemptEnd
	cancels map[int]context.CancelFunc
	answers map[int]*bulrushchute.Answer
}

// run drives the attempt machine until the request has its final outcome.
func (c *caller) run(ctx context.Context, request call) callResult {
	lane := c.lanes.get(request.info.Service, request.subset)
	lane.mutex.Lock()
	machine := bulrushattempt.New(request.info, lane.budgets, c.clock.Now())
	lane.mutex.Unlock()
	r := &running{
		caller:  c,
		call:    request,
		lane:    lane,
		machine: machine,
		ends:    make(chan attemptEnd, bulrushattempt.MaxAttempts),
		cancels: make(map[int]context.CancelFunc),
		answers: make(map[int]*bulrushchute.Answer),
	}
	return r.loop(ctx)
}

func (r *running) loop(ctx context.Context) callResult {
	for {
		action := r.next()
		switch action.Kind {
		case bulrushattempt.ActionSend:
			r.send(ctx, action)
		case bulrushattempt.ActionCancel:
			r.cancels[action.Attempt]()
		case bulrushattempt.ActionFinish:
			return callResult{final: action.FinalResult, answer: r.answers[action.FinalResult.Attempt], attempts: len(r.cancels)}
		default:
			r.wait(ctx, action.Until)
		}
	}
}

func (r *running) next() bulrushattempt.Action {
	r.lane.mutex.Lock()
	defer r.lane.mutex.Unlock()
	return r.machine.Next(r.caller.clock.Now())
}

// send picks an instance and starts an attempt on it.
func (r *running) send(ctx context.Context, action bulrushattempt.Action) {
	instance, only, found := r.pick(action)
	if !found {
		return
	}
	now := r.caller.clock.Now()
	attempt := r.call.attempt(now, instance.ID, action.Retry)
	attempt.Insist = only
	if attempt.Objective > 0 {
		attempt.Objective = max(1, r.call.wantedFrom+attempt.Objective-now)
	}
	// An attempt outlives its caller: non-idempotent work runs to its end, and
	// the machine cancels the rest by name.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), attempt.Remaining.Duration())
	r.cancels[action.Attempt] = cancel
	r.caller.tasks.Start(ctx, "attempt", func(ctx context.Context) error {
		defer cancel()
		r.ends <- r.exchange(ctx, action.Attempt, instance, attempt)
		return nil
	})
}

func newAttemptID() bulrushchute.AttemptID {
	var id bulrushchute.AttemptID
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return id
}

// pick chooses an instance for an attempt. It also reports whether the request
// has nowhere else to go, which every further attempt is taken to have.
func (r *running) pick(action bulrushattempt.Action) (bulrushchute.Instance, bool, bool) {
	now := r.caller.clock.Now()
	view := r.caller.board.Read()
	service := r.call.info.Service
	r.lane.mutex.Lock()
	defer r.lane.mutex.Unlock()
	r.lane.refresh(now, view, service)
	query := bulrushchute.PickQuery{Service: service, Exclude: action.Exclude}
	instance, found := r.lane.pick(now, view, query)
	if !found {
		r.machine.NoBackend(now, action.Attempt)
		return instance, false, false
	}
	only := action.Attempt > 1 || r.lane.only(now, query, instance.ID)
	if !r.machine.Sent(now, action.Attempt, instance.ID) {
		return instance, false, false
	}
	r.lane.router.Started(now, instance.ID)
	return instance, only, true
}

// exchange runs one attempt and tells the router how it ended, also when
// nobody waits for it any more.
func (r *running) exchange(ctx context.Context, number int, instance bulrushchute.Instance, attempt bulrushchute.Attempt) attemptEnd {
	begin := time.Now()
	reply, err := r.caller.exchange(ctx, instance, attempt)
	end := endOf(number, reply, err)
	r.logEnd(instance, attempt, end)
	observation := bulrushchute.Observation{
		Instance:  instance.ID,
		ElapsedMs: milliseconds(time.Since(begin)),
		Result:    end.end.Result,
	}
	if err == nil {
		observation.Load = &reply.Load
	}
	r.lane.observe(r.caller.clock.Now(), observation)
	sample, useful := bulrushmove.SampleOf(instance.Version, attempt.Route, observation.Result, observation.ElapsedMs)
	if useful {
		sample.Warming = r.warming(instance)
		r.caller.observe(attempt.Service, sample)
	}
	return end
}

// warming reports whether the instance's backend server started less than
// warm_ms ago, when any version may be slow.
func (r *running) warming(instance bulrushchute.Instance) bool {
	entry, _ := r.caller.board.Read().Catalogue.Service(instance.Service)
	return r.caller.clock.Now() < instance.StartedAt+entry.WithDefaults().Limits.WarmMs
}

func endOf(number int, reply bulrushchute.Reply, err error) attemptEnd {
	end := attemptEnd{number: number, answer: reply.Answer}
	var notSent *bulrushchute.NotSentError
	switch {
	case errors.As(err, &notSent):
		end.end = bulrushattempt.End{Result: bulrushchute.ResultNotSent, Reason: bulrushchute.ReasonUnreachable}
	case errors.Is(err, context.Canceled):
		end.end = bulrushattempt.End{Result: bulrushchute.ResultCancelled, Reason: bulrushchute.ReasonCancelled}
	case errors.Is(err, context.DeadlineExceeded):
		end.end = bulrushattempt.End{Result: bulrushchute.ResultUnknown, Reason: bulrushchute.ReasonDeadline}
	case err != nil:
		end.end = bulrushattempt.End{Result: bulrushchute.ResultUnknown, Reason: bulrushchute.ReasonConnectionLost}
	case reply.Refusal != nil:
		end.end = bulrushattempt.End{
			Result:     bulrushchute.ResultNotRun,
			Reason:     reply.Refusal.Reason,
			RetryAfter: reply.Refusal.RetryAfter,
			Reached:    reply.Refusal.Reached,
		}
	case reply.Failure != nil:
		end.end = bulrushattempt.End{Result: bulrushchute.ResultUnknown, Reason: reply.Failure.Reason}
	case reply.Answer.Status >= http.StatusInternalServerError:
		end.end = bulrushattempt.End{Result: bulrushchute.ResultServerError}
	default:
		end.end = bulrushattempt.End{Result: bulrushchute.ResultAnswered}
	}
	return end
}

// wait blocks until an attempt ends, the machine has something to do, or the
// caller goes away.
func (r *running) wait(ctx context.Context, until bulrushchute.Millis) {
	timer := time.NewTimer((until - r.caller.clock.Now()).Duration())
	defer timer.Stop()
	select {
	case end := <-r.ends:
		r.ended(end)
	case <-timer.C:
	case <-ctx.Done():
		r.lane.mutex.Lock()
		defer r.lane.mutex.Unlock()
		r.machine.CallerGone(r.caller.clock.Now())
	}
}

func (r *running) ended(end attemptEnd) {
	r.lane.mutex.Lock()
	defer r.lane.mutex.Unlock()
	if r.machine.Ended(r.caller.clock.Now(), end.number, end.end) {
		r.answers[end.number] = end.answer
	}
}
