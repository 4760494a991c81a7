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

// Exit statuses. The numbers are part of the interface that scripts depend on.
const (
	ExitSuccess  ExitStatus = 0
	ExitFailed   ExitStatus = 1
	ExitUsage    ExitStatus = 2
	ExitLostRace ExitStatus = 3
	// ExitUnknown means that an edit may or may not be in effect.
	ExitUnknown ExitStatus = 4
)

// UsageError reports an invalid flag or argument.
type UsageError struct {
	bulrushchute.FieldError
}

func newUsageError(field, value, allowed string) error {
	return &UsageError{bulrushchute.FieldError{Field: field, Value: value, Allowed: allowed}}
}

// RaceError reports an edit that was rejected because the entry is no longer at
// the version on which the edit is based.
type RaceError struct {
	Kind bulrushchute.Kind
	Name string
	// BaseVersion is the store version on which the edit is based,
	// CurrentVersion the one now stored. CurrentVersion is 0 if the entry was
	// deleted.
	BaseVersion    uint64
	CurrentVersion uint64
	// By and AtMs are the author and time of the current version. They are zero
	// if the entry does not contain them.
	By   string
	AtMs bulrushchute.Millis
	// Changes lists the fields that differ between the two versions if BaseKnown
	// is set. Otherwise the base entry is not known, and Changes lists the
	// differences between the stored entry and the edit.
	Changes   bulrushcatalogue.FieldChanges
	BaseKnown bool
}

// Error implements error.
func (e *RaceError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s/%s: lost a race, nothing was overwritten\n", e.Kind, e.Name)
	fmt.Fprintf(&text, "  the edit is based on %s; %s\n", formatVersion(e.BaseVersion), e.describeCurrent())
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

func (e *RaceError) describeCurrent() string {
	if e.CurrentVersion == 0 {
		return "the entry was deleted, the store does not say by whom"
	}
	if e.By == "" {
		return fmt.Sprintf("version %d is stored, written without an operator's name", e.CurrentVersion)
	}
	return fmt.Sprintf("version %d was stored by %s at %s", e.CurrentVersion, e.By, formatTime(e.AtMs))
}

func formatVersion(version uint64) string {
	if version == 0 {
		return "no stored entry"
	}
	return fmt.Sprintf("version %d", version)
}

// exitStatusOf returns the exit status for the error of a command.
func exitStatusOf(err error) ExitStatus {
	var (
		usageErr     *UsageError
		raceErr      *RaceError
		conflictErr  *bulrushchute.ConflictError
		ambiguousErr *bulrushchute.AmbiguousError
		applyErr     *ApplyError
	)
	switch {
	case errors.As(err, &applyErr):
		return applyErr.Status
	case errors.As(err, &usageErr):
		return ExitUsage
	case errors.As(err, &ambiguousErr):
		return ExitUnknown
	case errors.As(err, &raceErr) || errors.As(err, &conflictErr):
		return ExitLostRace
	default:
		return ExitFailed
	}
}
