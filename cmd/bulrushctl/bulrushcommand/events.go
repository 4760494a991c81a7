package bulrushcommand

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushmove"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// followRetry is the pause after a watch or list failed.
const followRetry = time.Second

// EventLine is one announcement. With --json, each is one line.
type EventLine struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	bulrushmove.Event
}

func (s *session) newEvents() *cobra.Command {
	var follow bool
	command := &cobra.Command{
		Use:   "events",
		Short: "Show the outcomes of moves in the order of their announcement",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			store, err := s.store()
			if err != nil {
				return err
			}
			f := follower{session: s, store: store}
			revision, err := f.list(command.Context())
			if err != nil || !follow {
				return err
			}
			return f.follow(command.Context(), revision)
		},
	}
	command.Flags().BoolVar(&follow, "follow", false, "go on with new events until interrupted")
	return command
}

// follower prints each event once.
type follower struct {
	*session
	store bulrushchute.Store
	// printed is the highest version that was printed.
	printed uint64
	failed  error
}

// list prints the events that are not yet printed and returns the revision
// from which a watch misses none.
func (f *follower) list(ctx context.Context) (uint64, error) {
	objects, revision, err := f.store.List(ctx, bulrushchute.KindEvents)
	if err != nil {
		return 0, err
	}
	slices.SortFunc(objects, func(a, b bulrushchute.Object) int { return cmp.Compare(a.Version, b.Version) })
	for _, object := range objects {
		f.show(object)
	}
	return revision, f.failed
}

// follow watches until the context ends. After a failed watch it lists again,
// so that events of the meantime are not missed.
func (f *follower) follow(ctx context.Context, revision uint64) error {
	for {
		err := f.store.Watch(ctx, bulrushchute.KindEvents, revision, func(event bulrushchute.StoreEvent) {
			if !event.Deleted {
				f.show(event.Object)
			}
		})
		if ctx.Err() != nil || f.failed != nil {
			return f.failed
		}
		revision, err = f.resume(ctx, err)
		if err != nil {
			return err
		}
	}
}

func (f *follower) resume(ctx context.Context, cause error) (uint64, error) {
	var gone *bulrushstore.GoneError
	for {
		if !errors.As(cause, &gone) {
			_, _ = fmt.Fprintf(f.Stderr, "bulrushctl: watch ended, trying again: %v\n", cause)
			bulrushtask.Pause(ctx, followRetry)
		}
		revision, err := f.list(ctx)
		if err == nil || ctx.Err() != nil || f.failed != nil {
			return revision, f.failed
		}
		gone, cause = nil, err
	}
}

func (f *follower) show(object bulrushchute.Object) {
	if object.Version <= f.printed || f.failed != nil {
		return
	}
	f.printed = object.Version
	f.failed = f.write(object)
}

func (f *follower) write(object bulrushchute.Object) error {
	line := EventLine{Name: object.Name, Version: object.Version}
	if err := json.Unmarshal(object.Value, &line.Event); err != nil {
		_, _ = fmt.Fprintf(f.Stderr, "bulrushctl: event %s is invalid: %v\n", object.Name, err)
		return nil
	}
	if f.json {
		return errors.Wrap(json.NewEncoder(f.Stdout).Encode(line), "write the output")
	}
	_, err := fmt.Fprintf(f.Stdout, "%s  %s  %s  %s -> %s  %s\n",
		timeText(line.AtMs), object.Name, line.Outcome, line.FromVersion, line.ToVersion, orDash(line.Reason))
	return errors.Wrap(err, "write the output")
}
