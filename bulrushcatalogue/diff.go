package bulrushcatalogue

import (
	"fmt"
	"reflect"
	"strings"
)

// FieldChangeKind tells whether a field was added, removed or changed.
type FieldChangeKind uint8

// Kinds of changes.
const (
	FieldAdded FieldChangeKind = iota
	FieldRemoved
	FieldChanged
)

// FieldChange is one field that differs between two entries. Elements of routes
// and tenants are identified by their key, for example routes[views].timeout_ms.
type FieldChange struct {
	Kind  FieldChangeKind
	Field string
	// Old and New are empty where the field is absent.
	Old string
	New string
}

// String returns the change on one line, prefixed with +, - or ~.
func (c FieldChange) String() string {
	switch c.Kind {
	case FieldAdded:
		return fmt.Sprintf("+ %s: %s", c.Field, c.New)
	case FieldRemoved:
		return fmt.Sprintf("- %s: %s", c.Field, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Field, c.Old, c.New)
	}
}

// FieldChanges lists the differences between two entries.
type FieldChanges []FieldChange

// String returns the changes, one per line.
func (cs FieldChanges) String() string {
	lines := make([]string, 0, len(cs))
	for _, change := range cs {
		lines = append(lines, change.String())
	}
	return strings.Join(lines, "\n")
}

// lastChangeType is excluded from comparisons because it differs after every
// write.
var lastChangeType = reflect.TypeFor[*LastChange]()

// Diff returns the fields that differ: first the fields of the old entry in
// their order, then the fields that only the updated entry has. The order of
// routes and tenants has no meaning and is ignored. A zero entry stands for one
// that does not exist. The LastChange field is excluded.
func Diff[E ServiceEntry | DataCentreEntry](old, updated E) FieldChanges {
	before := flatten(reflect.ValueOf(old))
	after := flatten(reflect.ValueOf(updated))
	var changes FieldChanges
	for _, path := range before.paths {
		oldValue := before.values[path]
		newValue, kept := after.values[path]
		if !kept {
			changes = append(changes, FieldChange{Kind: FieldRemoved, Field: path, Old: oldValue})
		} else if oldValue != newValue {
			changes = append(changes, FieldChange{Kind: FieldChanged, Field: path, Old: oldValue, New: newValue})
		}
	}
	for _, path := range after.paths {
		if _, existed := before.values[path]; !existed {
			changes = append(changes, FieldChange{Kind: FieldAdded, Field: path, New: after.values[path]})
		}
	}
	return changes
}

// flatFields holds the scalar fields of an entry by path, in order.
type flatFields struct {
	paths  []string
	values map[string]string
}

func flatten(entry reflect.Value) *flatFields {
	flat := &flatFields{values: map[string]string{}}
	flat.addValue("", entry)
	return flat
}

func (ff *flatFields) addValue(path string, value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		ff.addStruct(path, value)
	case reflect.Pointer:
		if !value.IsNil() {
			ff.addValue(path, value.Elem())
		}
	case reflect.Slice:
		ff.addSlice(path, value)
	default:
		ff.set(path, fmt.Sprint(value.Interface()))
	}
}

func (ff *flatFields) addStruct(path string, value reflect.Value) {
	for i := range value.NumField() {
		field := value.Field(i)
		if field.Kind() != reflect.Pointer && field.IsZero() {
			continue
		}
		if field.Type() == lastChangeType {
			continue
		}
		ff.addValue(joinPath(path, jsonName(value.Type().Field(i))), field)
	}
}

// addSlice identifies the elements of a list of structs by their first field,
// which is unique in a valid entry.
func (ff *flatFields) addSlice(path string, value reflect.Value) {
	if value.Type().Elem().Kind() != reflect.Struct {
		ff.set(path, fmt.Sprint(value.Interface()))
		return
	}
	for i := range value.Len() {
		element := value.Index(i)
		ff.addValue(fmt.Sprintf("%s[%v]", path, element.Field(0).Interface()), element)
	}
}

func (ff *flatFields) set(path, value string) {
	if _, exists := ff.values[path]; !exists {
		ff.paths = append(ff.paths, path)
	}
	ff.values[path] = value
}
