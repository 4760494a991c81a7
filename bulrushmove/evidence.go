package bulrushmove

import (
	"cmp"
	"slices"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// EvidencePeriod is the interval between the reports of a Recorder and between
// the steps of a Judge.
const EvidencePeriod = bulrushchute.Second

// shortEvidencePeriod is the EvidencePeriod of short moves.
const shortEvidencePeriod = 250 * bulrushchute.Millisecond

// maxRoutes is the number of routes with separate counts: the limit of the
// catalogue plus the default route.
const maxRoutes = 257

// Sample is the result of one attempt on a backend server.
type Sample struct {
	Version bulrushchute.Version
	Route   string
	Failed  bool
	// ElapsedMs is the time from dispatch to the answer or the cancellation.
	ElapsedMs float64
	// Warming is set during the first warm_ms (a setting of the catalogue entry)
	// after the backend server's start. The latency is then ignored, since a cold
	// start is slow in any version.
	Warming bool
}

// SampleOf converts the result of an attempt to a sample. It returns false if the
// result says nothing about the version. A cancelled attempt counts with its
// elapsed time, because hedging cancels the slow attempts of a bad version.
func SampleOf(version bulrushchute.Version, route string, result bulrushchute.ResultKind, elapsedMs float64) (Sample, bool) {
	sample := Sample{Version: version, Route: route, ElapsedMs: elapsedMs}
	switch result {
	case bulrushchute.ResultAnswered, bulrushchute.ResultCancelled:
		return sample, true
	case bulrushchute.ResultServerError, bulrushchute.ResultUnknown:
		sample.Failed = true
		return sample, true
	default:
		return Sample{}, false
	}
}

// Recorder collects the evidence of one move on one node. It is not safe for
// concurrent use.
type Recorder struct {
	service  bulrushchute.Service
	move     bulrushcatalogue.Move
	counts   map[countsKey]*Counts
	sequence uint64
}

type countsKey struct {
	version bulrushchute.Version
	route   string
}

// NewRecorder returns an empty recorder for a service's move.
func NewRecorder(service bulrushchute.Service, move bulrushcatalogue.Move) *Recorder {
	return &Recorder{service: service, move: move, counts: map[countsKey]*Counts{}}
}

// Observe adds a sample. Samples of versions outside the move are ignored.
func (r *Recorder) Observe(sample Sample) {
	version := r.move.ToVersion
	if r.move.IsOldVersion(sample.Version) {
		version = r.move.FromVersion
	} else if sample.Version != r.move.ToVersion {
		return
	}
	r.countsFor(countsKey{version: version, route: sample.Route}).observe(sample)
}

// countsFor returns the counts of a key. Beyond 2*maxRoutes keys, one per version
// and route, requests count as those of the default route.
func (r *Recorder) countsFor(key countsKey) *Counts {
	if counts, ok := r.counts[key]; ok {
		return counts
	}
	if len(r.counts) >= 2*maxRoutes {
		key.route = bulrushcatalogue.DefaultRouteName
	}
	if r.counts[key] == nil {
		r.counts[key] = &Counts{}
	}
	return r.counts[key]
}

// TakeReports returns the reports since the last call, sorted by version and
// route, and resets the counts.
func (r *Recorder) TakeReports() []bulrushchute.Evidence {
	keys := make([]countsKey, 0, len(r.counts))
	for key := range r.counts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b countsKey) int {
		return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.route, b.route))
	})
	reports := make([]bulrushchute.Evidence, 0, len(keys))
	for _, key := range keys {
		reports = append(reports, r.report(key))
	}
	clear(r.counts)
	return reports
}

func (r *Recorder) report(key countsKey) bulrushchute.Evidence {
	counts := r.counts[key]
	r.sequence++
	evidence := bulrushchute.Evidence{
		Service:    r.service,
		Generation: r.move.Generation,
		Version:    key.version,
		Route:      key.route,
		Requests:   int(counts.Requests),
		Failures:   int(counts.Failures),
		Sequence:   r.sequence,
	}
	// Trailing empty buckets are not sent.
	last := counts.bucketOfQuantile(1)
	if counts.answers() > 0 {
		evidence.Latencies = make([]uint32, last+1)
		for i := range evidence.Latencies {
			evidence.Latencies[i] = uint32(counts.Latencies[i])
		}
	}
	return evidence
}
