package bulrushstore

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func ExampleSplitArray() {
	elements, err := SplitArray([]byte(`[1e999, {"a": [1]}, "b"]`))
	fmt.Printf("%s %v\n", elements, err)
	// Output: [1e999 {"a": [1]} "b"] <nil>
}

// Guards against a document that is split differently from how json.Unmarshal reads it.
func TestSplitLikeUnmarshal(t *testing.T) {
	cases := map[string]string{
		"empty":             ` { } `,
		"all kinds":         `{"a":1,"b" : "x,:]}" , "c":[1,{"d":null}],"e":true,"f":-1.5e3}`,
		"escaped names":     `{"a\"b":{"c":"\\"},"é":[]}`,
		"repeated name":     `{"a":1,"a":2}`,
		"not an object":     `[1]`,
		"truncated":         `{"a":[1,2`,
		"closed wrongly":    `{"a":[1}}`,
		"no value":          `{"a":}`,
		"text after a text": `{"a":"b" "c"}`,
		"nothing":           ``,
	}
	for name, document := range cases {
		t.Run(name, func(t *testing.T) {
			var want map[string]json.RawMessage
			wantErr := json.Unmarshal([]byte(document), &want)
			got, err := SplitObject([]byte(document))
			assert.Equal(t, err != nil, wantErr != nil, "%v, json.Unmarshal: %v", err, wantErr)
			if err == nil {
				assert.Equal(t, fmt.Sprintf("%s", got), fmt.Sprintf("%s", want))
			}
		})
	}
}

// Guards against a value that hides its neighbours by its depth.
func TestSplitDeepValues(t *testing.T) {
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	elements, err := SplitArray([]byte("[" + deep + ",7]"))
	assert.NilError(t, err)
	assert.Equal(t, len(elements), 2)
	assert.Equal(t, len(elements[0]), len(deep))
	assert.Equal(t, string(elements[1]), "7")
}
