package bulrushnode

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// Guards against a caller whose connection is cut by the kill after the grace
// time, because its backend server is still at work.
func TestDrainAnswersBeforeTheKill(t *testing.T) {
	running := make(chan struct{})
	release := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/slow" {
			return
		}
		close(running)
		<-release
	}))
	defer backend.Close()
	defer close(release)
	store := bulrushstore.NewMemory()
	entry, err := json.Marshal(bulrushcatalogue.ServiceEntry{
		Service: "board", Owner: "test", TimeoutMs: 20_000,
		Limits: bulrushcatalogue.Limits{Slots: 4, Connections: 40, Queue: 4, ColdSlots: 4, WarmMs: 1},
	})
	assert.NilError(t, err)
	_, err = store.Create(t.Context(), bulrushchute.Object{Kind: bulrushchute.KindServices, Name: "board", Value: entry})
	assert.NilError(t, err)
	address := bulrushchute.Address(strings.TrimPrefix(backend.URL, "http://"))
	n := runNode(Settings{
		DataCentre: "ub-1", CallerAddress: freeAddress(t), PeerAddress: freeAddress(t), BackendAddress: address,
		ClockSkewMs: DefaultClockSkewMs, GraceMs: minGraceMs,
	}, store)
	for n.State() != bulrushboard.NodeReady {
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, n.Announce(Announcement{Service: "board", Version: "v1", Address: address, Slots: 4, State: BackendServing}))

	answered := make(chan int, 1)
	go func() { answered <- postUntilServed(t, n.settings.CallerAddress) }()
	<-running
	n.stop()
	select {
	case status := <-answered:
		assert.Equal(t, status, http.StatusBadGateway, "the outcome is not known")
	case <-time.After(minGraceMs.Duration()):
		t.Fatal("not answered in the grace time")
	}
}

// postUntilServed repeats a request while the node does not know its backend
// server yet, and returns the status of the answer, 0 for none.
func postUntilServed(t *testing.T, node bulrushchute.Address) int {
	for {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+string(node)+"/slow", nil)
		if err != nil {
			return 0
		}
		request.Header.Set(headerService, "board")
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable {
			return response.StatusCode
		}
		time.Sleep(20 * time.Millisecond)
	}
}
