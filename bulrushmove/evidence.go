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
	// after the backend server's start. The latency then counts only if it is very
	// long, since a cold start is slow in any version.
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
	service bulrushchute.Service
	move    bulrushcatalogue.Move
	// counts are those since the last reports, totals those of all earlier reports.
	counts   map[countsKey]*Counts
	totals   map[countsKey]*Counts
	running  map[bulrushchute.AttemptID]runningRequest
	sequence uint64
}

// runningRequest is a request of the new version that has been dispatched.
type runningRequest struct {
	route     string
	startedAt bulrushchute.Millis
}

type countsKey struct {
	version bulrushchute.Version
	route   string
}

// NewRecorder returns an empty recorder for a service's move.
func NewRecorder(service bulrushchute.Service, move bulrushcatalogue.Move) *Recorder {
	return &Recorder{
		service: service,
		move:    move,
		counts:  map[countsKey]*Counts{},
		totals:  map[countsKey]*Counts{},
		running: map[bulrushchute.AttemptID]runningRequest{},
	}
}

// Service returns the service whose move is recorded.
func (r *Recorder) Service() bulrushchute.Service {
	return r.service
}

// Started records the dispatch of a request. Those of the old version are ignored.
func (r *Recorder) Started(now bulrushchute.Millis, id bulrushchute.AttemptID, version bulrushchute.Version, route string) {
	if version == r.move.ToVersion {
		r.running[id] = runningRequest{route: route, startedAt: now}
	}
}

// Ended records the end of a request, whether or not it yields a sample.
func (r *Recorder) Ended(id bulrushchute.AttemptID) {
	delete(r.running, id)
}

// Observe adds a sample. Samples of versions outside the move are ignored.
func (r *Recorder) Observe(sample Sample) {
	version := r.move.ToVersion
	if r.move.IsOldVersion(sample.Version) {
		version = r.move.FromVersion
	} else if sample.Version != r.move.ToVersion {
		return
	}
	countsFor(r.counts, countsKey{version: version, route: sample.Route}).observe(sample)
}

// countsFor returns the counts of a key. Beyond 2*maxRoutes keys, one per version
// and route, requests count as those of the default route.
func countsFor(counts map[countsKey]*Counts, key countsKey) *Counts {
	if existing, ok := counts[key]; ok {
		return existing
	}
	if len(counts) >= 2*maxRoutes {
		key.route = bulrushcatalogue.DefaultRouteName
	}
	if counts[key] == nil {
		counts[key] = &Counts{}
	}
	return counts[key]
}

// TakeReports returns the reports since the last call, sorted by version and route.
// A route of the new version is also reported while requests on it are running.
func (r *Recorder) TakeReports(now bulrushchute.Millis) []bulrushchute.Evidence {
	reports := r.reports(now, r.counts)
	r.addToTotals()
	return reports
}

// TakeAllReports is like TakeReports, but returns the reports since the recorder was
// created. It is for a holder that has received none of them.
func (r *Recorder) TakeAllReports(now bulrushchute.Millis) []bulrushchute.Evidence {
	r.addToTotals()
	return r.reports(now, r.totals)
}

func (r *Recorder) addToTotals() {
	for key, counts := range r.counts {
		countsFor(r.totals, key).add(*counts)
	}
	clear(r.counts)
}

func (r *Recorder) reports(now bulrushchute.Millis, counts map[countsKey]*Counts) []bulrushchute.Evidence {
	ages := r.runningAges(now)
	for route := range ages {
		countsFor(counts, countsKey{version: r.move.ToVersion, route: route})
	}
	keys := make([]countsKey, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b countsKey) int {
		return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.route, b.route))
	})
	reports := make([]bulrushchute.Evidence, 0, len(keys))
	for _, key := range keys {
		report := r.report(key, counts[key])
		if key.version == r.move.ToVersion {
			report.RunningAges = ages[key.route]
		}
		reports = append(reports, report)
	}
	return reports
}

// runningAges returns the ages of the running requests by route, as histograms
// without trailing empty buckets.
func (r *Recorder) runningAges(now bulrushchute.Millis) map[string][]uint32 {
	ages := map[string][]uint32{}
	for _, request := range r.running {
		bucket := BucketOf(float64(now - request.startedAt))
		for len(ages[request.route]) <= bucket {
			ages[request.route] = append(ages[request.route], 0)
		}
		ages[request.route][bucket]++
	}
	return ages
}

func (r *Recorder) report(key countsKey, counts *Counts) bulrushchute.Evidence {
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
	evidence.Latencies = usedBuckets(counts.Latencies[:])
	evidence.WarmingLatencies = usedBuckets(counts.WarmingLatencies[:])
	return evidence
}

// usedBuckets returns a histogram without its trailing empty buckets.
func usedBuckets(histogram []float64) []uint32 {
	for len(histogram) > 0 && histogram[len(histogram)-1] == 0 {
		histogram = histogram[:len(histogram)-1]
	}
	var buckets []uint32
	for _, count := range histogram {
		buckets = append(buckets, uint32(count))
	}
	return buckets
}
