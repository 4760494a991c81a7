package bulrushsocket_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushchute.example/bulrushchute/bulrushsocket"
)

// Guards against a listener that stays open after its node has stopped.
func TestServeStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listening := make(chan net.Addr, 1)
	server := &http.Server{Addr: "127.0.0.1:0", BaseContext: func(listener net.Listener) context.Context {
		listening <- listener.Addr()
		return context.Background()
	}}
	ended := make(chan error, 1)
	go func() { ended <- bulrushsocket.Serve(ctx, server) }()
	address := <-listening
	cancel()
	assert.NilError(t, <-ended)
	_, err := net.Dial("tcp", address.String())
	assert.Assert(t, err != nil, "the listener is still open")
}

// Guards against a failure to listen that is not reported.
func TestServeReportsAddressInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	err = bulrushsocket.Serve(context.Background(), &http.Server{Addr: listener.Addr().String()})
	assert.ErrorContains(t, err, "listen")
}
