package main

import (
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"bulrushchute.example/bulrushchute/bulrushsocket"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushdemo"
	"bulrushchute.example/bulrushchute/cmd/bulrushbench/bulrushstandin"
)

const readHeaderTimeout = 10 * time.Second

// errPromiseBroken makes the demo exit with status 1 after its report.
var errPromiseBroken = errors.New("a promise was broken, see the counts in the report")

func newDemoCommand() *cobra.Command {
	var nodeBinary string
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run eight instances under load and faults and check every promise",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			result, err := bulrushdemo.Run(command.Context(), nodeBinary)
			if err != nil {
				return err
			}
			if err := writeReport(result); err != nil {
				return err
			}
			if result.Failed() {
				return errPromiseBroken
			}
			return nil
		},
	}
	command.Flags().StringVar(&nodeBinary, "node", "bin/bulrushd", "path of the node daemon")
	return command
}

func writeReport(result any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(result), "write the report")
}

func newOverheadCommand() *cobra.Command {
	var nodeBinary string
	var calls int
	command := &cobra.Command{
		Use:   "overhead",
		Short: "Compare calls through two nodes with direct calls",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			result, err := bulrushdemo.MeasureOverhead(command.Context(), nodeBinary, calls)
			if err != nil {
				return err
			}
			return writeReport(result)
		},
	}
	command.Flags().StringVar(&nodeBinary, "node", "bin/bulrushd", "path of the node daemon")
	command.Flags().IntVar(&calls, "calls", 20_000, "calls of each kind")
	return command
}

func newStoreCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "store",
		Short: "Serve an in-memory stand-in for the object store",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			handler := bulrushstore.NewHandler(bulrushstore.NewMemory(), bulrushstore.HandlerSettings{})
			return bulrushsocket.Serve(command.Context(), &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout})
		},
	}
	command.Flags().StringVar(&address, "listen", "127.0.0.1:7400", "address to listen on")
	return command
}

func newBackendCommand() *cobra.Command {
	var address, operatorAddress string
	config := bulrushstandin.Config{}
	command := &cobra.Command{
		Use:   "backend",
		Short: "Run a stand-in backend server that announces itself to its node",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx := command.Context()
			backend, err := bulrushstandin.Start(ctx, address, config)
			if err != nil {
				return err
			}
			bulrushdemo.AnnouncePeriodically(ctx, backend, config, operatorAddress)
			return backend.Kill()
		},
	}
	flags := command.Flags()
	flags.StringVar(&address, "listen", "127.0.0.1:9001", "address to listen on")
	flags.StringVar(&operatorAddress, "node", "127.0.0.1:7003", "operator address of the node")
	flags.StringVar(&config.Service, "service", "defect-board", "service to announce")
	flags.StringVar(&config.Version, "version", "v1", "version to announce")
	flags.IntVar(&config.Slots, "slots", 10, "requests that the server bears at once")
	flags.IntVar(&config.Connections, "connections", 240, "connections that the server bears")
	flags.IntVar(&config.ColdSlots, "cold-slots", 2, "requests that it bears right after its start")
	flags.Int64Var(&config.WarmMs, "warm-ms", 1000, "time in which it grows to its slots")
	flags.Float64Var(&config.Behaviour.ServiceMs, "service-ms", 5, "mean time of a request")
	return command
}
