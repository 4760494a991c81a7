package bulrushmove

import (
	"math"
)

// alternatives are the rates of bad requests that a version is tested for,
// as parts of the way from the tolerated rate to 1. One test for each covers
// slight and total badness without knowing which to expect.
var alternatives = [...]float64{0.05, 0.2, 0.5, 0.9}

// restartWeight is the weight that each step gives to the hypothesis that the
// version turns bad with this step. It keeps a long good history from hiding
// late badness, at the cost of about ln(1000) = 7 nats of delay.
const restartWeight = 1e-3

// The most that one step can add for each alternative. Noisy neighbours slow a
// part of a version's answers for some seconds, and at thousands of requests a
// second each such second would be proof enough; these bounds ask for about ten
// seconds of partial slowness, or four of total badness. With 5 nats for all,
// 143 of 150 good moves at 10,000 requests a second were rolled back when bursts
// slowed a third of the answers for up to 5 s.
var (
	maxFailureNats = increments{4, 4, 4, 5}
	maxLatencyNats = increments{1.5, 1.5, 1.5, 4}
)

// increments holds one step's logarithm of the likelihood ratio for each alternative.
type increments [len(alternatives)]float64

// incrementsOf compares the alternatives with the tolerated rate for bad
// requests among all requests of one step.
func incrementsOf(bad, all, tolerated float64) increments {
	var steps increments
	for i, part := range alternatives {
		rate := tolerated + (1-tolerated)*part
		steps[i] = bad*math.Log(rate/tolerated) + (all-bad)*math.Log((1-rate)/(1-tolerated))
	}
	return steps
}

func (in *increments) add(other increments) {
	for i := range in {
		in[i] += other[i]
	}
}

// sequentialTest is a Shiryaev-Roberts test over the alternatives. Its
// statistic starts at 1, and while the version is no worse than tolerated its
// expectation grows by no more than restartWeight a step. By Doob's inequality
// it therefore reaches a limit A within n steps with a probability of at most
// (1 + n x restartWeight) / A, however often it is looked at.
type sequentialTest struct {
	ratios [len(alternatives)]float64
	// most bounds what one step can add.
	most increments
}

func newSequentialTest(most increments) sequentialTest {
	st := sequentialTest{most: most}
	for i := range st.ratios {
		st.ratios[i] = 1
	}
	return st
}

// step takes the increments of one step. Unbounded lifts the bounds, for moves
// too short to wait for ten seconds of evidence.
func (st *sequentialTest) step(steps increments, unbounded bool) {
	for i, nats := range steps {
		if !unbounded {
			nats = min(nats, st.most[i])
		}
		st.ratios[i] = (st.ratios[i] + restartWeight) * math.Exp(nats)
	}
}

// nats returns the logarithm of the statistic.
func (st *sequentialTest) nats() float64 {
	sum := 0.0
	for _, ratio := range st.ratios {
		sum += ratio
	}
	return math.Log(sum / float64(len(st.ratios)))
}
