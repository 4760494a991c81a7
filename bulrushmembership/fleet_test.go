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

// fleet is a simulated network of Memberships. It can lose, delay and duplicate
// messages.
type fleet struct {
	now             bulrushchute.Millis
	random          *rand.Rand
	nodes           []*testNode
	byAddress       map[bulrushchute.Address]*testNode
	queue           deliveries
	sequence        int
	loss            float64
	duplicate       float64
	maxDelay        bulrushchute.Millis
	blocked         func(from, to *testNode) bool
	totalBytes      int
	maxMessageBytes int
}

type testNode struct {
	*Membership
	frozen       bool
	stopped      bool
	believedDead map[bulrushchute.InstanceID]bool
	sentBytes    int
	backlog      []delivery
}

type delivery struct {
	at       bulrushchute.Millis
	sequence int
	from     bulrushchute.Address
	Action
}

// deliveries is a heap ordered by delivery time, then by sequence.
type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || (d[i].at == d[j].at && d[i].sequence < d[j].sequence)
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
		now:       testStart,
		random:    rand.New(rand.NewPCG(seed, 1)),
		byAddress: map[bulrushchute.Address]*testNode{},
		maxDelay:  5,
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

// add starts a node. Without seeds, it joins at its first tick.
func (f *fleet) add(instance bulrushchute.Instance, seeds ...bulrushchute.Address) *testNode {
	n := &testNode{believedDead: map[bulrushchute.InstanceID]bool{}}
	n.Membership = New(f.now, Config{
		Self:   instance,
		Seeds:  seeds,
		Random: rand.New(rand.NewPCG(f.random.Uint64(), 2)),
		OnMember: func(_ bulrushchute.Millis, member bulrushchute.Instance) {
			n.believedDead[member.ID] = member.State == bulrushchute.StateDead
		},
	})
	f.nodes = append(f.nodes, n)
	f.byAddress[instance.Address] = n
	return n
}

// populate starts the given number of nodes in each data centre. They have no
// seeds and all know each other.
func (f *fleet) populate(dataCentres, each int) {
	for dc := range dataCentres {
		for i := range each {
			f.add(testInstance(dc, i))
		}
	}
	for _, n := range f.nodes {
		f.addMembers(n, f.nodes)
	}
}

// addMembers publishes the records of other nodes on n.
func (f *fleet) addMembers(n *testNode, others []*testNode) {
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

// step advances the time by one tick interval and runs all nodes.
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
	to := f.byAddress[d.To]
	if to == nil || to.stopped {
		return
	}
	if to.frozen {
		to.backlog = append(to.backlog, d)
		return
	}
	f.send(to, d.at, to.Receive(d.at, d.from, d.Message))
}

func (f *fleet) send(from *testNode, now bulrushchute.Millis, actions []Action) {
	for _, a := range actions {
		size := bulrushspread.Size(a.Message)
		from.sentBytes += size
		f.totalBytes += size
		f.maxMessageBytes = max(f.maxMessageBytes, size)
		f.transmit(from, now, a)
		if f.random.Float64() < f.duplicate {
			f.transmit(from, now, a)
		}
	}
}

func (f *fleet) transmit(from *testNode, now bulrushchute.Millis, a Action) {
	to := f.byAddress[a.To]
	if to == nil || f.random.Float64() < f.loss || (f.blocked != nil && f.blocked(from, to)) {
		return
	}
	f.sequence++
	at := now + 1 + bulrushchute.Millis(f.random.Int64N(int64(f.maxDelay)))
	heap.Push(&f.queue, delivery{at: at, sequence: f.sequence, from: from.self.Address, Action: a})
}

// resume unfreezes a node and delivers its backlog before its next tick.
func (f *fleet) resume(n *testNode) {
	n.frozen = false
	backlog := n.backlog
	n.backlog = nil
	for _, d := range backlog {
		d.at = f.now
		f.deliver(d)
	}
}

// falseDeaths counts the pairs of a running node and a running member that the
// node considers dead.
func (f *fleet) falseDeaths() int {
	found := 0
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			if !n.stopped && !other.stopped && n != other && n.believedDead[other.self.ID] {
				found++
			}
		}
	}
	return found
}

// suspicions counts the pairs of a node and a member that the node suspects.
func (f *fleet) suspicions() int {
	found := 0
	for _, n := range f.nodes {
		n.Range(func(member bulrushchute.Instance) bool {
			found += boolToInt(member.State == bulrushchute.StateSuspect)
			return true
		})
	}
	return found
}

// assertMemberCount checks that each running node knows want members, itself
// included.
func assertMemberCount(t testing.TB, f *fleet, want int) {
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
