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

// rootField is the field that errors name for the document as a whole.
const rootField = "document"

var (
	keyDigestType  = reflect.TypeFor[KeyDigest]()
	keyDigestsType = reflect.TypeFor[[]KeyDigest]()
)

// maxErrorValueBytes limits how much of a rejected value an error includes.
const maxErrorValueBytes = 80

// checkStructure checks a JSON document against the type that target points to.
// All fields must be known and spelled exactly, occur at most once and have the
// right JSON type.
func checkStructure(document []byte, target any) error {
	if len(document) > bulrushchute.MaxObjectBytes {
		return newFieldError(rootField, strconv.Itoa(len(document))+" bytes", fmt.Sprintf("at most %d bytes", bulrushchute.MaxObjectBytes))
	}
	d := json.NewDecoder(bytes.NewReader(document))
	d.UseNumber()
	c := structureChecker{decoder: d}
	if err := c.checkValue("", reflect.TypeOf(target).Elem(), false); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return newFieldError(rootField, "text after the end", "one JSON document")
	}
	return nil
}

type structureChecker struct {
	decoder *json.Decoder
}

// checkValue checks the next value. An optional number must not be zero,
// because zero stands for an omitted field and would silently become the
// default.
func (c structureChecker) checkValue(path string, t reflect.Type, optional bool) error {
	if t.Kind() == reflect.Pointer {
		return c.checkValue(path, t.Elem(), false)
	}
	token, err := c.decoder.Token()
	if err != nil {
		return newFieldError(path, err.Error(), "valid JSON")
	}
	if t == keyDigestType || t == keyDigestsType {
		return c.checkDigests(path, t, token)
	}
	switch v := token.(type) {
	case json.Delim:
		return c.checkComposite(path, t, v)
	case json.Number:
		return checkNumber(path, t, v, optional)
	case string:
		return checkScalar(path, t, strconv.Quote(v), reflect.String)
	case bool:
		return checkScalar(path, t, strconv.FormatBool(v), reflect.Bool)
	default:
		return newFieldError(path, "null", jsonTypeName(t)+", or leave the field out")
	}
}

// checkDigests checks a digest or a list of digests. Its errors do not contain the
// value, which may be an API key by mistake.
func (c structureChecker) checkDigests(path string, t reflect.Type, token json.Token) error {
	if delim, ok := token.(json.Delim); ok && delim == '[' && t == keyDigestsType {
		return c.checkArray(path, t)
	}
	if _, ok := token.(string); ok && t == keyDigestType {
		// KeyDigest.UnmarshalText checks the text.
		return nil
	}
	return newFieldError(path, "a value of another type", "SHA-256 digests as a list of strings")
}

func (c structureChecker) checkComposite(path string, t reflect.Type, delim json.Delim) error {
	if delim == '{' {
		if t.Kind() != reflect.Struct {
			return newFieldError(path, "an object", jsonTypeName(t))
		}
		return c.checkObject(path, t)
	}
	if t.Kind() != reflect.Slice {
		return newFieldError(path, "a list", jsonTypeName(t))
	}
	return c.checkArray(path, t)
}

func (c structureChecker) checkObject(path string, t reflect.Type) error {
	known := jsonFields(t)
	seen := map[string]bool{}
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return newFieldError(path, err.Error(), "valid JSON")
		}
		name, _ := token.(string)
		field, ok := known[name]
		if !ok {
			return newFieldError(joinPath(path, name), name, "one of the fields "+strings.Join(fieldNames(t), ", "))
		}
		if seen[name] {
			return newFieldError(joinPath(path, name), name, "a field that occurs once")
		}
		seen[name] = true
		if err := c.checkValue(joinPath(path, name), field.Type, isOptional(field)); err != nil {
			return err
		}
	}
	return c.checkEnd(path)
}

func (c structureChecker) checkArray(path string, t reflect.Type) error {
	for i := 0; c.decoder.More(); i++ {
		if err := c.checkValue(fmt.Sprintf("%s[%d]", path, i), t.Elem(), false); err != nil {
			return err
		}
	}
	return c.checkEnd(path)
}

func (c structureChecker) checkEnd(path string) error {
	if _, err := c.decoder.Token(); err != nil {
		return newFieldError(path, err.Error(), "valid JSON")
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
		return newFieldError(path, number.String(), jsonTypeName(t))
	}
	if err != nil {
		return newFieldError(path, number.String(), jsonTypeName(t))
	}
	if zero && optional {
		return newFieldError(path, number.String(), "a number other than 0, or leave the field out for the default")
	}
	return nil
}

func checkScalar(path string, t reflect.Type, value string, kind reflect.Kind) error {
	if t.Kind() != kind {
		return newFieldError(path, value, jsonTypeName(t))
	}
	return nil
}

func jsonTypeName(t reflect.Type) string {
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func newFieldError(path, value, allowed string) *bulrushchute.FieldError {
	if path == "" {
		path = rootField
	}
	if len(value) > maxErrorValueBytes {
		value = strings.ToValidUTF8(value[:maxErrorValueBytes], "") + "..."
	}
	return &bulrushchute.FieldError{Field: path, Value: value, Allowed: allowed}
}
