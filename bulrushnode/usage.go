package bulrushnode

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushusage"
)

// UsageOptions turn on usage reports.
type UsageOptions struct {
	Sink     bulrushchute.UsageSink
	Settings bulrushusage.Settings
	// Holder is the name under which this node sends reports.
	Holder string
	// Clock tells the window of a request and whether the lease is held. It must also
	// advance while the machine is suspended.
	Clock bulrushchute.Clock
}

const (
	// usageMembersInterval limits how often the members are passed to the collector.
	usageMembersInterval = bulrushchute.Second
	// usageHandoverTimeout limits the wait for the receipts of other nodes at a planned
	// stop.
	usageHandoverTimeout = 1500 * time.Millisecond
	// usageHolderName is the name of the only record of TopicUsage.
	usageHolderName = "holder"
)

var usageHolderKey = bulrushchute.RecordKey{Topic: bulrushchute.TopicUsage, Name: usageHolderName}

// usageHolder is the value of the record that tells which node sends the usage
// reports.
type usageHolder struct {
	// ID is empty if the node has given up the duty.
	ID      bulrushchute.InstanceID  `cbor:"1,keyasint"`
	Address bulrushchute.Address     `cbor:"2,keyasint"`
	Token   uint64                   `cbor:"3,keyasint"`
	Settled bulrushchute.UsageWindow `cbor:"4,keyasint"`
}

// usage is the node's part in usage reports: it counts the requests of its backend
// server, adds up the counts of other nodes, and sends the reports while it holds
// the lease. A nil usage does nothing: reports are off. Only control's goroutine uses
// it, except for began and ended.
type usage struct {
	options   UsageOptions
	control   *control
	counter   *bulrushusage.Counter
	collector *bulrushusage.Collector
	duty      *usageDuty
	// tenantsOf is the version of the routing table whose tenants the collector has.
	tenantsOf bulrushchute.RecordVersion
	// membersChanged is set when the collector lacks a change of the members.
	membersChanged bool
	nextMembersAt  bulrushchute.Millis
	// holder is the latest record, and holderSeenAt when it arrived.
	holder       usageHolder
	holderSeenAt bulrushchute.Millis
	messagesSent uint64
}

// newUsage returns nil if usage reports are off.
func newUsage(n *Node, options *UsageOptions) *usage {
	if options == nil {
		return nil
	}
	counter := bulrushusage.NewCounter(options.Settings)
	u := &usage{
		options:        *options,
		control:        n.control,
		counter:        counter,
		collector:      bulrushusage.NewCollector(options.Settings, n.id, n.settings.DataCentre, counter),
		membersChanged: true,
	}
	u.duty = newUsageDuty(n, u)
	return u
}

// began counts a request that is dispatched to the backend server. The result is
// passed to ended.
func (u *usage) began(tenant bulrushchute.Tenant) bulrushchute.UsageWindow {
	if u == nil || tenant == "" {
		return 0
	}
	return u.counter.Began(u.options.Clock.Now(), tenant)
}

// ended takes back the count of a request that did not run.
func (u *usage) ended(window bulrushchute.UsageWindow, tenant bulrushchute.Tenant, ran bool) {
	if window != 0 && !ran {
		u.counter.Withdraw(window, tenant)
	}
}

// active reports whether there is usage to report.
func (u *usage) active() bool {
	return u != nil && u.control.board.Read().Catalogue.Routing().RequiresKeys()
}

// onMember records that a member has changed.
func (u *usage) onMember() {
	if u != nil {
		u.membersChanged = true
	}
}

// tick does what is due, except for the lease.
func (u *usage) tick() {
	if !u.active() {
		return
	}
	now := u.options.Clock.Now()
	u.refresh(now)
	u.send(u.collector.Tick(now))
	u.duty.tick(now)
}

// refresh passes changed tenants and members to the collector.
func (u *usage) refresh(now bulrushchute.Millis) {
	routing := u.control.board.Read().Catalogue.Routing()
	if routing.Version != u.tenantsOf {
		u.tenantsOf = routing.Version
		var tenants []bulrushchute.Tenant
		for _, tenant := range routing.Tenants() {
			tenants = append(tenants, tenant.Tenant)
		}
		u.collector.SetTenants(tenants)
	}
	if !u.membersChanged || now < u.nextMembersAt {
		return
	}
	u.membersChanged, u.nextMembersAt = false, now+usageMembersInterval
	var members []bulrushchute.Instance
	u.control.membership.Range(func(member bulrushchute.Instance) bool {
		members = append(members, member)
		return true
	})
	u.collector.SetMembers(members)
}

func (u *usage) send(messages []bulrushusage.Outgoing) {
	u.messagesSent += uint64(len(messages))
	for _, m := range messages {
		u.control.transport.Send(m.Address, bulrushchute.Control{From: u.control.id, Usage: &bulrushchute.Usage{Parts: m.Parts}})
	}
}

// receive handles a message of another node.
func (u *usage) receive(from bulrushchute.Address, message bulrushchute.Control) {
	if !u.active() {
		return
	}
	now := u.options.Clock.Now()
	if len(message.Usage.Receipts) > 0 {
		u.collector.ReceiveReceipts(now, message.From, message.Usage.Receipts)
	}
	if len(message.Usage.Parts) == 0 {
		return
	}
	if receipts := u.collector.Receive(now, message.From, message.Usage.Parts); len(receipts) > 0 {
		u.control.transport.Send(from, bulrushchute.Control{From: u.control.id, Usage: &bulrushchute.Usage{Receipts: receipts}})
	}
}

// onHolder applies a record of the node that sends the reports.
func (u *usage) onHolder(record bulrushchute.Record) {
	if u == nil {
		return
	}
	var holder usageHolder
	if err := cbor.Unmarshal(record.Value, &holder); err != nil {
		klog.ErrorS(err, "holder of the usage duty not taken")
		return
	}
	u.holder, u.holderSeenAt = holder, u.options.Clock.Now()
	u.collector.SetHolder(holder.ID, holder.Address, holder.Settled)
}

// publishHolder tells all nodes who sends the reports.
func (u *usage) publishHolder(holder usageHolder) {
	value, err := cbor.Marshal(holder)
	if err != nil {
		klog.ErrorS(err, "holder of the usage duty not published")
		return
	}
	u.control.membership.Table().Publish(u.control.clock.Now(), bulrushchute.Record{
		Key:     usageHolderKey,
		Version: u.duty.nextVersion(holder.Token),
		Value:   value,
	})
}

// handOver passes on this node's counts, and those that it has collected, before the
// node ends. It waits for receipts until the context ends.
func (u *usage) handOver(ctx context.Context) {
	if !u.active() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, usageHandoverTimeout)
	defer cancel()
	// The counts are sent also if no time is left to wait for receipts.
	u.control.do(u.duty.context, func(bulrushchute.Millis) { u.send(u.collector.Stop(u.options.Clock.Now())) })
	waitUntil(ctx, func() bool {
		pending := true
		u.control.do(ctx, func(bulrushchute.Millis) { pending = u.collector.Pending() })
		return !pending
	})
}
