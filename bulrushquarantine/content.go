package bulrushquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net"
	"strconv"
	"strings"

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
		string(attempt.Service), string(attempt.Caller), string(attempt.Tenant), attempt.Method, siteOf(attempt.Host), attempt.Path,
	} {
		// The length of each part keeps its end apart from the beginning of the next.
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = hash.Write([]byte(part))
	}
	_, _ = hash.Write(attempt.Body)
	var sum [sha256.Size]byte
	return Content(hash.Sum(sum[:0]))
}

// ContentError reports a text that is no content.
type ContentError struct {
	Text string
}

// Error implements error.
func (e *ContentError) Error() string {
	return "no content of a request: " + strconv.Quote(e.Text)
}

// MarshalText returns the content in hexadecimal digits, for JSON.
func (c Content) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText is the inverse of MarshalText. Errors are matched with errors.As:
// *ContentError.
func (c *Content) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	if err != nil || len(data) != len(c) {
		return &ContentError{Text: string(text)}
	}
	copy(c[:], data)
	return nil
}

// siteOf returns the host that a caller means. It is empty for an IP address, which
// is that of a node and differs when the request comes again at another one.
func siteOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if net.ParseIP(strings.Trim(host, "[]")) != nil {
		return ""
	}
	return strings.ToLower(host)
}

// String returns the content in hexadecimal digits.
func (c Content) String() string {
	return hex.EncodeToString(c[:])
}
