package bulrushusage

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
)

var testSettings = Settings{WindowMs: 5000, LateMs: 10000, LeaseMs: 3000}

const (
	testStart  = bulrushchute.Millis(1_767_225_600_000)
	testWindow = Window(testStart / 5000)
)

// fleet delivers the messages of many collectors on a manual clock.
type fleet struct {
	random *rand.Rand
	now    bulrushchute.Millis
	// tick is the interval of ticks. It is longer in large fleets, to save time.
	tick      bulrushchute.Millis
	nodes     map[bulrushchute.InstanceID]*fleetNode
	order     []*fleetNode
	events    map[bulrushchute.Millis][]func()
	loss      float64
	duplicate float64
	delay     bulrushchute.Millis
	// viewDelay is the highest time after which a node learns of a change of members.
	viewDelay bulrushchute.Millis
	holder    *fleetNode
	tenants   []bulrushchute.Tenant
	// truth holds what is counted and not withdrawn, and began all that was counted.
	truth map[Window]Counts
	began map[Window]Counts
	views int
	next  int
	sent  func(from, to bulrushchute.InstanceID, usage bulrushchute.Usage)
}

type fleetNode struct {
	instance  bulrushchute.Instance
	counter   *Counter
	collector *Collector
	skew      bulrushchute.Millis
	dead      bool
	cut       bool
	// view is the number of the members that the node knows.
	view     int
	stopping bool
}

func newFleet(seed uint64, nodes, dataCentres, tenants int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)),
		now:    testStart,
		tick:   50 * bulrushchute.Millisecond,
		nodes:  make(map[bulrushchute.InstanceID]*fleetNode),
		events: make(map[bulrushchute.Millis][]func()),
		truth:  make(map[Window]Counts),
		began:  make(map[Window]Counts),
	}
	if nodes > 100 {
		f.tick = 250 * bulrushchute.Millisecond
	}
	for i := range tenants {
		f.tenants = append(f.tenants, bulrushchute.Tenant(fmt.Sprintf("tenant%04d", i)))
	}
	for i := range nodes {
		f.add(bulrushchute.DataCentre(fmt.Sprintf("dc%d", i%dataCentres)))
	}
	f.spread(true)
	f.setHolder(f.order[0])
	return f
}

func (f *fleet) add(dataCentre bulrushchute.DataCentre) *fleetNode {
	id := bulrushchute.InstanceID(fmt.Sprintf("00000000-0000-4000-8000-%012x", f.next))
	f.next++
	n := &fleetNode{
		instance: bulrushchute.Instance{ID: id, Address: bulrushchute.Address(id), DataCentre: dataCentre, State: bulrushchute.StateReady},
		counter:  NewCounter(testSettings),
	}
	n.collector = NewCollector(testSettings, id, dataCentre, n.counter)
	n.collector.SetTenants(f.tenants)
	f.nodes[id] = n
	f.order = append(f.order, n)
	if f.holder != nil {
		n.collector.SetHolder(f.holder.instance.ID, f.holder.instance.Address, 0)
	}
	return n
}

func (f *fleet) setHolder(n *fleetNode) {
	f.holder = n
	for _, other := range f.order {
		other.collector.SetHolder(n.instance.ID, n.instance.Address, 0)
	}
}

// spread tells the nodes of the members, at different times unless at once.
func (f *fleet) spread(atOnce bool) {
	f.views++
	view := f.views
	var members []bulrushchute.Instance
	for _, n := range f.order {
		members = append(members, n.instance)
	}
	for _, n := range f.order {
		if atOnce || f.viewDelay == 0 {
			n.collector.SetMembers(members)
			continue
		}
		f.after(bulrushchute.Millis(f.random.Int64N(int64(f.viewDelay))), func() {
			if view > n.view {
				n.view = view
				n.collector.SetMembers(members)
			}
		})
	}
}

func (f *fleet) setState(n *fleetNode, state bulrushchute.InstanceState) {
	n.instance.State = state
	f.spread(false)
}

func (f *fleet) after(delay bulrushchute.Millis, event func()) {
	at := f.now + (delay/f.tick+1)*f.tick
	f.events[at] = append(f.events[at], event)
}

// count counts requests at a node.
func (f *fleet) count(n *fleetNode, tenant bulrushchute.Tenant, requests int) {
	for range requests {
		window := n.counter.Began(f.now+n.skew, tenant)
		if f.truth[window] == nil {
			f.truth[window], f.began[window] = Counts{}, Counts{}
		}
		f.truth[window][tenant]++
		f.began[window][tenant]++
	}
}

// load counts requests at random nodes.
func (f *fleet) load(requests int) {
	for range requests {
		n := f.order[f.random.IntN(len(f.order))]
		if !n.dead && !n.stopping {
			f.count(n, f.tenants[f.random.IntN(len(f.tenants))], 1+f.random.IntN(3))
		}
	}
}

// run advances the clock, with the given number of loaded nodes in each tick.
func (f *fleet) run(duration bulrushchute.Millis, requests int) {
	for end := f.now + duration; f.now < end; {
		f.load(requests)
		f.now += f.tick
		for _, event := range f.events[f.now] {
			event()
		}
		delete(f.events, f.now)
		for _, n := range f.order {
			if !n.dead {
				f.send(n, n.collector.Tick(f.now+n.skew))
			}
		}
	}
}

func (f *fleet) send(from *fleetNode, messages []Outgoing) {
	for _, message := range messages {
		to := f.nodes[message.To]
		f.carry(from, to, bulrushchute.Usage{Parts: message.Parts}, func() {
			receipts := to.collector.Receive(f.now+to.skew, from.instance.ID, message.Parts)
			if len(receipts) == 0 {
				return
			}
			f.carry(to, from, bulrushchute.Usage{Receipts: receipts}, func() {
				from.collector.ReceiveReceipts(f.now+from.skew, to.instance.ID, receipts)
			})
		})
	}
}

func (f *fleet) carry(from, to *fleetNode, usage bulrushchute.Usage, arrive func()) {
	if f.sent != nil {
		f.sent(from.instance.ID, to.instance.ID, usage)
	}
	copies := 1
	if f.random.Float64() < f.duplicate {
		copies = 2
	}
	for range copies {
		if from.cut || to.cut || f.random.Float64() < f.loss {
			continue
		}
		f.after(bulrushchute.Millis(f.random.Int64N(int64(f.delay)+1)), func() {
			if !to.dead && !to.cut {
				arrive()
			}
		})
	}
}

// kill ends a node. The others learn of it within about 2 s.
func (f *fleet) kill(n *fleetNode) {
	n.dead = true
	f.after(1000, func() { f.setState(n, bulrushchute.StateSuspect) })
	f.after(2000, func() { f.setState(n, bulrushchute.StateDead) })
}

// cut separates a node from all others for some time.
func (f *fleet) cut(n *fleetNode, duration bulrushchute.Millis) {
	setState := func(state bulrushchute.InstanceState) func() {
		return func() {
			if !n.dead && !n.stopping {
				f.setState(n, state)
			}
		}
	}
	n.cut = true
	f.after(1500, setState(bulrushchute.StateSuspect))
	f.after(duration, func() { n.cut = false })
	f.after(duration+500, setState(bulrushchute.StateReady))
}

// stop ends a node after a planned stop.
func (f *fleet) stop(n *fleetNode) {
	n.stopping = true
	f.setState(n, bulrushchute.StateLeaving)
	f.send(n, n.collector.Stop(f.now+n.skew))
	var end func()
	end = func() {
		if n.collector.Pending() {
			f.after(f.tick, end)
			return
		}
		n.dead = true
		f.setState(n, bulrushchute.StateDead)
	}
	f.after(500, end)
}

// groupCollector returns the collector of the group of a node in all nodes' view.
func (f *fleet) groupCollector(n *fleetNode) *fleetNode {
	t := n.collector.tree
	at := place{bulrushchute.UsageGroup, n.instance.DataCentre, groupOf(n.instance.ID, t.bits)}
	return f.nodes[t.collector(at).id]
}

func (f *fleet) dataCentreCollector(dataCentre bulrushchute.DataCentre) *fleetNode {
	return f.nodes[f.order[0].collector.tree.collector(place{level: bulrushchute.UsageDataCentre, dataCentre: dataCentre}).id]
}

func (f *fleet) assertExact(t *testing.T) {
	t.Helper()
	for window, counts := range f.truth {
		total := f.holder.collector.Total(window)
		assert.DeepEqual(t, total.Counts, counts)
	}
}

// bystander returns a node that is not the holder and does not collect for its own
// group and data centre.
func (f *fleet) bystander() *fleetNode {
	index := slices.IndexFunc(f.order, func(n *fleetNode) bool {
		return n != f.holder && f.groupCollector(n) != n && f.dataCentreCollector(n.instance.DataCentre) != n
	})
	return f.order[index]
}
