package bulrushstore

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// DefaultHistoryLength is the number of changes that a Memory keeps by default
// for the watches of each kind of object.
const DefaultHistoryLength = 1024

// Memory is an in-memory implementation of bulrushchute.Store with fault
// injection. It is safe for concurrent use.
type Memory struct {
	mu            sync.Mutex
	revision      uint64
	collections   map[bulrushchute.Kind]*collection
	historyLength int
	faults        FaultSource
	down          bool
	// minWatched is the version from which a watch misses no change since the last
	// restore.
	minWatched uint64
	// onEra are called when a copy is restored.
	onEra []func(era uint64)
	// changed is closed and replaced after each change of an object and when the
	// store goes down or comes back, to wake the watches.
	changed chan struct{}
}

// collection holds the objects of one kind and the history of their changes.
type collection struct {
	objects map[string]bulrushchute.Object
	changes []change
	// compacted is the revision of the newest change removed from the history.
	compacted uint64
}

// change is an event together with the object that it replaced, if any.
type change struct {
	event    bulrushchute.StoreEvent
	previous *bulrushchute.Object
}

// NewMemory returns an empty store that injects no faults.
func NewMemory() *Memory {
	return &Memory{
		collections:   make(map[bulrushchute.Kind]*collection),
		historyLength: DefaultHistoryLength,
		changed:       make(chan struct{}),
	}
}

// SetFaults sets the source of injected faults; nil means no faults.
func (m *Memory) SetFaults(faults FaultSource) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
}

// SetDown makes the store fail all calls and end its watches, or makes it
// available again with its objects unchanged.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	m.notifyWatches()
}

// SetHistoryLength sets the number of changes that are kept for the watches of
// each kind of object.
func (m *Memory) SetHistoryLength(length int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.historyLength = length
	for _, c := range m.collections {
		c.compact(length)
	}
}

// Revision returns the revision of the latest change.
func (m *Memory) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Get implements bulrushchute.Store.
func (m *Memory) Get(ctx context.Context, kind bulrushchute.Kind, name string) (bulrushchute.Object, error) {
	fault, err := m.beforeCall(ctx, Call{Verb: VerbGet, Kind: kind, Name: name})
	if err != nil {
		return bulrushchute.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	objects, _ := m.snapshot(kind, fault)
	object, found := objects[name]
	if !found {
		return bulrushchute.Object{}, &bulrushchute.NotFoundError{Kind: kind, Name: name}
	}
	object.Value = slices.Clone(object.Value)
	return object, fault.readError(VerbGet)
}

// List implements bulrushchute.Store. The objects are sorted by name.
func (m *Memory) List(ctx context.Context, kind bulrushchute.Kind) ([]bulrushchute.Object, uint64, error) {
	fault, err := m.beforeCall(ctx, Call{Verb: VerbList, Kind: kind})
	if err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	objects, revision := m.snapshot(kind, fault)
	list := make([]bulrushchute.Object, 0, len(objects))
	for _, object := range objects {
		object.Value = slices.Clone(object.Value)
		list = append(list, object)
	}
	slices.SortFunc(list, func(a, b bulrushchute.Object) int { return strings.Compare(a.Name, b.Name) })
	return list, revision, fault.readError(VerbList)
}

// Create implements bulrushchute.Store.
func (m *Memory) Create(ctx context.Context, object bulrushchute.Object) (bulrushchute.Object, error) {
	return m.write(ctx, VerbCreate, object, func(c *collection) error {
		if _, found := c.objects[object.Name]; found {
			return &bulrushchute.ExistsError{Kind: object.Kind, Name: object.Name}
		}
		return nil
	})
}

// Update implements bulrushchute.Store.
func (m *Memory) Update(ctx context.Context, object bulrushchute.Object) (bulrushchute.Object, error) {
	return m.write(ctx, VerbUpdate, object, func(c *collection) error { return c.checkVersion(object) })
}

// Delete implements bulrushchute.Store.
func (m *Memory) Delete(ctx context.Context, object bulrushchute.Object) error {
	_, err := m.write(ctx, VerbDelete, object, func(c *collection) error { return c.checkVersion(object) })
	return err
}

func (c *collection) checkVersion(object bulrushchute.Object) error {
	current, found := c.objects[object.Name]
	if !found {
		return &bulrushchute.NotFoundError{Kind: object.Kind, Name: object.Name}
	}
	if current.Version != object.Version {
		return &bulrushchute.ConflictError{Kind: object.Kind, Name: object.Name, Version: object.Version}
	}
	return nil
}

func (m *Memory) write(ctx context.Context, verb Verb, object bulrushchute.Object, check func(*collection) error) (bulrushchute.Object, error) {
	object, err := normalizeObject(verb, object)
	if err != nil {
		return bulrushchute.Object{}, err
	}
	fault, err := m.beforeCall(ctx, Call{Verb: verb, Kind: object.Kind, Name: object.Name})
	if err != nil {
		return bulrushchute.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.collection(object.Kind)
	err = check(c)
	if err == nil {
		object = m.apply(c, verb, object)
	}
	if fault.Kind == FaultResponseLost {
		return bulrushchute.Object{}, &bulrushchute.AmbiguousError{Operation: string(verb), Cause: errResponseLost}
	}
	if err != nil {
		return bulrushchute.Object{}, err
	}
	object.Value = slices.Clone(object.Value)
	return object, nil
}

// normalizeObject validates an object and returns it with its JSON value
// compacted.
func normalizeObject(verb Verb, object bulrushchute.Object) (bulrushchute.Object, error) {
	if object.Kind == "" || object.Name == "" {
		return object, &bulrushchute.FieldError{Field: "name", Value: object.Name, Allowed: "a kind and a name"}
	}
	if verb == VerbDelete {
		return object, nil
	}
	if len(object.Value) > bulrushchute.MaxObjectBytes {
		return object, tooLargeError(len(object.Value))
	}
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, object.Value); err != nil {
		return object, &bulrushchute.FieldError{Field: "value", Value: object.Name, Allowed: "a JSON document"}
	}
	return object.WithValue(buffer.Bytes()), nil
}

// apply commits a validated change at the next revision. m.mu must be held.
func (m *Memory) apply(c *collection, verb Verb, object bulrushchute.Object) bulrushchute.Object {
	m.revision++
	entry := change{}
	if previous, found := c.objects[object.Name]; found {
		entry.previous = &previous
	}
	object.Version = m.revision
	if verb == VerbDelete {
		object.Value = nil
		delete(c.objects, object.Name)
	} else {
		c.objects[object.Name] = object
	}
	entry.event = bulrushchute.StoreEvent{Object: object, Deleted: verb == VerbDelete}
	c.changes = append(c.changes, entry)
	c.compact(m.historyLength)
	m.notifyWatches()
	return object
}

func (c *collection) compact(length int) {
	excess := len(c.changes) - length
	if excess <= 0 {
		return
	}
	c.compacted = c.changes[excess-1].event.Object.Version
	c.changes = slices.Clone(c.changes[excess:])
}

// beforeCall applies the faults that occur before a call takes effect. It
// returns the fault for the later stages of the call.
func (m *Memory) beforeCall(ctx context.Context, call Call) (Fault, error) {
	m.mu.Lock()
	down, faults := m.down, m.faults
	m.mu.Unlock()
	fault := Fault{}
	if faults != nil {
		fault = faults.Next(call)
	}
	if down || fault.Kind == FaultDown {
		return fault, &bulrushchute.UnavailableError{Operation: string(call.Verb), Cause: errStoreDown}
	}
	if fault.Kind == FaultSlow {
		bulrushtask.Pause(ctx, fault.Delay.Duration())
	}
	if err := ctx.Err(); err != nil {
		return fault, &bulrushchute.UnavailableError{Operation: string(call.Verb), Cause: err}
	}
	return fault, nil
}

// readError returns the error of a read whose response is lost. It is never
// ambiguous, because a read has no effect.
func (f Fault) readError(verb Verb) error {
	if f.Kind != FaultResponseLost {
		return nil
	}
	return &bulrushchute.UnavailableError{Operation: string(verb), Cause: errResponseLost}
}

// snapshot returns the objects of a kind and the store revision at which they
// are current. For a stale read, it returns the state before the last change of
// the kind. m.mu must be held.
func (m *Memory) snapshot(kind bulrushchute.Kind, fault Fault) (map[string]bulrushchute.Object, uint64) {
	c := m.collection(kind)
	if fault.Kind != FaultStaleRead || len(c.changes) == 0 {
		return c.objects, m.revision
	}
	last := c.changes[len(c.changes)-1]
	objects := make(map[string]bulrushchute.Object, len(c.objects))
	for name, object := range c.objects {
		objects[name] = object
	}
	delete(objects, last.event.Object.Name)
	if last.previous != nil {
		objects[last.previous.Name] = *last.previous
	}
	return objects, last.event.Object.Version - 1
}

func (m *Memory) collection(kind bulrushchute.Kind) *collection {
	c, found := m.collections[kind]
	if !found {
		c = &collection{objects: make(map[string]bulrushchute.Object)}
		m.collections[kind] = c
	}
	return c
}

// notifyWatches wakes all watches. m.mu must be held.
func (m *Memory) notifyWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Watch implements bulrushchute.Store. It returns a *GoneError if changes after
// the revision have been removed from the history.
func (m *Memory) Watch(ctx context.Context, kind bulrushchute.Kind, revision uint64, handle func(bulrushchute.StoreEvent)) error {
	if _, err := m.beforeCall(ctx, Call{Verb: VerbWatch, Kind: kind}); err != nil {
		return err
	}
	for {
		events, changed, err := m.changesAfter(kind, revision)
		if err != nil {
			return err
		}
		for _, event := range events {
			handle(event)
			revision = event.Object.Version
		}
		select {
		case <-ctx.Done():
			return &bulrushchute.UnavailableError{Operation: string(VerbWatch), Cause: ctx.Err()}
		case <-changed:
		}
	}
}

// CheckWatch returns a *GoneError or *bulrushchute.UnavailableError if a watch
// from the revision would fail immediately.
func (m *Memory) CheckWatch(kind bulrushchute.Kind, revision uint64) error {
	_, _, err := m.changesAfter(kind, revision)
	return err
}

// changesAfter returns the changes of a kind after a revision, and a channel
// that is closed at the next change of any object or when the store goes down or
// comes back.
func (m *Memory) changesAfter(kind bulrushchute.Kind, revision uint64) ([]bulrushchute.StoreEvent, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, nil, &bulrushchute.UnavailableError{Operation: string(VerbWatch), Cause: errStoreDown}
	}
	c := m.collection(kind)
	if revision < max(c.compacted, m.minWatched) {
		return nil, nil, &GoneError{Kind: kind, Revision: revision}
	}
	var events []bulrushchute.StoreEvent
	for _, entry := range c.changes {
		if entry.event.Object.Version > revision {
			events = append(events, entry.event)
		}
	}
	return events, m.changed, nil
}
