package bulrushcatalogue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"bulrushchute.example/bulrushchute"
)

// rootField is the path that errors give for the document as a whole.
const rootField = "document"

// maxShownValue bounds how much of a refused value an error repeats.
const maxShownValue = 80

// checkStructure compares a JSON document with the type of a Go value: known
// fields in their exact spelling, each at most once, of the right JSON type.
func checkStructure(document []byte, target any) error {
	if len(document) > bulrushchute.MaxObjectBytes {
		return refuse(rootField, strconv.Itoa(len(document))+" bytes", fmt.Sprintf("at most %d bytes", bulrushchute.MaxObjectBytes))
	}
	d := json.NewDecoder(bytes.NewReader(document))
	d.UseNumber()
	w := walker{decoder: d}
	if err := w.value("", reflect.TypeOf(target).Elem(), false); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return refuse(rootField, "text after the end", "one JSON document")
	}
	return nil
}

type walker struct {
	decoder *json.Decoder
}

// value checks the next value. An optional number may not be zero, because
// zero stands for a field that was left out and would silently become the default.
func (w walker) value(path string, t reflect.Type, optional bool) error {
	if t.Kind() == reflect.Pointer {
		return w.value(path, t.Elem(), false)
	}
	token, err := w.decoder.Token()
	if err != nil {
		return refuse(path, err.Error(), "valid JSON")
	}
	switch v := token.(type) {
	case json.Delim:
		return w.compound(path, t, v)
	case json.Number:
		return checkNumber(path, t, v, optional)
	case string:
		return checkKind(path, t, strconv.Quote(v), reflect.String)
	case bool:
		return checkKind(path, t, strconv.FormatBool(v), reflect.Bool)
	default:
		return refuse(path, "null", typeName(t)+", or leave the field out")
	}
}

func (w walker) compound(path string, t reflect.Type, open json.Delim) error {
	if open == '{' {
		if t.Kind() != reflect.Struct {
			return refuse(path, "an object", typeName(t))
		}
		return w.object(path, t)
	}
	if t.Kind() != reflect.Slice {
		return refuse(path, "a list", typeName(t))
	}
	return w.list(path, t)
}

func (w walker) object(path string, t reflect.Type) error {
	known := jsonFields(t)
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return refuse(path, err.Error(), "valid JSON")
		}
		name, _ := token.(string)
		field, ok := known[name]
		if !ok {
			return refuse(join(path, name), name, "one of the fields "+strings.Join(fieldNames(t), ", "))
		}
		if seen[name] {
			return refuse(join(path, name), name, "a field that occurs once")
		}
		seen[name] = true
		if err := w.value(join(path, name), field.Type, isOptional(field)); err != nil {
			return err
		}
	}
	return w.end(path)
}

func (w walker) list(path string, t reflect.Type) error {
	for i := 0; w.decoder.More(); i++ {
		if err := w.value(fmt.Sprintf("%s[%d]", path, i), t.Elem(), false); err != nil {
			return err
		}
	}
	return w.end(path)
}

func (w walker) end(path string) error {
	if _, err := w.decoder.Token(); err != nil {
		return refuse(path, err.Error(), "valid JSON")
	}
	return nil
}

func checkNumber(path string, t reflect.Type, number json.Number, optional bool) error {
	var err error
	zero := false
	switch {
	case t.Kind() == reflect.Float64:
		var parsed float64
		parsed, err = number.Float64()
		zero = parsed == 0
	case t.Kind() == reflect.Uint64:
		_, err = strconv.ParseUint(number.String(), 10, 64)
	case t.Kind() == reflect.Int || t.Kind() == reflect.Int64:
		var parsed int64
		parsed, err = number.Int64()
		zero = parsed == 0
	default:
		return refuse(path, number.String(), typeName(t))
	}
	if err != nil {
		return refuse(path, number.String(), typeName(t))
	}
	if zero && optional {
		return refuse(path, number.String(), "a number other than 0, or leave the field out for the default")
	}
	return nil
}

func checkKind(path string, t reflect.Type, shown string, kind reflect.Kind) error {
	if t.Kind() != kind {
		return refuse(path, shown, typeName(t))
	}
	return nil
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "an object"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number from 0"
	default:
		return "a whole number"
	}
}

func jsonFields(t reflect.Type) map[string]reflect.StructField {
	fields := make(map[string]reflect.StructField, t.NumField())
	for i := range t.NumField() {
		fields[jsonName(t.Field(i))] = t.Field(i)
	}
	return fields
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, jsonName(t.Field(i)))
	}
	return names
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func isOptional(field reflect.StructField) bool {
	return strings.Contains(field.Tag.Get("json"), ",omitempty")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func refuse(path, value, allowed string) *bulrushchute.FieldError {
	if path == "" {
		path = rootField
	}
	if len(value) > maxShownValue {
		value = strings.ToValidUTF8(value[:maxShownValue], "") + "..."
	}
	return &bulrushchute.FieldError{Field: path, Value: value, Allowed: allowed}
}
