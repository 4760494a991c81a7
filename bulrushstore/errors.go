package bulrushstore

import (
	"fmt"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// GoneError reports a watch from a revision that the store no longer holds.
// The caller lists the kind again and watches from the list's revision.
type GoneError struct {
	Kind     bulrushchute.Kind
	Revision uint64
}

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("revision %d of %s is too old to watch from", e.Revision, e.Kind)
}

// WatchEndedError reports a watch that the store ended in order, after it had
// told all changes up to a revision.
type WatchEndedError struct {
	Revision uint64
}

// Error implements error.
func (e *WatchEndedError) Error() string {
	return fmt.Sprintf("watch ended at revision %d", e.Revision)
}

// StatusError reports an HTTP status with which the store refused a call.
type StatusError struct {
	Code    int
	Reason  string
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("store answered %d %s: %s", e.Code, e.Reason, e.Message)
}

// Causes of errors.
var (
	errDown       = errors.New("store is down")
	errAnswerLost = errors.New("answer lost")
	errWatchEnded = errors.New("watch ended")
	errWatchIdle  = errors.New("nothing came on the watch, not even a bookmark")
)

func tooLargeError(size int) error {
	return &bulrushchute.FieldError{
		Field:   "value",
		Value:   fmt.Sprintf("%d bytes", size),
		Allowed: fmt.Sprintf("at most %d bytes", bulrushchute.MaxObjectBytes),
	}
}
