package bulrushkey

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"bulrushchute.example/bulrushchute"
)

// PartitionCount is the number of partitions of each service. It is part of the
// stored format: a change would assign keys to other homes.
const PartitionCount = 64

// uuidTextLength is the length in bytes of the hyphenated form, the only one
// that is accepted. With the other forms that uuid.Parse reads, several texts
// would denote the same key.
const uuidTextLength = 36

// Key is an idempotency key, a UUID version 7 (RFC 9562).
type Key [16]byte

// ParseKey parses the value of an Idempotency-Key header. The error is a
// *bulrushchute.FieldError.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	valid := err == nil && len(text) == uuidTextLength
	if !valid || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, &bulrushchute.FieldError{
			Field:   "Idempotency-Key",
			Value:   text,
			Allowed: "a UUID version 7 in its hyphenated form",
		}
	}
	return Key(id), nil
}

// NewKey returns a key with the given mint time and random bytes. The version
// and variant bits of the random bytes are overwritten.
func NewKey(mint bulrushchute.Millis, random [10]byte) Key {
	var k Key
	binary.BigEndian.PutUint64(k[:8], uint64(mint)<<16)
	copy(k[6:], random[:])
	k[6] = k[6]&0x0f | 0x70
	k[8] = k[8]&0x3f | 0x80
	return k
}

// MintTime returns the mint time of the key by its creator's clock.
func (k Key) MintTime() bulrushchute.Millis {
	return bulrushchute.Millis(binary.BigEndian.Uint64(k[:8]) >> 16)
}

// Partition returns the partition that the key belongs to.
func (k Key) Partition() int {
	return int(xxhash.Sum64(k[:]) % PartitionCount)
}

// String returns the key in its hyphenated form.
func (k Key) String() string {
	return uuid.UUID(k).String()
}
