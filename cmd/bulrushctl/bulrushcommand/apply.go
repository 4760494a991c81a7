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

// maxFileBytes limits the size of a catalogue file. It allows many entries, each
// of which the store limits to 1 MiB.
const maxFileBytes = 64 << 20

// ValidationResult is the JSON output of validate: the number of elements in each
// section of the file.
type ValidationResult struct {
	Services    int `json:"services"`
	DataCentres int `json:"data_centres"`
	BasedOn     int `json:"based_on"`
}

func (c *cli) newValidateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a catalogue file without the store",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error {
			file, err := readCatalogueFile(arguments[0])
			if err != nil {
				return err
			}
			result := ValidationResult{Services: len(file.Services), DataCentres: len(file.DataCentres), BasedOn: len(file.BasedOn)}
			return c.print(result, func(w *tabwriter.Writer) {
				writeLine(w, fmt.Sprintf("valid: %d services, %d data centres", result.Services, result.DataCentres))
			})
		},
	}
}

func (c *cli) newDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what an apply of the file would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			file, err := readCatalogueFile(arguments[0])
			if err != nil {
				return err
			}
			store, err := c.store()
			if err != nil {
				return err
			}
			edits, err := planEdits(command.Context(), store, file)
			if err != nil {
				return err
			}
			results := plannedResults(edits)
			for i := range results {
				if results[i].Outcome == OutcomeNotTried {
					results[i].Outcome = OutcomeWouldApply
				}
			}
			return c.report(results)
		},
	}
}

func (c *cli) newApplyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "apply FILE",
		Short: "Store the entries of a catalogue file",
		Long: "Store the entries of a catalogue file, in its order.\n\n" +
			"Each entry is stored only if the store still holds the version on which it is based: that of based_on\n" +
			"in the file, as get --json prints it, or else the version that this command reads first. If an entry\n" +
			"cannot be applied, those after it are not tried.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			file, err := readCatalogueFile(arguments[0])
			if err != nil {
				return err
			}
			store, err := c.storeForEdit()
			if err != nil {
				return err
			}
			edits, err := planEdits(command.Context(), store, file)
			if err != nil {
				return err
			}
			return c.report(c.applyEdits(command.Context(), store, edits))
		},
	}
}

func readCatalogueFile(path string) (bulrushcatalogue.File, error) {
	f, err := os.Open(path)
	if err != nil {
		return bulrushcatalogue.File{}, errors.Wrap(err, "read the catalogue file")
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes))
	if err != nil {
		return bulrushcatalogue.File{}, errors.Wrap(err, "read the catalogue file")
	}
	file, err := bulrushcatalogue.ParseFile(data)
	return file, errors.Wrap(err, path)
}

// plannedEdit is the edit that a catalogue file makes to one entry.
type plannedEdit struct {
	// base is the state on which the edit is based, current the stored state and
	// edited the entry in the file.
	base    catalogueEntry
	current catalogueEntry
	edited  catalogueEntry
	// changes lists the fields in which edited differs from current, or from base
	// if the edit cannot be applied and the base entry is known.
	changes bulrushcatalogue.FieldChanges
	// err is the reason why the edit cannot be applied, nil if it can.
	err error
}

// planEdits compares the entries of a file with the stored entries.
func planEdits(ctx context.Context, store bulrushchute.Store, file bulrushcatalogue.File) ([]plannedEdit, error) {
	var edits []plannedEdit
	for _, edited := range fileEntries(file) {
		current, err := readEntry(ctx, store, edited.kind, edited.name)
		if err != nil {
			return nil, errors.Wrapf(err, "read %s, nothing was applied", edited.path())
		}
		planned := plannedEdit{base: current, current: current, edited: edited, changes: current.diff(edited)}
		if base, ok := file.Base(edited.kind, edited.name); ok {
			planned.base = baseEntry(base)
		}
		if planned.err = planned.check(); planned.err == nil {
			planned.err = planned.checkGeneration(ctx, store)
		}
		if planned.err != nil && planned.base.hasValue() {
			// Show only the operator's own changes, without those that
			// other operators have stored since.
			planned.changes = planned.base.diff(edited)
		}
		edits = append(edits, planned)
	}
	return edits, nil
}

// check rejects an edit whose base is not the current version, and a change that
// the catalogue does not allow. An entry that already matches the file passes,
// whoever stored it.
func (pe plannedEdit) check() error {
	if pe.unchanged() {
		return nil
	}
	if pe.current.version != 0 && pe.current.version < pe.base.version {
		return olderVersionError(pe.base, pe.current.version)
	}
	if pe.current.version != pe.base.version {
		return pe.base.raceError(pe.current, pe.edited)
	}
	return errors.Wrap(pe.current.checkChange(pe.edited), pe.edited.path())
}

// checkGeneration rejects a new move whose generation is not greater than that of
// an earlier move that is no longer in the entry. Nodes would consider the new
// move finished and never start it.
func (pe plannedEdit) checkGeneration(ctx context.Context, store bulrushchute.Store) error {
	if pe.edited.service == nil || pe.edited.service.Move == nil {
		return nil
	}
	if pe.current.service != nil && pe.current.service.Move != nil {
		return nil
	}
	state, err := readMoveState(ctx, store, pe.edited.name)
	if err != nil || state == nil || pe.edited.service.Move.Generation > state.Generation {
		return err
	}
	return &bulrushchute.FieldError{
		Field:   pe.edited.path() + " move.generation",
		Value:   strconv.FormatUint(pe.edited.service.Move.Generation, 10),
		Allowed: fmt.Sprintf("more than %d, the generation of the service's last move", state.Generation),
	}
}

func (pe plannedEdit) unchanged() bool {
	return pe.current.hasValue() && len(pe.changes) == 0
}

// plannedResults returns the results of the edits before any of them is stored.
func plannedResults(edits []plannedEdit) []EntryResult {
	results := make([]EntryResult, 0, len(edits))
	for _, pe := range edits {
		result := newResult(pe.edited, pe.changes, pe.current.version, pe.err)
		if pe.err == nil && pe.unchanged() {
			result.Outcome = OutcomeUnchanged
		} else if pe.err == nil {
			result.Outcome = OutcomeNotTried
		}
		results = append(results, result)
	}
	return results
}

// applyEdits stores the entries in order and stops at the first failure. If an
// edit is already known to fail, nothing is stored.
func (c *cli) applyEdits(ctx context.Context, store bulrushchute.Store, edits []plannedEdit) []EntryResult {
	results := plannedResults(edits)
	for _, result := range results {
		if result.err != nil {
			return results
		}
	}
	for i, pe := range edits {
		if results[i].Outcome == OutcomeUnchanged {
			continue
		}
		version, err := c.putEntry(ctx, store, pe.base, pe.edited)
		results[i] = newResult(pe.edited, pe.changes, version, err)
		if err != nil {
			break
		}
	}
	return results
}
