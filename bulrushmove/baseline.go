package bulrushmove

const (
	// boundQuantile is the fraction of the old version's latencies that counts
	// as fast.
	boundQuantile = 0.9
	// boundMarginBuckets is added to the bucket of the old version's p90; a
	// latency in a later bucket counts as slow. With a margin of one bucket, a
	// version that is less than 19% slower stays within the bound even if all
	// latencies are equal.
	boundMarginBuckets = 1
	// shortBoundMarginBuckets is boundMarginBuckets for short moves, a factor of
	// 1.7. Fewer answers of the old version exceed this bound, so fewer answers of
	// the new version are needed to tell the two apart.
	shortBoundMarginBuckets = 3
	// verySlowMarginBuckets is added to the bucket of the old version's p90; a latency
	// in a later bucket, of over 2.4 times the p90, is very slow. Good versions that
	// are warming up or under high load remain below it.
	verySlowMarginBuckets = 5
	// minAnswers is the number of answers of the old version below which its p90
	// is too uncertain for a comparison.
	minAnswers = 30
	// Above decayStartRequests the long-term counts are multiplied by
	// longTermDecay in each step. Their half-life is 69 steps, about one minute
	// at EvidencePeriod.
	decayStartRequests = 2000
	longTermDecay      = 0.99
	// recentDecay is the decay factor per step of the recent counts, which follow
	// load and noise that affect both versions at once. The steps of short moves are
	// a quarter as long.
	recentDecay      = 0.6
	shortRecentDecay = 0.88
	// pooledRequests is the weight of the rate of all routes, in requests, when the
	// long-term rate of bad requests of one route is estimated.
	pooledRequests = 100
	// recentPriorRequests is the weight of the long-term rate, in requests, when
	// the recent rate is estimated.
	recentPriorRequests = 20
)

// A tolerated rate is toleratedRateFactor times the old version's rate plus a
// margin. The margins allow for random variation when the old version's rate is
// near 0. The baseline is frozen once the old version gets no more requests;
// the frozen margins also allow for load that has changed since then.
const (
	toleratedRateFactor     = 1.5
	failureRateMargin       = 0.001
	slowRateMargin          = 0.02
	badRateMargin           = 0.01
	frozenFailureRateMargin = 0.007
	frozenSlowRateMargin    = 0.06
	frozenBadRateMargin     = 0.03
	maxToleratedRate        = 0.95
)

// Baseline is a summary of the old version's requests on one route. It is stored
// with the move, so that a new holder can continue after the share has reached
// 100%.
type Baseline struct {
	Requests float64 `json:"requests"`
	Failures float64 `json:"failures"`
	// BoundBucket is the last bucket that does not count as slow.
	BoundBucket int `json:"bound"`
	// Answers is the number of answers with a recorded latency, Slow the number
	// of those in later buckets than BoundBucket.
	Answers float64 `json:"answers"`
	Slow    float64 `json:"slow"`
	// VerySlowBucket is the last bucket that does not count as very slow, and Bad the
	// number of requests that failed or were very slow.
	VerySlowBucket int     `json:"very_slow_bound,omitempty"`
	Bad            float64 `json:"bad,omitempty"`
}

// baselineTracker accumulates the old version's counts on one route.
type baselineTracker struct {
	// restored is used until longTerm holds at least as many requests.
	restored Baseline
	longTerm Counts
	recent   Counts
	// current is the snapshot of the last step.
	current Baseline
}

// step adds the old version's counts of one period. short is set for a short
// move, see shortMoveLimit.
func (b *baselineTracker) step(counts *Counts, short bool) {
	if b.longTerm.Requests > decayStartRequests {
		b.longTerm.scale(longTermDecay)
	}
	decay := recentDecay
	if short {
		decay = shortRecentDecay
	}
	b.recent.scale(decay)
	if counts != nil {
		b.longTerm.add(*counts)
		b.recent.add(*counts)
	}
	b.current = b.snapshot(short)
}

func (b *baselineTracker) snapshot(short bool) Baseline {
	if b.restored.Requests > b.longTerm.Requests {
		return b.restored
	}
	answers := b.longTerm.answers()
	marginBuckets := boundMarginBuckets
	if short {
		marginBuckets = shortBoundMarginBuckets
	}
	quantileBucket := b.longTerm.bucketOfQuantile(boundQuantile)
	boundBucket := min(quantileBucket+marginBuckets, BucketCount-1)
	verySlowBucket := min(quantileBucket+verySlowMarginBuckets, BucketCount-1)
	return Baseline{
		Requests:       b.longTerm.Requests,
		Failures:       b.longTerm.Failures,
		BoundBucket:    boundBucket,
		Answers:        answers,
		Slow:           b.longTerm.latenciesAbove(boundBucket),
		VerySlowBucket: verySlowBucket,
		Bad:            b.longTerm.badRequests(verySlowBucket),
	}
}

// toleratedFailureRate returns the highest failure rate that is not bad.
func (b *baselineTracker) toleratedFailureRate(frozen bool) float64 {
	longTermRate := (b.current.Failures + 1) / (b.current.Requests + 1)
	recentRate := (b.recent.Failures + float64(recentPriorRequests*longTermRate)) / (b.recent.Requests + recentPriorRequests)
	margin := failureRateMargin
	if frozen {
		margin = frozenFailureRateMargin
	}
	return min(float64(toleratedRateFactor*max(longTermRate, recentRate))+margin, maxToleratedRate)
}

// toleratedSlowRate returns the highest rate of slow answers that is not bad, or
// false if the old version has fewer than minAnswers answers.
func (b *baselineTracker) toleratedSlowRate(frozen bool) (float64, bool) {
	if b.current.Answers < minAnswers {
		return 0, false
	}
	longTermRate := (b.current.Slow + 1) / (b.current.Answers + 1)
	recentRate := (b.recent.latenciesAbove(b.current.BoundBucket) + float64(recentPriorRequests*longTermRate)) / (b.recent.answers() + recentPriorRequests)
	margin := slowRateMargin
	if frozen {
		margin = frozenSlowRateMargin
	}
	return min(float64(toleratedRateFactor*max(longTermRate, recentRate))+margin, maxToleratedRate), true
}

// toleratedBadRate returns the highest rate of requests that fail or are very slow
// that is not bad, or false if the old version has fewer than minAnswers answers or
// the baseline was stored without them. pooledRate is the old version's rate on all
// routes together.
func (b *baselineTracker) toleratedBadRate(frozen bool, pooledRate float64) (float64, bool) {
	if b.current.Answers < minAnswers || b.current.VerySlowBucket == 0 {
		return 0, false
	}
	longTermRate := (b.current.Bad + float64(pooledRequests*pooledRate)) / (b.current.Requests + pooledRequests)
	recentRate := (b.recent.badRequests(b.current.VerySlowBucket) + float64(recentPriorRequests*longTermRate)) / (b.recent.Requests + recentPriorRequests)
	margin := badRateMargin
	if frozen {
		margin = frozenBadRateMargin
	}
	return min(float64(toleratedRateFactor*max(longTermRate, recentRate))+margin, maxToleratedRate), true
}
