package bulrushstore

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// jsonSeparators lists the bytes between the tokens of a JSON document.
const jsonSeparators = " \t\r\n:,"

// SplitObject returns the members of a JSON object without decoding them. Unlike
// json.Unmarshal it accepts values that are nested to any depth, so that one of them does
// not make the others unreadable.
func SplitObject(document []byte) (map[string]json.RawMessage, error) {
	members := make(map[string]json.RawMessage)
	err := split(document, '{', func(name string, value json.RawMessage) { members[name] = value })
	return members, err
}

// SplitArray is SplitObject for the elements of an array.
func SplitArray(document []byte) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	err := split(document, '[', func(_ string, value json.RawMessage) { elements = append(elements, value) })
	return elements, err
}

// split calls add for each value of an object or array, which begins with opening. The
// name is empty in an array.
func split(document []byte, opening json.Delim, add func(name string, value json.RawMessage)) error {
	decoder := json.NewDecoder(bytes.NewReader(document))
	// Numbers may exceed a float64.
	decoder.UseNumber()
	token, err := decoder.Token()
	if err != nil {
		return errors.Wrap(err, "read value")
	}
	if token != opening {
		return errors.Errorf("value is no %s", map[json.Delim]string{'{': "object", '[': "array"}[opening])
	}
	for decoder.More() {
		var name string
		if opening == '{' {
			token, err = decoder.Token()
			if err != nil {
				return errors.Wrap(err, "read name")
			}
			name, _ = token.(string)
		}
		begin := decoder.InputOffset()
		if err := skipValue(decoder); err != nil {
			return err
		}
		value := document[begin:decoder.InputOffset()]
		add(name, bytes.TrimLeft(value, jsonSeparators))
	}
	_, err = decoder.Token()
	return errors.Wrap(err, "read end")
}

// skipValue reads the tokens of one value.
func skipValue(decoder *json.Decoder) error {
	for depth := 0; ; {
		token, err := decoder.Token()
		if err != nil {
			return errors.Wrap(err, "read value")
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}
