package bulrushmove

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// newShortJudge returns a judge of a short move.
func newShortJudge() *Judge {
	judge := NewJudge(HolderLimit)
	judge.SetShort(shortLimit)
	return judge
}

// shortRun feeds a judge the evidence of a short move: 30 requests a second, of
// which the new version gets a share, for some seconds. It returns how many
// requests the new version had when it was found bad, or all with false.
func shortRun(random *rand.Rand, share, badRate, slowRate float64, seconds int) (int, bool) {
	judge := newShortJudge()
	judge.SetShare(int(share * FullShare))
	given := 0
	for range seconds * int(bulrushchute.Second/shortEvidencePeriod) {
		for range int(30 * shortEvidencePeriod / bulrushchute.Second) {
			counts := Counts{Requests: 1}
			isNew := random.Float64() < share
			failure, slow := 0.005, 0.0
			if isNew {
				failure, slow = badRate, slowRate
			}
			latencyMs := 160 + 80*random.Float64()
			if random.Float64() < slow {
				latencyMs *= 6
			}
			if random.Float64() < failure {
				counts.Failures = 1
			} else {
				counts.Latencies[BucketOf(latencyMs)] = 1
			}
			if isNew {
				given++
				judge.AddNew("views", counts)
			} else {
				judge.AddOld("views", counts)
			}
		}
		if judge.Step().Bad {
			return given, true
		}
	}
	return given, false
}

// Guards against a bad version that gets more than a tenth of the requests of
// a move of 14 s and 50 more, 92 in all, before it is found; and against good
// versions that are rolled back.
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
				given, bad := shortRun(rand.New(rand.NewPCG(seed, 1)), 0.2, tc.badRate, tc.slowRate, 14)
				if bad != tc.wantBad || tc.wantBad && given > 92 {
					wrong++
				}
			}
			assert.Assert(t, wrong <= runs/50, "%d of %d", wrong, runs)
		})
	}
}

// Guards against a short move that is judged by the bounds of long ones on the
// routes that the judge met first: those that a former holder stored, and those
// of evidence that arrived before the move's state.
func TestShortMovesOnRoutesMetBefore(t *testing.T) {
	cases := map[string]func(*Judge){
		"restored": func(j *Judge) { j.Restore(map[string]Baseline{"views": {}}) },
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
	for name, meet := range cases {
		t.Run(name, func(t *testing.T) {
			judge := NewJudge(HolderLimit)
			meet(judge)
			judge.SetShort(shortLimit)
			baseline, finding := run(judge)
			assert.DeepEqual(t, baseline, wantBaseline)
			assert.DeepEqual(t, finding, wantFinding)
		})
	}
}

// Guards against an ordered move whose stages do not fit in before its limit.
func TestShortPlanFits(t *testing.T) {
	for _, within := range []bulrushchute.Millis{10_000, 12_000, 14_000, 16_000, 40_000} {
		move := bulrushcatalogue.Move{Generation: 1, ToVersion: "v2", WithinMs: within}
		state := State{}.withMove("board", move, 1000)
		assert.Assert(t, state.short())
		for next := 2; next <= state.lastStage(); next++ {
			assert.Assert(t, state.latestAt(next) > state.latestAt(next-1))
		}
		assert.Assert(t, state.latestAt(state.lastStage())+state.stageTime() <= state.finishAt(), "within %d", within)
		assert.Assert(t, state.finishAt() < 1000+within)
	}
}

// Guards against a trial that ends before what fails under its load is known.
// Answers end up to 1.1 s after their request, the deadline of most, and are
// reported and judged in up to two periods.
func TestTrialOutlastsItsAnswers(t *testing.T) {
	const answers = 1100 * bulrushchute.Millisecond
	for _, within := range []bulrushchute.Millis{12_000, 12_800, 14_000, 16_000} {
		move := bulrushcatalogue.Move{Generation: 1, ToVersion: "v2", WithinMs: within}
		const ready = 1750 // the new version's servers start
		state := State{}.withMove("board", move, 1000).withStage(1, 1000+ready)
		trial, last := state.plan()[2], state.plan()[3]
		lasts := state.at(last.earliest) - state.at(trial.earliest)
		assert.Assert(t, lasts >= answers+2*state.period(), "within %d: %d", within, lasts)
	}
}

// Guards against a good version that is rolled back because its servers could
// not take all of the trial's share, so that the rest ran on the old version.
// The counts are those of rollout_good, hanga, --seed 4, 3.3 s into the trial.
func TestTrialThatOverflowsIsNotSilent(t *testing.T) {
	cases := map[string]struct {
		old, reported float64
		want          bool
	}{
		"overflows":           {old: 94, reported: 133, want: false},
		"refuses connections": {old: 178, reported: 0, want: true},
		"hardly answers":      {old: 170, reported: 8, want: true},
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

// Guards against a holder that takes a move for short while the nodes that
// report to it take it for a long one.
func TestHolderAndNodesAgreeOnShort(t *testing.T) {
	for _, within := range []bulrushchute.Millis{2000, 14_000, 59_999, 60_000, 61_000, 61_500, 62_000} {
		move := bulrushcatalogue.Move{Generation: 1, ToVersion: "v2", WithinMs: within}
		assert.Equal(t, State{}.withMove("board", move, 1000).short(), isShort(move), "within %d", within)
	}
}

// Guards against a small share that is spread so thin that no server of the
// new version ever carries an ordinary load.
func TestTrialServers(t *testing.T) {
	cases := map[string]struct{ share, old, want int }{
		"few servers, small share":  {600, 3, 1},
		"few servers, large share":  {8500, 3, 1},
		"many servers, small share": {600, 40, 1},
		"many servers, large share": {8500, 40, 13},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, TrialServers(tc.share, tc.old), tc.want)
		})
	}
}
