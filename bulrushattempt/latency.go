package bulrushattempt

import (
	"math/bits"

	"bulrushchute.example/bulrushchute"
)

const (
	hedgeQuantile = 0.95

	// Each power of two is split into subBuckets, so a bound is at most 1/8 too high.
	subBucketBits = 3
	subBuckets    = 1 << subBucketBits
	// 20 powers of two reach beyond 17 minutes.
	bucketCount = 20 * subBuckets

	// Counts are halved after so many samples, and also with time, so that a
	// change of the service's latency shows within a few hundred answers.
	halveAtSamples = 512
	halveEvery     = 10 * bulrushchute.Second
	// A p95 of fewer samples is mostly the largest of them.
	minSamples = 20
)

// latencyHistogram is a histogram whose old samples fade.
type latencyHistogram struct {
	counts   [bucketCount]int
	total    int
	halvedAt bulrushchute.Millis
}

func (lh *latencyHistogram) record(now, latency bulrushchute.Millis) {
	lh.fade(now)
	lh.counts[bucketOf(latency)]++
	lh.total++
	if lh.total >= halveAtSamples {
		lh.halve()
	}
}

// quantile returns the upper bound of the bucket that holds the quantile.
func (lh *latencyHistogram) quantile(now bulrushchute.Millis, quantile float64) (bulrushchute.Millis, bool) {
	lh.fade(now)
	if lh.total < minSamples {
		return 0, false
	}
	wanted := int(quantile*float64(lh.total)) + 1
	seen := 0
	for b, count := range lh.counts {
		seen += count
		if seen >= wanted {
			return boundOf(b), true
		}
	}
	return boundOf(bucketCount - 1), true
}

func (lh *latencyHistogram) fade(now bulrushchute.Millis) {
	for now-lh.halvedAt >= halveEvery && lh.total > 0 {
		lh.halvedAt += halveEvery
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

// bucketOf numbers the buckets: exact below 2 x subBuckets, then logarithmic.
func bucketOf(latency bulrushchute.Millis) int {
	if latency < subBuckets {
		return int(max(latency, 0))
	}
	shift := bits.Len64(uint64(latency)) - 1 - subBucketBits
	bucket := shift*subBuckets + int(latency>>shift)
	return min(bucket, bucketCount-1)
}

// boundOf returns the first latency above the bucket.
func boundOf(bucket int) bulrushchute.Millis {
	if bucket < subBuckets {
		return bulrushchute.Millis(bucket + 1)
	}
	shift := bucket/subBuckets - 1
	return bulrushchute.Millis(bucket%subBuckets+subBuckets+1) << shift
}
