package bulrushmove_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmove"
)

var (
	moveSeeds   = flag.Int("moveseeds", 2, "number of seeds per simulated case")
	moveWorkers = flag.Int("moveworkers", 4, "number of simulations run concurrently")
)

// simulationSummary aggregates the results of one case.
type simulationSummary struct {
	runs, completed, rolledBack, overOnePercent int
	reasons                                     []string
	// badPercents holds the percentage of requests that were bad in each run.
	badPercents      []float64
	badRequestCounts []float64
	detectionSeconds []float64
}

func (s *simulationSummary) add(result simulationResult) {
	s.runs++
	switch result.outcome {
	case bulrushmove.OutcomeCompleted:
		s.completed++
	case bulrushmove.OutcomeRolledBack:
		s.rolledBack++
		s.reasons = append(s.reasons, result.reason)
	}
	badPercent := 100 * result.badRequests / result.requests
	if badPercent >= 1 {
		s.overOnePercent++
	}
	s.badPercents = append(s.badPercents, badPercent)
	s.badRequestCounts = append(s.badRequestCounts, result.badRequests)
	s.detectionSeconds = append(s.detectionSeconds, float64(result.detectionTime)/1000)
}

func medianAndMax(values []float64) (median, maximum float64) {
	slices.Sort(values)
	return values[len(values)/2], values[len(values)-1]
}

func (s *simulationSummary) String() string {
	percent, maxPercent := medianAndMax(s.badPercents)
	count, maxCount := medianAndMax(s.badRequestCounts)
	seconds, maxSeconds := medianAndMax(s.detectionSeconds)
	return fmt.Sprintf("runs=%d rolled_back=%d completed=%d over_1_percent=%d bad_share_percent=%.3f/%.3f bad_requests=%.0f/%.0f detection_s=%.0f/%.0f",
		s.runs, s.rolledBack, s.completed, s.overOnePercent, percent, maxPercent, count, maxCount, seconds, maxSeconds)
}

// simulateSeeds runs a case with each seed.
func simulateSeeds(run moveSimulation, seeds int) *simulationSummary {
	var (
		s     simulationSummary
		mutex sync.Mutex
		group sync.WaitGroup
	)
	next := make(chan uint64)
	for range *moveWorkers {
		group.Go(func() {
			for seed := range next {
				seeded := run
				seeded.seed = seed
				result := seeded.run()
				mutex.Lock()
				s.add(result)
				mutex.Unlock()
			}
		})
	}
	for seed := range seeds {
		next <- uint64(seed)
	}
	close(next)
	group.Wait()
	return &s
}

var badVersions = map[string]fault{
	"errors 5%":        {answerProfile: answerProfile{failureRate: 0.05}, routes: 4},
	"errors 20%":       {answerProfile: answerProfile{failureRate: 0.2}, routes: 4},
	"errors 100%":      {answerProfile: answerProfile{failureRate: 1}, routes: 4},
	"latency 2x":       {answerProfile: answerProfile{slowdown: 2}, routes: 4},
	"latency 5x":       {answerProfile: answerProfile{slowdown: 5}, routes: 4},
	"one route 20%":    {answerProfile: answerProfile{failureRate: 0.2}, routes: 1},
	"one route 5x":     {answerProfile: answerProfile{slowdown: 5}, routes: 1},
	"after 10 min 20%": {answerProfile: answerProfile{failureRate: 0.2}, routes: 4, startsAfter: 10 * bulrushchute.Minute},
	"after 10 min 5x":  {answerProfile: answerProfile{slowdown: 5}, routes: 4, startsAfter: 10 * bulrushchute.Minute},
	"above 20% load":   {answerProfile: answerProfile{failureRate: 0.2}, routes: 4, minLoad: 0.2},
}

// trafficRates are requests per second, each with the duration of the move.
var trafficRates = []struct {
	rate     int
	duration bulrushchute.Millis
	// decisive is set if 1% of the requests suffice to detect a failure rate of
	// 5%. At 1 request per second, 1% of an hour's requests is 36; at that failure
	// rate, none of them fails in 16 of 100 moves.
	decisive bool
}{
	{rate: 1, duration: bulrushchute.Hour},
	{rate: 1, duration: 8 * bulrushchute.Hour},
	{rate: 10, duration: bulrushchute.Hour},
	{rate: 100, duration: 10 * bulrushchute.Minute, decisive: true},
	{rate: 100, duration: bulrushchute.Hour, decisive: true},
	{rate: 10_000, duration: bulrushchute.Hour, decisive: true},
}

// Guards against bad versions that are not rolled back, or that get 1% of the
// requests before the rollback although the traffic allows an earlier decision.
func TestBadVersions(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(badVersions)) {
		for _, r := range trafficRates {
			if badVersions[name].startsAfter >= r.duration {
				// The move ends before the version turns bad.
				continue
			}
			s := simulateSeeds(moveSimulation{rate: r.rate, duration: r.duration, fault: badVersions[name]}, *moveSeeds)
			t.Logf("case=%q rate=%d span_s=%d %v", name, r.rate, r.duration/bulrushchute.Second, s)
			assert.Assert(t, s.rolledBack == s.runs || !r.decisive, "%s at %d/s: %v", name, r.rate, s)
			assert.Assert(t, s.overOnePercent == 0 || !r.decisive, "%s at %d/s: %v", name, r.rate, s)
		}
	}
}

// Guards against good versions that are rolled back or not completed in time
// because of noise: latency changes of both versions and bursts on one of them.
func TestGoodVersions(t *testing.T) {
	for _, r := range trafficRates {
		for _, long := range []bool{false, true} {
			s := simulateSeeds(moveSimulation{rate: r.rate, duration: r.duration, longBursts: long}, *moveSeeds)
			t.Logf("case=good rate=%d span_s=%d long_bursts=%t runs=%d rolled_back=%d completed=%d reasons=%q",
				r.rate, r.duration/bulrushchute.Second, long, s.runs, s.rolledBack, s.completed, s.reasons)
			assert.Equal(t, s.completed, s.runs, "at %d/s", r.rate)
		}
	}
}
