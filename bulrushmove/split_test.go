package bulrushmove_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmove"
)

func ExampleSplitter() {
	splitter := bulrushmove.NewSplitter(rand.New(rand.NewPCG(1, 2)))
	taken := 0
	for range 10_000 {
		if splitter.Next(500) {
			taken++
		}
	}
	fmt.Println(taken)
	// Output: 500
}

func ExampleShares() {
	var shares bulrushmove.Shares
	shares, _ = shares.With(bulrushmove.ShareRecord{Service: "routes", Generation: 1, Epoch: 1, Share: 100})
	shares, brake := shares.WithBrake("routes", 1, "failures")
	fmt.Println(shares.Of("routes", 1), brake.Version())
	// A raise that the holder made before it heard of the brake.
	shares, lowered := shares.With(bulrushmove.ShareRecord{Service: "routes", Generation: 1, Epoch: 2, Share: 500})
	fmt.Println(shares.Of("routes", 1), lowered.Version())
	// Output:
	// 0 {1 10000}
	// 0 {2 10000}
}

// Guards against an entry node that exceeds the share by more than the rounding
// of its two open blocks, also while the share changes.
func TestSplitterKeepsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		splitter := bulrushmove.NewSplitter(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		steps := rapid.SliceOfN(rapid.SampledFrom([]int{0, 50, 100, 500, 2500, 5000, 10_000}), 1, 8).Draw(t, "shares")
		wanted, taken := 0.0, 0.0
		for _, share := range steps {
			for range rapid.IntRange(0, 2000).Draw(t, "requests") {
				wanted += float64(share) / bulrushmove.FullShare
				if splitter.Next(share) {
					taken++
				}
			}
		}
		assert.Assert(t, taken <= wanted+2, "%v of %v", taken, wanted)
	})
}

// Guards against a sum over entry nodes that misses the share by more than
// random rounding: each node adds at most 2, independently and without bias.
func TestSplittersSumToShare(t *testing.T) {
	cases := map[string]struct{ nodes, requests, share int }{
		"one request a node":        {23_000, 1, 50},
		"fewer than a block a node": {23_000, 30, 50},
		"one percent":               {5_000, 150, 100},
		"a quarter":                 {2_000, 7, 2500},
		"half, odd requests":        {2_000, 3, 5000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 7))
			taken := 0
			for range tc.nodes {
				splitter := bulrushmove.NewSplitter(random)
				for range tc.requests {
					if splitter.Next(tc.share) {
						taken++
					}
				}
			}
			wanted := float64(tc.nodes*tc.requests*tc.share) / bulrushmove.FullShare
			// A node's variance is at most 1/2, and no more than that of
			// independent draws.
			spread := math.Sqrt(min(float64(tc.nodes)/2, wanted))
			assert.Assert(t, math.Abs(float64(taken)-wanted) <= 5*spread, "%d of %v", taken, wanted)
		})
	}
}

// Guards against a share that always meets the same route when callers use the
// routes in a fixed cycle.
func TestSplitterMeetsEveryRoute(t *testing.T) {
	splitter := bulrushmove.NewSplitter(rand.New(rand.NewPCG(3, 3)))
	var taken [4]int
	for i := range 400_000 {
		if splitter.Next(50) {
			taken[i%4]++
		}
	}
	for _, count := range taken {
		assert.Assert(t, count > 400 && count < 600, "%v", taken)
	}
}

// Guards against requests that leave the version their entry asks for.
func TestSplitterVersion(t *testing.T) {
	splitter := bulrushmove.NewSplitter(rand.New(rand.NewPCG(3, 3)))
	entry := bulrushcatalogue.ServiceEntry{Service: fakeService, StableVersion: "1"}
	full := bulrushmove.ShareRecord{Service: fakeService, Generation: 1, Epoch: 1, Share: bulrushmove.FullShare}
	shares, _ := bulrushmove.Shares{}.With(full)
	assert.Equal(t, splitter.Version(entry, shares), bulrushchute.Version("1"))
	move := fakeMove(1, bulrushchute.Hour)
	entry.Move = &move
	assert.Equal(t, splitter.Version(entry, shares), bulrushchute.Version("2"))
	assert.Equal(t, splitter.Version(entry, bulrushmove.Shares{}), bulrushchute.Version("1"))
	move.Generation = 2
	assert.Equal(t, splitter.Version(entry, shares), bulrushchute.Version("1"))
}

// Guards against nodes that disagree on a share after they have seen the same
// records in any order, and against a braked generation that gets requests.
func TestSharesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) bulrushmove.ShareRecord {
			record := bulrushmove.ShareRecord{Service: fakeService, Epoch: rapid.Uint64Range(1, 4).Draw(t, "epoch")}
			// Generations grow with epochs, as the holder writes them.
			record.Generation = 1 + record.Epoch/3
			record.Braked = rapid.IntRange(0, 5).Draw(t, "braked") == 0
			if !record.Braked {
				record.Share = rapid.SampledFrom([]int{0, 50, 100, 500}).Draw(t, "share")
			}
			return record
		}), 1, 12).Draw(t, "records")
		left, right := bulrushmove.Shares{}, bulrushmove.Shares{}
		braked := map[uint64]bool{}
		for i, record := range records {
			left, _ = left.With(record)
			right, _ = right.With(records[len(records)-1-i])
			braked[record.Generation] = braked[record.Generation] || record.Braked
		}
		for generation := uint64(1); generation <= 2; generation++ {
			assert.Equal(t, left.Of(fakeService, generation), right.Of(fakeService, generation))
			assert.Assert(t, !braked[generation] || left.Of(fakeService, generation) == 0)
		}
	})
}

// Guards against a share record that does not survive its encoding, and
// against one whose version lies about its value.
func TestShareRecordEncoding(t *testing.T) {
	record := bulrushmove.ShareRecord{Service: fakeService, Generation: 3, Epoch: 9, Share: 500, Reason: "x"}
	parsed, err := bulrushmove.ParseShareRecord(record.Record())
	assert.NilError(t, err)
	assert.Equal(t, parsed, record)
	forged := record.Record()
	forged.Version.Epoch++
	_, err = bulrushmove.ParseShareRecord(forged)
	assert.ErrorContains(t, err, "version")
	_, err = bulrushmove.ParseShareRecord(bulrushchute.Record{Value: []byte{0xff}})
	assert.Assert(t, err != nil)
}

// Guards against evidence that is lost, counted twice or kept without bound.
func TestRecorder(t *testing.T) {
	move := fakeMove(4, bulrushchute.Hour)
	recorder := bulrushmove.NewRecorder(fakeService, move)
	recorder.Observe(bulrushmove.Sample{Version: "1", Route: "a", ElapsedMs: 10})
	recorder.Observe(bulrushmove.Sample{Version: "2", Route: "a", Failed: true})
	recorder.Observe(bulrushmove.Sample{Version: "2", Route: "a", ElapsedMs: 1e9, Warming: true})
	recorder.Observe(bulrushmove.Sample{Version: "3", Route: "a"})
	reports := recorder.Drain()
	assert.Equal(t, len(reports), 2)
	assert.Equal(t, bulrushmove.CountsOf(reports[0]).Latencies[bulrushmove.BucketOf(10)], 1.0)
	assert.Equal(t, reports[1].Requests, 2)
	assert.Equal(t, reports[1].Failures, 1)
	assert.Equal(t, len(reports[1].Latencies), 0)
	assert.Assert(t, reports[1].Sequence > reports[0].Sequence)
	assert.Equal(t, len(recorder.Drain()), 0)
	for i := range 5000 {
		recorder.Observe(bulrushmove.Sample{Version: "1", Route: fmt.Sprint(i)})
	}
	assert.Assert(t, len(recorder.Drain()) <= 600)
}

// Guards against latencies in the wrong bucket.
func TestBuckets(t *testing.T) {
	for _, latency := range []float64{0, 0.2, 0.25, 1, 9.99, 150, 11_000, 1e9, math.Inf(1), math.NaN()} {
		bucket := bulrushmove.BucketOf(latency)
		assert.Assert(t, bucket >= 0 && bucket < bulrushmove.BucketCount)
		last := bucket == bulrushmove.BucketCount-1
		assert.Assert(t, last || !(latency >= bulrushmove.BucketBoundMs(bucket)), "%v", latency)
		assert.Assert(t, bucket == 0 || latency >= bulrushmove.BucketBoundMs(bucket-1), "%v", latency)
	}
}

// Guards against a brake that misses a bad version on one node's own evidence,
// or that trips on a good one.
func TestBrake(t *testing.T) {
	cases := map[string]struct {
		failing bool
		slow    float64
		want    bool
	}{
		"good": {slow: 1}, "failing": {failing: true, slow: 1, want: true}, "slow": {slow: 5, want: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(5, 5))
			brake := bulrushmove.NewBrake(fakeMove(1, bulrushchute.Hour))
			var finding bulrushmove.Finding
			for second := range 60 {
				for range 100 {
					sample := bulrushmove.Sample{Version: "1", Route: "a", ElapsedMs: 10 * math.Exp(random.NormFloat64()/2)}
					if random.IntN(20) == 0 {
						sample.Version, sample.Failed = "2", tc.failing
						sample.ElapsedMs *= tc.slow
					}
					brake.Observe(sample)
				}
				finding = brake.Tick(fakeStart+bulrushchute.Millis(second)*bulrushchute.Second, 500)
			}
			assert.Equal(t, finding.Bad, tc.want, "%v", finding)
		})
	}
}
