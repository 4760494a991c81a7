package bulrushmove_test

import (
	"context"
	"math"
	"math/rand/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmove"
)

// profile says how a version answers on one route.
type profile struct {
	failureRate float64
	slowdown    float64
}

// fault is how the new version differs from the old one.
type fault struct {
	profile
	// routes is the number of routes affected, counted from the first.
	routes int
	// after is the time from the move's start.
	after bulrushchute.Millis
	// load is the part of the service's rate above which the fault shows.
	load float64
}

func (f fault) active(route int, elapsed bulrushchute.Millis, share int) bool {
	return route < f.routes && elapsed >= f.after && float64(share) > f.load*bulrushmove.FullShare
}

const (
	fakeRoutes = 4
	// Outcomes of requests common to all runs: 1 in 1,000 fails, latencies are
	// lognormal with a median of 10 ms.
	fakeFailureRate = 0.001
	fakeMedianMs    = 10
	fakeSigma       = 0.6
	// Noise: the service's latency follows a wave of 30%, and in each second
	// each version meets, once in 300 s, a burst that makes a third of its
	// answers 3 times slower for up to 2 s, or up to 5 s with long bursts.
	burstChance   = 1.0 / 300
	burstSlowdown = 3
	burstPart     = 1.0 / 3
	shortBurst    = 2
	longBurst     = 5
)

// outcomes draws counts for one second.
type outcomes struct {
	random *rand.Rand
	bursts [2]int
	// longest is the longest burst in seconds.
	longest int
	tables  map[int]*[bulrushmove.BucketCount]float64
}

func (o *outcomes) burst(version int) bool {
	if o.bursts[version] > 0 {
		o.bursts[version]--
		return true
	}
	if o.random.Float64() < burstChance {
		o.bursts[version] = o.random.IntN(o.longest)
		return true
	}
	return false
}

func (o *outcomes) draw(requests int, p profile, burst bool) bulrushmove.Counts {
	counts := bulrushmove.Counts{Requests: float64(requests)}
	failures := o.binomial(requests, p.failureRate)
	counts.Failures = float64(failures)
	slowed := 0
	if burst {
		slowed = o.binomial(requests-failures, burstPart)
	}
	o.latencies(&counts, slowed, p.slowdown*burstSlowdown)
	o.latencies(&counts, requests-failures-slowed, p.slowdown)
	return counts
}

// latencies spreads answers over the buckets, one binomial draw for each, which
// is the multinomial distribution.
func (o *outcomes) latencies(counts *bulrushmove.Counts, answers int, slowdown float64) {
	if answers < 40 {
		for range answers {
			latency := fakeMedianMs * slowdown * math.Exp(fakeSigma*o.random.NormFloat64())
			counts.Latencies[bulrushmove.BucketOf(latency)]++
		}
		return
	}
	left := answers
	for bucket, chance := range o.chances(slowdown) {
		drawn := o.binomial(left, chance)
		counts.Latencies[bucket] += float64(drawn)
		left -= drawn
		if left == 0 {
			return
		}
	}
}

// chances returns for each bucket the chance of a latency that is not in an
// earlier one. Slowdowns are rounded to 1%, so that few tables are computed.
func (o *outcomes) chances(slowdown float64) *[bulrushmove.BucketCount]float64 {
	key := int(math.Round(100 * math.Log(slowdown)))
	if known, ok := o.tables[key]; ok {
		return known
	}
	table := &[bulrushmove.BucketCount]float64{}
	median := fakeMedianMs * math.Exp(float64(key)/100)
	below := 0.0
	for bucket := range table {
		upTo := normalBelow(math.Log(bulrushmove.BucketBoundMs(bucket)/median) / fakeSigma)
		table[bucket] = 1
		if below < 1 {
			table[bucket] = min((upTo-below)/(1-below), 1)
		}
		below = upTo
	}
	o.tables[key] = table
	return table
}

func normalBelow(x float64) float64 {
	return math.Erfc(-x/math.Sqrt2) / 2
}

// binomial draws by geometric gaps where the mean is small, and from the normal
// approximation elsewhere.
func (o *outcomes) binomial(n int, p float64) int {
	if n <= 0 || p <= 0 {
		return 0
	}
	if p >= 1 {
		return n
	}
	if p > 0.5 {
		return n - o.binomial(n, 1-p)
	}
	mean := float64(n) * p
	if mean < 30 {
		hits, at, scale := 0, 0, math.Log1p(-p)
		for {
			at += 1 + int(math.Log(1-o.random.Float64())/scale)
			if at > n {
				return hits
			}
			hits++
		}
	}
	drawn := math.Round(mean + math.Sqrt(mean*(1-p))*o.random.NormFloat64())
	return int(min(max(drawn, 0), float64(n)))
}

// memoryStore is a store that answers at once.
type memoryStore struct {
	objects  map[string]bulrushchute.Object
	revision uint64
	creates  map[string]int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[string]bulrushchute.Object{}, creates: map[string]int{}}
}

func (ms *memoryStore) call(call bulrushmove.StoreCall) bulrushmove.StoreResult {
	key := string(call.Object.Kind) + "/" + call.Object.Name
	known, found := ms.objects[key]
	result := bulrushmove.StoreResult{ID: call.ID}
	switch {
	case call.Operation == bulrushmove.StoreGet && found:
		result.Object = known
	case call.Operation != bulrushmove.StoreCreate && !found:
		result.Err = &bulrushchute.NotFoundError{Kind: call.Object.Kind, Name: call.Object.Name}
	case call.Operation == bulrushmove.StoreCreate && found:
		result.Err = &bulrushchute.ExistsError{Kind: call.Object.Kind, Name: call.Object.Name}
	case call.Operation == bulrushmove.StoreUpdate && known.Version != call.Object.Version:
		result.Err = &bulrushchute.ConflictError{Kind: call.Object.Kind, Name: call.Object.Name, Version: call.Object.Version}
	default:
		ms.revision++
		stored := call.Object
		stored.Version = ms.revision
		ms.objects[key] = stored
		ms.creates[key]++
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

// unavailable is the error of a call without effect, lost that of a call whose
// effect is not known.
var (
	errUnavailable = &bulrushchute.UnavailableError{Operation: "call", Cause: context.DeadlineExceeded}
	errLost        = &bulrushchute.AmbiguousError{Operation: "call", Cause: context.DeadlineExceeded}
)

const (
	fakeService = bulrushchute.Service("routes")
	fakeStart   = bulrushchute.Millis(1_000_000)
)

func fakeMove(generation uint64, span bulrushchute.Millis) bulrushcatalogue.Move {
	return bulrushcatalogue.Move{Generation: generation, FromVersion: "1", ToVersion: "2", CompleteByMs: fakeStart + span}
}

// moveRun is one move under a fake of request outcomes: a few counts a second,
// without servers, nodes or messages.
type moveRun struct {
	rate  int
	span  bulrushchute.Millis
	fault fault
	seed  uint64
	// longBursts makes the noise worse.
	longBursts bool
}

// moveResult is what became of it.
type moveResult struct {
	outcome bulrushmove.Outcome
	reason  string
	// requests is the service's total until the outcome, bad those that the
	// new version got while its fault was active.
	requests, bad float64
	// detection is the time from the first bad request to the roll-back.
	detection bulrushchute.Millis
	ended     bulrushchute.Millis
	stage     int
}

// run simulates second by second. It feeds the controller whole reports, as
// the sum of all admission nodes.
func (mr moveRun) run() moveResult {
	o := &outcomes{
		random: rand.New(rand.NewPCG(mr.seed, 1)),
		tables: map[int]*[bulrushmove.BucketCount]float64{},

		longest: shortBurst,
	}
	if mr.longBursts {
		o.longest = longBurst
	}
	splitter := bulrushmove.NewSplitter(o.random)
	store := newMemoryStore()
	move := fakeMove(1, mr.span)
	c := bulrushmove.NewController(fakeService, "a")
	c.SetMove(&move)
	var result moveResult
	var shares bulrushmove.Shares
	var firstBad bulrushchute.Millis
	var sequence uint64
	for now := fakeStart; now <= move.CompleteByMs+bulrushchute.Minute; now += bulrushchute.Second {
		c.SetLease(now + 10*bulrushchute.Second)
		c.SetServers(now, bulrushmove.Servers{Old: 3, New: 3})
		shares = settle(c, now, store, shares)
		if state, ok := c.State(); ok && state.Outcome != bulrushmove.OutcomeNone {
			result.outcome, result.reason = state.Outcome, state.Reason
			result.ended = now - fakeStart
			if firstBad != 0 {
				result.detection = now - firstBad
			}
			return result
		}
		share := shares.Of(fakeService, 1)
		bad := mr.second(o, splitter, c, now, share, &sequence)
		result.requests += float64(mr.rate)
		result.bad += bad
		if bad > 0 && firstBad == 0 {
			firstBad = now
		}
		if state, ok := c.State(); ok {
			result.stage = state.Stage
		}
	}
	return result
}

// second draws one second of requests and reports them.
func (mr moveRun) second(o *outcomes, splitter *bulrushmove.Splitter, c *bulrushmove.Controller, now bulrushchute.Millis, share int, sequence *uint64) float64 {
	elapsed := now - fakeStart
	wave := 1.15 + 0.15*math.Sin(float64(elapsed)/float64(10*bulrushchute.Minute)*2*math.Pi)
	bursts := [2]bool{o.burst(0), o.burst(1)}
	var perRoute [fakeRoutes][2]int
	if mr.rate <= 100 {
		for range mr.rate {
			version := 0
			if splitter.Next(share) {
				version = 1
			}
			perRoute[o.random.IntN(fakeRoutes)][version]++
		}
	} else {
		for route := range perRoute {
			taken := o.binomial(mr.rate/fakeRoutes, float64(share)/bulrushmove.FullShare)
			perRoute[route] = [2]int{mr.rate/fakeRoutes - taken, taken}
		}
	}
	bad := 0.0
	for route, requests := range perRoute {
		for version, count := range requests {
			p := profile{failureRate: fakeFailureRate, slowdown: wave}
			if version == 1 && mr.fault.active(route, elapsed, share) {
				p = profile{failureRate: max(mr.fault.failureRate, fakeFailureRate), slowdown: wave * max(mr.fault.slowdown, 1)}
				bad += float64(count)
			}
			if count > 0 {
				*sequence++
				c.AddEvidence("n", report(route, version, *sequence, o.draw(count, p, bursts[version])))
			}
		}
	}
	return bad
}

func report(route, version int, sequence uint64, counts bulrushmove.Counts) bulrushchute.Evidence {
	evidence := bulrushchute.Evidence{
		Service:    fakeService,
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

// settle ticks a controller and makes its store calls until it is at rest.
func settle(c *bulrushmove.Controller, now bulrushchute.Millis, store *memoryStore, shares bulrushmove.Shares) bulrushmove.Shares {
	actions := c.Tick(now)
	for len(actions) > 0 {
		var next []bulrushmove.Action
		for _, action := range actions {
			if action.Publish != nil {
				shares, _ = shares.With(*action.Publish)
			} else {
				next = append(next, c.Stored(now, store.call(*action.Store))...)
				next = append(next, c.Tick(now)...)
			}
		}
		actions = next
	}
	return shares
}
