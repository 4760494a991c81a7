package bulrushchute

import (
	"errors"
	"fmt"
)

// FieldError reports a field of settings, catalogue or a message whose value
// is not allowed.
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

// ConflictError reports a conditional update that lost to another writer.
type ConflictError struct {
	Kind Kind
	Name string
	// Version is the version that the update was based on.
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s/%s is no longer at version %d", e.Kind, e.Name, e.Version)
}

// LostRace reports whether an error means that a write had no effect because
// another writer came first.
func LostRace(err error) bool {
	var conflict *ConflictError
	var exists *ExistsError
	return errors.As(err, &conflict) || errors.As(err, &exists)
}

// UnavailableError reports a call that certainly had no effect.
type UnavailableError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store unavailable during %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// AmbiguousError reports a write whose answer was lost: it may have taken
// effect. It is settled by reading back, never by writing again.
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

// NotSentError reports an attempt that never left this node.
type NotSentError struct {
	Address Address
	Cause   error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("not sent to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error {
	return e.Cause
}

// NoReplyError reports an attempt that was sent, or may have been, and for which no answer came.
type NoReplyError struct {
	Address Address
	Cause   error
}

// Error implements error.
func (e *NoReplyError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NoReplyError) Unwrap() error {
	return e.Cause
}
