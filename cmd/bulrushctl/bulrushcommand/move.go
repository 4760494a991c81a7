package bulrushcommand

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushmove"
)

// Limits of the duration of a move. It has six stages after the initial share of
// 0, each of which lasts at least 3 s.
const (
	minMoveDuration = 30 * time.Second
	maxMoveDuration = 30 * 24 * time.Hour
)

// moveConflictFields are the fields whose concurrent change makes the edit of a
// move fail. The stable version is one of them because it can decide from which
// version the move starts.
var moveConflictFields = []string{"move", "stable_version"}

// moveOptions holds the flags of the move command.
type moveOptions struct {
	from       string
	to         string
	completeIn time.Duration
}

func (c *cli) newMoveCommand() *cobra.Command {
	var options moveOptions
	command := &cobra.Command{
		Use:   "move SERVICE --to VERSION --complete-in DURATION",
		Short: "Move a service to another version in stages",
		Long: "Move a service to another version in stages. The move is completed within the given time or rolled back.\n" +
			"It starts from the version that the last move left in place, else from stable_version, else from --from.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if err := options.check(); err != nil {
				return err
			}
			return c.editMove(command.Context(), arguments[0], func(state *bulrushmove.State, storeVersion uint64, entry bulrushcatalogue.ServiceEntry) (bulrushcatalogue.ServiceEntry, error) {
				return options.startMove(c.Clock.Now(), state, storeVersion, entry)
			})
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.to, "to", "", "version to move to")
	flags.StringVar(&options.from, "from", "", "version to move from, if the store does not tell")
	flags.DurationVar(&options.completeIn, "complete-in", 0, "time in which the move is completed or rolled back, 30s to 720h")
	command.AddCommand(c.newMoveCancelCommand())
	return command
}

func (c *cli) newMoveCancelCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "cancel SERVICE",
		Short: "Cancel a move: all requests go to the version it started from",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return c.editMove(command.Context(), arguments[0], cancelMove)
		},
	}
}

func (mo moveOptions) check() error {
	if mo.to == "" {
		return newUsageError("--to", "", "a version")
	}
	if mo.completeIn < minMoveDuration || mo.completeIn > maxMoveDuration {
		return newUsageError("--complete-in", mo.completeIn.String(), "30s to 720h")
	}
	return nil
}

// moveEdit returns a copy of an entry, stored at storeVersion, with its move
// changed. The state is that of the service's latest move, nil if it never had
// one.
type moveEdit func(state *bulrushmove.State, storeVersion uint64, entry bulrushcatalogue.ServiceEntry) (bulrushcatalogue.ServiceEntry, error)

func (c *cli) editMove(ctx context.Context, service string, edit moveEdit) error {
	store, err := c.storeForEdit()
	if err != nil {
		return err
	}
	state, err := readMoveState(ctx, store, service)
	if err != nil {
		return err
	}
	return c.editEntry(ctx, store, fieldEdit{
		kind:           bulrushchute.KindServices,
		name:           service,
		conflictFields: moveConflictFields,
		modify: func(current catalogueEntry) (catalogueEntry, error) {
			entry, err := edit(state, current.version, *current.service)
			current.service = &entry
			return current, err
		},
	})
}

// readMoveState returns the state of a service's latest move, nil if it never had
// one.
func readMoveState(ctx context.Context, store bulrushchute.Store, service string) (*bulrushmove.State, error) {
	object, err := store.Get(ctx, bulrushchute.KindMoves, service)
	var notFound *bulrushchute.NotFoundError
	if errors.As(err, &notFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	state, err := bulrushmove.ParseState(object)
	return &state, err
}

// startMove returns the entry with a new move. The stable version is set to the
// version from which the move starts, so that a cancelled move leaves that version
// in place.
func (mo moveOptions) startMove(now bulrushchute.Millis, state *bulrushmove.State, storeVersion uint64, entry bulrushcatalogue.ServiceEntry) (bulrushcatalogue.ServiceEntry, error) {
	if inProgress(state, entry.Move) {
		return entry, errors.Errorf("services/%s: move %d from %s to %s is under way, cancel it first",
			entry.Service, entry.Move.Generation, entry.Move.FromVersion, entry.Move.ToVersion)
	}
	from := mo.fromVersion(state, entry)
	if from == "" {
		return entry, newUsageError("--from", "", "a version, since the service has no stable_version")
	}
	if string(from) == mo.to {
		return entry, newUsageError("--to", mo.to, "a version other than the one in place, "+string(from))
	}
	entry.StableVersion = from
	entry.Move = &bulrushcatalogue.Move{
		Generation:   max(highestGeneration(state, entry.Move), storeVersion) + 1,
		FromVersion:  from,
		ToVersion:    bulrushchute.Version(mo.to),
		CompleteByMs: now + bulrushchute.MillisOf(mo.completeIn),
	}
	return entry, nil
}

func (mo moveOptions) fromVersion(state *bulrushmove.State, entry bulrushcatalogue.ServiceEntry) bulrushchute.Version {
	switch {
	case mo.from != "":
		return bulrushchute.Version(mo.from)
	case entry.Move == nil:
		return entry.StableVersion
	case isCompleted(state, entry.Move):
		return entry.Move.ToVersion
	default:
		return entry.Move.FromVersion
	}
}

// inProgress reports whether the entry has a move without an outcome, including one
// that no node has started yet.
func inProgress(state *bulrushmove.State, move *bulrushcatalogue.Move) bool {
	if move == nil {
		return false
	}
	if state == nil || state.Generation < move.Generation {
		return true
	}
	return state.Generation == move.Generation && state.Outcome == bulrushmove.OutcomeNone
}

func isCompleted(state *bulrushmove.State, move *bulrushcatalogue.Move) bool {
	return state != nil && state.Generation == move.Generation && state.Outcome == bulrushmove.OutcomeCompleted
}

// highestGeneration returns the highest generation in a service's move state and
// entry. A move that was cancelled before any node started it appears in neither.
// For this case, startMove also takes the entry's store version into account.
// Unless a file has set a higher one, a generation is at most one more than the
// store version of the entry before the edit, so every later store version is at
// least as high.
func highestGeneration(state *bulrushmove.State, move *bulrushcatalogue.Move) uint64 {
	highest := uint64(0)
	if state != nil {
		highest = state.Generation
	}
	if move != nil {
		highest = max(highest, move.Generation)
	}
	return highest
}

// cancelMove returns the entry without its move. The stable version is set to the
// version from which the move started, because without a stable version all
// versions would receive requests.
func cancelMove(state *bulrushmove.State, _ uint64, entry bulrushcatalogue.ServiceEntry) (bulrushcatalogue.ServiceEntry, error) {
	if entry.Move == nil {
		return entry, errors.Errorf("services/%s has no move", entry.Service)
	}
	if isCompleted(state, entry.Move) {
		return entry, errors.Errorf("services/%s: move %d to %s is completed, move to %s instead",
			entry.Service, entry.Move.Generation, entry.Move.ToVersion, entry.Move.FromVersion)
	}
	entry.StableVersion = entry.Move.FromVersion
	entry.Move = nil
	return entry, nil
}
