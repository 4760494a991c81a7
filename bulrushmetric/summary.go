package bulrushmetric

import (
	"cmp"
	"maps"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// Summary summarises the series of one service, tenant and class.
type Summary struct {
	Service bulrushchute.Service `json:"service"`
	Tenant  bulrushchute.Tenant  `json:"tenant"`
	Class   string               `json:"class"`
	// Outcomes counts all finished requests.
	Outcomes map[string]uint64 `json:"outcomes"`
	// Reasons counts refusals and failures.
	Reasons map[bulrushchute.Reason]uint64 `json:"reasons,omitempty"`
	// Latency covers answered requests only.
	Latency LatencySummary `json:"latency"`
}

// LatencySummary holds percentiles in milliseconds, exact to two significant digits.
type LatencySummary struct {
	P50Ms float64 `json:"p50_ms"`
	P90Ms float64 `json:"p90_ms"`
	P99Ms float64 `json:"p99_ms"`
	MaxMs float64 `json:"max_ms"`
}

// Summaries returns the summaries of all series, ordered by service, tenant and
// class.
func (r *Recorder) Summaries() []Summary {
	all := r.snapshot()
	summaries := make([]Summary, 0, len(all))
	for key, s := range all {
		summaries = append(summaries, s.summary(key))
	}
	slices.SortFunc(summaries, func(a, b Summary) int {
		return cmp.Or(
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Tenant, b.Tenant),
			cmp.Compare(a.Class, b.Class),
		)
	})
	return summaries
}

// snapshot copies the table of series, so that its lock is held only briefly.
func (r *Recorder) snapshot() map[seriesKey]*series {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.series)
}

func (s *series) summary(key seriesKey) Summary {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	summary := Summary{
		Service:  key.service,
		Tenant:   key.tenant,
		Class:    key.class.String(),
		Outcomes: make(map[string]uint64, outcomeCount),
		Reasons:  make(map[bulrushchute.Reason]uint64, len(s.reasons)),
		Latency:  s.latencySummary(),
	}
	for outcome, count := range s.outcomes {
		if count > 0 {
			summary.Outcomes[bulrushchute.Outcome(outcome).String()] = count
		}
	}
	for reason, count := range s.reasons {
		summary.Reasons[reason] = count
	}
	return summary
}

func (s *series) latencySummary() LatencySummary {
	return LatencySummary{
		P50Ms: microsToMs(s.answeredLatency.ValueAtQuantile(50)),
		P90Ms: microsToMs(s.answeredLatency.ValueAtQuantile(90)),
		P99Ms: microsToMs(s.answeredLatency.ValueAtQuantile(99)),
		MaxMs: microsToMs(s.answeredLatency.Max()),
	}
}

func microsToMs(micros int64) float64 {
	return float64(micros) / microsPerMs
}
