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
	"bulrushchute.example/bulrushchute/bulrushtask"
)

const (
	// seedsInterval is how often the first reader updates the stored list of
	// addresses through which new nodes join. The list has at most maxSeeds
	// addresses.
	seedsInterval = 10 * time.Second
	maxSeeds      = 8
)

// seeds is the value of an object of the kind seeds. There is one object for each
// data centre.
type seeds struct {
	Addresses []bulrushchute.Address `json:"addresses"`
}

// seedObject is a stored object and the addresses in it.
type seedObject struct {
	object    bulrushchute.Object
	addresses []bulrushchute.Address
}

// seedList holds the stored addresses through which nodes join, by data centre.
type seedList map[bulrushchute.DataCentre]seedObject

// readSeeds reads the list from the store. A stale read costs the store less and may
// return an earlier state.
func (n *Node) readSeeds(ctx context.Context, stale bool) (seedList, error) {
	list := n.store.List
	if lister, ok := n.store.(bulrushchute.StaleLister); ok && stale {
		list = lister.ListStale
	}
	objects, _, err := list(ctx, bulrushchute.KindSeeds)
	if err != nil {
		return nil, err
	}
	listed := make(seedList, len(objects))
	for _, object := range objects {
		addresses, err := parseSeeds(object)
		if err != nil {
			// The object is kept without the invalid addresses, so that it can be replaced.
			klog.ErrorS(err, "seeds not taken", "data_centre", object.Name)
		}
		listed[bulrushchute.DataCentre(object.Name)] = seedObject{object: object, addresses: addresses}
	}
	return listed, nil
}

// all returns all addresses, those of the given data centre first.
func (l seedList) all(first bulrushchute.DataCentre) []bulrushchute.Address {
	all := slices.Clone(l[first].addresses)
	for dataCentre, object := range l {
		if dataCentre != first {
			all = append(all, object.addresses...)
		}
	}
	return all
}

// countOthers returns the number of addresses of a data centre besides a node's own.
func (l seedList) countOthers(dataCentre bulrushchute.DataCentre, own bulrushchute.Address) int {
	count := 0
	for _, address := range l[dataCentre].addresses {
		if address != own {
			count++
		}
	}
	return count
}

// parseSeeds returns the valid addresses of an object, with an error if it has others.
func parseSeeds(object bulrushchute.Object) ([]bulrushchute.Address, error) {
	var value seeds
	if err := json.Unmarshal(object.Value, &value); err != nil {
		return nil, errors.Wrap(err, "parse seeds")
	}
	var addresses []bulrushchute.Address
	var invalid error
	for _, address := range value.Addresses {
		if err := checkAddress("addresses", address); err != nil {
			invalid = err
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses, invalid
}

// maintainSeeds keeps the stored addresses through which new nodes join up to
// date, and connects parts of the fleet that started without knowing each other.
func (r *reader) maintainSeeds(ctx context.Context) error {
	for ctx.Err() == nil {
		bulrushtask.Pause(ctx, seedsInterval)
		if ctx.Err() != nil || r.rank(ctx) > 0 {
			continue
		}
		listed, err := r.node.readSeeds(ctx, false)
		if err == nil {
			r.node.control.do(ctx, func(now bulrushchute.Millis) { r.node.control.contact(now, listed, false) })
			err = r.node.writeSeeds(ctx, listed)
		}
		if err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("seeds not maintained", "error", err)
		}
	}
	return nil
}

// writeSeeds updates the stored addresses of this data centre as they were read.
func (n *Node) writeSeeds(ctx context.Context, listed seedList) error {
	stored, exists := listed[n.settings.DataCentre]
	addresses := n.seedAddresses(ctx, stored.addresses)
	if exists && slices.Equal(stored.addresses, addresses) {
		return nil
	}
	value, err := json.Marshal(seeds{Addresses: addresses})
	if err != nil {
		return errors.Wrap(err, "encode seeds")
	}
	if exists {
		_, err = n.store.Update(ctx, stored.object.WithValue(value))
	} else {
		_, err = n.store.Create(ctx, bulrushchute.Object{Kind: bulrushchute.KindSeeds, Name: string(n.settings.DataCentre), Value: value})
	}
	return err
}

// seedAddresses returns the addresses to store. These are addresses of known
// members and, if there are too few, stored ones, which may belong to nodes that
// this one does not know yet.
func (n *Node) seedAddresses(ctx context.Context, stored []bulrushchute.Address) []bulrushchute.Address {
	addresses := n.selectSeeds(ctx)
	for _, address := range stored {
		if len(addresses) < maxSeeds && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// selectSeeds returns the addresses of members of this data centre. It selects
// them by hash, so that the list rarely changes.
func (n *Node) selectSeeds(ctx context.Context) []bulrushchute.Address {
	type ranked struct {
		hash    uint64
		address bulrushchute.Address
	}
	var all []ranked
	n.control.do(ctx, func(bulrushchute.Millis) {
		n.control.membership.Range(func(member bulrushchute.Instance) bool {
			if member.DataCentre == n.settings.DataCentre && isReliable(member) {
				all = append(all, ranked{rankHash("seed", member.ID), member.Address})
			}
			return true
		})
	})
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	var addresses []bulrushchute.Address
	for _, a := range all[:min(len(all), maxSeeds)] {
		addresses = append(addresses, a.address)
	}
	return addresses
}
