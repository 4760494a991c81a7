package bulrushnode

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// Guards against a node that starts while the store is unavailable and then
// remains without peers, and with an outdated configuration, for seconds after the
// store is available again.
func TestStartDuringAnOutage(t *testing.T) {
	store := bulrushstore.NewMemory()
	first := runNode(nodeSettings(t), store)
	defer first.stop()
	for listed := false; !listed; {
		objects, _, err := store.List(t.Context(), bulrushchute.KindSeeds)
		assert.NilError(t, err)
		listed = len(objects) > 0
		time.Sleep(10 * time.Millisecond)
	}
	store.SetDown(true)
	second := runNode(nodeSettings(t), store)
	defer second.stop()
	time.Sleep(2 * time.Second)
	store.SetDown(false)
	regainedAt := time.Now()
	second.waitForMember(t, first.id)
	assert.Assert(t, time.Since(regainedAt) < time.Second, "peer discovered only after %s", time.Since(regainedAt))
}

// laggingStore is a store whose stale reads lag behind and whose list of seeds is
// read slowly.
type laggingStore struct {
	*bulrushstore.Memory
	old []bulrushchute.Object
}

func (s *laggingStore) ListStale(_ context.Context, kind bulrushchute.Kind) ([]bulrushchute.Object, uint64, error) {
	if kind == bulrushchute.KindServices {
		return s.old, 1, nil
	}
	return nil, 1, nil
}

func (s *laggingStore) List(ctx context.Context, kind bulrushchute.Kind) ([]bulrushchute.Object, uint64, error) {
	if kind == bulrushchute.KindSeeds {
		time.Sleep(200 * time.Millisecond)
	}
	return s.Memory.List(ctx, kind)
}

// Guards against a node that serves with an outdated catalogue: it starts, reads
// the catalogue from a replica that lags behind, and counts itself as joined before
// it has read through which nodes to join.
func TestStartsWithTheCurrentCatalogue(t *testing.T) {
	memory := bulrushstore.NewMemory()
	old, err := memory.Create(t.Context(), newServiceObject(t, "board", 1000))
	assert.NilError(t, err)
	store := &laggingStore{Memory: memory, old: []bulrushchute.Object{old}}
	current := newServiceObject(t, "board", 2000)
	current.Version = old.Version
	_, err = memory.Update(t.Context(), current)
	assert.NilError(t, err)
	n := runNode(nodeSettings(t), store)
	defer n.stop()
	for n.State() != bulrushboard.NodeReady {
		time.Sleep(time.Millisecond)
	}
	entry, _ := n.board.Read().Catalogue.Service("board")
	assert.Equal(t, entry.TimeoutMs, bulrushchute.Millis(2000))
}

func newServiceObject(t *testing.T, service bulrushchute.Service, timeout bulrushchute.Millis) bulrushchute.Object {
	entry, err := json.Marshal(bulrushcatalogue.ServiceEntry{Service: service, Owner: "test", TimeoutMs: timeout})
	assert.NilError(t, err)
	return bulrushchute.Object{Kind: bulrushchute.KindServices, Name: string(service), Value: entry}
}

// recordingTransport keeps the control messages that a node sends.
type recordingTransport struct {
	bulrushchute.Transport
	sent map[bulrushchute.Address][]bulrushchute.Control
}

func (rt *recordingTransport) Send(to bulrushchute.Address, message bulrushchute.Control) {
	rt.sent[to] = append(rt.sent[to], message)
}

// Guards against nodes that know each other but not each other's backend servers.
// Load pattern: all nodes start at the same time, after a fault, and learn of their
// own servers only after they have introduced themselves.
func TestAnnouncesItsServerBeforeItHasJoined(t *testing.T) {
	n := New(nodeSettings(t), bulrushstore.NewMemory(), bulrushchute.WallClock{})
	peer := New(nodeSettings(t), bulrushstore.NewMemory(), bulrushchute.WallClock{})
	now := n.clock.Now()
	transport := &recordingTransport{sent: map[bulrushchute.Address][]bulrushchute.Control{}}
	n.control.transport = transport
	introduction := peer.control.membership.Introduce(now, []bulrushchute.Address{n.settings.PeerAddress})[0].Message
	introduction.From = peer.id
	n.control.membership.Receive(now, peer.settings.PeerAddress, introduction)

	n.admission.announce(Announcement{Service: "board", Address: "127.0.0.1:9", Slots: 4, State: BackendServing})
	n.control.updateSelf(now, n.admission, true)
	for _, message := range transport.sent[peer.settings.PeerAddress] {
		message.From = n.id
		peer.control.membership.Receive(now, n.settings.PeerAddress, message)
	}
	known, found := peer.control.membership.Member(n.id)
	assert.Assert(t, found)
	assert.Equal(t, known.Service, bulrushchute.Service("board"))
}
