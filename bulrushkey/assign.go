package bulrushkey

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bulrushchute.example/bulrushchute"
)

// NewKeyMap assigns all partitions of a service to its members that serve, as
// evenly as possible. It returns false when there is no such member.
func NewKeyMap(service bulrushchute.Service, members []Member, since bulrushchute.Millis) (KeyMap, bool) {
	homes := homesOf(members)
	if len(homes) == 0 {
		return KeyMap{}, false
	}
	for i := range homes {
		homes[i].Epoch = 1
	}
	m := KeyMap{Service: service, Homes: homes, Partitions: make([]Assignment, Partitions), Epoch: 1}
	held := make([]int, len(homes))
	for p := range m.Partitions {
		h := leastLoaded(p, homes, held)
		held[h]++
		m.Partitions[p] = Assignment{Home: h, Epoch: 1, Since: since}
	}
	return m.compact(), true
}

// withSuccessors returns a copy in which the partitions of a home that gives
// up or has gone are spread over the successors that hold the fewest.
func (m KeyMap) withSuccessors(gone bulrushchute.InstanceID, successors []Home, since bulrushchute.Millis) KeyMap {
	held := make([]int, len(successors))
	for i, successor := range successors {
		held[i] = len(m.PartitionsOf(successor.ID))
	}
	given := make([][]int, len(successors))
	for _, p := range m.PartitionsOf(gone) {
		h := leastLoaded(p, successors, held)
		held[h]++
		given[h] = append(given[h], p)
	}
	for i, successor := range successors {
		if len(given[i]) > 0 {
			m = m.WithHome(successor, since, given[i]...)
		}
	}
	return m
}

// homesOf returns the eligible members as homes, in the order of their identities.
func homesOf(members []Member) []Home {
	var homes []Home
	for _, member := range members {
		if member.eligible() {
			homes = append(homes, Home{
				ID:         member.ID,
				DataCentre: member.DataCentre,
				Monitors:   firstMonitors(member.Monitors),
			})
		}
	}
	slices.SortFunc(homes, func(a, b Home) int { return cmp.Compare(a.ID, b.ID) })
	return homes
}

func firstMonitors(monitors []LeaseMonitor) []LeaseMonitor {
	return slices.Clone(monitors[:min(len(monitors), MaxMonitors)])
}

// leastLoaded returns the home with the fewest partitions. Ties are broken by
// rendezvous hash, so that all nodes choose alike and choices do not pile up.
func leastLoaded(partition int, homes []Home, held []int) int {
	var label [8]byte
	binary.BigEndian.PutUint64(label[:], uint64(partition))
	best := 0
	for i := range homes {
		switch {
		case held[i] < held[best]:
			best = i
		case held[i] == held[best] && weight(string(label[:]), homes[i].ID) > weight(string(label[:]), homes[best].ID):
			best = i
		}
	}
	return best
}

func weight(label string, id bulrushchute.InstanceID) uint64 {
	digest := xxhash.New()
	// A Digest's writes never fail.
	_, _ = digest.WriteString(label)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

// rankOf returns how many of the members propose changes of the service's key
// map before this one. It is false for a member that is not eligible.
func rankOf(service bulrushchute.Service, members []Member, id bulrushchute.InstanceID) (int, bool) {
	own := weight(string(service), id)
	rank, found := 0, false
	for _, member := range members {
		switch {
		case !member.eligible():
		case member.ID == id:
			found = true
		case weight(string(service), member.ID) > own:
			rank++
		}
	}
	return rank, found
}
