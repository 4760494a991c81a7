package bulrushquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"bulrushchute.example/bulrushchute"
)

// Content identifies what a backend server is asked to do: requests with the same
// content come from callers of the same service and organisation, and have the
// same method, host, path, query and body. It is cut from a cryptographic hash, so
// that nobody can make a request with the content of another one.
type Content [16]byte

// ContentOf returns the content of an attempt.
func ContentOf(attempt bulrushchute.Attempt) Content {
	hash := sha256.New()
	for _, part := range []string{
		string(attempt.Service), string(attempt.Caller), string(attempt.Tenant), attempt.Method, attempt.Host, attempt.Path,
	} {
		// The length of each part keeps its end apart from the beginning of the next.
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = hash.Write([]byte(part))
	}
	_, _ = hash.Write(attempt.Body)
	var sum [sha256.Size]byte
	return Content(hash.Sum(sum[:0]))
}

// String returns the content in hexadecimal digits.
func (c Content) String() string {
	return hex.EncodeToString(c[:])
}
