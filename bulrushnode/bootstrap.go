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

// Times of the search for peers.
const (
	// bootstrapEvery is how often a node without peers looks for some in the store.
	bootstrapEvery = 2 * time.Second
	// A node that has just started introduces itself to the listed addresses
	// again and again, because others may start at the same moment.
	introduceEvery = 250 * time.Millisecond
	introduceFor   = 3 * bulrushchute.Second
	// listSpread is the time over which nodes that start together list themselves.
	listSpread = 600 * time.Millisecond
	// maxIntroductions bounds the addresses in a large fleet.
	maxIntroductions = 64
)

// bootstrap finds peers through the store, at first and while the node knows none.
func (n *Node) bootstrap(ctx context.Context) error {
	n.meetListed(ctx)
	for ctx.Err() == nil {
		bulrushtask.Pause(ctx, bootstrapEvery)
		if ctx.Err() == nil && n.alone(ctx) {
			n.meetListed(ctx)
		}
	}
	return nil
}

// meetListed introduces this node to the nodes that are listed in the store
// until they are known. A node that meets no other of its data centre lists
// itself, after a while that differs between nodes: otherwise all nodes of a
// fleet that starts as a whole would write at once.
func (n *Node) meetListed(ctx context.Context) {
	if !n.settings.FirstStart {
		n.meet(ctx, introduceFor/4)
	}
	random := newRandom(string(n.id), "bootstrap")
	bulrushtask.Pause(ctx, time.Duration(random.Int64N(int64(listSpread))))
	if n.hasNeighbour(ctx) {
		n.meet(ctx, 0)
		return
	}
	if err := n.writeSeeds(ctx); err != nil && ctx.Err() == nil {
		klog.V(1).InfoS("seeds not written", "error", err)
	}
	n.meet(ctx, introduceFor)
}

// meet lists the seeds and introduces this node to them for some time.
func (n *Node) meet(ctx context.Context, span bulrushchute.Millis) {
	listed, read := n.joinStrangers(ctx)
	until := n.clock.Now() + span
	for ctx.Err() == nil {
		n.control.do(ctx, func(now bulrushchute.Millis) {
			n.control.introduce(now, listed)
		})
		if n.clock.Now() >= until {
			return
		}
		bulrushtask.Pause(ctx, introduceEvery)
		if !read && ctx.Err() == nil {
			listed, read = n.joinStrangers(ctx)
		}
	}
}

// hasNeighbour reports whether another node of this data centre is known.
func (n *Node) hasNeighbour(ctx context.Context) bool {
	found := false
	n.control.do(ctx, func(bulrushchute.Millis) {
		n.control.membership.Range(func(member bulrushchute.Instance) bool {
			found = member.ID != n.id && member.DataCentre == n.settings.DataCentre
			return !found
		})
	})
	return found
}

// introduce sends this node's record to the listed addresses at which no member is known.
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

func (n *Node) alone(ctx context.Context) bool {
	count := 0
	n.control.do(ctx, func(bulrushchute.Millis) {
		n.control.membership.Range(func(bulrushchute.Instance) bool {
			count++
			return count < 2
		})
	})
	return count < 2
}

// joinStrangers contacts the nodes that the store lists for data centres of
// which this node knows no member. Parts of the fleet that started without
// knowing of each other are joined in this way. It returns all listed addresses,
// and false if the store could not be read.
func (n *Node) joinStrangers(ctx context.Context) ([]bulrushchute.Address, bool) {
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
		n.control.contact(now, n.control.strangers(listed))
	})
	var all []bulrushchute.Address
	for _, addresses := range listed {
		all = append(all, addresses...)
	}
	return all, true
}

// contact joins through the addresses, or compares records with them if this
// node has joined already.
func (c *control) contact(now bulrushchute.Millis, addresses []bulrushchute.Address) {
	if len(addresses) == 0 {
		return
	}
	if !c.membership.Status().Joined {
		c.membership.SetSeeds(addresses)
		return
	}
	for _, address := range addresses {
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

// strangers returns the listed addresses of data centres of which no other
// member is known.
func (c *control) strangers(listed map[bulrushchute.DataCentre][]bulrushchute.Address) []bulrushchute.Address {
	known := make(map[bulrushchute.DataCentre]bool)
	self := c.membership.Self()
	c.membership.Range(func(member bulrushchute.Instance) bool {
		if member.ID != self.ID {
			known[member.DataCentre] = true
		}
		return true
	})
	var strangers []bulrushchute.Address
	for dataCentre, addresses := range listed {
		if known[dataCentre] {
			continue
		}
		for _, address := range addresses {
			if address != self.Address {
				strangers = append(strangers, address)
			}
		}
	}
	return strangers
}

// knownObjects returns the names of the objects of a kind that are not deleted.
func (c *control) knownObjects(kind bulrushchute.Kind) []string {
	key, spread := recordKeyOf(bulrushchute.Object{Kind: kind})
	if !spread {
		return nil
	}
	var names []string
	c.membership.Table().Range(key.Topic, func(record bulrushchute.Record) bool {
		name, found := strings.CutPrefix(record.Key.Name, key.Name)
		if found && name != "" && !record.Deleted {
			names = append(names, name)
		}
		return true
	})
	return names
}
