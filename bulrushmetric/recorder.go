package bulrushmetric

import (
	"encoding/json"
	"expvar"
	"math"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bulrushchute.example/bulrushchute"
)

// OtherTenant stands for all tenants beyond the limit.
const OtherTenant bulrushchute.Tenant = "(other)"

// OtherService stands for all services beyond the limit.
const OtherService bulrushchute.Service = "(other)"

// OtherReason stands for all reasons beyond the limit.
const OtherReason bulrushchute.Reason = "(other)"

// Limits on what a recorder distinguishes: the tenants of each service, the
// services, and the reasons in each series. A node calls few of the fleet's
// services, and reasons are constants of the root package.
const (
	DefaultMaxTenants = 32
	maxServices       = 64
	maxReasons        = 64
)

// Histograms record microseconds up to a minute with two significant digits,
// which takes 21 KB each.
const (
	microsPerMs       = 1000
	lowestMicros      = 1
	highestMicros     = int64(bulrushchute.Minute) * microsPerMs
	significantDigits = 2
)

// maxSeries limits the series of one recorder, so that their histograms take only
// a small part of the node's memory: 512 of 21 KB take 11 MB. Beyond it,
// measurements go to the series of OtherService and OtherTenant.
const maxSeries = 512

// Measurement is one finished request.
type Measurement struct {
	Service bulrushchute.Service
	Tenant  bulrushchute.Tenant
	Class   bulrushchute.Class
	Outcome bulrushchute.Outcome
	// Reason is empty for requests that were answered.
	Reason    bulrushchute.Reason
	ElapsedMs float64
}

// seriesKey identifies a series.
type seriesKey struct {
	service bulrushchute.Service
	tenant  bulrushchute.Tenant
	class   bulrushchute.Class
}

// outcomeCount is the number of values of bulrushchute.Outcome.
const outcomeCount = int(bulrushchute.OutcomeNotRun) + 1

// series holds the counters and latencies of one key. Each series has its own
// lock, so that a summary of all series blocks a request only while it reads one
// of them.
type series struct {
	mutex    sync.Mutex
	outcomes [outcomeCount]uint64
	reasons  map[bulrushchute.Reason]uint64
	// answeredLatency covers answered requests only, because the quick refusals of
	// an overloaded server would make its latency look low.
	answeredLatency *hdrhistogram.Histogram
}

// Recorder counts requests and records their latencies. It is safe for concurrent
// use.
type Recorder struct {
	maxTenants int

	mutex   sync.Mutex
	tenants map[bulrushchute.Service]map[bulrushchute.Tenant]bool
	series  map[seriesKey]*series
}

// NewRecorder returns a recorder that distinguishes at most maxTenants tenants of
// each service and counts further ones together as OtherTenant. Zero selects
// DefaultMaxTenants.
func NewRecorder(maxTenants int) *Recorder {
	if maxTenants <= 0 {
		maxTenants = DefaultMaxTenants
	}
	return &Recorder{
		maxTenants: maxTenants,
		tenants:    make(map[bulrushchute.Service]map[bulrushchute.Tenant]bool),
		series:     make(map[seriesKey]*series),
	}
}

// Record adds a finished request. Latencies above a minute count as a minute.
func (r *Recorder) Record(m Measurement) {
	r.seriesFor(m).record(m)
}

// seriesFor returns the series of a measurement.
func (r *Recorder) seriesFor(m Measurement) *series {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.getOrCreate(r.boundedKey(m))
}

func (s *series) record(m Measurement) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	outcome := min(int(m.Outcome), outcomeCount-1)
	s.outcomes[outcome]++
	if m.Reason != "" {
		s.countReason(m.Reason)
	}
	if m.Outcome == bulrushchute.OutcomeAnswered {
		s.recordLatency(m.ElapsedMs)
	}
}

func (s *series) countReason(reason bulrushchute.Reason) {
	if _, known := s.reasons[reason]; !known && len(s.reasons) >= maxReasons {
		reason = OtherReason
	}
	s.reasons[reason]++
}

func (s *series) recordLatency(elapsedMs float64) {
	if math.IsNaN(elapsedMs) {
		elapsedMs = 0
	}
	micros := max(float64(lowestMicros), min(float64(highestMicros), elapsedMs*microsPerMs))
	// The value is within the range of the histogram, so no error is possible.
	_ = s.answeredLatency.RecordValue(int64(micros))
}

// boundedKey returns the key of a measurement's series, in which services and
// tenants beyond the limits are replaced by OtherService and OtherTenant.
func (r *Recorder) boundedKey(m Measurement) seriesKey {
	class := min(m.Class, bulrushchute.ClassBulk)
	key := seriesKey{service: m.Service, tenant: m.Tenant, class: class}
	serviceTenants, ok := r.tenants[m.Service]
	if !ok {
		if len(r.tenants) >= maxServices {
			return seriesKey{service: OtherService, tenant: OtherTenant, class: class}
		}
		serviceTenants = make(map[bulrushchute.Tenant]bool)
		r.tenants[m.Service] = serviceTenants
	}
	if !serviceTenants[m.Tenant] && len(serviceTenants) >= r.maxTenants {
		key.tenant = OtherTenant
		return key
	}
	serviceTenants[m.Tenant] = true
	return key
}

// getOrCreate returns the series of a key and creates it if needed. At maxSeries,
// it falls back to the series of OtherService and OtherTenant.
func (r *Recorder) getOrCreate(key seriesKey) *series {
	if existing, ok := r.series[key]; ok {
		return existing
	}
	if len(r.series) >= maxSeries {
		key = seriesKey{service: OtherService, tenant: OtherTenant, class: key.class}
		if existing, ok := r.series[key]; ok {
			return existing
		}
	}
	created := &series{
		reasons:         make(map[bulrushchute.Reason]uint64),
		answeredLatency: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
	}
	r.series[key] = created
	return created
}

// Publish publishes the recorder as an expvar variable. Like expvar.Publish, it
// panics if the name is in use.
func (r *Recorder) Publish(name string) {
	expvar.Publish(name, r)
}

// String implements expvar.Var. It returns the summaries as JSON.
func (r *Recorder) String() string {
	text, err := json.Marshal(r.Summaries())
	if err != nil {
		return "null"
	}
	return string(text)
}
