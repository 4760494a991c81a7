package bulrushspread

import (
	"bulrushchute.example/bulrushchute"
)

// Largest arguments whose CBOR head takes 1, 2, 3 and 5 bytes.
const (
	maxDirectArgument = 23
	max1ByteArgument  = 1<<8 - 1
	max2ByteArgument  = 1<<16 - 1
	max4ByteArgument  = 1<<32 - 1
)

// Size returns the size of the CBOR encoding of a message in bytes, without
// encoding it. The literal numbers in the functions below count the map heads,
// map keys and booleans, which take one byte each.
func Size(message bulrushchute.Control) int {
	size := 1 + 1 + sizeText(string(message.From))
	size += sizeHeartbeats(message)
	size += sizeRecordMessages(message)
	size += sizeMoveAndKeyMessages(message)
	return size
}

func sizeHeartbeats(message bulrushchute.Control) int {
	size := 0
	if h := message.Heartbeat; h != nil {
		size += 5 + sizeUint(h.Sequence) + sizeUint(h.Incarnation) + sizeInt(int64(h.SentAt)) + sizeOptionalBool(h.KeyLease)
	}
	if a := message.HeartbeatAck; a != nil {
		size += 4 + sizeUint(a.Sequence) + sizeInt(int64(a.SentAt)) + sizeOptionalBool(a.KeyLease)
	}
	return size
}

func sizeRecordMessages(message bulrushchute.Control) int {
	size := 0
	if h := message.Have; h != nil {
		size += 3 + sizeUint(uint64(len(h.Versions)))
		for i := range h.Versions {
			size += sizeVersionedKey(h.Versions[i].Key, h.Versions[i].Version)
		}
	}
	if w := message.Want; w != nil {
		size += 3 + sizeUint(uint64(len(w.Keys)))
		for i := range w.Keys {
			size += sizeKey(w.Keys[i])
		}
	}
	if r := message.Records; r != nil {
		size += 3 + sizeUint(uint64(len(r.Records)))
		for i := range r.Records {
			size += sizeRecord(&r.Records[i])
		}
		if r.ConfirmationAge != 0 {
			size += 1 + sizeInt(int64(r.ConfirmationAge))
		}
	}
	if d := message.Digest; d != nil {
		size += 3 + sizeUint(uint64(len(d.Buckets))) + sizeOptionalBool(d.Reply) + sizeOptionalBool(d.Shared)
		for _, b := range d.Buckets {
			size += sizeUint(b)
		}
	}
	return size
}

func sizeMoveAndKeyMessages(message bulrushchute.Control) int {
	size := 0
	if e := message.Evidence; e != nil {
		size += 10 + sizeText(string(e.Service)) + sizeUint(e.Generation) + sizeText(string(e.Version)) + sizeText(e.Route)
		size += sizeInt(int64(e.Requests)) + sizeInt(int64(e.Failures)) + sizeUint(e.Sequence) + sizeUint(uint64(len(e.Latencies)))
		for _, l := range e.Latencies {
			size += sizeUint(uint64(l))
		}
		size += sizeOptionalCounts(e.WarmingLatencies) + sizeOptionalCounts(e.RunningAges)
	}
	if p := message.PromiseAsk; p != nil {
		size += 5 + sizeText(string(p.Service)) + sizeText(string(p.Home)) + sizeUint(p.Epoch)
	}
	if p := message.Promise; p != nil {
		size += 6 + sizeText(string(p.Home)) + sizeUint(p.Epoch)
	}
	return size
}

func sizeKey(key bulrushchute.RecordKey) int {
	return 3 + sizeUint(uint64(key.Topic)) + sizeText(key.Name)
}

func sizeVersion(version bulrushchute.RecordVersion) int {
	return 3 + sizeUint(version.Epoch) + sizeUint(version.Counter)
}

func sizeVersionedKey(key bulrushchute.RecordKey, version bulrushchute.RecordVersion) int {
	return 3 + sizeKey(key) + sizeVersion(version)
}

func sizeRecord(record *bulrushchute.Record) int {
	size := sizeVersionedKey(record.Key, record.Version) + sizeOptionalBool(record.Deleted)
	if len(record.Value) > 0 {
		size += 1 + sizeUint(uint64(len(record.Value))) + len(record.Value)
	}
	return size
}

// sizeOptionalBool returns the size of a boolean field that is omitted when
// false.
func sizeOptionalBool(flag bool) int {
	if flag {
		return 2
	}
	return 0
}

func sizeText(text string) int {
	return sizeUint(uint64(len(text))) + len(text)
}

func sizeInt(n int64) int {
	if n < 0 {
		n = -1 - n
	}
	return sizeUint(uint64(n))
}

func sizeUint(n uint64) int {
	switch {
	case n <= maxDirectArgument:
		return 1
	case n <= max1ByteArgument:
		return 2
	case n <= max2ByteArgument:
		return 3
	case n <= max4ByteArgument:
		return 5
	}
	return 9
}

// sizeOptionalCounts returns the size of a field that is left out when empty.
func sizeOptionalCounts(counts []uint32) int {
	if len(counts) == 0 {
		return 0
	}
	size := 1 + sizeUint(uint64(len(counts)))
	for _, count := range counts {
		size += sizeUint(uint64(count))
	}
	return size
}
