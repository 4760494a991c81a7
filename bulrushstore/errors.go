package bulrushstore

import (
	"fmt"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// GoneError reports a watch from a revision that is older than the store's
// history. The caller lists the kind again and watches from the revision of
// the list.
type GoneError struct {
	Kind     bulrushchute.Kind
	Revision uint64
}

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("revision %d of %s is too old to watch from", e.Revision, e.Kind)
}

// WatchEndedError reports a watch that ended without a failure, after the store
// had sent all changes up to Revision. Client and Memory do not return it; a
// store that implements watches by long polling does.
type WatchEndedError struct {
	Revision uint64
}

// Error implements error.
func (e *WatchEndedError) Error() string {
	return fmt.Sprintf("watch ended at revision %d", e.Revision)
}

// StatusError reports an HTTP status with which the store rejected a call.
type StatusError struct {
	Code    int
	Reason  string
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("store answered %d %s: %s", e.Code, e.Reason, e.Message)
}

// Causes wrapped by the errors of Store calls.
var (
	errStoreDown        = errors.New("store is down")
	errResponseLost     = errors.New("response lost")
	errWatchStreamEnded = errors.New("watch ended")
	errWatchIdle        = errors.New("nothing came on the watch, not even a bookmark")
)

func tooLargeError(size int) error {
	return &bulrushchute.FieldError{
		Field:   "value",
		Value:   fmt.Sprintf("%d bytes", size),
		Allowed: fmt.Sprintf("at most %d bytes", bulrushchute.MaxObjectBytes),
	}
}
