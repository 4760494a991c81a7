package bulrushload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushstandin"
)

// Histogram range: 1 microsecond to 2 minutes with 3 significant digits.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
	// maxUnknownDetails bounds the requests that Result.UnknownDetails
	// describes.
	maxUnknownDetails = 10
)

// ClassResult sums up the results of one profile.
type ClassResult struct {
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"refused_not_run"`
	Unknown  int     `json:"unknown_outcome"`
	P50Ms    float64 `json:"p50_ms"`
	P99Ms    float64 `json:"p99_ms"`
	P999Ms   float64 `json:"p999_ms"`
}

// Result sums up the results that callers saw and their comparison with the
// records of the backend servers.
type Result struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	NotRun   int `json:"refused_not_run"`
	Unknown  int `json:"unknown_outcome"`
	// Lost counts requests without a final answer in time and requests that
	// were reported as answered but never ran.
	Lost int `json:"lost"`
	// RunTwice counts non-idempotent requests that ran more than once.
	RunTwice int `json:"run_twice"`
	// Crossed counts requests that got the answer of another one.
	Crossed int `json:"crossed_answers"`
	// RanAfterNotRun counts non-idempotent requests that ran although they were
	// reported as not run.
	RanAfterNotRun     int                    `json:"ran_though_not_run"`
	OverLimit          int                    `json:"over_limit"`
	OverCold           int                    `json:"over_cold"`
	OverConnections    int                    `json:"over_connections"`
	MaxProbesPerSecond int                    `json:"probes_most_per_s"`
	Classes            map[string]ClassResult `json:"classes"`
	Reasons            map[string]int         `json:"reasons"`
	// UnknownDetails describes the first requests with an unknown outcome.
	UnknownDetails []string `json:"unsettled,omitempty"`
}

// Violations returns the number of broken promises.
func (r Result) Violations() int {
	return r.Lost + r.RunTwice + r.Crossed + r.RanAfterNotRun + r.OverLimit + r.OverCold + r.OverConnections
}

// Compare builds the result. Requests for which no node accepted a connection
// count as not run, since no node received them.
func Compare(profiles []Profile, requests []RequestResult, reports []bulrushstandin.Report) Result {
	result := Result{Classes: make(map[string]ClassResult), Reasons: make(map[string]int)}
	runs := make(map[string]int)
	for _, report := range reports {
		for id, count := range report.Runs {
			runs[id] += count
		}
		result.OverLimit += report.OverSlots
		result.OverCold += report.OverCold
		result.OverConnections += report.OverConnections
		result.MaxProbesPerSecond = max(result.MaxProbesPerSecond, report.MaxProbesPerSecond)
	}
	histograms := make(map[string]*hdrhistogram.Histogram)
	for _, request := range requests {
		result.add(profiles[request.Profile], request, runs[request.ID])
		recordLatency(histograms, profiles[request.Profile].Name, request.Latency)
	}
	for name, histogram := range histograms {
		result.Classes[name] = result.Classes[name].withPercentiles(histogram)
	}
	return result
}

func (r *Result) add(profile Profile, request RequestResult, runs int) {
	class := r.Classes[profile.Name]
	class.Requests++
	r.Requests++
	if request.Reason != "" {
		r.Reasons[request.Reason]++
	}
	switch request.Outcome {
	case OutcomeAnswered:
		class.Answered++
		r.Answered++
		if runs == 0 {
			r.Lost++
		}
	case OutcomeNotRun, OutcomeRefused:
		class.NotRun++
		r.NotRun++
		if runs > 0 && !profile.Idempotent {
			r.RanAfterNotRun++
		}
	case OutcomeHung:
		r.Lost++
	default:
		class.Unknown++
		r.Unknown++
		if len(r.UnknownDetails) < maxUnknownDetails {
			r.UnknownDetails = append(r.UnknownDetails, request.String())
		}
	}
	if request.Crossed {
		r.Crossed++
	}
	if runs > 1 && !profile.Idempotent {
		r.RunTwice++
	}
	r.Classes[profile.Name] = class
}

func recordLatency(histograms map[string]*hdrhistogram.Histogram, name string, latency time.Duration) {
	histogram, exists := histograms[name]
	if !exists {
		histogram = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
		histograms[name] = histogram
	}
	_ = histogram.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
}

func (cr ClassResult) withPercentiles(histogram *hdrhistogram.Histogram) ClassResult {
	const microsPerMs = 1000
	cr.P50Ms = float64(histogram.ValueAtQuantile(50)) / microsPerMs
	cr.P99Ms = float64(histogram.ValueAtQuantile(99)) / microsPerMs
	cr.P999Ms = float64(histogram.ValueAtQuantile(99.9)) / microsPerMs
	return cr
}
