package bulrushnode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// Parameters of the readers.
const (
	// readersPerDataCentre makes the number of watches at the store independent of
	// the number of nodes. More than one reader is needed, because a reader may
	// lose the connection to the store without noticing it immediately.
	readersPerDataCentre = 2
	// rankInterval is how often a node checks whether it is among the readers.
	rankInterval = time.Second
	// confirmDelay is the time for which a node that starts waits for its peers'
	// copy of the catalogue before it asks the store for the current one.
	confirmDelay = 50 * time.Millisecond
	// settleDuration is the time after the start in which a node discovers others.
	settleDuration     = 2500 * bulrushchute.Millisecond
	settlePollInterval = 250 * time.Millisecond
	// minWatchRetryDelay is the delay after a failed watch or list. It doubles up to
	// maxWatchRetryDelay with each consecutive failure.
	minWatchRetryDelay = 100 * time.Millisecond
	maxWatchRetryDelay = time.Second
)

// defaultKinds are the kinds of objects that readers watch unless Options.Kinds
// replaces them.
var defaultKinds = []bulrushchute.Kind{
	bulrushchute.KindServices,
	bulrushchute.KindDataCentres,
	bulrushchute.KindKeyMaps,
}

// reader watches the store for its data centre while this node is one of the
// readers. It needs no lease: if nodes temporarily disagree on the ranks, this
// costs a few more calls, and nodes ignore older versions.
type reader struct {
	node *Node
	// kinds are the kinds of objects to watch.
	kinds []bulrushchute.Kind
}

// run reads the store once and then watches it whenever this node is one of the
// readers.
func (r *reader) run(ctx context.Context) error {
	r.readInitially(ctx)
	for ctx.Err() == nil {
		if r.rank(ctx) < readersPerDataCentre {
			r.readUntilOutranked(ctx)
		}
		bulrushtask.Pause(ctx, rankInterval)
	}
	return nil
}

// readInitially reads the catalogue at the start, before the node knows whether it
// is one of the readers. A node that joins others receives newer versions from
// them.
func (r *reader) readInitially(ctx context.Context) {
	retryDelay := minWatchRetryDelay
	for _, kind := range r.kinds {
		for ctx.Err() == nil {
			err := r.listAndPublish(ctx, kind)
			if err == nil {
				break
			}
			klog.V(1).InfoS("catalogue not read at the start", "kind", kind, "error", err)
			if r.node.board.Read().Catalogue.HasServices() {
				return
			}
			bulrushtask.Pause(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxWatchRetryDelay)
		}
	}
	for ctx.Err() == nil && !r.node.settled() {
		bulrushtask.Pause(ctx, settlePollInterval)
		if r.node.board.Read().Catalogue.HasServices() {
			continue
		}
		// The first catalogue may be written while the fleet starts.
		if err := r.listAndPublish(ctx, r.kinds[0]); err != nil {
			klog.V(1).InfoS("catalogue not read at the start", "kind", r.kinds[0], "error", err)
		}
	}
}

func (r *reader) listAndPublish(ctx context.Context, kind bulrushchute.Kind) error {
	list := r.node.store.List
	if stale, ok := r.node.store.(bulrushchute.StaleLister); ok {
		list = stale.ListStale
	}
	objects, revision, err := list(ctx, kind)
	if err != nil {
		return err
	}
	r.publishList(ctx, kind, objects, revision)
	return nil
}

// settled reports whether the node has had time to discover others. Before that,
// its rank is not meaningful.
func (n *Node) settled() bool {
	return n.clock.Now()-n.control.startedAt >= settleDuration
}

// rank returns the number of nodes of this data centre that precede this one, but
// at most readersPerDataCentre. Nodes that know the same members compute the same
// ranks.
func (r *reader) rank(ctx context.Context) int {
	rank := 0
	r.node.control.do(ctx, func(bulrushchute.Millis) {
		rank = r.node.control.rank(r.name(), r.node.settings.DataCentre, readersPerDataCentre)
	})
	return rank
}

func (r *reader) name() string {
	return readerPurpose(r.node.settings.DataCentre)
}

// readerPurpose is the purpose under which the readers of a data centre are ranked.
func readerPurpose(dataCentre bulrushchute.DataCentre) string {
	return "reader-" + string(dataCentre)
}

// readUntilOutranked watches all kinds until enough other nodes precede this one.
func (r *reader) readUntilOutranked(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	watches := bulrushtask.NewGroup(nil)
	defer watches.Wait()
	for _, kind := range r.kinds {
		watches.Start(ctx, string(kind), func(ctx context.Context) error { return r.watch(ctx, kind) })
	}
	watches.Start(ctx, "seeds", r.maintainSeeds)
	watches.Start(ctx, "quarantines", r.readQuarantines)
	klog.InfoS("reading the store", "data_centre", r.node.settings.DataCentre)
	for ctx.Err() == nil {
		bulrushtask.Pause(ctx, rankInterval)
		if r.rank(ctx) >= readersPerDataCentre && r.node.board.Read().State == bulrushboard.NodeReady {
			klog.InfoS("no longer reading the store", "data_centre", r.node.settings.DataCentre)
			return
		}
	}
}

// watch lists a kind and watches its changes, and retries after each failure. It
// lists the kind again only if the store has discarded the missed changes.
func (r *reader) watch(ctx context.Context, kind bulrushchute.Kind) error {
	var at cursor
	retryDelay := minWatchRetryDelay
	lost := false
	for {
		err := r.listOrWatch(ctx, kind, &at)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err == nil && lost:
			klog.InfoS("store regained", "kind", kind, "revision", at.revision)
			lost, retryDelay = false, minWatchRetryDelay
		case err != nil && !lost:
			klog.InfoS("store lost", "kind", kind, "revision", at.revision, "error", err)
			lost = true
		}
		if err != nil {
			bulrushtask.Pause(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxWatchRetryDelay)
		}
	}
}

// cursor is the position up to which a kind has been read.
type cursor struct {
	listed   bool
	revision uint64
}

// listOrWatch lists the kind, or watches its next changes if it is already listed.
func (r *reader) listOrWatch(ctx context.Context, kind bulrushchute.Kind, at *cursor) error {
	if !at.listed {
		objects, revision, err := r.node.store.List(ctx, kind)
		if err != nil {
			return errors.Wrapf(err, "list %s", kind)
		}
		r.publishConsistentList(ctx, kind, objects, revision)
		*at = cursor{listed: true, revision: revision}
		return nil
	}
	err := r.node.store.Watch(ctx, kind, at.revision, func(event bulrushchute.StoreEvent) {
		at.revision = max(at.revision, event.Object.Version)
		r.publish(ctx, []bulrushchute.StoreEvent{event})
	})
	var gone *bulrushstore.GoneError
	var ended *bulrushstore.WatchEndedError
	switch {
	case errors.As(err, &gone):
		at.listed = false
		return nil
	case errors.As(err, &ended):
		at.revision = max(at.revision, ended.Revision)
		return nil
	}
	return err
}

// listIfChanged lists all kinds unless the store is still at verifiedRevision. It
// lists the last kind first to get the revision, because that kind has few objects.
// It returns the revision up to which all changes are published, and false if
// something was held back.
func (r *reader) listIfChanged(ctx context.Context, verifiedRevision uint64) (uint64, bool, error) {
	var latestRevision uint64
	complete := true
	for i := range r.kinds {
		kind := r.kinds[len(r.kinds)-1-i]
		objects, revision, err := r.node.store.List(ctx, kind)
		if err != nil {
			return verifiedRevision, false, err
		}
		complete = r.publishConsistentList(ctx, kind, objects, revision) && complete
		if i == 0 {
			latestRevision = revision
		}
		if latestRevision == verifiedRevision {
			break
		}
	}
	if bulrushchute.EraOf(verifiedRevision) < bulrushchute.EraOf(latestRevision) && verifiedRevision > 0 {
		r.rewriteOutcomes(ctx)
	}
	if !complete {
		// Lists all kinds again at the next check. The era is kept.
		return bulrushchute.StoreVersion(bulrushchute.EraOf(latestRevision), 0), false, nil
	}
	return latestRevision, true, nil
}

// publishList publishes all listed objects of a kind. Objects that are known but
// not listed were deleted while no watch was running. They are published as
// deleted at the list's revision, which is later than their last version. It returns
// false if something was held back because the store was restored from a copy, or if the
// newest routing table cannot be read.
func (r *reader) publishList(ctx context.Context, kind bulrushchute.Kind, objects []bulrushchute.Object, revision uint64) bool {
	var changes []bulrushchute.StoreEvent
	complete := true
	r.node.control.do(ctx, func(now bulrushchute.Millis) {
		changes, complete = r.node.control.changesOfList(now, kind, objects, revision)
	})
	r.publish(ctx, changes)
	return complete
}

// changesOfList returns what publishList has to publish, and false if something was held
// back.
func (c *control) changesOfList(now bulrushchute.Millis, kind bulrushchute.Kind, objects []bulrushchute.Object, revision uint64) ([]bulrushchute.StoreEvent, bool) {
	var changes []bulrushchute.StoreEvent
	complete := true
	c.restored.observe(now, bulrushchute.EraOf(revision))
	known := c.knownObjects(kind)
	for _, object := range objects {
		if isStrayRouting(object) {
			klog.V(1).InfoS("object of the store not taken", "kind", kind, "name", object.Name)
			continue
		}
		version, exists := known[object.Name]
		delete(known, object.Name)
		if exists && version == object.Version {
			continue
		}
		if object.Unreadable {
			// The last valid version stays in force. Without the newest table, nobody
			// can tell whether a route exists.
			complete = complete && kind != bulrushchute.KindRouting
			continue
		}
		if exists && c.restored.holds(now, version) && replacesOrder(c.board.Read().Catalogue, object) {
			complete = false
			continue
		}
		changes = append(changes, bulrushchute.StoreEvent{Object: object})
	}
	for name, version := range known {
		if c.restored.holds(now, version) {
			complete = false
			continue
		}
		changes = append(changes, bulrushchute.StoreEvent{Object: bulrushchute.Object{Kind: kind, Name: name, Version: revision}, Deleted: true})
	}
	return changes, complete
}

// publish packs objects, which takes long for large ones, and then has control publish
// them.
func (r *reader) publish(ctx context.Context, changes []bulrushchute.StoreEvent) {
	var records []bulrushchute.Record
	for _, change := range changes {
		if record, replicated := packObject(change.Object, change.Deleted); replicated {
			records = append(records, record)
		}
	}
	if len(records) == 0 {
		return
	}
	r.node.control.do(ctx, func(now bulrushchute.Millis) {
		for _, record := range records {
			r.node.control.membership.Table().Publish(now, record)
		}
	})
}
