// Package bulrushboard holds the shared state of a node: one immutable view of
// what the node knows of the other nodes and of the catalogue.
//
// Only one goroutine of package bulrushnode, that of its type control, replaces
// the view, with Update. The data path reads it without a lock.
package bulrushboard

import (
	"maps"
	"sync"
	"sync/atomic"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushkey"
	"bulrushchute.example/bulrushchute/bulrushmove"
	"bulrushchute.example/bulrushchute/bulrushrouting"
)

// NodeState is the state of the node itself, apart from its backend server.
type NodeState uint8

// States of the node.
const (
	// NodeStarting means that the node knows no services yet, or has not joined
	// the other nodes and still waits to.
	NodeStarting NodeState = iota
	NodeReady
	// NodeIsolated means that the node reaches no peer and may miss a change of
	// the catalogue.
	NodeIsolated
	NodeDraining
)

var nodeStateNames = [...]string{"starting", "ready", "isolated", "draining"}

// String returns the state's name as used in status output and logs.
func (ns NodeState) String() string {
	if int(ns) < len(nodeStateNames) {
		return nodeStateNames[ns]
	}
	return "invalid"
}

// ServiceMembers are the instances of one service.
type ServiceMembers struct {
	// Revision grows with each change, so that a change is detected without
	// comparing instances.
	Revision  uint64
	Instances []bulrushchute.Instance
}

// DataCentreWeights determine how much work each data centre may receive.
type DataCentreWeights struct {
	Revision uint64
	Weights  bulrushrouting.Weights
}

// View is what a node knows at one instant. It must not be modified; the
// With methods return modified copies.
type View struct {
	State     NodeState
	Catalogue bulrushcatalogue.Set
	// CatalogueCurrent is set while the catalogue was confirmed to be current a
	// short time ago.
	CatalogueCurrent bool

	DataCentres DataCentreWeights
	Shares      bulrushmove.Shares
	members     map[bulrushchute.Service]ServiceMembers
	keyMaps     map[bulrushchute.Service]bulrushkey.KeyMap
}

// Members returns the instances of a service.
func (v View) Members(service bulrushchute.Service) ServiceMembers {
	return v.members[service]
}

// NodeCount returns the number of known nodes. It includes nodes whose backend
// server is not known yet.
func (v View) NodeCount() int {
	count := 0
	for _, members := range v.members {
		count += len(members.Instances)
	}
	return count
}

// Member returns one instance of a service, or false if there is none with the ID.
func (v View) Member(service bulrushchute.Service, id bulrushchute.InstanceID) (bulrushchute.Instance, bool) {
	for _, member := range v.members[service].Instances {
		if member.ID == id {
			return member, true
		}
	}
	return bulrushchute.Instance{}, false
}

// KeyMap returns the key map of a service, or false if there is none.
func (v View) KeyMap(service bulrushchute.Service) (bulrushkey.KeyMap, bool) {
	keyMap, exists := v.keyMaps[service]
	return keyMap, exists
}

// WithState returns a copy with the given node state.
func (v View) WithState(state NodeState) View {
	v.State = state
	return v
}

// WithCatalogue returns a copy with the given catalogue.
func (v View) WithCatalogue(catalogue bulrushcatalogue.Set) View {
	v.Catalogue = catalogue
	return v
}

// WithCatalogueCurrent returns a copy that states whether the catalogue is current.
func (v View) WithCatalogueCurrent(current bool) View {
	v.CatalogueCurrent = current
	return v
}

// WithWeights returns a copy with the given data centre weights.
func (v View) WithWeights(weights bulrushrouting.Weights) View {
	v.DataCentres = DataCentreWeights{Revision: v.DataCentres.Revision + 1, Weights: weights}
	return v
}

// WithShares returns a copy with the given shares of moves.
func (v View) WithShares(shares bulrushmove.Shares) View {
	v.Shares = shares
	return v
}

// WithMembers returns a copy with the given members of the changed services. A
// service without instances keeps its entry, so that its revision never repeats.
func (v View) WithMembers(changed map[bulrushchute.Service][]bulrushchute.Instance) View {
	members := maps.Clone(v.members)
	if members == nil {
		members = make(map[bulrushchute.Service]ServiceMembers)
	}
	for service, instances := range changed {
		members[service] = ServiceMembers{Revision: members[service].Revision + 1, Instances: instances}
	}
	v.members = members
	return v
}

// WithKeyMap returns a copy with the given key map of its service.
func (v View) WithKeyMap(keyMap bulrushkey.KeyMap) View {
	keyMaps := maps.Clone(v.keyMaps)
	if keyMaps == nil {
		keyMaps = make(map[bulrushchute.Service]bulrushkey.KeyMap)
	}
	keyMaps[keyMap.Service] = keyMap
	v.keyMaps = keyMaps
	return v
}

// Board holds the current view. The zero value holds an empty view.
type Board struct {
	// mutex serialises updates; Read does not lock it.
	mutex   sync.Mutex
	current atomic.Pointer[View]
}

// Read returns the current view.
func (b *Board) Read() View {
	if view := b.current.Load(); view != nil {
		return *view
	}
	return View{}
}

// Update replaces the view with the result of change.
func (b *Board) Update(change func(View) View) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	view := change(b.Read())
	b.current.Store(&view)
}
