package bulrushmetric

import (
	"encoding/json"
	"expvar"
	"math"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bulrushchute.example/bulrushchute"
)

// OtherTenant takes the measurements of tenants beyond the bound.
const OtherTenant bulrushchute.Tenant = "(other)"

// OtherService takes the measurements of services beyond the bound.
const OtherService bulrushchute.Service = "(other)"

// OtherReason takes the counts of reasons beyond the bound.
const OtherReason bulrushchute.Reason = "(other)"

// Bounds of what a recorder tells apart. A node calls few of the fleet's
// services, and reasons are constants of the root package.
const (
	DefaultMaxTenants = 32
	maxServices       = 64
	maxReasons        = 64
)

// Histograms count microseconds up to a minute with two significant digits,
// which takes 21 KB for each.
const (
	microsPerMs       = 1000
	lowestMicros      = 1
	highestMicros     = int64(bulrushchute.Minute) * microsPerMs
	significantDigits = 2
)

// maxSeries bounds the histograms of one recorder, so that they stay well below
// the node's memory: 512 of 21 KB are 11 MB. Beyond it, measurements go to the
// series of other tenants and other services.
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

// seriesKey names what is told apart.
type seriesKey struct {
	service bulrushchute.Service
	tenant  bulrushchute.Tenant
	class   bulrushchute.Class
}

// outcomeCount is the number of outcomes that a request can have.
const outcomeCount = int(bulrushchute.OutcomeNotRun) + 1

// series holds the counters and latencies of one key. Each has its own lock, so
// that a summary of all series holds up a request for one of them at most.
type series struct {
	mutex    sync.Mutex
	outcomes [outcomeCount]uint64
	reasons  map[bulrushchute.Reason]uint64
	// answered times answers only. The quick refusals of an overloaded server
	// would otherwise make its latency look good.
	answered *hdrhistogram.Histogram
}

// Recorder counts and times requests. It is safe for concurrent use.
type Recorder struct {
	maxTenants int

	mutex   sync.Mutex
	tenants map[bulrushchute.Service]map[bulrushchute.Tenant]bool
	series  map[seriesKey]*series
}

// NewRecorder returns a recorder that tells apart at most maxTenants tenants of
// each service; further tenants are counted together as OtherTenant. Zero
// stands for DefaultMaxTenants.
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

// Record takes note of a finished request. Latencies beyond a minute count as
// a minute.
func (r *Recorder) Record(m Measurement) {
	r.find(m).count(m)
}

// find returns the series of a measurement.
func (r *Recorder) find(m Measurement) *series {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.open(r.key(m))
}

func (s *series) count(m Measurement) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	outcome := min(int(m.Outcome), outcomeCount-1)
	s.outcomes[outcome]++
	if m.Reason != "" {
		s.countReason(m.Reason)
	}
	if m.Outcome == bulrushchute.OutcomeAnswered {
		s.time(m.ElapsedMs)
	}
}

func (s *series) countReason(reason bulrushchute.Reason) {
	if _, known := s.reasons[reason]; !known && len(s.reasons) >= maxReasons {
		reason = OtherReason
	}
	s.reasons[reason]++
}

func (s *series) time(elapsedMs float64) {
	if math.IsNaN(elapsedMs) {
		elapsedMs = 0
	}
	micros := max(float64(lowestMicros), min(float64(highestMicros), elapsedMs*microsPerMs))
	// The value is within the histogram's bounds, so no error is possible.
	_ = s.answered.RecordValue(int64(micros))
}

// key returns the series' name, with names beyond the bounds replaced.
func (r *Recorder) key(m Measurement) seriesKey {
	class := min(m.Class, bulrushchute.ClassBulk)
	key := seriesKey{service: m.Service, tenant: m.Tenant, class: class}
	known, ok := r.tenants[m.Service]
	if !ok {
		if len(r.tenants) >= maxServices {
			return seriesKey{service: OtherService, tenant: OtherTenant, class: class}
		}
		known = make(map[bulrushchute.Tenant]bool)
		r.tenants[m.Service] = known
	}
	if !known[m.Tenant] && len(known) >= r.maxTenants {
		key.tenant = OtherTenant
		return key
	}
	known[m.Tenant] = true
	return key
}

// open returns the series of a key and creates it while there is room.
func (r *Recorder) open(key seriesKey) *series {
	if known, ok := r.series[key]; ok {
		return known
	}
	if len(r.series) >= maxSeries {
		key = seriesKey{service: OtherService, tenant: OtherTenant, class: key.class}
		if known, ok := r.series[key]; ok {
			return known
		}
	}
	created := &series{
		reasons:  make(map[bulrushchute.Reason]uint64),
		answered: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
	}
	r.series[key] = created
	return created
}

// Publish makes the recorder an expvar variable. It panics, as expvar.Publish
// does, if the name is in use.
func (r *Recorder) Publish(name string) {
	expvar.Publish(name, r)
}

// String returns the summaries as JSON and so implements expvar.Var.
func (r *Recorder) String() string {
	text, err := json.Marshal(r.Summaries())
	if err != nil {
		return "null"
	}
	return string(text)
}
