package bulrushcatalogue

import (
	"cmp"
	"maps"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// Set is an immutable collection of all entries with their store versions.
// The zero value is empty. A deleted entry leaves its version behind, so that
// a late older version cannot bring it back. Entries that a Set returns share
// memory with it and must not be changed.
type Set struct {
	services    table[bulrushchute.Service, ServiceEntry]
	dataCentres table[bulrushchute.DataCentre, DataCentreEntry]
	orders      table[bulrushchute.Service, *Move]
	routing     Routing
	// routed holds the services whose entries came with the routing table.
	routed map[bulrushchute.Service]bool
}

// WithService returns a set that holds the entry at a store version. A version
// that is not newer than the known one changes nothing.
func (s Set) WithService(entry ServiceEntry, version uint64) Set {
	s.services = s.services.with(entry.Service, versioned[ServiceEntry]{entry: entry.clone(), version: version})
	return s
}

// WithoutService returns a set in which the entry was deleted at a store version.
func (s Set) WithoutService(name bulrushchute.Service, version uint64) Set {
	s.services = s.services.with(name, versioned[ServiceEntry]{version: version, deleted: true})
	return s
}

// WithDataCentre returns a set that holds the entry at a store version.
func (s Set) WithDataCentre(entry DataCentreEntry, version uint64) Set {
	s.dataCentres = s.dataCentres.with(entry.DataCentre, versioned[DataCentreEntry]{entry: entry.clone(), version: version})
	return s
}

// WithoutDataCentre returns a set in which the entry was deleted at a store version.
func (s Set) WithoutDataCentre(name bulrushchute.DataCentre, version uint64) Set {
	s.dataCentres = s.dataCentres.with(name, versioned[DataCentreEntry]{version: version, deleted: true})
	return s
}

// Service returns the entry of a service, false when there is none.
func (s Set) Service(name bulrushchute.Service) (ServiceEntry, bool) {
	entry, exists := s.services.get(name)
	if move, ordered := s.orders.get(name); ordered && entry.Move == nil {
		entry.Move = move
	}
	return entry, exists
}

// DataCentre returns the entry of a data centre, false when there is none.
func (s Set) DataCentre(name bulrushchute.DataCentre) (DataCentreEntry, bool) {
	return s.dataCentres.get(name)
}

// ServiceVersion returns the newest known store version of a service's entry,
// that of its deletion included, and 0 for a service that was never seen.
func (s Set) ServiceVersion(name bulrushchute.Service) uint64 {
	return s.services[name].version
}

// DataCentreVersion is ServiceVersion for a data centre.
func (s Set) DataCentreVersion(name bulrushchute.DataCentre) uint64 {
	return s.dataCentres[name].version
}

// Services returns the names of all services that are not deleted, in order.
func (s Set) Services() []bulrushchute.Service {
	return s.services.names()
}

// HasServices reports whether any service is not deleted.
func (s Set) HasServices() bool {
	for _, item := range s.services {
		if !item.deleted {
			return true
		}
	}
	return false
}

// DataCentres returns the names of all data centres that are not deleted, in order.
func (s Set) DataCentres() []bulrushchute.DataCentre {
	return s.dataCentres.names()
}

type versioned[E any] struct {
	entry   E
	version uint64
	deleted bool
}

type table[N cmp.Ordered, E any] map[N]versioned[E]

func (t table[N, E]) with(name N, item versioned[E]) table[N, E] {
	if item.version <= t[name].version {
		return t
	}
	copied := make(table[N, E], len(t)+1)
	maps.Copy(copied, t)
	copied[name] = item
	return copied
}

func (t table[N, E]) get(name N) (E, bool) {
	item, ok := t[name]
	return item.entry, ok && !item.deleted
}

func (t table[N, E]) names() []N {
	names := make([]N, 0, len(t))
	for name, item := range t {
		if !item.deleted {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// clone returns a copy that shares no memory with the entry.
func (se ServiceEntry) clone() ServiceEntry {
	se.Tenants = slices.Clone(se.Tenants)
	se.Routes = slices.Clone(se.Routes)
	for i := range se.Routes {
		se.Routes[i] = se.Routes[i].clone()
	}
	if se.Move != nil {
		move := *se.Move
		se.Move = &move
	}
	se.Change = se.Change.clone()
	return se
}

func (de DataCentreEntry) clone() DataCentreEntry {
	de.Change = de.Change.clone()
	return de
}

func (lc *LastChange) clone() *LastChange {
	if lc == nil {
		return nil
	}
	copied := *lc
	return &copied
}

func (r Route) clone() Route {
	r.Methods = slices.Clone(r.Methods)
	if r.Idempotent != nil {
		idempotent := *r.Idempotent
		r.Idempotent = &idempotent
	}
	return r
}
