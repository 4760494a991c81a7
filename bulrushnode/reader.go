package bulrushnode

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushstore"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// Timings and sizes of the catalogue readers.
const (
	// readersPerDataCentre keeps the store's waiting watches independent of the
	// number of nodes, and one reader in reserve.
	readersPerDataCentre = 2
	// readerCandidates bounds the nodes that try to acquire a reader's lease.
	readerCandidates = 3

	readerLease      = 10 * bulrushchute.Second
	readerRenewEvery = 3 * bulrushchute.Second
	readerMargin     = bulrushchute.Second

	// candidacyEvery is how often a contender checks that it still is a candidate.
	candidacyEvery = 30 * time.Second

	// watchRetry is the pause after a watch or list failed.
	watchRetry = time.Second
	// seedsEvery is how often a reader refreshes the list of addresses through
	// which new nodes join.
	seedsEvery = 10 * time.Second
	seedCount  = 8
)

// watchedKinds are the kinds of objects that readers spread.
var watchedKinds = []bulrushchute.Kind{
	bulrushchute.KindServices,
	bulrushchute.KindDataCentres,
	bulrushchute.KindKeyMaps,
}

// reader watches the store for its data centre while it holds a lease.
type reader struct {
	node *Node
	slot int
}

// runReader tries to hold the lease of one reader slot.
func (n *Node) runReader(ctx context.Context, slot int) error {
	r := &reader{node: n, slot: slot}
	lease := bulrushstore.NewLease(n.store, n.clock, bulrushstore.LeaseSettings{
		Name:       r.name(),
		Holder:     n.id,
		Duration:   readerLease,
		RenewEvery: readerRenewEvery,
		Margin:     readerMargin,
	})
	for ctx.Err() == nil {
		if !r.candidate(ctx) {
			pause(ctx, readerRenewEvery.Duration())
			continue
		}
		r.contend(ctx, lease)
	}
	return nil
}

func (r *reader) name() string {
	return "reader-" + string(r.node.settings.DataCentre) + "-" + strconv.Itoa(r.slot)
}

// candidate reports whether this node is among the few that may hold the
// lease. Every node computes the same ranks from the members it knows.
func (r *reader) candidate(ctx context.Context) bool {
	candidate := false
	r.node.control.do(ctx, func(bulrushchute.Millis) {
		candidate = r.node.control.isCandidate(r.name(), r.node.settings.DataCentre, readerCandidates)
	})
	return candidate
}

// contend acquires or renews the lease for some time, and watches while it is held.
func (r *reader) contend(ctx context.Context, lease *bulrushstore.Lease) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	watches := bulrushtask.NewGroup(nil)
	defer watches.Wait()
	cancelWatches := func() {}
	changed := func(epoch uint64) {
		cancelWatches()
		if epoch == 0 {
			klog.InfoS("reader lease lost", "slot", r.slot)
			return
		}
		klog.InfoS("reader lease held", "slot", r.slot, "epoch", epoch)
		var watching context.Context
		watching, cancelWatches = context.WithCancel(ctx)
		r.startWatches(watching, watches)
	}
	defer func() { cancelWatches() }()
	watches.Start(ctx, "candidacy", func(ctx context.Context) error {
		r.resign(ctx, lease, stop)
		return nil
	})
	lease.Run(ctx, changed, func(err error) {
		klog.V(1).InfoS("reader lease not renewed", "slot", r.slot, "error", err)
	})
}

// resign stops the contention of a node that does not hold the lease and is no
// longer among the candidates.
func (r *reader) resign(ctx context.Context, lease *bulrushstore.Lease, stop func()) {
	for ctx.Err() == nil {
		pause(ctx, candidacyEvery)
		if _, held := lease.Held(); !held && !r.candidate(ctx) {
			stop()
		}
	}
}

func (r *reader) startWatches(ctx context.Context, group *bulrushtask.Group) {
	for _, kind := range watchedKinds {
		group.Start(ctx, string(kind), func(ctx context.Context) error {
			return r.watch(ctx, kind)
		})
	}
	group.Start(ctx, "seeds", r.maintainSeeds)
}

// watch lists a kind and follows its changes, again after each failure.
func (r *reader) watch(ctx context.Context, kind bulrushchute.Kind) error {
	for ctx.Err() == nil {
		if err := r.follow(ctx, kind); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("watch ended", "kind", kind, "error", err)
		}
		pause(ctx, watchRetry)
	}
	return nil
}

func (r *reader) follow(ctx context.Context, kind bulrushchute.Kind) error {
	objects, revision, err := r.node.store.List(ctx, kind)
	if err != nil {
		return errors.Wrapf(err, "list %s", kind)
	}
	r.publishList(ctx, kind, objects, revision)
	return r.node.store.Watch(ctx, kind, revision, func(event bulrushchute.StoreEvent) {
		r.node.control.do(ctx, func(now bulrushchute.Millis) {
			r.node.control.publishObject(now, event.Object, event.Deleted)
		})
	})
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
		if r.slot == 0 {
			if err := r.writeSeeds(ctx); err != nil && ctx.Err() == nil {
				klog.V(1).InfoS("seeds not written", "error", err)
			}
		}
		r.node.joinStrangers(ctx)
		pause(ctx, seedsEvery)
	}
	return nil
}

func (r *reader) writeSeeds(ctx context.Context) error {
	addresses := r.someAddresses(ctx)
	value, err := json.Marshal(seeds{Addresses: addresses})
	if err != nil {
		return errors.Wrap(err, "encode seeds")
	}
	name := string(r.node.settings.DataCentre)
	current, err := r.node.store.Get(ctx, bulrushchute.KindSeeds, name)
	var missing *bulrushchute.NotFoundError
	if errors.As(err, &missing) {
		_, err = r.node.store.Create(ctx, bulrushchute.Object{Kind: bulrushchute.KindSeeds, Name: name, Value: value})
		return err
	}
	if err != nil || sameSeeds(current.Value, addresses) {
		return err
	}
	_, err = r.node.store.Update(ctx, current.WithValue(value))
	return err
}

func sameSeeds(value []byte, addresses []bulrushchute.Address) bool {
	var stored seeds
	return json.Unmarshal(value, &stored) == nil && slices.Equal(stored.Addresses, addresses)
}

// someAddresses picks members of this data centre by hash, so that the list
// seldom changes.
func (r *reader) someAddresses(ctx context.Context) []bulrushchute.Address {
	type ranked struct {
		hash    uint64
		address bulrushchute.Address
	}
	var all []ranked
	r.node.control.do(ctx, func(bulrushchute.Millis) {
		r.node.control.membership.Range(func(member bulrushchute.Instance) bool {
			if member.DataCentre == r.node.settings.DataCentre && member.State != bulrushchute.StateSuspect {
				all = append(all, ranked{rankHash(r.name(), member.ID), member.Address})
			}
			return true
		})
	})
	slices.SortFunc(all, func(a, b ranked) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	var addresses []bulrushchute.Address
	for _, a := range all[:min(len(all), seedCount)] {
		addresses = append(addresses, a.address)
	}
	return addresses
}

// pause waits for a span or until the context ends.
func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
