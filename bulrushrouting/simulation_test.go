package bulrushrouting

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// The simulation consists of servers, each with slots and a queue, and of entry
// nodes, each with a Balancer. One server reports at all times that it is idle.
// simOneWayMs is the network delay in one direction, and simUtilization the
// share of the slots that the arrivals keep busy without simSlowFactor.
const (
	simServers     = 6
	simEntryNodes  = 4
	simSlots       = 10
	simQueueLimit  = 20
	simServiceMs   = 5.0
	simOneWayMs    = 0.25
	simUtilization = 0.5
	simDurationMs  = 4000.0
	// simSpeedChangeMs is the mean time between changes of a server's speed.
	simSpeedChangeMs = 40.0
	// simSlowFactor slows the first server down in the second half.
	simSlowFactor = 10.0
)

type simServer struct {
	busy  int
	queue []func()
	// slowdown is a factor of the service time, and slow applies simSlowFactor as
	// well. underreports replaces the reported load by that of an idle server.
	slowdown     float64
	slow         bool
	underreports bool
	// serviceMs is the moving average of the service time, which is reported.
	serviceMs float64
}

type simEvent struct {
	atMs float64
	seq  int
	run  func()
}

type eventQueue []simEvent

func (eq eventQueue) Len() int { return len(eq) }
func (eq eventQueue) Less(i, j int) bool {
	return eq[i].atMs < eq[j].atMs || eq[i].atMs == eq[j].atMs && eq[i].seq < eq[j].seq
}
func (eq eventQueue) Swap(i, j int) { eq[i], eq[j] = eq[j], eq[i] }
func (eq *eventQueue) Push(e any)   { *eq = append(*eq, e.(simEvent)) }
func (eq *eventQueue) Pop() any {
	last := (*eq)[len(*eq)-1]
	*eq = (*eq)[:len(*eq)-1]
	return last
}

type simulation struct {
	random      *rand.Rand
	events      eventQueue
	seq         int
	nowMs       float64
	servers     []*simServer
	balancers   []Balancer
	latenciesMs []float64
	failed      int
}

func newSimulation(seed uint64, newBalancer func(entry int, random *rand.Rand) Balancer) *simulation {
	sm := &simulation{random: rand.New(rand.NewPCG(seed, 1))}
	var members []bulrushchute.Instance
	for i := range simServers {
		sm.servers = append(sm.servers, &simServer{slowdown: 1, underreports: i == 1, serviceMs: simServiceMs})
		members = append(members, bulrushchute.Instance{ID: serverID(i), DataCentre: "dc", Slots: simSlots, State: bulrushchute.StateReady})
		sm.schedule(sm.random.Float64()*simSpeedChangeMs, func() { sm.changeSpeed(i) })
	}
	for entry := range simEntryNodes {
		balancer := newBalancer(entry, rand.New(rand.NewPCG(seed, uint64(entry)+2)))
		balancer.Update(0, members, nil)
		sm.balancers = append(sm.balancers, balancer)
	}
	sm.schedule(simDurationMs/2, func() { sm.servers[0].slow = true })
	sm.schedule(0, sm.arrive)
	return sm
}

func serverID(server int) bulrushchute.InstanceID {
	return bulrushchute.InstanceID(fmt.Sprint("server-", server))
}

func (sm *simulation) schedule(ms float64, run func()) {
	sm.seq++
	heap.Push(&sm.events, simEvent{atMs: sm.nowMs + ms, seq: sm.seq, run: run})
}

func (sm *simulation) run() {
	for len(sm.events) > 0 {
		event := heap.Pop(&sm.events).(simEvent)
		sm.nowMs = event.atMs
		event.run()
	}
	slices.Sort(sm.latenciesMs)
}

func (sm *simulation) millis() bulrushchute.Millis { return bulrushchute.Millis(sm.nowMs) }

// changeSpeed draws a server's next slowdown: none in four of six draws, else
// a factor of 2 or 5.
func (sm *simulation) changeSpeed(server int) {
	sm.servers[server].slowdown = []float64{1, 1, 1, 1, 2, 5}[sm.random.IntN(6)]
	if sm.nowMs < simDurationMs {
		sm.schedule(sm.random.ExpFloat64()*simSpeedChangeMs, func() { sm.changeSpeed(server) })
	}
}

func (sm *simulation) arrive() {
	// 11/6 is the mean slowdown that changeSpeed draws.
	arrivalsPerMs := simUtilization * simServers * simSlots / (simServiceMs * 11 / 6)
	if sm.nowMs < simDurationMs {
		sm.schedule(sm.random.ExpFloat64()/arrivalsPerMs, sm.arrive)
	}
	sm.sendAttempt(sm.random.IntN(simEntryNodes), sm.nowMs, nil)
}

// sendAttempt sends an attempt. After a refusal it tries another server, with
// at most three attempts for each request.
func (sm *simulation) sendAttempt(entry int, arrivedAtMs float64, tried []bulrushchute.InstanceID) {
	balancer := sm.balancers[entry]
	picked, ok := balancer.Pick(sm.millis(), bulrushchute.PickQuery{Exclude: tried})
	if !ok || len(tried) == 3 {
		sm.failed++
		return
	}
	balancer.Started(sm.millis(), picked.ID)
	server := sm.servers[slices.IndexFunc(sm.servers, func(s *simServer) bool { return serverID(slices.Index(sm.servers, s)) == picked.ID })]
	sentAtMs := sm.nowMs
	finish := func(result bulrushchute.ResultKind, load bulrushchute.Load) {
		balancer.Observe(sm.millis(), bulrushchute.Observation{Instance: picked.ID, ElapsedMs: sm.nowMs - sentAtMs, Load: &load, Result: result})
		if result == bulrushchute.ResultNotRun {
			sm.sendAttempt(entry, arrivedAtMs, append(tried, picked.ID))
			return
		}
		sm.latenciesMs = append(sm.latenciesMs, sm.nowMs-arrivedAtMs)
	}
	sm.schedule(simOneWayMs, func() { sm.enqueue(server, finish) })
}

func (sm *simulation) enqueue(s *simServer, finish func(bulrushchute.ResultKind, bulrushchute.Load)) {
	if s.busy >= simSlots && len(s.queue) >= simQueueLimit {
		load := s.load()
		sm.schedule(simOneWayMs, func() { finish(bulrushchute.ResultNotRun, load) })
		return
	}
	s.queue = append(s.queue, func() { sm.serve(s, finish) })
	sm.startQueued(s)
}

func (sm *simulation) startQueued(s *simServer) {
	for s.busy < simSlots && len(s.queue) > 0 {
		serve := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		serve()
	}
}

func (sm *simulation) serve(s *simServer, finish func(bulrushchute.ResultKind, bulrushchute.Load)) {
	// The random factor is log-normal with a mean of 1.
	ms := simServiceMs * s.slowdown * math.Exp(0.5*sm.random.NormFloat64()-0.125)
	if s.slow {
		ms *= simSlowFactor
	}
	sm.schedule(ms, func() {
		s.busy--
		s.serviceMs += 0.1 * (ms - s.serviceMs)
		load := s.load()
		sm.schedule(simOneWayMs, func() { finish(bulrushchute.ResultAnswered, load) })
		sm.startQueued(s)
	})
}

func (s *simServer) load() bulrushchute.Load {
	load := bulrushchute.Load{InFlight: s.busy, Queued: len(s.queue), Limit: simSlots, ServiceMs: s.serviceMs}
	if s.underreports {
		load.InFlight, load.Queued, load.ServiceMs = 0, 0, 1
	}
	return load
}

func (sm *simulation) quantile(q float64) float64 {
	return sm.latenciesMs[min(int(q*float64(len(sm.latenciesMs))), len(sm.latenciesMs)-1)]
}
