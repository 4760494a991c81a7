package bulrushnode

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushport"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// runningNode is a node that a test has started with runNode. The result of Run is
// sent to done.
type runningNode struct {
	*Node
	stop context.CancelFunc
	done chan error
}

func runNode(settings Settings, store bulrushchute.Store) runningNode {
	return runNodeWithOptions(settings, store, Options{})
}

func runNodeWithOptions(settings Settings, store bulrushchute.Store, options Options) runningNode {
	ctx, cancel := context.WithCancel(context.Background())
	running := runningNode{NewWithOptions(settings, store, bulrushchute.WallClock{}, options), cancel, make(chan error, 1)}
	go func() { running.done <- running.Run(ctx) }()
	return running
}

// waitForMember waits until the node knows the member with an ID. Only the timeout
// of go test limits the wait.
func (r runningNode) waitForMember(t *testing.T, id bulrushchute.InstanceID) {
	for {
		for _, member := range r.Members(t.Context()).Members {
			if member.ID == id {
				return
			}
		}
		select {
		case err := <-r.done:
			t.Fatalf("node ended: %v", err)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func reserveAddress(t *testing.T) bulrushchute.Address {
	reservation, err := bulrushport.Reserve(t.Context())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, reservation.Release()) })
	return reservation.Address
}

// nodeSettings returns settings with reserved addresses.
func nodeSettings(t *testing.T) Settings {
	return Settings{
		DataCentre:    "ub-1",
		CallerAddress: reserveAddress(t),
		PeerAddress:   reserveAddress(t),
		ClockSkewMs:   DefaultClockSkewMs,
		GraceMs:       minGraceMs,
	}
}

func tlsNodeSettings(t *testing.T, ca *testCA, seeds ...bulrushchute.Address) Settings {
	own := ca.issue(t, "node", "127.0.0.1", time.Hour)
	settings := nodeSettings(t)
	settings.SeedAddresses = seeds
	settings.TLS = TLSSettings{
		PeerCA: ca.pem, PeerCertificate: own.certificate, PeerKey: own.key,
		CallerCA: ca.pem, CallerCertificate: own.certificate, CallerKey: own.key,
	}
	return settings
}

// Guards against nodes that do not find each other over TLS, initially or after
// one restarts with the same settings, and against a caller listener that still
// accepts plain HTTP.
func TestNodesOverTLS(t *testing.T) {
	ca := newTestCA(t)
	store := bulrushstore.NewMemory()
	firstSettings := tlsNodeSettings(t, ca)
	secondSettings := tlsNodeSettings(t, ca, firstSettings.PeerAddress)
	first, second := runNode(firstSettings, store), runNode(secondSettings, store)
	first.waitForMember(t, second.id)
	second.waitForMember(t, first.id)
	second.stop()
	assert.NilError(t, <-second.done)
	restarted := runNode(secondSettings, store)
	first.waitForMember(t, restarted.id)
	restarted.waitForMember(t, first.id)

	callerConfig := ca.clientConfig(t, ca.issue(t, "payouts", "127.0.0.9", time.Hour))
	assert.Equal(t, getStatus(t, "https", firstSettings.CallerAddress, &http.Transport{TLSClientConfig: callerConfig}), http.StatusServiceUnavailable)
	assert.Equal(t, getStatus(t, "http", firstSettings.CallerAddress, &http.Transport{}), http.StatusBadRequest)
	first.stop()
	restarted.stop()
	assert.NilError(t, <-first.done)
	assert.NilError(t, <-restarted.done)
}

func getStatus(t *testing.T, scheme string, address bulrushchute.Address, transport *http.Transport) int {
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, scheme+"://"+string(address)+"/", nil)
	assert.NilError(t, err)
	request.Header.Set(headerService, "board")
	response, err := transport.RoundTrip(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

// Guards against running a node without TLS because its settings were never
// validated.
func TestRunRefusesUncheckedTLS(t *testing.T) {
	settings := tlsNodeSettings(t, newTestCA(t))
	settings.TLS.PeerKey = ""
	n := New(settings, bulrushstore.NewMemory(), bulrushchute.WallClock{})
	assert.ErrorContains(t, n.Run(t.Context()), "tls.peer_key")
}
