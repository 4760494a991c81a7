package bulrushmove

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	// HolderThreshold is the decision threshold for the holder of a move. The
	// target is at most 1 in 1,000 good moves rolled back, over all routes,
	// measures and steps. At the tolerated rate, each test reaches the threshold
	// within an hour of steps with a probability of at most
	// (1 + 3,600 x changeWeight) / 2e4 = 2.3e-4; for versions that perform alike,
	// the tolerance keeps the probability far below that. With a threshold of 1e5,
	// a rollback took about 10% more bad requests.
	HolderThreshold = 2e4
	// BrakeThreshold is the decision threshold for an entry node. It is higher
	// because thousands of entry nodes test the same version.
	BrakeThreshold = 1e8
	// suspiciousNats is the strength of a finding from which the share is not
	// raised further, although the finding is too weak for a rollback.
	suspiciousNats = 5.0
	// shortHolderThreshold and shortBrakeThreshold replace the thresholds for a
	// move of less than a minute, which has only dozens of requests to detect a
	// bad version. About 1 in 150 good moves may be rolled back by chance.
	shortHolderThreshold = 250
	shortBrakeThreshold  = 1e4
	// highLoadShare is the share, in basis points, above which a short move puts a
	// high load on a few servers, see CanaryServers.
	highLoadShare = FullShare / 2
	// shortSuspiciousNats is suspiciousNats for a short move.
	shortSuspiciousNats = 2.0
)

// Measure identifies a property by which a version is judged.
type Measure string

// Measures.
const (
	MeasureFailures Measure = "failures"
	MeasureLatency  Measure = "latency"
	// MeasureRequests counts the requests that fail or are very slow together. It is
	// used for short moves only, and for servers that are warming up or under high
	// load too.
	MeasureRequests Measure = "requests"
)

// AllRoutes names the test that combines the evidence of all routes, each
// compared with its own baseline. It detects faults for which every single route
// has too little evidence. Routes beyond the first maxRoutes are also counted
// together under this name.
const AllRoutes = "*"

// Finding is the strongest evidence against the new version.
type Finding struct {
	Route   string
	Measure Measure
	// Nats is the natural logarithm of the test statistic.
	Nats float64
	// Bad is set when Nats reaches the threshold. A judge keeps its first bad
	// finding.
	Bad bool
}

// String formats the finding for stored reasons and logs.
func (f Finding) String() string {
	return fmt.Sprintf("route=%s measure=%s nats=%.1f", f.Route, f.Measure, f.Nats)
}

// Judge compares the new version of a move with the old one. Counts are added as
// they arrive; Step, called once per evidence period, updates the tests.
type Judge struct {
	thresholdNats float64
	routes        map[string]*routeEvidence
	// combined holds the tests of AllRoutes.
	combined  stagedTests
	clearance clearance
	// running holds the ages of the requests that run on the new version, by the node
	// that reported them and route.
	running map[runningKey]runningAges
	// share is the new version's share in basis points. At FullShare the baselines
	// are frozen, since the old version gets no requests.
	share   int
	finding Finding
	// short is set for a short move, see shortMoveLimit.
	short bool
	// granted is the number of requests that the new version may have received
	// until now, if limited is set.
	granted int
	limited bool
	// pooledBadRate is the rate of the old version's bad requests on all routes.
	pooledBadRate float64
}

// measureTests holds one sequential test per measure.
type measureTests struct {
	failures sequentialTest
	latency  sequentialTest
	requests sequentialTest
}

// stagedTests holds the tests of the whole move, and for a short move those of the
// current stage. A version that is bad only under load has a good history, which
// the tests of the stage do not know.
type stagedTests struct {
	move  measureTests
	stage measureTests
}

// measureIncrements holds the increments of one step per measure.
type measureIncrements struct {
	failures, latency, requests increments
}

// routeEvidence holds the evidence of both versions on one route.
type routeEvidence struct {
	baseline baselineTracker
	// pending holds the counts added since the last Step, indexed by oldVersion
	// and newVersion.
	pending [2]Counts
	tests   stagedTests
	// clearance is the evidence for a good version on this route.
	clearance clearance
	// oldRequests and newRequests count the requests of the old and the new version
	// in all stages, newFailures those of the new version that failed.
	oldRequests float64
	newRequests float64
	newFailures float64
	// stageNewRequests and stageOldRequests count the requests of the new and the
	// old version since StartStage.
	stageNewRequests float64
	stageOldRequests float64
}

const (
	oldVersion = iota
	newVersion
)

// NewJudge returns a judge that finds a version bad when a test statistic reaches
// the threshold.
func NewJudge(threshold float64) *Judge {
	return &Judge{thresholdNats: math.Log(threshold), routes: map[string]*routeEvidence{}, combined: newStagedTests(), running: map[runningKey]runningAges{}}
}

func newMeasureTests() measureTests {
	return measureTests{
		failures: newSequentialTest(maxFailureNats),
		latency:  newSequentialTest(maxLatencyNats),
		requests: newSequentialTest(maxFailureNats),
	}
}

func newStagedTests() stagedTests {
	return stagedTests{move: newMeasureTests(), stage: newMeasureTests()}
}

// RestoreBaselines sets the baselines stored by a previous holder.
func (j *Judge) RestoreBaselines(baselines map[string]Baseline) {
	for route, stored := range baselines {
		evidence := j.evidenceFor(route)
		evidence.baseline.restored = stored
		evidence.baseline.current = stored
	}
}

// Baselines returns the current baseline of each route, to be stored with the move.
func (j *Judge) Baselines() map[string]Baseline {
	baselines := make(map[string]Baseline, len(j.routes))
	for name, evidence := range j.routes {
		if evidence.baseline.current.Requests > 0 {
			baselines[name] = evidence.baseline.current
		}
	}
	return baselines
}

// SetShort makes the judge decide on fewer requests, with the given threshold.
// Further calls have no effect.
func (j *Judge) SetShort(threshold float64) {
	if !j.short {
		j.short = true
		j.thresholdNats = math.Log(threshold)
	}
}

// SetShare sets the new version's share in basis points.
func (j *Judge) SetShare(share int) {
	j.share = share
}

// SetGranted sets the number of requests that the new version may have received
// until now. It has no effect unless limited is set.
func (j *Judge) SetGranted(requests int, limited bool) {
	j.granted, j.limited = requests, limited
}

// AddOld adds counts of the old version for the next Step.
func (j *Judge) AddOld(route string, counts Counts) {
	j.evidenceFor(route).pending[oldVersion].add(counts)
}

// AddNew adds counts of the new version for the next Step.
func (j *Judge) AddNew(route string, counts Counts) {
	j.evidenceFor(route).pending[newVersion].add(counts)
}

func (j *Judge) evidenceFor(name string) *routeEvidence {
	if evidence, ok := j.routes[name]; ok {
		return evidence
	}
	if len(j.routes) >= maxRoutes {
		name = AllRoutes
	}
	if j.routes[name] == nil {
		j.routes[name] = &routeEvidence{tests: newStagedTests()}
	}
	return j.routes[name]
}

// StartStage resets the request counts and the tests of the stage.
func (j *Judge) StartStage() {
	for _, evidence := range j.routes {
		evidence.stageNewRequests, evidence.stageOldRequests = 0, 0
		evidence.tests.stage = newMeasureTests()
	}
	j.combined.stage = newMeasureTests()
	j.clearance.startStage()
}

// Step updates the tests with the counts added since the last call and returns
// the strongest finding. Once a finding is bad, it is kept.
func (j *Judge) Step() Finding {
	var combined measureIncrements
	updated := false
	strongest := Finding{Nats: math.Inf(-1)}
	j.expireRunning()
	j.updatePooledBadRate()
	for _, name := range slices.Sorted(maps.Keys(j.routes)) {
		evidence := j.routes[name]
		if increase, updatedRoute := j.stepRoute(evidence); updatedRoute {
			updated = true
			combined.add(increase)
		}
		strongest = strongest.orStronger(evidence.tests.finding(name, j.short))
	}
	if updated {
		j.combined.step(combined, j.short)
		j.clearance.add(combined.requests)
	}
	strongest = strongest.orStronger(j.combined.finding(AllRoutes, j.short))
	strongest.Bad = strongest.Nats >= j.thresholdNats
	if !j.finding.Bad {
		j.finding = strongest
	}
	return j.finding
}

// highLoad reports whether the new version's servers get more than an ordinary
// load, under which a good version is slower too.
func (j *Judge) highLoad() bool {
	return j.short && j.share > highLoadShare && j.share < FullShare
}

// Finding returns the result of the last Step.
func (j *Judge) Finding() Finding {
	return j.finding
}

// stepRoute updates a route's tests with its pending counts and returns their
// increments, or false if the new version had no requests.
func (j *Judge) stepRoute(re *routeEvidence) (measureIncrements, bool) {
	frozen := j.share >= FullShare
	re.baseline.step(&re.pending[oldVersion], j.short)
	re.oldRequests += re.pending[oldVersion].Requests
	re.stageOldRequests += re.pending[oldVersion].Requests
	counts := re.pending[newVersion]
	re.pending = [2]Counts{}
	if counts.Requests == 0 {
		return measureIncrements{}, false
	}
	re.newRequests += counts.Requests
	re.newFailures += counts.Failures
	re.stageNewRequests += counts.Requests
	var step measureIncrements
	step.failures = incrementsOf(counts.Failures, counts.Requests, re.baseline.toleratedFailureRate(frozen))
	if tolerated, known := re.baseline.toleratedSlowRate(frozen); known && !j.highLoad() {
		step.latency = incrementsOf(counts.latenciesAbove(re.baseline.current.BoundBucket), counts.answers(), tolerated)
	}
	if tolerated, known := re.baseline.toleratedBadRate(frozen, j.pooledBadRate); known {
		step.requests = incrementsOf(counts.badRequests(re.baseline.current.VerySlowBucket), counts.Requests, tolerated)
	}
	re.tests.step(step, j.short)
	re.clearance.add(step.requests)
	return step, true
}

// updatePooledBadRate updates the rate from the baselines of the last step.
func (j *Judge) updatePooledBadRate() {
	bad, requests := 1.0, 1.0
	for _, name := range slices.Sorted(maps.Keys(j.routes)) {
		current := j.routes[name].baseline.current
		bad += current.Bad
		requests += current.Requests
	}
	j.pooledBadRate = bad / requests
}

func (mi *measureIncrements) add(other measureIncrements) {
	mi.failures.add(other.failures)
	mi.latency.add(other.latency)
	mi.requests.add(other.requests)
}

func (st *stagedTests) step(step measureIncrements, short bool) {
	st.move.step(step, short)
	st.stage.step(step, short)
}

func (m *measureTests) step(step measureIncrements, short bool) {
	m.failures.step(step.failures, short)
	m.latency.step(step.latency, short)
	m.requests.step(step.requests, short)
}

func (st *stagedTests) finding(route string, short bool) Finding {
	finding := st.move.finding(route, short)
	if short {
		finding = finding.orStronger(st.stage.finding(route, short))
	}
	return finding
}

func (m *measureTests) finding(route string, short bool) Finding {
	finding := Finding{Route: route, Measure: MeasureFailures, Nats: m.failures.nats()}
	finding = finding.orStronger(Finding{Route: route, Measure: MeasureLatency, Nats: m.latency.nats()})
	if short {
		finding = finding.orStronger(Finding{Route: route, Measure: MeasureRequests, Nats: m.requests.nats()})
	}
	return finding
}

func (f Finding) orStronger(other Finding) Finding {
	if other.Nats > f.Nats {
		return other
	}
	return f
}

const (
	// minRouteRequests is the number of requests of the new version on a route
	// that detects a failure rate of 5% almost surely: reaching HolderThreshold
	// takes about 130 on average.
	minRouteRequests = 400
	// minStageRequests is the number of those requests that must belong to the
	// current stage, because a version may be bad only under load, which shows in
	// the stages above 1%.
	minStageRequests = 100
	// A route with at least mainRouteFraction of the old version's requests is a
	// main route, which needs enough evidence of its own.
	mainRouteFraction = 0.1
)

// EnoughEvidence reports whether the share of a version that is not suspicious may
// be raised: every main route had enough requests.
func (j *Judge) EnoughEvidence() bool {
	main := j.mainRoutes()
	for _, evidence := range main {
		if evidence.newRequests < minRouteRequests || evidence.stageNewRequests < minStageRequests {
			return false
		}
	}
	return len(main) > 0
}

// mainRoutes returns the routes with at least mainRouteFraction of the old version's
// requests.
func (j *Judge) mainRoutes() []*routeEvidence {
	totalRequests := 0.0
	for _, evidence := range j.routes {
		totalRequests += evidence.baseline.current.Requests
	}
	var main []*routeEvidence
	for _, evidence := range j.routes {
		if totalRequests > 0 && evidence.baseline.current.Requests >= mainRouteFraction*totalRequests {
			main = append(main, evidence)
		}
	}
	return main
}

// Suspicious reports whether there is evidence against the new version that may be
// too weak to find it bad.
func (j *Judge) Suspicious() bool {
	if j.short {
		return j.finding.Nats >= shortSuspiciousNats || j.underreported()
	}
	return j.finding.Nats >= suspiciousNats || j.underreported()
}

const (
	// minExpectedRequests is the number of requests expected on the new version in
	// the stage, below which missing reports are not significant.
	minExpectedRequests = 20
	// minReportedFraction is the fraction of the expected requests that must be
	// reported.
	minReportedFraction = 0.25
)

// underreported reports whether far fewer requests of the new version were reported
// in this stage than its share should have produced: the version may refuse
// connections, or its reports may be lost. Without this check such a version
// would pass for lack of evidence.
func (j *Judge) underreported() bool {
	if j.share >= FullShare {
		return false
	}
	oldRequests, newRequests, earlierRequests := 0.0, 0.0, 0.0
	for _, evidence := range j.routes {
		oldRequests += evidence.stageOldRequests
		newRequests += evidence.stageNewRequests
		earlierRequests += evidence.newRequests - evidence.stageNewRequests
	}
	expectedRequests := oldRequests * float64(j.share) / float64(FullShare-j.share)
	if j.highLoad() {
		// Requests that exceed the capacity of the loaded servers run on the old
		// version.
		expectedRequests = min(expectedRequests, oldRequests)
	}
	if j.limited {
		expectedRequests = min(expectedRequests, float64(j.granted)-earlierRequests)
	}
	return expectedRequests >= minExpectedRequests && newRequests < minReportedFraction*expectedRequests
}
