package main

import (
	"context"
	"net/http"

	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute/bulrushtask"
	"bulrushchute.example/bulrushchute/cmd/bulrushd/bulrushoperator"
)

// serve runs the node and its operator endpoints. The endpoints stay until the
// node has drained, so that operators can watch it.
func serve(ctx context.Context, address string, handler http.Handler, run func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	endpoints, closeEndpoints := context.WithCancel(context.WithoutCancel(ctx))
	defer closeEndpoints()
	group := bulrushtask.NewGroup(func(end bulrushtask.End) {
		if end.Err != nil {
			klog.ErrorS(end.Err, "endpoints failed")
		}
	})
	group.Start(endpoints, "operators", func(endpoints context.Context) error {
		// A node that cannot be watched or reached by its backend server is of no use.
		defer cancel()
		return bulrushoperator.Serve(endpoints, address, handler)
	})
	err := run(ctx)
	closeEndpoints()
	group.Wait()
	return err
}
