package bulrushcatalogue

import (
	"bulrushchute.example/bulrushchute"
)

// ServiceEntry is the catalogue's entry for one service of backend servers.
// Fields that are zero take the defaults below.
type ServiceEntry struct {
	Service bulrushchute.Service `json:"service"`
	Owner   string               `json:"owner"`
	// Class is the class of requests whose route names none.
	Class string `json:"class,omitempty"`
	// TimeoutMs bounds a request that brings no shorter timeout of its own.
	TimeoutMs bulrushchute.Millis `json:"timeout_ms,omitempty"`
	// StableVersion gets all requests while no move is under way. Empty means
	// that the version does not matter.
	StableVersion bulrushchute.Version `json:"stable_version,omitempty"`
	Limits        Limits               `json:"limits,omitzero"`
	Probe         Probe                `json:"probe,omitzero"`
	// Subset is the number of backend servers that one entry node uses.
	Subset  int           `json:"subset,omitempty"`
	Routes  []Route       `json:"routes,omitempty"`
	Tenants []TenantShare `json:"tenants,omitempty"`
	Move    *Move         `json:"move,omitempty"`
}

// Limits bound what one backend server of the service receives.
type Limits struct {
	// Slots is the number of requests in flight.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
	// Queue is the number of requests that may wait in each class.
	Queue     int                 `json:"queue,omitempty"`
	QueueMs   bulrushchute.Millis `json:"queue_ms,omitempty"`
	ColdSlots int                 `json:"cold_slots,omitempty"`
	// WarmMs is the shortest time in which a cold backend server may reach Slots.
	WarmMs bulrushchute.Millis `json:"warm_ms,omitempty"`
}

// Probe bounds and directs the measuring of one backend server.
type Probe struct {
	// BudgetPerS covers health, load and connection probes together.
	BudgetPerS float64 `json:"budget_per_s,omitempty"`
	HealthPath string  `json:"health_path,omitempty"`
	LoadPath   string  `json:"load_path,omitempty"`
}

// Route gives requests with a path prefix and method their properties. The
// longest matching prefix wins.
type Route struct {
	Name    string   `json:"name"`
	Prefix  string   `json:"prefix"`
	Methods []string `json:"methods,omitempty"`
	// Idempotent is nil when the method decides, as RFC 9110 defines it.
	Idempotent *bool               `json:"idempotent,omitempty"`
	Class      string              `json:"class,omitempty"`
	TimeoutMs  bulrushchute.Millis `json:"timeout_ms,omitempty"`
}

// TenantShare gives a tenant its share of the service when others compete.
type TenantShare struct {
	Tenant bulrushchute.Tenant `json:"tenant"`
	Weight int                 `json:"weight"`
}

// Move asks for a staged rollout from one version to another.
type Move struct {
	// Generation tells one move of the service from the next.
	Generation   uint64               `json:"generation"`
	FromVersion  bulrushchute.Version `json:"from_version"`
	ToVersion    bulrushchute.Version `json:"to_version"`
	CompleteByMs bulrushchute.Millis  `json:"complete_by_ms"`
}

// DataCentreState is what operators want of a data centre.
type DataCentreState string

// States of a data centre.
const (
	// DataCentreServing is a data centre that takes work.
	DataCentreServing DataCentreState = "serving"
	// DataCentreWithdrawn is a data centre that takes no new work.
	DataCentreWithdrawn DataCentreState = "withdrawn"
	// DataCentreLost is a data centre that the operator vouches to be off for
	// good, so that its key homes may be taken over.
	DataCentreLost DataCentreState = "lost"
)

// DataCentreEntry is the catalogue's entry for one data centre.
type DataCentreEntry struct {
	DataCentre bulrushchute.DataCentre `json:"data_centre"`
	Region     bulrushchute.Region     `json:"region"`
	State      DataCentreState         `json:"state"`
	// ReturnRampMs is the time in which a returning data centre reaches its full share.
	ReturnRampMs bulrushchute.Millis `json:"return_ramp_ms,omitempty"`
}

// Defaults for fields that an entry leaves out.
const (
	DefaultTimeoutMs    = 5 * bulrushchute.Second
	DefaultSlots        = 10
	DefaultConnections  = 240
	DefaultQueue        = 20
	DefaultQueueMs      = 200 * bulrushchute.Millisecond
	DefaultColdSlots    = 1
	DefaultWarmMs       = 5 * bulrushchute.Second
	DefaultProbesPerS   = 2.0
	DefaultSubset       = 16
	DefaultReturnRampMs = 30 * bulrushchute.Second
	DefaultHealthPath   = "/health"
	DefaultLoadPath     = "/load"
	DefaultRouteName    = "default"
)

// WithDefaults returns a copy in which every field that was left out has its default.
func (se ServiceEntry) WithDefaults() ServiceEntry {
	if se.Class == "" {
		se.Class = bulrushchute.ClassStandard.String()
	}
	setDefault(&se.TimeoutMs, DefaultTimeoutMs)
	setDefault(&se.Subset, DefaultSubset)
	se.Limits = se.Limits.withDefaults()
	se.Probe = se.Probe.withDefaults()
	return se
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.Slots, DefaultSlots)
	setDefault(&l.Connections, DefaultConnections)
	setDefault(&l.Queue, DefaultQueue)
	setDefault(&l.QueueMs, DefaultQueueMs)
	setDefault(&l.ColdSlots, DefaultColdSlots)
	setDefault(&l.WarmMs, DefaultWarmMs)
	return l
}

func (p Probe) withDefaults() Probe {
	setDefault(&p.BudgetPerS, DefaultProbesPerS)
	setDefault(&p.HealthPath, DefaultHealthPath)
	setDefault(&p.LoadPath, DefaultLoadPath)
	return p
}

// WithDefaults returns a copy in which every field that was left out has its default.
func (de DataCentreEntry) WithDefaults() DataCentreEntry {
	if de.State == "" {
		de.State = DataCentreServing
	}
	setDefault(&de.ReturnRampMs, DefaultReturnRampMs)
	return de
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
