package bulrushcatalogue

import (
	"bulrushchute.example/bulrushchute"
)

// ServiceEntry is the catalogue entry of one service of backend servers. Zero
// fields take the defaults below.
type ServiceEntry struct {
	Service bulrushchute.Service `json:"service" validate:"label"`
	Owner   string               `json:"owner" validate:"required,max=200"`
	// Class applies to requests whose route sets no class.
	Class string `json:"class,omitempty" validate:"omitempty,oneof=critical standard bulk"`
	// TimeoutMs is the timeout of a request whose route sets none. The request
	// itself may set a shorter one.
	TimeoutMs bulrushchute.Millis `json:"timeout_ms,omitempty" validate:"min=0,max=3600000"`
	// StableVersion receives all requests while the entry has no Move. Empty
	// means that any version may serve a request.
	StableVersion bulrushchute.Version `json:"stable_version,omitempty" validate:"omitempty,version"`
	Limits        Limits               `json:"limits,omitzero"`
	Probe         Probe                `json:"probe,omitzero"`
	// Subset is the maximum number of backend servers of each version that an
	// entry node uses.
	Subset  int           `json:"subset,omitempty" validate:"min=1,max=1000"`
	Routes  []Route       `json:"routes,omitempty" validate:"max=256,dive"`
	Tenants []TenantShare `json:"tenants,omitempty" validate:"max=1000,dive"`
	Move    *Move         `json:"move,omitempty" validate:"omitempty"`
	// LastChange identifies who stored the entry. It has no effect on requests.
	LastChange *LastChange `json:"change,omitempty" validate:"omitempty"`
}

// LastChange identifies the write that stored an entry. When the store's
// response is lost, the writer can tell whether its write was applied; when
// another writer came first, it can tell who that was.
type LastChange struct {
	// Writer is an ID that is unique to the write.
	Writer string `json:"writer" validate:"required,max=200"`
	// By is the operator's name.
	By   string              `json:"by" validate:"required,max=200"`
	AtMs bulrushchute.Millis `json:"at_ms" validate:"min=1"`
}

// Limits bounds the load on each backend server of the service.
type Limits struct {
	// Slots is the maximum number of requests in flight.
	Slots int `json:"slots,omitempty" validate:"min=1,max=100000"`
	// Connections is the maximum number of open connections, for requests and
	// probes together.
	Connections int `json:"connections,omitempty" validate:"min=1,max=100000"`
	// Queue is the maximum number of queued requests in each class.
	Queue int `json:"queue,omitempty" validate:"min=1,max=100000"`
	// QueueMs is the maximum time that a request waits in the queue.
	QueueMs bulrushchute.Millis `json:"queue_ms,omitempty" validate:"min=1,max=3600000"`
	// ColdSlots replaces Slots at the start of the cold ramp.
	ColdSlots int `json:"cold_slots,omitempty" validate:"min=1,max=100000"`
	// WarmMs is the minimum time in which a cold backend server may reach
	// Slots.
	WarmMs bulrushchute.Millis `json:"warm_ms,omitempty" validate:"min=1,max=3600000"`
	// ColdPerS is the rate in requests per second that a cold backend server is
	// said to tolerate, 0 for no limit on the rate. The limit in force is a multiple
	// of it, see coldRateFactor in bulrushadmission.
	ColdPerS float64 `json:"cold_per_s,omitempty" validate:"min=0,max=100000"`
}

// Probe sets the rate limit and the paths for probing one backend server.
type Probe struct {
	// BudgetPerS is the maximum rate of health, load and connection probes
	// combined, per second.
	BudgetPerS float64 `json:"budget_per_s,omitempty" validate:"gt=0,max=100"`
	HealthPath string  `json:"health_path,omitempty" validate:"path"`
	LoadPath   string  `json:"load_path,omitempty" validate:"path"`
}

// Route sets the properties of requests that match a path prefix and method.
// The longest matching prefix wins.
type Route struct {
	Name    string   `json:"name" validate:"label"`
	Prefix  string   `json:"prefix" validate:"path"`
	Methods []string `json:"methods,omitempty" validate:"max=20,unique,dive,method"`
	// Idempotent overrides the idempotency of the method. If it is nil, the
	// method decides, as defined in RFC 9110.
	Idempotent *bool               `json:"idempotent,omitempty"`
	Class      string              `json:"class,omitempty" validate:"omitempty,oneof=critical standard bulk"`
	TimeoutMs  bulrushchute.Millis `json:"timeout_ms,omitempty" validate:"min=0,max=3600000"`
}

// TenantShare sets a tenant's share of the service under contention.
type TenantShare struct {
	Tenant bulrushchute.Tenant `json:"tenant" validate:"required,max=200"`
	Weight int                 `json:"weight" validate:"min=1,max=10000"`
}

// Move requests a staged rollout from one version to another.
type Move struct {
	// Generation distinguishes successive moves of the service.
	Generation uint64 `json:"generation" validate:"min=1"`
	// FromVersion is empty in an ordered move, which is a move that a MoveOrder
	// requests. Every version other than ToVersion then counts as old.
	FromVersion  bulrushchute.Version `json:"from_version" validate:"version"`
	ToVersion    bulrushchute.Version `json:"to_version" validate:"version"`
	CompleteByMs bulrushchute.Millis  `json:"complete_by_ms" validate:"min=1"`
	// WithinMs is the time limit of an ordered move, which has no CompleteByMs. It
	// counts from when the first holder learns of the move.
	WithinMs bulrushchute.Millis `json:"-"`
	// Outcome is the outcome that a MoveOrder records, so that it is known without
	// asking the move's holder. It is empty while the move is in progress, and for
	// a move that is not ordered.
	Outcome MoveOutcome `json:"-"`
}

// MoveOutcome is the outcome of an ordered move as its MoveOrder records it,
// empty while the move is in progress. The outcome that the holder stores is a
// bulrushmove.Outcome, which is spelled differently.
type MoveOutcome string

// Outcomes of a finished ordered move.
const (
	MoveCompleted  MoveOutcome = "completed"
	MoveRolledBack MoveOutcome = "rolled_back"
)

// IsOldVersion reports whether the move replaces a version.
func (m Move) IsOldVersion(version bulrushchute.Version) bool {
	if m.FromVersion == "" {
		return version != m.ToVersion
	}
	return version == m.FromVersion
}

// DataCentreState is the state that operators request for a data centre.
type DataCentreState string

// States of a data centre.
const (
	// DataCentreServing marks a data centre that accepts requests.
	DataCentreServing DataCentreState = "serving"
	// DataCentreWithdrawn marks a data centre that accepts no new requests.
	DataCentreWithdrawn DataCentreState = "withdrawn"
	// DataCentreLost marks a data centre that the operator has declared
	// permanently down, so that other nodes may take over the partitions of its
	// key homes.
	DataCentreLost DataCentreState = "lost"
)

// DataCentreEntry is the catalogue entry of one data centre.
type DataCentreEntry struct {
	DataCentre bulrushchute.DataCentre `json:"data_centre" validate:"label"`
	Region     bulrushchute.Region     `json:"region" validate:"label"`
	State      DataCentreState         `json:"state" validate:"oneof=serving withdrawn lost"`
	// ReturnRampMs is the time in which a data centre that returns to service
	// ramps up to its full weight.
	ReturnRampMs bulrushchute.Millis `json:"return_ramp_ms,omitempty" validate:"min=1,max=3600000"`
	// LastChange identifies who stored the entry.
	LastChange *LastChange `json:"change,omitempty" validate:"omitempty"`
}

// Defaults for fields that an entry omits.
const (
	DefaultTimeoutMs       = 5 * bulrushchute.Second
	DefaultSlots           = 10
	DefaultConnections     = 240
	DefaultQueue           = 20
	DefaultQueueMs         = 200 * bulrushchute.Millisecond
	DefaultColdSlots       = 1
	DefaultWarmMs          = 5 * bulrushchute.Second
	DefaultProbeBudgetPerS = 2.0
	DefaultSubset          = 16
	DefaultReturnRampMs    = 30 * bulrushchute.Second
	DefaultHealthPath      = "/health"
	DefaultLoadPath        = "/load"
	DefaultRouteName       = "default"
)

// WithDefaults returns a copy of the entry with defaults for omitted fields.
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
	setDefault(&p.BudgetPerS, DefaultProbeBudgetPerS)
	setDefault(&p.HealthPath, DefaultHealthPath)
	setDefault(&p.LoadPath, DefaultLoadPath)
	return p
}

// WithDefaults returns a copy of the entry with defaults for omitted fields.
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
