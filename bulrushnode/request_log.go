package bulrushnode

import (
	"hash/fnv"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushlog"
	"bulrushchute.example/bulrushchute/bulrushquarantine"
)

// Log events about requests and attempts. docs/observability.md lists their
// keys.
var (
	requestRefused      = bulrushlog.NewEventLogger("request refused")
	requestFailed       = bulrushlog.NewEventLogger("request failed")
	requestAnswered     = bulrushlog.NewEventLogger("request answered")
	requestRejected     = bulrushlog.NewEventLogger("request rejected")
	attemptRefused      = bulrushlog.NewEventLogger("attempt refused")
	attemptFailed       = bulrushlog.NewEventLogger("attempt failed")
	attemptEnded        = bulrushlog.NewEventLogger("attempt ended")
	contentOnTrial      = bulrushlog.NewEventLogger("content on trial")
	messageHeldUp       = bulrushlog.NewEventLogger("message held up")
	serverErrorAnswered = bulrushlog.NewEventLogger("backend server failed a request")
)

// logSampleInterval is the number of answered requests of which one is logged.
const logSampleInterval = 64

// isSampled selects requests by a hash of their ID, so that all nodes select
// the same ones.
func isSampled(id string) bool {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum32()%logSampleInterval == 0
}

// logResult logs how a request ended and why. Of the answered requests it logs
// only a sample.
func (eh *entryHandler) logResult(view bulrushboard.View, request call, result callResult) {
	elapsed := eh.clock.Now() - request.arrivedAt
	fields := []any{
		"request", request.template.RequestID, "service", request.info.Service, "route", request.info.Route,
		"catalogue", view.Catalogue.Routing().Label, "attempts", result.attempts, "elapsed_ms", elapsed,
	}
	switch result.final.Outcome {
	case bulrushchute.OutcomeAnswered:
		if isSampled(request.template.RequestID) {
			requestAnswered.Log(append(fields, "status", result.answer.Status)...)
		}
	case bulrushchute.OutcomeNotRun:
		requestRefused.Log(append(fields, "reason", result.final.Reason, "retry_after_ms", result.final.RetryAfter)...)
	default:
		requestFailed.Log(append(fields, "reason", result.final.Reason, "time_left_ms", request.info.Deadline-eh.clock.Now())...)
	}
}

// logAttempt logs an attempt that ended without an answer or with a server
// error.
func (ac *activeCall) logAttempt(instance bulrushchute.Instance, attempt bulrushchute.Attempt, result attemptResult) {
	if result.end.Reason == "" && result.end.Result != bulrushchute.ResultServerError {
		return
	}
	attemptEnded.Log("request", attempt.RequestID, "attempt", result.number, "instance", instance.ID, "version", instance.Version,
		"data_centre", instance.DataCentre, "reason", result.end.Reason, "reached", result.end.Reached, "insist", attempt.Insist)
}

// logRefusal logs why this node did not pass an attempt to its backend server.
func (a *admission) logRefusal(attempt bulrushchute.Attempt, refusal bulrushchute.Refusal) {
	load := a.load()
	age, slowdown := a.lastSlowdown()
	attemptRefused.Log("request", attempt.RequestID, "service", attempt.Service, "reason", refusal.Reason,
		"in_flight", load.InFlight, "limit", load.Limit, "queued", load.Queued, "cold", load.Cold, "leaving", load.Leaving,
		"slowdown", slowdown, "reading_age_ms", age, "remaining_ms", attempt.Remaining, "retry_after_ms", refusal.RetryAfter)
}

// lastSlowdown returns the age of the last reading of the server's load and the
// slowdown that it reported.
func (a *admission) lastSlowdown() (bulrushchute.Millis, float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.controller.LastSlowdown(a.clock.Now())
}

// logFailure logs that the backend server returned an error or no whole
// answer.
func (a *admission) logFailure(attempt bulrushchute.Attempt, server string, result dispatchResult, elapsedMs float64) {
	if result.answer != nil && result.answer.Status < 500 {
		return
	}
	status := 0
	if result.answer != nil {
		status = result.answer.Status
	}
	fields := []any{
		"request", attempt.RequestID, "server", server, "route", attempt.Route, "reason", result.reason,
		"status", status, "started", result.mayHaveRun, "elapsed_ms", int(elapsedMs), "content", bulrushquarantine.ContentOf(attempt),
	}
	if result.answer != nil {
		serverErrorAnswered.Log(fields...)
		return
	}
	attemptFailed.Log(fields...)
}
