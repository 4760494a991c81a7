package bulrushnode

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"bulrushchute.example/bulrushchute"
)

const (
	// minCompressSize is the size in bytes from which the value of a record is
	// compressed.
	minCompressSize = 512
	// plainMarker and deflateMarker are the possible first bytes of an encoded
	// value.
	plainMarker   = 'p'
	deflateMarker = 'd'
)

// compressValue encodes the value of a record for spreading. Compression
// reduces a routing table to about a sixth of its size.
func compressValue(value []byte) []byte {
	if len(value) < minCompressSize {
		return append([]byte{plainMarker}, value...)
	}
	var buffer bytes.Buffer
	buffer.WriteByte(deflateMarker)
	// No call fails: the level is valid, and writes to a buffer return no error.
	writer, _ := flate.NewWriter(&buffer, flate.DefaultCompression)
	_, _ = writer.Write(value)
	_ = writer.Close()
	return buffer.Bytes()
}

// decompressValue reverses compressValue.
func decompressValue(value []byte) ([]byte, error) {
	if len(value) == 0 {
		return nil, nil
	}
	switch value[0] {
	case plainMarker:
		return value[1:], nil
	case deflateMarker:
		reader := flate.NewReader(bytes.NewReader(value[1:]))
		// Reads one byte beyond the limit, so that the catalogue's parsers detect a
		// value that is too large.
		plain, err := io.ReadAll(io.LimitReader(reader, bulrushchute.MaxObjectBytes+1))
		return plain, errors.Wrap(err, "decompress value")
	default:
		return nil, &bulrushchute.FieldError{Field: "value", Value: string(value[:1]), Allowed: "p or d"}
	}
}
