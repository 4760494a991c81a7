package bulrushload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushstandin"
)

// Histogram range: 1 microsecond to 2 minutes with 3 digits.
const (
	lowestMicros  = 1
	highestMicros = 120_000_000
	digits        = 3
	// maxUnsettled bounds the requests that a result describes one by one.
	maxUnsettled = 10
)

// ClassResult is what the callers of one profile saw.
type ClassResult struct {
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"refused_not_run"`
	Unknown  int     `json:"unknown_outcome"`
	P50Ms    float64 `json:"p50_ms"`
	P99Ms    float64 `json:"p99_ms"`
	P999Ms   float64 `json:"p999_ms"`
}

// Result compares what callers were told with the backend servers' records.
type Result struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	NotRun   int `json:"refused_not_run"`
	Unknown  int `json:"unknown_outcome"`
	// Lost counts requests without a final answer in time and requests that
	// were called answered but never ran.
	Lost int `json:"lost"`
	// RunTwice counts non-idempotent requests that ran more than once.
	RunTwice int `json:"run_twice"`
	Crossed  int `json:"crossed_answers"`
	// RanAfterNotRun counts non-idempotent requests that ran though the caller was told "not run".
	RanAfterNotRun  int                    `json:"ran_though_not_run"`
	OverLimit       int                    `json:"over_limit"`
	OverCold        int                    `json:"over_cold"`
	OverConnections int                    `json:"over_connections"`
	ProbesMost      int                    `json:"probes_most_per_s"`
	Classes         map[string]ClassResult `json:"classes"`
	Reasons         map[string]int         `json:"reasons"`
	// Unsettled lists what was told about the first requests with an unknown outcome.
	Unsettled []string `json:"unsettled,omitempty"`
}

// Faults returns the number of broken promises.
func (r Result) Faults() int {
	return r.Lost + r.RunTwice + r.Crossed + r.RanAfterNotRun + r.OverLimit + r.OverCold + r.OverConnections
}

// Compare builds the result. Requests after which no node ever accepted a
// connection count as not run, since none took them.
func Compare(profiles []Profile, told []Told, reports []bulrushstandin.Report) Result {
	result := Result{Classes: make(map[string]ClassResult), Reasons: make(map[string]int)}
	runs := make(map[string]int)
	for _, report := range reports {
		for id, count := range report.Runs {
			runs[id] += count
		}
		result.OverLimit += report.OverSlots
		result.OverCold += report.OverCold
		result.OverConnections += report.OverConnections
		result.ProbesMost = max(result.ProbesMost, report.ProbesMost)
	}
	histograms := make(map[string]*hdrhistogram.Histogram)
	for _, t := range told {
		result.add(profiles[t.Profile], t, runs[t.ID])
		record(histograms, profiles[t.Profile].Name, t.Latency)
	}
	for name, histogram := range histograms {
		result.Classes[name] = result.Classes[name].withLatencies(histogram)
	}
	return result
}

func (r *Result) add(profile Profile, told Told, runs int) {
	class := r.Classes[profile.Name]
	class.Requests++
	r.Requests++
	if told.Reason != "" {
		r.Reasons[told.Reason]++
	}
	switch told.Outcome {
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
		if len(r.Unsettled) < maxUnsettled {
			r.Unsettled = append(r.Unsettled, told.String())
		}
	}
	if told.Crossed {
		r.Crossed++
	}
	if runs > 1 && !profile.Idempotent {
		r.RunTwice++
	}
	r.Classes[profile.Name] = class
}

func record(histograms map[string]*hdrhistogram.Histogram, name string, latency time.Duration) {
	histogram, exists := histograms[name]
	if !exists {
		histogram = hdrhistogram.New(lowestMicros, highestMicros, digits)
		histograms[name] = histogram
	}
	_ = histogram.RecordValue(min(latency.Microseconds(), highestMicros))
}

func (cr ClassResult) withLatencies(histogram *hdrhistogram.Histogram) ClassResult {
	const microsPerMs = 1000
	cr.P50Ms = float64(histogram.ValueAtQuantile(50)) / microsPerMs
	cr.P99Ms = float64(histogram.ValueAtQuantile(99)) / microsPerMs
	cr.P999Ms = float64(histogram.ValueAtQuantile(99.9)) / microsPerMs
	return cr
}
