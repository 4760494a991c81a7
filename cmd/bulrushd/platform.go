package main

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"bulrushchute.example/bulrushchute/cmd/bulrushd/bulrushoperator"
	"bulrushchute.example/bulrushchute/platform"
)

// settingsVariable holds the path of the settings file on the users' platform.
const settingsVariable = "BULRUSHCHUTE_BOOT"

func newPlatformCommand() *cobra.Command {
	return &cobra.Command{
		Use:           "platform",
		Short:         "Run the node on the users' platform, with the settings file that " + settingsVariable + " names",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			return runOnPlatform(command.Context(), os.Getenv(settingsVariable))
		},
	}
}

func runOnPlatform(ctx context.Context, path string) error {
	if path == "" {
		return errors.Errorf("environment variable %s is not set", settingsVariable)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	settings, err := platform.ParseSettings(data)
	if err != nil {
		return err
	}
	node := platform.NewNode(settings)
	node.PublishMetrics()
	handler, err := bulrushoperator.NewHandler(node)
	if err != nil {
		return err
	}
	return serve(ctx, string(settings.OperatorAddress), handler, func(ctx context.Context) error {
		return platform.Run(ctx, settings, node)
	})
}
