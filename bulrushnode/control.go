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

// controlQueueSize is the number of received control messages that can wait for
// control's goroutine. Further messages are dropped, as on an overloaded network.
const controlQueueSize = 4096

// joinTimeout is the time after which a node that has not joined serves callers
// anyway, with the backend servers that it knows. These include its own. It does so
// even earlier if its catalogue is confirmed to be current.
const joinTimeout = 500 * bulrushchute.Millisecond

// inboundControl is a received control message with the address of its sender.
type inboundControl struct {
	from       bulrushchute.Address
	message    bulrushchute.Control
	receivedAt time.Time
}

// control owns the membership and the records of the node. Only the goroutine
// that executes run accesses its state. Other goroutines use do.
type control struct {
	clock      bulrushchute.Clock
	board      *bulrushboard.Board
	transport  bulrushchute.Transport
	admission  *admission
	id         bulrushchute.InstanceID
	dataCentre bulrushchute.DataCentre
	inbox      chan inboundControl
	commands   chan func(now bulrushchute.Millis)
	membership *bulrushmembership.Membership
	keys       *keys
	moves      *moves
	usage      *usage
	quarantine *quarantine
	// quarantineVersion is the version of the report of crashes that was published
	// last, and reportsForgottenAt when expired ones of other nodes were removed.
	quarantineVersion  uint64
	reportsForgottenAt bulrushchute.Millis
	// reportsLeftOut is set when the quarantine had no room for a report.
	reportsLeftOut bool

	members   map[bulrushchute.Service]map[bulrushchute.InstanceID]bulrushchute.Instance
	serviceOf map[bulrushchute.InstanceID]bulrushchute.Service
	// changedServices are the services with changes in members that are not on the
	// board yet.
	changedServices map[bulrushchute.Service]bool
	weights         bulrushrouting.Weights
	// weightsChanged is set when weights has changes that are not on the board yet.
	weightsChanged bool
	draining       bool
	serveIsolated  bool
	startedAt      bulrushchute.Millis
	// joinTimedOut is set once joinTimeout has elapsed and the node's state has
	// been updated.
	joinTimedOut bool
	// freshness tracks when the copy of the catalogue was last known to be current.
	freshness *freshness
	// notInForce holds the catalogue records that decide routes and whose newest version
	// is not in force.
	notInForce   map[bulrushchute.RecordKey]bool
	largeRecords *largeRecords
	// restored holds what is known about restores of the store.
	restored       restoredCopy
	deletionRepair deletionRepair
	// seedAddresses is the number of addresses in the settings through which the
	// node joins. If it is 0, those in the store are used.
	seedAddresses int
	// expire makes Node.Run return an *ExpiredError.
	expire func()
	// heldUp counts the messages that waited for control's goroutine.
	heldUp *heldUpCounts
}

func newControl(n *Node, self bulrushchute.Instance) *control {
	c := &control{
		clock:     n.clock,
		startedAt: n.clock.Now(),

		serveIsolated:   n.settings.ServeIsolated,
		seedAddresses:   len(n.settings.SeedAddresses),
		board:           n.board,
		transport:       n.client,
		admission:       n.admission,
		id:              self.ID,
		dataCentre:      self.DataCentre,
		keys:            n.keys,
		moves:           n.moves,
		quarantine:      n.quarantine,
		inbox:           make(chan inboundControl, controlQueueSize),
		commands:        make(chan func(bulrushchute.Millis)),
		members:         make(map[bulrushchute.Service]map[bulrushchute.InstanceID]bulrushchute.Instance),
		serviceOf:       make(map[bulrushchute.InstanceID]bulrushchute.Service),
		changedServices: make(map[bulrushchute.Service]bool),
		weights:         make(bulrushrouting.Weights),
		expire:          func() {},
		heldUp:          &n.heldUp,
		freshness:       newFreshness(n, self.ID),
		notInForce:      make(map[bulrushchute.RecordKey]bool),
		deletionRepair:  deletionRepair{pending: make(map[bulrushchute.RecordKey]bulrushchute.RecordVersion)},
	}
	c.largeRecords = newLargeRecords(c)
	c.membership = bulrushmembership.New(n.clock.Now(), bulrushmembership.Config{
		Self:         self,
		Seeds:        n.settings.SeedAddresses,
		SeedsPending: len(n.settings.SeedAddresses) == 0 && !n.settings.FirstStart,
		Random:       newRandom(string(self.ID), "membership"),
		OnMember:     c.onMember,
		OnIntroduced: c.onIntroduced,
		OnDataCentre: c.onReachability,
		OnStatus:     c.onStatus,
		OnRecord:     c.onRecord,
		Accept:       c.acceptRecord,
	})
	return c
}

// do runs a command in control's goroutine and waits for its end. It
// returns false if the context ends before the command starts.
func (c *control) do(ctx context.Context, command func(now bulrushchute.Millis)) bool {
	done := make(chan struct{})
	wrapped := func(now bulrushchute.Millis) {
		defer close(done)
		command(now)
	}
	select {
	case c.commands <- wrapped:
		<-done
		return true
	case <-ctx.Done():
		return false
	}
}

// receive queues a control message from the transport.
func (c *control) receive(from bulrushchute.Address, message bulrushchute.Control) {
	select {
	case c.inbox <- inboundControl{from: from, message: message, receivedAt: time.Now()}:
	default:
		klog.V(1).InfoS("control message dropped", "from", from)
	}
}

// run handles messages, commands and ticks until the context ends.
func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(bulrushspread.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-c.inbox:
			c.heldUp.observeControl(r.from, time.Since(r.receivedAt))
			c.handle(r)
		case command := <-c.commands:
			command(c.clock.Now())
		case <-ticker.C:
			c.tick()
		}
	}
}

func (c *control) handle(r inboundControl) {
	now := c.clock.Now()
	delay := min(r.message.Delay, maxStatedAge) + bulrushchute.MillisOf(time.Since(r.receivedAt))
	if c.keys.handle(now, r.from, r.message) {
		return
	}
	if r.message.Evidence != nil {
		c.moves.onEvidence(r.message.From, *r.message.Evidence)
		return
	}
	if r.message.Usage != nil {
		c.usage.receive(r.from, r.message)
		return
	}
	if r.message.Confirmation != nil {
		sent := *r.message.Confirmation
		sent.Age = min(sent.Age, maxStatedAge)
		c.onSentConfirmation(now, sent.WithDelay(delay))
		return
	}
	if r.message.Records != nil {
		c.freshness.arrivingAge = min(r.message.Records.ConfirmationAge, maxStatedAge) + delay
	}
	c.send(c.membership.Receive(now, r.from, r.message))
}

func (c *control) send(actions []bulrushmembership.Action) {
	for _, a := range actions {
		a.Message.From = c.id
		if a.Message.Records != nil {
			c.stateConfirmationAge(a.Message.Records)
		}
		c.transport.Send(a.To, a.Message)
	}
}

func (c *control) tick() {
	now := c.clock.Now()
	c.send(c.membership.Tick(now))
	c.admission.tick()
	c.keys.tick(now)
	c.moves.tick(now)
	c.publishQuarantine(now)
	c.forgetReports(now)
	c.publishMembers()
	c.publishWeights()
	c.tickFreshness(now)
	c.usage.tick()
	if !c.joinTimedOut && c.joinTimeoutElapsed(now) {
		c.joinTimedOut = true
		c.updateState(c.membership.Status())
	}
}

// onMember records a changed member. The board is updated only once per tick,
// because many members may change at the same time.
func (c *control) onMember(_ bulrushchute.Millis, member bulrushchute.Instance) {
	if old, known := c.serviceOf[member.ID]; known && old != member.Service {
		delete(c.members[old], member.ID)
		c.changedServices[old] = true
	}
	c.changedServices[member.Service] = true
	c.usage.onMember()
	if member.State == bulrushchute.StateDead {
		delete(c.members[member.Service], member.ID)
		delete(c.serviceOf, member.ID)
		klog.InfoS("member gone", "instance", member.ID, "service", member.Service, "data_centre", member.DataCentre)
		return
	}
	if c.members[member.Service] == nil {
		c.members[member.Service] = make(map[bulrushchute.InstanceID]bulrushchute.Instance)
	}
	c.members[member.Service][member.ID] = member
	c.serviceOf[member.ID] = member.Service
}

func (c *control) publishMembers() {
	if len(c.changedServices) == 0 {
		return
	}
	changed := make(map[bulrushchute.Service][]bulrushchute.Instance, len(c.changedServices))
	for service := range c.changedServices {
		changed[service] = sortedInstances(c.members[service])
	}
	clear(c.changedServices)
	c.board.Update(func(view bulrushboard.View) bulrushboard.View {
		return view.WithMembers(changed)
	})
	c.keys.updateMembers(c.clock.Now())
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

func (c *control) onReachability(now bulrushchute.Millis, dataCentre bulrushchute.DataCentre, reachable bool) {
	weight := c.weights[dataCentre]
	if weight.Unreachable == !reachable {
		return
	}
	weight.Unreachable = !reachable
	if reachable {
		weight = c.withReturnRamp(now, dataCentre, weight)
	}
	c.setWeight(dataCentre, weight)
	klog.InfoS("data centre reachability changed", "data_centre", dataCentre, "reachable", reachable)
}

// withReturnRamp returns the weight with a ramp that starts now, for a data centre
// that receives work again.
func (c *control) withReturnRamp(now bulrushchute.Millis, dataCentre bulrushchute.DataCentre, weight bulrushrouting.Weight) bulrushrouting.Weight {
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
		// Peers may have discarded records that this node still holds, so it must
		// not continue with the same instance ID.
		c.expire()
	}
}

// joinTimeoutElapsed reports whether joinTimeout has elapsed since the start.
func (c *control) joinTimeoutElapsed(now bulrushchute.Millis) bool {
	return now-c.startedAt >= joinTimeout
}

// updateState derives the node's state from the membership and the catalogue, and
// sets it on the board.
func (c *control) updateState(status bulrushmembership.Status) {
	c.board.Update(func(view bulrushboard.View) bulrushboard.View {
		return view.WithState(nodeState(status, view.Catalogue, c.draining, c.mayServeUnjoined()))
	})
}

// mayServeUnjoined reports whether the node serves callers although it has not
// joined.
func (c *control) mayServeUnjoined() bool {
	return c.freshness.tracker.Confirmed() || c.joinTimeoutElapsed(c.clock.Now())
}

// nodeState returns the state of a node.
func nodeState(status bulrushmembership.Status, catalogue bulrushcatalogue.Set, draining, mayServeUnjoined bool) bulrushboard.NodeState {
	switch {
	case draining:
		return bulrushboard.NodeDraining
	case status.Isolated:
		return bulrushboard.NodeIsolated
	case !catalogue.HasServices() || !status.Joined && !mayServeUnjoined:
		return bulrushboard.NodeStarting
	default:
		return bulrushboard.NodeReady
	}
}

// onRecord handles a changed record of a topic that the membership does not
// handle itself.
func (c *control) onRecord(now bulrushchute.Millis, record bulrushchute.Record) {
	switch record.Key.Topic {
	case bulrushchute.TopicCatalogue:
		c.freshness.copyChanged = true
		c.onCatalogue(now, record)
	case bulrushchute.TopicKeyMap:
		c.freshness.copyChanged = true
		c.onKeyMap(now, record)
	case bulrushchute.TopicConfirmation:
		c.onConfirmation(now, record)
	case bulrushchute.TopicQuarantine:
		c.onQuarantine(now, record)
	case bulrushchute.TopicMove:
		c.moves.onRecord(record)
	case bulrushchute.TopicUsage:
		c.usage.onHolder(record)
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
	c.keys.setMap(now, keyMap)
}

// isCandidate reports whether this node is among the first count members of a
// data centre in hash order, or of all data centres if dataCentre is empty. Nodes
// that know the same members compute the same order. The check is cheap in a
// large fleet: most nodes find count members that precede them among the first
// few dozen.
func (c *control) isCandidate(purpose string, dataCentre bulrushchute.DataCentre, count int) bool {
	return c.rank(purpose, dataCentre, count) < count
}

// rank returns the number of members that precede this node in hash order, but
// at most limit.
func (c *control) rank(purpose string, dataCentre bulrushchute.DataCentre, limit int) int {
	ownHash := rankHash(purpose, c.id)
	rank := 0
	c.membership.Range(func(member bulrushchute.Instance) bool {
		eligible := dataCentre == "" || member.DataCentre == dataCentre
		if eligible && isReliable(member) && member.ID != c.id && rankHash(purpose, member.ID) < ownHash {
			rank++
		}
		return rank < limit
	})
	return rank
}

// isReliable reports whether a member is suitable for a task on behalf of the
// fleet, which excludes leaving and suspect members.
func isReliable(member bulrushchute.Instance) bool {
	return member.State != bulrushchute.StateLeaving && member.State != bulrushchute.StateSuspect
}

func rankHash(purpose string, id bulrushchute.InstanceID) uint64 {
	return xxhash.Sum64String(purpose + "/" + string(id))
}
