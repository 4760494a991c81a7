package bulrushstore

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

// Fields of a value that identify its write. A catalogue entry has a
// ChangeField, an object that holds the WriterField with the operator's name;
// other values have the WriterField at the top level.
const (
	WriterField = "writer"
	ChangeField = "change"
)

// maxAttempts bounds how often CreateOnce and UpdateObject start again. More
// conflicts in a row mean that many writers compete, and the caller should wait.
const maxAttempts = 5

// WithWriter returns a JSON object with its WriterField set. If the object has
// a ChangeField, the WriterField is set inside it.
func WithWriter(value []byte, writer string) ([]byte, error) {
	fields, err := fieldsOf("value", value)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(writer)
	if err != nil {
		return nil, errors.Wrap(err, "encode writer")
	}
	if change, found := fields[ChangeField]; found {
		inner, err := fieldsOf(ChangeField, change)
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

func fieldsOf(name string, value []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(value, &fields); err != nil || fields == nil {
		return nil, &bulrushchute.FieldError{Field: name, Value: shorten(value), Allowed: "a JSON object"}
	}
	return fields, nil
}

// WriterOf returns the writer that WithWriter has set, or "" if there is none.
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

func shorten(value []byte) string {
	const most = 40
	return string(value[:min(len(value), most)])
}

// CreateOnce stores an object unless its name is in use, and reports whether
// it was this writer that created it. The writer, an id that is used for this
// object only, is put into the value by WithWriter. When an answer is lost,
// the object is read back; only if it is still absent is it created again,
// which has no effect if the first try arrives meanwhile.
func CreateOnce(ctx context.Context, store bulrushchute.Store, object bulrushchute.Object, writer string) (bulrushchute.Object, bool, error) {
	value, err := WithWriter(object.Value, writer)
	if err != nil {
		return bulrushchute.Object{}, false, err
	}
	object = object.WithValue(value)
	for range maxAttempts {
		var stored bulrushchute.Object
		stored, err = store.Create(ctx, object)
		if err == nil {
			return stored, true, nil
		}
		if !mayExist(err) {
			return bulrushchute.Object{}, false, err
		}
		lost := err
		stored, err = store.Get(ctx, object.Kind, object.Name)
		if err == nil {
			return stored, WriterOf(stored.Value) == writer, nil
		}
		var notFound *bulrushchute.NotFoundError
		if !errors.As(err, &notFound) {
			return bulrushchute.Object{}, false, unsettled(lost, err)
		}
		err = lost
	}
	return bulrushchute.Object{}, false, err
}

func mayExist(err error) bool {
	var (
		exists    *bulrushchute.ExistsError
		ambiguous *bulrushchute.AmbiguousError
	)
	return errors.As(err, &exists) || errors.As(err, &ambiguous)
}

// unsettled keeps a lost answer ambiguous when reading back fails too.
func unsettled(lost, readBack error) error {
	var ambiguous *bulrushchute.AmbiguousError
	if errors.As(lost, &ambiguous) {
		return lost
	}
	return readBack
}

// UpdateObject reads an object, changes its value with mutate and stores it,
// from the start again after a conflict. The writer, an id that is used for
// this change only, is put into the value by WithWriter. When an answer is
// lost, the object is read back. The result is an *AmbiguousError if another
// writer has changed the object since, because the change may then have been
// in effect before; it is not applied a second time.
func UpdateObject(ctx context.Context, store bulrushchute.Store, kind bulrushchute.Kind, name, writer string, mutate func(bulrushchute.Object) ([]byte, error)) (bulrushchute.Object, error) {
	current, err := store.Get(ctx, kind, name)
	for range maxAttempts {
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
		stored, err = update(ctx, store, current.WithValue(value), writer)
		var conflict *bulrushchute.ConflictError
		if !errors.As(err, &conflict) {
			return stored, err
		}
		current, err = store.Get(ctx, kind, name)
	}
	return bulrushchute.Object{}, &bulrushchute.ConflictError{Kind: kind, Name: name, Version: current.Version}
}

// update makes one conditional update and settles a lost answer. It repeats
// the update only when the object was read back at the version that it
// replaces, so that at most one of the tries can take effect.
func update(ctx context.Context, store bulrushchute.Store, object bulrushchute.Object, writer string) (bulrushchute.Object, error) {
	var lost error
	for range maxAttempts {
		stored, err := store.Update(ctx, object)
		if err == nil {
			return stored, nil
		}
		if lost == nil && !isAmbiguous(err) {
			return bulrushchute.Object{}, err
		}
		if lost == nil {
			lost = err
		}
		current, err := store.Get(ctx, object.Kind, object.Name)
		if err != nil {
			return bulrushchute.Object{}, lost
		}
		if WriterOf(current.Value) == writer && current.Version > object.Version {
			return current, nil
		}
		if current.Version != object.Version {
			return bulrushchute.Object{}, lost
		}
	}
	return bulrushchute.Object{}, lost
}

func isAmbiguous(err error) bool {
	var ambiguous *bulrushchute.AmbiguousError
	return errors.As(err, &ambiguous)
}
