package bulrushcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// maxFileBytes leaves room for many entries, each of which the store bounds at 1 MB.
const maxFileBytes = 64 << 20

// Validation is the JSON output of validate.
type Validation struct {
	Services    int `json:"services"`
	DataCentres int `json:"data_centres"`
	BasedOn     int `json:"based_on"`
}

func (s *session) newValidate() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a catalogue file without the store",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			file, err := readFile(arguments[0])
			if err != nil {
				return err
			}
			result := Validation{Services: len(file.Services), DataCentres: len(file.DataCentres), BasedOn: len(file.BasedOn)}
			return s.print(result, func(w *tabwriter.Writer) {
				writeLine(w, fmt.Sprintf("valid: %d services, %d data centres", result.Services, result.DataCentres))
			})
		},
	}
}

func (s *session) newDiff() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what an apply of the file would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			file, err := readFile(arguments[0])
			if err != nil {
				return err
			}
			store, err := s.store()
			if err != nil {
				return err
			}
			steps, err := plan(command.Context(), store, file)
			if err != nil {
				return err
			}
			results := resultsOf(steps)
			for i := range results {
				if results[i].Outcome == OutcomeNotTried {
					results[i].Outcome = OutcomeWouldApply
				}
			}
			return s.report(results)
		},
	}
}

func (s *session) newApply() *cobra.Command {
	return &cobra.Command{
		Use:   "apply FILE",
		Short: "Store the entries of a catalogue file",
		Long: "Store the entries of a catalogue file, in its order.\n\n" +
			"Each entry is stored only if the store still holds the version on which it is based: that of based_on\n" +
			"in the file, as get --json prints it, or else the version that this command reads first. If an entry\n" +
			"cannot be applied, those after it are not tried.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			file, err := readFile(arguments[0])
			if err != nil {
				return err
			}
			store, err := s.editor()
			if err != nil {
				return err
			}
			steps, err := plan(command.Context(), store, file)
			if err != nil {
				return err
			}
			return s.report(s.apply(command.Context(), store, steps))
		},
	}
}

func readFile(path string) (bulrushcatalogue.File, error) {
	opened, err := os.Open(path)
	if err != nil {
		return bulrushcatalogue.File{}, errors.Wrap(err, "read the catalogue file")
	}
	defer func() { _ = opened.Close() }()
	data, err := io.ReadAll(io.LimitReader(opened, maxFileBytes))
	if err != nil {
		return bulrushcatalogue.File{}, errors.Wrap(err, "read the catalogue file")
	}
	file, err := bulrushcatalogue.ParseFile(data)
	return file, errors.Wrap(err, path)
}

// step is the planned edit of one entry.
type step struct {
	base    document
	current document
	edited  document
	changes bulrushcatalogue.Changes
	// err is why the entry cannot be applied.
	err error
}

// plan compares the entries of a file with the stored ones.
func plan(ctx context.Context, store bulrushchute.Store, file bulrushcatalogue.File) ([]step, error) {
	var steps []step
	for _, edited := range documentsOf(file) {
		current, err := read(ctx, store, edited.kind, edited.name)
		if err != nil {
			return nil, errors.Wrapf(err, "read %s, nothing was applied", edited.path())
		}
		next := step{base: current, current: current, edited: edited, changes: current.changesTo(edited)}
		if base, given := file.Base(edited.kind, edited.name); given {
			next.base = baseDocument(base)
		}
		if next.err = next.check(); next.err == nil {
			next.err = next.checkGeneration(ctx, store)
		}
		if next.err != nil && next.base.present() {
			// The operator's own changes, without those of a race's winner.
			next.changes = next.base.changesTo(edited)
		}
		steps = append(steps, next)
	}
	return steps, nil
}

// check leaves an entry alone that is already as the file wants it, whoever
// stored it.
func (st step) check() error {
	if st.unchanged() {
		return nil
	}
	if st.current.version != 0 && st.current.version < st.base.version {
		return olderError(st.base, st.current.version)
	}
	if st.current.version != st.base.version {
		return st.base.race(st.current, st.edited)
	}
	return errors.Wrap(st.current.checkChange(st.edited), st.edited.path())
}

// checkGeneration refuses a new move with the generation of an earlier one that
// is no longer in the entry. Nodes would take it for ended and never begin it.
func (st step) checkGeneration(ctx context.Context, store bulrushchute.Store) error {
	if st.edited.service == nil || st.edited.service.Move == nil {
		return nil
	}
	if st.current.service != nil && st.current.service.Move != nil {
		return nil
	}
	state, err := readMove(ctx, store, st.edited.name)
	if err != nil || state == nil || st.edited.service.Move.Generation > state.Generation {
		return err
	}
	return &bulrushchute.FieldError{
		Field:   st.edited.path() + " move.generation",
		Value:   strconv.FormatUint(st.edited.service.Move.Generation, 10),
		Allowed: fmt.Sprintf("more than %d, the generation of the service's last move", state.Generation),
	}
}

func (st step) unchanged() bool {
	return st.current.present() && len(st.changes) == 0
}

// resultsOf returns the results before anything is stored.
func resultsOf(steps []step) []EntryResult {
	results := make([]EntryResult, 0, len(steps))
	for _, st := range steps {
		result := newResult(st.edited, st.changes, st.current.version, st.err)
		if st.err == nil && st.unchanged() {
			result.Outcome = OutcomeUnchanged
		} else if st.err == nil {
			result.Outcome = OutcomeNotTried
		}
		results = append(results, result)
	}
	return results
}

// apply stores the entries in order up to the first that fails. If an entry is
// known beforehand to fail, nothing is stored.
func (s *session) apply(ctx context.Context, store bulrushchute.Store, steps []step) []EntryResult {
	results := resultsOf(steps)
	for _, result := range results {
		if result.err != nil {
			return results
		}
	}
	for i, st := range steps {
		if results[i].Outcome == OutcomeUnchanged {
			continue
		}
		version, err := s.put(ctx, store, st.base, st.edited)
		results[i] = newResult(st.edited, st.changes, version, err)
		if err != nil {
			break
		}
	}
	return results
}
