package bulrushmove

import (
	"math"

	"bulrushchute.example/bulrushchute"
)

const (
	// BucketCount is the number of latency buckets. Evidence carries one count per
	// bucket, so this number bounds the size of a report.
	BucketCount = 64
	// bucketsPerOctave sets the ratio of adjacent bucket bounds to 2^(1/4), about
	// 1.19.
	bucketsPerOctave = 4
	// firstBoundMs is the upper bound of bucket 0. With 64 buckets, the last one
	// holds latencies of 11.6 s and more.
	firstBoundMs = 0.25
)

// BucketOf returns the bucket of a latency in milliseconds, 0 for NaN.
func BucketOf(latencyMs float64) int {
	if !(latencyMs >= firstBoundMs) {
		return 0
	}
	// The value is clamped before the conversion to int, which is undefined for
	// an infinite latency.
	position := min(math.Log2(latencyMs/firstBoundMs)*bucketsPerOctave, BucketCount-2)
	return 1 + int(position)
}

// BucketBoundMs returns the upper bound of a bucket in milliseconds; that of
// the last bucket is infinite.
func BucketBoundMs(bucket int) float64 {
	if bucket >= BucketCount-1 {
		return math.Inf(1)
	}
	return firstBoundMs * math.Exp2(float64(bucket)/bucketsPerOctave)
}

// Counts holds the request counts of one version on one route. They are floats
// because a baseline scales down old counts. The histograms exclude failures,
// because a fast error says nothing about speed. WarmingLatencies is that of servers
// that are warming up, Latencies that of all others.
type Counts struct {
	Requests         float64
	Failures         float64
	Latencies        [BucketCount]float64
	WarmingLatencies [BucketCount]float64
}

// CountsOf returns the counts of a report. Negative values count as 0, failures
// are capped at the number of requests, and surplus buckets are ignored.
func CountsOf(evidence bulrushchute.Evidence) Counts {
	var counts Counts
	counts.Requests = float64(max(evidence.Requests, 0))
	counts.Failures = min(float64(max(evidence.Failures, 0)), counts.Requests)
	copyBuckets(&counts.Latencies, evidence.Latencies)
	copyBuckets(&counts.WarmingLatencies, evidence.WarmingLatencies)
	return counts
}

func copyBuckets(histogram *[BucketCount]float64, buckets []uint32) {
	for i, count := range buckets[:min(len(buckets), BucketCount)] {
		histogram[i] = float64(count)
	}
}

func (c *Counts) observe(sample Sample) {
	c.Requests++
	switch {
	case sample.Failed:
		c.Failures++
	case sample.Warming:
		c.WarmingLatencies[BucketOf(sample.ElapsedMs)]++
	default:
		c.Latencies[BucketOf(sample.ElapsedMs)]++
	}
}

func (c *Counts) add(other Counts) {
	c.Requests += other.Requests
	c.Failures += other.Failures
	for i := range c.Latencies {
		c.Latencies[i] += other.Latencies[i]
		c.WarmingLatencies[i] += other.WarmingLatencies[i]
	}
}

func (c *Counts) scale(factor float64) {
	c.Requests *= factor
	c.Failures *= factor
	for i := range c.Latencies {
		c.Latencies[i] *= factor
		c.WarmingLatencies[i] *= factor
	}
}

// answers returns the number of answers with a recorded latency. Cancelled
// attempts are among them, see SampleOf.
func (c *Counts) answers() float64 {
	sum := 0.0
	for _, count := range c.Latencies {
		sum += count
	}
	return sum
}

// latenciesAbove returns the number of latencies in the buckets after the given
// one.
func (c *Counts) latenciesAbove(bucket int) float64 {
	sum := 0.0
	for i := bucket + 1; i < BucketCount; i++ {
		sum += c.Latencies[i]
	}
	return sum
}

// badRequests returns the number of requests that failed or were answered with a
// latency in a bucket after the given one, by servers that are warming up too.
func (c *Counts) badRequests(bucket int) float64 {
	bad := c.Failures
	for i := bucket + 1; i < BucketCount; i++ {
		bad += c.Latencies[i] + c.WarmingLatencies[i]
	}
	return bad
}

// bucketOfQuantile returns the first bucket such that at least the given fraction
// of the latencies lies in it or in earlier buckets.
func (c *Counts) bucketOfQuantile(quantile float64) int {
	target := c.answers() * quantile
	sum := 0.0
	for i, count := range c.Latencies {
		sum += count
		if sum >= target {
			return i
		}
	}
	return BucketCount - 1
}

// fractionFrom returns the fraction of the latencies in the given bucket and in later
// ones. It is 1 if there are none.
func (c *Counts) fractionFrom(bucket int) float64 {
	return (c.latenciesAbove(bucket-1) + 1) / (c.answers() + 1)
}
