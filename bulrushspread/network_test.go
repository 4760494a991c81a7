package bulrushspread

import (
	"fmt"
	"math/rand/v2"

	"bulrushchute.example/bulrushchute"
)

// network is a simulated network of Tables. It can lose, duplicate and reorder
// messages.
type network struct {
	now       bulrushchute.Millis
	random    *rand.Rand
	tables    []*Table
	queue     []queuedMessage
	loss      float64
	duplicate float64
	down      map[int]bool
	onChange  func(node int, record bulrushchute.Record)
}

type queuedMessage struct {
	at     bulrushchute.Millis
	from   int
	action Action
}

const testStart bulrushchute.Millis = 1_700_000_000_000

func testAddress(i int) bulrushchute.Address {
	return bulrushchute.Address(fmt.Sprintf("10.0.0.%d:7400", i))
}

// newNetwork connects each node to the next two in both directions of a ring.
func newNetwork(seed uint64, count int) *network {
	n := &network{now: testStart, random: rand.New(rand.NewPCG(seed, 3)), down: map[int]bool{}}
	for i := range count {
		n.tables = append(n.tables, New(n.now, Config{
			Self:       bulrushchute.InstanceID(fmt.Sprintf("n%d", i)),
			DataCentre: "kgl-1",
			Random:     rand.New(rand.NewPCG(seed, uint64(i))),
			OnChange: func(_ bulrushchute.Millis, record bulrushchute.Record) {
				if n.onChange != nil {
					n.onChange(i, record)
				}
			},
		}))
	}
	for i, t := range n.tables {
		seen := map[int]bool{i: true}
		var neighbours []Neighbour
		for _, step := range []int{1, 2, count - 1, count - 2} {
			if j := (i + step) % count; !seen[j] {
				seen[j] = true
				neighbours = append(neighbours, Neighbour{Address: testAddress(j)})
			}
		}
		t.SetNeighbours(neighbours)
	}
	return n
}

func (n *network) transmit(from int, actions []Action) {
	for _, a := range actions {
		copies := 1
		if n.random.Float64() < n.duplicate {
			copies++
		}
		for range copies {
			if n.random.Float64() >= n.loss {
				at := n.now + 1 + bulrushchute.Millis(n.random.IntN(80))
				n.queue = append(n.queue, queuedMessage{at: at, from: from, action: a})
			}
		}
	}
}

func (n *network) step() {
	n.now += TickInterval
	due := n.queue
	n.queue = nil
	for _, message := range due {
		if message.at > n.now {
			n.queue = append(n.queue, message)
			continue
		}
		for i, t := range n.tables {
			if testAddress(i) == message.action.To && !n.down[i] {
				n.transmit(i, t.Receive(n.now, testAddress(message.from), message.action.Message))
			}
		}
	}
	for i, t := range n.tables {
		if !n.down[i] {
			n.transmit(i, t.Tick(n.now))
		}
	}
}

func (n *network) run(span bulrushchute.Millis) {
	for end := n.now + span; n.now < end; {
		n.step()
	}
}

// runUntilConverged runs the network until all tables have the same digest, at
// most for the given span.
func (n *network) runUntilConverged(span bulrushchute.Millis) {
	for end := n.now + span; n.now < end; {
		n.run(bulrushchute.Second)
		equal := true
		for _, t := range n.tables {
			equal = equal && t.allHashes == n.tables[0].allHashes
		}
		if equal {
			return
		}
	}
}

func catalogueRecord(name string, version uint64, bytes int) bulrushchute.Record {
	return bulrushchute.Record{
		Key:     bulrushchute.RecordKey{Topic: bulrushchute.TopicCatalogue, Name: name},
		Version: bulrushchute.RecordVersion{Counter: version},
		Value:   make([]byte, bytes),
	}
}

func memberRecord(i int, version uint64) bulrushchute.Record {
	return bulrushchute.Record{
		Key:     bulrushchute.RecordKey{Topic: bulrushchute.TopicMember, Name: fmt.Sprintf("n%02d-%05d-7f3a91", i%26, i)},
		Version: bulrushchute.RecordVersion{Epoch: 1, Counter: version},
		Value:   make([]byte, 80),
	}
}
