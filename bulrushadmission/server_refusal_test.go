package bulrushadmission

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

// Guards against a delay after which a full server is still full, and against one that
// a server with free slots does not need.
func TestServerRefusalDelay(t *testing.T) {
	cases := map[string]struct {
		load        bulrushchute.Load
		least, most bulrushchute.Millis
	}{
		"slots free":    {bulrushchute.Load{InFlight: 3, Limit: 8, ServiceMs: 200}, 20, 60},
		"full":          {bulrushchute.Load{InFlight: 8, Limit: 8, ServiceMs: 400}, 70, 110},
		"full, queue":   {bulrushchute.Load{InFlight: 8, Limit: 8, Queued: 7, ServiceMs: 400}, 420, 460},
		"names a limit": {bulrushchute.Load{InFlight: 1, Limit: 8, ServiceMs: 200, FreeAfter: 300}, 300, 300},
		"takes nothing": {bulrushchute.Load{}, 1000, 1000},
		"leaves":        {bulrushchute.Load{InFlight: 1, Limit: 8, Leaving: true}, 1000, 1000},
		"very slow":     {bulrushchute.Load{InFlight: 8, Limit: 8, Queued: 16, ServiceMs: 5000}, 1000, 1000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for _, draw := range []float64{0, 0.5, 0.999} {
				delay := ServerRefusalDelay(tc.load, draw)
				assert.Assert(t, delay >= tc.least && delay <= tc.most, "%d", delay)
			}
		})
	}
}

// Replays the load of a service of which all servers refuse 55% of the requests for
// 8.5 s although they have slots free, at callers that come back once and want an
// answer within 600 ms. Guards against callers that are sent away for so long that
// their second request is late: without any second request 45% are in time, and with
// one at once 70%.
func TestCallersOfSheddingServersAreInTime(t *testing.T) {
	const (
		shedRate    = 0.55
		requests    = 5000
		objectiveMs = 600
		workMs      = 160
		slots       = 8
		wantInTime  = 0.66
	)
	random := rand.New(rand.NewPCG(1, 1))
	inTime := 0
	for range requests {
		load := bulrushchute.Load{InFlight: 1 + random.IntN(slots-2), Limit: slots, ServiceMs: workMs}
		elapsedMs := 0.0
		for range 2 {
			if random.Float64() >= shedRate {
				if elapsedMs+workMs*(0.5+2*random.Float64()) <= objectiveMs {
					inTime++
				}
				break
			}
			elapsedMs += float64(ServerRefusalDelay(load, random.Float64()))
		}
	}
	assert.Assert(t, float64(inTime) >= wantInTime*requests, "%d of %d in time", inTime, requests)
}
