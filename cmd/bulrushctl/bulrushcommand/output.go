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

// Outcome is what became of one entry of an edit.
type Outcome string

// Outcomes of an entry.
const (
	OutcomeApplied   Outcome = "applied"
	OutcomeUnchanged Outcome = "unchanged"
	// OutcomeWouldApply is that of a diff.
	OutcomeWouldApply Outcome = "would_apply"
	OutcomeLostRace   Outcome = "lost_race"
	OutcomeFailed     Outcome = "failed"
	// OutcomeUnknown means that the edit may or may not be in effect.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeNotTried is that of the entries after the first that was not applied.
	OutcomeNotTried Outcome = "not_tried"
)

// FieldChange is one changed field in JSON output.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// Race is a lost race in JSON output. The versions are those of the store.
type Race struct {
	BasedOnVersion uint64              `json:"based_on_version"`
	StoredVersion  uint64              `json:"stored_version"`
	By             string              `json:"by,omitempty"`
	AtMs           bulrushchute.Millis `json:"at_ms,omitempty"`
	// BaseKnown tells that the changes are those of the other operator.
	// Otherwise they are the differences between the stored entry and the edit.
	BaseKnown bool          `json:"base_known"`
	Changes   []FieldChange `json:"changes"`
}

// EntryResult is what became of one entry.
type EntryResult struct {
	Kind    bulrushchute.Kind `json:"kind"`
	Name    string            `json:"name"`
	Outcome Outcome           `json:"outcome"`
	// Version is the store's version of the entry, 0 if it is not known.
	Version uint64        `json:"version,omitempty"`
	Changes []FieldChange `json:"changes,omitempty"`
	Race    *Race         `json:"race,omitempty"`
	Error   string        `json:"error,omitempty"`

	changes bulrushcatalogue.Changes
	err     error
}

// EditResult is the JSON output of an edit.
type EditResult struct {
	Entries []EntryResult `json:"entries"`
}

// ApplyError reports that not all entries were applied.
type ApplyError struct {
	Status  ExitStatus
	Missing int
	Total   int
}

// Error implements error.
func (e *ApplyError) Error() string {
	return fmt.Sprintf("%d of %d entries not applied or not known to be", e.Missing, e.Total)
}

func newResult(edited document, changes bulrushcatalogue.Changes, version uint64, err error) EntryResult {
	result := EntryResult{Kind: edited.kind, Name: edited.name, Version: version, changes: changes, err: err}
	result.Changes = fieldChanges(changes)
	if err == nil {
		result.Outcome = OutcomeApplied
		return result
	}
	result.Error = err.Error()
	switch statusOf(err) {
	case ExitLostRace:
		result.Outcome = OutcomeLostRace
	case ExitUnknown:
		result.Outcome = OutcomeUnknown
	default:
		result.Outcome = OutcomeFailed
	}
	var race *RaceError
	if errors.As(err, &race) {
		result.Race = &Race{
			BasedOnVersion: race.Based, StoredVersion: race.Found, By: race.By, AtMs: race.AtMs,
			BaseKnown: race.BaseKnown, Changes: fieldChanges(race.Changes),
		}
	}
	return result
}

func fieldChanges(changes bulrushcatalogue.Changes) []FieldChange {
	fields := make([]FieldChange, 0, len(changes))
	for _, change := range changes {
		fields = append(fields, FieldChange{Field: change.Field, Old: change.Old, New: change.New})
	}
	return fields
}

// report prints the results of an edit and returns its error, the most
// doubtful one first.
func (s *session) report(results []EntryResult) error {
	err := s.print(EditResult{Entries: results}, func(w *tabwriter.Writer) {
		for _, result := range results {
			result.print(w)
		}
	})
	if err != nil {
		return err
	}
	failed := &ApplyError{Total: len(results)}
	for _, result := range results {
		if result.err == nil && result.Outcome != OutcomeNotTried {
			continue
		}
		failed.Missing++
		if result.err != nil {
			failed.Status = worse(failed.Status, statusOf(result.err))
		}
	}
	if failed.Missing == 0 {
		return nil
	}
	return failed
}

// worse ranks unknown outcomes over lost races over other failures.
func worse(one, other ExitStatus) ExitStatus {
	return max(one, other)
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

// writeLine writes to a buffer whose errors are reported when it is flushed.
func writeLine(w *tabwriter.Writer, line string) {
	_, _ = fmt.Fprintln(w, line)
}

// print writes a value as JSON or by the table function.
func (s *session) print(value any, table func(*tabwriter.Writer)) error {
	if s.json {
		encoder := json.NewEncoder(s.Stdout)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "write the output")
	}
	const padding = 2
	w := tabwriter.NewWriter(s.Stdout, 0, 0, padding, ' ', 0)
	table(w)
	return errors.Wrap(w.Flush(), "write the output")
}

// timeText shows an instant, or - if there is none.
func timeText(at bulrushchute.Millis) string {
	if at == 0 {
		return "-"
	}
	return at.Time().UTC().Format(time.RFC3339)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
