package bulrushchute

import (
	"cmp"
	"errors"
	"fmt"
)

// FieldError reports a value that is not allowed in a field of the settings, the
// catalogue or a message.
type FieldError struct {
	Field   string
	Value   string
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s: value %q is not allowed, want %s", e.Field, e.Value, e.Allowed)
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct {
	Kind Kind
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s/%s does not exist", e.Kind, e.Name)
}

// ExistsError reports a create of an object that already exists.
type ExistsError struct {
	Kind Kind
	Name string
}

// Error implements error.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("%s/%s already exists", e.Kind, e.Name)
}

// ConflictError reports a conditional update or delete of an object that another
// writer has changed.
type ConflictError struct {
	Kind Kind
	Name string
	// Version is the version on which the write was based.
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s/%s is no longer at version %d", e.Kind, e.Name, e.Version)
}

// LostRace reports whether an error means that a write had no effect because
// another writer was first.
func LostRace(err error) bool {
	var conflict *ConflictError
	var exists *ExistsError
	return errors.As(err, &conflict) || errors.As(err, &exists)
}

// UnavailableError reports a failed call to the store, or to the sink of usage
// reports, that certainly had no effect.
type UnavailableError struct {
	Operation string
	Cause     error
	// System is the system that was called, empty for the store.
	System string
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s unavailable during %s: %v", cmp.Or(e.System, "store"), e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// AmbiguousError reports a write whose response was lost, so that it may have
// taken effect. The writer must read the object back before it repeats the write,
// because the change could otherwise take effect twice.
type AmbiguousError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("answer lost during %s, the change may be in effect: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error {
	return e.Cause
}

// NotSentError reports an attempt that this node certainly did not send.
type NotSentError struct {
	Address Address
	Cause   error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("attempt not sent to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error {
	return e.Cause
}

// NoReplyError reports an attempt that was sent, or may have been, and that got
// no reply.
type NoReplyError struct {
	Address Address
	Cause   error
}

// Error implements error.
func (e *NoReplyError) Error() string {
	return fmt.Sprintf("no reply from %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NoReplyError) Unwrap() error {
	return e.Cause
}
