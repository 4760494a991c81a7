// Command bulrushd runs one node of the load balancer.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushlog"
	"bulrushchute.example/bulrushchute/bulrushnode"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/bulrushtask"
	"bulrushchute.example/bulrushchute/cmd/bulrushd/bulrushoperator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	flushLogs := startLogging()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		klog.ErrorS(err, "node failed")
		flushLogs()
		os.Exit(1)
	}
	flushLogs()
}

// startLogging writes log lines to standard output without blocking the
// goroutines that log. The function that it returns writes the lines that are
// left.
func startLogging() func() {
	writer := bulrushlog.NewWriter()
	klog.LogToStderr(false)
	klog.SetOutput(writer)
	group := bulrushtask.NewGroup(nil)
	ctx, cancel := context.WithCancel(context.Background())
	group.Start(ctx, "logs", func(ctx context.Context) error { return writer.Run(ctx, os.Stdout) })
	return func() {
		klog.Flush()
		cancel()
		group.Wait()
	}
}

func newCommand() *cobra.Command {
	var settingsPath string
	command := &cobra.Command{
		Use:           "bulrushd --settings FILE",
		Short:         "Run the node beside one backend server",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return runNode(command.Context(), settingsPath)
		},
	}
	command.Flags().StringVar(&settingsPath, "settings", "", "JSON file with the node's settings")
	_ = command.MarkFlagRequired("settings")
	command.AddCommand(newPlatformCommand())
	klogFlags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(klogFlags)
	command.PersistentFlags().AddGoFlagSet(klogFlags)
	return command
}

// limitMemory lets the process collect garbage in time, unless operators have chosen a limit.
func limitMemory(settings bulrushnode.Settings) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(settings.MemoryLimit())
	}
}

func runNode(ctx context.Context, settingsPath string) error {
	data, err := os.ReadFile(settingsPath)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	settings, err := bulrushnode.ParseSettings(data)
	if err != nil {
		return err
	}
	limitMemory(settings)
	storeTLS, err := settings.StoreTLS()
	if err != nil {
		return err
	}
	store := bulrushstore.NewClient(bulrushstore.ClientSettings{BaseURL: settings.StoreURL, TLS: storeTLS})
	node := bulrushnode.New(settings, store, bulrushchute.WallClock{})
	node.PublishMetrics()
	operatorServer, err := bulrushoperator.NewServer(string(settings.OperatorAddress), node)
	if err != nil {
		return err
	}
	return serve(ctx, node.Run, operatorServer)
}
