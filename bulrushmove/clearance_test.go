package bulrushmove

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

func answered(requests, failures float64, latencyMs float64) Counts {
	counts := Counts{Requests: requests, Failures: failures}
	counts.Latencies[BucketOf(latencyMs)] = requests - failures
	return counts
}

// Guards against a version that gets all requests without evidence that it is good:
// on none, on the fast answers of a slow version, or on those of one route only.
func TestClearedOnEvidenceOnly(t *testing.T) {
	cases := map[string]struct {
		views, bills Counts
		running      []uint32
		want         bool
	}{
		"no requests":       {Counts{}, Counts{}, nil, false},
		"few requests":      {answered(6, 0, 200), answered(3, 0, 200), nil, false},
		"good":              {answered(40, 1, 200), answered(20, 0, 200), nil, true},
		"fails":             {answered(40, 12, 200), answered(20, 6, 200), nil, false},
		"very slow":         {answered(40, 0, 900), answered(20, 0, 900), nil, false},
		"one route fails":   {answered(60, 0, 200), answered(20, 8, 200), nil, false},
		"started lately":    {answered(40, 0, 200), answered(20, 0, 200), agesAt(50, 10), true},
		"running for long":  {answered(40, 0, 200), answered(20, 0, 200), agesAt(900, 8), false},
		"one runs for long": {answered(40, 0, 200), answered(20, 0, 200), agesAt(900, 1), true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			judge := newShortJudge()
			judge.SetShare(8500)
			judge.SetGranted(80, true)
			judge.AddOld("views", answered(200, 2, 200))
			judge.AddOld("bills", answered(100, 1, 200))
			judge.Step()
			judge.AddNew("views", tc.views)
			judge.AddNew("bills", tc.bills)
			judge.SetRunning("n", "views", tc.running)
			judge.Step()
			assert.Equal(t, judge.Cleared(), tc.want)
		})
	}
}

func agesAt(ageMs float64, requests uint32) []uint32 {
	ages := make([]uint32, BucketOf(ageMs)+1)
	ages[len(ages)-1] = requests
	return ages
}

// Guards against a node that is gone and whose last report keeps a good version from
// being cleared.
func TestRunningRequestsExpire(t *testing.T) {
	judge := newShortJudge()
	judge.AddOld("views", answered(200, 2, 200))
	judge.Step()
	judge.SetRunning("n", "views", agesAt(900, 8))
	assert.Assert(t, judge.runningNats() > 0)
	for range runningExpirySteps + 1 {
		judge.Step()
	}
	assert.Equal(t, judge.runningNats(), 0.0)
}

// Guards against a fault under load that a good history hides, as in the stage after
// 80 good requests.
func TestFaultUnderLoadAfterGoodHistory(t *testing.T) {
	judge := newShortJudge()
	judge.SetShare(1300)
	judge.AddOld("views", answered(400, 8, 200))
	for range 40 {
		judge.AddNew("views", answered(2, 0, 200))
		judge.Step()
	}
	judge.StartStage()
	judge.SetShare(8500)
	for range 6 {
		judge.AddNew("views", answered(5, 2, 200))
		judge.Step()
	}
	assert.Assert(t, judge.Finding().Bad, judge.Finding().String())
}

// Guards against a recorder that forgets running requests, or that sends a new holder
// only what is new.
func TestRecorderReportsToNewHolder(t *testing.T) {
	recorder := NewRecorder("board", bulrushcatalogue.Move{Generation: 1, FromVersion: "v1", ToVersion: "v2", WithinMs: 14_000})
	id := bulrushchute.AttemptID{1}
	recorder.Started(1000, id, "v2", "views")
	recorder.Observe(Sample{Version: "v2", Route: "views", ElapsedMs: 100, Warming: true})
	recorder.Observe(Sample{Version: "v1", Route: "views", ElapsedMs: 100})
	first := recorder.TakeReports(1200)
	assert.Equal(t, len(first), 2)
	assert.DeepEqual(t, first[1].RunningAges, agesAt(200, 1))
	assert.DeepEqual(t, first[1].WarmingLatencies, agesAt(100, 1))
	assert.Equal(t, len(first[0].RunningAges), 0, "the old version")
	assert.Equal(t, first[1].Requests, 1)
	running := recorder.TakeReports(1400)
	assert.Equal(t, len(running), 1)
	assert.Equal(t, running[0].Requests, 0)
	recorder.Ended(id)
	recorder.Observe(Sample{Version: "v2", Route: "views", Failed: true})
	all := recorder.TakeAllReports(1500)
	assert.Equal(t, all[1].Requests, 2)
	assert.Equal(t, all[1].Failures, 1)
	assert.Equal(t, len(all[1].RunningAges), 0)
	assert.Assert(t, all[1].Sequence > running[0].Sequence)
	assert.Equal(t, len(recorder.TakeReports(1600)), 0)
}
