package bulrushnode

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against values that differ after compression and decompression, against
// values that grow by more than the marker, and against accepting an unknown
// marker.
func TestCompressValue(t *testing.T) {
	cases := map[string][]byte{
		"empty": {},
		"small": []byte(`{"a":1}`),
		"large": []byte(strings.Repeat(`{"name":"r","prefix":"/a/"}`, 500)),
	}
	for name, value := range cases {
		t.Run(name, func(t *testing.T) {
			encoded := compressValue(value)
			plain, err := decompressValue(encoded)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(plain, value))
			assert.Assert(t, len(encoded) <= len(value)+1)
		})
	}
	_, err := decompressValue([]byte("x"))
	assert.Assert(t, err != nil)
}
