package bulrushmove

import (
	"math"

	"bulrushchute.example/bulrushchute"
)

// clearedAlternative is the index in alternatives of the hypothesis against which a
// version is cleared, that it is bad on a fifth of its requests.
const clearedAlternative = 1

// The new version of an ordered move gets all requests only once it is cleared, that
// is, once the evidence for a good version has reached these strengths. A version that
// is bad on a fifth of its requests is cleared with a probability of at most
// exp(-clearedNats) = 0.03. stageClearedNats is for the last stage before all
// requests, which in a short move is the first one under high load. On a main route,
// which may have few of the requests, the evidence must not point to a bad version.
const (
	clearedNats      = 3.5
	stageClearedNats = 1.6
)

// clearance accumulates the evidence that the new version is good.
type clearance struct {
	// moveNats and stageNats are log-likelihood ratios of a bad version against a good
	// one, over the whole move and over the current stage.
	moveNats, stageNats float64
}

func (c *clearance) startStage() {
	c.stageNats = 0
}

func (c *clearance) add(step increments) {
	c.moveNats += step[clearedAlternative]
	c.stageNats += step[clearedAlternative]
}

// Cleared reports whether the evidence shows that the new version is good. A lack of
// evidence against it is not enough. Requests that are still running count with their
// age, because the answers of a slow version that are known first are the fast ones.
func (j *Judge) Cleared() bool {
	running := j.runningNats()
	if j.clearance.moveNats+running > -clearedNats || j.clearance.stageNats+running > -stageClearedNats || j.Suspicious() {
		return false
	}
	for _, evidence := range j.mainRoutes() {
		if evidence.clearance.moveNats > 0 {
			return false
		}
	}
	return true
}

type runningKey struct {
	node  bulrushchute.InstanceID
	route string
}

// runningAges is a node's last report on running requests.
type runningAges struct {
	ages [BucketCount]float64
	// steps is the number of steps of the judge since the report.
	steps int
}

// runningExpirySteps is the number of steps after which a node is taken to be gone
// that reported running requests and nothing since.
const runningExpirySteps = 12

// SetRunning replaces the ages of the requests of the new version that run on a node.
func (j *Judge) SetRunning(node bulrushchute.InstanceID, route string, ages []uint32) {
	key := runningKey{node: node, route: route}
	if len(ages) == 0 {
		delete(j.running, key)
		return
	}
	var running runningAges
	copyBuckets(&running.ages, ages)
	j.running[key] = running
}

func (j *Judge) expireRunning() {
	for key, running := range j.running {
		running.steps++
		if running.steps > runningExpirySteps {
			delete(j.running, key)
			continue
		}
		j.running[key] = running
	}
}

// runningNats returns the log-likelihood ratio of the running requests. A request that
// has run for longer than most of the old version's is likely to end as a bad one.
func (j *Judge) runningNats() float64 {
	nats := 0.0
	for key, running := range j.running {
		baseline := &j.evidenceFor(key.route).baseline
		tolerated, known := baseline.toleratedBadRate(j.share >= FullShare, j.pooledBadRate)
		if !known {
			continue
		}
		badRate := tolerated + float64((1-tolerated)*alternatives[clearedAlternative])
		for bucket, count := range running.ages {
			if count > 0 {
				longer := baseline.longTerm.fractionFrom(bucket)
				nats += float64(count * math.Log((badRate+float64((1-badRate)*longer))/(tolerated+float64((1-tolerated)*longer))))
			}
		}
	}
	return nats
}

// mayServeAll reports whether the new version may get all requests: it is cleared, or
// the limit of its requests leaves room for all of the service's requests.
func (c *Controller) mayServeAll(now bulrushchute.Millis, state State) bool {
	if !state.ordered() || c.judge.Cleared() {
		return true
	}
	return !c.judge.Suspicious() && c.exposureCoversAll(now, state)
}
