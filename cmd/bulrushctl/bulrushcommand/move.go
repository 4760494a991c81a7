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

// Bounds of the time for a move. Each of its six stages lasts at least 3 s.
const (
	minMoveTime = 30 * time.Second
	maxMoveTime = 30 * 24 * time.Hour
)

// guardedByMove are the fields that a move must not change unseen: the stable
// version decides from which version it starts.
var guardedByMove = []string{"move", "stable_version"}

// moveOrder is what an operator asks for.
type moveOrder struct {
	from       string
	to         string
	completeIn time.Duration
}

func (s *session) newMove() *cobra.Command {
	var order moveOrder
	command := &cobra.Command{
		Use:   "move SERVICE --to VERSION --complete-in DURATION",
		Short: "Move a service to another version in stages",
		Long: "Move a service to another version in stages. The move is completed within the given time or rolled back.\n" +
			"It starts from the version that the last move left in place, else from stable_version, else from --from.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if err := order.check(); err != nil {
				return err
			}
			return s.editMove(command.Context(), arguments[0], func(state *bulrushmove.State, version uint64, entry bulrushcatalogue.ServiceEntry) (bulrushcatalogue.ServiceEntry, error) {
				return order.start(s.Clock.Now(), state, version, entry)
			})
		},
	}
	flags := command.Flags()
	flags.StringVar(&order.to, "to", "", "version to move to")
	flags.StringVar(&order.from, "from", "", "version to move from, if the store does not tell")
	flags.DurationVar(&order.completeIn, "complete-in", 0, "time in which the move is completed or rolled back, 30s to 720h")
	command.AddCommand(s.newMoveCancel())
	return command
}

func (s *session) newMoveCancel() *cobra.Command {
	return &cobra.Command{
		Use:   "cancel SERVICE",
		Short: "Cancel a move: all requests go to the version it started from",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return s.editMove(command.Context(), arguments[0], cancelMove)
		},
	}
}

func (mo moveOrder) check() error {
	if mo.to == "" {
		return usage("--to", "", "a version")
	}
	if mo.completeIn < minMoveTime || mo.completeIn > maxMoveTime {
		return usage("--complete-in", mo.completeIn.String(), "30s to 720h")
	}
	return nil
}

// changeMove returns an entry, stored at a version, with another move. The
// state is that of the service's latest move, nil if there never was one.
type changeMove func(state *bulrushmove.State, version uint64, entry bulrushcatalogue.ServiceEntry) (bulrushcatalogue.ServiceEntry, error)

func (s *session) editMove(ctx context.Context, service string, change changeMove) error {
	store, err := s.editor()
	if err != nil {
		return err
	}
	state, err := readMove(ctx, store, service)
	if err != nil {
		return err
	}
	return s.edit(ctx, store, edit{
		kind:    bulrushchute.KindServices,
		name:    service,
		guarded: guardedByMove,
		change: func(current document) (document, error) {
			entry, err := change(state, current.version, *current.service)
			current.service = &entry
			return current, err
		},
	})
}

// readMove returns the state of a service's latest move, nil if there never was one.
func readMove(ctx context.Context, store bulrushchute.Store, service string) (*bulrushmove.State, error) {
	object, err := store.Get(ctx, bulrushchute.KindMoves, service)
	var missing *bulrushchute.NotFoundError
	if errors.As(err, &missing) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	state, err := bulrushmove.ParseState(object)
	return &state, err
}

// start returns the entry with a new move. Its stable version becomes the one
// from which the move starts, so that a cancelled move leaves that in place.
func (mo moveOrder) start(now bulrushchute.Millis, state *bulrushmove.State, version uint64, entry bulrushcatalogue.ServiceEntry) (bulrushcatalogue.ServiceEntry, error) {
	if underWay(state, entry.Move) {
		return entry, errors.Errorf("services/%s: move %d from %s to %s is under way, cancel it first",
			entry.Service, entry.Move.Generation, entry.Move.FromVersion, entry.Move.ToVersion)
	}
	from := mo.startVersion(state, entry)
	if from == "" {
		return entry, usage("--from", "", "a version, since the service has no stable_version")
	}
	if string(from) == mo.to {
		return entry, usage("--to", mo.to, "a version other than the one in place, "+string(from))
	}
	entry.StableVersion = from
	entry.Move = &bulrushcatalogue.Move{
		Generation:   max(lastGeneration(state, entry.Move), version) + 1,
		FromVersion:  from,
		ToVersion:    bulrushchute.Version(mo.to),
		CompleteByMs: now + bulrushchute.MillisOf(mo.completeIn),
	}
	return entry, nil
}

func (mo moveOrder) startVersion(state *bulrushmove.State, entry bulrushcatalogue.ServiceEntry) bulrushchute.Version {
	switch {
	case mo.from != "":
		return bulrushchute.Version(mo.from)
	case entry.Move == nil:
		return entry.StableVersion
	case completed(state, entry.Move):
		return entry.Move.ToVersion
	default:
		return entry.Move.FromVersion
	}
}

func underWay(state *bulrushmove.State, move *bulrushcatalogue.Move) bool {
	if move == nil {
		return false
	}
	if state == nil || state.Generation < move.Generation {
		return true
	}
	return state.Generation == move.Generation && state.Outcome == bulrushmove.OutcomeNone
}

func completed(state *bulrushmove.State, move *bulrushcatalogue.Move) bool {
	return state != nil && state.Generation == move.Generation && state.Outcome == bulrushmove.OutcomeCompleted
}

// lastGeneration is the highest generation that the store holds of the service.
// A move that was cancelled before a node began it is in neither place. The
// entry's version covers it: a generation is at most one more than the version
// that it replaces, so every later version is as high.
func lastGeneration(state *bulrushmove.State, move *bulrushcatalogue.Move) uint64 {
	last := uint64(0)
	if state != nil {
		last = state.Generation
	}
	if move != nil {
		last = max(last, move.Generation)
	}
	return last
}

// cancelMove returns the entry without its move. Without a stable version all
// versions would get requests, so it becomes the one the move started from.
func cancelMove(state *bulrushmove.State, _ uint64, entry bulrushcatalogue.ServiceEntry) (bulrushcatalogue.ServiceEntry, error) {
	if entry.Move == nil {
		return entry, errors.Errorf("services/%s has no move", entry.Service)
	}
	if completed(state, entry.Move) {
		return entry, errors.Errorf("services/%s: move %d to %s is completed, move to %s instead",
			entry.Service, entry.Move.Generation, entry.Move.ToVersion, entry.Move.FromVersion)
	}
	entry.StableVersion = entry.Move.FromVersion
	entry.Move = nil
	return entry, nil
}
