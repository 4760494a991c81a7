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

func (s *session) newWithdraw() *cobra.Command {
	return s.newStateCommand("withdraw DATA_CENTRE", "Take a data centre out: it gets no new work", bulrushcatalogue.DataCentreWithdrawn)
}

func (s *session) newReturn() *cobra.Command {
	return s.newStateCommand("return DATA_CENTRE", "Bring a data centre back, over its return_ramp_ms", bulrushcatalogue.DataCentreServing)
}

func (s *session) newStateCommand(use, short string, state bulrushcatalogue.DataCentreState) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			store, err := s.editor()
			if err != nil {
				return err
			}
			return s.edit(command.Context(), store, edit{
				kind:    bulrushchute.KindDataCentres,
				name:    arguments[0],
				guarded: []string{"state"},
				change: func(current document) (document, error) {
					entry := *current.dataCentre
					entry.State = state
					current.dataCentre = &entry
					return current, nil
				},
			})
		},
	}
}

// edit changes some fields of one stored entry. Fields that another operator
// changes meanwhile are kept, unless they are guarded: then the race is lost.
type edit struct {
	kind    bulrushchute.Kind
	name    string
	guarded []string
	change  func(current document) (document, error)
}

// guards reports whether a changed field is one that the edit must not overwrite.
func (e edit) guards(change bulrushcatalogue.Change) bool {
	return slices.ContainsFunc(e.guarded, func(field string) bool {
		return change.Field == field || strings.HasPrefix(change.Field, field+".")
	})
}

// editing is one run of an edit. It starts again from what was read after a conflict.
type editing struct {
	edit
	signed  bulrushcatalogue.LastChange
	first   *document
	edited  document
	changes bulrushcatalogue.Changes
}

func (s *session) edit(ctx context.Context, store bulrushchute.Store, wanted edit) error {
	run := editing{edit: wanted, signed: s.sign(), edited: document{kind: wanted.kind, name: wanted.name}}
	stored, err := bulrushstore.UpdateObject(ctx, store, wanted.kind, wanted.name, run.signed.Writer, run.mutate)
	if errors.Is(err, errUnchanged) {
		result := newResult(run.edited, nil, run.edited.version, nil)
		result.Outcome = OutcomeUnchanged
		return s.report([]EntryResult{result})
	}
	return s.report([]EntryResult{newResult(run.edited, run.changes, stored.Version, err)})
}

func (e *editing) mutate(object bulrushchute.Object) ([]byte, error) {
	current := parseDocument(object)
	if current.invalid != nil {
		return nil, errors.Wrapf(current.invalid, "stored entry %s is invalid, apply a whole entry", current.path())
	}
	if e.first == nil {
		e.first = &current
	} else if slices.ContainsFunc(e.first.changesTo(current), e.guards) {
		return nil, e.first.race(current, e.edited)
	}
	edited, err := e.change(current)
	if err != nil {
		return nil, err
	}
	e.edited = edited
	e.changes = current.changesTo(edited)
	if len(e.changes) == 0 {
		return nil, errUnchanged
	}
	if err := edited.validate(); err != nil {
		return nil, errors.Wrap(err, edited.path())
	}
	if err := current.checkChange(edited); err != nil {
		return nil, errors.Wrap(err, edited.path())
	}
	return edited.encode(e.signed)
}
