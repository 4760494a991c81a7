package bulrushmembership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushspread"
)

// fleet passes messages between state machines, and can lose, delay and double them.
type fleet struct {
	now     bulrushchute.Millis
	random  *rand.Rand
	nodes   []*testNode
	at      map[bulrushchute.Address]*testNode
	queue   deliveries
	order   int
	loss    float64
	double  float64
	delay   bulrushchute.Millis
	cut     func(from, to *testNode) bool
	bytes   int
	maxSent int
}

type testNode struct {
	*Membership
	frozen  bool
	stopped bool
	dead    map[bulrushchute.InstanceID]bool
	sent    int
	waiting []delivery
}

type delivery struct {
	at    bulrushchute.Millis
	order int
	from  bulrushchute.Address
	Action
}

// deliveries is a heap by time and order of sending.
type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || (d[i].at == d[j].at && d[i].order < d[j].order)
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = delivery{}
	*d = (*d)[:last]
	return x
}

const testStart bulrushchute.Millis = 1_700_000_000_000

func newFleet(seed uint64) *fleet {
	return &fleet{
		now:    testStart,
		random: rand.New(rand.NewPCG(seed, 1)),
		at:     map[bulrushchute.Address]*testNode{},
		delay:  5,
	}
}

func testInstance(dataCentre, index int) bulrushchute.Instance {
	return bulrushchute.Instance{
		ID:         bulrushchute.InstanceID(fmt.Sprintf("n%02d-%05d-7f3a91", dataCentre, index)),
		Address:    bulrushchute.Address(fmt.Sprintf("10.%d.%d.%d:7400", dataCentre, index/250, index%250)),
		DataCentre: bulrushchute.DataCentre(fmt.Sprintf("kgl-%02d", dataCentre)),
		Service:    bulrushchute.Service(fmt.Sprintf("service-%04d", index%1900)),
		Version:    "v2026.11.3",
		State:      bulrushchute.StateReady,
		Slots:      10,
		StartedAt:  testStart,
	}
}

// add starts a node. Without seeds it is joined at its first tick.
func (f *fleet) add(instance bulrushchute.Instance, seeds ...bulrushchute.Address) *testNode {
	n := &testNode{dead: map[bulrushchute.InstanceID]bool{}}
	n.Membership = New(f.now, Config{
		Self:   instance,
		Seeds:  seeds,
		Random: rand.New(rand.NewPCG(f.random.Uint64(), 2)),
		OnMember: func(_ bulrushchute.Millis, member bulrushchute.Instance) {
			n.dead[member.ID] = member.State == bulrushchute.StateDead
		},
	})
	f.nodes = append(f.nodes, n)
	f.at[instance.Address] = n
	return n
}

// fill starts joined nodes that all know each other.
func (f *fleet) fill(dataCentres, each int) {
	for dc := range dataCentres {
		for i := range each {
			f.add(testInstance(dc, i))
		}
	}
	for _, n := range f.nodes {
		f.know(n, f.nodes)
	}
}

func (f *fleet) know(n *testNode, others []*testNode) {
	for _, other := range others {
		if other != n {
			record, _ := other.table.Get(memberKey(other.self.ID))
			n.table.Publish(f.now, record)
		}
	}
}

func (f *fleet) addresses() []bulrushchute.Address {
	var addresses []bulrushchute.Address
	for _, n := range f.nodes {
		addresses = append(addresses, n.self.Address)
	}
	return addresses
}

// step advances the time by one tick interval.
func (f *fleet) step() {
	f.now += bulrushspread.TickInterval
	for len(f.queue) > 0 && f.queue[0].at <= f.now {
		f.deliver(heap.Pop(&f.queue).(delivery))
	}
	for _, n := range f.nodes {
		if !n.frozen && !n.stopped {
			f.send(n, f.now, n.Tick(f.now))
		}
	}
}

func (f *fleet) run(span bulrushchute.Millis) {
	for end := f.now + span; f.now < end; {
		f.step()
	}
}

func (f *fleet) deliver(d delivery) {
	to := f.at[d.To]
	if to == nil || to.stopped {
		return
	}
	if to.frozen {
		to.waiting = append(to.waiting, d)
		return
	}
	f.send(to, d.at, to.Receive(d.at, d.from, d.Message))
}

func (f *fleet) send(from *testNode, now bulrushchute.Millis, actions []Action) {
	for _, a := range actions {
		size := bulrushspread.Size(a.Message)
		from.sent += size
		f.bytes += size
		f.maxSent = max(f.maxSent, size)
		f.post(from, now, a)
		if f.random.Float64() < f.double {
			f.post(from, now, a)
		}
	}
}

func (f *fleet) post(from *testNode, now bulrushchute.Millis, a Action) {
	to := f.at[a.To]
	if to == nil || f.random.Float64() < f.loss || (f.cut != nil && f.cut(from, to)) {
		return
	}
	f.order++
	at := now + 1 + bulrushchute.Millis(f.random.Int64N(int64(f.delay)))
	heap.Push(&f.queue, delivery{at: at, order: f.order, from: from.self.Address, Action: a})
}

// resume lets a frozen node read what arrived meanwhile, before its next tick.
func (f *fleet) resume(n *testNode) {
	n.frozen = false
	waiting := n.waiting
	n.waiting = nil
	for _, d := range waiting {
		d.at = f.now
		f.deliver(d)
	}
}

// deaths counts the pairs of a live node and a live member that it holds for dead.
func (f *fleet) deaths() int {
	found := 0
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			if !n.stopped && !other.stopped && n != other && n.dead[other.self.ID] {
				found++
			}
		}
	}
	return found
}

// suspicions counts the pairs of a live node and a live member that it suspects.
func (f *fleet) suspicions() int {
	found := 0
	for _, n := range f.nodes {
		n.Range(func(member bulrushchute.Instance) bool {
			found += count(member.State == bulrushchute.StateSuspect)
			return true
		})
	}
	return found
}

func assertKnown(t testing.TB, f *fleet, want int) {
	t.Helper()
	for _, n := range f.nodes {
		if n.stopped {
			continue
		}
		known := 0
		n.Range(func(bulrushchute.Instance) bool { known++; return true })
		assert.Equal(t, known, want, "node %s", n.self.ID)
	}
}
