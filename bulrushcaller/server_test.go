package bulrushcaller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmemory"
)

// scriptedHandler blocks the requests to each path until the test releases it.
// Requests with method POST are not idempotent.
type scriptedHandler struct {
	mutex    sync.Mutex
	release  map[string]chan struct{}
	started  []string
	ended    []string
	draining bool
	// bodyTimeout is that of all requests.
	bodyTimeout bulrushchute.Millis
}

func newScriptedHandler() *scriptedHandler {
	return &scriptedHandler{release: map[string]chan struct{}{}, bodyTimeout: testBodyTimeout}
}

func (sh *scriptedHandler) RunsAhead(request *http.Request) bool {
	return request.Method != http.MethodPost
}

func (sh *scriptedHandler) BodyTimeout(*http.Request) bulrushchute.Millis {
	return sh.bodyTimeout
}

func (sh *scriptedHandler) gate(path string) chan struct{} {
	sh.mutex.Lock()
	defer sh.mutex.Unlock()
	if sh.release[path] == nil {
		sh.release[path] = make(chan struct{})
	}
	return sh.release[path]
}

func (sh *scriptedHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	path := request.URL.Path
	body, err, _ := BodyOf(request)
	var notRead *BodyError
	if errors.As(err, &notRead) {
		writer.WriteHeader(notRead.Status)
		_, _ = io.WriteString(writer, string(notRead.Reason))
		return
	}
	sh.mutex.Lock()
	sh.started = append(sh.started, path)
	draining := sh.draining
	sh.mutex.Unlock()
	select {
	case <-sh.gate(path):
	case <-request.Context().Done():
		sh.mutex.Lock()
		sh.ended = append(sh.ended, path)
		sh.mutex.Unlock()
		return
	}
	if draining || path == "/close" {
		writer.Header().Set("Connection", "close")
	}
	_, _ = fmt.Fprintf(writer, "%s%s", path, body)
}

func (sh *scriptedHandler) startedPaths() []string {
	sh.mutex.Lock()
	defer sh.mutex.Unlock()
	return slices.Clone(sh.started)
}

func (sh *scriptedHandler) endedCount() int {
	sh.mutex.Lock()
	defer sh.mutex.Unlock()
	return len(sh.ended)
}

// testCaller is a caller's connection to a server with a scriptedHandler.
type testCaller struct {
	t       *testing.T
	handler *scriptedHandler
	server  *Server
	socket  net.Conn
	reader  *bufio.Reader
}

func newTestCaller(t *testing.T, settings Settings) *testCaller {
	return newTestCallerWith(t, settings, testBodyTimeout)
}

func newTestCallerWith(t *testing.T, settings Settings, bodyTimeout bulrushchute.Millis) *testCaller {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tc := &testCaller{t: t, handler: newScriptedHandler()}
	tc.handler.bodyTimeout = bodyTimeout
	tc.server = NewServer(settings, tc.handler, bulrushchute.WallClock{})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- tc.server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		assert.NilError(t, <-served)
		tc.server.Close()
	})
	tc.socket, err = net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = tc.socket.Close() })
	tc.reader = bufio.NewReader(tc.socket)
	return tc
}

// testBodyTimeout is short, so that tests can wait for it.
const testBodyTimeout = 300 * bulrushchute.Millisecond

func testLimits() Limits {
	return Limits{HeaderBytes: 1 << 10, BodyBytes: 32 << 10, HeaderTimeout: 10 * bulrushchute.Second, IdleTimeout: bulrushchute.Minute}
}

func testSettings() Settings {
	return testSettingsWith(testLimits())
}

func testSettingsWith(limits Limits) Settings {
	return Settings{
		Limits: func() Limits { return limits }, Memory: bulrushmemory.NewAccount(1<<20, bulrushchute.WallClock{}), MaxConnections: 100,
		ReadAheadRequests: 4, ReadAheadBytes: 64 << 10,
	}
}

func (tc *testCaller) send(text string) {
	_, err := io.WriteString(tc.socket, strings.ReplaceAll(text, "\n", "\r\n"))
	assert.NilError(tc.t, err)
}

func (tc *testCaller) get(paths ...string) {
	for _, path := range paths {
		tc.send("GET " + path + " HTTP/1.1\nHost: a\n\n")
	}
}

// read returns the status and body of the next response, and whether the
// connection ends after it.
func (tc *testCaller) read() (string, bool) {
	assert.NilError(tc.t, tc.socket.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(tc.reader, nil)
	assert.NilError(tc.t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(tc.t, err)
	assert.NilError(tc.t, response.Body.Close())
	return fmt.Sprint(response.StatusCode, " ", string(body)), response.Close
}

// awaitStarted waits until the handler has got the requests, in any order.
func (tc *testCaller) awaitStarted(want ...string) {
	want = slices.Sorted(slices.Values(want))
	for range 500 {
		started := tc.handler.startedPaths()
		slices.Sort(started)
		if slices.Equal(started, want) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	tc.t.Fatalf("started %v, want %v", tc.handler.startedPaths(), want)
}

// awaitEnd waits until the server has closed the connection.
func (tc *testCaller) awaitEnd() {
	assert.NilError(tc.t, tc.socket.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := tc.reader.ReadByte()
	assert.Equal(tc.t, err, io.EOF)
}

// Guards against pipelined requests that wait for the work of the one before, and
// against responses in another order than that of the requests.
func TestServesPipelinedRequestsSideBySide(t *testing.T) {
	tc := newTestCaller(t, testSettings())
	tc.get("/slow", "/fast", "/faster")
	tc.awaitStarted("/slow", "/fast", "/faster")
	close(tc.handler.gate("/faster"))
	close(tc.handler.gate("/fast"))
	close(tc.handler.gate("/slow"))
	for _, want := range []string{"200 /slow", "200 /fast", "200 /faster"} {
		got, closing := tc.read()
		assert.Equal(t, got, want)
		assert.Assert(t, !closing)
	}
}

// Guards against a non-idempotent request that is started before the outcome of
// the requests before it is known, and against requests behind it that overtake
// it.
func TestServesNonIdempotentRequestsAlone(t *testing.T) {
	tc := newTestCaller(t, testSettings())
	tc.get("/first")
	tc.send("POST /pay HTTP/1.1\nHost: a\nContent-Length: 3\n\nsum")
	tc.get("/behind")
	tc.awaitStarted("/first")
	close(tc.handler.gate("/first"))
	got, _ := tc.read()
	assert.Equal(t, got, "200 /first")
	tc.awaitStarted("/first", "/pay")
	close(tc.handler.gate("/pay"))
	got, _ = tc.read()
	assert.Equal(t, got, "200 /paysum")
	tc.awaitStarted("/first", "/pay", "/behind")
}

// Guards against work that goes on after its caller has left, for all requests
// that were read ahead.
func TestCallerLeaves(t *testing.T) {
	tc := newTestCaller(t, testSettings())
	tc.get("/a", "/b", "/c")
	tc.awaitStarted("/a", "/b", "/c")
	assert.NilError(t, tc.socket.Close())
	for range 500 {
		if tc.handler.endedCount() == 3 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d of 3 requests cancelled", tc.handler.endedCount())
}

// Guards against running requests behind a response that closes the connection:
// callers send these again. Those that were already started still get their
// responses before the connection ends.
func TestCloseInTheMiddle(t *testing.T) {
	cases := map[string]struct {
		// first and second are sent, and started, before the rest arrives.
		first, second, rest string
		want                []string
	}{
		"caller asks for the close": {
			"GET /a HTTP/1.1\nHost: a\nConnection: close\n\n", "", "GET /b HTTP/1.1\nHost: a\n\n", []string{"200 /a"},
		},
		"response closes": {
			"GET /close HTTP/1.1\nHost: a\n\n", "", "POST /b HTTP/1.1\nHost: a\nContent-Length: 1\n\nx", []string{"200 /close"},
		},
		"response closes, the next one was started": {
			"GET /close HTTP/1.1\nHost: a\n\n", "GET /b HTTP/1.1\nHost: a\n\n", "", []string{"200 /close", "200 /b"},
		},
		"HTTP/1.0": {
			"GET /a HTTP/1.0\nHost: a\n\n", "", "GET /b HTTP/1.0\nHost: a\n\n", []string{"200 /a"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCaller(t, testSettings())
			started := []string{}
			for _, request := range []string{c.first, c.second} {
				if request != "" {
					tc.send(request)
					started = append(started, strings.Fields(request)[1])
					tc.awaitStarted(started...)
				}
			}
			tc.send(c.rest)
			for i, path := range started {
				close(tc.handler.gate(path))
				got, closing := tc.read()
				assert.Equal(t, got, c.want[i])
				assert.Equal(t, closing, i == len(started)-1)
			}
			tc.awaitEnd()
			assert.DeepEqual(t, tc.handler.startedPaths(), started)
		})
	}
}

// Guards against passing on what is not a request, or a request that a backend
// server could read differently, and against losing the responses before it.
func TestRejectsBadRequests(t *testing.T) {
	cases := map[string]struct {
		bytes  string
		status string
	}{
		"not HTTP":               {"hello\n\n", "400"},
		"no host":                {"GET /b HTTP/1.1\n\n", "400"},
		"two hosts":              {"GET /b HTTP/1.1\nHost: a\nHost: b\n\n", "400"},
		"space in a header name": {"GET /b HTTP/1.1\nHost: a\nContent-Length : 3\n\nabc", "400"},
		"two lengths":            {"POST /b HTTP/1.1\nHost: a\nContent-Length: 3\nContent-Length: 4\n\nabcd", "400"},
		"unknown encoding":       {"POST /b HTTP/1.1\nHost: a\nTransfer-Encoding: gzip\n\nabc", "400"},
		"bad chunk":              {"POST /b HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\nzz\n", "400"},
		"long header":            {"GET /b HTTP/1.1\nHost: a\nX: " + strings.Repeat("x", 8<<10) + "\n\n", "431"},
		"unknown expectation":    {"POST /b HTTP/1.1\nHost: a\nExpect: coffee\nContent-Length: 1\n\nx", "417"},
		"HTTP/2":                 {"GET /b HTTP/2.0\nHost: a\n\n", "505"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCaller(t, testSettings())
			tc.get("/good")
			tc.awaitStarted("/good")
			tc.send(c.bytes)
			close(tc.handler.gate("/good"))
			got, closing := tc.read()
			assert.Equal(t, got, "200 /good")
			assert.Assert(t, !closing)
			got, closing = tc.read()
			assert.Assert(t, strings.HasPrefix(got, c.status+" "), got)
			assert.Assert(t, closing)
			tc.awaitEnd()
			assert.DeepEqual(t, tc.handler.startedPaths(), []string{"/good"})
		})
	}
}

// Guards against reading without bounds from a caller that does not wait for its
// responses, and against passing on a body that is longer than allowed as a whole
// one.
func TestReadsAheadWithinBounds(t *testing.T) {
	settings := testSettings()
	tc := newTestCaller(t, settings)
	for n := range 20 {
		tc.get(fmt.Sprint("/", n))
	}
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, len(tc.handler.startedPaths()) <= settings.ReadAheadRequests+1, "%d started", len(tc.handler.startedPaths()))

	tc = newTestCaller(t, settings)
	body := strings.Repeat("x", 30<<10)
	for n := range 4 {
		tc.send(fmt.Sprintf("GET /%d HTTP/1.1\nHost: a\nContent-Length: %d\n\n", n, len(body)))
		go func(socket net.Conn) { _, _ = io.WriteString(socket, body) }(tc.socket)
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, len(tc.handler.startedPaths()) <= settings.ReadAheadBytes/len(body)+1, "%d started", len(tc.handler.startedPaths()))

	tc = newTestCaller(t, settings)
	close(tc.handler.gate("/long"))
	tc.send(fmt.Sprintf("GET /long HTTP/1.1\nHost: a\nContent-Length: %d\n\n%s", 33<<10, strings.Repeat("x", 33<<10)))
	got, closing := tc.read()
	assert.Equal(t, got, "413 too_large")
	assert.Assert(t, closing, "the rest of the body would be read as a request")

	tc = newTestCaller(t, settings)
	tc.send(fmt.Sprintf("GET /long HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n%x\n%s\n0\n\n", 33<<10, strings.Repeat("x", 33<<10)))
	got, closing = tc.read()
	assert.Equal(t, got, "413 too_large")
	assert.Assert(t, closing, "the rest of the body would be read as a request")
}

// Guards against asking for a body before the responses to earlier requests, and
// against one that is never asked for.
func TestContinue(t *testing.T) {
	tc := newTestCaller(t, testSettings())
	tc.get("/first")
	tc.send("POST /b HTTP/1.1\nHost: a\nExpect: 100-continue\nContent-Length: 2\n\n")
	tc.awaitStarted("/first")
	close(tc.handler.gate("/first"))
	close(tc.handler.gate("/b"))
	got, _ := tc.read()
	assert.Equal(t, got, "200 /first")
	got, _ = tc.read()
	assert.Equal(t, got, "100 ")
	tc.send("ab")
	got, _ = tc.read()
	assert.Equal(t, got, "200 /bab")
}

// Guards against a connection that is cut by a shutdown before the responses to
// the requests that were read, and against one that stays open.
func TestShutdown(t *testing.T) {
	tc := newTestCaller(t, testSettings())
	tc.get("/a", "/b")
	tc.awaitStarted("/a", "/b")
	ended := make(chan error, 1)
	go func() { ended <- tc.server.Shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	close(tc.handler.gate("/a"))
	got, closing := tc.read()
	assert.Equal(t, got, "200 /a")
	assert.Assert(t, !closing)
	close(tc.handler.gate("/b"))
	got, closing = tc.read()
	assert.Equal(t, got, "200 /b")
	assert.Assert(t, closing)
	tc.awaitEnd()
	assert.NilError(t, tc.socket.Close())
	assert.NilError(t, <-ended)
}

// Guards against a shutdown that waits for idle callers, and against a header that
// never ends.
func TestClosesIdleAndSlowConnections(t *testing.T) {
	tc := newTestCaller(t, testSettings())
	close(tc.handler.gate("/a"))
	tc.get("/a")
	tc.read()
	tc.server.CloseIdle()
	tc.awaitEnd()

	limits := testLimits()
	limits.HeaderTimeout = 50
	tc = newTestCaller(t, testSettingsWith(limits))
	tc.send("GET /a HTTP/1.1\nHost:")
	tc.awaitEnd()
}

// Guards against a panic of the handler that ends the process or passes on half of
// a response.
func TestPanic(t *testing.T) {
	r := newResponse(&http.Request{Method: http.MethodGet})
	r.serve(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "half")
		panic("broken handler")
	}))
	assert.Equal(t, r.status, http.StatusInternalServerError)
	assert.Equal(t, r.body.Len(), 0)
	assert.Assert(t, r.wantsClose())
}

// FuzzRequests guards against a reader that hangs, panics or answers more requests
// than it can have read, whatever bytes a caller sends.
func FuzzRequests(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n"))
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx"))
	f.Fuzz(func(t *testing.T, data []byte) {
		server := NewServer(testSettings(), echoHandler{}, bulrushchute.WallClock{})
		caller, socket := net.Pipe()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			server.serveSocket(context.Background(), socket)
			server.tasks.Wait()
		}()
		go func() {
			_, _ = caller.Write(data)
			time.Sleep(time.Millisecond)
			_ = caller.Close()
		}()
		answers, _ := io.ReadAll(caller)
		<-ended
		if got := strings.Count(string(answers), "\r\n\r\n"); got > len(data) {
			t.Fatalf("%d responses to %d bytes", got, len(data))
		}
	})
}

type echoHandler struct{}

func (echoHandler) RunsAhead(request *http.Request) bool { return request.Method == http.MethodGet }

func (echoHandler) BodyTimeout(*http.Request) bulrushchute.Millis { return testBodyTimeout }

func (echoHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(writer, request.Body)
}
