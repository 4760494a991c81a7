package bulrushcommand

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// ExitStatus is the exit status of the process.
type ExitStatus int

// Exit statuses. Scripts depend on the numbers.
const (
	ExitDone     ExitStatus = 0
	ExitFailed   ExitStatus = 1
	ExitUsage    ExitStatus = 2
	ExitLostRace ExitStatus = 3
	// ExitUnknown means that an edit may or may not be in effect.
	ExitUnknown ExitStatus = 4
)

// UsageError reports a flag or argument that is not allowed.
type UsageError struct {
	bulrushchute.FieldError
}

func usage(field, value, allowed string) error {
	return &UsageError{bulrushchute.FieldError{Field: field, Value: value, Allowed: allowed}}
}

// RaceError reports an edit that was not made because the entry is no longer
// at the version on which the edit is based.
type RaceError struct {
	Kind bulrushchute.Kind
	Name string
	// Based is the version on which the edit is based, Found the stored one.
	// Found is 0 if the entry was deleted.
	Based uint64
	Found uint64
	// By and AtMs tell who stored the found version and when, if it says so.
	By   string
	AtMs bulrushchute.Millis
	// Changes are the fields that differ between the two versions. They are
	// known only if BaseKnown is set; otherwise they are those that differ
	// between the stored entry and the edit.
	Changes   bulrushcatalogue.Changes
	BaseKnown bool
}

// Error implements error.
func (e *RaceError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s/%s: lost a race, nothing was overwritten\n", e.Kind, e.Name)
	fmt.Fprintf(&text, "  the edit is based on %s; %s\n", versionText(e.Based), e.foundText())
	if e.BaseKnown {
		text.WriteString("  fields that the other changed:\n")
	} else {
		text.WriteString("  fields in which the edit differs from the stored entry (the file carries no base entry):\n")
	}
	if len(e.Changes) == 0 {
		text.WriteString("    none\n")
	}
	for _, change := range e.Changes {
		fmt.Fprintf(&text, "    %s\n", change)
	}
	text.WriteString("  read the entry again with get, repeat the edit and apply it")
	return text.String()
}

func (e *RaceError) foundText() string {
	if e.Found == 0 {
		return "the entry was deleted, the store does not say by whom"
	}
	if e.By == "" {
		return fmt.Sprintf("version %d is stored, written without an operator's name", e.Found)
	}
	return fmt.Sprintf("version %d was stored by %s at %s", e.Found, e.By, timeText(e.AtMs))
}

func versionText(version uint64) string {
	if version == 0 {
		return "no stored entry"
	}
	return fmt.Sprintf("version %d", version)
}

// statusOf classifies the error of a command.
func statusOf(err error) ExitStatus {
	var (
		misuse    *UsageError
		race      *RaceError
		conflict  *bulrushchute.ConflictError
		ambiguous *bulrushchute.AmbiguousError
		apply     *ApplyError
	)
	switch {
	case errors.As(err, &apply):
		return apply.Status
	case errors.As(err, &misuse):
		return ExitUsage
	case errors.As(err, &ambiguous):
		return ExitUnknown
	case errors.As(err, &race) || errors.As(err, &conflict):
		return ExitLostRace
	default:
		return ExitFailed
	}
}
