package bulrushchute

// Identifiers. They are separate types so that the compiler rejects mix-ups.
type (
	// InstanceID identifies one life of a node. A restarted node gets a new one.
	InstanceID string
	// DataCentre names a data centre.
	DataCentre string
	// Region names a group of data centres that are close to each other.
	Region string
	// Service names a service of backend servers.
	Service string
	// Version names a version of a service's backend servers.
	Version string
	// Tenant names the party to which a caller's requests are accounted.
	Tenant string
	// Address is an IP address and a port.
	Address string
)

// InstanceState is the state of an instance. A node announces its own instance as
// starting, cold, ready or leaving. To other nodes it is suspect after missed
// heartbeats, and dead once its failure is confirmed or it has left.
type InstanceState uint8

// States of an instance. In the state of the zero value, it gets no work.
const (
	StateStarting InstanceState = iota
	StateCold
	StateReady
	StateLeaving
	StateSuspect
	StateDead
)

var instanceStateNames = [...]string{"starting", "cold", "ready", "leaving", "suspect", "dead"}

// String returns the state's name as used in status output and logs.
func (is InstanceState) String() string {
	if int(is) < len(instanceStateNames) {
		return instanceStateNames[is]
	}
	return "invalid"
}

// MarshalText returns the state's name, for JSON.
func (is InstanceState) MarshalText() ([]byte, error) {
	return []byte(is.String()), nil
}

// UnmarshalText parses a state's name.
func (is *InstanceState) UnmarshalText(text []byte) error {
	for state, name := range instanceStateNames {
		if name == string(text) {
			*is = InstanceState(state)
			return nil
		}
	}
	return &FieldError{Field: "state", Value: string(text), Allowed: "the name of an instance state"}
}

// TakesWork reports whether new work may be sent to an instance in this state.
// A suspect instance still gets work until it is confirmed dead, because entry
// nodes notice unanswered attempts sooner than the failure detector does.
func (is InstanceState) TakesWork() bool {
	return is == StateCold || is == StateReady || is == StateSuspect
}

// Instance describes a backend server and the node beside it.
type Instance struct {
	ID         InstanceID    `cbor:"1,keyasint" json:"id"`
	Address    Address       `cbor:"2,keyasint" json:"address"`
	DataCentre DataCentre    `cbor:"3,keyasint" json:"data_centre"`
	Service    Service       `cbor:"4,keyasint,omitempty" json:"service"`
	Version    Version       `cbor:"5,keyasint,omitempty" json:"version"`
	State      InstanceState `cbor:"6,keyasint" json:"state"`
	// Incarnation orders the states that the node has announced. The node raises
	// it to refute a suspicion.
	Incarnation uint64 `cbor:"7,keyasint" json:"incarnation"`
	// Slots is the number that the backend server announced, 0 if it stated none.
	Slots int `cbor:"8,keyasint,omitempty" json:"slots"`
	// StartedAt is the start time that the backend server announced.
	StartedAt Millis `cbor:"9,keyasint" json:"started_at"`
}

// WithState returns a copy with the given state.
func (i Instance) WithState(state InstanceState) Instance {
	i.State = state
	return i
}

// WithIncarnation returns a copy with the given incarnation number.
func (i Instance) WithIncarnation(incarnation uint64) Instance {
	i.Incarnation = incarnation
	return i
}

// WithBackendServer returns a copy that describes the given backend server.
func (i Instance) WithBackendServer(service Service, version Version, slots int) Instance {
	i.Service = service
	i.Version = version
	i.Slots = slots
	return i
}

// WithStartedAt returns a copy with the given start time of the backend server.
func (i Instance) WithStartedAt(startedAt Millis) Instance {
	i.StartedAt = startedAt
	return i
}

// Load is what an admission node knows of the load of its backend server. Every
// reply carries it, so that entry nodes learn of changes without probes.
type Load struct {
	InFlight int `cbor:"1,keyasint" json:"in_flight"`
	// Limit is the number of requests that may currently be in flight.
	Limit  int `cbor:"2,keyasint" json:"limit"`
	Queued int `cbor:"3,keyasint" json:"queued"`
	// ServiceMs is the recent mean latency over all routes.
	ServiceMs float64 `cbor:"4,keyasint" json:"service_ms"`
	Cold      bool    `cbor:"5,keyasint" json:"cold"`
	Leaving   bool    `cbor:"6,keyasint" json:"leaving"`
	// FreeAfter is the time until the limit that the backend server names permits a
	// further request, 0 if it names none or has permits left.
	FreeAfter Millis `cbor:"7,keyasint,omitempty" json:"free_after_ms,omitempty"`
}
