package bulrushnode

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushboard"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// Timings and sizes of the catalogue readers.
const (
	// readersPerDataCentre keeps the store's waiting watches independent of the
	// number of nodes. The others are in reserve, since a reader may be cut off
	// from the store without noticing it at once.
	readersPerDataCentre = 2
	// rankEvery is how often a node checks whether it is among the readers.
	rankEvery = time.Second
	// settleTime is the time in which a node that starts meets others.
	settleTime  = 2500 * bulrushchute.Millisecond
	settleEvery = 250 * time.Millisecond
	// verifyEvery is how often the first reader of a data centre checks that no
	// watch has missed a change, which a store that drops its history can cause.
	verifyEvery = 2500 * time.Millisecond
	// watchRetry is the pause after a watch or list failed, watchRetryMax the
	// longest after several failures in a row.
	watchRetry    = 100 * time.Millisecond
	watchRetryMax = time.Second
	// seedsEvery is how often the first reader refreshes the list of addresses
	// through which new nodes join.
	seedsEvery = 10 * time.Second
	seedCount  = 8
)

// defaultKinds are the kinds of objects that readers spread.
var defaultKinds = []bulrushchute.Kind{
	bulrushchute.KindServices,
	bulrushchute.KindDataCentres,
	bulrushchute.KindKeyMaps,
}

// reader follows the store for its data centre while this node is among the
// readers. Reading needs no lease: nodes that disagree on the ranks for a while
// cost a few calls, and an older version is ignored everywhere.
type reader struct {
	node *Node
	// kinds are the kinds of objects to follow.
	kinds []bulrushchute.Kind
}

// run follows the store whenever this node is among the readers.
func (r *reader) run(ctx context.Context) error {
	r.readOnce(ctx)
	for ctx.Err() == nil {
		if r.rank(ctx) < readersPerDataCentre {
			r.readWhileRanked(ctx)
		}
		bulrushtask.Pause(ctx, rankEvery)
	}
	return nil
}

// readOnce gives the node a catalogue when it starts, before it knows whether it
// is among the readers. A node that joins others gets what is newer from them.
func (r *reader) readOnce(ctx context.Context) {
	retry := watchRetry
	for _, kind := range r.kinds {
		for ctx.Err() == nil {
			err := r.listOnce(ctx, kind)
			if err == nil {
				break
			}
			klog.V(1).InfoS("catalogue not read at the start", "kind", kind, "error", err)
			if r.node.board.Read().Catalogue.HasServices() {
				return
			}
			bulrushtask.Pause(ctx, retry)
			retry = min(2*retry, watchRetryMax)
		}
	}
	for ctx.Err() == nil && !r.node.settled() {
		bulrushtask.Pause(ctx, settleEvery)
		if r.node.board.Read().Catalogue.HasServices() {
			continue
		}
		// The operators may write the first catalogue while the fleet starts.
		if err := r.listOnce(ctx, r.kinds[0]); err != nil {
			klog.V(1).InfoS("catalogue not read at the start", "kind", r.kinds[0], "error", err)
		}
	}
}

func (r *reader) listOnce(ctx context.Context, kind bulrushchute.Kind) error {
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

// settled reports whether the node has had time to meet others, so that its
// rank among them means something.
func (n *Node) settled() bool {
	return n.clock.Now()-n.control.startedAt >= settleTime
}

// rank returns the number of nodes of this data centre that come before this
// one. Every node computes the same ranks from the members that it knows.
func (r *reader) rank(ctx context.Context) int {
	rank := 0
	r.node.control.do(ctx, func(bulrushchute.Millis) {
		rank = r.node.control.rank(r.name(), r.node.settings.DataCentre, readersPerDataCentre)
	})
	return rank
}

func (r *reader) name() string {
	return "reader-" + string(r.node.settings.DataCentre)
}

// readWhileRanked follows all kinds until enough other nodes come before this one.
func (r *reader) readWhileRanked(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	watches := bulrushtask.NewGroup(nil)
	defer watches.Wait()
	for _, kind := range r.kinds {
		watches.Start(ctx, string(kind), func(ctx context.Context) error { return r.watch(ctx, kind) })
	}
	watches.Start(ctx, "verify", r.verify)
	watches.Start(ctx, "seeds", r.maintainSeeds)
	klog.InfoS("reading the store", "data_centre", r.node.settings.DataCentre)
	for ctx.Err() == nil {
		bulrushtask.Pause(ctx, rankEvery)
		if r.rank(ctx) >= readersPerDataCentre && r.node.board.Read().State == bulrushboard.NodeReady {
			klog.InfoS("no longer reading the store", "data_centre", r.node.settings.DataCentre)
			return
		}
	}
}

// watch lists a kind and follows its changes, again after each failure. What
// was missed is listed again only if the store no longer holds it.
func (r *reader) watch(ctx context.Context, kind bulrushchute.Kind) error {
	var at cursor
	retry := watchRetry
	lost := false
	for {
		err := r.follow(ctx, kind, &at)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err == nil && lost:
			klog.InfoS("store regained", "kind", kind, "revision", at.revision)
			lost, retry = false, watchRetry
		case err != nil && !lost:
			klog.InfoS("store lost", "kind", kind, "revision", at.revision, "error", err)
			lost = true
		}
		if err != nil {
			bulrushtask.Pause(ctx, retry)
			retry = min(2*retry, watchRetryMax)
		}
	}
}

// cursor is how far a kind was read.
type cursor struct {
	listed   bool
	revision uint64
}

// follow lists the kind, or waits for its next changes when it was listed before.
func (r *reader) follow(ctx context.Context, kind bulrushchute.Kind, at *cursor) error {
	if !at.listed {
		objects, revision, err := r.node.store.List(ctx, kind)
		if err != nil {
			return errors.Wrapf(err, "list %s", kind)
		}
		r.publishList(ctx, kind, objects, revision)
		*at = cursor{listed: true, revision: revision}
		return nil
	}
	err := r.node.store.Watch(ctx, kind, at.revision, func(event bulrushchute.StoreEvent) {
		at.revision = max(at.revision, event.Object.Version)
		r.node.control.do(ctx, func(now bulrushchute.Millis) {
			r.node.control.publishObject(now, event.Object, event.Deleted)
		})
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

// verify compares the store's revision with the one that it saw before, and
// reads all kinds again when it has changed. Watches are faster, but one that
// waits while the store drops its history hears nothing until the next change.
func (r *reader) verify(ctx context.Context) error {
	var verified uint64
	for {
		bulrushtask.Pause(ctx, verifyEvery)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if r.rank(ctx) > 0 {
			continue
		}
		revision, err := r.verifyAfter(ctx, verified)
		if err != nil {
			klog.V(1).InfoS("store not verified", "revision", verified, "error", err)
			continue
		}
		verified = revision
	}
}

// verifyAfter reads the kinds unless the store is still at a revision. The last
// kind is read first, because it holds few objects.
func (r *reader) verifyAfter(ctx context.Context, verified uint64) (uint64, error) {
	var first uint64
	for i := range r.kinds {
		kind := r.kinds[len(r.kinds)-1-i]
		objects, revision, err := r.node.store.List(ctx, kind)
		if err != nil {
			return verified, err
		}
		r.publishList(ctx, kind, objects, revision)
		if i == 0 {
			first = revision
		}
		if first == verified {
			break
		}
	}
	return first, nil
}

// publishList spreads all objects of a kind. Objects that are known but not
// listed were deleted while nobody watched; the list's revision is later than
// their last version.
func (r *reader) publishList(ctx context.Context, kind bulrushchute.Kind, objects []bulrushchute.Object, revision uint64) {
	r.node.control.do(ctx, func(now bulrushchute.Millis) {
		listed := make(map[string]bool, len(objects))
		for _, object := range objects {
			listed[object.Name] = true
			r.node.control.publishObject(now, object, false)
		}
		for _, name := range r.node.control.knownObjects(kind) {
			if !listed[name] {
				deleted := bulrushchute.Object{Kind: kind, Name: name, Version: revision}
				r.node.control.publishObject(now, deleted, true)
			}
		}
	})
}

// seeds is the value of an object of kind seeds, one for each data centre.
type seeds struct {
	Addresses []bulrushchute.Address `json:"addresses"`
}

// maintainSeeds writes the addresses through which new nodes join, and joins
// parts of the fleet that have started apart from each other.
func (r *reader) maintainSeeds(ctx context.Context) error {
	for ctx.Err() == nil {
		bulrushtask.Pause(ctx, seedsEvery)
		if ctx.Err() != nil || r.rank(ctx) > 0 {
			continue
		}
		if err := r.node.writeSeeds(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("seeds not written", "error", err)
		}
		r.node.joinStrangers(ctx)
	}
	return nil
}

// maxSeedWrites bounds the attempts to write the list against other writers.
const maxSeedWrites = 6

// writeSeeds brings the stored addresses of this data centre up to date.
func (n *Node) writeSeeds(ctx context.Context) error {
	name := string(n.settings.DataCentre)
	var err error
	for range maxSeedWrites {
		var current bulrushchute.Object
		current, err = n.store.Get(ctx, bulrushchute.KindSeeds, name)
		var missing *bulrushchute.NotFoundError
		if err != nil && !errors.As(err, &missing) {
			return err
		}
		exists := err == nil
		stored := storedSeeds(current)
		addresses := n.seedAddresses(ctx, stored)
		if exists && slices.Equal(stored, addresses) {
			return nil
		}
		var value []byte
		if value, err = json.Marshal(seeds{Addresses: addresses}); err != nil {
			return errors.Wrap(err, "encode seeds")
		}
		if exists {
			_, err = n.store.Update(ctx, current.WithValue(value))
		} else {
			_, err = n.store.Create(ctx, bulrushchute.Object{Kind: bulrushchute.KindSeeds, Name: name, Value: value})
		}
		if !bulrushchute.LostRace(err) {
			return err
		}
	}
	return err
}

func storedSeeds(object bulrushchute.Object) []bulrushchute.Address {
	if object.Value == nil {
		return nil
	}
	addresses, err := parseSeeds(object)
	if err != nil {
		klog.ErrorS(err, "seeds not taken", "data_centre", object.Name)
		return nil
	}
	return addresses
}

// seedAddresses returns the addresses to store: those of known members first,
// then stored ones, which may belong to nodes that this one has not met yet.
func (n *Node) seedAddresses(ctx context.Context, stored []bulrushchute.Address) []bulrushchute.Address {
	addresses := n.someAddresses(ctx)
	for _, address := range stored {
		if len(addresses) < seedCount && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// someAddresses picks members of this data centre by hash, so that the list
// seldom changes.
func (n *Node) someAddresses(ctx context.Context) []bulrushchute.Address {
	type ranked struct {
		hash    uint64
		address bulrushchute.Address
	}
	var all []ranked
	n.control.do(ctx, func(bulrushchute.Millis) {
		n.control.membership.Range(func(member bulrushchute.Instance) bool {
			if member.DataCentre == n.settings.DataCentre && stays(member) {
				all = append(all, ranked{rankHash("seed", member.ID), member.Address})
			}
			return true
		})
	})
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	var addresses []bulrushchute.Address
	for _, a := range all[:min(len(all), seedCount)] {
		addresses = append(addresses, a.address)
	}
	return addresses
}
