package bulrushnode

import (
	"cmp"
	"context"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// largeRecordBytes is the size of a packed catalogue record from which control does not
// parse it itself. A routing table of 1,400 routes is packed to 20 KB and takes a node
// with a sixth of a core 0.1 s or more to parse as a whole.
const largeRecordBytes = 4 << 10

// catalogueChange is a parsed catalogue record.
type catalogueChange struct {
	record bulrushchute.Record
	// apply returns a copy of a set with the record.
	apply func(bulrushcatalogue.Set) bulrushcatalogue.Set
	// bytes is the size of the unpacked value, and parsing the time to parse it.
	bytes   int
	parsing time.Duration
	err     error
}

// onCatalogue applies a changed catalogue record, or has it parsed by the goroutine of
// largeRecords if it is large.
func (c *control) onCatalogue(now bulrushchute.Millis, record bulrushchute.Record) {
	if decidesRoutes(record.Key) {
		c.notInForce[record.Key] = true
	}
	if len(record.Value) >= largeRecordBytes {
		c.largeRecords.put(record)
		return
	}
	c.applyCatalogue(now, parseCatalogueRecord(record, bulrushcatalogue.ParseRouting))
}

// parseTable parses a routing table.
type parseTable func(document []byte) (bulrushcatalogue.RoutingTable, error)

func parseCatalogueRecord(record bulrushchute.Record, parse parseTable) catalogueChange {
	begin := time.Now()
	change := catalogueChange{record: record}
	var value []byte
	if value, change.err = decompressValue(record.Value); change.err == nil {
		change.bytes = len(value)
		change.apply, change.err = parseCatalogueValue(record, value, parse)
	}
	change.parsing = time.Since(begin)
	return change
}

func parseCatalogueValue(record bulrushchute.Record, value []byte, parse parseTable) (func(bulrushcatalogue.Set) bulrushcatalogue.Set, error) {
	kind, name := catalogueObject(record.Key)
	version := record.Version.Counter
	switch {
	case kind == bulrushchute.KindServices && record.Deleted:
		return func(set bulrushcatalogue.Set) bulrushcatalogue.Set {
			return set.WithoutService(bulrushchute.Service(name), version)
		}, nil
	case kind == bulrushchute.KindServices:
		entry, err := bulrushcatalogue.ParseService(value)
		err = cmp.Or(err, checkObjectName("service", string(entry.Service), name))
		return func(set bulrushcatalogue.Set) bulrushcatalogue.Set { return set.WithService(entry, version) }, err
	case kind == bulrushchute.KindRouting && record.Deleted:
		return func(set bulrushcatalogue.Set) bulrushcatalogue.Set { return set }, nil
	case kind == bulrushchute.KindRouting:
		table, err := parse(value)
		err = cmp.Or(err, checkObjectName("name", bulrushcatalogue.RoutingTableName, name))
		return func(set bulrushcatalogue.Set) bulrushcatalogue.Set { return set.WithRouting(table, record.Version) }, err
	case kind == bulrushchute.KindMoveOrders && record.Deleted:
		return func(set bulrushcatalogue.Set) bulrushcatalogue.Set {
			return set.WithoutMoveOrder(bulrushchute.Service(name), version)
		}, nil
	case kind == bulrushchute.KindMoveOrders:
		order, err := bulrushcatalogue.ParseMoveOrder(value)
		err = cmp.Or(err, checkObjectName("service", string(order.Service), name))
		return func(set bulrushcatalogue.Set) bulrushcatalogue.Set { return set.WithMoveOrder(order, version) }, err
	case kind == bulrushchute.KindDataCentres && record.Deleted:
		return func(set bulrushcatalogue.Set) bulrushcatalogue.Set {
			return set.WithoutDataCentre(bulrushchute.DataCentre(name), version)
		}, nil
	case kind == bulrushchute.KindDataCentres:
		entry, err := bulrushcatalogue.ParseDataCentre(value)
		err = cmp.Or(err, checkObjectName("data_centre", string(entry.DataCentre), name))
		return func(set bulrushcatalogue.Set) bulrushcatalogue.Set { return set.WithDataCentre(entry, version) }, err
	}
	return nil, &bulrushchute.FieldError{Field: "kind", Value: string(kind), Allowed: "services, datacentres, routing or moveorders"}
}

// checkObjectName rejects an object whose value belongs to another object, which it would
// replace.
func checkObjectName(field, value, name string) error {
	if value == name {
		return nil
	}
	return &bulrushchute.FieldError{Field: field, Value: value, Allowed: "the object's name, " + name}
}

// isStrayRouting reports whether an object is of KindRouting and not the routing table.
func isStrayRouting(object bulrushchute.Object) bool {
	return object.Kind == bulrushchute.KindRouting && object.Name != bulrushcatalogue.RoutingTableName
}

// catalogueObject returns the kind and the name of the object of a catalogue record.
func catalogueObject(key bulrushchute.RecordKey) (bulrushchute.Kind, string) {
	kind, name, _ := strings.Cut(key.Name, "/")
	return bulrushchute.Kind(kind), name
}

// decidesRoutes reports whether a catalogue record can decide which routes and services
// exist, so that no unknown route may be refused for good without its newest version.
func decidesRoutes(key bulrushchute.RecordKey) bool {
	kind, name := catalogueObject(key)
	return kind == bulrushchute.KindRouting && name == bulrushcatalogue.RoutingTableName || kind == bulrushchute.KindServices
}

// applyCatalogue puts a parsed catalogue record in force. If it could not be parsed, the
// last valid version remains in force.
func (c *control) applyCatalogue(now bulrushchute.Millis, change catalogueChange) {
	record := change.record
	kind, name := catalogueObject(record.Key)
	newest, _ := c.membership.Table().Get(record.Key)
	superseded := record.Version.Less(newest.Version)
	if superseded && decidesRoutes(record.Key) && !c.notInForce[record.Key] {
		// A newer version was small enough to overtake this one.
		return
	}
	if change.err != nil {
		klog.ErrorS(change.err, "catalogue entry not taken", "kind", kind, "name", name, "version", record.Version.Counter)
		return
	}
	if !superseded {
		delete(c.notInForce, record.Key)
		c.freshness.copyChanged = true
	}
	before := c.board.Read().Catalogue
	after := change.apply(before)
	c.board.Update(func(view bulrushboard.View) bulrushboard.View {
		return view.WithCatalogue(after)
	})
	requested := c.membership.Table().Requested(record.Key)
	klog.InfoS("catalogue entry in force", "kind", kind, "name", name, "version", record.Version.Counter, "deleted", record.Deleted,
		"bytes", change.bytes, "packed_bytes", len(record.Value), "requested_ms", requested.For, "requests", requested.Count,
		"apply_ms", int(milliseconds(change.parsing)))
	c.updateState(c.membership.Status())
	if kind == bulrushchute.KindDataCentres {
		c.applyDataCentre(now, before, after, bulrushchute.DataCentre(name))
		return
	}
	if kind == bulrushchute.KindMoveOrders {
		c.moves.onMoveOrder(now, bulrushchute.Service(name))
	}
	if kind == bulrushchute.KindRouting {
		// A routing table contains the entries of many services, of which only that
		// of the own backend server matters here.
		name = string(c.admission.latestAnnouncement().Service)
	}
	c.configureAdmission(after, bulrushchute.Service(name))
}

// largeRecords parses large catalogue records in a goroutine of its own, so that control
// passes them on and handles other messages meanwhile. Of each object it parses only the
// newest version that has arrived.
type largeRecords struct {
	control *control
	mutex   sync.Mutex
	waiting map[bulrushchute.RecordKey]bulrushchute.Record
	// arrived has an element while records wait.
	arrived chan struct{}
	// tables belongs to the goroutine that parses.
	tables bulrushcatalogue.TableParser
}

func newLargeRecords(c *control) *largeRecords {
	return &largeRecords{control: c, waiting: make(map[bulrushchute.RecordKey]bulrushchute.Record), arrived: make(chan struct{}, 1)}
}

// put adds a record, which replaces an older version of it that waits.
func (lr *largeRecords) put(record bulrushchute.Record) {
	lr.mutex.Lock()
	defer lr.mutex.Unlock()
	lr.waiting[record.Key] = record
	select {
	case lr.arrived <- struct{}{}:
	default:
	}
}

// take removes and returns a record, or returns false if none waits.
func (lr *largeRecords) take() (bulrushchute.Record, bool) {
	lr.mutex.Lock()
	defer lr.mutex.Unlock()
	for key, record := range lr.waiting {
		delete(lr.waiting, key)
		return record, true
	}
	return bulrushchute.Record{}, false
}

// run parses records until the context ends.
func (lr *largeRecords) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-lr.arrived:
		}
		for record, found := lr.take(); found && ctx.Err() == nil; record, found = lr.take() {
			change := parseCatalogueRecord(record, lr.tables.Parse)
			lr.control.do(ctx, func(now bulrushchute.Millis) { lr.control.applyCatalogue(now, change) })
		}
	}
}

// applyDataCentre updates the weight of a data centre after operators withdraw it
// or return it to service.
func (c *control) applyDataCentre(now bulrushchute.Millis, before, after bulrushcatalogue.Set, name bulrushchute.DataCentre) {
	wasWithdrawn := dataCentreWithdrawn(before, name)
	nowWithdrawn := dataCentreWithdrawn(after, name)
	if name == c.dataCentre {
		c.admission.setWithdrawn(nowWithdrawn)
	}
	if wasWithdrawn == nowWithdrawn {
		return
	}
	weight := c.weights[name]
	weight.Withdrawn = nowWithdrawn
	if !nowWithdrawn {
		weight = c.withReturnRamp(now, name, weight)
	}
	c.setWeight(name, weight)
	c.publishWeights()
	klog.InfoS("data centre state changed", "data_centre", name, "withdrawn", nowWithdrawn)
}

func dataCentreWithdrawn(set bulrushcatalogue.Set, name bulrushchute.DataCentre) bool {
	entry, exists := set.DataCentre(name)
	return exists && entry.WithDefaults().State != bulrushcatalogue.DataCentreServing
}

// configureAdmission passes the entry of a service to the admission, if it is the
// service of this node's backend server.
func (c *control) configureAdmission(set bulrushcatalogue.Set, name bulrushchute.Service) {
	if c.admission.latestAnnouncement().Service != name {
		return
	}
	if entry, exists := set.Service(name); exists {
		c.admission.configure(entry)
	}
}

// publishObject publishes an object of the store as a record, so that it spreads
// to all nodes.
func (c *control) publishObject(now bulrushchute.Millis, object bulrushchute.Object, deleted bool) {
	if record, replicated := packObject(object, deleted); replicated {
		c.membership.Table().Publish(now, record)
	}
}

// packObject returns the record of an object, or false if it does not spread as a record.
func packObject(object bulrushchute.Object, deleted bool) (bulrushchute.Record, bool) {
	key, replicated := recordKeyOf(object)
	if !replicated || isStrayRouting(object) {
		return bulrushchute.Record{}, false
	}
	return bulrushchute.Record{
		Key:     key,
		Version: recordVersionOf(object),
		Value:   compressValue(object.Value),
		Deleted: deleted,
	}, true
}

// recordKeyOf returns the key of an object's record, or false if objects of its
// kind do not spread as records.
func recordKeyOf(object bulrushchute.Object) (bulrushchute.RecordKey, bool) {
	switch object.Kind {
	case bulrushchute.KindServices, bulrushchute.KindDataCentres, bulrushchute.KindRouting, bulrushchute.KindMoveOrders:
		return bulrushchute.RecordKey{Topic: bulrushchute.TopicCatalogue, Name: string(object.Kind) + "/" + object.Name}, true
	case bulrushchute.KindKeyMaps:
		return bulrushchute.RecordKey{Topic: bulrushchute.TopicKeyMap, Name: object.Name}, true
	default:
		return bulrushchute.RecordKey{}, false
	}
}
