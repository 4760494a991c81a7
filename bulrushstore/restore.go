package bulrushstore

import (
	"maps"

	"bulrushchute.example/bulrushchute"
)

// Copy is a copy of all objects of a Memory at one moment.
type Copy struct {
	revision uint64
	objects  map[bulrushchute.Kind]map[string]bulrushchute.Object
}

// Copy returns a copy of the store's objects, to restore later.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	copied := Copy{revision: m.revision, objects: make(map[bulrushchute.Kind]map[string]bulrushchute.Object)}
	for kind, c := range m.collections {
		copied.objects[kind] = maps.Clone(c.objects)
	}
	return copied
}

// Restore replaces all objects by those of a copy. It begins a new era, in which the
// revisions continue from that of the copy. Watches from before get a *GoneError.
func (m *Memory) Restore(from Copy) {
	m.mu.Lock()
	era := bulrushchute.EraOf(m.revision) + 1
	m.revision = bulrushchute.StoreVersion(era, bulrushchute.RevisionOf(from.revision))
	m.collections = make(map[bulrushchute.Kind]*collection)
	for kind, objects := range from.objects {
		c := m.collection(kind)
		c.compacted = m.revision
		for name, object := range objects {
			object.Version = bulrushchute.StoreVersion(era, bulrushchute.RevisionOf(object.Version))
			c.objects[name] = object
		}
	}
	m.minWatched = m.revision
	notify := m.onEra
	m.notifyWatches()
	m.mu.Unlock()
	for _, call := range notify {
		call(era)
	}
}

var _ bulrushchute.EraReporter = (*Memory)(nil)

// OnEra implements bulrushchute.EraReporter. Each caller gets the later eras.
func (m *Memory) OnEra(notify func(era uint64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onEra = append(m.onEra, notify)
}
