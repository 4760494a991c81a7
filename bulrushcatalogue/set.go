package bulrushcatalogue

import (
	"cmp"
	"maps"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// Set is an immutable collection of all entries with their store versions
// (bulrushchute.Object.Version). The zero value is empty. The version of a
// deleted entry is kept, so that an older version that arrives late cannot
// restore the entry. Entries that a Set returns share memory with it and must
// not be modified.
type Set struct {
	services    versionedMap[bulrushchute.Service, ServiceEntry]
	dataCentres versionedMap[bulrushchute.DataCentre, DataCentreEntry]
	// orderedMoves holds the moves that MoveOrders request.
	orderedMoves versionedMap[bulrushchute.Service, *Move]
	routing      Routing
	// tableServices holds the services whose entries came with the routing
	// table.
	tableServices map[bulrushchute.Service]bool
}

// WithService returns a copy of the set with the entry at a store version. A
// version that is not newer than the known one changes nothing.
func (s Set) WithService(entry ServiceEntry, version uint64) Set {
	s.services = s.services.with(entry.Service, versionedEntry[ServiceEntry]{entry: entry.clone(), version: version})
	return s
}

// WithoutService returns a copy of the set in which the entry was deleted at a
// store version.
func (s Set) WithoutService(name bulrushchute.Service, version uint64) Set {
	s.services = s.services.with(name, versionedEntry[ServiceEntry]{version: version, deleted: true})
	return s
}

// WithDataCentre returns a copy of the set with the entry at a store version.
func (s Set) WithDataCentre(entry DataCentreEntry, version uint64) Set {
	s.dataCentres = s.dataCentres.with(entry.DataCentre, versionedEntry[DataCentreEntry]{entry: entry.clone(), version: version})
	return s
}

// WithoutDataCentre returns a copy of the set in which the entry was deleted at
// a store version.
func (s Set) WithoutDataCentre(name bulrushchute.DataCentre, version uint64) Set {
	s.dataCentres = s.dataCentres.with(name, versionedEntry[DataCentreEntry]{version: version, deleted: true})
	return s
}

// Service returns the entry of a service, or false if there is none.
func (s Set) Service(name bulrushchute.Service) (ServiceEntry, bool) {
	entry, exists := s.services.get(name)
	if move, found := s.orderedMoves.get(name); found && entry.Move == nil {
		entry.Move = move
	}
	return entry, exists
}

// DataCentre returns the entry of a data centre, or false if there is none.
func (s Set) DataCentre(name bulrushchute.DataCentre) (DataCentreEntry, bool) {
	return s.dataCentres.get(name)
}

// ServiceVersion returns the newest known store version of a service's entry,
// including that of its deletion, or 0 for a service that was never seen.
func (s Set) ServiceVersion(name bulrushchute.Service) uint64 {
	return s.services[name].version
}

// DataCentreVersion is like ServiceVersion, for a data centre.
func (s Set) DataCentreVersion(name bulrushchute.DataCentre) uint64 {
	return s.dataCentres[name].version
}

// Services returns the sorted names of all services that are not deleted.
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

// DataCentres returns the sorted names of all data centres that are not
// deleted.
func (s Set) DataCentres() []bulrushchute.DataCentre {
	return s.dataCentres.names()
}

type versionedEntry[E any] struct {
	entry   E
	version uint64
	deleted bool
}

type versionedMap[N cmp.Ordered, E any] map[N]versionedEntry[E]

func (m versionedMap[N, E]) with(name N, item versionedEntry[E]) versionedMap[N, E] {
	if item.version <= m[name].version {
		return m
	}
	copied := make(versionedMap[N, E], len(m)+1)
	maps.Copy(copied, m)
	copied[name] = item
	return copied
}

func (m versionedMap[N, E]) get(name N) (E, bool) {
	item, ok := m[name]
	return item.entry, ok && !item.deleted
}

func (m versionedMap[N, E]) names() []N {
	names := make([]N, 0, len(m))
	for name, item := range m {
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
	se.LastChange = se.LastChange.clone()
	return se
}

func (de DataCentreEntry) clone() DataCentreEntry {
	de.LastChange = de.LastChange.clone()
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
