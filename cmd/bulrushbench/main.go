// Command bulrushbench runs load and experiments against nodes, and the
// stand-ins for the store and for backend servers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		klog.ErrorS(err, "command failed")
		klog.Flush()
		os.Exit(1)
	}
	klog.Flush()
}

func newCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "bulrushbench",
		Short:         "Run load and experiments against nodes on loopback",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(newDemoCommand(), newOverheadCommand(), newStoreCommand(), newBackendCommand())
	return command
}
