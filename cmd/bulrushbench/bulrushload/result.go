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

// ProfileResult sums up the results of one profile.
type ProfileResult struct {
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
	// Unknown also counts requests whose connection ended before the whole
	// response, and responses without an outcome.
	Unknown int `json:"unknown_outcome"`
	// Lost counts requests without a response in time and requests that were
	// reported as answered but never ran.
	Lost int `json:"lost"`
	// RunTwice counts non-idempotent requests that ran more than once.
	RunTwice int `json:"run_twice"`
	// Crossed counts requests that got the answer of another one.
	Crossed int `json:"crossed_answers"`
	// RanThoughNotRun counts non-idempotent requests that ran although they were
	// reported as not run.
	RanThoughNotRun int `json:"ran_though_not_run"`
	// OverSlots, OverCold and OverConnections are sums over all backend
	// servers, and MaxProbesPerSecond is the largest value of any of them.
	OverSlots          int `json:"over_limit"`
	OverCold           int `json:"over_cold"`
	OverConnections    int `json:"over_connections"`
	MaxProbesPerSecond int `json:"probes_most_per_s"`
	// Profiles holds the results by the name of the profile.
	Profiles map[string]ProfileResult `json:"classes"`
	Reasons  map[string]int           `json:"reasons"`
	// UnknownDetails describes the first requests with an unknown outcome.
	UnknownDetails []string `json:"unsettled,omitempty"`
}

// Violations returns the number of broken promises.
func (r Result) Violations() int {
	return r.Lost + r.RunTwice + r.Crossed + r.RanThoughNotRun + r.OverSlots + r.OverCold + r.OverConnections
}

// Compare builds the result. Requests for which no node accepted a connection
// count as not run, since no node received them.
func Compare(profiles []Profile, requests []RequestResult, reports []bulrushstandin.Report) Result {
	result := Result{Profiles: make(map[string]ProfileResult), Reasons: make(map[string]int)}
	runs := make(map[string]int)
	for _, report := range reports {
		for id, count := range report.Runs {
			runs[id] += count
		}
		result.OverSlots += report.OverSlots
		result.OverCold += report.OverCold
		result.OverConnections += report.OverConnections
		result.MaxProbesPerSecond = max(result.MaxProbesPerSecond, report.MaxProbesPerSecond)
	}
	histograms := make(map[string]*hdrhistogram.Histogram)
	for _, request := range requests {
		result.addRequest(profiles[request.ProfileIndex], request, runs[request.ID])
		recordLatency(histograms, profiles[request.ProfileIndex].Name, request.Latency)
	}
	for name, histogram := range histograms {
		result.Profiles[name] = result.Profiles[name].withPercentiles(histogram)
	}
	return result
}

func (r *Result) addRequest(profile Profile, request RequestResult, runs int) {
	profileResult := r.Profiles[profile.Name]
	profileResult.Requests++
	r.Requests++
	if request.Reason != "" {
		r.Reasons[request.Reason]++
	}
	switch request.Outcome {
	case OutcomeAnswered:
		profileResult.Answered++
		r.Answered++
		if runs == 0 {
			r.Lost++
		}
	case OutcomeNotRun, OutcomeNoConnection:
		profileResult.NotRun++
		r.NotRun++
		if runs > 0 && !profile.Idempotent {
			r.RanThoughNotRun++
		}
	case OutcomeHung:
		r.Lost++
	default:
		profileResult.Unknown++
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
	r.Profiles[profile.Name] = profileResult
}

func recordLatency(histograms map[string]*hdrhistogram.Histogram, name string, latency time.Duration) {
	histogram, exists := histograms[name]
	if !exists {
		histogram = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
		histograms[name] = histogram
	}
	_ = histogram.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
}

func (pr ProfileResult) withPercentiles(histogram *hdrhistogram.Histogram) ProfileResult {
	const microsPerMs = 1000
	pr.P50Ms = float64(histogram.ValueAtQuantile(50)) / microsPerMs
	pr.P99Ms = float64(histogram.ValueAtQuantile(99)) / microsPerMs
	pr.P999Ms = float64(histogram.ValueAtQuantile(99.9)) / microsPerMs
	return pr
}
