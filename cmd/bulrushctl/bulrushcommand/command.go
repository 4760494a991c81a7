package bulrushcommand

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"time"
	"unicode/utf8"

	"github.com/spf13/cobra"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

// Environment variables that provide defaults for flags.
const (
	envStore    = "BULRUSH_STORE"
	envNode     = "BULRUSH_NODE"
	envOperator = "BULRUSH_OPERATOR"
	envUser     = "USER"
)

// Default and limits of the --timeout flag.
const (
	defaultCallTimeout = 5 * time.Second
	minCallTimeout     = time.Millisecond
	maxCallTimeout     = time.Hour
)

// Environment holds the external dependencies of the commands.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(name string) string
	Clock  bulrushchute.Clock
	// OpenStore returns the store at a base URL. The timeout applies to each
	// call.
	OpenStore func(url string, timeout bulrushchute.Millis) bulrushchute.Store
}

// NewEnvironment returns the environment of the current process: its standard
// streams, environment variables, wall clock and a store client over HTTP.
func NewEnvironment() Environment {
	return Environment{
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Getenv: os.Getenv,
		Clock:  bulrushchute.WallClock{},
		OpenStore: func(url string, timeout bulrushchute.Millis) bulrushchute.Store {
			return bulrushstore.NewClient(bulrushstore.ClientSettings{BaseURL: url, Timeout: timeout})
		},
	}
}

// cli is one invocation of the program with its global flags.
type cli struct {
	Environment
	storeURL    string
	nodeAddress string
	operator    string
	callTimeout time.Duration
	jsonOutput  bool
	// argumentsAccepted is set once the command line is parsed and the global flags
	// are valid. Every error before that is a usage error; a command reports its
	// own as a *UsageError.
	argumentsAccepted bool
}

// Run executes the command given by the arguments and returns the exit status of
// the process.
func Run(ctx context.Context, environment Environment, arguments []string) ExitStatus {
	c := &cli{Environment: environment}
	command := c.newRootCommand()
	command.SetArgs(arguments)
	command.SetOut(environment.Stdout)
	command.SetErr(environment.Stderr)
	err := command.ExecuteContext(ctx)
	if err == nil {
		return ExitSuccess
	}
	// If standard error is not writable, the error cannot be reported.
	_, _ = fmt.Fprintf(environment.Stderr, "bulrushctl: %v\n", err)
	if !c.argumentsAccepted {
		return ExitUsage
	}
	return exitStatusOf(err)
}

func (c *cli) newRootCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "bulrushctl",
		Short: "Edit the catalogue and read the status of the load balancer",
		Long: "Edit the catalogue and read the status of the load balancer.\n\n" +
			"Exit status: 0 done, 1 failed, 2 usage, 3 lost a race, 4 outcome unknown.",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if err := c.checkFlags(); err != nil {
				return err
			}
			c.argumentsAccepted = true
			return nil
		},
	}
	command.CompletionOptions.DisableDefaultCmd = true
	flags := command.PersistentFlags()
	flags.StringVar(&c.storeURL, "store", c.Getenv(envStore), "base URL of the object store, or "+envStore)
	flags.StringVar(&c.nodeAddress, "node", c.Getenv(envNode), "operator address of a node, or "+envNode)
	flags.StringVar(&c.operator, "by", c.defaultOperator(), "operator's name to store with an edit, or "+envOperator)
	flags.DurationVar(&c.callTimeout, "timeout", defaultCallTimeout, "bound of each call to the store or node")
	flags.BoolVar(&c.jsonOutput, "json", false, "print JSON in place of tables")
	command.AddCommand(c.newValidateCommand(), c.newDiffCommand(), c.newApplyCommand(), c.newGetCommand(),
		c.newWithdrawCommand(), c.newReturnCommand(), c.newMoveCommand(), c.newStatusCommand(), c.newEventsCommand(),
		c.newExplainCommand(), c.newTenantsCommand(), c.newUsageCommand())
	return command
}

func (c *cli) defaultOperator() string {
	if name := c.Getenv(envOperator); name != "" {
		return name
	}
	return c.Getenv(envUser)
}

func (c *cli) checkFlags() error {
	if c.callTimeout < minCallTimeout || c.callTimeout > maxCallTimeout {
		return &bulrushchute.FieldError{Field: "--timeout", Value: c.callTimeout.String(), Allowed: "1ms to 1h"}
	}
	if c.storeURL == "" {
		return nil
	}
	parsed, err := url.Parse(c.storeURL)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return &bulrushchute.FieldError{Field: "--store", Value: c.storeURL, Allowed: "a URL such as http://10.0.0.1:8080"}
	}
	return nil
}

// store returns the store that the flags specify.
func (c *cli) store() (bulrushchute.Store, error) {
	if c.storeURL == "" {
		return nil, newUsageError("--store", "", "a base URL, also taken from "+envStore)
	}
	return c.OpenStore(c.storeURL, bulrushchute.MillisOf(c.callTimeout)), nil
}

// storeForEdit validates the operator's name, which is stored with each edit, and
// returns the store.
func (c *cli) storeForEdit() (bulrushchute.Store, error) {
	const maxOperatorRunes = 200
	if c.operator == "" || utf8.RuneCountInString(c.operator) > maxOperatorRunes {
		return nil, newUsageError("--by", c.operator, "an operator's name of 1 to 200 characters, also taken from "+envOperator+" or "+envUser)
	}
	return c.store()
}
