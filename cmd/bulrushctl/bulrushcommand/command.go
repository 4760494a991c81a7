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

// Names of the environment variables that stand in for flags.
const (
	envStore    = "BULRUSH_STORE"
	envNode     = "BULRUSH_NODE"
	envOperator = "BULRUSH_OPERATOR"
	envUser     = "USER"
)

const (
	defaultTimeout = 5 * time.Second
	minTimeout     = time.Millisecond
	maxTimeout     = time.Hour
)

// Environment is what the commands use of the world around them.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(name string) string
	Clock  bulrushchute.Clock
	// OpenStore returns the store at a base URL; each call is bounded by the timeout.
	OpenStore func(url string, timeout bulrushchute.Millis) bulrushchute.Store
}

// NewEnvironment returns the environment of the process.
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

// session is one run of a command with its flags.
type session struct {
	Environment
	storeURL string
	node     string
	operator string
	timeout  time.Duration
	json     bool
	// started is set once the arguments were accepted.
	started bool
}

// Run runs the command line and returns the exit status of the process.
func Run(ctx context.Context, environment Environment, arguments []string) ExitStatus {
	s := &session{Environment: environment}
	command := s.newCommand()
	command.SetArgs(arguments)
	command.SetOut(environment.Stdout)
	command.SetErr(environment.Stderr)
	err := command.ExecuteContext(ctx)
	if err == nil {
		return ExitDone
	}
	// Output that cannot be written has no other place to go.
	_, _ = fmt.Fprintf(environment.Stderr, "bulrushctl: %v\n", err)
	if !s.started {
		return ExitUsage
	}
	return statusOf(err)
}

func (s *session) newCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "bulrushctl",
		Short: "Edit the catalogue and read the status of the load balancer",
		Long: "Edit the catalogue and read the status of the load balancer.\n\n" +
			"Exit status: 0 done, 1 failed, 2 usage, 3 lost a race, 4 outcome unknown.",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if err := s.checkFlags(); err != nil {
				return err
			}
			s.started = true
			return nil
		},
	}
	command.CompletionOptions.DisableDefaultCmd = true
	flags := command.PersistentFlags()
	flags.StringVar(&s.storeURL, "store", s.Getenv(envStore), "base URL of the object store, or "+envStore)
	flags.StringVar(&s.node, "node", s.Getenv(envNode), "operator address of a node, or "+envNode)
	flags.StringVar(&s.operator, "by", s.defaultOperator(), "operator's name to store with an edit, or "+envOperator)
	flags.DurationVar(&s.timeout, "timeout", defaultTimeout, "bound of each call to the store or node")
	flags.BoolVar(&s.json, "json", false, "print JSON in place of tables")
	command.AddCommand(s.newValidate(), s.newDiff(), s.newApply(), s.newGet(), s.newWithdraw(), s.newReturn(),
		s.newMove(), s.newStatus(), s.newEvents(), s.newExplain())
	return command
}

func (s *session) defaultOperator() string {
	if name := s.Getenv(envOperator); name != "" {
		return name
	}
	return s.Getenv(envUser)
}

func (s *session) checkFlags() error {
	if s.timeout < minTimeout || s.timeout > maxTimeout {
		return &bulrushchute.FieldError{Field: "--timeout", Value: s.timeout.String(), Allowed: "1ms to 1h"}
	}
	if s.storeURL == "" {
		return nil
	}
	parsed, err := url.Parse(s.storeURL)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return &bulrushchute.FieldError{Field: "--store", Value: s.storeURL, Allowed: "a URL such as http://10.0.0.1:8080"}
	}
	return nil
}

// store returns the store that the flags name.
func (s *session) store() (bulrushchute.Store, error) {
	if s.storeURL == "" {
		return nil, usage("--store", "", "a base URL, also taken from "+envStore)
	}
	return s.OpenStore(s.storeURL, bulrushchute.MillisOf(s.timeout)), nil
}

// editor returns the store and checks that the operator has a name.
func (s *session) editor() (bulrushchute.Store, error) {
	const longestName = 200
	if s.operator == "" || utf8.RuneCountInString(s.operator) > longestName {
		return nil, usage("--by", s.operator, "an operator's name of 1 to 200 characters, also taken from "+envOperator+" or "+envUser)
	}
	return s.store()
}
