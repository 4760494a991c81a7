package bulrushcommand

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// Outcome is the result of an edit for one entry.
type Outcome string

// Outcomes of an edit.
const (
	OutcomeApplied   Outcome = "applied"
	OutcomeUnchanged Outcome = "unchanged"
	// OutcomeWouldApply is diff's outcome for an edit that apply would store.
	OutcomeWouldApply Outcome = "would_apply"
	OutcomeLostRace   Outcome = "lost_race"
	OutcomeFailed     Outcome = "failed"
	// OutcomeUnknown means that the edit may or may not be in effect.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeNotTried applies to the entries after the first failure, and to all
	// valid ones if an entry is known to fail before anything is stored.
	OutcomeNotTried Outcome = "not_tried"
)

// FieldChange is one changed field in JSON output.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// Race is a lost race in JSON output. The versions are store versions.
type Race struct {
	BasedOnVersion uint64              `json:"based_on_version"`
	StoredVersion  uint64              `json:"stored_version"`
	By             string              `json:"by,omitempty"`
	AtMs           bulrushchute.Millis `json:"at_ms,omitempty"`
	// BaseKnown is set if the changes are those of other operators. Otherwise
	// they are the differences between the stored entry and the edit.
	BaseKnown bool          `json:"base_known"`
	Changes   []FieldChange `json:"changes"`
}

// EntryResult is the result of an edit for one entry in JSON output.
type EntryResult struct {
	Kind    bulrushchute.Kind `json:"kind"`
	Name    string            `json:"name"`
	Outcome Outcome           `json:"outcome"`
	// Version is the store version of the entry, 0 if it is not known.
	Version uint64        `json:"version,omitempty"`
	Changes []FieldChange `json:"changes,omitempty"`
	Race    *Race         `json:"race,omitempty"`
	Error   string        `json:"error,omitempty"`

	// changes and err are the values from which Changes and Error are made.
	changes bulrushcatalogue.FieldChanges
	err     error
}

// EditResult is the JSON output of the commands that edit entries, and of diff.
type EditResult struct {
	Entries []EntryResult `json:"entries"`
}

// ApplyError reports that some entries were not applied, or that it is not known
// whether they were.
type ApplyError struct {
	Status     ExitStatus
	NotApplied int
	Total      int
}

// Error implements error.
func (e *ApplyError) Error() string {
	return fmt.Sprintf("%d of %d entries not applied or not known to be", e.NotApplied, e.Total)
}

func newResult(edited catalogueEntry, changes bulrushcatalogue.FieldChanges, version uint64, err error) EntryResult {
	result := EntryResult{Kind: edited.kind, Name: edited.name, Version: version, changes: changes, err: err}
	result.Changes = fieldChanges(changes)
	if err == nil {
		result.Outcome = OutcomeApplied
		return result
	}
	result.Error = err.Error()
	switch exitStatusOf(err) {
	case ExitLostRace:
		result.Outcome = OutcomeLostRace
	case ExitUnknown:
		result.Outcome = OutcomeUnknown
	default:
		result.Outcome = OutcomeFailed
	}
	var raceErr *RaceError
	if errors.As(err, &raceErr) {
		result.Race = &Race{
			BasedOnVersion: raceErr.BaseVersion, StoredVersion: raceErr.CurrentVersion, By: raceErr.By, AtMs: raceErr.AtMs,
			BaseKnown: raceErr.BaseKnown, Changes: fieldChanges(raceErr.Changes),
		}
	}
	return result
}

func fieldChanges(changes bulrushcatalogue.FieldChanges) []FieldChange {
	fields := make([]FieldChange, 0, len(changes))
	for _, change := range changes {
		fields = append(fields, FieldChange{Field: change.Field, Old: change.Old, New: change.New})
	}
	return fields
}

// report prints the results of an edit. If some entries are not known to be
// applied, it returns an ApplyError with the worst exit status among them.
func (c *cli) report(results []EntryResult) error {
	err := c.print(EditResult{Entries: results}, func(w *tabwriter.Writer) {
		for _, result := range results {
			result.print(w)
		}
	})
	if err != nil {
		return err
	}
	applyErr := &ApplyError{Total: len(results)}
	for _, result := range results {
		if result.err == nil && result.Outcome != OutcomeNotTried {
			continue
		}
		applyErr.NotApplied++
		if result.err != nil {
			applyErr.Status = worseStatus(applyErr.Status, exitStatusOf(result.err))
		}
	}
	if applyErr.NotApplied == 0 {
		return nil
	}
	return applyErr
}

// worseStatus returns the worse of two statuses: an unknown outcome is worse than a
// lost race, which is worse than any other failure.
func worseStatus(a, b ExitStatus) ExitStatus {
	return max(a, b)
}

func (er EntryResult) print(w *tabwriter.Writer) {
	line := fmt.Sprintf("%s/%s: %s", er.Kind, er.Name, er.Outcome)
	if er.Version != 0 && (er.Outcome == OutcomeApplied || er.Outcome == OutcomeUnchanged) {
		line += fmt.Sprintf(" at version %d", er.Version)
	}
	writeLine(w, line)
	indent := "  "
	if er.err != nil {
		writeLine(w, "  "+er.Error)
	}
	if er.Outcome == OutcomeUnknown {
		writeLine(w, "  read the entry with get before the edit is repeated")
	}
	if er.err != nil && len(er.changes) > 0 {
		writeLine(w, "  the edit:")
		indent = "    "
	}
	for _, change := range er.changes {
		writeLine(w, indent+change.String())
	}
}

// writeLine ignores write errors because print returns them when it flushes the
// writer.
func writeLine(w *tabwriter.Writer, line string) {
	_, _ = fmt.Fprintln(w, line)
}

// print writes the value as JSON, or calls printTable to write it as text.
func (c *cli) print(value any, printTable func(*tabwriter.Writer)) error {
	if c.jsonOutput {
		encoder := json.NewEncoder(c.Stdout)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "write the output")
	}
	const padding = 2
	w := tabwriter.NewWriter(c.Stdout, 0, 0, padding, ' ', 0)
	printTable(w)
	return errors.Wrap(w.Flush(), "write the output")
}

// formatTime formats an instant as RFC 3339 in UTC, or as - if it is 0.
func formatTime(instant bulrushchute.Millis) string {
	if instant == 0 {
		return "-"
	}
	return instant.Time().UTC().Format(time.RFC3339)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
