package bulrushkey_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushkey"
)

// simSettings has short durations, so that a run of a few simulated seconds
// covers several leases, takeovers and retention periods.
var simSettings = bulrushkey.Settings{
	Lease: 300, ClockSkew: 40, Heartbeat: 100, ProposeStep: 60, Retention: 3_000, MaxKeys: 500, MaxBytes: 1 << 18,
}

const (
	simService      = bulrushchute.Service("ledger")
	simStart        = bulrushchute.Millis(1_700_000_000_000)
	simTick         = bulrushchute.Millis(20)
	simStoreTimeout = bulrushchute.Millis(120)
	storeAddress    = bulrushchute.InstanceID("store")
	// simMemberCount is the number of members at the start, and simMonitorCount
	// that of nodes that are only lease monitors.
	simMemberCount  = 4
	simMonitorCount = 3
	// Crashed nodes are replaced until the simulation has simMaxMembers +
	// simMonitorCount nodes, crashed ones included.
	simMaxMembers = 8
)

// simNode is one simulated node with its protocol state, clock and faults.
type simNode struct {
	id          bulrushchute.InstanceID
	dataCentre  bulrushchute.DataCentre
	clockOffset bulrushchute.Millis
	frozen      bool
	// freezeOnAck freezes the node before it processes its next acknowledgement.
	freezeOnAck  bool
	crashed      bool
	disconnected bool
	leaving      bool
	neighbours   []bulrushkey.LeaseMonitor
	// inbox holds the events that arrive while the node is frozen.
	inbox []func()
	// dead and lost are the node's view of the others, which may be wrong.
	dead       map[bulrushchute.InstanceID]bool
	lost       []bulrushchute.DataCentre
	controller *bulrushkey.Controller
	monitor    *bulrushkey.Monitor
	table      *bulrushkey.Table
}

// simEvent is an event at a node, or one outside the nodes if node is nil.
type simEvent struct {
	at bulrushchute.Millis
	// order makes events of the same time run in the order of their creation.
	order int
	node  *simNode
	run   func()
}

// simStats counts the situations that a simulation covered, so that the test can
// check that each of them occurred.
type simStats struct {
	runs, answered, waited, tooOld, notRun, reassigned, refusedRuns int
}

// sim simulates several nodes, their store and their network with random faults,
// and checks each execution and each "not run".
type sim struct {
	t      *rapid.T
	random *rand.Rand
	now    bulrushchute.Millis
	nodes  []*simNode
	events eventQueue
	// eventCount is the number of events created so far.
	eventCount int
	// stored is the object in the store. All its versions are in maps.
	stored    bulrushchute.Object
	storeDown bool
	// faultsOff disables the random faults of nodes, network and store.
	faultsOff bool
	maps      []bulrushkey.KeyMap
	// lost is the data centre that operators declare lost, if any.
	lost bulrushchute.DataCentre

	keys       []bulrushkey.Key
	executedBy map[bulrushkey.Key]bulrushchute.AttemptID
	keyOf      map[bulrushchute.AttemptID]bulrushkey.Key
	// refused holds the attempts that were answered as not run.
	refused      map[bulrushchute.AttemptID]bool
	attemptCount uint64
	stats        simStats
}

func newSim(t *rapid.T) *sim {
	s := &sim{
		t:          t,
		random:     rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		now:        simStart,
		executedBy: make(map[bulrushkey.Key]bulrushchute.AttemptID),
		keyOf:      make(map[bulrushchute.AttemptID]bulrushkey.Key),
		refused:    make(map[bulrushchute.AttemptID]bool),
	}
	for i := range simMemberCount + simMonitorCount {
		s.addNode(i < simMemberCount)
	}
	for _, n := range s.nodes {
		n.neighbours = s.drawNeighbours(n)
	}
	return s
}

func (s *sim) addNode(member bool) *simNode {
	n := &simNode{
		id:          bulrushchute.InstanceID(fmt.Sprintf("n%d", len(s.nodes))),
		dataCentre:  s.nextDataCentre(),
		clockOffset: s.drawClockOffset(),
		dead:        make(map[bulrushchute.InstanceID]bool),
		monitor:     bulrushkey.NewMonitor(simSettings),
	}
	s.nodes = append(s.nodes, n)
	if member {
		n.controller = bulrushkey.NewController(simSettings, simService, n.id, s.random)
		n.table = bulrushkey.NewTable(simSettings)
		s.after(n, 0, func() { s.tick(n) })
	}
	return n
}

// nextDataCentre returns the data centre of the next node. It skips the lost one,
// because operators guarantee that it stays off.
func (s *sim) nextDataCentre() bulrushchute.DataCentre {
	for i := len(s.nodes); ; i++ {
		if next := bulrushchute.DataCentre(fmt.Sprintf("d%d", i%3)); next != s.lost {
			return next
		}
	}
}

// drawClockOffset returns a random clock offset. The offsets of any two nodes
// differ by at most the clock skew.
func (s *sim) drawClockOffset() bulrushchute.Millis {
	return s.randomUpTo(simSettings.ClockSkew) - simSettings.ClockSkew/2
}

func (s *sim) randomUpTo(limit bulrushchute.Millis) bulrushchute.Millis {
	return bulrushchute.Millis(s.random.Int64N(int64(limit) + 1))
}

func (s *sim) chance(percent int) bool {
	return s.random.IntN(100) < percent
}

// fault reports whether a random fault occurs.
func (s *sim) fault(percent int) bool {
	return !s.faultsOff && s.chance(percent)
}

func (s *sim) drawNeighbours(n *simNode) []bulrushkey.LeaseMonitor {
	var neighbours []bulrushkey.LeaseMonitor
	for _, i := range s.random.Perm(len(s.nodes)) {
		other := s.nodes[i]
		if other != n && !other.crashed && len(neighbours) < 3 {
			neighbours = append(neighbours, bulrushkey.LeaseMonitor{ID: other.id, DataCentre: other.dataCentre})
		}
	}
	return neighbours
}

func (s *sim) clock(n *simNode) bulrushchute.Millis {
	return s.now + n.clockOffset
}

func (s *sim) after(n *simNode, delay bulrushchute.Millis, run func()) {
	s.eventCount++
	heap.Push(&s.events, simEvent{at: s.now + delay, order: s.eventCount, node: n, run: run})
}

// delay returns a random delay. Most are short, but some exceed a lease and the
// wait of a successor.
func (s *sim) delay() bulrushchute.Millis {
	if s.fault(5) {
		return s.randomUpTo(4 * simSettings.Lease)
	}
	return s.randomUpTo(10)
}

// send delivers a message between nodes. It may lose, delay or duplicate it.
func (s *sim) send(from *simNode, to bulrushchute.InstanceID, deliver func(n *simNode)) {
	for _, n := range s.nodes {
		if n.id != to || n.disconnected || from.disconnected || s.fault(4) {
			continue
		}
		s.after(n, s.delay(), func() { deliver(n) })
		if s.fault(4) {
			s.after(n, s.delay(), func() { deliver(n) })
		}
	}
}

// advance moves the time forward by span and runs the events that become due, in
// order.
func (s *sim) advance(span bulrushchute.Millis) {
	end := s.now + span
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = max(s.now, e.at)
		s.deliver(e)
	}
	s.now = end
}

// eventQueue implements heap.Interface.
type eventQueue []simEvent

func (eq eventQueue) Len() int      { return len(eq) }
func (eq eventQueue) Swap(i, j int) { eq[i], eq[j] = eq[j], eq[i] }
func (eq eventQueue) Less(i, j int) bool {
	return eq[i].at < eq[j].at || eq[i].at == eq[j].at && eq[i].order < eq[j].order
}
func (eq *eventQueue) Push(e any) { *eq = append(*eq, e.(simEvent)) }
func (eq *eventQueue) Pop() any {
	last := (*eq)[len(*eq)-1]
	*eq = (*eq)[:len(*eq)-1]
	return last
}

// deliver runs an event unless its node has crashed. A node may freeze before any
// event; events at a frozen node are queued until it resumes.
func (s *sim) deliver(e simEvent) {
	switch {
	case e.node == nil:
		e.run()
	case e.node.crashed:
	case e.node.frozen:
		e.node.inbox = append(e.node.inbox, e.run)
	case !s.faultsOff && s.random.IntN(2000) == 0:
		s.freeze(e.node)
		e.node.inbox = append(e.node.inbox, e.run)
	default:
		e.run()
	}
}

// freeze suspends a node for a random time of up to five leases.
func (s *sim) freeze(n *simNode) {
	n.frozen = true
	s.after(nil, s.randomUpTo(5*simSettings.Lease), func() { s.resume(n) })
}

// resume schedules the queued events of a frozen node, sometimes shuffled.
func (s *sim) resume(n *simNode) {
	inbox := n.inbox
	n.inbox, n.frozen = nil, false
	if s.chance(30) {
		s.random.Shuffle(len(inbox), func(i, j int) { inbox[i], inbox[j] = inbox[j], inbox[i] })
	}
	for _, run := range inbox {
		s.after(n, 0, run)
	}
	if n.controller != nil && len(s.maps) > 0 {
		s.submitAfterResume(n)
	}
}

func (s *sim) membersSeenBy(n *simNode) []bulrushkey.Member {
	var members []bulrushkey.Member
	for _, other := range s.nodes {
		state := bulrushchute.StateReady
		if other.leaving {
			state = bulrushchute.StateLeaving
		}
		if n.dead[other.id] {
			state = bulrushchute.StateDead
		}
		if other.controller != nil {
			members = append(members, bulrushkey.Member{
				ID: other.id, DataCentre: other.dataCentre, State: state, Neighbours: other.neighbours,
			})
		}
	}
	return members
}

// tick reads the clock, decides and acts in separate events, so that the node can
// freeze between any two of them.
func (s *sim) tick(n *simNode) {
	now := s.clock(n)
	s.after(n, 0, func() {
		n.controller.SetMembers(now, s.membersSeenBy(n), n.lost)
		s.release(n.table.Tick(now)...)
		for _, action := range n.controller.Tick(now) {
			s.after(n, 0, func() { s.perform(n, action) })
		}
		s.after(n, simTick, func() { s.tick(n) })
	})
}

func (s *sim) perform(n *simNode, action bulrushkey.Action) {
	switch {
	case action.Heartbeat != nil:
		s.send(n, action.To, func(monitor *simNode) {
			ack := monitor.monitor.HandleHeartbeat(s.clock(monitor), n.id, *action.Heartbeat)
			s.send(monitor, n.id, func(n *simNode) { s.handleAck(n, monitor.id, ack) })
		})
	case action.PromiseAsk != nil:
		s.send(n, action.To, func(monitor *simNode) {
			ask := *action.PromiseAsk
			promise := monitor.monitor.HandlePromiseAsk(s.clock(monitor), ask, monitor.dead[ask.Home])
			s.send(monitor, n.id, func(n *simNode) { n.controller.HandlePromise(s.clock(n), monitor.id, promise) })
		})
	case action.Read:
		s.callStore(n, s.read, n.controller.HandleReadResult)
	default:
		write := *action.Write
		s.callStore(n, func() (bulrushchute.Object, error) { return s.write(write) }, n.controller.HandleWriteResult)
	}
}

func (s *sim) handleAck(n *simNode, from bulrushchute.InstanceID, ack bulrushchute.HeartbeatAck) {
	handle := func() { n.controller.HandleHeartbeatAck(s.clock(n), from, ack) }
	if !n.freezeOnAck {
		handle()
		return
	}
	n.freezeOnAck = false
	s.freeze(n)
	n.inbox = append(n.inbox, handle)
}

// callStore calls the store. The call may be late or lost, and so may its answer.
// The node receives the answer, or an ambiguous error after its timeout.
func (s *sim) callStore(n *simNode, call func() (bulrushchute.Object, error), done func(bulrushchute.Millis, bulrushchute.Object, error)) {
	answered := false
	answer := func(object bulrushchute.Object, err error) {
		if !answered {
			answered = true
			done(s.clock(n), object, err)
		}
	}
	s.after(n, simStoreTimeout, func() {
		answer(bulrushchute.Object{}, &bulrushchute.AmbiguousError{Operation: "call", Cause: errors.New("timeout")})
	})
	if s.fault(5) {
		return
	}
	s.after(nil, s.delay(), func() {
		object, err := call()
		if !s.fault(10) {
			s.after(n, s.delay(), func() { answer(object, err) })
		}
	})
}

func (s *sim) read() (bulrushchute.Object, error) {
	switch {
	case s.storeDown:
		return s.stored, &bulrushchute.UnavailableError{Operation: "get", Cause: errors.New("down")}
	case s.stored.Version == 0:
		return s.stored, &bulrushchute.NotFoundError{Kind: bulrushchute.KindKeyMaps, Name: string(simService)}
	}
	return s.stored, nil
}

func (s *sim) write(write bulrushkey.Write) (bulrushchute.Object, error) {
	object := write.Object
	switch {
	case s.storeDown:
		return object, &bulrushchute.UnavailableError{Operation: "update", Cause: errors.New("down")}
	case write.Create && s.stored.Version != 0:
		return object, &bulrushchute.ExistsError{Kind: object.Kind, Name: object.Name}
	case !write.Create && object.Version != s.stored.Version:
		return object, &bulrushchute.ConflictError{Kind: object.Kind, Name: object.Name, Version: object.Version}
	}
	object.Version = s.stored.Version + 1 + uint64(s.random.IntN(3))
	s.stored = object
	m, err := bulrushkey.ParseMap(object)
	assert.NilError(s.t, err)
	s.checkReassignment(m)
	s.maps = append(s.maps, m)
	for _, n := range s.nodes {
		if n.controller != nil {
			delay := s.delay()
			if s.chance(50) {
				delay = s.randomUpTo(1_500)
			}
			s.after(n, delay, func() { n.controller.SetMap(s.clock(n), m) })
		}
	}
	return object, nil
}

// checkReassignment asserts that the epoch and the first mint time of a partition
// increase with each new home.
func (s *sim) checkReassignment(m bulrushkey.KeyMap) {
	if len(s.maps) == 0 {
		return
	}
	previous := s.maps[len(s.maps)-1]
	for p := range m.Partitions {
		oldHome, old, _ := previous.HomeOf(p)
		newHome, assignment, _ := m.HomeOf(p)
		if oldHome.ID == newHome.ID {
			continue
		}
		s.stats.reassigned++
		s.submitToBothHomes(previous, m, p, 2*simSettings.Lease)
		assert.Assert(s.t, assignment.Epoch == old.Epoch+1 && assignment.Since > old.Since, "partition %d", p)
	}
}

// submit sends a request through an entry node that has the given map.
func (s *sim) submit(key bulrushkey.Key, m bulrushkey.KeyMap) {
	home, _ := m.InstanceFor(key)
	if s.chance(20) {
		// An entry node may also send to a home that does not handle the key.
		assigned, _, _ := m.HomeOf(key.Partition())
		home = assigned.ID
	}
	s.attemptCount++
	var attempt bulrushchute.AttemptID
	copy(attempt[:], fmt.Sprint(s.attemptCount))
	s.keyOf[attempt] = key
	request := bulrushkey.Request{Key: key, Attempt: attempt, Fingerprint: 7}
	for _, n := range s.nodes {
		if n.id == home && !s.chance(3) {
			s.after(n, s.delay(), func() { s.receive(n, request) })
		}
	}
}

// receive reads the clock, gets a permit and decides in separate events, so that
// a freeze or a tick can occur between any two of them.
func (s *sim) receive(n *simNode, request bulrushkey.Request) {
	now := s.clock(n)
	s.after(n, 0, func() {
		permit := n.controller.Permit(now, request.Key.Partition())
		s.after(n, 0, func() { s.decide(n, now, permit, request) })
	})
}

func (s *sim) decide(n *simNode, now bulrushchute.Millis, permit bulrushkey.Permit, request bulrushkey.Request) {
	decision := n.table.Begin(now, request, permit)
	switch decision.Kind {
	case bulrushkey.DecisionRun:
		s.after(n, s.delay(), func() { s.execute(n, request) })
	case bulrushkey.DecisionWait:
		s.stats.waited++
	default:
		s.reply(request.Attempt, decision.Reply)
	}
}

// execute runs the request, or refuses it like admission. It asserts that the key
// has not run before and that this request was not answered as not run.
func (s *sim) execute(n *simNode, request bulrushkey.Request) {
	assert.Assert(s.t, !s.refused[request.Attempt], "key %s runs for a request answered as not run", request.Key)
	reply := bulrushchute.Reply{Refusal: &bulrushchute.Refusal{Reason: bulrushchute.ReasonBusy}}
	if s.chance(85) {
		_, ran := s.executedBy[request.Key]
		assert.Assert(s.t, !ran, "key %s (mint %d) runs twice, now at %s", request.Key, request.Key.MintTime()-simStart, n.id)
		s.executedBy[request.Key] = request.Attempt
		s.stats.runs++
		reply = bulrushchute.Reply{Answer: &bulrushchute.Answer{Status: 200, Body: []byte(request.Key.String())}}
		if s.chance(10) {
			reply = bulrushchute.Reply{Failure: &bulrushchute.Failure{Reason: bulrushchute.ReasonConnectionLost}}
		}
	} else {
		s.stats.refusedRuns++
	}
	s.after(n, s.delay(), func() {
		s.reply(request.Attempt, reply)
		s.release(n.table.Complete(s.clock(n), request.Key, reply))
	})
}

func (s *sim) release(releases ...bulrushkey.Release) {
	for _, release := range releases {
		for _, attempt := range release.Attempts {
			s.reply(attempt, release.Reply)
		}
	}
}

// reply asserts that a refused request did not run and that an answer belongs to
// the request's key.
func (s *sim) reply(attempt bulrushchute.AttemptID, reply bulrushchute.Reply) {
	key := s.keyOf[attempt]
	switch {
	case reply.Refusal != nil:
		assert.Assert(s.t, s.executedBy[key] != attempt, "request that ran is answered as not run")
		s.refused[attempt] = true
		s.stats.notRun++
	case reply.Answer != nil:
		assert.Equal(s.t, string(reply.Answer.Body), key.String())
		s.stats.answered++
	case reply.Failure.Reason == bulrushchute.ReasonKeyTooOld:
		s.stats.tooOld++
	}
}
