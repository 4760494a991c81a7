package bulrushnode

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
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

// slowNode is a node with a caller whose request stays at its backend server
// until the test ends.
type slowNode struct {
	runningNode
	// answered gets the status of the caller's answer, 0 for none.
	answered chan int
}

func runSlowNode(t *testing.T, grace bulrushchute.Millis) slowNode {
	running := make(chan struct{})
	release := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/slow" {
			return
		}
		close(running)
		<-release
	}))
	t.Cleanup(backend.Close)
	t.Cleanup(func() { close(release) })
	store := bulrushstore.NewMemory()
	entry, err := json.Marshal(bulrushcatalogue.ServiceEntry{
		Service: "board", Owner: "test", TimeoutMs: 20_000,
		Limits: bulrushcatalogue.Limits{Slots: 4, Connections: 40, Queue: 4, ColdSlots: 4, WarmMs: 1},
	})
	assert.NilError(t, err)
	_, err = store.Create(t.Context(), bulrushchute.Object{Kind: bulrushchute.KindServices, Name: "board", Value: entry})
	assert.NilError(t, err)
	address := bulrushchute.Address(strings.TrimPrefix(backend.URL, "http://"))
	n := slowNode{answered: make(chan int, 1)}
	settings := nodeSettings(t)
	settings.BackendAddress, settings.GraceMs = address, grace
	n.runningNode = runNode(settings, store)
	for n.State() != bulrushboard.NodeReady {
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, n.Announce(Announcement{Service: "board", Version: "v1", Address: address, Slots: 4, State: BackendServing}))
	go func() { n.answered <- postUntilServed(t, n.settings.CallerAddress) }()
	<-running
	return n
}

// Guards against a caller whose connection is cut by the kill after the grace
// time, because its backend server is still at work.
func TestDrainAnswersBeforeTheKill(t *testing.T) {
	n := runSlowNode(t, minGraceMs)
	n.stop()
	select {
	case status := <-n.answered:
		assert.Equal(t, status, http.StatusBadGateway, "the outcome is not known")
	case <-time.After(minGraceMs.Duration()):
		t.Fatal("not answered in the grace time")
	}
}

// Guards against a request that is taken on a kept connection seconds after the
// node was told to end, because a slow one keeps the node busy.
func TestDrainClosesIdleConnections(t *testing.T) {
	const grace = 6 * bulrushchute.Second
	n := runSlowNode(t, grace)
	kept, err := net.Dial("tcp", string(n.settings.CallerAddress))
	assert.NilError(t, err)
	defer func() { _ = kept.Close() }()
	_, err = kept.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n" + headerService + ": other\r\n\r\n"))
	assert.NilError(t, err)
	reader := bufio.NewReader(kept)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Assert(t, !response.Close, "the connection is kept")
	n.stop()
	// Half of the grace time is left for what was taken until then.
	assert.NilError(t, kept.SetReadDeadline(time.Now().Add(grace.Duration()/2)))
	_, err = reader.ReadByte()
	assert.Equal(t, err, io.EOF, "the idle connection is closed")
	assert.Equal(t, len(n.answered), 0, "the slow request goes on")
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
