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

// watchRetryDelay is the delay after a failed watch or list.
const watchRetryDelay = time.Second

// EventLine is the JSON output of one event, printed on one line.
type EventLine struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	bulrushmove.Event
}

func (c *cli) newEventsCommand() *cobra.Command {
	var follow bool
	command := &cobra.Command{
		Use:   "events",
		Short: "Show the outcomes of moves in the order of their announcement",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			store, err := c.store()
			if err != nil {
				return err
			}
			p := eventPrinter{cli: c, store: store}
			revision, err := p.printNew(command.Context())
			if err != nil || !follow {
				return err
			}
			return p.follow(command.Context(), revision)
		},
	}
	command.Flags().BoolVar(&follow, "follow", false, "go on with new events until interrupted")
	return command
}

// eventPrinter prints each stored event once, in the order of store versions.
type eventPrinter struct {
	*cli
	store bulrushchute.Store
	// lastPrinted is the highest store version that was printed.
	lastPrinted uint64
	// writeErr is the first error of a write to Stdout. No event is printed after
	// it.
	writeErr error
}

// printNew lists the events, prints those that have not been printed yet and
// returns the revision from which to watch for later ones.
func (p *eventPrinter) printNew(ctx context.Context) (uint64, error) {
	objects, revision, err := p.store.List(ctx, bulrushchute.KindEvents)
	if err != nil {
		return 0, err
	}
	slices.SortFunc(objects, func(a, b bulrushchute.Object) int { return cmp.Compare(a.Version, b.Version) })
	for _, object := range objects {
		p.printOnce(object)
	}
	return revision, p.writeErr
}

// follow prints new events until the context ends. After a failed watch it lists
// the events again, so that none stored in between is missed.
func (p *eventPrinter) follow(ctx context.Context, revision uint64) error {
	for {
		err := p.store.Watch(ctx, bulrushchute.KindEvents, revision, func(event bulrushchute.StoreEvent) {
			if !event.Deleted {
				p.printOnce(event.Object)
			}
		})
		if ctx.Err() != nil || p.writeErr != nil {
			return p.writeErr
		}
		revision, err = p.relist(ctx, err)
		if err != nil {
			return err
		}
	}
}

// relist lists the events again until a list succeeds, with a delay before each
// try. The first try has no delay if the watch failed because the store's history
// no longer reaches back to the revision from which it started.
func (p *eventPrinter) relist(ctx context.Context, cause error) (uint64, error) {
	var goneErr *bulrushstore.GoneError
	for {
		if !errors.As(cause, &goneErr) {
			_, _ = fmt.Fprintf(p.Stderr, "bulrushctl: watch ended, trying again: %v\n", cause)
			bulrushtask.Pause(ctx, watchRetryDelay)
		}
		revision, err := p.printNew(ctx)
		if err == nil || ctx.Err() != nil || p.writeErr != nil {
			return revision, p.writeErr
		}
		goneErr, cause = nil, err
	}
}

func (p *eventPrinter) printOnce(object bulrushchute.Object) {
	if object.Version <= p.lastPrinted || p.writeErr != nil {
		return
	}
	p.lastPrinted = object.Version
	p.writeErr = p.write(object)
}

func (p *eventPrinter) write(object bulrushchute.Object) error {
	line := EventLine{Name: object.Name, Version: object.Version}
	if err := json.Unmarshal(object.Value, &line.Event); err != nil {
		_, _ = fmt.Fprintf(p.Stderr, "bulrushctl: event %s is invalid: %v\n", object.Name, err)
		return nil
	}
	if p.jsonOutput {
		return errors.Wrap(json.NewEncoder(p.Stdout).Encode(line), "write the output")
	}
	_, err := fmt.Fprintf(p.Stdout, "%s  %s  %s  %s -> %s  %s\n",
		formatTime(line.AtMs), object.Name, line.Outcome, line.FromVersion, line.ToVersion, orDash(line.Reason))
	return errors.Wrap(err, "write the output")
}
