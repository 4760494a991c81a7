package bulrushmove

import (
	"math"
)

// alternatives are the alternative hypotheses for the rate of bad requests, as
// fractions of the way from the tolerated rate to 1. Testing each of them covers
// slight and total faults without knowing which to expect.
var alternatives = [...]float64{0.05, 0.2, 0.5, 0.9}

// changeWeight is the weight given in each step to the hypothesis that the version
// turns bad in this step. It keeps a long good history from masking a late fault,
// at the cost of about ln(1000) = 7 nats of additional evidence.
const changeWeight = 1e-3

// maxFailureNats and maxLatencyNats bound the increment of one step for each
// alternative. Noisy neighbours slow some of a version's answers for a few
// seconds, and at thousands of requests per second a single such second would
// suffice for a rollback. The bounds require about ten seconds of partial
// slowness, or four of total failure. With 5 nats for all alternatives, 143 of
// 150 good moves at 10,000 requests per second were rolled back when bursts
// slowed a third of the answers for up to 5 s.
var (
	maxFailureNats = increments{4, 4, 4, 5}
	maxLatencyNats = increments{1.5, 1.5, 1.5, 4}
)

// increments holds the log-likelihood ratio of one step for each alternative.
type increments [len(alternatives)]float64

// incrementsOf returns the log-likelihood ratios of the alternatives against the
// tolerated rate, for the given number of bad requests among all of one step.
func incrementsOf(bad, total, tolerated float64) increments {
	var logRatios increments
	for i, fraction := range alternatives {
		rate := tolerated + float64((1-tolerated)*fraction)
		logRatios[i] = float64(bad*math.Log(rate/tolerated)) + float64((total-bad)*math.Log((1-rate)/(1-tolerated)))
	}
	return logRatios
}

func (in *increments) add(other increments) {
	for i := range in {
		in[i] += other[i]
	}
}

// sequentialTest is a Shiryaev-Roberts test, averaged over the alternatives and
// scaled by changeWeight. Its statistic starts at 1, and its expectation grows by
// at most changeWeight per step while the version is no worse than tolerated. By
// Doob's inequality the statistic therefore reaches a threshold A within n steps
// with a probability of at most (1 + n x changeWeight) / A, however often it is
// evaluated.
type sequentialTest struct {
	// statistics holds one statistic per alternative; that of the test is their
	// mean.
	statistics [len(alternatives)]float64
	// maxIncrements bounds the increments of one step.
	maxIncrements increments
}

func newSequentialTest(maxIncrements increments) sequentialTest {
	st := sequentialTest{maxIncrements: maxIncrements}
	for i := range st.statistics {
		st.statistics[i] = 1
	}
	return st
}

// step updates the statistic with the log-likelihood ratios of one step. unbounded
// disables maxIncrements, for moves that are too short to wait for ten seconds of
// evidence.
func (st *sequentialTest) step(logRatios increments, unbounded bool) {
	for i, nats := range logRatios {
		if !unbounded {
			nats = min(nats, st.maxIncrements[i])
		}
		st.statistics[i] = (st.statistics[i] + changeWeight) * math.Exp(nats)
	}
}

// nats returns the natural logarithm of the statistic.
func (st *sequentialTest) nats() float64 {
	sum := 0.0
	for _, statistic := range st.statistics {
		sum += statistic
	}
	return math.Log(sum / float64(len(st.statistics)))
}
