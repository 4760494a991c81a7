// Command bulrushctl lets operators edit the catalogue and read the status.
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
