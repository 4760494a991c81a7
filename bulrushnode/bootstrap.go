package bulrushnode

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// Parameters of peer discovery.
const (
	// bootstrapInterval is how often a node without peers looks for them in the
	// store.
	bootstrapInterval = 2 * time.Second
	// A node that has just started introduces itself to the listed addresses
	// repeatedly, because other nodes may be starting at the same time.
	// The interval doubles up to maxIntroduceInterval.
	minIntroduceInterval = 100 * time.Millisecond
	maxIntroduceInterval = 400 * time.Millisecond
	introduceDuration    = 3 * bulrushchute.Second
	// maxSeedWriteDelay is the maximum random delay before a node that starts adds
	// itself to the list, so that nodes which start together do not write at once.
	maxSeedWriteDelay = 600 * time.Millisecond
	// maxIntroductions limits the addresses to which a node introduces itself at
	// once in a large fleet.
	maxIntroductions = 64
)

// bootstrap discovers peers through the store, at the start and whenever the node
// knows none.
func (n *Node) bootstrap(ctx context.Context) error {
	n.discoverPeers(ctx)
	for ctx.Err() == nil {
		bulrushtask.Pause(ctx, bootstrapInterval)
		if ctx.Err() == nil && n.hasNoPeers(ctx) {
			n.discoverPeers(ctx)
		}
	}
	return nil
}

// discoverPeers introduces this node to the nodes listed in the store. If it finds
// no other node of its data centre, it adds itself to the list, after a random
// delay. Without the delay, all nodes of a fleet that starts as a whole would
// write at the same time.
func (n *Node) discoverPeers(ctx context.Context) {
	// At the first start of the fleet, the store lists no nodes yet.
	if !n.settings.FirstStart {
		n.introduceToSeeds(ctx, introduceDuration/4)
	}
	random := newRandom(string(n.id), "bootstrap")
	bulrushtask.Pause(ctx, time.Duration(random.Int64N(int64(maxSeedWriteDelay))))
	if n.knowsLocalPeer(ctx) {
		n.introduceToSeeds(ctx, 0)
		return
	}
	if err := n.writeSeeds(ctx); err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("seeds not written", "error", err)
	}
	n.introduceToSeeds(ctx, introduceDuration)
}

// introduceToSeeds reads the list of seeds from the store and introduces this node
// to them at least once, and repeatedly until duration has passed.
func (n *Node) introduceToSeeds(ctx context.Context, duration bulrushchute.Millis) {
	listed, read := n.readAndContactSeeds(ctx)
	deadline := n.clock.Now() + duration
	interval := minIntroduceInterval
	for ctx.Err() == nil {
		n.control.do(ctx, func(now bulrushchute.Millis) {
			n.control.introduce(now, listed)
		})
		if n.clock.Now() >= deadline {
			return
		}
		bulrushtask.Pause(ctx, interval)
		interval = min(2*interval, maxIntroduceInterval)
		if !read && ctx.Err() == nil {
			listed, read = n.readAndContactSeeds(ctx)
		}
	}
}

// knowsLocalPeer reports whether this node knows another one of its data centre.
func (n *Node) knowsLocalPeer(ctx context.Context) bool {
	found := false
	n.control.do(ctx, func(bulrushchute.Millis) {
		n.control.membership.Range(func(member bulrushchute.Instance) bool {
			found = member.ID != n.id && member.DataCentre == n.settings.DataCentre
			return !found
		})
	})
	return found
}

// introduce sends this node's record to those listed addresses that do not belong
// to a known member.
func (c *control) introduce(now bulrushchute.Millis, listed []bulrushchute.Address) {
	known := make(map[bulrushchute.Address]bool)
	c.membership.Range(func(member bulrushchute.Instance) bool {
		known[member.Address] = true
		return true
	})
	var unknown []bulrushchute.Address
	for _, address := range listed {
		if !known[address] && len(unknown) < maxIntroductions {
			unknown = append(unknown, address)
		}
	}
	c.send(c.membership.Introduce(now, unknown))
}

// introduceToMembers sends this node's changed record to members that it knows. Until
// it has joined, its changes reach them in no other way.
func (c *control) introduceToMembers(now bulrushchute.Millis) {
	var addresses []bulrushchute.Address
	c.membership.Range(func(member bulrushchute.Instance) bool {
		addresses = append(addresses, member.Address)
		return len(addresses) < maxIntroductions
	})
	c.send(c.membership.Introduce(now, addresses))
}

// hasNoPeers reports whether this node is the only member that it knows.
func (n *Node) hasNoPeers(ctx context.Context) bool {
	count := 0
	n.control.do(ctx, func(bulrushchute.Millis) {
		n.control.membership.Range(func(bulrushchute.Instance) bool {
			count++
			return count < 2
		})
	})
	return count < 2
}

// readAndContactSeeds reads the list of seeds from the store and contacts those of
// data centres of which this node knows no other member. This connects parts of
// the fleet that started without knowing each other. It returns all listed
// addresses, and false if the store could not be read.
func (n *Node) readAndContactSeeds(ctx context.Context) ([]bulrushchute.Address, bool) {
	objects, _, err := n.store.List(ctx, bulrushchute.KindSeeds)
	if err != nil {
		if ctx.Err() == nil {
			klog.V(1).InfoS("seeds not read", "error", err)
		}
		return nil, false
	}
	listed := make(map[bulrushchute.DataCentre][]bulrushchute.Address, len(objects))
	for _, object := range objects {
		addresses, err := parseSeeds(object)
		if err != nil {
			klog.ErrorS(err, "seeds not taken", "data_centre", object.Name)
			continue
		}
		listed[bulrushchute.DataCentre(object.Name)] = addresses
	}
	n.control.do(ctx, func(now bulrushchute.Millis) {
		n.control.contact(now, listed)
	})
	return allAddresses(listed), true
}

func allAddresses(listed map[bulrushchute.DataCentre][]bulrushchute.Address) []bulrushchute.Address {
	var all []bulrushchute.Address
	for _, addresses := range listed {
		all = append(all, addresses...)
	}
	return all
}

// contact joins through the listed addresses. If this node has already joined, it
// compares records with the nodes of data centres of which it knows no other
// member.
func (c *control) contact(now bulrushchute.Millis, listed map[bulrushchute.DataCentre][]bulrushchute.Address) {
	if !c.membership.Status().Joined {
		if c.seedAddresses == 0 {
			c.membership.SetSeeds(allAddresses(listed))
		}
		return
	}
	for _, address := range c.unknownDataCentreAddresses(listed) {
		c.send(c.membership.Table().Compare(now, address))
	}
}

func parseSeeds(object bulrushchute.Object) ([]bulrushchute.Address, error) {
	var value seeds
	if err := json.Unmarshal(object.Value, &value); err != nil {
		return nil, errors.Wrap(err, "parse seeds")
	}
	for _, address := range value.Addresses {
		if err := checkAddress("addresses", address); err != nil {
			return nil, err
		}
	}
	return value.Addresses, nil
}

// unknownDataCentreAddresses returns the listed addresses of data centres of which
// no other member is known.
func (c *control) unknownDataCentreAddresses(listed map[bulrushchute.DataCentre][]bulrushchute.Address) []bulrushchute.Address {
	known := make(map[bulrushchute.DataCentre]bool)
	self := c.membership.Self()
	c.membership.Range(func(member bulrushchute.Instance) bool {
		if member.ID != self.ID {
			known[member.DataCentre] = true
		}
		return true
	})
	var unknown []bulrushchute.Address
	for dataCentre, addresses := range listed {
		if known[dataCentre] {
			continue
		}
		for _, address := range addresses {
			if address != self.Address {
				unknown = append(unknown, address)
			}
		}
	}
	return unknown
}

// knownObjects returns the objects of a kind that have a record and are not deleted:
// their versions by their names.
func (c *control) knownObjects(kind bulrushchute.Kind) map[string]uint64 {
	// Without an object name, key.Name is the common prefix of the kind's records.
	key, replicated := recordKeyOf(bulrushchute.Object{Kind: kind})
	if !replicated {
		return nil
	}
	versions := make(map[string]uint64)
	c.membership.Table().Range(key.Topic, func(record bulrushchute.Record) bool {
		name, found := strings.CutPrefix(record.Key.Name, key.Name)
		if found && name != "" && !record.Deleted {
			versions[name] = record.Version.Counter
		}
		return true
	})
	return versions
}
