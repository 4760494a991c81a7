package bulrushmove

const (
	// quantile is the part of the old version's latencies that counts as fast.
	quantile = 0.9
	// boundMargin is the number of buckets above the old version's p90 from
	// which a latency counts as slow. With one bucket, a version that is less
	// than 19% slower stays below it even where all latencies are alike.
	boundMargin = 1
	// shortBoundMargin is boundMargin for short moves: 1.7 times the old version's
	// p90. Fewer of the old version's answers lie above it, so that fewer of the
	// new one's are needed to tell them apart.
	shortBoundMargin = 3
	// fewestAnswers is the number of the old version's latencies below which
	// its p90 is too uncertain to compare with.
	fewestAnswers = 30
	// slowMemory is the number of requests from which older ones are forgotten,
	// slowDecay a step's factor for them: a half-life of about one minute.
	slowMemory = 2000
	slowDecay  = 0.99
	// fastDecay is the factor of one step for the recent counts, which follow
	// load and noise that hit both versions at once.
	fastDecay = 0.6
	// fastPrior is the weight in requests of the long-term rate within the recent one.
	fastPrior = 20
)

// A tolerated rate is factor x the old version's rate + margin. The margins
// allow for chance in the old version's rate where it is near 0; those of a
// frozen baseline, when the old version gets no more requests, also for load
// that has changed since.
const (
	toleratedFactor      = 1.5
	failureMargin        = 0.001
	slownessMargin       = 0.02
	frozenFailureMargin  = 0.007
	frozenSlownessMargin = 0.06
	maxTolerated         = 0.95
)

// Baseline is what the judge knows of the old version on one route. It is
// stored with the move, so that a new holder can go on after 100%.
type Baseline struct {
	Requests float64 `json:"requests"`
	Failures float64 `json:"failures"`
	// Bound is the bucket after which a latency counts as slow.
	Bound   int     `json:"bound"`
	Answers float64 `json:"answers"`
	Slow    float64 `json:"slow"`
}

// baseline follows the old version on one route.
type baseline struct {
	// restored stands in until the counts have grown again.
	restored Baseline
	slow     Counts
	fast     Counts
	// current is the result of the last step.
	current Baseline
}

// step takes the old version's counts of one step. Short is set for a move of
// less than a minute.
func (b *baseline) step(counts *Counts, short bool) {
	if b.slow.Requests > slowMemory {
		b.slow.scale(slowDecay)
	}
	b.fast.scale(fastDecay)
	if counts != nil {
		b.slow.add(*counts)
		b.fast.add(*counts)
	}
	b.current = b.summary(short)
}

func (b *baseline) summary(short bool) Baseline {
	if b.restored.Requests > b.slow.Requests {
		return b.restored
	}
	answers := b.slow.answers()
	margin := boundMargin
	if short {
		margin = shortBoundMargin
	}
	bound := min(b.slow.bucketOfQuantile(quantile)+margin, BucketCount-1)
	return Baseline{
		Requests: b.slow.Requests,
		Failures: b.slow.Failures,
		Bound:    bound,
		Answers:  answers,
		Slow:     b.slow.above(bound),
	}
}

// toleratedFailures returns the rate of failures that is not yet bad.
func (b *baseline) toleratedFailures(frozen bool) float64 {
	long := (b.current.Failures + 1) / (b.current.Requests + 1)
	recent := (b.fast.Failures + fastPrior*long) / (b.fast.Requests + fastPrior)
	margin := failureMargin
	if frozen {
		margin = frozenFailureMargin
	}
	return min(toleratedFactor*max(long, recent)+margin, maxTolerated)
}

// toleratedSlowness returns the rate of slow answers that is not yet bad, and
// false when too little is known of the old version.
func (b *baseline) toleratedSlowness(frozen bool) (float64, bool) {
	if b.current.Answers < fewestAnswers {
		return 0, false
	}
	long := (b.current.Slow + 1) / (b.current.Answers + 1)
	recent := (b.fast.above(b.current.Bound) + fastPrior*long) / (b.fast.answers() + fastPrior)
	margin := slownessMargin
	if frozen {
		margin = frozenSlownessMargin
	}
	return min(toleratedFactor*max(long, recent)+margin, maxTolerated), true
}
