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

// slowNode is a node with a caller whose request runs on the backend server until
// the test ends.
type slowNode struct {
	runningNode
	// status receives the status code of the caller's answer, 0 if there is none.
	status chan int
}

func runSlowNode(t *testing.T, grace bulrushchute.Millis) slowNode {
	started := make(chan struct{})
	release := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/slow" {
			return
		}
		close(started)
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
	n := slowNode{status: make(chan int, 1)}
	settings := nodeSettings(t)
	settings.BackendAddress, settings.GraceMs = address, grace
	n.runningNode = runNode(settings, store)
	for n.State() != bulrushboard.NodeReady {
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, n.Announce(Announcement{Service: "board", Version: "v1", Address: address, Slots: 4, State: BackendServing}))
	go func() { n.status <- postUntilServed(t, n.settings.CallerAddress) }()
	<-started
	return n
}

// Guards against a drain that does not answer a caller whose request is still
// running on the backend server. The caller's connection is then cut when the
// process is killed after the grace time.
func TestDrainAnswersWithinGraceTime(t *testing.T) {
	n := runSlowNode(t, minGraceMs)
	n.stop()
	select {
	case status := <-n.status:
		assert.Equal(t, status, http.StatusBadGateway, "outcome is unknown")
	case <-time.After(minGraceMs.Duration()):
		t.Fatal("caller not answered within the grace time")
	}
}

// Guards against idle connections that stay open while the drain waits for a slow
// request. The node would accept requests on them seconds after the start of the
// drain.
func TestDrainClosesIdleConnections(t *testing.T) {
	const grace = 6 * bulrushchute.Second
	n := runSlowNode(t, grace)
	idle, err := net.Dial("tcp", string(n.settings.CallerAddress))
	assert.NilError(t, err)
	defer func() { _ = idle.Close() }()
	_, err = idle.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n" + headerService + ": other\r\n\r\n"))
	assert.NilError(t, err)
	reader := bufio.NewReader(idle)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Assert(t, !response.Close, "connection closed before the drain")
	n.stop()
	// Half of the grace time is left for the answers to requests received until
	// then.
	assert.NilError(t, idle.SetReadDeadline(time.Now().Add(grace.Duration()/2)))
	_, err = reader.ReadByte()
	assert.Equal(t, err, io.EOF, "idle connection not closed")
	assert.Equal(t, len(n.status), 0, "slow request was interrupted")
}

// postUntilServed repeats a request while the node does not know its backend
// server yet. It returns the status code of the answer, 0 if there is none.
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
