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
	group := bulrushtask.NewGroup(func(result bulrushtask.Result) {
		if result.Err != nil {
			klog.ErrorS(result.Err, "endpoint failed", "address", result.Name)
		}
	})
	for _, server := range servers {
		group.Start(endpointCtx, server.Addr, func(endpointCtx context.Context) error {
			// Stops the node when an endpoint fails, since operators could no
			// longer observe the node or its backend server no longer reach it.
			defer cancel()
			return bulrushsocket.Serve(endpointCtx, server)
		})
	}
	err := run(ctx)
	closeEndpoints()
	group.Wait()
	return err
}
