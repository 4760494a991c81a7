package bulrushnode

import (
	"context"
	"expvar"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushadmission"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushspread"
	"bulrushchute.example/bulrushchute/bulrushwire"
)

// Status is the status that a node reports.
type Status struct {
	Instance bulrushchute.Instance `json:"instance"`
	State    string                `json:"state"`
	Backend  Announcement          `json:"backend_server"`
	Load     bulrushchute.Load     `json:"load"`
	Members  int                   `json:"members"`
	Services int                   `json:"services"`
	Spread   bulrushspread.Stats   `json:"spread"`
	// Probes counts the probes of the backend server by kind.
	Probes map[string]uint64 `json:"probes"`
	// LateReplies counts the replies that arrived after their attempt had ended.
	LateReplies int64 `json:"late_replies"`
	// Resumptions counts what became of attempts whose connection went silent or was
	// lost.
	Resumptions bulrushwire.Resumptions `json:"resumptions"`
	// HeldUp counts the messages between nodes that were held up, by stage.
	HeldUp      map[bulrushwire.Stage]int64 `json:"held_up"`
	DataCentres []DataCentreStatus          `json:"data_centres"`
	// KeyHome is set while the node is the home of any idempotency keys.
	KeyHome bool `json:"key_home"`
	// Usage is nil if the node does not take part in usage reports.
	Usage *UsageStatus `json:"usage,omitempty"`
}

// DataCentreStatus is the status of a data centre as seen by this node.
type DataCentreStatus struct {
	DataCentre bulrushchute.DataCentre          `json:"data_centre"`
	State      bulrushcatalogue.DataCentreState `json:"state"`
	Reachable  bool                             `json:"reachable"`
	// Weight is the fraction of its normal work that the data centre may receive,
	// from 0 to 1.
	Weight  float64 `json:"weight"`
	Members int     `json:"members"`
}

// Status returns the node's status.
func (n *Node) Status(ctx context.Context) Status {
	view := n.board.Read()
	status := Status{
		State:       view.State.String(),
		Backend:     n.admission.latestAnnouncement(),
		Load:        n.admission.load(),
		Probes:      n.admission.probeCounts(),
		LateReplies: n.client.LateReplies(),
		Resumptions: n.client.Resumptions(),
		HeldUp:      n.heldUp.counts(),
		KeyHome:     n.keys.isHome(),
		Usage:       n.readUsage(),
	}
	counts := make(map[bulrushchute.DataCentre]int)
	services := make(map[bulrushchute.Service]bool)
	n.control.do(ctx, func(bulrushchute.Millis) {
		status.Instance = n.control.membership.Self()
		status.Spread = n.control.membership.Table().Stats()
		n.control.membership.Range(func(member bulrushchute.Instance) bool {
			counts[member.DataCentre]++
			services[member.Service] = true
			status.Members++
			return true
		})
	})
	status.Services = len(services)
	now := n.clock.Now()
	for _, name := range view.Catalogue.DataCentres() {
		entry, _ := view.Catalogue.DataCentre(name)
		weight := view.DataCentres.Weights[name]
		status.DataCentres = append(status.DataCentres, DataCentreStatus{
			DataCentre: name,
			State:      entry.WithDefaults().State,
			Reachable:  !weight.Unreachable,
			Weight:     weight.At(now),
			Members:    counts[name],
		})
	}
	return status
}

// MemberList contains the members that a node knows.
type MemberList struct {
	Members []bulrushchute.Instance `json:"members"`
}

// Members returns all members that the node knows.
func (n *Node) Members(ctx context.Context) MemberList {
	var members []bulrushchute.Instance
	n.control.do(ctx, func(bulrushchute.Millis) {
		n.control.membership.Range(func(member bulrushchute.Instance) bool {
			members = append(members, member)
			return true
		})
	})
	return MemberList{Members: members}
}

// CatalogueEntries contains the catalogue that is in force on a node.
type CatalogueEntries struct {
	Services    []ServiceInForce    `json:"services"`
	DataCentres []DataCentreInForce `json:"data_centres"`
	// Routing is nil if no routing table is in force.
	Routing *RoutingInForce `json:"routing,omitempty"`
}

// RoutingInForce describes the routing table, apart from its routes and services.
type RoutingInForce struct {
	// Label is the operators' name for the version of the table.
	Label string `json:"label"`
	// Version is the store's version of the table, and OperatorVersion that of the
	// operators, 0 if they don't number their versions.
	Version         uint64 `json:"version"`
	OperatorVersion uint64 `json:"operator_version"`
	// RequiresKeys is set if requests need an API key, except on anonymous routes.
	RequiresKeys bool `json:"requires_keys"`
	// Tenants are sorted by name. There are none unless RequiresKeys is set.
	Tenants []TenantInForce `json:"tenants"`
}

// TenantInForce describes a tenant without its keys.
type TenantInForce struct {
	Tenant bulrushchute.Tenant `json:"tenant"`
	// Rank is nil if that of the route applies.
	Rank *int `json:"rank,omitempty"`
	// Keys is the number of the tenant's API keys.
	Keys int `json:"keys"`
}

// ServiceInForce is a service's entry with its store version.
type ServiceInForce struct {
	Version uint64                        `json:"version"`
	Entry   bulrushcatalogue.ServiceEntry `json:"entry"`
}

// DataCentreInForce is a data centre's entry with its store version.
type DataCentreInForce struct {
	Version uint64                           `json:"version"`
	Entry   bulrushcatalogue.DataCentreEntry `json:"entry"`
}

// Catalogue returns the entries that are in force on this node.
func (n *Node) Catalogue() CatalogueEntries {
	set := n.board.Read().Catalogue
	var entries CatalogueEntries
	for _, name := range set.Services() {
		entry, _ := set.Service(name)
		entries.Services = append(entries.Services, ServiceInForce{Version: set.ServiceVersion(name), Entry: entry})
	}
	for _, name := range set.DataCentres() {
		entry, _ := set.DataCentre(name)
		entries.DataCentres = append(entries.DataCentres, DataCentreInForce{Version: set.DataCentreVersion(name), Entry: entry})
	}
	entries.Routing = newRoutingInForce(set.Routing())
	return entries
}

func newRoutingInForce(routing bulrushcatalogue.Routing) *RoutingInForce {
	if !routing.InForce() {
		return nil
	}
	result := &RoutingInForce{
		Label:           routing.Label,
		Version:         routing.Version.Counter,
		OperatorVersion: routing.Version.Epoch,
		RequiresKeys:    routing.RequiresKeys(),
		Tenants:         []TenantInForce{},
	}
	for _, tenant := range routing.Tenants() {
		result.Tenants = append(result.Tenants, TenantInForce{Tenant: tenant.Tenant, Rank: tenant.Rank, Keys: len(tenant.Keys)})
	}
	return result
}

// PublishMetrics publishes the node's metrics as expvar variables. It must be
// called at most once per process.
func (n *Node) PublishMetrics() {
	n.recorder.Publish("bulrush_requests")
	expvar.Publish("bulrush_moves", expvar.Func(func() any { return n.moves.metrics() }))
	expvar.Publish("bulrush_quarantine", expvar.Func(func() any { return n.quarantineStatus() }))
	expvar.Publish("bulrush_catalogue", expvar.Func(func() any { return n.catalogueStatus() }))
	if n.usageStatus != nil {
		expvar.Publish("bulrush_usage", expvar.Func(func() any { return n.readUsage() }))
	}
}

func (a *admission) probeCounts() map[string]uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	counts := make(map[string]uint64)
	for kind, count := range a.controller.ProbeCounts() {
		counts[bulrushadmission.ProbeKind(kind).String()] = count
	}
	return counts
}

// State returns the state of the node, apart from its backend server.
func (n *Node) State() bulrushboard.NodeState {
	return n.board.Read().State
}
