package bulrushmove

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

func newShortJudge() *Judge {
	judge := NewJudge(HolderThreshold)
	judge.SetShort(shortHolderThreshold)
	return judge
}

// runShortMove feeds a judge the evidence of a short move of the given duration: 30
// requests per second, of which the new version gets the given fraction. It stops
// once the new version is found bad, and returns the number of its requests and
// whether it was found bad.
func runShortMove(random *rand.Rand, shareFraction, newFailureRate, newSlowRate float64, seconds int) (int, bool) {
	judge := newShortJudge()
	judge.SetShare(int(shareFraction * FullShare))
	newRequests := 0
	for range seconds * int(bulrushchute.Second/shortEvidencePeriod) {
		for range int(30 * shortEvidencePeriod / bulrushchute.Second) {
			counts := Counts{Requests: 1}
			isNew := random.Float64() < shareFraction
			failureRate, slowRate := 0.005, 0.0
			if isNew {
				failureRate, slowRate = newFailureRate, newSlowRate
			}
			latencyMs := 160 + 80*random.Float64()
			if random.Float64() < slowRate {
				latencyMs *= 6
			}
			if random.Float64() < failureRate {
				counts.Failures = 1
			} else {
				counts.Latencies[BucketOf(latencyMs)] = 1
			}
			if isNew {
				newRequests++
				judge.AddNew("views", counts)
			} else {
				judge.AddOld("views", counts)
			}
		}
		if judge.Step().Bad {
			return newRequests, true
		}
	}
	return newRequests, false
}

// Guards against a bad version that gets more than a tenth of the requests of a
// 14 s move plus 50, 92 in total, before it is found bad, and against good versions
// that are rolled back.
func TestShortMovesFindBadVersions(t *testing.T) {
	cases := map[string]struct {
		badRate, slowRate float64
		wantBad           bool
	}{
		"fails 45%":     {0.45, 0, true},
		"fails 30%":     {0.3, 0, true},
		"is slow 45%":   {0.005, 0.45, true},
		"good":          {0.005, 0, false},
		"fails at once": {1, 0, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			const runs = 200
			wrong := 0
			for seed := range uint64(runs) {
				newRequests, bad := runShortMove(rand.New(rand.NewPCG(seed, 1)), 0.2, tc.badRate, tc.slowRate, 14)
				if bad != tc.wantBad || tc.wantBad && newRequests > 92 {
					wrong++
				}
			}
			assert.Assert(t, wrong <= runs/50, "%d of %d", wrong, runs)
		})
	}
}

// Guards against a short move that is judged with the bounds of long moves on
// routes that the judge knew before SetShort: those stored by a previous holder,
// and those of evidence that arrived before the move's state.
func TestShortMovesOnKnownRoutes(t *testing.T) {
	cases := map[string]func(*Judge){
		"restored": func(j *Judge) { j.RestoreBaselines(map[string]Baseline{"views": {}}) },
		"reported": func(j *Judge) { j.AddOld("views", Counts{}) },
	}
	run := func(judge *Judge) (Baseline, Finding) {
		judge.SetShare(FullShare / 5)
		random := rand.New(rand.NewPCG(1, 1))
		old := Counts{Requests: 200}
		for range 200 {
			old.Latencies[BucketOf(200*random.ExpFloat64())]++
		}
		judge.AddOld("views", old)
		judge.AddNew("views", Counts{Requests: 10, Failures: 10})
		finding := judge.Step()
		return judge.Baselines()["views"], finding
	}
	wantBaseline, wantFinding := run(newShortJudge())
	for name, addRoute := range cases {
		t.Run(name, func(t *testing.T) {
			judge := NewJudge(HolderThreshold)
			addRoute(judge)
			judge.SetShort(shortHolderThreshold)
			baseline, finding := run(judge)
			assert.DeepEqual(t, baseline, wantBaseline)
			assert.DeepEqual(t, finding, wantFinding)
		})
	}
}

// Guards against an ordered move whose stages do not fit in before its time limit.
func TestShortStagesFitBeforeTheTimeLimit(t *testing.T) {
	for _, within := range []bulrushchute.Millis{10_000, 12_000, 14_000, 16_000, 40_000} {
		move := bulrushcatalogue.Move{Generation: 1, ToVersion: "v2", WithinMs: within}
		state := State{}.withMove("board", move, 1000, 1000)
		assert.Assert(t, state.short())
		for next := 2; next <= state.lastStage(); next++ {
			assert.Assert(t, state.latestStart(next) > state.latestStart(next-1))
		}
		assert.Assert(t, state.latestStart(state.lastStage())+state.minStageDuration() <= state.completeAt(), "within %d", within)
		assert.Assert(t, state.completeAt() < 1000+within)
	}
}

// Guards against a high-load stage that ends before the failures under its load are
// known. An answer ends up to 1.1 s after its request, the deadline of most
// requests, and is reported and judged within two evidence periods.
func TestHighLoadStageOutlastsAnswers(t *testing.T) {
	const maxAnswerTime = 1100 * bulrushchute.Millisecond
	for _, within := range []bulrushchute.Millis{12_000, 12_800, 14_000, 16_000} {
		move := bulrushcatalogue.Move{Generation: 1, ToVersion: "v2", WithinMs: within}
		const startupMs = 1750 // until the new version's servers have started
		state := State{}.withMove("board", move, 1000, 1000).withStage(1, 1000+startupMs)
		highLoad, last := state.stages()[2], state.stages()[3]
		duration := state.timeAt(last.earliest) - state.timeAt(highLoad.earliest)
		assert.Assert(t, duration >= maxAnswerTime+2*state.evidencePeriod(), "within %d: %d", within, duration)
	}
}

// Guards against a good version that is rolled back because its servers could not
// take all of the share of the high-load stage, so that the rest of the requests
// ran on the old version. The counts are those of a run of
// deploy/days/rollout_good.toml in the deployment hanga-kigali with --seed 4,
// 3.3 s into that stage.
func TestHighLoadOverflowIsNotUnderreported(t *testing.T) {
	cases := map[string]struct {
		old, reported float64
		want          bool
	}{
		"overflows":           {old: 94, reported: 133, want: false},
		"refuses connections": {old: 178, reported: 0, want: true},
		"answers hardly any":  {old: 170, reported: 8, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			judge := newShortJudge()
			judge.SetShare(8500)
			judge.AddOld("views", Counts{Requests: tc.old})
			judge.AddNew("views", Counts{Requests: tc.reported})
			judge.Step()
			assert.Equal(t, judge.Suspicious(), tc.want)
		})
	}
}

// Guards against a holder that treats a move as short while the nodes that report
// to it treat it as long, or the reverse.
func TestHolderAndNodesAgreeOnShort(t *testing.T) {
	for _, within := range []bulrushchute.Millis{2000, 14_000, 59_999, 60_000, 61_000, 61_500, 62_000} {
		move := bulrushcatalogue.Move{Generation: 1, ToVersion: "v2", WithinMs: within}
		assert.Equal(t, State{}.withMove("board", move, 1000, 1000).short(), isShort(move), "within %d", within)
	}
}

// Guards against a small share that is spread over so many servers of the new
// version that none of them gets an ordinary load.
func TestCanaryServers(t *testing.T) {
	cases := map[string]struct{ share, old, want int }{
		"few servers, small share":  {600, 3, 1},
		"few servers, large share":  {8500, 3, 1},
		"many servers, small share": {600, 40, 1},
		"many servers, large share": {8500, 40, 13},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, CanaryServers(tc.share, tc.old), tc.want)
		})
	}
}
