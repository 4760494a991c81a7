package bulrushnode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/bulrushtask"
	"bulrushchute.example/bulrushchute/bulrushusage"
)

const (
	// usageLeaseName is the name of the lease of the usage duty.
	usageLeaseName        = "usage"
	usageLeaseClockMargin = 500 * bulrushchute.Millisecond
	// usageLeasePollInterval is how often a node checks whether it should hold the
	// lease.
	usageLeasePollInterval = 250 * time.Millisecond
	// firstCountsDelay is the time in which the counts of other nodes arrive after they
	// have learned of the first holder.
	firstCountsDelay = 2500 * bulrushchute.Millisecond
	// maxUsageCandidates limits the nodes that try to acquire the lease.
	maxUsageCandidates = 2
)

// usageDuty is the part of a node that sends the usage reports of all nodes while it
// holds the lease. Only control's goroutine uses it, except for runLease, which
// calls the store, and the methods that it calls outside of control.do.
type usageDuty struct {
	usage     *usage
	clock     bulrushchute.Clock
	startedAt bulrushchute.Millis
	self      bulrushchute.Instance
	store     bulrushchute.Store
	tasks     *bulrushtask.Group
	context   context.Context
	lease     *bulrushstore.Lease
	reporter  *bulrushusage.Reporter
	// token is that of the current term, 0 if there is none. The reporter learns of the
	// term at beginAt, as begun tells.
	token   uint64
	beginAt bulrushchute.Millis
	begun   bool
	// givenUp is the token of a term that this node has ended, although the lease may
	// still be held.
	givenUp uint64
	// published counts the records of the holder that this node has published.
	published uint64
	stats     usageDutyStats
}

// usageDutyStats counts what a holder has done, since the start of the process.
type usageDutyStats struct {
	acknowledged bulrushchute.UsageWindow
	// missing holds the windows that are settled and not acknowledged, and whether
	// they were sent.
	missing    map[bulrushchute.UsageWindow]bool
	incomplete uint64
	// sent counts the reports sent, and repeated those among them that were sent
	// before.
	sent     uint64
	repeated uint64
}

func newUsageDuty(n *Node, u *usage) *usageDuty {
	clock := u.options.Clock
	return &usageDuty{
		usage:     u,
		clock:     clock,
		startedAt: clock.Now(),
		self:      n.self,
		store:     n.store,
		tasks:     n.tasks,
		context:   n.context,
		lease: bulrushstore.NewLease(n.store, clock, bulrushstore.LeaseSettings{
			Name:          usageLeaseName,
			Holder:        n.id,
			Duration:      usageLeaseDuration(u.options.Settings),
			RenewInterval: usageLeaseRenewInterval(u.options.Settings),
			ClockMargin:   usageLeaseClockMargin,
		}),
		reporter: bulrushusage.NewReporter(u.options.Settings),
		stats:    usageDutyStats{missing: make(map[bulrushchute.UsageWindow]bool)},
	}
}

// usageLeaseDuration is longer than LeaseMs, because each renewal costs a write. A
// successor of a holder that ends still sends its windows in time if LateMs is three
// times LeaseMs or more. A report needs CallTimeout before the lease lapses.
func usageLeaseDuration(settings bulrushusage.Settings) bulrushchute.Millis {
	return max(2*settings.LeaseMs, 4*bulrushusage.CallTimeout)
}

// usageLeaseRenewInterval leaves time for a second renewal if one fails.
func usageLeaseRenewInterval(settings bulrushusage.Settings) bulrushchute.Millis {
	return usageLeaseDuration(settings) * 2 / 5
}

// runLease acquires and renews the lease while this node should hold it, and
// releases it when the context ends. A term that ends for another reason leaves the
// lease to lapse.
func (d *usageDuty) runLease(ctx context.Context) error {
	var nextRenewal bulrushchute.Millis
	for ctx.Err() == nil {
		if now := d.clock.Now(); now >= nextRenewal && d.contends(ctx) {
			nextRenewal = now + usageLeaseRenewInterval(d.usage.options.Settings)
			if _, err := d.lease.AcquireOrRenew(ctx); err != nil && ctx.Err() == nil {
				klog.V(1).InfoS("usage lease not renewed", "error", err)
			}
		}
		bulrushtask.Pause(ctx, usageLeasePollInterval)
	}
	return d.release(d.context, "planned stop")
}

// release ends the term and releases the lease, once no report of this node can
// arrive any more.
func (d *usageDuty) release(ctx context.Context, reason string) error {
	var after bulrushchute.Millis
	d.usage.control.do(ctx, func(bulrushchute.Millis) {
		d.givenUp = d.token
		d.endTerm(reason)
		after = d.reporter.ReleaseAfter()
	})
	for d.clock.Now() <= after && ctx.Err() == nil {
		bulrushtask.Pause(ctx, usageLeasePollInterval)
	}
	if _, held := d.lease.Held(); !held || ctx.Err() != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, bulrushstore.DefaultTimeout.Duration())
	defer cancel()
	return errors.Wrap(d.lease.Release(ctx), "release the usage lease")
}

// contends reports whether this node holds the lease or should try to acquire it.
func (d *usageDuty) contends(ctx context.Context) bool {
	token, held := d.lease.Token()
	contends := false
	d.usage.control.do(ctx, func(bulrushchute.Millis) {
		if held {
			contends = token != d.givenUp
			return
		}
		now := d.clock.Now()
		contends = d.usage.active() && now >= bulrushusage.ContendAfter(d.usage.options.Settings, d.startedAt) &&
			!d.usage.holderWorks(now) && d.usage.control.isCandidate(usageLeaseName, "", maxUsageCandidates)
	})
	return contends
}

// holderWorks reports whether another node is known that sends the reports.
func (u *usage) holderWorks(now bulrushchute.Millis) bool {
	settings := u.options.Settings
	if u.holder.ID == "" || u.holder.ID == u.control.id {
		return false
	}
	settledLate := now > u.holder.Settled.End(settings.WindowMs)+settings.WindowMs+settings.LateMs && now > u.holderSeenAt+settings.LateMs
	return u.control.isReliableMember(u.holder.ID) && !settledLate
}

// isReliableMember reports whether an instance is known as isReliable says.
func (c *control) isReliableMember(id bulrushchute.InstanceID) bool {
	member, known := c.members[c.serviceOf[id]][id]
	return known && isReliable(member)
}

// storeRestored ends the term after the store was restored from a copy. It does not
// block.
func (u *usage) storeRestored() {
	if u == nil {
		return
	}
	u.duty.lease.Void()
	u.duty.tasks.Start(u.duty.context, "usage restore", func(ctx context.Context) error {
		u.control.do(ctx, func(bulrushchute.Millis) { u.duty.reporter.Restored() })
		return nil
	})
}

// tick follows the lease and starts the calls that are due.
func (d *usageDuty) tick(now bulrushchute.Millis) {
	token, held := d.lease.Token()
	if d.token != 0 && (!held || token != d.token) {
		d.endTerm("lease lost")
	}
	if held && d.token == 0 && token != d.givenUp {
		d.acquired(now, token)
	}
	if d.token != 0 && !d.begun && now >= d.beginAt {
		d.begun = true
		d.reporter.Begin(now, d.token)
	}
	until, _ := d.lease.ExpiresAt()
	for _, action := range d.reporter.Next(now, until, d.usage.collector.Total) {
		d.run(action)
	}
}

// acquired begins a term. The first holder that this node knows of waits until the
// others have passed on their counts, because it decides which window is the first.
func (d *usageDuty) acquired(now bulrushchute.Millis, token uint64) {
	d.token, d.beginAt = token, now
	if d.usage.holder.Token == 0 {
		d.beginAt += firstCountsDelay
	}
	klog.InfoS("usage duty acquired", "token", token)
	d.publish()
}

// endTerm ends the term and tells the other nodes, so that another one acquires the
// lease.
func (d *usageDuty) endTerm(reason string) {
	if d.token == 0 {
		return
	}
	klog.InfoS("usage duty lost", "token", d.token, "reason", reason)
	d.usage.publishHolder(usageHolder{Token: d.token, Settled: d.settled()})
	d.reporter.End()
	d.token, d.begun = 0, false
}

// publish tells all nodes that this node sends the reports, and which windows are
// settled.
func (d *usageDuty) publish() {
	d.usage.publishHolder(usageHolder{ID: d.self.ID, Address: d.self.Address, Token: d.token, Settled: d.settled()})
}

func (d *usageDuty) settled() bulrushchute.UsageWindow {
	window, _ := d.reporter.SettledThrough()
	return max(window, d.usage.holder.Settled)
}

// nextVersion orders the records of the holder by its term.
func (d *usageDuty) nextVersion(token uint64) bulrushchute.RecordVersion {
	d.published++
	return bulrushchute.RecordVersion{Epoch: token, Counter: d.published}
}

func (d *usageDuty) run(action bulrushusage.Action) {
	switch a := action.(type) {
	case *bulrushusage.GiveUpTerm:
		d.tasks.Start(d.context, "usage lease release", func(ctx context.Context) error {
			return d.release(ctx, a.Cause.Error())
		})
	case *bulrushusage.Settled:
		d.onSettled(a)
	case *bulrushusage.GivenUp:
		klog.InfoS("usage window given up", "from", a.From, "through", a.Through)
	default:
		d.tasks.Start(d.context, "usage call", func(ctx context.Context) error {
			d.call(ctx, action)
			return nil
		})
	}
}

func (d *usageDuty) onSettled(settled *bulrushusage.Settled) {
	var total uint64
	for _, count := range settled.Total.Counts {
		total += count
	}
	klog.InfoS("usage window settled", "window", settled.Window, "sources", settled.Total.Sources,
		"expected", settled.Total.Expected, "complete", settled.Total.Complete, "tenants", len(settled.Total.Counts), "total", total)
	if !settled.Total.Complete {
		d.stats.incomplete++
	}
	d.stats.missing[settled.Window] = false
	delete(d.stats.missing, settled.Window-min(settled.Window, bulrushusage.WindowsKept))
	d.publish()
}

// call makes a call to the store or to the platform and passes on its result. A call
// that is not permitted any more is not made.
func (d *usageDuty) call(ctx context.Context, action bulrushusage.Action) {
	permitted := false
	d.usage.control.do(ctx, func(bulrushchute.Millis) { permitted = d.reporter.Permitted(d.clock.Now(), action) })
	result := bulrushusage.Result{Outcome: bulrushusage.OutcomeNotDone}
	var err error
	if permitted {
		result, err = d.execute(ctx, action)
	}
	d.usage.control.do(ctx, func(bulrushchute.Millis) {
		d.observe(action, result, err)
		if err := d.reporter.Done(d.clock.Now(), action, result); err != nil {
			klog.InfoS("usage ledger not taken", "error", err)
		}
	})
}

func (d *usageDuty) execute(ctx context.Context, action bulrushusage.Action) (bulrushusage.Result, error) {
	switch a := action.(type) {
	case *bulrushusage.ReadLedger:
		object, err := d.store.Get(ctx, bulrushchute.KindUsage, bulrushusage.LedgerName)
		return bulrushusage.Result{Outcome: usageOutcomeOf(err), Object: object}, err
	case *bulrushusage.WriteLedger:
		write := d.store.Update
		if a.Object.Version == 0 {
			write = d.store.Create
		}
		object, err := write(ctx, a.Object)
		return bulrushusage.Result{Outcome: usageOutcomeOf(err), Object: object}, err
	case *bulrushusage.Send:
		return d.sendReport(ctx, a)
	}
	return bulrushusage.Result{Outcome: bulrushusage.OutcomeNotDone}, nil
}

// sendReport sends a report, unless the process was paused since the check of the
// lease.
func (d *usageDuty) sendReport(ctx context.Context, send *bulrushusage.Send) (bulrushusage.Result, error) {
	remaining := send.Until - d.clock.Now()
	if remaining <= 0 {
		return bulrushusage.Result{Outcome: bulrushusage.OutcomeNotDone}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	err := d.usage.options.Sink.ReportUsage(ctx, d.usage.options.Holder, send.Token, send.Report)
	return bulrushusage.Result{Outcome: usageOutcomeOf(err)}, err
}

// observe counts and logs a report.
func (d *usageDuty) observe(action bulrushusage.Action, result bulrushusage.Result, err error) {
	send, ok := action.(*bulrushusage.Send)
	if !ok {
		return
	}
	window := send.Report.Window
	d.stats.sent++
	if d.stats.missing[window] {
		d.stats.repeated++
	}
	if result.Outcome != bulrushusage.OutcomeDone {
		d.stats.missing[window] = true
		klog.InfoS("usage report not accepted", "window", window, "token", send.Token, "error", err)
		return
	}
	d.stats.acknowledged = max(d.stats.acknowledged, window)
	delete(d.stats.missing, window)
	klog.InfoS("usage report sent", "window", window, "token", send.Token, "tenants", len(send.Report.Counts))
}

// usageOutcomeOf returns what an error says about the effect of a call.
func usageOutcomeOf(err error) bulrushusage.Outcome {
	var notFound *bulrushchute.NotFoundError
	var unavailable *bulrushchute.UnavailableError
	switch {
	case err == nil:
		return bulrushusage.OutcomeDone
	case bulrushchute.LostRace(err):
		return bulrushusage.OutcomeConflict
	case errors.As(err, &notFound):
		return bulrushusage.OutcomeNotFound
	case errors.As(err, &unavailable):
		return bulrushusage.OutcomeNotDone
	default:
		return bulrushusage.OutcomeUnknown
	}
}
