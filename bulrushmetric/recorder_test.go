package bulrushmetric_test

import (
	"encoding/json"
	"expvar"
	"fmt"
	"math"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmetric"
)

func ExampleRecorder() {
	recorder := bulrushmetric.NewRecorder(8)
	recorder.Record(bulrushmetric.Measurement{
		Service: "ledger", Tenant: "a", Outcome: bulrushchute.OutcomeAnswered, ElapsedMs: 12,
	})
	recorder.Record(bulrushmetric.Measurement{
		Service: "ledger", Tenant: "a", Outcome: bulrushchute.OutcomeNotRun, Reason: bulrushchute.ReasonBusy,
	})
	summary := recorder.Summaries()[0]
	fmt.Println(summary.Class, summary.Outcomes, summary.Reasons, summary.Latency.P99Ms)
	// Output: critical map[answered:1 not_run:1] map[busy:1] 12.031
}

// Guards against memory that grows with the number of names that callers send,
// and against requests that are not counted once a limit is reached.
func TestSeriesAreBounded(t *testing.T) {
	recorder := bulrushmetric.NewRecorder(3)
	const count = 2000
	for n := range count {
		recorder.Record(bulrushmetric.Measurement{
			Service: bulrushchute.Service(fmt.Sprint(n / 10)),
			Tenant:  bulrushchute.Tenant(fmt.Sprint(n)),
			Class:   bulrushchute.Class(n % 4),
			Reason:  bulrushchute.Reason(fmt.Sprint(n)),
			Outcome: bulrushchute.Outcome(n % 3),
		})
	}
	tenants := map[bulrushchute.Service]map[bulrushchute.Tenant]bool{}
	total := uint64(0)
	for _, summary := range recorder.Summaries() {
		if tenants[summary.Service] == nil {
			tenants[summary.Service] = map[bulrushchute.Tenant]bool{}
		}
		tenants[summary.Service][summary.Tenant] = true
		for _, n := range summary.Outcomes {
			total += n
		}
		assert.Assert(t, len(summary.Reasons) <= 65)
	}
	assert.Equal(t, total, uint64(count))
	assert.Equal(t, len(tenants), 65)
	for service, names := range tenants {
		assert.Assert(t, len(names) <= 4, "%s has %d tenants", service, len(names))
	}
}

// Guards against latencies that the histogram or JSON cannot represent.
func TestLatencyOutOfRange(t *testing.T) {
	recorder := bulrushmetric.NewRecorder(0)
	for _, elapsedMs := range []float64{-1, 0, 1e300, math.Inf(1), math.NaN()} {
		recorder.Record(bulrushmetric.Measurement{Outcome: bulrushchute.OutcomeAnswered, ElapsedMs: elapsedMs})
	}
	summary := recorder.Summaries()[0]
	assert.Equal(t, summary.Outcomes["answered"], uint64(5))
	assert.Assert(t, summary.Latency.MaxMs >= 60000 && summary.Latency.MaxMs < 61000)
}

// Guards against data races and lost counts under concurrent use, and against a
// published value that is not JSON.
func TestConcurrentUse(t *testing.T) {
	recorder := bulrushmetric.NewRecorder(2)
	// A published name stays in use until the process ends, and -count repeats the
	// test within one process.
	name := fmt.Sprintf("bulrush_test_%p", recorder)
	recorder.Publish(name)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 500 {
				recorder.Record(bulrushmetric.Measurement{Outcome: bulrushchute.OutcomeAnswered, ElapsedMs: 3})
				_ = recorder.Summaries()
			}
		})
	}
	wg.Wait()
	var summaries []bulrushmetric.Summary
	assert.NilError(t, json.Unmarshal([]byte(expvar.Get(name).String()), &summaries))
	assert.Equal(t, summaries[0].Outcomes["answered"], uint64(4000))
}

// BenchmarkRecord measures the cost that Record adds to each request.
func BenchmarkRecord(b *testing.B) {
	recorder := bulrushmetric.NewRecorder(0)
	measurement := bulrushmetric.Measurement{Service: "s", Tenant: "t", Outcome: bulrushchute.OutcomeAnswered, ElapsedMs: 5}
	b.ReportAllocs()
	for b.Loop() {
		recorder.Record(measurement)
	}
}
