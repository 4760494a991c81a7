package bulrushcatalogue

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"bulrushchute.example/bulrushchute"
)

// RoutingTableName is the name of the only routing table of a deployment.
const RoutingTableName = "main"

// RoutingTable maps hosts and paths to services. It is one object, so that
// changes to several routes and services take effect atomically.
type RoutingTable struct {
	// Label is the operators' name for this version of the table.
	Label  string      `json:"label" validate:"max=200"`
	Routes []HostRoute `json:"routes" validate:"max=20000,dive"`
	// Services holds the entries of the services that the routes refer to.
	Services []ServiceEntry `json:"services" validate:"max=5000"`
	Callers  CallerLimits   `json:"callers,omitzero"`
	// RequiresKeys rejects requests without the API key of one of the Tenants,
	// except on anonymous routes. Without it, Tenants has no effect.
	RequiresKeys bool          `json:"requires_keys,omitempty"`
	Tenants      []TenantEntry `json:"tenants,omitempty" validate:"max=5000,dive"`
}

// HostRoute sends the requests for a host and path prefix to services.
type HostRoute struct {
	Name string `json:"name" validate:"required,max=200"`
	Host string `json:"host" validate:"required,max=253"`
	// Prefix starts and ends with a slash.
	Prefix     string `json:"prefix" validate:"required,max=2000,startswith=/,endswith=/"`
	Idempotent bool   `json:"idempotent,omitempty"`
	// TimeoutMs is the maximum time that a request may take.
	TimeoutMs bulrushchute.Millis `json:"timeout_ms" validate:"min=1,max=3600000"`
	// ObjectiveMs is the latency objective, the time within which an answer has
	// its full value to the caller, 0 if unknown.
	ObjectiveMs bulrushchute.Millis `json:"objective_ms,omitempty" validate:"min=0,max=3600000"`
	// Rank orders routes by importance; 0 is the most important.
	Rank int `json:"rank,omitempty" validate:"min=0,max=1000"`
	// Attempts limits the attempts of one request that may have run. If it is 0,
	// only bulrushattempt.MaxAttempts applies.
	Attempts int      `json:"attempts,omitempty" validate:"min=0,max=100"`
	Targets  []Target `json:"targets" validate:"min=1,max=100,dive"`
	// Anonymous routes need no API key.
	Anonymous bool `json:"anonymous,omitempty"`
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service bulrushchute.Service `json:"service" validate:"label"`
	// Weight is the target's share, relative to the weights of the other
	// targets.
	Weight float64 `json:"weight" validate:"min=0,max=1000000"`
}

// CallerLimits limits what callers may send to a node. For zero fields, the
// node's own limits apply.
type CallerLimits struct {
	HeaderBytes     int                 `json:"header_bytes,omitempty" validate:"min=0"`
	BodyBytes       int64               `json:"body_bytes,omitempty" validate:"min=0"`
	HeaderTimeoutMs bulrushchute.Millis `json:"header_timeout_ms,omitempty" validate:"min=0"`
	IdleTimeoutMs   bulrushchute.Millis `json:"idle_timeout_ms,omitempty" validate:"min=0"`
}

// ParseRouting decodes a routing table, applies the defaults of its service
// entries and validates it. Unknown and duplicate fields are rejected. Errors
// are of type *bulrushchute.FieldError.
func ParseRouting(document []byte) (RoutingTable, error) {
	table, err := decode[RoutingTable](document)
	if err != nil {
		return RoutingTable{}, err
	}
	for i := range table.Services {
		table.Services[i] = table.Services[i].WithDefaults()
	}
	return table, table.Validate()
}

// Validate checks the table and that each target has a service entry.
func (rt RoutingTable) Validate() error {
	if err := checkTags(rt); err != nil {
		return err
	}
	if _, err := checkServices(rt.Services); err != nil {
		return err
	}
	if err := rt.checkTenants(); err != nil {
		return err
	}
	return rt.checkTargets()
}

func (rt RoutingTable) checkTargets() error {
	services := make(map[bulrushchute.Service]bool, len(rt.Services))
	for i := range rt.Services {
		services[rt.Services[i].Service] = true
	}
	for i := range rt.Routes {
		total := 0.0
		for j, target := range rt.Routes[i].Targets {
			if !services[target.Service] {
				return newFieldError(fmt.Sprintf("routes[%d].targets[%d].service", i, j), string(target.Service), "a service of the table")
			}
			total += target.Weight
		}
		if total <= 0 {
			return newFieldError(fmt.Sprintf("routes[%d].targets", i), strconv.FormatFloat(total, 'g', -1, 64), "weights with a sum above 0")
		}
	}
	return nil
}

// Encode returns the table as a JSON document.
func (rt RoutingTable) Encode() ([]byte, error) {
	return json.Marshal(rt)
}

// Class returns the class of the route's requests, which follows from its rank.
// Ranks beyond the last class belong to the last class.
func (hr HostRoute) Class() bulrushchute.Class {
	return classOfRank(hr.Rank)
}

func classOfRank(rank int) bulrushchute.Class {
	return bulrushchute.Class(min(rank, bulrushchute.ClassCount-1))
}

// RequestPolicy returns the policy for requests that match the route.
func (hr HostRoute) RequestPolicy() RequestPolicy {
	return RequestPolicy{
		Route:       hr.Name,
		Idempotent:  hr.Idempotent,
		Class:       hr.Class(),
		TimeoutMs:   hr.TimeoutMs,
		ObjectiveMs: hr.ObjectiveMs,
		Attempts:    hr.Attempts,
		Anonymous:   hr.Anonymous,
	}
}

// Routing is the routing table in force, indexed by host. It must not be
// modified. The zero value matches no request.
type Routing struct {
	Label string
	// Version is ordered by the operator's own version, then by that of the store.
	Version bulrushchute.RecordVersion
	Callers CallerLimits
	// byHost holds the routes of each host, longest prefix first.
	byHost     map[string][]*HostRoute
	routeCount int
	// keys is nil if the table requires no API keys.
	keys *keyIndex
	// tenants is sorted by name.
	tenants []TenantEntry
}

func newRouting(table RoutingTable, version bulrushchute.RecordVersion) Routing {
	byHost := make(map[string][]*HostRoute)
	for i := range table.Routes {
		route := &table.Routes[i]
		host := strings.ToLower(route.Host)
		byHost[host] = append(byHost[host], route)
	}
	for _, routes := range byHost {
		slices.SortStableFunc(routes, func(a, b *HostRoute) int { return len(b.Prefix) - len(a.Prefix) })
	}
	routing := Routing{Label: table.Label, Version: version, Callers: table.Callers, byHost: byHost, routeCount: len(table.Routes)}
	if table.RequiresKeys {
		routing.tenants = sortedTenants(table.Tenants)
		routing.keys = newKeyIndex(routing.tenants)
	}
	return routing
}

// InForce reports whether a routing table is in force.
func (r Routing) InForce() bool {
	return r.byHost != nil
}

// RouteCount returns the number of routes.
func (r Routing) RouteCount() int {
	return r.routeCount
}

// Match returns the route with the longest prefix of the path, or nil if there
// is none. A host with a port that has no routes of its own gets those of the
// host without the port. The path must not include a query.
func (r Routing) Match(host, path string) *HostRoute {
	host = strings.ToLower(host)
	routes, found := r.byHost[host]
	if !found {
		name, _, _ := strings.Cut(host, ":")
		routes = r.byHost[name]
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Routing returns the routing table in force.
func (s Set) Routing() Routing {
	return s.routing
}

// WithRouting returns a copy of the set with the table and its service entries
// at a version. Services that only the previous table contained are
// marked as deleted. A version that is not newer than the known one changes
// nothing.
func (s Set) WithRouting(table RoutingTable, version bulrushchute.RecordVersion) Set {
	if s.routing.InForce() && !s.routing.Version.Less(version) {
		return s
	}
	services := maps.Clone(s.services)
	if services == nil {
		services = make(map[bulrushchute.Service]versionedEntry[ServiceEntry])
	}
	for name := range s.tableServices {
		services[name] = versionedEntry[ServiceEntry]{version: version.Counter, deleted: true}
	}
	tableServices := make(map[bulrushchute.Service]bool, len(table.Services))
	for _, entry := range table.Services {
		services[entry.Service] = versionedEntry[ServiceEntry]{entry: entry.clone(), version: version.Counter}
		tableServices[entry.Service] = true
	}
	s.services = services
	s.tableServices = tableServices
	s.routing = newRouting(table, version)
	return s
}
