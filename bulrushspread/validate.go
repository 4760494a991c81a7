package bulrushspread

import (
	"bulrushchute.example/bulrushchute"
)

// Bounds on input. A message beyond them is refused as a whole, a record
// beyond them alone.
const (
	maxNameBytes  = 256
	maxValueBytes = bulrushchute.MaxObjectBytes
	maxListed     = 8192
	// maxRecords allows four times the largest fleet in member, suspicion and
	// catalogue records before a faulty peer can fill the memory.
	maxRecords = 200_000
	topicCount = int(bulrushchute.TopicBeat) + 1
	// maxClockSkew bounds versions that are times, so that one wrong clock
	// cannot block a record for good.
	maxClockSkew = bulrushchute.Minute
)

func validTopic(topic bulrushchute.Topic) bool {
	return topic >= bulrushchute.TopicMember && int(topic) < topicCount
}

func validKey(key bulrushchute.RecordKey) bool {
	return validTopic(key.Topic) && key.Name != "" && len(key.Name) <= maxNameBytes
}

func validVersion(now bulrushchute.Millis, key bulrushchute.RecordKey, version bulrushchute.RecordVersion) bool {
	if key.Topic != bulrushchute.TopicBeat && key.Topic != bulrushchute.TopicDataCentre {
		return true
	}
	return version.Epoch == 0 && version.Counter <= uint64(now+maxClockSkew)
}

func validRecord(now bulrushchute.Millis, record *bulrushchute.Record) bool {
	return validKey(record.Key) && len(record.Value) <= maxValueBytes && validVersion(now, record.Key, record.Version)
}

// validMessage checks what holds for a message as a whole.
func validMessage(message bulrushchute.Control) bool {
	switch {
	case message.Have != nil:
		return len(message.Have.Versions) <= maxListed
	case message.Want != nil:
		return len(message.Want.Keys) <= maxListed
	case message.Records != nil:
		return len(message.Records.Records) <= maxListed
	case message.Digest != nil:
		return len(message.Digest.Buckets) == 0 || len(message.Digest.Buckets) == BucketCount
	}
	return false
}
