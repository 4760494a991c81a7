package main

import (
	"context"
	"net/http"

	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute/bulrushsocket"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// serve runs the node and its endpoints. The endpoints stay until the node has
// drained, so that operators can watch it.
func serve(ctx context.Context, run func(context.Context) error, servers ...*http.Server) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	endpoints, closeEndpoints := context.WithCancel(context.WithoutCancel(ctx))
	defer closeEndpoints()
	group := bulrushtask.NewGroup(func(end bulrushtask.Result) {
		if end.Err != nil {
			klog.ErrorS(end.Err, "endpoint failed", "address", end.Name)
		}
	})
	for _, server := range servers {
		group.Start(endpoints, server.Addr, func(endpoints context.Context) error {
			// A node that cannot be watched or reached by its backend server is of no use.
			defer cancel()
			return bulrushsocket.Serve(endpoints, server)
		})
	}
	err := run(ctx)
	closeEndpoints()
	group.Wait()
	return err
}
