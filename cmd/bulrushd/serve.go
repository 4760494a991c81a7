package main

import (
	"context"
	"net/http"

	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute/bulrushsocket"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// serve runs the node and its endpoints. The endpoints stay open until the node
// has drained, so that operators can observe it.
func serve(ctx context.Context, run func(context.Context) error, servers ...*http.Server) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	endpointCtx, closeEndpoints := context.WithCancel(context.WithoutCancel(ctx))
	defer closeEndpoints()
	group := bulrushtask.NewGroup(func(end bulrushtask.Result) {
		if end.Err != nil {
			klog.ErrorS(end.Err, "endpoint failed", "address", end.Name)
		}
	})
	for _, server := range servers {
		group.Start(endpointCtx, server.Addr, func(endpointCtx context.Context) error {
			// A node is of no use if operators cannot observe it or its backend
			// server cannot reach it.
			defer cancel()
			return bulrushsocket.Serve(endpointCtx, server)
		})
	}
	err := run(ctx)
	closeEndpoints()
	group.Wait()
	return err
}
