package bulrushspread

import (
	"bulrushchute.example/bulrushchute"
)

// Largest values whose CBOR head takes 1, 2, 3 and 5 bytes.
const (
	headInline = 23
	headByte   = 1<<8 - 1
	headShort  = 1<<16 - 1
	headWord   = 1<<32 - 1
)

// Size returns the number of bytes of a message in CBOR, without encoding it.
func Size(message bulrushchute.Control) int {
	size := 1 + 1 + sizeText(string(message.From))
	size += sizeHeartbeats(message)
	size += sizeSpread(message)
	size += sizeOther(message)
	return size
}

func sizeHeartbeats(message bulrushchute.Control) int {
	size := 0
	if h := message.Heartbeat; h != nil {
		size += 5 + sizeUint(h.Sequence) + sizeUint(h.Incarnation) + sizeInt(int64(h.SentAt)) + sizeFlag(h.KeyLease)
	}
	if a := message.HeartbeatAck; a != nil {
		size += 4 + sizeUint(a.Sequence) + sizeInt(int64(a.SentAt)) + sizeFlag(a.KeyLease)
	}
	return size
}

func sizeSpread(message bulrushchute.Control) int {
	size := 0
	if h := message.Have; h != nil {
		size += 3 + sizeUint(uint64(len(h.Versions)))
		for i := range h.Versions {
			size += sizeVersionOf(h.Versions[i].Key, h.Versions[i].Version)
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
	}
	if d := message.Digest; d != nil {
		size += 3 + sizeUint(uint64(len(d.Buckets))) + sizeFlag(d.Reply) + sizeFlag(d.Shared)
		for _, b := range d.Buckets {
			size += sizeUint(b)
		}
	}
	return size
}

func sizeOther(message bulrushchute.Control) int {
	size := 0
	if e := message.Evidence; e != nil {
		size += 10 + sizeText(string(e.Service)) + sizeUint(e.Generation) + sizeText(string(e.Version)) + sizeText(e.Route)
		size += sizeInt(int64(e.Requests)) + sizeInt(int64(e.Failures)) + sizeUint(e.Sequence) + sizeUint(uint64(len(e.Latencies)))
		for _, l := range e.Latencies {
			size += sizeUint(uint64(l))
		}
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

func sizeVersionOf(key bulrushchute.RecordKey, version bulrushchute.RecordVersion) int {
	return 3 + sizeKey(key) + sizeVersion(version)
}

func sizeRecord(record *bulrushchute.Record) int {
	size := sizeVersionOf(record.Key, record.Version) + sizeFlag(record.Deleted)
	if len(record.Value) > 0 {
		size += 1 + sizeUint(uint64(len(record.Value))) + len(record.Value)
	}
	return size
}

// sizeFlag is the size of a boolean field that is left out when false.
func sizeFlag(flag bool) int {
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
	case n <= headInline:
		return 1
	case n <= headByte:
		return 2
	case n <= headShort:
		return 3
	case n <= headWord:
		return 5
	}
	return 9
}
