package bulrushnode

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmove"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// Sizes and timings of the move leases.
const (
	// moveShards bounds the leases that are renewed, whatever the number of
	// services that move at once.
	moveShards = 32
	// moveCandidates bounds the nodes that try to acquire a shard's lease.
	moveCandidates = 3
	// A move stands still until a lost holder's lease has lapsed. Renewals cost
	// 32 writes a second if services move in every shard.
	moveLease      = 3 * bulrushchute.Second
	moveRenewEvery = bulrushchute.Second
	moveMargin     = 500 * bulrushchute.Millisecond
	// shardsEvery is how often the shards in which services move are looked up,
	// so that a new move starts soon.
	shardsEvery = 500 * bulrushchute.Millisecond
)

// holderPrefix begins the names of the records that tell a shard's holder. It
// is not a valid part of a service's name.
const holderPrefix = "holder/"

// moveHolder is the value of the record that tells where evidence goes.
type moveHolder struct {
	ID      bulrushchute.InstanceID `cbor:"1,keyasint"`
	Address bulrushchute.Address    `cbor:"2,keyasint"`
}

// moves is the node's part in version moves: it gathers evidence as admission
// node, brakes as entry node, and runs the controllers of the shards whose
// lease it holds.
type moves struct {
	clock   bulrushchute.Clock
	board   *bulrushboard.Board
	store   bulrushchute.Store
	self    bulrushchute.Instance
	tasks   *bulrushtask.Group
	context context.Context
	// control is set before any goroutine uses it.
	control *control
	leases  [moveShards]*bulrushstore.Lease

	// mutex guards what the data path writes.
	mutex      sync.Mutex
	recorder   *bulrushmove.Recorder
	recordedBy uint64
	brakes     map[bulrushchute.Service]*brake

	// The fields below belong to the controller's goroutine.
	controllers map[bulrushchute.Service]*bulrushmove.Controller
	holders     map[string]moveHolder
	// unsent is records that a callback made and that the next tick publishes.
	unsent []bulrushchute.Record
	nextAt bulrushchute.Millis
}

// brake is an entry node's own judgement of a move.
type brake struct {
	generation uint64
	brake      *bulrushmove.Brake
	reported   bool
}

func newMoves(n *Node) *moves {
	m := &moves{
		clock:       n.clock,
		board:       n.board,
		store:       n.store,
		self:        n.self,
		tasks:       bulrushtask.NewGroup(nil),
		context:     n.context,
		brakes:      make(map[bulrushchute.Service]*brake),
		controllers: make(map[bulrushchute.Service]*bulrushmove.Controller),
		holders:     make(map[string]moveHolder),
	}
	for shard := range m.leases {
		m.leases[shard] = bulrushstore.NewLease(n.store, n.clock, bulrushstore.LeaseSettings{
			Name:          shardName(shard),
			Holder:        n.id,
			Duration:      moveLease,
			RenewInterval: moveRenewEvery,
			ClockMargin:   moveMargin,
		})
	}
	return m
}

func shardName(shard int) string {
	return "moves-" + strconv.Itoa(shard)
}

func shardOf(service bulrushchute.Service) int {
	return int(xxhash.Sum64String(string(service)) % moveShards)
}

// observeDispatch notes how a dispatch to this node's backend server ended.
func (m *moves) observeDispatch(service bulrushchute.Service, sample bulrushmove.Sample) {
	move := m.moveOf(service)
	if move == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.recorder == nil || m.recordedBy != move.Generation {
		m.recorder = bulrushmove.NewRecorder(service, *move)
		m.recordedBy = move.Generation
	}
	m.recorder.Observe(sample)
}

// observeAttempt notes how an attempt of this entry node ended.
func (m *moves) observeAttempt(service bulrushchute.Service, sample bulrushmove.Sample) {
	move := m.moveOf(service)
	if move == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	current := m.brakes[service]
	if current == nil || current.generation != move.Generation {
		current = &brake{generation: move.Generation, brake: bulrushmove.NewBrake(*move)}
		m.brakes[service] = current
	}
	current.brake.Observe(sample)
}

func (m *moves) moveOf(service bulrushchute.Service) *bulrushcatalogue.Move {
	entry, _ := m.board.Read().Catalogue.Service(service)
	return entry.Move
}

// The methods below run in the controller's goroutine.

// onShare puts a share in force that was published here or elsewhere.
func (m *moves) onShare(record bulrushchute.Record) {
	share, err := bulrushmove.ParseShareRecord(record)
	if err != nil {
		klog.ErrorS(err, "move share not taken", "service", record.Key.Name)
		return
	}
	var lowered *bulrushmove.ShareRecord
	m.board.Update(func(view bulrushboard.View) bulrushboard.View {
		var shares bulrushmove.Shares
		shares, lowered = view.Shares.WithRecord(share)
		return view.WithShares(shares)
	})
	klog.InfoS("move share in force", "service", share.Service, "generation", share.Generation,
		"epoch", share.Epoch, "share_bp", share.Share, "braked", share.Braked, "reason", share.Reason)
	if lowered != nil {
		m.unsent = append(m.unsent, lowered.Record())
	}
	if controller := m.controllers[share.Service]; controller != nil {
		controller.ObserveShare(share)
	}
}

// onRecord takes a record of the move topic: a share or a shard's holder.
func (m *moves) onRecord(record bulrushchute.Record) {
	if strings.HasPrefix(record.Key.Name, holderPrefix) {
		m.onHolder(record)
		return
	}
	m.onShare(record)
}

// onHolder notes where the evidence of a shard goes.
func (m *moves) onHolder(record bulrushchute.Record) {
	var holder moveHolder
	if err := cbor.Unmarshal(record.Value, &holder); err != nil {
		klog.ErrorS(err, "move holder not taken", "name", record.Key.Name)
		return
	}
	m.holders[strings.TrimPrefix(record.Key.Name, holderPrefix)] = holder
}

func (m *moves) onEvidence(from bulrushchute.InstanceID, evidence bulrushchute.Evidence) {
	if controller := m.controllers[evidence.Service]; controller != nil {
		controller.AddEvidence(from, evidence)
	}
}

func (m *moves) tick(now bulrushchute.Millis) {
	m.publishUnsent(now)
	if now < m.nextAt {
		return
	}
	m.nextAt = now + m.period()
	m.sendEvidence()
	m.tickBrakes(now)
	m.tickControllers(now)
	m.publishUnsent(now)
}

func (m *moves) publishUnsent(now bulrushchute.Millis) {
	unsent := m.unsent
	m.unsent = nil
	for _, record := range unsent {
		m.control.membership.Table().Publish(now, record)
	}
}

// period is the time until the next report and judgement: that of the
// shortest move.
func (m *moves) period() bulrushchute.Millis {
	period := bulrushmove.EvidencePeriod
	view := m.board.Read()
	for _, service := range servicesWithMove(view.Catalogue) {
		entry, _ := view.Catalogue.Service(service)
		period = min(period, bulrushmove.EvidencePeriodOf(*entry.Move))
	}
	return period
}

func (m *moves) sendEvidence() {
	m.mutex.Lock()
	var reports []bulrushchute.Evidence
	if m.recorder != nil {
		reports = m.recorder.Drain()
	}
	m.mutex.Unlock()
	for _, report := range reports {
		holder, known := m.holders[shardName(shardOf(report.Service))]
		switch {
		case !known:
		case holder.ID == m.self.ID:
			m.onEvidence(m.self.ID, report)
		default:
			m.control.transport.Send(holder.Address, bulrushchute.Control{From: m.self.ID, Evidence: &report})
		}
	}
}

// tickBrakes stops a version that this node's own attempts show to be bad,
// without waiting for the holder.
func (m *moves) tickBrakes(now bulrushchute.Millis) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	shares := m.board.Read().Shares
	for service, current := range m.brakes {
		finding := current.brake.Tick(now, shares.ShareOf(service, current.generation))
		if !finding.Bad || current.reported {
			continue
		}
		current.reported = true
		m.applyBrake(service, current.generation, finding.String())
	}
}

func (m *moves) applyBrake(service bulrushchute.Service, generation uint64, reason string) {
	klog.InfoS("move braked on own evidence", "service", service, "generation", generation, "reason", reason)
	m.board.Update(func(view bulrushboard.View) bulrushboard.View {
		shares, record := view.Shares.WithBrake(service, generation, reason)
		if record != nil {
			m.unsent = append(m.unsent, record.Record())
		}
		return view.WithShares(shares)
	})
}

func (m *moves) tickControllers(now bulrushchute.Millis) {
	view := m.board.Read()
	for _, service := range m.movingServices(view) {
		entry, _ := view.Catalogue.Service(service)
		until, held := m.leases[shardOf(service)].ExpiresAt()
		controller := m.controllers[service]
		if controller == nil && (!held || entry.Move == nil) {
			continue
		}
		if controller == nil {
			controller = bulrushmove.NewController(service, m.self.ID)
			m.controllers[service] = controller
		}
		controller.SetLease(until)
		controller.SetMove(entry.Move)
		if entry.Move != nil {
			controller.SetServers(now, countServers(view.Members(service).Instances, *entry.Move))
		}
		m.carryOut(now, service, controller.Tick(now))
	}
}

func servicesWithMove(catalogue bulrushcatalogue.Set) []bulrushchute.Service {
	var services []bulrushchute.Service
	for _, service := range catalogue.Services() {
		if entry, _ := catalogue.Service(service); entry.Move != nil && entry.Move.Outcome == "" {
			services = append(services, service)
		}
	}
	return services
}

// movingServices returns the services with a move in the catalogue and those
// with a controller, whose entry may have been deleted.
func (m *moves) movingServices(view bulrushboard.View) []bulrushchute.Service {
	var services []bulrushchute.Service
	for _, service := range servicesWithMove(view.Catalogue) {
		if m.controllers[service] == nil {
			services = append(services, service)
		}
	}
	for service := range m.controllers {
		services = append(services, service)
	}
	slices.Sort(services)
	return services
}

func countServers(instances []bulrushchute.Instance, move bulrushcatalogue.Move) bulrushmove.ServerCounts {
	var servers bulrushmove.ServerCounts
	for _, instance := range instances {
		if !instance.State.TakesWork() {
			continue
		}
		switch {
		case move.IsOldVersion(instance.Version):
			servers.Old++
		case instance.Version == move.ToVersion:
			servers.New++
		}
	}
	return servers
}

func (m *moves) carryOut(now bulrushchute.Millis, service bulrushchute.Service, actions []bulrushmove.Action) {
	for _, action := range actions {
		if action.Publish != nil {
			m.control.membership.Table().Publish(now, action.Publish.Record())
			continue
		}
		storeCall := *action.Store
		m.tasks.Start(m.context, "move store call", func(ctx context.Context) error {
			return m.call(ctx, service, storeCall)
		})
	}
}

// call makes a store call for a controller and hands its result back.
func (m *moves) call(ctx context.Context, service bulrushchute.Service, storeCall bulrushmove.StoreCall) error {
	object, err := m.perform(ctx, storeCall)
	if err == nil && storeCall.Operation == bulrushmove.StoreCreate && object.Kind == bulrushchute.KindEvents {
		klog.InfoS("move outcome announced", "event", object.Name, "value", string(object.Value))
	}
	m.control.do(ctx, func(now bulrushchute.Millis) {
		result := bulrushmove.StoreResult{ID: storeCall.ID, Object: object, Err: err}
		m.carryOut(now, service, m.controllers[service].HandleStoreResult(now, result))
	})
	var missing *bulrushchute.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	return err
}

func (m *moves) perform(ctx context.Context, storeCall bulrushmove.StoreCall) (bulrushchute.Object, error) {
	switch storeCall.Operation {
	case bulrushmove.StoreCreate:
		return m.store.Create(ctx, storeCall.Object)
	case bulrushmove.StoreUpdate:
		return m.store.Update(ctx, storeCall.Object)
	default:
		return m.store.Get(ctx, storeCall.Object.Kind, storeCall.Object.Name)
	}
}

// runLeases contends for the shards in which services move.
func (m *moves) runLeases(ctx context.Context) error {
	var nextStep [moveShards]bulrushchute.Millis
	for ctx.Err() == nil {
		for _, shard := range m.wantedShards(ctx) {
			if now := m.clock.Now(); now >= nextStep[shard] {
				nextStep[shard] = now + moveRenewEvery
				m.stepLease(ctx, shard)
			}
		}
		bulrushtask.Pause(ctx, shardsEvery.Duration())
	}
	m.releaseLeases()
	return nil
}

func (m *moves) stepLease(ctx context.Context, shard int) {
	before, _ := m.leases[shard].Held()
	if _, err := m.leases[shard].AcquireOrRenew(ctx); err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("move lease not renewed", "shard", shard, "error", err)
	}
	epoch, held := m.leases[shard].Held()
	if !held || epoch == before {
		return
	}
	klog.InfoS("move lease held", "shard", shard, "epoch", epoch)
	m.control.do(ctx, func(now bulrushchute.Millis) { m.publishHolder(now, shard, epoch) })
}

func (m *moves) publishHolder(now bulrushchute.Millis, shard int, epoch uint64) {
	value, err := cbor.Marshal(moveHolder{ID: m.self.ID, Address: m.self.Address})
	if err != nil {
		klog.ErrorS(err, "encode move holder")
		return
	}
	published := m.control.membership.Table().Publish(now, bulrushchute.Record{
		Key:     bulrushchute.RecordKey{Topic: bulrushchute.TopicMove, Name: holderPrefix + shardName(shard)},
		Version: bulrushchute.RecordVersion{Epoch: epoch},
		Value:   value,
	})
	if !published {
		klog.InfoS("move holder not published", "shard", shard, "epoch", epoch)
	}
}

// releaseLeases lets other nodes continue at once after this one has left.
func (m *moves) releaseLeases() {
	ctx, cancel := context.WithTimeout(m.context, bulrushstore.DefaultTimeout.Duration())
	defer cancel()
	for shard, lease := range m.leases {
		if _, held := lease.Held(); !held {
			continue
		}
		if err := lease.Release(ctx); err != nil {
			klog.V(1).InfoS("move lease not released", "shard", shard, "error", err)
		}
	}
}

// wantedShards returns the shards with a move for which this node is a candidate
// or whose lease it holds. The instances of a new version change the order of
// candidates, and a new holder would start without evidence.
func (m *moves) wantedShards(ctx context.Context) []int {
	wanted := make(map[int]bool)
	view := m.board.Read()
	for _, service := range servicesWithMove(view.Catalogue) {
		wanted[shardOf(service)] = true
	}
	var shards []int
	m.control.do(ctx, func(bulrushchute.Millis) {
		for shard := range wanted {
			_, held := m.leases[shard].Held()
			if held || m.control.isCandidate(shardName(shard), "", moveCandidates) {
				shards = append(shards, shard)
			}
		}
	})
	return shards
}
