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

// DefaultHistory is how many changes of each kind a Memory keeps for watches.
const DefaultHistory = 1024

// Memory is a store in memory with fault injection. It is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[bulrushchute.Kind]*collection
	history  int
	faults   Faults
	down     bool
	// changed is closed and replaced when there is something new to watch or
	// the store goes down.
	changed chan struct{}
}

// collection holds the objects of one kind and its latest changes.
type collection struct {
	objects map[string]bulrushchute.Object
	changes []change
	// dropped is the revision of the newest change that is no longer held.
	dropped uint64
}

// change is one event with the object that it replaced, if there was one.
type change struct {
	event    bulrushchute.StoreEvent
	previous *bulrushchute.Object
}

// NewMemory returns an empty store without faults.
func NewMemory() *Memory {
	return &Memory{
		kinds:   make(map[bulrushchute.Kind]*collection),
		history: DefaultHistory,
		changed: make(chan struct{}),
	}
}

// SetFaults sets the source of faults; nil means none.
func (m *Memory) SetFaults(faults Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
}

// SetDown makes the store refuse all calls and cuts its watches, or brings it
// back with its objects.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	m.signal()
}

// SetHistory sets how many changes of each kind are kept for watches.
func (m *Memory) SetHistory(changes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = changes
	for _, c := range m.kinds {
		c.trim(changes)
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
	fault, err := m.enter(ctx, Call{Verb: VerbGet, Kind: kind, Name: name})
	if err != nil {
		return bulrushchute.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	objects, _ := m.read(kind, fault)
	object, found := objects[name]
	if !found {
		return bulrushchute.Object{}, &bulrushchute.NotFoundError{Kind: kind, Name: name}
	}
	object.Value = slices.Clone(object.Value)
	return object, fault.readError(VerbGet)
}

// List implements bulrushchute.Store. Objects are in the order of their names.
func (m *Memory) List(ctx context.Context, kind bulrushchute.Kind) ([]bulrushchute.Object, uint64, error) {
	fault, err := m.enter(ctx, Call{Verb: VerbList, Kind: kind})
	if err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	objects, revision := m.read(kind, fault)
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
	object, err := checkObject(verb, object)
	if err != nil {
		return bulrushchute.Object{}, err
	}
	fault, err := m.enter(ctx, Call{Verb: verb, Kind: object.Kind, Name: object.Name})
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
	if fault.Kind == FaultAnswerLost {
		return bulrushchute.Object{}, &bulrushchute.AmbiguousError{Operation: string(verb), Cause: errAnswerLost}
	}
	if err != nil {
		return bulrushchute.Object{}, err
	}
	object.Value = slices.Clone(object.Value)
	return object, nil
}

// checkObject returns the object with its value in compact form.
func checkObject(verb Verb, object bulrushchute.Object) (bulrushchute.Object, error) {
	if object.Kind == "" || object.Name == "" {
		return object, &bulrushchute.FieldError{Field: "name", Value: object.Name, Allowed: "a kind and a name"}
	}
	if verb == VerbDelete {
		return object, nil
	}
	if len(object.Value) > bulrushchute.MaxObjectBytes {
		return object, tooLargeError(len(object.Value))
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, object.Value); err != nil {
		return object, &bulrushchute.FieldError{Field: "value", Value: object.Name, Allowed: "a JSON document"}
	}
	return object.WithValue(compact.Bytes()), nil
}

// apply stores a checked change under the next revision.
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
	c.trim(m.history)
	m.signal()
	return object
}

func (c *collection) trim(history int) {
	excess := len(c.changes) - history
	if excess <= 0 {
		return
	}
	c.dropped = c.changes[excess-1].event.Object.Version
	c.changes = slices.Clone(c.changes[excess:])
}

// enter applies the faults that strike before a call has an effect.
func (m *Memory) enter(ctx context.Context, call Call) (Fault, error) {
	m.mu.Lock()
	down, faults := m.down, m.faults
	m.mu.Unlock()
	fault := Fault{}
	if faults != nil {
		fault = faults.Next(call)
	}
	if down || fault.Kind == FaultDown {
		return fault, &bulrushchute.UnavailableError{Operation: string(call.Verb), Cause: errDown}
	}
	if fault.Kind == FaultSlow {
		bulrushtask.Pause(ctx, fault.Delay.Duration())
	}
	if err := ctx.Err(); err != nil {
		return fault, &bulrushchute.UnavailableError{Operation: string(call.Verb), Cause: err}
	}
	return fault, nil
}

// readError reports a lost answer of a read, which has no effect to be unsure of.
func (f Fault) readError(verb Verb) error {
	if f.Kind != FaultAnswerLost {
		return nil
	}
	return &bulrushchute.UnavailableError{Operation: string(verb), Cause: errAnswerLost}
}

// read returns the objects of a kind, or those before the last change.
func (m *Memory) read(kind bulrushchute.Kind, fault Fault) (map[string]bulrushchute.Object, uint64) {
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
	c, found := m.kinds[kind]
	if !found {
		c = &collection{objects: make(map[string]bulrushchute.Object)}
		m.kinds[kind] = c
	}
	return c
}

// signal wakes all watches. The caller holds the lock.
func (m *Memory) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Watch implements bulrushchute.Store. It returns a *GoneError when changes
// after the revision are no longer held.
func (m *Memory) Watch(ctx context.Context, kind bulrushchute.Kind, revision uint64, handle func(bulrushchute.StoreEvent)) error {
	if _, err := m.enter(ctx, Call{Verb: VerbWatch, Kind: kind}); err != nil {
		return err
	}
	for {
		events, changed, err := m.after(kind, revision)
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

// CheckWatch reports a *GoneError or *bulrushchute.UnavailableError if a watch
// from the revision would end at once.
func (m *Memory) CheckWatch(kind bulrushchute.Kind, revision uint64) error {
	_, _, err := m.after(kind, revision)
	return err
}

// after returns the changes of a kind after a revision and a channel that is
// closed at the next change.
func (m *Memory) after(kind bulrushchute.Kind, revision uint64) ([]bulrushchute.StoreEvent, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, nil, &bulrushchute.UnavailableError{Operation: string(VerbWatch), Cause: errDown}
	}
	c := m.collection(kind)
	if revision < c.dropped {
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
