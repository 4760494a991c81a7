package bulrushstore

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// JSON fields that identify the write which produced a value. The WriterField
// contains an ID that is unique to the write. A catalogue entry has a
// ChangeField, an object that contains the WriterField next to the operator's
// name; other values have the WriterField at the top level.
const (
	WriterField = "writer"
	ChangeField = "change"
)

// maxWriteTries bounds the tries of CreateOnce, UpdateObject and
// updateAndConfirm. More conflicts in a row mean that many writers compete, and
// the caller should back off.
const maxWriteTries = 5

// WithWriter returns the JSON object in value with its WriterField set to
// writer. If the object has a ChangeField, the WriterField is set inside it.
func WithWriter(value []byte, writer string) ([]byte, error) {
	fields, err := decodeFields("value", value)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(writer)
	if err != nil {
		return nil, errors.Wrap(err, "encode writer")
	}
	if change, found := fields[ChangeField]; found {
		inner, err := decodeFields(ChangeField, change)
		if err != nil {
			return nil, err
		}
		inner[WriterField] = text
		if fields[ChangeField], err = encode(inner); err != nil {
			return nil, err
		}
	} else {
		fields[WriterField] = text
	}
	data, err := encode(fields)
	return bytes.TrimSpace(data), err
}

func decodeFields(field string, value []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(value, &fields); err != nil || fields == nil {
		return nil, &bulrushchute.FieldError{Field: field, Value: truncate(value), Allowed: "a JSON object"}
	}
	return fields, nil
}

// WriterOf returns the writer set by WithWriter, or "" if there is none.
func WriterOf(value []byte) string {
	var fields struct {
		Writer string `json:"writer"`
		Change *struct {
			Writer string `json:"writer"`
		} `json:"change"`
	}
	if json.Unmarshal(value, &fields) != nil {
		return ""
	}
	if fields.Change != nil {
		return fields.Change.Writer
	}
	return fields.Writer
}

func truncate(value []byte) string {
	const maxBytes = 40
	return string(value[:min(len(value), maxBytes)])
}

// CreateOnce creates an object unless its name is in use, and reports whether
// this writer created it. The value is stored with writer in its WriterField, an
// ID that must be used for this object only. If a response is lost, CreateOnce
// reads the object back, and retries the create only if the object is absent. If
// the first try arrives late, at most one of the two takes effect.
func CreateOnce(ctx context.Context, store bulrushchute.Store, object bulrushchute.Object, writer string) (bulrushchute.Object, bool, error) {
	value, err := WithWriter(object.Value, writer)
	if err != nil {
		return bulrushchute.Object{}, false, err
	}
	object = object.WithValue(value)
	for range maxWriteTries {
		var stored bulrushchute.Object
		stored, err = store.Create(ctx, object)
		if err == nil {
			return stored, true, nil
		}
		if !objectMayExist(err) {
			return bulrushchute.Object{}, false, err
		}
		writeErr := err
		stored, err = store.Get(ctx, object.Kind, object.Name)
		if err == nil {
			return stored, WriterOf(stored.Value) == writer, nil
		}
		var notFound *bulrushchute.NotFoundError
		if !errors.As(err, &notFound) {
			return bulrushchute.Object{}, false, readBackError(writeErr, err)
		}
		err = writeErr
	}
	return bulrushchute.Object{}, false, err
}

func objectMayExist(err error) bool {
	var (
		exists    *bulrushchute.ExistsError
		ambiguous *bulrushchute.AmbiguousError
	)
	return errors.As(err, &exists) || errors.As(err, &ambiguous)
}

// readBackError returns the error after a failed read-back. A write whose
// response was lost stays ambiguous.
func readBackError(writeErr, readErr error) error {
	var ambiguous *bulrushchute.AmbiguousError
	if errors.As(writeErr, &ambiguous) {
		return writeErr
	}
	return readErr
}

// UpdateObject reads an object, computes its new value with mutate and stores
// it; after a conflict it starts again from the read. The value is stored with
// writer in its WriterField, an ID that must be used for this change only. If a
// response is lost, UpdateObject reads the object back. If another writer has
// changed the object in the meantime, it returns an *AmbiguousError and does not
// apply the change again, because the change may have taken effect before it was
// overwritten.
func UpdateObject(ctx context.Context, store bulrushchute.Store, kind bulrushchute.Kind, name, writer string, mutate func(bulrushchute.Object) ([]byte, error)) (bulrushchute.Object, error) {
	current, err := store.Get(ctx, kind, name)
	for range maxWriteTries {
		if err != nil {
			return bulrushchute.Object{}, err
		}
		var value []byte
		if value, err = mutate(current); err != nil {
			return bulrushchute.Object{}, err
		}
		if value, err = WithWriter(value, writer); err != nil {
			return bulrushchute.Object{}, err
		}
		var stored bulrushchute.Object
		stored, err = updateAndConfirm(ctx, store, current.WithValue(value), writer)
		var conflict *bulrushchute.ConflictError
		if !errors.As(err, &conflict) {
			return stored, err
		}
		current, err = store.Get(ctx, kind, name)
	}
	return bulrushchute.Object{}, &bulrushchute.ConflictError{Kind: kind, Name: name, Version: current.Version}
}

// updateAndConfirm performs one conditional update and reads the object back if
// the response is lost. It retries only if the object is still at the version
// that the update replaces, so that at most one of the tries can take effect.
func updateAndConfirm(ctx context.Context, store bulrushchute.Store, object bulrushchute.Object, writer string) (bulrushchute.Object, error) {
	var writeErr error
	for range maxWriteTries {
		stored, err := store.Update(ctx, object)
		if err == nil {
			return stored, nil
		}
		if writeErr == nil && !isAmbiguous(err) {
			return bulrushchute.Object{}, err
		}
		if writeErr == nil {
			writeErr = err
		}
		current, err := store.Get(ctx, object.Kind, object.Name)
		if err != nil {
			return bulrushchute.Object{}, writeErr
		}
		if WriterOf(current.Value) == writer && current.Version > object.Version {
			return current, nil
		}
		if current.Version != object.Version {
			return bulrushchute.Object{}, writeErr
		}
	}
	return bulrushchute.Object{}, writeErr
}

func isAmbiguous(err error) bool {
	var ambiguous *bulrushchute.AmbiguousError
	return errors.As(err, &ambiguous)
}
