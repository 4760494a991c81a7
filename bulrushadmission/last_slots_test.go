package bulrushadmission

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// simulateOverload offers more requests than a server with 9 slots can serve,
// starting at overloadFrom, and returns the highest number in flight after some
// seconds. A request takes slowdown times as long while the server's last slots
// are in use.
func simulateOverload(slowdown float64, overloadFrom bulrushchute.Millis) (maxInFlight, softSlots int) {
	now := bulrushchute.Millis(1000)
	c := newReportingController(now)
	number := 0
	ends := map[bulrushchute.AttemptID]bulrushchute.Millis{}
	start := func(id bulrushchute.AttemptID) {
		took := float64(fastMs)
		if len(c.running) > c.softSlots() {
			took *= slowdown
		}
		ends[id] = now + bulrushchute.Millis(took)
	}
	for ; now < 12_000; now += 10 {
		var releases []Release
		releases = append(releases, c.ObserveLoad(now, bulrushchute.BackendLoad{Slots: 9, Slowdown: 1})...)
		for id, at := range ends {
			if at <= now {
				delete(ends, id)
				releases = append(releases, c.Done(now, id, Result{Kind: bulrushchute.ResultAnswered})...)
			}
		}
		if now >= overloadFrom || now%100 == 0 {
			number++
			decision := c.Offer(now, testRequest(number, now))
			if decision.Verdict == Admitted {
				start(testRequest(number, now).ID)
			}
			releases = append(releases, decision.Releases...)
		}
		for _, r := range releases {
			if r.Admitted {
				start(r.ID)
			}
		}
		if now > 8000 {
			maxInFlight = max(maxInFlight, len(c.running))
		}
	}
	return maxInFlight, c.softSlots()
}

// Guards against idle slots while requests wait, and against using all slots of
// a server whose throughput drops when they are in use.
func TestLastSlots(t *testing.T) {
	cases := map[string]struct {
		slowdown      float64
		wantLastSlots bool
	}{
		"no slowdown with all slots":     {1, true},
		"slowdown of 1.7 with all slots": {1.7, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			maxInFlight, softSlots := simulateOverload(tc.slowdown, 5000)
			assert.Equal(t, maxInFlight > softSlots, tc.wantLastSlots, "%d in flight", maxInFlight)
		})
	}
}

// Guards against using all slots of a server whose throughput drops when they
// are in use, if it is overloaded from its start and was never seen with fewer
// in use.
func TestLastSlotsFromTheStart(t *testing.T) {
	maxInFlight, softSlots := simulateOverload(1.7, 1000)
	assert.Assert(t, maxInFlight <= softSlots, "%d in flight", maxInFlight)
}
