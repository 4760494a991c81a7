package bulrushnode

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushattempt"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushquarantine"
	"bulrushchute.example/bulrushchute/bulrushrouting"
)

// reportAgainst returns the report of a node whose server crashed while it ran an
// attempt.
func reportAgainst(attempt bulrushchute.Attempt, at bulrushchute.Millis, trial bool) bulrushquarantine.Report {
	content := bulrushquarantine.ContentOf(attempt)
	crash := bulrushquarantine.Crash{ID: bulrushquarantine.CrashID(at), At: at, Version: "v1", Contents: []bulrushquarantine.Content{content}}
	if trial {
		crash.Trial = &content
	}
	return bulrushquarantine.Report{Crashes: []bulrushquarantine.Crash{crash}}
}

// Guards against a suspect request that runs beside its server although the entry node
// did not place it there, and against a refusal that would make callers return at
// once.
func TestSuspectsAreStoppedBesideTheServer(t *testing.T) {
	cases := map[string]struct {
		crashed, trialsCrashed, placed bool
		want                           bulrushchute.Reason
		retryAfter                     bulrushchute.Millis
	}{
		"free":                {false, false, false, "", 0},
		"suspect, placed":     {true, false, true, "", 0},
		"suspect, not placed": {true, false, false, bulrushchute.ReasonOnTrial, retryAfterOnTrial},
		"quarantined":         {true, true, true, bulrushchute.ReasonQuarantined, 10 * bulrushchute.Minute},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			runs := 0
			a, clock, _ := newTestAdmission(t, func(http.ResponseWriter, *http.Request) { runs++ })
			attempt := attemptTo("board", 1, clock)
			attempt.Trial = tc.placed
			if tc.crashed {
				a.quarantine.apply(clock.Now(), "other", reportAgainst(attempt, clock.Now(), false))
			}
			if tc.trialsCrashed {
				a.quarantine.apply(clock.Now(), "third", reportAgainst(attempt, clock.Now(), true))
				a.quarantine.apply(clock.Now(), "fourth", reportAgainst(attempt, clock.Now()-1, true))
			}
			reply := a.serve(t.Context(), attempt)
			if tc.want == "" {
				assert.Assert(t, reply.Answer != nil, "%+v", reply)
				_, assessment := a.quarantine.assessAtEntry(clock.Now(), attempt)
				assert.Equal(t, assessment.Verdict, bulrushquarantine.Free)
				return
			}
			assert.Equal(t, runs, 0)
			assert.Equal(t, reply.Refusal.Reason, tc.want)
			assert.Equal(t, reply.Refusal.RetryAfter, tc.retryAfter)
		})
	}
}

// Guards against a request that becomes suspect while it waits for a slot, and runs
// all the same.
func TestSuspectSinceItsArrival(t *testing.T) {
	a, clock, _ := newTestAdmission(t, answerOK)
	attempt := attemptTo("board", 1, clock)
	permit, refusal := a.quarantine.enter(t.Context(), attempt, attempt.Deadline)
	assert.Assert(t, refusal == nil)
	a.quarantine.apply(clock.Now(), "other", reportAgainst(attempt, clock.Now(), false))
	assert.Equal(t, a.quarantine.start(attempt, permit).Reason, bulrushchute.ReasonOnTrial)
}

// Guards against suspect requests that run at the same time on one server, and
// against one that waits for the end of a trial in vain.
func TestSuspectsRunOneByOne(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 2)
	a, clock, _ := newTestAdmission(t, func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	})
	attempts := []bulrushchute.Attempt{attemptTo("board", 1, clock), attemptTo("board", 2, clock)}
	attempts[1].Path = "/other"
	replies := make(chan bulrushchute.Reply, len(attempts))
	for i, attempt := range attempts {
		attempts[i].Trial, attempts[i].Remaining, attempts[i].Deadline = true, bulrushchute.Minute, clock.Now()+bulrushchute.Minute
		a.quarantine.apply(clock.Now(), bulrushchute.InstanceID(attempt.Path), reportAgainst(attempt, clock.Now(), false))
	}
	for _, attempt := range attempts {
		go func() { replies <- a.serve(context.Background(), attempt) }()
	}
	<-started
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(started), 0, "both run")
	close(release)
	for range attempts {
		assert.Assert(t, (<-replies).Answer != nil)
	}
}

// Guards against a trial in a data centre that takes no work, on a version under
// trial, on a server that has ended, or where this request was tried before.
func TestSuspectIsPlaced(t *testing.T) {
	members := []bulrushchute.Instance{
		{ID: "a1", DataCentre: "a", Service: "board", Version: "v1", State: bulrushchute.StateReady},
		{ID: "a2", DataCentre: "a", Service: "board", Version: "v1", State: bulrushchute.StateReady},
		{ID: "b1", DataCentre: "b", Service: "board", Version: "v1", State: bulrushchute.StateReady},
		{ID: "c1", DataCentre: "c", Service: "board", Version: "v2", State: bulrushchute.StateReady},
	}
	cases := map[string]struct {
		withdrawn bulrushchute.DataCentre
		exclude   []bulrushchute.InstanceID
		want      map[bulrushchute.InstanceID]bool
	}{
		"all":                    {"", nil, map[bulrushchute.InstanceID]bool{"a1": true, "a2": true, "b1": true}},
		"withdrawn":              {"a", []bulrushchute.InstanceID{}, nil},
		"tried":                  {"", []bulrushchute.InstanceID{"b1"}, map[bulrushchute.InstanceID]bool{"a1": true, "a2": true}},
		"tried, one of two left": {"", []bulrushchute.InstanceID{"a1"}, map[bulrushchute.InstanceID]bool{"b1": true}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			clock := bulrushchute.NewManualClock(1_000_000)
			entry := bulrushcatalogue.ServiceEntry{Service: "board", Move: &bulrushcatalogue.Move{Generation: 1, FromVersion: "v1", ToVersion: "v2"}}
			view := bulrushboard.View{}
			view = view.WithCatalogue(view.Catalogue.WithService(entry, 1)).
				WithMembers(map[bulrushchute.Service][]bulrushchute.Instance{"board": members}).
				WithWeights(bulrushrouting.Weights{tc.withdrawn: {Withdrawn: true}})
			ac := &activeCall{runner: &runner{quarantine: newQuarantine(clock, "n")}, call: call{info: bulrushchute.RequestInfo{Service: "board"}}}
			found := map[bulrushchute.InstanceID]bool{}
			for number := range byte(100) {
				assessment := bulrushquarantine.Assessment{Verdict: bulrushquarantine.Suspect, LastCrashAt: clock.Now()}
				if instance, placed := ac.placeSuspect(clock.Now(), view, bulrushquarantine.Content{number}, assessment, tc.exclude); placed {
					found[instance.ID] = true
				}
			}
			if tc.want == nil {
				// The only server left is not risked yet.
				assert.Equal(t, len(found), 0)
				return
			}
			assert.DeepEqual(t, found, tc.want)
		})
	}
}

// Guards against a caller that is told "not run" although an earlier attempt of its
// request crashed a server, or that is told to come back at once.
func TestCallersOfQuarantinedRequests(t *testing.T) {
	cases := map[string]struct {
		ran  bool
		want bulrushchute.Outcome
	}{
		"refused at once": {false, bulrushchute.OutcomeNotRun},
		"ran before":      {true, bulrushchute.OutcomeUnknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			machine := bulrushattempt.New(bulrushchute.RequestInfo{Deadline: 10_000, Idempotent: true}, bulrushattempt.NewBudgets(0), 0)
			action := machine.Next(0)
			if tc.ran {
				assert.Assert(t, machine.Sent(0, action.Attempt, "a"))
				machine.Ended(100, action.Attempt, bulrushattempt.End{Result: bulrushchute.ResultUnknown, Reason: bulrushchute.ReasonServerEnded})
				action = machine.Next(100)
			}
			assert.Equal(t, action.Kind, bulrushattempt.ActionSend)
			machine.Refuse(action.Attempt, bulrushchute.ReasonQuarantined, 30_000)
			final := machine.Next(100)
			assert.Equal(t, final.Kind, bulrushattempt.ActionFinish)
			assert.Equal(t, final.FinalResult.Outcome, tc.want)
			assert.Equal(t, final.FinalResult.RetryAfter, 30*bulrushchute.Second)
		})
	}
}

// Guards against a frequent good request that becomes suspect at each crash, on the
// node whose server crashed or on another one that has just answered it.
func TestRecentlyAnsweredIsNotSuspect(t *testing.T) {
	cases := map[string]func(a *admission, attempt bulrushchute.Attempt, now bulrushchute.Millis){
		"own server crashed": func(a *admission, attempt bulrushchute.Attempt, _ bulrushchute.Millis) {
			assert.Assert(t, a.quarantine.start(attempt, trialPermit{}) == nil)
			a.quarantine.recordEnd(0, false)
		},
		"another server crashed": func(a *admission, attempt bulrushchute.Attempt, now bulrushchute.Millis) {
			a.quarantine.apply(now, "other", reportAgainst(attempt, now, false))
		},
	}
	for name, crash := range cases {
		t.Run(name, func(t *testing.T) {
			a, clock, _ := newTestAdmission(t, answerOK)
			attempt := attemptTo("board", 1, clock)
			assert.Assert(t, a.serve(t.Context(), attempt).Answer != nil)
			attempt.ID = bulrushchute.AttemptID{2}
			crash(a, attempt, clock.Now())
			_, assessment := a.quarantine.assessAtEntry(clock.Now(), attempt)
			assert.Equal(t, assessment.Verdict, bulrushquarantine.Free)
		})
	}
}

// Guards against a report that was left out for lack of room and is never taken, so
// that an entry node sends requests of other services in vain until a restart.
func TestLeftOutReportIsTakenLater(t *testing.T) {
	const reports, contents = 2_000, 64
	n := newTestNode("a")
	now := bulrushchute.Millis(1_000_000)
	publish := func(number int, version uint64, report bulrushquarantine.Report) bulrushchute.Record {
		value, err := report.Encode()
		assert.NilError(t, err)
		record := bulrushchute.Record{
			Key:     bulrushchute.RecordKey{Topic: bulrushchute.TopicQuarantine, Name: strconv.Itoa(number)},
			Version: bulrushchute.RecordVersion{Counter: version},
			Value:   value,
		}
		n.control.membership.Table().Publish(now, record)
		return record
	}
	for number := range reports {
		crash := bulrushquarantine.Crash{ID: bulrushquarantine.CrashID(number + 1), At: now}
		for i := range contents {
			crash.Contents = append(crash.Contents, bulrushquarantine.Content{byte(number), byte(number >> 8), byte(i)})
		}
		n.control.onQuarantine(now, publish(number, uint64(now), bulrushquarantine.Report{Service: "other", Crashes: []bulrushquarantine.Crash{crash}}))
	}
	last := bulrushquarantine.Content{byte((reports - 1) & 0xff), byte((reports - 1) >> 8), 0}
	assert.Equal(t, n.quarantine.ledger.Assess(now, last).Verdict, bulrushquarantine.Free)
	for number := range reports / 2 {
		n.control.onQuarantine(now, publish(number, uint64(now)+1, bulrushquarantine.Report{}))
	}
	now += bulrushchute.Minute
	n.control.forgetReports(now)
	assert.Equal(t, n.quarantine.ledger.Assess(now, last).Verdict, bulrushquarantine.Suspect)
}
