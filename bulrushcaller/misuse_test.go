package bulrushcaller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmemory"
)

// smallAccount has room for one body of testLimits at a time.
func smallAccount() *bulrushmemory.Account {
	return bulrushmemory.NewAccount(60<<10, bulrushchute.NewMonotonicClock())
}

// newTestCallerOf returns another connection to the same server.
func newTestCallerOf(t *testing.T, tc *testCaller) *testCaller {
	socket, err := net.Dial("tcp", tc.socket.RemoteAddr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return &testCaller{t: t, handler: tc.handler, server: tc.server, socket: socket, reader: bufio.NewReader(socket)}
}

// Guards against a body that is read for ever, and against a refusal of one that does not
// say that its request has not run.
func TestBodyTimeout(t *testing.T) {
	cases := map[string]string{
		"length": "POST /a HTTP/1.1\nHost: a\nContent-Length: 3\n\nab",
		"chunks": "POST /a HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n2\nab\n",
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCaller(t, testSettings())
			tc.send(request)
			got, closing := tc.read()
			assert.Equal(t, got, "408 body_timeout")
			assert.Assert(t, closing)
			assert.Equal(t, len(tc.handler.startedPaths()), 0)
		})
	}
}

// Guards against bodies whose sum exceeds the memory, and against ordinary requests that
// need the memory which others have.
func TestBodiesShareMemory(t *testing.T) {
	settings := testSettings()
	settings.Memory = smallAccount()
	body := strings.Repeat("x", 25<<10)
	request := fmt.Sprintf("POST /held HTTP/1.1\nHost: a\nContent-Length: %d\n\n%s", len(body), body)
	tc := newTestCaller(t, settings)
	tc.send(request)
	tc.awaitStarted("/held")
	second := newTestCallerOf(t, tc)
	second.send(request)
	got, _ := second.read()
	assert.Equal(t, got, "503 no_memory")
	ordinary := newTestCallerOf(t, tc)
	close(tc.handler.gate("/small"))
	ordinary.send("POST /small HTTP/1.1\nHost: a\nContent-Length: 5\n\nsmall")
	got, _ = ordinary.read()
	assert.Equal(t, got, "200 /smallsmall")
	close(tc.handler.gate("/held"))
	got, _ = tc.read()
	assert.Equal(t, got, "200 /held"+body)
	third := newTestCallerOf(t, tc)
	third.send(request)
	got, _ = third.read()
	assert.Equal(t, got, "200 /held"+body)
}

// Guards against memory that is kept by an idle connection after its response.
func TestMemoryIsReleased(t *testing.T) {
	settings := testSettings()
	settings.Memory = smallAccount()
	body := strings.Repeat("x", 25<<10)
	cases := map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\n\n%s", len(body), body),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\n\n%x\n%s\n0\nTrailer: dropped\n\n", len(body), body),
	}
	for name, framed := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCaller(t, settings)
			close(tc.handler.gate("/a"))
			for range 5 {
				tc.send("POST /a HTTP/1.1\nHost: a\n" + framed)
				got, closing := tc.read()
				assert.Equal(t, got, "200 /a"+body)
				assert.Assert(t, !closing)
			}
			share := settings.Memory.TryReserve(60 << 10)
			assert.Assert(t, share != nil, "the idle connection keeps memory")
			share.Release()
		})
	}
}

// Guards against heads of many lines that are parsed: each line takes much more memory than
// its bytes.
func TestManyHeaderLines(t *testing.T) {
	settings := testSettingsWith(Limits{HeaderBytes: 64 << 10, HeaderTimeout: bulrushchute.Second, IdleTimeout: bulrushchute.Second})
	settings.Memory = smallAccount()
	tc := newTestCaller(t, settings)
	tc.send("GET /a HTTP/1.1\nHost: a\n" + strings.Repeat("a:\n", 1000) + "\n")
	got, closing := tc.read()
	assert.Equal(t, got, "503 503 Service Unavailable\n")
	assert.Assert(t, closing)
}

// Guards against a head that a backend server reads differently: it ends at its first empty
// line, whatever the line ends are.
func TestHeadEnds(t *testing.T) {
	cases := map[string]struct{ bytes, want string }{
		"line feeds only":      {"GET /a HTTP/1.1\nHost: a\n\n", "200 /a"},
		"both line ends":       {"GET /a HTTP/1.1\r\nHost: a\n\r\n", "200 /a"},
		"carriage return line": {"GET /a HTTP/1.1\r\nHost: a\r\n\r\r\nX: b\r\n\r\n", "400 400 Bad Request\n"},
		"spaces in the middle": {"GET /a HTTP/1.1\r\nHost: a\r\nX: a\r\n \r\nY: b\r\n\r\n", "200 /a"},
		"empty line first":     {"\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n", "400 400 Bad Request\n"},
		"line over the buffer": {"GET /a HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", parserBufferBytes) + "\r\n\r\n", "200 /a"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tc := newTestCaller(t, testSettingsWith(Limits{HeaderBytes: 8 << 10, HeaderTimeout: bulrushchute.Second, IdleTimeout: bulrushchute.Minute}))
			close(tc.handler.gate("/a"))
			_, err := io.WriteString(tc.socket, c.bytes)
			assert.NilError(t, err)
			got, _ := tc.read()
			assert.Equal(t, got, c.want)
		})
	}
}

// Guards against connections without a request that keep others out, and against closing
// one that has a request, or one of use while another has never been.
func TestConnectionsGiveWay(t *testing.T) {
	settings := testSettings()
	settings.MaxConnections = 3
	running := newTestCaller(t, settings)
	running.get("/running")
	running.awaitStarted("/running")
	used := newTestCallerOf(t, running)
	close(running.handler.gate("/used"))
	used.get("/used")
	used.read()
	silent := newTestCallerOf(t, running)
	silent.send("G")
	time.Sleep(50 * time.Millisecond)

	newcomer := newTestCallerOf(t, running)
	newcomer.get("/used")
	got, _ := newcomer.read()
	assert.Equal(t, got, "200 /used")
	silent.awaitEnd()
	used.get("/used")
	got, _ = used.read()
	assert.Equal(t, got, "200 /used")
	close(running.handler.gate("/running"))
	got, _ = running.read()
	assert.Equal(t, got, "200 /running")
}

// Guards against idle connections that stay open, and against closing one whose request
// takes longer than the idle timeout.
func TestIdleTimeout(t *testing.T) {
	limits := testLimits()
	limits.IdleTimeout = 10 * bulrushchute.Millisecond
	tc := newTestCaller(t, testSettingsWith(limits))
	tc.get("/slow")
	tc.awaitStarted("/slow")
	time.Sleep(3 * idleCheckInterval)
	close(tc.handler.gate("/slow"))
	got, closing := tc.read()
	assert.Equal(t, got, "200 /slow")
	assert.Assert(t, !closing)
	tc.awaitEnd()
}

// Guards against giving up a request as stalled because the server does not read it yet.
func TestWaitingRequestsAreNotStalled(t *testing.T) {
	settings := testSettings()
	settings.Memory = smallAccount()
	body := strings.Repeat("x", 20<<10)
	request := fmt.Sprintf("POST /second HTTP/1.1\nHost: a\nExpect: 100-continue\nContent-Length: %d\n\n", len(body))
	waiting := newTestCaller(t, settings)
	waiting.get("/first")
	waiting.awaitStarted("/first")
	waiting.send(request)
	// Longer than the time without progress after which a request is given up.
	time.Sleep(1500 * time.Millisecond)
	newcomer := newTestCallerOf(t, waiting)
	newcomer.send(fmt.Sprintf("POST /newcomer HTTP/1.1\nHost: a\nContent-Length: %d\n\n%s", len(body), body))
	got, _ := newcomer.read()
	assert.Equal(t, got, "503 no_memory")
	close(waiting.handler.gate("/first"))
	close(waiting.handler.gate("/second"))
	got, _ = waiting.read()
	assert.Equal(t, got, "200 /first")
	got, _ = waiting.read()
	assert.Equal(t, got, "100 ")
	waiting.send(body)
	got, _ = waiting.read()
	assert.Equal(t, got, "200 /second"+body)
}

// Guards against large bodies that are refused although the requests which hold the memory
// have stalled.
func TestStalledBodyGivesWay(t *testing.T) {
	settings := testSettings()
	settings.Memory = smallAccount()
	tc := newTestCallerWith(t, settings, 20*bulrushchute.Second)
	body := strings.Repeat("x", 25<<10)
	start := fmt.Sprintf("POST /a HTTP/1.1\nHost: a\nContent-Length: %d\n\n", len(body))
	close(tc.handler.gate("/a"))
	tc.send(start + body[1:])
	time.Sleep(1500 * time.Millisecond)
	newcomer := newTestCallerOf(t, tc)
	newcomer.send(start + body)
	got, _ := newcomer.read()
	assert.Equal(t, got, "200 /a"+body)
	got, closing := tc.read()
	assert.Equal(t, got, "408 body_timeout")
	assert.Assert(t, closing)
}
