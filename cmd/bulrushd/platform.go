package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute/bulrushtask"
	"bulrushchute.example/bulrushchute/cmd/bulrushd/bulrushoperator"
	"bulrushchute.example/bulrushchute/platform"
)

// settingsPathVariable names the environment variable that holds the path of
// the settings file on the users' platform.
const settingsPathVariable = "BULRUSHCHUTE_BOOT"

func newPlatformCommand() *cobra.Command {
	return &cobra.Command{
		Use:           "platform",
		Short:         "Run the node on the users' platform, with the settings file that " + settingsPathVariable + " names",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return runOnPlatform(command.Context(), os.Getenv(settingsPathVariable))
		},
	}
}

func runOnPlatform(ctx context.Context, settingsPath string) error {
	// Comes first, since SIGHUP terminates a process that does not handle it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if settingsPath == "" {
		return errors.Errorf("environment variable %s is not set", settingsPathVariable)
	}
	data, err := os.ReadFile(settingsPath)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	settings, err := platform.ParseSettings(data)
	if err != nil {
		return err
	}
	limitMemory(settings.NodeSettings())
	node := platform.NewNode(settings)
	node.PublishMetrics()
	operatorServer, err := bulrushoperator.NewServer(string(settings.OperatorAddress), node)
	if err != nil {
		return err
	}
	group := bulrushtask.NewGroup(func(result bulrushtask.Result) {
		if result.Err != nil {
			klog.ErrorS(result.Err, "settings no longer followed", "path", settingsPath)
		}
	})
	reloadCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	group.Start(reloadCtx, "settings", func(ctx context.Context) error {
		return platform.WatchSettings(ctx, settingsPath, hangups, node)
	})
	defer group.Wait()
	defer stop()
	return serve(ctx, node.Run, append(platform.Endpoints(settings, node), operatorServer)...)
}
