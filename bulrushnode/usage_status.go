package bulrushnode

import (
	"cmp"
	"maps"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// maxUsageTenants limits the tenants in UsageStatus.OpenCounts, as maxTenants
// limits those with histograms of their own.
const maxUsageTenants = 64

// UsageStatus is the status of usage reports as seen by a node. Windows are 0 if
// they are not known.
type UsageStatus struct {
	// Holder is the node that holds the duty to send reports, empty if there is none.
	Holder        bulrushchute.InstanceID `json:"holder"`
	HolderAddress bulrushchute.Address    `json:"holder_address"`
	// Token is the fencing token of the holder's term.
	Token uint64 `json:"token"`
	// HoldsDuty is set if this node is the holder. The fields from
	// AcknowledgedWindow to RepeatsSent are zero on other nodes.
	HoldsDuty bool `json:"holds_duty"`
	// SettledWindow is the last window whose counts are in the ledger, and
	// SettledEndMs the instant at which it ended.
	SettledWindow bulrushchute.UsageWindow `json:"settled_window"`
	SettledEndMs  bulrushchute.Millis      `json:"settled_end_ms"`
	// AcknowledgedWindow is the last window whose report the platform has accepted.
	AcknowledgedWindow bulrushchute.UsageWindow `json:"acknowledged_window"`
	// MissingWindows are past windows whose reports the platform has not accepted.
	MissingWindows []bulrushchute.UsageWindow `json:"missing_windows"`
	// IncompleteWindows counts the windows that were settled without the counts of
	// all nodes.
	IncompleteWindows uint64 `json:"incomplete_windows"`
	// ReportsSent counts the reports sent to the platform, and RepeatsSent those
	// among them that were sent before.
	ReportsSent uint64 `json:"reports_sent"`
	RepeatsSent uint64 `json:"repeats_sent"`
	// Collects is set if this node adds up the counts of its group.
	Collects bool `json:"collects"`
	// MessagesSent counts the messages with counts that this node has sent to other
	// nodes, repeats included.
	MessagesSent uint64 `json:"messages_sent"`
	// OpenWindow is the current window, and OpenCounts what this node has counted in
	// it. If there are more than 64 tenants, OpenCounts has those with the highest
	// counts, and OtherCount is the sum of the others.
	OpenWindow bulrushchute.UsageWindow `json:"open_window"`
	OpenCounts bulrushchute.UsageCounts `json:"open_counts"`
	OtherCount uint64                   `json:"other_count"`
}

// status returns the status of usage reports with all tenants.
func (u *usage) status() UsageStatus {
	var status UsageStatus
	u.control.do(u.duty.context, func(bulrushchute.Millis) {
		length := u.options.Settings.WindowMs
		open := bulrushchute.UsageWindowOf(u.options.Clock.Now(), length)
		status = UsageStatus{
			Holder: u.holder.ID, HolderAddress: u.holder.Address, Token: u.holder.Token,
			SettledWindow: u.holder.Settled,
			Collects:      u.collector.Collects(),
			MessagesSent:  u.messagesSent,
			OpenWindow:    open,
			OpenCounts:    u.counter.Counts(open),
		}
		if u.holder.Settled > 0 {
			status.SettledEndMs = u.holder.Settled.End(length)
		}
		if u.duty.token != 0 {
			status = u.duty.stats.addTo(status)
		}
	})
	return status
}

// addTo adds what only the holder knows.
func (s usageDutyStats) addTo(status UsageStatus) UsageStatus {
	status.HoldsDuty = true
	status.AcknowledgedWindow = s.acknowledged
	status.MissingWindows = slices.Sorted(maps.Keys(s.missing))
	status.IncompleteWindows, status.ReportsSent, status.RepeatsSent = s.incomplete, s.sent, s.repeated
	return status
}

// withLimitedTenants returns a copy with at most maxUsageTenants tenants.
func (us UsageStatus) withLimitedTenants() UsageStatus {
	if len(us.OpenCounts) <= maxUsageTenants {
		return us
	}
	tenants := slices.SortedFunc(maps.Keys(us.OpenCounts), func(a, b bulrushchute.Tenant) int {
		return cmp.Or(cmp.Compare(us.OpenCounts[b], us.OpenCounts[a]), cmp.Compare(a, b))
	})
	limited := make(bulrushchute.UsageCounts, maxUsageTenants)
	for i, tenant := range tenants {
		if i < maxUsageTenants {
			limited[tenant] = us.OpenCounts[tenant]
		} else {
			us.OtherCount += us.OpenCounts[tenant]
		}
	}
	us.OpenCounts = limited
	return us
}

// readUsage returns the status of usage reports, or nil if the node does not take
// part in them.
func (n *Node) readUsage() *UsageStatus {
	if n.usageStatus == nil {
		return nil
	}
	status := n.usageStatus().withLimitedTenants()
	return &status
}
