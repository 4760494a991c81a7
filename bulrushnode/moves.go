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

// Parameters of the move leases.
const (
	// moveShardCount is the number of shards, into which services are divided by
	// hash. Each shard has one lease for all of its moves, which limits the renewals
	// if many services have a move at the same time.
	moveShardCount = 32
	// maxMoveCandidates limits the nodes that try to acquire a shard's lease.
	maxMoveCandidates = 3
	// If a holder fails, its moves stop until moveLeaseDuration and moveClockMargin
	// have passed. Renewals cost 32 writes per second if every shard has a move.
	moveLeaseDuration = 3 * bulrushchute.Second
	moveRenewInterval = bulrushchute.Second
	moveClockMargin   = 500 * bulrushchute.Millisecond
	// shardPollInterval is how often the catalogue is checked for shards with a
	// move, so that a new move starts soon.
	shardPollInterval = 500 * bulrushchute.Millisecond
)

// holderPrefix is the prefix of the names of records that identify the holder of
// a shard's lease. The names of other records of the topic are services, which
// cannot contain it.
const holderPrefix = "holder/"

// moveHolder is the value of the record that identifies the holder of a shard's
// lease, to which evidence is sent.
type moveHolder struct {
	ID      bulrushchute.InstanceID `cbor:"1,keyasint"`
	Address bulrushchute.Address    `cbor:"2,keyasint"`
}

// moves implements the node's part in moves. As admission node it collects
// evidence, as entry node it may brake a move, and it runs the controllers of
// the shards whose lease it holds.
type moves struct {
	clock   bulrushchute.Clock
	board   *bulrushboard.Board
	store   bulrushchute.Store
	self    bulrushchute.Instance
	tasks   *bulrushtask.Group
	context context.Context
	// exposure limits the requests of new versions.
	exposure bulrushmove.ExposureLimit
	// control is set before any goroutine uses it.
	control *control
	leases  [moveShardCount]*bulrushstore.Lease

	// mutex guards the fields that the data path writes.
	mutex              sync.Mutex
	recorder           *bulrushmove.Recorder
	recorderGeneration uint64
	brakes             map[bulrushchute.Service]*brakeState
	// progress holds what this node last knew of each move that it decides on.
	progress map[bulrushchute.Service]bulrushmove.Progress
	// quota counts the requests that this node's backend server has received as one
	// of the new version.
	quota bulrushmove.Quota

	// Only control's goroutine accesses the fields below.
	controllers map[bulrushchute.Service]*bulrushmove.Controller
	// orders holds when this node learned of each service's latest move order.
	orders  map[bulrushchute.Service]moveOrderTime
	holders map[string]moveHolder
	// reportedTo is the holder to which the evidence was last sent, and
	// reportedGeneration the generation of its move.
	reportedTo         bulrushchute.InstanceID
	reportedGeneration uint64
	// pendingRecords holds records created by callbacks, which the next tick
	// publishes.
	pendingRecords   []bulrushchute.Record
	nextEvaluationAt bulrushchute.Millis
}

// moveOrderTime is when this node learned of a move order.
type moveOrderTime struct {
	generation uint64
	at         bulrushchute.Millis
}

// brakeState is the brake of an entry node for one generation of a service.
type brakeState struct {
	generation uint64
	brake      *bulrushmove.Brake
	// braked is set once this node has braked the move.
	braked bool
}

func newMoves(n *Node) *moves {
	m := &moves{
		clock:       n.clock,
		board:       n.board,
		store:       n.store,
		self:        n.self,
		tasks:       bulrushtask.NewGroup(nil),
		context:     n.context,
		exposure:    bulrushmove.ExposureLimit{Ratio: n.settings.ExposureRatio, Slack: n.settings.ExposureSlack},
		brakes:      make(map[bulrushchute.Service]*brakeState),
		progress:    make(map[bulrushchute.Service]bulrushmove.Progress),
		controllers: make(map[bulrushchute.Service]*bulrushmove.Controller),
		orders:      make(map[bulrushchute.Service]moveOrderTime),
		holders:     make(map[string]moveHolder),
	}
	for shard := range m.leases {
		m.leases[shard] = bulrushstore.NewLease(n.store, n.clock, bulrushstore.LeaseSettings{
			Name:          shardName(shard),
			Holder:        n.id,
			Duration:      moveLeaseDuration,
			RenewInterval: moveRenewInterval,
			ClockMargin:   moveClockMargin,
		})
	}
	return m
}

// voidLeases ends the terms of all leases after the store was restored from a copy.
func (m *moves) voidLeases() {
	for _, lease := range m.leases {
		lease.Void()
	}
}

func shardName(shard int) string {
	return "moves-" + strconv.Itoa(shard)
}

func shardOf(service bulrushchute.Service) int {
	return int(xxhash.Sum64String(string(service)) % moveShardCount)
}

// observeAttempt records the result of an attempt of this entry node.
func (m *moves) observeAttempt(service bulrushchute.Service, sample bulrushmove.Sample) {
	move := m.moveOf(service)
	if move == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	current := m.brakes[service]
	if current == nil || current.generation != move.Generation {
		current = &brakeState{generation: move.Generation, brake: bulrushmove.NewBrake(*move)}
		m.brakes[service] = current
	}
	current.brake.Observe(sample)
}

func (m *moves) moveOf(service bulrushchute.Service) *bulrushcatalogue.Move {
	entry, _ := m.board.Read().Catalogue.Service(service)
	return entry.Move
}

// The methods below run in control's goroutine, except runStoreCall and runLeases,
// which call the store, and the methods that these call outside of control.do.

// onShare applies a share that was published by this or another node.
func (m *moves) onShare(record bulrushchute.Record) {
	share, err := bulrushmove.ParseShareRecord(record)
	if err != nil {
		klog.ErrorS(err, "move share not taken", "service", record.Key.Name)
		return
	}
	var loweredShare *bulrushmove.ShareRecord
	m.board.Update(func(view bulrushboard.View) bulrushboard.View {
		var shares bulrushmove.Shares
		shares, loweredShare = view.Shares.WithRecord(share)
		return view.WithShares(shares)
	})
	klog.InfoS("move share in force", "service", share.Service, "generation", share.Generation,
		"epoch", share.Epoch, "share_bp", share.Share, "braked", share.Braked, "reason", share.Reason)
	if loweredShare != nil {
		m.pendingRecords = append(m.pendingRecords, loweredShare.Record())
	}
	if controller := m.controllers[share.Service]; controller != nil {
		controller.ObserveShare(share)
	}
}

// onRecord handles a record of the move topic, which is either a share or the
// holder of a shard.
func (m *moves) onRecord(record bulrushchute.Record) {
	if strings.HasPrefix(record.Key.Name, holderPrefix) {
		m.onHolder(record)
		return
	}
	m.onShare(record)
}

// onMoveOrder records when this node learned of an order, and has the move evaluated
// at once.
func (m *moves) onMoveOrder(now bulrushchute.Millis, service bulrushchute.Service) {
	move := m.board.Read().Catalogue.OrderedMove(service)
	if move == nil {
		delete(m.orders, service)
		return
	}
	if m.orders[service].generation != move.Generation {
		m.orders[service] = moveOrderTime{generation: move.Generation, at: now}
		m.nextEvaluationAt = now
	}
}

// onHolder records the node to which the evidence of a shard is sent.
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
	m.publishPendingRecords(now)
	if now < m.nextEvaluationAt {
		return
	}
	m.nextEvaluationAt = now + m.evaluationInterval()
	m.sendEvidence()
	m.tickBrakes(now)
	m.tickControllers(now)
	m.publishPendingRecords(now)
}

func (m *moves) publishPendingRecords(now bulrushchute.Millis) {
	records := m.pendingRecords
	m.pendingRecords = nil
	for _, record := range records {
		m.control.membership.Table().Publish(now, record)
	}
}

// evaluationInterval returns the time until evidence is sent and evaluated again,
// which is the evidence period of the shortest move.
func (m *moves) evaluationInterval() bulrushchute.Millis {
	interval := bulrushmove.EvidencePeriod
	view := m.board.Read()
	for _, service := range servicesWithMove(view.Catalogue) {
		entry, _ := view.Catalogue.Service(service)
		interval = min(interval, bulrushmove.EvidencePeriodOf(*entry.Move))
	}
	return interval
}

// tickBrakes brakes a move if this node's own attempts show that the new version
// is bad. It does not wait for the holder.
func (m *moves) tickBrakes(now bulrushchute.Millis) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	shares := m.board.Read().Shares
	for service, current := range m.brakes {
		finding := current.brake.Tick(now, shares.ShareOf(service, current.generation))
		if !finding.Bad || current.braked {
			continue
		}
		current.braked = true
		m.brakeMove(service, current.generation, finding.String())
	}
}

func (m *moves) brakeMove(service bulrushchute.Service, generation uint64, reason string) {
	klog.InfoS("move braked on own evidence", "service", service, "generation", generation, "reason", reason)
	m.board.Update(func(view bulrushboard.View) bulrushboard.View {
		shares, record := view.Shares.WithBrake(service, generation, reason)
		if record != nil {
			m.pendingRecords = append(m.pendingRecords, record.Record())
		}
		return view.WithShares(shares)
	})
}

func (m *moves) tickControllers(now bulrushchute.Millis) {
	view := m.board.Read()
	for _, service := range m.movingServices(view) {
		entry, _ := view.Catalogue.Service(service)
		expiresAt, held := m.leases[shardOf(service)].ExpiresAt()
		controller := m.controllers[service]
		if controller == nil && (!held || entry.Move == nil) {
			continue
		}
		if controller == nil {
			controller = bulrushmove.NewController(service, m.self.ID)
			controller.SetExposureLimit(m.exposure)
			m.controllers[service] = controller
		}
		controller.SetLease(expiresAt)
		controller.SetMove(entry.Move)
		if order := m.orders[service]; entry.Move != nil && order.generation == entry.Move.Generation {
			controller.SetOrderedAt(order.at)
		}
		if share, known := view.Shares.Latest(service); known {
			controller.SetEpochFloor(share.Epoch)
		}
		if entry.Move != nil {
			controller.SetServers(now, countServers(view, service, *entry.Move))
		}
		m.runActions(now, service, controller.Tick(now))
		m.recordProgress(service, controller)
	}
}

// servicesWithMove returns the services with a move that has no outcome yet.
func servicesWithMove(catalogue bulrushcatalogue.Set) []bulrushchute.Service {
	var services []bulrushchute.Service
	for _, service := range catalogue.Services() {
		if entry, _ := catalogue.Service(service); entry.Move != nil && entry.Move.Outcome == "" {
			services = append(services, service)
		}
	}
	return services
}

// movingServices returns the services with a move and those with a controller,
// whose move may have ended or whose catalogue entry may have been deleted.
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

// countServers counts the backend servers of both versions that take work, and
// lists the candidates for a limited share: those of the new version whose data
// centre is not withdrawn.
func countServers(view bulrushboard.View, service bulrushchute.Service, move bulrushcatalogue.Move) bulrushmove.ServerCounts {
	var servers bulrushmove.ServerCounts
	for _, instance := range view.Members(service).Instances {
		if !instance.State.TakesWork() {
			continue
		}
		switch {
		case move.IsOldVersion(instance.Version):
			servers.Old++
		case instance.Version == move.ToVersion:
			servers.New++
			if !view.DataCentres.Weights[instance.DataCentre].Withdrawn {
				servers.Candidates = append(servers.Candidates, instance.ID)
			}
		}
	}
	return servers
}

func (m *moves) runActions(now bulrushchute.Millis, service bulrushchute.Service, actions []bulrushmove.Action) {
	for _, action := range actions {
		if action.Publish != nil {
			m.control.membership.Table().Publish(now, action.Publish.Record())
			continue
		}
		storeCall := *action.Store
		m.tasks.Start(m.context, "move store call", func(ctx context.Context) error {
			return m.runStoreCall(ctx, service, storeCall)
		})
	}
}

// runStoreCall executes a store call for a controller and passes the result to it.
func (m *moves) runStoreCall(ctx context.Context, service bulrushchute.Service, storeCall bulrushmove.StoreCall) error {
	object, err := m.execute(ctx, storeCall)
	if err == nil && storeCall.Operation == bulrushmove.StoreCreate && object.Kind == bulrushchute.KindEvents {
		klog.InfoS("move outcome announced", "event", object.Name, "value", string(object.Value))
	}
	m.control.do(ctx, func(now bulrushchute.Millis) {
		result := bulrushmove.StoreResult{ID: storeCall.ID, Object: object, Err: err}
		m.runActions(now, service, m.controllers[service].HandleStoreResult(now, result))
	})
	var missing *bulrushchute.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	return err
}

func (m *moves) execute(ctx context.Context, storeCall bulrushmove.StoreCall) (bulrushchute.Object, error) {
	switch storeCall.Operation {
	case bulrushmove.StoreCreate:
		return m.store.Create(ctx, storeCall.Object)
	case bulrushmove.StoreUpdate:
		return m.store.Update(ctx, storeCall.Object)
	default:
		return m.store.Get(ctx, storeCall.Object.Kind, storeCall.Object.Name)
	}
}

// runLeases acquires and renews leases of the shards with a move, and releases
// them when the context ends.
func (m *moves) runLeases(ctx context.Context) error {
	var nextRenewalAt [moveShardCount]bulrushchute.Millis
	for ctx.Err() == nil {
		for _, shard := range m.candidateShards(ctx) {
			if now := m.clock.Now(); now >= nextRenewalAt[shard] {
				nextRenewalAt[shard] = now + moveRenewInterval
				m.acquireOrRenew(ctx, shard)
			}
		}
		bulrushtask.Pause(ctx, shardPollInterval.Duration())
	}
	m.releaseLeases()
	return nil
}

func (m *moves) acquireOrRenew(ctx context.Context, shard int) {
	previousEpoch, _ := m.leases[shard].Held()
	if _, err := m.leases[shard].AcquireOrRenew(ctx); err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("move lease not renewed", "shard", shard, "error", err)
	}
	epoch, held := m.leases[shard].Held()
	if !held || epoch == previousEpoch {
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

// releaseLeases releases all held leases, so that other nodes can continue the
// moves immediately.
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

// candidateShards returns the shards with a move for which this node is a
// candidate or whose lease it holds. A holder keeps its lease even if it is no
// longer a candidate: the instances of a new version change the order of
// candidates, and a new holder would start without evidence.
func (m *moves) candidateShards(ctx context.Context) []int {
	movingShards := make(map[int]bool)
	view := m.board.Read()
	for _, service := range servicesWithMove(view.Catalogue) {
		movingShards[shardOf(service)] = true
	}
	var shards []int
	m.control.do(ctx, func(bulrushchute.Millis) {
		for shard := range movingShards {
			_, held := m.leases[shard].Held()
			if held || m.control.isCandidate(shardName(shard), "", maxMoveCandidates) {
				shards = append(shards, shard)
			}
		}
	})
	return shards
}
