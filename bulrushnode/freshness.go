package bulrushnode

import (
	"context"
	"encoding/binary"
	"time"

	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushfreshness"
)

const (
	// confirmationName is the name of the only record of TopicConfirmation.
	confirmationName = "catalogue"
	// confirmTimeout bounds a read of all kinds of the catalogue.
	confirmTimeout = 1500 * time.Millisecond
	// roleInterval is how often a node counts the members and checks whether it is
	// the first reader of its data centre.
	roleInterval = bulrushchute.Second
)

var confirmationKey = bulrushchute.RecordKey{Topic: bulrushchute.TopicConfirmation, Name: confirmationName}

// freshness connects a bulrushfreshness.Tracker with the records and the store. Only
// control's goroutine uses it, except for reads.
type freshness struct {
	tracker *bulrushfreshness.Tracker
	// copyChanged is set when the tracker has not seen the last change of the copy.
	copyChanged bool
	role        bulrushfreshness.Role
	nextRole    bulrushchute.Millis
	revision    uint64
	// readAt is the time of the read on which the confirmation among the records is
	// based, as far as this node knows. arrivingAge is the age of the confirmation that
	// is being stored.
	readAt      bulrushchute.Millis
	arrivingAge bulrushchute.Millis
	// reads receives a value when a read of the store is due.
	reads chan struct{}
	// waiting are the nodes that introduced themselves before the copy was confirmed.
	waiting []bulrushchute.Address
}

// maxStatedAge limits the ages and delays of confirmations, so that absurd ones that a
// faulty node states cannot overflow. Any age beyond bulrushfreshness.MaxAge is too old.
const maxStatedAge = bulrushchute.Hour

// maxWaiting limits the nodes that get the confirmation later.
const maxWaiting = 256

func newFreshness(n *Node, id bulrushchute.InstanceID) *freshness {
	firstRead := bulrushchute.MillisOf(confirmDelay)
	if n.settings.FirstStart {
		// All nodes start at once. A few of them confirm the catalogue for the others.
		firstRead = 0
	}
	return &freshness{
		tracker: bulrushfreshness.NewTracker(n.clock.Now(), firstRead, newRandom(string(id), "freshness")),
		reads:   make(chan struct{}, 1),
	}
}

// tickFreshness does what is due to keep the copy of the catalogue current, and
// publishes on the board whether it is.
func (c *control) tickFreshness(now bulrushchute.Millis) {
	f := c.freshness
	c.observeCopy()
	if now >= f.nextRole {
		f.nextRole = now + roleInterval
		f.role = c.freshnessRole(now)
	}
	switch f.tracker.Next(now, f.role) {
	case bulrushfreshness.ActionCompare:
		c.logRepair(now, "compare")
		c.membership.CompareWithNeighbour()
	case bulrushfreshness.ActionRead:
		c.logRepair(now, "read")
		f.reads <- struct{}{}
	}
	c.publishFreshness(now)
	c.confirmToWaiting(now)
}

// logRepair logs what the node does to bring its copy up to date, except for the
// regular reads of a first reader.
func (c *control) logRepair(now bulrushchute.Millis, action string) {
	f := c.freshness
	behind, isBehind := f.tracker.Behind(now)
	if f.role.FirstReader && !isBehind {
		return
	}
	klog.InfoS("catalogue repair begun", "by", action, "behind", isBehind, "behind_ms", behind, "age_ms", f.tracker.Age(now))
}

func (c *control) publishFreshness(now bulrushchute.Millis) {
	current := c.freshness.tracker.Current(now)
	if c.board.Read().CatalogueCurrent == current {
		return
	}
	c.board.Update(func(view bulrushboard.View) bulrushboard.View { return view.WithCatalogueCurrent(current) })
	klog.InfoS("catalogue freshness changed", "current", current, "age_ms", c.freshness.tracker.Age(now), "revision", c.freshness.revision,
		"catalogue", c.board.Read().Catalogue.Routing().Label, "joined", c.membership.Status().Joined)
}

func (c *control) freshnessRole(now bulrushchute.Millis) bulrushfreshness.Role {
	role := bulrushfreshness.Role{}
	preceding := make(map[bulrushchute.DataCentre]bool)
	c.membership.Range(func(member bulrushchute.Instance) bool {
		role.Nodes++
		if member.DataCentre < c.dataCentre {
			preceding[member.DataCentre] = true
		}
		return true
	})
	role.Turn = len(preceding)
	settled := now-c.startedAt >= settleDuration
	role.FirstReader = settled && c.rank(readerPurpose(c.dataCentre), c.dataCentre, 1) == 0
	return role
}

// observeCopy passes a changed copy to the tracker.
func (c *control) observeCopy() {
	if !c.freshness.copyChanged {
		return
	}
	c.freshness.copyChanged = false
	c.freshness.tracker.ObserveCopy(c.summarizeCatalogue())
}

func (c *control) summarizeCatalogue() bulrushfreshness.Summary {
	summary := c.membership.Table().Summarize(bulrushchute.TopicCatalogue, bulrushchute.TopicKeyMap)
	return bulrushfreshness.Summary{Hash: summary.Hash, Newest: summary.NewestCounter, Incomplete: len(c.notInForce) > 0}
}

// publishConfirmation spreads the confirmation of a read of the store that began at the
// given time.
func (c *control) publishConfirmation(now, began bulrushchute.Millis, revision uint64) {
	table := c.membership.Table()
	version := bulrushchute.RecordVersion{Epoch: revision, Counter: 1}
	if previous, exists := table.Get(confirmationKey); exists && previous.Version.Epoch == revision {
		version.Counter = previous.Version.Counter + 1
	}
	value := binary.LittleEndian.AppendUint64(nil, c.summarizeCatalogue().Hash)
	c.freshness.arrivingAge = now - began
	table.Publish(now, bulrushchute.Record{Key: confirmationKey, Version: version, Value: value})
}

// stateConfirmationAge sets the age of the confirmation in a message with records.
func (c *control) stateConfirmationAge(records *bulrushchute.Records) {
	for i := range records.Records {
		if records.Records[i].Key == confirmationKey {
			records.ConfirmationAge = min(max(0, c.clock.Now()-c.freshness.readAt), maxStatedAge)
		}
	}
}

// onConfirmation handles a confirmation that this node or another one published.
func (c *control) onConfirmation(now bulrushchute.Millis, record bulrushchute.Record) {
	if len(record.Value) != 8 {
		klog.InfoS("confirmation not taken", "bytes", len(record.Value))
		return
	}
	c.observeCopy()
	f := c.freshness
	f.revision, f.readAt = record.Version.Epoch, now-f.arrivingAge
	f.tracker.ObserveConfirmation(now, bulrushfreshness.Confirmation{
		Revision: record.Version.Epoch,
		Hash:     binary.LittleEndian.Uint64(record.Value),
		Age:      f.arrivingAge,
	})
}

// onIntroduced tells a node that has just started which catalogue is current, so that
// it need not read the store. Once this node knows it, if it does not yet.
func (c *control) onIntroduced(_ bulrushchute.Millis, address bulrushchute.Address) {
	if len(c.freshness.waiting) < maxWaiting {
		c.freshness.waiting = append(c.freshness.waiting, address)
	}
}

// confirmToWaiting sends the confirmation of this node's copy to the nodes that wait
// for it.
func (c *control) confirmToWaiting(now bulrushchute.Millis) {
	f := c.freshness
	if len(f.waiting) == 0 || !f.tracker.Current(now) {
		return
	}
	confirmation := &bulrushchute.Confirmation{Revision: f.revision, Hash: c.summarizeCatalogue().Hash, Age: f.tracker.Age(now)}
	for _, address := range f.waiting {
		c.transport.Send(address, bulrushchute.Control{From: c.id, Confirmation: confirmation})
	}
	f.waiting = nil
}

// onSentConfirmation handles a confirmation that another node sent to this one.
func (c *control) onSentConfirmation(now bulrushchute.Millis, sent bulrushchute.Confirmation) {
	c.observeCopy()
	c.freshness.tracker.ObserveConfirmation(now, bulrushfreshness.Confirmation{Revision: sent.Revision, Hash: sent.Hash, Age: sent.Age})
	c.publishFreshness(now)
	c.updateState(c.membership.Status())
}

// runConfirmations reads the catalogue from the store whenever the tracker asks for
// it.
func (r *reader) runConfirmations(ctx context.Context) error {
	var verifiedRevision uint64
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.node.control.freshness.reads:
		}
		verifiedRevision = r.confirm(ctx, verifiedRevision)
	}
}

// confirm lists what has changed in the store since verifiedRevision, and returns the
// revision up to which this node has all changes.
func (r *reader) confirm(ctx context.Context, verifiedRevision uint64) uint64 {
	began := r.node.clock.Now()
	readCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	revision, complete, err := r.listIfChanged(readCtx, verifiedRevision)
	if err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("catalogue not confirmed", "revision", verifiedRevision, "error", err)
	}
	r.node.control.do(ctx, func(now bulrushchute.Millis) {
		c := r.node.control
		c.observeCopy()
		c.freshness.tracker.ReadEnded(now, began, err == nil && complete, c.freshness.role)
		if err == nil && complete {
			c.publishConfirmation(now, began, revision)
		}
		c.publishFreshness(now)
		c.updateState(c.membership.Status())
	})
	return revision
}

// CatalogueStatus states when the node's copy of the catalogue was last confirmed.
type CatalogueStatus struct {
	// Label is that of the routing table in force.
	Label string `json:"label"`
	// Current is set if the copy was confirmed a short time ago.
	Current bool `json:"current"`
	// AgeMs is the time since the last confirmation, Revision the store's revision in
	// it.
	AgeMs    bulrushchute.Millis `json:"age_ms"`
	Revision uint64              `json:"revision"`
	Joined   bool                `json:"joined"`
	// FalseDeletions counts the deleted entries that this node has found to exist in the
	// store.
	FalseDeletions uint64 `json:"false_deletions"`
}

func (n *Node) catalogueStatus() CatalogueStatus {
	view := n.board.Read()
	status := CatalogueStatus{Label: view.Catalogue.Routing().Label, Current: view.CatalogueCurrent}
	n.control.do(n.context, func(now bulrushchute.Millis) {
		status.AgeMs = n.control.freshness.tracker.Age(now)
		status.Revision = n.control.freshness.revision
		status.Joined = n.control.membership.Status().Joined
		status.FalseDeletions = n.control.deletionRepair.found
	})
	return status
}
