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
	toNew := 0
	for range 10_000 {
		if splitter.NextIsNew(500) {
			toNew++
		}
	}
	fmt.Println(toNew)
	// Output: 500
}

func ExampleShares() {
	var shares bulrushmove.Shares
	shares, _ = shares.WithRecord(bulrushmove.ShareRecord{Service: "routes", Generation: 1, Epoch: 1, Share: 100})
	shares, brake := shares.WithBrake("routes", 1, "failures")
	fmt.Println(shares.ShareOf("routes", 1), brake.Version())
	// A raise that the holder made before it received the brake.
	shares, lowered := shares.WithRecord(bulrushmove.ShareRecord{Service: "routes", Generation: 1, Epoch: 2, Share: 500})
	fmt.Println(shares.ShareOf("routes", 1), lowered.Version())
	// Output:
	// 0 {1 10000}
	// 0 {2 10000}
}

// Guards against an entry node that exceeds the share by more than the rounding of
// its first and last block, even when the share changes.
func TestSplitterKeepsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		splitter := bulrushmove.NewSplitter(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		steps := rapid.SliceOfN(rapid.SampledFrom([]int{0, 50, 100, 500, 2500, 5000, 10_000}), 1, 8).Draw(t, "shares")
		expected, toNew := 0.0, 0.0
		for _, share := range steps {
			for range rapid.IntRange(0, 2000).Draw(t, "requests") {
				expected += float64(share) / bulrushmove.FullShare
				if splitter.NextIsNew(share) {
					toNew++
				}
			}
		}
		assert.Assert(t, toNew <= expected+2, "%v of %v", toNew, expected)
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
			toNew := 0
			for range tc.nodes {
				splitter := bulrushmove.NewSplitter(random)
				for range tc.requests {
					if splitter.NextIsNew(tc.share) {
						toNew++
					}
				}
			}
			expected := float64(tc.nodes*tc.requests*tc.share) / bulrushmove.FullShare
			// A node's variance is at most 1/2, and at most that of independent
			// draws.
			stddev := math.Sqrt(min(float64(tc.nodes)/2, expected))
			assert.Assert(t, math.Abs(float64(toNew)-expected) <= 5*stddev, "%d of %v", toNew, expected)
		})
	}
}

// Guards against a share that always selects the same route when callers use the
// routes in a fixed cycle.
func TestSplitterCoversEveryRoute(t *testing.T) {
	splitter := bulrushmove.NewSplitter(rand.New(rand.NewPCG(3, 3)))
	var toNew [4]int
	for i := range 400_000 {
		if splitter.NextIsNew(50) {
			toNew[i%4]++
		}
	}
	for _, count := range toNew {
		assert.Assert(t, count > 400 && count < 600, "%v", toNew)
	}
}

// Guards against requests that are sent to another version than the catalogue entry
// and the share require.
func TestSplitterNextVersion(t *testing.T) {
	splitter := bulrushmove.NewSplitter(rand.New(rand.NewPCG(3, 3)))
	entry := bulrushcatalogue.ServiceEntry{Service: testService, StableVersion: "1"}
	full := bulrushmove.ShareRecord{Service: testService, Generation: 1, Epoch: 1, Share: bulrushmove.FullShare}
	shares, _ := bulrushmove.Shares{}.WithRecord(full)
	assert.Equal(t, splitter.NextVersion(entry, shares), bulrushchute.Version("1"))
	move := testMove(1, bulrushchute.Hour)
	entry.Move = &move
	assert.Equal(t, splitter.NextVersion(entry, shares), bulrushchute.Version("2"))
	assert.Equal(t, splitter.NextVersion(entry, bulrushmove.Shares{}), bulrushchute.Version("1"))
	move.Generation = 2
	assert.Equal(t, splitter.NextVersion(entry, shares), bulrushchute.Version("1"))
}

// Guards against nodes that disagree on a share although they have received the
// same records, in different orders, and against a braked generation with a share
// above 0.
func TestSharesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) bulrushmove.ShareRecord {
			record := bulrushmove.ShareRecord{Service: testService, Epoch: rapid.Uint64Range(1, 4).Draw(t, "epoch")}
			// Generations increase with epochs, as in the records of a holder.
			record.Generation = 1 + record.Epoch/3
			record.Braked = rapid.IntRange(0, 5).Draw(t, "braked") == 0
			if !record.Braked {
				record.Share = rapid.SampledFrom([]int{0, 50, 100, 500}).Draw(t, "share")
			}
			return record
		}), 1, 12).Draw(t, "records")
		forward, backward := bulrushmove.Shares{}, bulrushmove.Shares{}
		braked := map[uint64]bool{}
		for i, record := range records {
			forward, _ = forward.WithRecord(record)
			backward, _ = backward.WithRecord(records[len(records)-1-i])
			braked[record.Generation] = braked[record.Generation] || record.Braked
		}
		for generation := uint64(1); generation <= 2; generation++ {
			assert.Equal(t, forward.ShareOf(testService, generation), backward.ShareOf(testService, generation))
			assert.Assert(t, !braked[generation] || forward.ShareOf(testService, generation) == 0)
		}
	})
}

// Guards against a share record that changes when encoded and decoded, and against
// a record whose version does not match its value.
func TestShareRecordEncoding(t *testing.T) {
	record := bulrushmove.ShareRecord{
		Service: testService, Generation: 3, Epoch: 9, Share: 500, Reason: "x",
		Limited: true, Grants: []bulrushmove.Grant{{Instance: "a", Requests: 20}},
	}
	parsed, err := bulrushmove.ParseShareRecord(record.Record())
	assert.NilError(t, err)
	assert.DeepEqual(t, parsed, record)
	negative := record
	negative.Grants = []bulrushmove.Grant{{Instance: "a", Requests: -1}}
	_, err = bulrushmove.ParseShareRecord(negative.Record())
	assert.ErrorContains(t, err, "grants")
	tampered := record.Record()
	tampered.Version.Epoch++
	_, err = bulrushmove.ParseShareRecord(tampered)
	assert.ErrorContains(t, err, "version")
	_, err = bulrushmove.ParseShareRecord(bulrushchute.Record{Value: []byte{0xff}})
	assert.Assert(t, err != nil)
}

// Guards against evidence that is lost, counted twice or accumulated without limit.
func TestRecorder(t *testing.T) {
	move := testMove(4, bulrushchute.Hour)
	recorder := bulrushmove.NewRecorder(testService, move)
	recorder.Observe(bulrushmove.Sample{Version: "1", Route: "a", ElapsedMs: 10})
	recorder.Observe(bulrushmove.Sample{Version: "2", Route: "a", Failed: true})
	recorder.Observe(bulrushmove.Sample{Version: "2", Route: "a", ElapsedMs: 1e9, Warming: true})
	recorder.Observe(bulrushmove.Sample{Version: "3", Route: "a"})
	reports := recorder.TakeReports(0)
	assert.Equal(t, len(reports), 2)
	assert.Equal(t, bulrushmove.CountsOf(reports[0]).Latencies[bulrushmove.BucketOf(10)], 1.0)
	assert.Equal(t, reports[1].Requests, 2)
	assert.Equal(t, reports[1].Failures, 1)
	assert.Equal(t, len(reports[1].Latencies), 0)
	assert.Assert(t, reports[1].Sequence > reports[0].Sequence)
	assert.Equal(t, len(recorder.TakeReports(0)), 0)
	for i := range 5000 {
		recorder.Observe(bulrushmove.Sample{Version: "1", Route: fmt.Sprint(i)})
	}
	assert.Assert(t, len(recorder.TakeReports(0)) <= 600)
}

// Guards against latencies that are counted in the wrong bucket.
func TestBuckets(t *testing.T) {
	for _, latency := range []float64{0, 0.2, 0.25, 1, 9.99, 150, 11_000, 1e9, math.Inf(1), math.NaN()} {
		bucket := bulrushmove.BucketOf(latency)
		assert.Assert(t, bucket >= 0 && bucket < bulrushmove.BucketCount)
		last := bucket == bulrushmove.BucketCount-1
		assert.Assert(t, last || !(latency >= bulrushmove.BucketBoundMs(bucket)), "%v", latency)
		assert.Assert(t, bucket == 0 || latency >= bulrushmove.BucketBoundMs(bucket-1), "%v", latency)
	}
}

// Guards against a brake that does not detect a bad version from one node's own
// evidence, or that finds a good one bad.
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
			brake := bulrushmove.NewBrake(testMove(1, bulrushchute.Hour))
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
				finding = brake.Tick(testStart+bulrushchute.Millis(second)*bulrushchute.Second, 500)
			}
			assert.Equal(t, finding.Bad, tc.want, "%v", finding)
		})
	}
}
