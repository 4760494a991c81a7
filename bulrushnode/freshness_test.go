package bulrushnode

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// inForceWithin is the time in which an acknowledged change has to be in force on
// the users' platform.
const inForceWithin = 2 * time.Second

// outageStore is a store that one node cannot reach while down is set.
type outageStore struct {
	*bulrushstore.Memory
	down atomic.Bool
}

func (s *outageStore) List(ctx context.Context, kind bulrushchute.Kind) ([]bulrushchute.Object, uint64, error) {
	if s.down.Load() {
		return nil, 0, &bulrushchute.UnavailableError{Operation: "list", Cause: net.ErrClosed}
	}
	return s.Memory.List(ctx, kind)
}

func (s *outageStore) Watch(ctx context.Context, kind bulrushchute.Kind, revision uint64, handle func(bulrushchute.StoreEvent)) error {
	if s.down.Load() {
		return &bulrushchute.UnavailableError{Operation: "watch", Cause: net.ErrClosed}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && !s.down.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
	}()
	return s.Memory.Watch(ctx, kind, revision, handle)
}

// lossyTransport loses the control messages for which lose returns true.
type lossyTransport struct {
	bulrushchute.Transport
	lose func(to bulrushchute.Address, message bulrushchute.Control) bool
}

func (lt *lossyTransport) Send(to bulrushchute.Address, message bulrushchute.Control) {
	if !lt.lose(to, message) {
		lt.Transport.Send(to, message)
	}
}

func carriesCatalogue(message bulrushchute.Control) bool {
	switch {
	case message.Have != nil:
		return slices.ContainsFunc(message.Have.Versions, func(v bulrushchute.VersionedKey) bool { return v.Key.Topic == bulrushchute.TopicCatalogue })
	case message.Records != nil:
		return slices.ContainsFunc(message.Records.Records, func(r bulrushchute.Record) bool { return r.Key.Topic == bulrushchute.TopicCatalogue })
	}
	return false
}

// routingFleet is a number of nodes of one data centre that serve by a routing
// table, in the order in which they are chosen to read the store.
type routingFleet struct {
	memory *bulrushstore.Memory
	nodes  []runningNode
	stores []*outageStore
	stop   context.CancelFunc
}

// newRoutingFleet starts a fleet.
func newRoutingFleet(t *testing.T, count int) *routingFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &routingFleet{memory: bulrushstore.NewMemory(), stop: cancel}
	_, err := f.memory.Create(t.Context(), routingOf(t, 1))
	assert.NilError(t, err)
	for range count {
		store := &outageStore{Memory: f.memory}
		node := NewWithOptions(nodeSettings(t), store, bulrushchute.WallClock{}, Options{Kinds: []bulrushchute.Kind{bulrushchute.KindRouting}})
		f.nodes = append(f.nodes, runningNode{node, cancel, make(chan error, 1)})
	}
	slices.SortFunc(f.nodes, func(a, b runningNode) int {
		return cmp.Compare(rankHash("reader-ub-1", a.id), rankHash("reader-ub-1", b.id))
	})
	for _, node := range f.nodes {
		f.stores = append(f.stores, node.store.(*outageStore))
		go func() { node.done <- node.Run(ctx) }()
	}
	return f
}

func (f *routingFleet) close(t *testing.T) {
	f.stop()
	for _, node := range f.nodes {
		assert.Check(t, <-node.done == nil, "the node ended with an error")
	}
}

// awaitReaders waits until all nodes have joined, and the first two read the store.
func (f *routingFleet) awaitReaders(t *testing.T) {
	for _, node := range f.nodes {
		for _, other := range f.nodes {
			node.waitForMember(t, other.id)
		}
	}
	time.Sleep(settleDuration.Duration() + rankInterval)
}

// writeRouting writes a version of the routing table.
func (f *routingFleet) writeRouting(t *testing.T, version int) {
	f.write(t, routingOf(t, version))
}

func (r runningNode) assertInForce(t *testing.T, label string) {
	t.Helper()
	begin := time.Now()
	for r.label() != label && time.Since(begin) < inForceWithin {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, r.label(), label, "after %s", time.Since(begin))
}

// Guards against a node that serves callers for seconds with an outdated catalogue,
// because it has not joined and is not chosen to read the store.
func TestUnjoinedNodeFollowsTheCatalogue(t *testing.T) {
	memory := bulrushstore.NewMemory()
	_, err := memory.Create(t.Context(), routingOf(t, 1))
	assert.NilError(t, err)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	listed, err := json.Marshal(seeds{Addresses: []bulrushchute.Address{bulrushchute.Address(silent.Addr().String())}})
	assert.NilError(t, err)
	_, err = memory.Create(t.Context(), bulrushchute.Object{Kind: bulrushchute.KindSeeds, Name: "ub-1", Value: listed})
	assert.NilError(t, err)
	n := runRoutingNode(t, memory)
	defer n.stop()
	// Two members that no longer answer precede the node in the choice of readers.
	for preceding := 0; preceding < readersPerDataCentre; {
		peer := New(nodeSettings(t), memory, bulrushchute.WallClock{})
		if rankHash("reader-ub-1", peer.id) > rankHash("reader-ub-1", n.id) {
			continue
		}
		preceding++
		introduction := peer.control.membership.Introduce(0, []bulrushchute.Address{n.settings.PeerAddress})[0].Message
		introduction.From = peer.id
		n.HandleControl(peer.settings.PeerAddress, introduction)
	}
	for n.State() != bulrushboard.NodeReady {
		time.Sleep(time.Millisecond)
	}
	object := routingOf(t, 2)
	current, err := memory.Get(t.Context(), object.Kind, object.Name)
	assert.NilError(t, err)
	object.Version = current.Version
	_, err = memory.Update(t.Context(), object)
	assert.NilError(t, err)
	n.assertInForce(t, "2")
}

// Guards against a node that misses a change for up to ten seconds, because the
// messages that announced it were lost.
func TestLostAnnouncementIsRepairedInTime(t *testing.T) {
	f := newRoutingFleet(t, 3)
	defer f.close(t)
	f.awaitReaders(t)
	victim := f.nodes[2]
	var losing atomic.Bool
	losing.Store(true)
	for _, reader := range f.nodes[:2] {
		reader.control.do(t.Context(), func(bulrushchute.Millis) {
			reader.control.transport = &lossyTransport{Transport: reader.control.transport, lose: func(to bulrushchute.Address, message bulrushchute.Control) bool {
				return losing.Load() && to == victim.settings.PeerAddress && carriesCatalogue(message)
			}}
		})
	}
	time.AfterFunc(500*time.Millisecond, func() { losing.Store(false) })
	f.writeRouting(t, 2)
	victim.assertInForce(t, "2")
}

// Guards against a data centre whose nodes all miss a change, because the nodes
// that are chosen to read the store cannot reach it.
func TestReadersThatLostTheStoreAreReplaced(t *testing.T) {
	f := newRoutingFleet(t, 3)
	defer f.close(t)
	f.awaitReaders(t)
	for _, store := range f.stores[:2] {
		store.down.Store(true)
	}
	time.Sleep(100 * time.Millisecond)
	f.writeRouting(t, 2)
	for _, node := range f.nodes {
		node.assertInForce(t, "2")
	}
}

// Guards against a final refusal of a route that was added while the node could not
// know of it.
func TestUnknownRouteIsNotRefusedByAnUnconfirmedCatalogue(t *testing.T) {
	f := newRoutingFleet(t, 1)
	defer f.close(t)
	n := f.nodes[0]
	n.waitForLabel(t, "1")
	for !n.board.Read().CatalogueCurrent {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, n.statusOf(t, "unknown.example"), http.StatusNotFound)
	f.stores[0].down.Store(true)
	time.Sleep(inForceWithin)
	assert.Equal(t, n.statusOf(t, "unknown.example"), http.StatusServiceUnavailable)
}

// statusOf returns the status with which the node responds to a request for a host.
func (r runningNode) statusOf(t *testing.T, host string) int {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+string(r.settings.CallerAddress)+"/", nil)
	assert.NilError(t, err)
	request.Host = host
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

// countingStore counts the consistent reads of one node.
type countingStore struct {
	*bulrushstore.Memory
	reads atomic.Int64
}

func (s *countingStore) List(ctx context.Context, kind bulrushchute.Kind) ([]bulrushchute.Object, uint64, error) {
	s.reads.Add(1)
	return s.Memory.List(ctx, kind)
}

func (s *countingStore) ListStale(ctx context.Context, kind bulrushchute.Kind) ([]bulrushchute.Object, uint64, error) {
	return s.Memory.List(ctx, kind)
}

// Guards against a start that asks the store for what the node's peers have just read:
// the list of seeds, and whether the catalogue is current.
func TestStartBesidePeersReadsNothingConsistently(t *testing.T) {
	memory := bulrushstore.NewMemory()
	_, err := memory.Create(t.Context(), newServiceObject(t, "board", 1000))
	assert.NilError(t, err)
	first := runNode(nodeSettings(t), memory)
	defer first.stop()
	for first.State() != bulrushboard.NodeReady {
		time.Sleep(time.Millisecond)
	}
	for listed := false; !listed; time.Sleep(10 * time.Millisecond) {
		objects, _, err := memory.List(t.Context(), bulrushchute.KindSeeds)
		assert.NilError(t, err)
		listed = len(objects) > 0
	}
	store := &countingStore{Memory: memory}
	second := runNode(nodeSettings(t), store)
	defer second.stop()
	for second.State() != bulrushboard.NodeReady {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, store.reads.Load(), int64(0))
}
