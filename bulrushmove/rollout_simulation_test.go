package bulrushmove_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmove"
)

// Times of a simulated rollout.
const (
	rolloutStep       = 10 * bulrushchute.Millisecond
	rolloutTick       = 50 * bulrushchute.Millisecond
	rolloutReport     = 250 * bulrushchute.Millisecond
	rolloutSpread     = 100 * bulrushchute.Millisecond
	rolloutStoreDelay = 40 * bulrushchute.Millisecond
	rolloutRenewal    = bulrushchute.Second
	rolloutLease      = 3 * bulrushchute.Second
	rolloutTakeover   = 3500 * bulrushchute.Millisecond
	// rolloutStart is the time from the order to the start of the new version's
	// servers, which are cold for rolloutWarm.
	rolloutStart = 1300 * bulrushchute.Millisecond
	rolloutWarm  = 3 * bulrushchute.Second
	// rolloutDeadline is the deadline of each request.
	rolloutDeadline = 2 * bulrushchute.Second
)

// versionFault describes how the new version differs from the old one.
type versionFault struct {
	// failureRate and slowRate are the fractions of its requests that fail and that
	// take slowdown times as long.
	failureRate, slowRate, slowdown float64
	// minRunning is the number of requests on a server from which the fault shows.
	minRunning int
	// after is the time from the start of its servers to the onset of the fault.
	after bulrushchute.Millis
	// onlyRoute limits the fault to the route of this index plus 1, 0 for all.
	onlyRoute int
}

// rollout simulates an ordered move request by request, with the delays of reports,
// records and store calls.
type rollout struct {
	seed     uint64
	ratePerS float64
	within   bulrushchute.Millis
	// oldServers is the number of servers of the old version, and of the new one.
	oldServers int
	slots      int
	// routeShares are the fractions of the requests on each route.
	routeShares []float64
	fault       versionFault
	// failureRate is the fraction of failures of both versions.
	failureRate float64
	// The store is silent for storeDownFor from storeDownFrom after the order.
	storeDownFrom, storeDownFor bulrushchute.Millis
	// holderLostAt is the time after the order at which the holder is lost, 0 for
	// never. Another one acquires its lease.
	holderLostAt bulrushchute.Millis
}

// rolloutResult counts the requests until the outcome or the deadline of the order.
type rolloutResult struct {
	requests, newRequests, badAnswers int
	// afterBad counts the new version's requests later than rollbackLimit after the
	// badAnswerLimit-th bad answer.
	afterBad int
	outcome  bulrushmove.Outcome
}

// Limits that the operators set: a bad version may get a tenth of the requests and
// exposureSlack more, and none later than rollbackLimit after it has given
// badAnswerLimit bad answers.
const (
	exposureRatio  = 0.1
	exposureSlack  = 50
	badAnswerLimit = 50
	rollbackLimit  = 5 * bulrushchute.Second
)

func (r rolloutResult) withinExposure() bool {
	return float64(r.newRequests) <= exposureRatio*float64(r.requests)+exposureSlack && r.afterBad == 0
}

type runningRequest struct {
	id      bulrushchute.AttemptID
	endsAt  bulrushchute.Millis
	server  int
	version bulrushchute.Version
	sample  bulrushmove.Sample
	bad     bool
}

type delayedRecord struct {
	at     bulrushchute.Millis
	record bulrushmove.ShareRecord
}

type delayedCall struct {
	at     bulrushchute.Millis
	call   bulrushmove.StoreCall
	failed bool
}

// rolloutRun is the state of a simulated rollout.
type rolloutRun struct {
	rollout
	random     *rand.Rand
	now        bulrushchute.Millis
	move       bulrushcatalogue.Move
	store      *memoryStore
	controller *bulrushmove.Controller
	// holder is the node of the controller, reportedTo that of the last reports.
	holder     bulrushchute.InstanceID
	reportedTo bulrushchute.InstanceID
	recorder   *bulrushmove.Recorder
	splitter   *bulrushmove.Splitter
	shares     bulrushmove.Shares
	records    []delayedRecord
	calls      []delayedCall
	running    []runningRequest
	perServer  map[int]int
	quotas     map[int]*bulrushmove.Quota
	leaseUntil bulrushchute.Millis
	badLimitAt bulrushchute.Millis
	result     rolloutResult
}

func (r rollout) run() rolloutResult {
	run := &rolloutRun{
		rollout:   r,
		random:    rand.New(rand.NewPCG(r.seed, 7)),
		move:      bulrushcatalogue.Move{Generation: 1, ToVersion: "2", WithinMs: r.within},
		store:     newMemoryStore(),
		perServer: map[int]int{},
		quotas:    map[int]*bulrushmove.Quota{},
	}
	for server := range r.oldServers {
		run.quotas[server] = &bulrushmove.Quota{}
	}
	run.recorder = bulrushmove.NewRecorder(testService, run.move)
	run.splitter = bulrushmove.NewSplitter(run.random)
	run.startHolder("a")
	for run.now = testStart; run.now < testStart+r.within && run.result.outcome == bulrushmove.OutcomeNone; run.now += rolloutStep {
		run.step()
	}
	return run.result
}

func (r *rolloutRun) startHolder(node bulrushchute.InstanceID) {
	r.holder = node
	r.controller = bulrushmove.NewController(testService, node)
	r.controller.SetMove(&r.move)
	r.calls = nil
}

func (r *rolloutRun) elapsed() bulrushchute.Millis {
	return r.now - testStart
}

func (r *rolloutRun) storeDown() bool {
	return r.elapsed() >= r.storeDownFrom && r.elapsed() < r.storeDownFrom+r.storeDownFor
}

func (r *rolloutRun) step() {
	r.finishRequests()
	r.applyRecords()
	for range r.arrivals() {
		r.send()
	}
	r.renewLease()
	if r.elapsed()%rolloutReport == 0 {
		r.report()
	}
	r.completeCalls()
	if r.elapsed()%rolloutTick == 0 {
		r.controller.SetLease(r.leaseUntil)
		r.controller.SetServers(r.now, r.servers())
		r.apply(r.controller.Tick(r.now))
	}
}

// renewLease renews the holder's lease. After the loss of the holder, another one
// acquires it once it has expired.
func (r *rolloutRun) renewLease() {
	lost := r.holderLostAt > 0 && r.elapsed() >= r.holderLostAt
	if r.elapsed() == r.holderLostAt && lost {
		r.startHolder("b")
		r.leaseUntil = 0
	}
	acquirable := !lost || r.elapsed() >= r.holderLostAt+rolloutTakeover
	if r.elapsed()%rolloutRenewal == 0 && !r.storeDown() && acquirable {
		r.leaseUntil = r.now + rolloutLease
	}
}

// report sends the evidence to the holder, and all of it to a new one.
func (r *rolloutRun) report() {
	if r.leaseUntil == 0 {
		return
	}
	reports := r.recorder.TakeReports(r.now)
	if r.holder != r.reportedTo {
		reports = r.recorder.TakeAllReports(r.now)
		r.reportedTo = r.holder
	}
	for _, report := range reports {
		r.controller.AddEvidence("n", report)
	}
}

func (r *rolloutRun) servers() bulrushmove.ServerCounts {
	servers := bulrushmove.ServerCounts{Old: r.oldServers}
	if r.elapsed() >= rolloutStart {
		servers.New = r.oldServers
		for server := range r.oldServers {
			servers.Candidates = append(servers.Candidates, serverID(server))
		}
	}
	return servers
}

func serverID(server int) bulrushchute.InstanceID {
	return bulrushchute.InstanceID(fmt.Sprint("s", server))
}

func (r *rolloutRun) apply(actions []bulrushmove.Action) {
	for _, action := range actions {
		if action.Publish != nil {
			r.records = append(r.records, delayedRecord{at: r.now + rolloutSpread, record: *action.Publish})
			continue
		}
		delay := rolloutStoreDelay
		if r.storeDown() {
			delay = bulrushchute.Second
		}
		r.calls = append(r.calls, delayedCall{at: r.now + delay, call: *action.Store, failed: r.storeDown()})
	}
}

func (r *rolloutRun) completeCalls() {
	for len(r.calls) > 0 && r.calls[0].at <= r.now {
		call := r.calls[0]
		r.calls = r.calls[1:]
		result := bulrushmove.StoreResult{ID: call.call.ID, Err: errLost}
		if !call.failed {
			result = r.store.call(call.call)
		}
		r.apply(r.controller.HandleStoreResult(r.now, result))
	}
	if state, ok := r.controller.State(); ok {
		r.result.outcome = state.Outcome
	}
}

func (r *rolloutRun) applyRecords() {
	for len(r.records) > 0 && r.records[0].at <= r.now {
		r.shares, _ = r.shares.WithRecord(r.records[0].record)
		r.records = r.records[1:]
	}
}

// arrivals draws the number of requests of one step.
func (r *rolloutRun) arrivals() int {
	count, product, limit := 0, r.random.Float64(), math.Exp(-r.ratePerS*float64(rolloutStep)/float64(bulrushchute.Second))
	for product > limit {
		count++
		product *= r.random.Float64()
	}
	return count
}

func (r *rolloutRun) route() int {
	at := r.random.Float64()
	for i, share := range r.routeShares {
		if at -= share; at < 0 {
			return i
		}
	}
	return 0
}

func routeName(route int) string {
	return string(rune('a' + route))
}

func (r *rolloutRun) send() {
	r.result.requests++
	request := runningRequest{server: -1, version: "1"}
	binary.BigEndian.PutUint64(request.id[:], uint64(r.result.requests))
	route := r.route()
	if r.elapsed() >= rolloutStart && r.splitter.NextIsNew(r.shares.ShareOf(testService, 1)) {
		if server, free := r.freeServer(); free {
			request.server, request.version = server, "2"
			r.perServer[server]++
			r.countNew()
		}
	}
	r.draw(&request, route)
	r.recorder.Started(r.now, request.id, request.version, request.sample.Route)
	r.running = append(r.running, request)
}

func (r *rolloutRun) countNew() {
	r.result.newRequests++
	if r.badLimitAt > 0 && r.now > r.badLimitAt+rollbackLimit {
		r.result.afterBad++
	}
}

// freeServer returns the server of the new version with the fewest requests, or
// false if none may receive the request.
func (r *rolloutRun) freeServer() (int, bool) {
	best, found := 0, false
	for server := range r.oldServers {
		granted, limited := r.shares.GrantOf(testService, 1, serverID(server))
		if (!limited || granted > 0) && (!found || r.perServer[server] < r.perServer[best]) {
			best, found = server, true
		}
	}
	if !found || r.perServer[best] >= r.slots {
		return best, false
	}
	granted, limited := r.shares.GrantOf(testService, 1, serverID(best))
	return best, !limited || r.quotas[best].Take(1, granted)
}

// draw determines when and how a request ends.
func (r *rolloutRun) draw(request *runningRequest, route int) {
	const medianMs, sigma, noiseRate, noiseFactor = 220, 0.3, 0.02, 3
	latencyMs := medianMs * math.Exp(sigma*r.random.NormFloat64())
	if r.random.Float64() < noiseRate {
		latencyMs *= noiseFactor
	}
	failed := r.random.Float64() < r.failureRate
	sinceStart := r.elapsed() - rolloutStart
	warming := request.version == "2" && sinceStart < rolloutWarm
	if warming {
		latencyMs *= 1.5
	}
	if request.version == "2" && r.fault.shows(route, sinceStart, r.perServer[request.server]) {
		if r.random.Float64() < r.fault.failureRate {
			failed, request.bad = true, true
		}
		if r.random.Float64() < r.fault.slowRate {
			latencyMs *= r.fault.slowdown
			request.bad = true
		}
	}
	if latencyMs > float64(rolloutDeadline) {
		latencyMs, failed = float64(rolloutDeadline), true
	}
	request.endsAt = r.now + bulrushchute.Millis(latencyMs)
	request.sample = bulrushmove.Sample{
		Version: request.version, Route: routeName(route), Failed: failed, ElapsedMs: latencyMs, Warming: warming,
	}
}

func (vf versionFault) shows(route int, sinceStart bulrushchute.Millis, running int) bool {
	onRoute := vf.onlyRoute == 0 || vf.onlyRoute == route+1
	return onRoute && sinceStart >= vf.after && running >= vf.minRunning
}

func (r *rolloutRun) finishRequests() {
	remaining := r.running[:0]
	for _, request := range r.running {
		if request.endsAt > r.now {
			remaining = append(remaining, request)
			continue
		}
		if request.server >= 0 {
			r.perServer[request.server]--
		}
		if request.bad {
			r.result.badAnswers++
			if r.result.badAnswers == badAnswerLimit {
				r.badLimitAt = r.now
			}
		}
		r.recorder.Ended(request.id)
		r.recorder.Observe(request.sample)
	}
	r.running = remaining
}
