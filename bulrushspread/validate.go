package bulrushspread

import (
	"bulrushchute.example/bulrushchute"
)

// Limits on input. A message that exceeds them is rejected as a whole, a record
// that exceeds them individually.
const (
	maxNameBytes  = 256
	maxValueBytes = bulrushchute.MaxObjectBytes
	maxListLength = 8192
	// maxRecords allows the member, suspicion and catalogue records of four
	// times the largest fleet, and bounds the memory that a faulty peer can
	// fill.
	maxRecords = 200_000
	topicCount = int(bulrushchute.TopicUsage) + 1
	// maxClockSkew limits versions that are timestamps, so that one wrong clock
	// cannot block a record permanently.
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

// validMessage checks the limits that apply to a message as a whole.
func validMessage(message bulrushchute.Control) bool {
	switch {
	case message.Have != nil:
		return len(message.Have.Versions) <= maxListLength
	case message.Want != nil:
		return len(message.Want.Keys) <= maxListLength
	case message.Records != nil:
		return len(message.Records.Records) <= maxListLength
	case message.Digest != nil:
		return len(message.Digest.Buckets) == 0 || len(message.Digest.Buckets) == BucketCount
	}
	return false
}
