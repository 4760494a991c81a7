package bulrushnode

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushkey"
	"bulrushchute.example/bulrushchute/bulrushmembership"
	"bulrushchute.example/bulrushchute/bulrushrouting"
	"bulrushchute.example/bulrushchute/bulrushspread"
)

// controlQueue bounds the control messages that wait for the controller.
// Beyond it they are dropped, as by a busy network.
const controlQueue = 4096

// joinPatience is the time after which a node that has not joined takes
// callers, with the servers that it knows: its own at least.
const joinPatience = 500 * bulrushchute.Millisecond

// received is a control message with the address of the node that sent it.
type received struct {
	from    bulrushchute.Address
	message bulrushchute.Control
}

// control owns the membership and the records of the node. All its state
// belongs to the goroutine that runs it; others use do.
type control struct {
	clock      bulrushchute.Clock
	board      *bulrushboard.Board
	transport  bulrushchute.Transport
	admission  *admission
	self       bulrushchute.InstanceID
	dataCentre bulrushchute.DataCentre
	inbox      chan received
	commands   chan func(now bulrushchute.Millis)
	membership *bulrushmembership.Membership
	keys       *keys
	moves      *moves

	members map[bulrushchute.Service]map[bulrushchute.InstanceID]bulrushchute.Instance
	homes   map[bulrushchute.InstanceID]bulrushchute.Service
	changed map[bulrushchute.Service]bool
	weights bulrushrouting.Weights
	// weightsChanged is set when the board's weights are out of date.
	weightsChanged bool
	draining       bool
	serveIsolated  bool
	startedAt      bulrushchute.Millis
	// patient is set once joinPatience has passed.
	patient bool
	// expire ends the node's run with an error.
	expire func()
}

func newControl(n *Node, self bulrushchute.Instance) *control {
	c := &control{
		clock:     n.clock,
		startedAt: n.clock.Now(),

		serveIsolated: n.settings.ServeIsolated,
		board:         n.board,
		transport:     n.client,
		admission:     n.admission,
		self:          self.ID,
		dataCentre:    self.DataCentre,
		keys:          n.keys,
		moves:         n.moves,
		inbox:         make(chan received, controlQueue),
		commands:      make(chan func(bulrushchute.Millis)),
		members:       make(map[bulrushchute.Service]map[bulrushchute.InstanceID]bulrushchute.Instance),
		homes:         make(map[bulrushchute.InstanceID]bulrushchute.Service),
		changed:       make(map[bulrushchute.Service]bool),
		weights:       make(bulrushrouting.Weights),
		expire:        func() {},
	}
	c.membership = bulrushmembership.New(n.clock.Now(), bulrushmembership.Config{
		Self:         self,
		Seeds:        n.settings.SeedAddresses,
		Random:       newRandom(string(self.ID), "membership"),
		OnMember:     c.onMember,
		OnDataCentre: c.onReachable,
		OnStatus:     c.onStatus,
		OnRecord:     c.onRecord,
	})
	return c
}

// do runs a command in the controller's goroutine and waits for it. It
// returns false if the controller has ended.
func (c *control) do(ctx context.Context, command func(now bulrushchute.Millis)) bool {
	finished := make(chan struct{})
	wrapped := func(now bulrushchute.Millis) {
		defer close(finished)
		command(now)
	}
	select {
	case c.commands <- wrapped:
		<-finished
		return true
	case <-ctx.Done():
		return false
	}
}

// receive takes a control message from the transport.
func (c *control) receive(from bulrushchute.Address, message bulrushchute.Control) {
	select {
	case c.inbox <- received{from: from, message: message}:
	default:
		klog.V(1).InfoS("control message dropped", "from", from)
	}
}

// run is the controller's goroutine.
func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(bulrushspread.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-c.inbox:
			c.handle(r)
		case command := <-c.commands:
			command(c.clock.Now())
		case <-ticker.C:
			c.tick()
		}
	}
}

func (c *control) handle(r received) {
	now := c.clock.Now()
	if c.keys.handle(now, r.from, r.message) {
		return
	}
	if r.message.Evidence != nil {
		c.moves.onEvidence(r.message.From, *r.message.Evidence)
		return
	}
	c.send(c.membership.Receive(now, r.from, r.message))
}

func (c *control) send(actions []bulrushmembership.Action) {
	for _, a := range actions {
		a.Message.From = c.self
		c.transport.Send(a.To, a.Message)
	}
}

func (c *control) tick() {
	now := c.clock.Now()
	c.send(c.membership.Tick(now))
	c.admission.tick()
	c.keys.tick(now)
	c.moves.tick(now)
	c.publishMembers()
	c.publishWeights()
	if !c.patient && c.waited(now) {
		c.patient = true
		c.updateState(c.membership.Status())
	}
}

// onMember notes a changed member. The board is updated once for each tick,
// because many members may change together.
func (c *control) onMember(_ bulrushchute.Millis, member bulrushchute.Instance) {
	if old, known := c.homes[member.ID]; known && old != member.Service {
		delete(c.members[old], member.ID)
		c.changed[old] = true
	}
	c.changed[member.Service] = true
	if member.State == bulrushchute.StateDead {
		delete(c.members[member.Service], member.ID)
		delete(c.homes, member.ID)
		klog.InfoS("member gone", "instance", member.ID, "service", member.Service, "data_centre", member.DataCentre)
		return
	}
	if c.members[member.Service] == nil {
		c.members[member.Service] = make(map[bulrushchute.InstanceID]bulrushchute.Instance)
	}
	c.members[member.Service][member.ID] = member
	c.homes[member.ID] = member.Service
}

func (c *control) publishMembers() {
	if len(c.changed) == 0 {
		return
	}
	changed := make(map[bulrushchute.Service][]bulrushchute.Instance, len(c.changed))
	for service := range c.changed {
		changed[service] = sortedInstances(c.members[service])
	}
	clear(c.changed)
	c.board.Update(func(view bulrushboard.View) bulrushboard.View {
		return view.WithMembers(changed)
	})
	c.keys.membersChanged(c.clock.Now())
}

func sortedInstances(members map[bulrushchute.InstanceID]bulrushchute.Instance) []bulrushchute.Instance {
	instances := make([]bulrushchute.Instance, 0, len(members))
	for _, member := range members {
		instances = append(instances, member)
	}
	slices.SortFunc(instances, func(a, b bulrushchute.Instance) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return instances
}

func (c *control) onReachable(now bulrushchute.Millis, dataCentre bulrushchute.DataCentre, reachable bool) {
	weight := c.weights[dataCentre]
	if weight.Unreachable == !reachable {
		return
	}
	weight.Unreachable = !reachable
	if reachable {
		weight = c.returned(now, dataCentre, weight)
	}
	c.setWeight(dataCentre, weight)
	klog.InfoS("data centre reachability changed", "data_centre", dataCentre, "reachable", reachable)
}

// returned starts the ramp of a data centre that takes work again.
func (c *control) returned(now bulrushchute.Millis, dataCentre bulrushchute.DataCentre, weight bulrushrouting.Weight) bulrushrouting.Weight {
	entry, _ := c.board.Read().Catalogue.DataCentre(dataCentre)
	weight.ReturnedAt = now
	weight.Ramp = entry.WithDefaults().ReturnRampMs
	return weight
}

func (c *control) setWeight(dataCentre bulrushchute.DataCentre, weight bulrushrouting.Weight) {
	c.weights[dataCentre] = weight
	c.weightsChanged = true
}

func (c *control) publishWeights() {
	if !c.weightsChanged {
		return
	}
	c.weightsChanged = false
	weights := make(bulrushrouting.Weights, len(c.weights))
	for name, weight := range c.weights {
		weights[name] = weight
	}
	c.board.Update(func(view bulrushboard.View) bulrushboard.View {
		return view.WithWeights(weights)
	})
}

func (c *control) onStatus(_ bulrushchute.Millis, status bulrushmembership.Status) {
	klog.InfoS("membership status", "joined", status.Joined, "isolated", status.Isolated, "expired", status.Expired)
	c.admission.setIsolated(status.Isolated && !c.serveIsolated)
	c.updateState(status)
	if status.Expired {
		// Peers may have dropped records that this node still holds, so it must
		// not go on under its identity.
		c.expire()
	}
}

// waited reports whether joinPatience has passed.
func (c *control) waited(now bulrushchute.Millis) bool {
	return now-c.startedAt >= joinPatience
}

// updateState derives the node's state from the membership and the catalogue.
func (c *control) updateState(status bulrushmembership.Status) {
	c.board.Update(func(view bulrushboard.View) bulrushboard.View {
		return view.WithState(nodeState(status, view.Catalogue, c.draining, c.waited(c.clock.Now())))
	})
}

// nodeState gives the state of a node. Waited is set when the join has taken so
// long that no peer seems to be within reach.
func nodeState(status bulrushmembership.Status, catalogue bulrushcatalogue.Set, draining, waited bool) bulrushboard.NodeState {
	switch {
	case draining:
		return bulrushboard.NodeDraining
	case status.Isolated:
		return bulrushboard.NodeIsolated
	case !catalogue.HasServices() || !status.Joined && !waited:
		return bulrushboard.NodeStarting
	default:
		return bulrushboard.NodeReady
	}
}

// onRecord takes a changed record of a topic that is not the membership's own.
func (c *control) onRecord(now bulrushchute.Millis, record bulrushchute.Record) {
	switch record.Key.Topic {
	case bulrushchute.TopicCatalogue:
		c.onCatalogue(now, record)
	case bulrushchute.TopicKeyMap:
		c.onKeyMap(now, record)
	case bulrushchute.TopicMove:
		c.moves.onRecord(record)
	}
}

func (c *control) onKeyMap(now bulrushchute.Millis, record bulrushchute.Record) {
	object := bulrushchute.Object{
		Kind:    bulrushchute.KindKeyMaps,
		Name:    record.Key.Name,
		Version: record.Version.Counter,
	}
	var keyMap bulrushkey.KeyMap
	value, err := decompressValue(record.Value)
	if err == nil {
		keyMap, err = bulrushkey.ParseMap(object.WithValue(value))
	}
	if err != nil {
		klog.ErrorS(err, "key map not taken", "service", record.Key.Name, "version", object.Version)
		return
	}
	c.board.Update(func(view bulrushboard.View) bulrushboard.View {
		return view.WithKeyMap(keyMap)
	})
	c.keys.mapChanged(now, keyMap)
}

// onCatalogue puts an entry in force. An entry that cannot be parsed leaves
// the last valid version in force.
func (c *control) onCatalogue(now bulrushchute.Millis, record bulrushchute.Record) {
	kind, name, _ := strings.Cut(record.Key.Name, "/")
	before := c.board.Read().Catalogue
	value, err := decompressValue(record.Value)
	after := before
	if err == nil {
		record.Value = value
		after, err = withRecord(before, bulrushchute.Kind(kind), name, record)
	}
	if err != nil {
		klog.ErrorS(err, "catalogue entry not taken", "kind", kind, "name", name, "version", record.Version.Counter)
		return
	}
	c.board.Update(func(view bulrushboard.View) bulrushboard.View {
		return view.WithCatalogue(after)
	})
	klog.InfoS("catalogue entry in force", "kind", kind, "name", name, "version", record.Version.Counter, "deleted", record.Deleted)
	c.updateState(c.membership.Status())
	if bulrushchute.Kind(kind) == bulrushchute.KindDataCentres {
		c.applyDataCentre(now, before, after, bulrushchute.DataCentre(name))
		return
	}
	if bulrushchute.Kind(kind) == bulrushchute.KindRouting {
		name = string(c.admission.latestAnnouncement().Service)
	}
	c.applyService(after, bulrushchute.Service(name))
}

func withRecord(set bulrushcatalogue.Set, kind bulrushchute.Kind, name string, record bulrushchute.Record) (bulrushcatalogue.Set, error) {
	version := record.Version.Counter
	switch {
	case kind == bulrushchute.KindServices && record.Deleted:
		return set.WithoutService(bulrushchute.Service(name), version), nil
	case kind == bulrushchute.KindServices:
		entry, err := bulrushcatalogue.ParseService(record.Value)
		return set.WithService(entry, version), err
	case kind == bulrushchute.KindRouting && record.Deleted:
		return set, nil
	case kind == bulrushchute.KindRouting:
		routing, err := bulrushcatalogue.ParseRouting(record.Value)
		return set.WithRouting(routing, version), err
	case kind == bulrushchute.KindMoveOrders && record.Deleted:
		return set.WithoutMoveOrder(bulrushchute.Service(name), version), nil
	case kind == bulrushchute.KindMoveOrders:
		order, err := bulrushcatalogue.ParseMoveOrder(record.Value)
		return set.WithMoveOrder(order, version), err
	case kind == bulrushchute.KindDataCentres && record.Deleted:
		return set.WithoutDataCentre(bulrushchute.DataCentre(name), version), nil
	case kind == bulrushchute.KindDataCentres:
		entry, err := bulrushcatalogue.ParseDataCentre(record.Value)
		return set.WithDataCentre(entry, version), err
	}
	return set, &bulrushchute.FieldError{Field: "kind", Value: string(kind), Allowed: "services, datacentres, routing or moveorders"}
}

// applyDataCentre changes a data centre's weight when operators withdraw or return it.
func (c *control) applyDataCentre(now bulrushchute.Millis, before, after bulrushcatalogue.Set, name bulrushchute.DataCentre) {
	was := withdrawn(before, name)
	is := withdrawn(after, name)
	if name == c.dataCentre {
		c.admission.setWithdrawn(is)
	}
	if was == is {
		return
	}
	weight := c.weights[name]
	weight.Withdrawn = is
	if !is {
		weight = c.returned(now, name, weight)
	}
	c.setWeight(name, weight)
	c.publishWeights()
	klog.InfoS("data centre state changed", "data_centre", name, "withdrawn", is)
}

func withdrawn(set bulrushcatalogue.Set, name bulrushchute.DataCentre) bool {
	entry, exists := set.DataCentre(name)
	return exists && entry.WithDefaults().State != bulrushcatalogue.DataCentreServing
}

func (c *control) applyService(set bulrushcatalogue.Set, name bulrushchute.Service) {
	if c.admission.latestAnnouncement().Service != name {
		return
	}
	if entry, exists := set.Service(name); exists {
		c.admission.configure(entry)
	}
}

// isCandidate reports whether this node is among the first few by hash of the
// members of a data centre, or of all when it is empty. Every node computes the
// same order from the members that it knows. Most nodes meet enough members
// before them after a few dozen, so the check is cheap in a large fleet.
func (c *control) isCandidate(purpose string, dataCentre bulrushchute.DataCentre, places int) bool {
	return c.rank(purpose, dataCentre, places) < places
}

// rank returns how many members come before this node by hash, counted up to a limit.
func (c *control) rank(purpose string, dataCentre bulrushchute.DataCentre, limit int) int {
	own := rankHash(purpose, c.self)
	rank := 0
	c.membership.Range(func(member bulrushchute.Instance) bool {
		counted := dataCentre == "" || member.DataCentre == dataCentre
		if counted && stays(member) && member.ID != c.self && rankHash(purpose, member.ID) < own {
			rank++
		}
		return rank < limit
	})
	return rank
}

// stays reports whether a member can be relied on for a task of the fleet.
func stays(member bulrushchute.Instance) bool {
	return member.State != bulrushchute.StateLeaving && member.State != bulrushchute.StateSuspect
}

func rankHash(purpose string, id bulrushchute.InstanceID) uint64 {
	return xxhash.Sum64String(purpose + "/" + string(id))
}

// publishObject spreads an object that a reader saw in the store.
func (c *control) publishObject(now bulrushchute.Millis, object bulrushchute.Object, deleted bool) {
	key, spread := recordKeyOf(object)
	if !spread {
		return
	}
	c.membership.Table().Publish(now, bulrushchute.Record{
		Key:     key,
		Version: bulrushchute.RecordVersion{Counter: object.Version},
		Value:   compressValue(object.Value),
		Deleted: deleted,
	})
}

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
