package bulrushnode

import (
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushquarantine"
)

// maxNotified is the number of nodes to which a changed report is sent directly.
// Services with more nodes learn of it from each other.
const maxNotified = 64

// The methods below run in control's goroutine.

// publishQuarantine makes changes of this node's report of crashes known as a record. A
// crash is also sent directly to the nodes of the service, through which all requests
// for the service pass.
func (c *control) publishQuarantine(now bulrushchute.Millis) {
	report, changed, crashed := c.quarantine.takeReport(now)
	if !changed {
		return
	}
	value, err := report.Encode()
	if err != nil {
		klog.ErrorS(err, "report of crashes not published")
		return
	}
	c.quarantineVersion = max(c.quarantineVersion+1, uint64(now))
	record := bulrushchute.Record{
		Key:     bulrushchute.RecordKey{Topic: bulrushchute.TopicQuarantine, Name: string(c.id)},
		Version: bulrushchute.RecordVersion{Counter: c.quarantineVersion},
		Value:   value,
	}
	c.membership.Table().Publish(now, record)
	if crashed {
		c.notifyService(record)
	}
}

// notifyService sends a record to nodes of the same service.
func (c *control) notifyService(record bulrushchute.Record) {
	notified := 0
	for id, member := range c.members[c.admission.latestAnnouncement().Service] {
		if id == c.id || notified >= maxNotified {
			continue
		}
		notified++
		records := &bulrushchute.Records{Records: []bulrushchute.Record{record}}
		c.transport.Send(member.Address, bulrushchute.Control{From: c.id, Records: records})
	}
}

// onQuarantine handles the report of crashes of a node.
func (c *control) onQuarantine(now bulrushchute.Millis, record bulrushchute.Record) {
	node := bulrushchute.InstanceID(record.Key.Name)
	if node == c.id {
		return
	}
	report, err := bulrushquarantine.ParseReport(record.Value)
	if err != nil {
		klog.ErrorS(err, "report of crashes not taken", "instance", node)
		return
	}
	if !c.quarantine.apply(now, node, report) {
		c.reportsLeftOut = true
	}
}

// acceptRecord reports whether a record of another node is still needed.
func (c *control) acceptRecord(now bulrushchute.Millis, record bulrushchute.Record) bool {
	return record.Key.Topic != bulrushchute.TopicQuarantine || !bulrushquarantine.Expired(now, bulrushchute.Millis(record.Version.Counter))
}

// forgetReports removes reports of crashes that no node needs any more, and takes
// those for which there was no room before.
func (c *control) forgetReports(now bulrushchute.Millis) {
	if now < c.reportsForgottenAt+bulrushchute.Minute {
		return
	}
	c.reportsForgottenAt = now
	var expired, kept []bulrushchute.Record
	c.membership.Table().Range(bulrushchute.TopicQuarantine, func(record bulrushchute.Record) bool {
		if c.acceptRecord(now, record) {
			kept = append(kept, record)
		} else {
			expired = append(expired, record)
		}
		return true
	})
	for _, record := range expired {
		c.membership.Table().Forget(record.Key)
		c.quarantine.apply(now, bulrushchute.InstanceID(record.Key.Name), bulrushquarantine.Report{})
	}
	if !c.reportsLeftOut {
		return
	}
	c.reportsLeftOut = false
	for _, record := range kept {
		c.onQuarantine(now, record)
		if c.reportsLeftOut {
			return
		}
	}
}
