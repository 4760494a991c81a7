package bulrushcatalogue

import (
	"bulrushchute.example/bulrushchute"
)

// ServiceEntry is the catalogue's entry for one service of backend servers.
// Fields that are zero take the defaults below.
type ServiceEntry struct {
	Service bulrushchute.Service `json:"service" validate:"label"`
	Owner   string               `json:"owner" validate:"required,max=200"`
	// Class is the class of requests whose route names none.
	Class string `json:"class,omitempty" validate:"omitempty,oneof=critical standard bulk"`
	// TimeoutMs bounds a request that brings no shorter timeout of its own.
	TimeoutMs bulrushchute.Millis `json:"timeout_ms,omitempty" validate:"min=0,max=3600000"`
	// StableVersion gets all requests while no move is under way. Empty means
	// that the version does not matter.
	StableVersion bulrushchute.Version `json:"stable_version,omitempty" validate:"omitempty,version"`
	Limits        Limits               `json:"limits,omitzero"`
	Probe         Probe                `json:"probe,omitzero"`
	// Subset is the number of backend servers that one entry node uses.
	Subset  int           `json:"subset,omitempty" validate:"min=1,max=1000"`
	Routes  []Route       `json:"routes,omitempty" validate:"max=256,dive"`
	Tenants []TenantShare `json:"tenants,omitempty" validate:"max=1000,dive"`
	Move    *Move         `json:"move,omitempty" validate:"omitempty"`
	// Change says who stored the entry. It has no effect on requests.
	Change *LastChange `json:"change,omitempty" validate:"omitempty"`
}

// LastChange identifies the write that stored an entry, so that a lost answer
// can be settled and the loser of a race be told who won it.
type LastChange struct {
	// Writer is an id that is used for one write only.
	Writer string `json:"writer" validate:"required,max=200"`
	// By is the name of the operator.
	By   string              `json:"by" validate:"required,max=200"`
	AtMs bulrushchute.Millis `json:"at_ms" validate:"min=1"`
}

// Limits bound what one backend server of the service receives.
type Limits struct {
	// Slots is the number of requests in flight.
	Slots       int `json:"slots,omitempty" validate:"min=1,max=100000"`
	Connections int `json:"connections,omitempty" validate:"min=1,max=100000"`
	// Queue is the number of requests that may wait in each class.
	Queue     int                 `json:"queue,omitempty" validate:"min=1,max=100000"`
	QueueMs   bulrushchute.Millis `json:"queue_ms,omitempty" validate:"min=1,max=3600000"`
	ColdSlots int                 `json:"cold_slots,omitempty" validate:"min=1,max=100000"`
	// WarmMs is the shortest time in which a cold backend server may reach Slots.
	WarmMs bulrushchute.Millis `json:"warm_ms,omitempty" validate:"min=1,max=3600000"`
	// ColdPerS bounds the requests that a cold backend server receives in any
	// second. 0 means that only ColdSlots bounds them.
	ColdPerS float64 `json:"cold_per_s,omitempty" validate:"min=0,max=100000"`
}

// Probe bounds and directs the measuring of one backend server.
type Probe struct {
	// BudgetPerS covers health, load and connection probes together.
	BudgetPerS float64 `json:"budget_per_s,omitempty" validate:"gt=0,max=100"`
	HealthPath string  `json:"health_path,omitempty" validate:"path"`
	LoadPath   string  `json:"load_path,omitempty" validate:"path"`
}

// Route gives requests with a path prefix and method their properties. The
// longest matching prefix wins.
type Route struct {
	Name    string   `json:"name" validate:"label"`
	Prefix  string   `json:"prefix" validate:"path"`
	Methods []string `json:"methods,omitempty" validate:"max=20,unique,dive,method"`
	// Idempotent is nil when the method decides, as RFC 9110 defines it.
	Idempotent *bool               `json:"idempotent,omitempty"`
	Class      string              `json:"class,omitempty" validate:"omitempty,oneof=critical standard bulk"`
	TimeoutMs  bulrushchute.Millis `json:"timeout_ms,omitempty" validate:"min=0,max=3600000"`
}

// TenantShare gives a tenant its share of the service when others compete.
type TenantShare struct {
	Tenant bulrushchute.Tenant `json:"tenant" validate:"required,max=200"`
	Weight int                 `json:"weight" validate:"min=1,max=10000"`
}

// Move asks for a staged rollout from one version to another.
type Move struct {
	// Generation tells one move of the service from the next.
	Generation uint64 `json:"generation" validate:"min=1"`
	// FromVersion is empty in a move that a MoveOrder asks for: every other
	// version than ToVersion is then the old one.
	FromVersion  bulrushchute.Version `json:"from_version" validate:"version"`
	ToVersion    bulrushchute.Version `json:"to_version" validate:"version"`
	CompleteByMs bulrushchute.Millis  `json:"complete_by_ms" validate:"min=1"`
	// WithinMs is the time for the move from when its holder first learns of it,
	// for a move without CompleteByMs.
	WithinMs bulrushchute.Millis `json:"-"`
	// Settled is the outcome that is known without asking the move's holder.
	Settled MoveSettled `json:"-"`
}

// MoveSettled is how a move has ended, empty while it goes on.
type MoveSettled string

// Ends of a move.
const (
	MoveCompleted  MoveSettled = "completed"
	MoveRolledBack MoveSettled = "rolled_back"
)

// IsOld reports whether the move leads away from a version.
func (m Move) IsOld(version bulrushchute.Version) bool {
	if m.FromVersion == "" {
		return version != m.ToVersion
	}
	return version == m.FromVersion
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
	DataCentre bulrushchute.DataCentre `json:"data_centre" validate:"label"`
	Region     bulrushchute.Region     `json:"region" validate:"label"`
	State      DataCentreState         `json:"state" validate:"oneof=serving withdrawn lost"`
	// ReturnRampMs is the time in which a returning data centre reaches its full share.
	ReturnRampMs bulrushchute.Millis `json:"return_ramp_ms,omitempty" validate:"min=1,max=3600000"`
	// Change says who stored the entry.
	Change *LastChange `json:"change,omitempty" validate:"omitempty"`
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
