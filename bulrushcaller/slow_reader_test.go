package bulrushcaller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmemory"
)

// Guards against a planned stop that cuts the response of a caller that reads
// slowly: the request has ended, but its response is not sent yet.
func TestStopSendsWholeResponseToSlowReader(t *testing.T) {
	const bodyBytes = 8 << 20
	settings := testSettingsWith(Limits{HeaderBytes: 1 << 12, BodyBytes: bodyBytes, HeaderTimeout: bulrushchute.Second, IdleTimeout: bulrushchute.Minute})
	settings.Memory = bulrushmemory.NewAccount(2*bodyBytes, bulrushchute.WallClock{})
	tc := newTestCallerWith(t, settings, 20*bulrushchute.Second)
	close(tc.handler.gate("/large"))
	go func() {
		_, _ = fmt.Fprintf(tc.socket, "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", bodyBytes)
		_, _ = tc.socket.Write(bytes.Repeat([]byte("x"), bodyBytes))
	}()
	response, err := http.ReadResponse(tc.reader, nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	stopped := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go func() { stopped <- tc.server.Shutdown(ctx) }()
	// Longer than closePollInterval, so that the server looks for idle connections
	// while the response is not sent.
	time.Sleep(10 * closePollInterval)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), len("/large")+bodyBytes)
	assert.NilError(t, <-stopped)
}
