// Command bulrushctl is the operators' command-line tool. It edits the catalogue
// and shows the status of the load balancer.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bulrushchute.example/bulrushchute/cmd/bulrushctl/bulrushcommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	status := bulrushcommand.Run(ctx, bulrushcommand.NewEnvironment(), os.Args[1:])
	stop()
	os.Exit(int(status))
}
