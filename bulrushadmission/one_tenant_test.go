package bulrushadmission

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// decisionTrace drives a controller with random events of all kinds and hashes what it
// decides.
func decisionTrace(tenant bulrushchute.Tenant, seed uint64) (hash uint64, admitted int) {
	random := rand.New(rand.NewPCG(seed, 9))
	now := bulrushchute.Millis(1_700_000_000_000)
	c := New(now, Settings{Limits: bulrushcatalogue.Limits{Slots: 6, Queue: 8, ColdPerS: 60}})
	c.BackendStarted(now, Announcement{Slots: 6})
	sum := fnv.New64a()
	var running []bulrushchute.AttemptID
	apply := func(releases []Release) {
		_, _ = fmt.Fprintln(sum, now, releases, c.NextTick())
		for _, release := range releases {
			if release.Admitted {
				running = append(running, release.ID)
			}
		}
	}
	for n := range uint64(20_000) {
		now += bulrushchute.Millis(random.IntN(6))
		switch random.IntN(12) {
		case 0:
			apply(c.ObserveLoad(now, bulrushchute.BackendLoad{Slots: 6, Slowdown: 1 + 3*float64(now/700%2)}))
		case 1:
			apply(c.ObserveCold(now, now/3000%2*100))
		case 2:
			perS := 50.0
			if now/5000%2 == 0 {
				apply(c.ObserveNamedLimit(now, &perS, true))
			} else {
				apply(c.ObserveNamedLimit(now, nil, true))
			}
		case 3:
			apply(c.Cancel(now, attemptID(random.Uint64N(n+1))))
		case 4, 5, 6:
			if len(running) > 0 {
				i := random.IntN(len(running))
				id := running[i]
				running = append(running[:i], running[i+1:]...)
				apply(c.Done(now, id, Result{Kind: bulrushchute.ResultAnswered, ElapsedMs: 5 + 20*random.Float64()}))
			}
		case 7:
			apply(c.Tick(now))
		default:
			decision := c.Offer(now, Request{
				ID: attemptID(n), Route: "r", Tenant: tenant, Class: bulrushchute.Class(random.IntN(3)),
				Deadline: now + bulrushchute.Millis(random.IntN(1000)), Insist: random.IntN(2) == 0,
			})
			if decision.Verdict == Admitted {
				running = append(running, attemptID(n))
				admitted++
			}
			_, _ = fmt.Fprintln(sum, decision.Verdict, decision.Refusal)
			apply(decision.Releases)
		}
	}
	return sum.Sum64(), admitted
}

// Guards against a change of any decision where all requests are of one tenant, or of
// none. The hashes were recorded before shares between tenants had an effect on the
// cold rate and on holds. They change with every change that concerns all requests.
func TestDecisionsWithOneTenant(t *testing.T) {
	// Seeds and the hashes of their decisions.
	recorded := map[uint64]uint64{1: 3296066696325938715, 2: 4498136574018600013, 3: 885960843418740243}
	for _, tenant := range []bulrushchute.Tenant{"", "a"} {
		for seed, expected := range recorded {
			hash, admitted := decisionTrace(tenant, seed)
			assert.Assert(t, admitted > 200, "%d requests admitted", admitted)
			assert.Equal(t, hash, expected, "seed %d", seed)
		}
	}
}
