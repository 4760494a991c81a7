package bulrushcommand

import (
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
	"bulrushchute.example/bulrushchute/bulrushstore"
)

func (c *cli) newWithdrawCommand() *cobra.Command {
	return c.newDataCentreStateCommand("withdraw DATA_CENTRE", "Take a data centre out: it gets no new work", bulrushcatalogue.DataCentreWithdrawn)
}

func (c *cli) newReturnCommand() *cobra.Command {
	return c.newDataCentreStateCommand("return DATA_CENTRE", "Bring a data centre back, over its return_ramp_ms", bulrushcatalogue.DataCentreServing)
}

func (c *cli) newDataCentreStateCommand(use, short string, state bulrushcatalogue.DataCentreState) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			store, err := c.storeForEdit()
			if err != nil {
				return err
			}
			return c.editEntry(command.Context(), store, fieldEdit{
				kind:           bulrushchute.KindDataCentres,
				name:           arguments[0],
				conflictFields: []string{"state"},
				modify: func(current catalogueEntry) (catalogueEntry, error) {
					entry := *current.dataCentre
					entry.State = state
					current.dataCentre = &entry
					return current, nil
				},
			})
		},
	}
}

// fieldEdit changes some fields of one stored entry. Concurrent changes by other
// operators are kept, but a concurrent change of a conflict field makes the edit
// fail with a *RaceError.
type fieldEdit struct {
	kind           bulrushchute.Kind
	name           string
	conflictFields []string
	modify         func(current catalogueEntry) (catalogueEntry, error)
}

// conflictsWith reports whether a concurrent change affects a conflict field. A
// conflict field includes the fields below it.
func (e fieldEdit) conflictsWith(change bulrushcatalogue.FieldChange) bool {
	return slices.ContainsFunc(e.conflictFields, func(field string) bool {
		return change.Field == field || strings.HasPrefix(change.Field, field+".")
	})
}

// editRun is one execution of a fieldEdit. After a version conflict, the entry is
// read again and the edit is repeated on it.
type editRun struct {
	fieldEdit
	lastChange bulrushcatalogue.LastChange
	// firstRead is the entry as it was read first. Its differences from a later
	// read are the concurrent changes.
	firstRead *catalogueEntry
	edited    catalogueEntry
	changes   bulrushcatalogue.FieldChanges
}

func (c *cli) editEntry(ctx context.Context, store bulrushchute.Store, requested fieldEdit) error {
	run := editRun{fieldEdit: requested, lastChange: c.newLastChange(), edited: catalogueEntry{kind: requested.kind, name: requested.name}}
	stored, err := bulrushstore.UpdateObject(ctx, store, requested.kind, requested.name, run.lastChange.Writer, run.mutate)
	if errors.Is(err, errUnchanged) {
		result := newResult(run.edited, nil, run.edited.version, nil)
		result.Outcome = OutcomeUnchanged
		return c.report([]EntryResult{result})
	}
	return c.report([]EntryResult{newResult(run.edited, run.changes, stored.Version, err)})
}

func (e *editRun) mutate(object bulrushchute.Object) ([]byte, error) {
	current := parseEntry(object)
	if current.parseErr != nil {
		return nil, errors.Wrapf(current.parseErr, "stored entry %s is invalid, apply a whole entry", current.path())
	}
	if e.firstRead == nil {
		e.firstRead = &current
	} else if slices.ContainsFunc(e.firstRead.diff(current), e.conflictsWith) {
		return nil, e.firstRead.raceError(current, e.edited)
	}
	edited, err := e.modify(current)
	if err != nil {
		return nil, err
	}
	e.edited = edited
	e.changes = current.diff(edited)
	if len(e.changes) == 0 {
		return nil, errUnchanged
	}
	if err := edited.validate(); err != nil {
		return nil, errors.Wrap(err, edited.path())
	}
	if err := current.checkChange(edited); err != nil {
		return nil, errors.Wrap(err, edited.path())
	}
	return edited.encode(e.lastChange)
}
