package bulrushattempt

import (
	"math/bits"

	"bulrushchute.example/bulrushchute"
)

const (
	hedgeQuantile = 0.95

	// Each power of two is divided into subBuckets buckets, so an upper bound
	// exceeds the latency by at most 1/8, or by 1 ms if that is more.
	subBucketBits = 3
	subBuckets    = 1 << subBucketBits
	// 20 times subBuckets buckets cover latencies below 2^22 ms, more than an
	// hour.
	bucketCount = 20 * subBuckets

	// Counts are halved after halveAtSamples samples and every halveInterval, so
	// that a change of the service's latency shows within a few hundred answers.
	halveAtSamples = 512
	halveInterval  = 10 * bulrushchute.Second
	// minSamples is the least number of samples for a quantile. The p95 of fewer
	// is usually the largest of them.
	minSamples = 20
)

// latencyHistogram is a histogram in which old samples decay.
type latencyHistogram struct {
	counts   [bucketCount]int
	total    int
	halvedAt bulrushchute.Millis
}

func (lh *latencyHistogram) record(now, latency bulrushchute.Millis) {
	lh.decay(now)
	lh.counts[bucketIndex(latency)]++
	lh.total++
	if lh.total >= halveAtSamples {
		lh.halve()
	}
}

// quantile returns the upper bound of the bucket that contains the quantile,
// and false while there are too few samples.
func (lh *latencyHistogram) quantile(now bulrushchute.Millis, quantile float64) (bulrushchute.Millis, bool) {
	lh.decay(now)
	if lh.total < minSamples {
		return 0, false
	}
	rank := int(quantile*float64(lh.total)) + 1
	cumulative := 0
	for b, count := range lh.counts {
		cumulative += count
		if cumulative >= rank {
			return bucketBound(b), true
		}
	}
	return bucketBound(bucketCount - 1), true
}

func (lh *latencyHistogram) decay(now bulrushchute.Millis) {
	for now-lh.halvedAt >= halveInterval && lh.total > 0 {
		lh.halvedAt += halveInterval
		lh.halve()
	}
	if lh.total == 0 {
		lh.halvedAt = max(lh.halvedAt, now)
	}
}

func (lh *latencyHistogram) halve() {
	lh.total = 0
	for b := range lh.counts {
		lh.counts[b] /= 2
		lh.total += lh.counts[b]
	}
}

// bucketIndex returns the bucket of a latency. Buckets are 1 ms wide below
// 2 x subBuckets, then logarithmic.
func bucketIndex(latency bulrushchute.Millis) int {
	if latency < subBuckets {
		return int(max(latency, 0))
	}
	shift := bits.Len64(uint64(latency)) - 1 - subBucketBits
	bucket := shift*subBuckets + int(latency>>shift)
	return min(bucket, bucketCount-1)
}

// bucketBound returns the exclusive upper bound of a bucket.
func bucketBound(bucket int) bulrushchute.Millis {
	if bucket < subBuckets {
		return bulrushchute.Millis(bucket + 1)
	}
	shift := bucket/subBuckets - 1
	return bulrushchute.Millis(bucket%subBuckets+subBuckets+1) << shift
}
