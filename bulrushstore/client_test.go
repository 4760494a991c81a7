package bulrushstore_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// Guards against reporting a write as without effect when a proxy or an
// overloaded store returns an error status after the write was forwarded.
func TestClientClassifiesStatus(t *testing.T) {
	status := func(reason string) string { return fmt.Sprintf(`{"kind":"Status","reason":%q}`, reason) }
	cases := map[string]struct {
		code  int
		body  string
		class string
	}{
		"store unavailable":        {503, status("ServiceUnavailable"), "unavailable"},
		"unavailable from a proxy": {503, "<html>", "ambiguous"},
		"too many requests":        {429, status("TooManyRequests"), "unavailable"},
		"internal error":           {500, status("InternalError"), "ambiguous"},
		"bad gateway":              {502, "", "ambiguous"},
		"gateway timeout":          {504, status("Timeout"), "ambiguous"},
		"forbidden":                {403, status("Forbidden"), "unavailable"},
		"redirect":                 {307, "", "unavailable"},
		"conflict":                 {409, status("Conflict"), "conflict"},
		"not found":                {404, "", "not found"},
		"truncated success":        {200, `{"metadata":{"name":"a"`, "ambiguous"},
		"success, another name":    {200, `{"metadata":{"name":"b","resourceVersion":"3"}}`, "ambiguous"},
		"success":                  {200, `{"metadata":{"name":"a","resourceVersion":"3"}}`, "ok"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			calls := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls++
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(tc.code)
				_, _ = w.Write([]byte(tc.body))
			}))
			defer server.Close()
			client := bulrushstore.NewClient(bulrushstore.ClientSettings{BaseURL: server.URL})
			defer client.Close()
			_, err := client.Update(t.Context(), bulrushchute.Object{Kind: "services", Name: "a", Version: 2, Value: []byte("1")})
			assert.Equal(t, errorClass(err), tc.class)
			assert.Equal(t, calls, 1, "a write must be sent only once")
		})
	}
}

// Guards against an ambiguous error for a write that was never sent, and against
// an unavailable error for a write that was sent and timed out.
func TestClientTimeouts(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = unresponsive.Close() }()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	cases := map[string]struct {
		address string
		get     string
		update  string
	}{
		"no response":   {unresponsive.Addr().String(), "unavailable", "ambiguous"},
		"not listening": {closed.Addr().String(), "unavailable", "unavailable"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			client := bulrushstore.NewClient(bulrushstore.ClientSettings{BaseURL: "http://" + tc.address, Timeout: 50})
			defer client.Close()
			_, err := client.Get(t.Context(), "services", "a")
			assert.Equal(t, errorClass(err), tc.get)
			_, err = client.Update(t.Context(), bulrushchute.Object{Kind: "services", Name: "a", Version: 2, Value: []byte("1")})
			assert.Equal(t, errorClass(err), tc.update)
		})
	}
}

// Guards against accepting a store certificate from an unknown CA, and against
// an ambiguous error for a write that was not sent because the handshake failed.
func TestClientTLS(t *testing.T) {
	handler := bulrushstore.NewHandler(bulrushstore.NewMemory(), bulrushstore.HandlerSettings{})
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	defer server.Close()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	cases := map[string]struct {
		config *tls.Config
		class  string
	}{
		"store's CA":     {&tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots}, "ok"},
		"other CA":       {&tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool()}, "unavailable"},
		"system's roots": {nil, "unavailable"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			client := bulrushstore.NewClient(bulrushstore.ClientSettings{BaseURL: server.URL, TLS: tc.config})
			defer client.Close()
			_, err := client.Create(t.Context(), bulrushchute.Object{Kind: "services", Name: "a", Value: []byte("1")})
			assert.Equal(t, errorClass(err), tc.class, "got %v", err)
		})
	}
}

// Guards against a watch that hangs on a connection whose server has stopped
// sending.
func TestWatchIdle(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	client := bulrushstore.NewClient(bulrushstore.ClientSettings{BaseURL: server.URL, WatchIdleTimeout: 50})
	defer client.Close()
	err := client.Watch(t.Context(), "services", 0, func(bulrushchute.StoreEvent) {})
	assert.ErrorContains(t, err, "bookmark")
}

// Guards against a handler that accepts more calls than the platform's store
// does, or that miscounts them.
func TestHandlerRatesAndCounts(t *testing.T) {
	handler := bulrushstore.NewHandler(bulrushstore.NewMemory(), bulrushstore.HandlerSettings{WritesPerS: 0.0001, BookmarkInterval: 5})
	client := newClient(t, handler)
	_, err := client.Create(t.Context(), object("a", oldValue))
	assert.NilError(t, err)
	_, err = client.Create(t.Context(), object("b", oldValue))
	assert.Equal(t, errorClass(err), "unavailable")
	_, err = client.Get(t.Context(), bulrushchute.KindServices, "a")
	assert.NilError(t, err)

	ctx, cancel := context.WithCancel(t.Context())
	err = client.Watch(ctx, bulrushchute.KindServices, 0, func(bulrushchute.StoreEvent) {
		counts := handler.Counts()[bulrushchute.KindServices]
		assert.Check(t, counts == bulrushstore.Counts{Reads: 1, Writes: 1, Watches: 1, RateLimited: 1, OpenWatches: 1}, "%+v", counts)
		cancel()
	})
	assert.Equal(t, errorClass(err), "unavailable")
}

// Guards against deviations from the published API conventions, on which other
// clients of the handler rely.
func TestHandlerWireFormat(t *testing.T) {
	handler := bulrushstore.NewHandler(bulrushstore.NewMemory(), bulrushstore.HandlerSettings{})
	cases := []struct {
		method, path, body string
		code               int
		want               string
	}{
		{"POST", "services", `{"metadata":{"name":"a"},"spec":{"n":1}}`, 201, `{"apiVersion":"bulrushchute.example/v1","kind":"services","metadata":{"name":"a","resourceVersion":"1"},"spec":{"n":1}}`},
		{"POST", "services", `{"metadata":{"name":"a"},"spec":{}}`, 409, `"reason":"AlreadyExists"`},
		{"PUT", "services/a", `{"metadata":{"resourceVersion":"7"},"spec":{}}`, 409, `"reason":"Conflict"`},
		{"GET", "services", "", 200, `"metadata":{"resourceVersion":"1"},"items":[{`},
		{"GET", "services/b", "", 404, `"reason":"NotFound"`},
		{"PUT", "services/a", `{"metadata":`, 422, `"reason":"Invalid"`},
		{"POST", "services", strings.Repeat(" ", 2<<20), 413, `"reason":"RequestEntityTooLarge"`},
		{"PATCH", "services/a", "", 405, `"reason":"MethodNotAllowed"`},
		{"DELETE", "services/a", `{"preconditions":{"resourceVersion":"1"}}`, 200, `"status":"Success"`},
	}
	for _, tc := range cases {
		recorder := httptest.NewRecorder()
		path := "/apis/bulrushchute.example/v1/" + tc.path
		handler.ServeHTTP(recorder, httptest.NewRequest(tc.method, path, strings.NewReader(tc.body)))
		assert.Equal(t, recorder.Code, tc.code, tc.method)
		assert.Check(t, strings.Contains(recorder.Body.String(), tc.want), recorder.Body.String())
	}
}
