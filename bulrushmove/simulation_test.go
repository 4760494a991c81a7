package bulrushmove_test

import (
	"context"
	"math"
	"math/rand/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmove"
)

// answerProfile describes a version's answers on one route.
type answerProfile struct {
	failureRate float64
	slowdown    float64
}

// fault describes how the new version differs from the old one.
type fault struct {
	answerProfile
	// routes is the number of affected routes, counted from the first.
	routes int
	// startsAfter is the time from the move's start to the onset of the fault.
	startsAfter bulrushchute.Millis
	// minLoad is the new version's fraction of the requests above which the fault
	// occurs.
	minLoad float64
}

func (f fault) active(route int, elapsed bulrushchute.Millis, share int) bool {
	return route < f.routes && elapsed >= f.startsAfter && float64(share) > f.minLoad*bulrushmove.FullShare
}

const (
	testRoutes = 4
	// In all runs 1 in 1,000 requests fails, and the latencies are lognormal with
	// a median of 10 ms.
	baseFailureRate = 0.001
	baseMedianMs    = 10
	baseSigma       = 0.6
	// Noise: the service's latency follows a sine wave between 1 and 1.3 times its
	// base. On average once in 300 s, each version has a burst that makes a third
	// of its answers 3 times slower for up to 2 s, or up to 5 s with long bursts.
	burstChance       = 1.0 / 300
	burstSlowdown     = 3
	burstFraction     = 1.0 / 3
	shortBurstSeconds = 2
	longBurstSeconds  = 5
)

// trafficGenerator draws random request counts, second by second.
type trafficGenerator struct {
	random           *rand.Rand
	burstSecondsLeft [2]int
	maxBurstSeconds  int
	bucketChances    map[int]*[bulrushmove.BucketCount]float64
}

// burst reports whether the version has a burst in the next second.
func (g *trafficGenerator) burst(version int) bool {
	if g.burstSecondsLeft[version] > 0 {
		g.burstSecondsLeft[version]--
		return true
	}
	if g.random.Float64() < burstChance {
		g.burstSecondsLeft[version] = g.random.IntN(g.maxBurstSeconds)
		return true
	}
	return false
}

func (g *trafficGenerator) draw(requests int, p answerProfile, burst bool) bulrushmove.Counts {
	counts := bulrushmove.Counts{Requests: float64(requests)}
	failures := g.binomial(requests, p.failureRate)
	counts.Failures = float64(failures)
	slowed := 0
	if burst {
		slowed = g.binomial(requests-failures, burstFraction)
	}
	g.drawLatencies(&counts, slowed, p.slowdown*burstSlowdown)
	g.drawLatencies(&counts, requests-failures-slowed, p.slowdown)
	return counts
}

// drawLatencies distributes the answers over the buckets. One binomial draw per
// bucket yields a multinomial distribution.
func (g *trafficGenerator) drawLatencies(counts *bulrushmove.Counts, answers int, slowdown float64) {
	if answers < 40 {
		for range answers {
			latency := baseMedianMs * slowdown * math.Exp(baseSigma*g.random.NormFloat64())
			counts.Latencies[bulrushmove.BucketOf(latency)]++
		}
		return
	}
	remaining := answers
	for bucket, chance := range g.bucketChancesFor(slowdown) {
		drawn := g.binomial(remaining, chance)
		counts.Latencies[bucket] += float64(drawn)
		remaining -= drawn
		if remaining == 0 {
			return
		}
	}
}

// bucketChancesFor returns, for each bucket, the probability of a latency in it
// given that the latency is in no earlier bucket. Slowdowns are rounded to 1%, so
// that few tables are computed.
func (g *trafficGenerator) bucketChancesFor(slowdown float64) *[bulrushmove.BucketCount]float64 {
	key := int(math.Round(100 * math.Log(slowdown)))
	if cached, ok := g.bucketChances[key]; ok {
		return cached
	}
	table := &[bulrushmove.BucketCount]float64{}
	median := baseMedianMs * math.Exp(float64(key)/100)
	lowerCDF := 0.0
	for bucket := range table {
		upperCDF := normalCDF(math.Log(bulrushmove.BucketBoundMs(bucket)/median) / baseSigma)
		table[bucket] = 1
		if lowerCDF < 1 {
			table[bucket] = min((upperCDF-lowerCDF)/(1-lowerCDF), 1)
		}
		lowerCDF = upperCDF
	}
	g.bucketChances[key] = table
	return table
}

func normalCDF(x float64) float64 {
	return math.Erfc(-x/math.Sqrt2) / 2
}

// binomial draws from a binomial distribution: with geometric gaps if the mean is
// small, otherwise with the normal approximation.
func (g *trafficGenerator) binomial(n int, p float64) int {
	if n <= 0 || p <= 0 {
		return 0
	}
	if p >= 1 {
		return n
	}
	if p > 0.5 {
		return n - g.binomial(n, 1-p)
	}
	mean := float64(n) * p
	if mean < 30 {
		successes, position, scale := 0, 0, math.Log1p(-p)
		for {
			position += 1 + int(math.Log(1-g.random.Float64())/scale)
			if position > n {
				return successes
			}
			successes++
		}
	}
	drawn := math.Round(mean + math.Sqrt(mean*(1-p))*g.random.NormFloat64())
	return int(min(max(drawn, 0), float64(n)))
}

// memoryStore is an in-memory store whose calls complete immediately.
type memoryStore struct {
	objects  map[string]bulrushchute.Object
	revision uint64
	writes   map[string]int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[string]bulrushchute.Object{}, writes: map[string]int{}}
}

func (ms *memoryStore) call(call bulrushmove.StoreCall) bulrushmove.StoreResult {
	key := string(call.Object.Kind) + "/" + call.Object.Name
	existing, found := ms.objects[key]
	result := bulrushmove.StoreResult{ID: call.ID}
	switch {
	case call.Operation == bulrushmove.StoreGet && found:
		result.Object = existing
	case call.Operation != bulrushmove.StoreCreate && !found:
		result.Err = &bulrushchute.NotFoundError{Kind: call.Object.Kind, Name: call.Object.Name}
	case call.Operation == bulrushmove.StoreCreate && found:
		result.Err = &bulrushchute.ExistsError{Kind: call.Object.Kind, Name: call.Object.Name}
	case call.Operation == bulrushmove.StoreUpdate && existing.Version != call.Object.Version:
		result.Err = &bulrushchute.ConflictError{Kind: call.Object.Kind, Name: call.Object.Name, Version: call.Object.Version}
	default:
		ms.revision++
		stored := call.Object
		stored.Version = ms.revision
		ms.objects[key] = stored
		ms.writes[key]++
		result.Object = stored
	}
	return result
}

func (ms *memoryStore) events() []string {
	var names []string
	for _, object := range ms.objects {
		if object.Kind == bulrushchute.KindEvents {
			names = append(names, object.Name)
		}
	}
	return names
}

// errUnavailable is the error of a call without effect, errLost that of a call
// whose effect is unknown.
var (
	errUnavailable = &bulrushchute.UnavailableError{Operation: "call", Cause: context.DeadlineExceeded}
	errLost        = &bulrushchute.AmbiguousError{Operation: "call", Cause: context.DeadlineExceeded}
)

const (
	testService = bulrushchute.Service("routes")
	testStart   = bulrushchute.Millis(1_000_000)
)

func testMove(generation uint64, duration bulrushchute.Millis) bulrushcatalogue.Move {
	return bulrushcatalogue.Move{Generation: generation, FromVersion: "1", ToVersion: "2", CompleteByMs: testStart + duration}
}

// moveSimulation simulates one move with random request counts per second, without
// servers, nodes or messages.
type moveSimulation struct {
	// rate is the service's number of requests per second.
	rate     int
	duration bulrushchute.Millis
	fault    fault
	seed     uint64
	// longBursts selects longBurstSeconds instead of shortBurstSeconds.
	longBursts bool
}

type simulationResult struct {
	outcome bulrushmove.Outcome
	reason  string
	// requests is the service's total until the outcome, badRequests the number
	// that the new version got while its fault was active.
	requests, badRequests float64
	// detectionTime is the time from the first bad request to the outcome.
	detectionTime bulrushchute.Millis
	endedAfter    bulrushchute.Millis
	stage         int
}

// run simulates the move second by second. Each report to the controller is the sum
// of those of all admission nodes.
func (m moveSimulation) run() simulationResult {
	g := &trafficGenerator{
		random:        rand.New(rand.NewPCG(m.seed, 1)),
		bucketChances: map[int]*[bulrushmove.BucketCount]float64{},

		maxBurstSeconds: shortBurstSeconds,
	}
	if m.longBursts {
		g.maxBurstSeconds = longBurstSeconds
	}
	splitter := bulrushmove.NewSplitter(g.random)
	store := newMemoryStore()
	move := testMove(1, m.duration)
	controller := bulrushmove.NewController(testService, "a")
	controller.SetMove(&move)
	var result simulationResult
	var shares bulrushmove.Shares
	var firstBad bulrushchute.Millis
	var sequence uint64
	for now := testStart; now <= move.CompleteByMs+bulrushchute.Minute; now += bulrushchute.Second {
		controller.SetLease(now + 10*bulrushchute.Second)
		controller.SetServers(now, bulrushmove.ServerCounts{Old: 3, New: 3})
		shares = runUntilIdle(controller, now, store, shares)
		if state, ok := controller.State(); ok && state.Outcome != bulrushmove.OutcomeNone {
			result.outcome, result.reason = state.Outcome, state.Reason
			result.endedAfter = now - testStart
			if firstBad != 0 {
				result.detectionTime = now - firstBad
			}
			return result
		}
		share := shares.ShareOf(testService, 1)
		bad := m.simulateSecond(g, splitter, controller, now, share, &sequence)
		result.requests += float64(m.rate)
		result.badRequests += bad
		if bad > 0 && firstBad == 0 {
			firstBad = now
		}
		if state, ok := controller.State(); ok {
			result.stage = state.Stage
		}
	}
	return result
}

// simulateSecond draws one second of requests, reports them and returns the number
// of bad ones.
func (m moveSimulation) simulateSecond(g *trafficGenerator, splitter *bulrushmove.Splitter, controller *bulrushmove.Controller, now bulrushchute.Millis, share int, sequence *uint64) float64 {
	elapsed := now - testStart
	wave := 1.15 + 0.15*math.Sin(float64(elapsed)/float64(10*bulrushchute.Minute)*2*math.Pi)
	bursts := [2]bool{g.burst(0), g.burst(1)}
	var perRoute [testRoutes][2]int
	if m.rate <= 100 {
		for range m.rate {
			version := 0
			if splitter.NextIsNew(share) {
				version = 1
			}
			perRoute[g.random.IntN(testRoutes)][version]++
		}
	} else {
		for route := range perRoute {
			toNew := g.binomial(m.rate/testRoutes, float64(share)/bulrushmove.FullShare)
			perRoute[route] = [2]int{m.rate/testRoutes - toNew, toNew}
		}
	}
	bad := 0.0
	for route, requests := range perRoute {
		for version, count := range requests {
			p := answerProfile{failureRate: baseFailureRate, slowdown: wave}
			if version == 1 && m.fault.active(route, elapsed, share) {
				p = answerProfile{failureRate: max(m.fault.failureRate, baseFailureRate), slowdown: wave * max(m.fault.slowdown, 1)}
				bad += float64(count)
			}
			if count > 0 {
				*sequence++
				controller.AddEvidence("n", report(route, version, *sequence, g.draw(count, p, bursts[version])))
			}
		}
	}
	return bad
}

func report(route, version int, sequence uint64, counts bulrushmove.Counts) bulrushchute.Evidence {
	evidence := bulrushchute.Evidence{
		Service:    testService,
		Generation: 1,
		Version:    []bulrushchute.Version{"1", "2"}[version],
		Route:      string(rune('a' + route)),
		Requests:   int(counts.Requests),
		Failures:   int(counts.Failures),
		Latencies:  make([]uint32, bulrushmove.BucketCount),
		Sequence:   sequence,
	}
	for i, count := range counts.Latencies {
		evidence.Latencies[i] = uint32(count)
	}
	return evidence
}

// runUntilIdle ticks a controller and performs its actions until it returns none.
func runUntilIdle(controller *bulrushmove.Controller, now bulrushchute.Millis, store *memoryStore, shares bulrushmove.Shares) bulrushmove.Shares {
	actions := controller.Tick(now)
	for len(actions) > 0 {
		var next []bulrushmove.Action
		for _, action := range actions {
			if action.Publish != nil {
				shares, _ = shares.WithRecord(*action.Publish)
			} else {
				next = append(next, controller.HandleStoreResult(now, store.call(*action.Store))...)
				next = append(next, controller.Tick(now)...)
			}
		}
		actions = next
	}
	return shares
}
