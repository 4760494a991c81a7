package bulrushnode

import (
	"context"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"bulrushchute.example/bulrushchute"
	"bulrushchute.example/bulrushchute/bulrushdiscovery"
	"bulrushchute.example/bulrushchute/bulrushtask"
)

// Parameters of peer discovery.
const (
	// bootstrapInterval is how often a node without peers looks for them in the
	// store.
	bootstrapInterval = 2 * time.Second
	// seekInterval is how often a node that looks for peers checks what is due.
	seekInterval = 20 * time.Millisecond
	// announceDuration is the time after its start in which a node sends changes of its
	// record to the members that it knows.
	announceDuration = 3 * bulrushchute.Second
	// maxIntroductions limits the addresses to which a node introduces itself at
	// once in a large fleet.
	maxIntroductions = 64
)

// bootstrap discovers peers through the store, at the start and whenever the node
// knows none.
func (n *Node) bootstrap(ctx context.Context) error {
	n.discoverPeers(ctx, n.settings.FirstStart)
	for ctx.Err() == nil {
		bulrushtask.Pause(ctx, bootstrapInterval)
		if ctx.Err() == nil && n.hasNoPeers(ctx) {
			n.discoverPeers(ctx, false)
		}
	}
	return nil
}

// discoverPeers introduces this node to the nodes listed in the store, and adds it to
// the list if that is short or none of them answers.
func (n *Node) discoverPeers(ctx context.Context, firstStart bool) {
	seeker := bulrushdiscovery.NewSeeker(n.clock.Now(), firstStart, newRandom(string(n.id), "discovery"))
	var listed seedList
	for ctx.Err() == nil {
		switch action := seeker.Next(n.clock.Now(), n.knowsLocalPeer(ctx)); action {
		case bulrushdiscovery.ActionNone:
			bulrushtask.Pause(ctx, seekInterval)
		case bulrushdiscovery.ActionListStale, bulrushdiscovery.ActionList:
			stale := action == bulrushdiscovery.ActionListStale
			read, err := n.readSeeds(ctx, stale)
			if err == nil {
				listed = read
				n.control.do(ctx, func(now bulrushchute.Millis) { n.control.contact(now, listed, stale) })
			} else if ctx.Err() == nil {
				klog.V(1).InfoS("seeds not read", "stale", stale, "error", err)
			}
			local := listed.countOthers(n.settings.DataCentre, n.settings.PeerAddress)
			seeker.Listed(n.clock.Now(), bulrushdiscovery.Listing{Read: err == nil, Local: local}, stale)
		case bulrushdiscovery.ActionIntroduce:
			n.control.do(ctx, func(now bulrushchute.Millis) { n.control.introduce(now, listed.all(n.settings.DataCentre)) })
		case bulrushdiscovery.ActionWrite:
			err := n.writeSeeds(ctx, listed)
			if err != nil && ctx.Err() == nil {
				klog.V(1).InfoS("seeds not written", "error", err)
			}
			seeker.Written(n.clock.Now(), bulrushchute.LostRace(err))
		case bulrushdiscovery.ActionDone:
			n.control.do(ctx, func(bulrushchute.Millis) { n.control.joinThroughMembers() })
			return
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

// contact joins through the listed addresses. If this node has already joined, it
// compares records with the nodes of data centres of which it knows no other member.
// This connects parts of the fleet that started without knowing each other. A stale
// list may lack addresses, so that a node does not join alone because it is empty.
func (c *control) contact(now bulrushchute.Millis, listed seedList, stale bool) {
	if !c.membership.Status().Joined {
		all := listed.all(c.dataCentre)
		if c.seedAddresses == 0 && (!stale || len(all) > 0) {
			c.membership.SetSeeds(all)
		}
		return
	}
	for _, address := range c.unknownDataCentreAddresses(listed) {
		c.send(c.membership.Table().Compare(now, address))
	}
}

// joinThroughMembers lets a node join that was contacted by others before it has read
// any addresses.
func (c *control) joinThroughMembers() {
	if c.membership.Status().Joined || !c.membership.SeedsPending() {
		return
	}
	var addresses []bulrushchute.Address
	c.membership.Range(func(member bulrushchute.Instance) bool {
		addresses = append(addresses, member.Address)
		return len(addresses) < maxIntroductions
	})
	c.membership.SetSeeds(addresses)
}

// unknownDataCentreAddresses returns the listed addresses of data centres of which
// no other member is known.
func (c *control) unknownDataCentreAddresses(listed seedList) []bulrushchute.Address {
	known := make(map[bulrushchute.DataCentre]bool)
	self := c.membership.Self()
	c.membership.Range(func(member bulrushchute.Instance) bool {
		if member.ID != self.ID {
			known[member.DataCentre] = true
		}
		return true
	})
	var unknown []bulrushchute.Address
	for dataCentre, object := range listed {
		if known[dataCentre] {
			continue
		}
		for _, address := range object.addresses {
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
