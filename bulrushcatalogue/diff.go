package bulrushcatalogue

import (
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind says what became of a field.
type ChangeKind uint8

// Kinds of changes.
const (
	FieldAdded ChangeKind = iota
	FieldRemoved
	FieldChanged
)

// Change is one field that differs between two entries. Elements of routes and
// tenants are named by their key, for example routes[views].timeout_ms.
type Change struct {
	Kind  ChangeKind
	Field string
	// Old and New are empty where the field is absent.
	Old string
	New string
}

// String returns the change on one line, with a leading +, - or ~.
func (c Change) String() string {
	switch c.Kind {
	case FieldAdded:
		return fmt.Sprintf("+ %s: %s", c.Field, c.New)
	case FieldRemoved:
		return fmt.Sprintf("- %s: %s", c.Field, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Field, c.Old, c.New)
	}
}

// Changes lists the differences between two entries.
type Changes []Change

// String returns one line for each change.
func (cs Changes) String() string {
	lines := make([]string, 0, len(cs))
	for _, change := range cs {
		lines = append(lines, change.String())
	}
	return strings.Join(lines, "\n")
}

// lastChangeType is left out of comparisons: it differs after every write.
var lastChangeType = reflect.TypeFor[*LastChange]()

// Diff returns the fields that differ: first those of the old entry in the
// order of its fields, then those that only the new one has. The order of
// routes and tenants has no meaning, so it makes no difference. A zero entry
// stands for one that does not exist. The change field is left out.
func Diff[E ServiceEntry | DataCentreEntry](old, changed E) Changes {
	before := flatten(reflect.ValueOf(old))
	after := flatten(reflect.ValueOf(changed))
	var changes Changes
	for _, name := range before.names {
		was := before.values[name]
		is, kept := after.values[name]
		if !kept {
			changes = append(changes, Change{Kind: FieldRemoved, Field: name, Old: was})
		} else if was != is {
			changes = append(changes, Change{Kind: FieldChanged, Field: name, Old: was, New: is})
		}
	}
	for _, name := range after.names {
		if _, known := before.values[name]; !known {
			changes = append(changes, Change{Kind: FieldAdded, Field: name, New: after.values[name]})
		}
	}
	return changes
}

// flatFields holds the scalar fields of an entry by path, in order.
type flatFields struct {
	names  []string
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
		ff.addValue(join(path, jsonName(value.Type().Field(i))), field)
	}
}

// addSlice names the elements of a list of structs by their first field, which
// is unique in a valid entry.
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
	if _, known := ff.values[path]; !known {
		ff.names = append(ff.names, path)
	}
	ff.values[path] = value
}
