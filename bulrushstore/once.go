package bulrushstore

import (
	"context"

	"bulrushchute.example/bulrushchute"
)

// WriterField is the top-level field of a value that identifies its write.
const WriterField = "writer"

// CreateOnce stores an object unless its name is in use, and reports whether
// this call created it. The writer is put into the value's WriterField.
func CreateOnce(_ context.Context, _ bulrushchute.Store, _ bulrushchute.Object, _ string) (bulrushchute.Object, bool, error) {
	return bulrushchute.Object{}, false, nil
}

// UpdateObject reads an object, changes its value and stores it, again from
// the start after a conflict. The writer is put into the value's WriterField.
func UpdateObject(_ context.Context, _ bulrushchute.Store, _ bulrushchute.Kind, _ string, _ string, _ func(bulrushchute.Object) ([]byte, error)) (bulrushchute.Object, error) {
	return bulrushchute.Object{}, nil
}
