package bulrushnode

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
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

// sentRequest is a request that a caller sends while its node drains.
type sentRequest struct {
	// headAt and bodyAt are the times after the stop at which its parts are sent.
	headAt, bodyAt time.Duration
	method         string
}

// send sends the request and returns the status of the answer, 0 if there is none.
func (sr sentRequest) send(connection net.Conn, stoppedAt time.Time) int {
	head := sr.method + " /slow HTTP/1.1\r\nHost: a\r\n" + headerService + ": board\r\nContent-Length: 4\r\n\r\n"
	for _, part := range []struct {
		at   time.Duration
		text string
	}{{sr.headAt, head}, {sr.bodyAt, "body"}} {
		time.Sleep(time.Until(stoppedAt.Add(part.at)))
		if _, err := connection.Write([]byte(part.text)); err != nil {
			return 0
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// Guards against a request that is passed on although it cannot end before the drain, and
// against refusals of those that can, or of which nothing is known early in the drain.
func TestLateRequestIsPassedOnIfItEndsInTime(t *testing.T) {
	cases := map[string]struct {
		request lateRequest
		want    bool
	}{
		"deadline in time":                 {lateRequest{left: 2000, timeout: 2000}, true},
		"deadline in time, closing":        {lateRequest{left: 400, timeout: 300, closing: true}, true},
		"length unknown":                   {lateRequest{left: 2000, timeout: 5000}, true},
		"usually in time":                  {lateRequest{left: 2000, timeout: 5000, expected: 1500, expectedKnown: true}, true},
		"usually too late":                 {lateRequest{left: 2000, timeout: 5000, expected: 2500, expectedKnown: true}, false},
		"usually too late, short deadline": {lateRequest{left: 2000, timeout: 1000, expected: 2500, expectedKnown: true}, true},
		"length unknown, closing":          {lateRequest{left: 2000, timeout: 5000, closing: true}, false},
		"usually in time, closing":         {lateRequest{left: 2000, timeout: 5000, expected: 100, expectedKnown: true, closing: true}, false},
		"drain over":                       {lateRequest{left: -100, timeout: 200, expected: 10, expectedKnown: true}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.request.passesOn(), tc.want)
		})
	}
}

// Guards against a request that arrives late in a planned stop, is passed on although it
// cannot end before the stop does, and is cut while its server works on it.
func TestLateRequestIsCutAtTheEndOfADrain(t *testing.T) {
	const (
		grace = 6 * bulrushchute.Second
		work  = 2500 * time.Millisecond
	)
	var runs atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/slow" {
			runs.Add(1)
			time.Sleep(work)
		}
	}))
	defer backend.Close()
	entry, err := json.Marshal(bulrushcatalogue.ServiceEntry{
		Service: "board", Owner: "test", TimeoutMs: 20_000,
		Limits: bulrushcatalogue.Limits{Slots: 20, Connections: 40, Queue: 20, ColdSlots: 20, WarmMs: 1},
	})
	assert.NilError(t, err)
	store := bulrushstore.NewMemory()
	_, err = store.Create(t.Context(), bulrushchute.Object{Kind: bulrushchute.KindServices, Name: "board", Value: entry})
	assert.NilError(t, err)
	serving := nodeSettings(t)
	serving.BackendAddress = bulrushchute.Address(strings.TrimPrefix(backend.URL, "http://"))
	beside := runNode(serving, store)
	defer beside.stop()
	leaving := nodeSettings(t)
	leaving.GraceMs, leaving.SeedAddresses = grace, []bulrushchute.Address{serving.PeerAddress}
	n := runNode(leaving, store)
	for beside.State() != bulrushboard.NodeReady || n.State() != bulrushboard.NodeReady {
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, beside.Announce(Announcement{Service: "board", Version: "v1", Address: serving.BackendAddress, Slots: 20, State: BackendServing}))
	assert.Equal(t, postUntilServed(t, n.settings.CallerAddress), http.StatusOK)
	runs.Store(0)

	const whole = 100 * time.Millisecond
	cases := map[string]sentRequest{
		"early":                          {500 * time.Millisecond, 500 * time.Millisecond, http.MethodPost},
		"whole after a second":           {time.Second, time.Second + whole, http.MethodPost},
		"idempotent after a second":      {time.Second, time.Second + whole, http.MethodPut},
		"body after the idle close":      {200 * time.Millisecond, 3400 * time.Millisecond, http.MethodPost},
		"body in the middle":             {200 * time.Millisecond, 4400 * time.Millisecond, http.MethodPost},
		"body near the end":              {200 * time.Millisecond, 4900 * time.Millisecond, http.MethodPost},
		"idempotent, body in the middle": {200 * time.Millisecond, 4400 * time.Millisecond, http.MethodPut},
	}
	stoppedAt := time.Now().Add(200 * time.Millisecond)
	statuses := make(map[string]<-chan int)
	for name, request := range cases {
		connection, err := net.Dial("tcp", string(n.settings.CallerAddress))
		assert.NilError(t, err)
		defer func() { _ = connection.Close() }()
		status := make(chan int, 1)
		statuses[name] = status
		go func() { status <- request.send(connection, stoppedAt) }()
	}
	time.Sleep(time.Until(stoppedAt))
	n.stop()
	served := 0
	for name := range cases {
		status := <-statuses[name]
		assert.Check(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "%s: status %d", name, status)
		if status == http.StatusOK {
			served++
		}
	}
	assert.Check(t, served >= 3, "%d requests were served", served)
	assert.Check(t, int(runs.Load()) == served, "%d requests ran, the callers of %d got the answer", runs.Load(), served)
	assert.NilError(t, <-n.done)
	assert.Check(t, time.Since(stoppedAt) <= grace.Duration(), "the stop took %s", time.Since(stoppedAt))
}
